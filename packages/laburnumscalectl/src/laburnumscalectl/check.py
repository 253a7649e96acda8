"""Check.

The command that checks a settings file or a configuration document.
"""

import argparse
import importlib
import json
from collections.abc import Callable
from pathlib import Path

import attrs

from laburnumscale.configcheck import (
    CheckedDocument,
    Configuration,
    DocumentFault,
    Finding,
    Severity,
    check_configuration,
    compare,
    fleet_settings,
)
from laburnumscale.errors import (
    FieldAdjusted,
    FileSyntaxInvalid,
    FileUnreadable,
    LaburnumscaleError,
    PlatformUnknown,
)
from laburnumscale.publishing import collect_edits
from laburnumscale.settingschecks import check_change, check_place_value
from laburnumscale.settingsfile import SettingsFile, read_settings_file
from laburnumscale_schema import settings_pb2
from laburnumscalectl.changes import changes_value
from laburnumscalectl.client import OperatorClient

__all__ = ["check"]

EXIT_OK = 0
EXIT_FINDINGS = 1
#: Stands for the values that ``publish`` gives a change.
CHANGE_ID = "check"

States = dict[str, settings_pb2.PlaceState]
DocumentCheck = Callable[[bytes, settings_pb2.ServiceSettings], CheckedDocument]


def check(options: argparse.Namespace, client: OperatorClient) -> int:
    """Check a settings file or a document of a platform without publishing it.

    With --daemon, also show what differs from the version in force.
    """
    in_force: States | None = None
    if options.platform:
        check_document = _find_document_check(options.platform)
        file = _read_document(options.file)
    else:
        file = read_settings_file(options.file)
    if options.daemon:
        in_force = {state.place: state for state in client.settings().places}
    if options.platform:
        findings = _check_document(file, check_document, in_force)
    else:
        findings = _check_settings_file(file, in_force)
    if options.json:
        print(json.dumps([attrs.asdict(each) for each in findings], indent=2))
    else:
        for each in findings:
            print(_format_finding(each, options.file))
    needs_action = any(each.severity != Severity.NOTE for each in findings)
    return EXIT_FINDINGS if needs_action else EXIT_OK


def _format_finding(finding: Finding, path: str) -> str:
    parts = [finding.location, finding.severity, finding.place, finding.reason]
    if finding.location and finding.place == path:
        parts.remove(finding.place)
    return ": ".join(part for part in parts if part)


def _check_settings_file(file: SettingsFile, in_force: States | None) -> list[Finding]:
    located_edits, errors = collect_edits(file)
    locations: dict[str, str] = {}
    states, removed = [], []
    for location, edit in located_edits:
        locations.setdefault(edit.place, location)
        try:
            check_place_value(edit.place, edit, location)
        except LaburnumscaleError as error:
            errors.append(error)
            continue
        if edit.HasField("removal"):
            removed.append(edit.place)
        else:
            states.append(_state_of(edit))
    edits = [
        edit
        for _, edit in located_edits
        if changes_value(edit, (in_force or {}).get(edit.place))
    ]
    if edits and not errors:
        change = settings_pb2.Change(change_id=CHANGE_ID, author=CHANGE_ID, edits=edits)
        try:
            check_change(change)
        except LaburnumscaleError as error:
            errors.append(error)
    kept = [
        state for place, state in (in_force or {}).items() if place not in locations
    ]
    configuration = Configuration(states, kept, is_complete=in_force is not None)
    findings = check_configuration(configuration)
    if in_force is not None:
        findings.extend(compare(states, removed, in_force))
    return [
        *(_describe_error(file.path, error) for error in errors),
        *(attrs.evolve(f, location=locations.get(f.place, "")) for f in findings),
    ]


def _state_of(edit: settings_pb2.Edit) -> settings_pb2.PlaceState:
    kind = edit.WhichOneof("value")
    state = settings_pb2.PlaceState(place=edit.place, revision=1)
    getattr(state, kind).CopyFrom(getattr(edit, kind))
    return state


def _describe_error(path: str, error: LaburnumscaleError) -> Finding:
    where = getattr(error, "where", "")
    reason = str(error).removeprefix(f"{where}: ")
    location = where if where.startswith(f"{path}:") else ""
    return Finding(Severity.ERROR, path, reason, location)


def _find_document_check(platform: str) -> DocumentCheck:
    """Return the function ``check_document`` of the package of a platform.

    :raises PlatformUnknown: there is no such package, or it has no such function.
    """
    try:
        return importlib.import_module(platform).check_document
    except (ImportError, AttributeError) as error:
        raise PlatformUnknown(platform, str(error)) from error


def _read_document(path: str) -> SettingsFile:
    """Read a document of a platform, which is JSON without comments.

    :raises FileUnreadable: the file cannot be opened or is not UTF-8.
    :raises FileSyntaxInvalid: the content is not a JSON object.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
        value = json.loads(text)
    except json.JSONDecodeError as error:
        raise FileSyntaxInvalid(path, error.lineno, error.msg) from error
    except (OSError, ValueError, RecursionError) as error:
        raise FileUnreadable(path, str(error)) from error
    if not isinstance(value, dict):
        raise FileSyntaxInvalid(path, 1, "the content is not a JSON object")
    return SettingsFile(path, text, value)


def _check_document(
    file: SettingsFile, check_document: DocumentCheck, in_force: States | None
) -> list[Finding]:
    checked = check_document(file.text.encode(), fleet_settings(in_force or {}))
    findings = [_describe_fault(file, fault) for fault in checked.faults]
    if checked.snapshot is None:
        return findings
    states = list(checked.snapshot.places)
    found = check_configuration(Configuration(states, [], is_complete=True))
    if in_force is not None:
        removed = in_force.keys() - {state.place for state in states}
        found.extend(compare(states, sorted(removed), in_force))
    for finding in found:
        entry = checked.entries.get(finding.place)
        location = file.element_location(entry.section, entry.index) if entry else ""
        findings.append(attrs.evolve(finding, location=location))
    return findings


def _describe_fault(file: SettingsFile, fault: DocumentFault) -> Finding:
    error, entry = fault.error, fault.entry
    location = file.element_location(entry.section, entry.index) if entry else ""
    if isinstance(error, FieldAdjusted):
        if not entry and error.where in file.value:
            location = file.location(error.where)
        reason = f"{error.name} is {error.value}; daemons would use {error.used}"
        return Finding(Severity.WARNING, error.where, reason, location)
    place = f"{entry.section} {entry.index + 1}" if entry else file.path
    return Finding(Severity.ERROR, place, str(error), location)
