"""Command line for operators.

A thin layer over the client and the library.
"""

import argparse
import getpass
import sys
import time
import uuid

from google.protobuf import json_format
from google.protobuf.message import Message

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.publishing import read_edits
from laburnumscale.settingsfile import read_settings_file
from laburnumscale_schema import settings_pb2
from laburnumscalectl.client import DaemonUnreachable, OperatorClient

__all__ = ["main"]

EXIT_REFUSED = 1
EXIT_INVALID = 2
EXIT_UNDETERMINED = 3
EXIT_UNREACHABLE = 4

EXIT_BY_VERDICT = {
    settings_pb2.VERDICT_ACCEPTED: 0,
    settings_pb2.VERDICT_REFUSED: EXIT_REFUSED,
    settings_pb2.VERDICT_UNDETERMINED: EXIT_UNDETERMINED,
}
EXAMPLES = """examples:
  laburnumscalectl --daemon 127.0.0.1:7002 publish examples/bantayog/services.jsonc
  laburnumscalectl --daemon 127.0.0.1:7002 status
  laburnumscalectl --daemon 127.0.0.1:7002 --json show
  laburnumscalectl --daemon 127.0.0.1:7002 drain slot-desk e3

exit codes:
  0 done   1 refused   2 invalid input   3 undetermined   4 no answer
"""


def _print_message(message: Message) -> None:
    print(json_format.MessageToJson(message, preserving_proto_field_name=True))


def publish(options: argparse.Namespace, client: OperatorClient) -> int:
    """Publish a settings file; edits are based on the daemon's present tree."""
    edits = read_edits(read_settings_file(options.file))
    revisions = {place.place: place.revision for place in client.settings().places}
    for edit in edits:
        edit.based_on_revision = revisions.get(edit.place, 0)
    change = settings_pb2.Change(
        change_id=uuid.uuid4().hex,
        author=options.author,
        written_at_unix_ms=time.time_ns() // 1_000_000,
        edits=edits,
    )
    outcome = client.publish(change)
    if options.json:
        _print_message(outcome)
    else:
        verdict = settings_pb2.Verdict.Name(outcome.verdict)
        name = verdict.removeprefix("VERDICT_").lower()
        print(f"change {outcome.change_id}: {name} at revision {outcome.revision}")
    return EXIT_BY_VERDICT.get(outcome.verdict, EXIT_UNDETERMINED)


def show(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the settings tree."""
    snapshot = client.settings()
    if options.json:
        _print_message(snapshot)
        return 0
    print(f"revision {snapshot.revision}")
    for place in snapshot.places:
        print(f"{place.place} (revision {place.revision})")
    return 0


def status(options: argparse.Namespace, client: OperatorClient) -> int:
    """Show the daemons and endpoints that a daemon knows."""
    value = client.status()
    if options.json:
        print(json_format.json.dumps(value, indent=2))
        return 0
    print(f"daemon {value['daemon']}, settings revision {value['revision']}")
    for member in value["members"]:
        state = member["state"].removeprefix("MEMBER_STATE_").lower()
        print(f"{member['daemon']} {member['data_centre']} {state}")
        for endpoint in member.get("endpoints", []):
            state = endpoint["state"].removeprefix("TARGET_STATE_").lower()
            name = f"{endpoint['service']}/{endpoint['endpoint']}"
            print(f"  {name} {state} slots={endpoint['slots']}")
    return 0


def drain(options: argparse.Namespace, client: OperatorClient) -> int:
    """Drain a target beside the daemon."""
    client.drain(options.service, options.endpoint)
    return 0


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="laburnumscalectl",
        description="Drives a fleet through any of its daemons.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--daemon", required=True, help="IP:PORT for operators")
    parser.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    command = commands.add_parser("publish", help="publish a settings file")
    command.add_argument("file", help="settings file, JSON with comments")
    command.add_argument("--author", default=getpass.getuser(), help="who publishes")
    command.set_defaults(run=publish)
    command = commands.add_parser("show", help="show the settings tree")
    command.set_defaults(run=show)
    command = commands.add_parser("status", help="show daemons and endpoints")
    command.set_defaults(run=status)
    command = commands.add_parser("drain", help="drain a target of the daemon's host")
    command.add_argument("service")
    command.add_argument("endpoint")
    command.set_defaults(run=drain)
    return parser


def main() -> None:
    """Run the command line."""
    options = _parser().parse_args()
    try:
        sys.exit(options.run(options, OperatorClient(options.daemon)))
    except DaemonUnreachable as error:
        print(f"laburnumscalectl: {error}", file=sys.stderr)
        sys.exit(EXIT_UNREACHABLE)
    except LaburnumscaleError as error:
        print(f"laburnumscalectl: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID)
