"""Settings page.

Writes docs/SETTINGS.md from the schema, the ranges and the defaults, or checks it.
"""

import sys
import tempfile
from pathlib import Path

import attrs
from google.protobuf import descriptor_pb2
from grpc_tools import protoc

from laburnumscale import daemonsettings
from laburnumscale.publishing import RANGES
from laburnumscale.settingstree import EffectiveSettings
from tools.pages import ROOT, write_or_check

PROTO_DIR = ROOT / "packages" / "laburnumscale-schema" / "proto"
PAGE = ROOT / "docs" / "SETTINGS.md"
MESSAGE_FIELD = 4
FIELD_FIELD = 2
REQUIRED = "required"
INTRODUCTION = """# Settings

Made by `make settings-page` from the schema; `make check` tells when it is stale.

All files are JSON with comments. A duration in a file is turned into a deadline when
it is used. A setting that does not exist, or whose value has the wrong form, is
refused with exit code 2 and the file, the line and the name of the setting.

"""
SERVICE_INTRODUCTION = """## Services

Published with `laburnumscalectl publish FILE`. Each of these may stand in `fleet`, in
`data_centres.NAME`, in `services.NAME`, in `services.NAME.data_centres.NAME` and in
`services.NAME.endpoints.NAME`; the nearest to the endpoint wins.

"""
DAEMON_INTRODUCTION = """## Daemons

Read by `laburnumscaled FILE` at its start; `laburnumscaled --check FILE` only checks.

"""


@attrs.frozen
class Field:
    """One setting and its comment in the schema."""

    name: str
    comment: str


def read_fields(message_name: str, file_name: str) -> list[Field]:
    """Return the fields of a message of the schema, with their comments."""
    with tempfile.TemporaryDirectory() as scratch:
        output = Path(scratch) / "set"
        arguments = [
            "protoc",
            f"-I{PROTO_DIR}",
            f"--descriptor_set_out={output}",
            "--include_source_info",
            f"{PROTO_DIR}/laburnumscale_schema/{file_name}",
        ]
        if protoc.main(arguments) != 0:
            sys.exit("settings_page: the schema does not compile")
        files = descriptor_pb2.FileDescriptorSet.FromString(output.read_bytes())
    file = files.file[0]
    index = [message.name for message in file.message_type].index(message_name)
    comments = {
        location.path[3]: " ".join(location.leading_comments.split())
        for location in file.source_code_info.location
        if list(location.path[:3]) == [MESSAGE_FIELD, index, FIELD_FIELD]
        and len(location.path) == 4
    }
    fields = file.message_type[index].field
    return [Field(f.name, comments.get(i, "")) for i, f in enumerate(fields)]


def shown(value) -> str:
    """Return a default as it would stand in a file."""
    if isinstance(value, frozenset):
        return ", ".join(sorted(str(item) for item in value)) or "none"
    return str(value).lower() if isinstance(value, bool) else str(value)


def service_rows() -> list[tuple[str, ...]]:
    """Return the rows of the settings of services."""
    defaults = attrs.fields_dict(EffectiveSettings)
    rows = []
    for field in read_fields("ServiceSettings", "settings.proto"):
        lowest, highest = RANGES.get(field.name, ("", ""))
        allowed = f"{lowest} to {highest}" if field.name in RANGES else ""
        default = shown(defaults[field.name].default)
        rows.append((f"`{field.name}`", default, allowed, field.comment))
    return rows


def daemon_rows() -> list[tuple[str, ...]]:
    """Return the rows of the settings of daemons."""
    rows = []
    optional = ("seed_addresses", "peer_address_overrides")
    for field in read_fields("DaemonSettings", "daemon.proto"):
        default = getattr(daemonsettings, f"DEFAULT_{field.name.upper()}", None)
        if default is None:
            default = "none" if field.name in optional else REQUIRED
        rows.append((f"`{field.name}`", shown(default), field.comment))
    return rows


def table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Return a table of the page."""
    lines = [header, tuple("---" for _ in header), *rows]
    return "".join(f"| {' | '.join(line)} |\n" for line in lines)


def page() -> str:
    """Return the whole page."""
    return (
        INTRODUCTION
        + SERVICE_INTRODUCTION
        + table(("setting", "default", "range", "meaning"), service_rows())
        + "\n"
        + DAEMON_INTRODUCTION
        + table(("setting", "default", "meaning"), daemon_rows())
    )


def main() -> None:
    """Run the command line."""
    write_or_check(__doc__, PAGE, page, "settings-page")


if __name__ == "__main__":
    main()
