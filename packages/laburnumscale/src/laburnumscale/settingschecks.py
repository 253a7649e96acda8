"""Settings checks.

What every change, record and snapshot must satisfy; publishers and readers apply
the same checks.
"""

import re

from google.protobuf.message import DecodeError, Message

from laburnumscale.errors import OptionOutOfRange, PlaceInvalid, RequestInvalid
from laburnumscale.places import NAME_PATTERN, Place, RoutePlace, parse_place
from laburnumscale.publishing import RANGES
from laburnumscale_schema import settings_pb2

__all__ = [
    "MAX_CHANGE_BYTES",
    "MAX_SNAPSHOT_BYTES",
    "check_change",
    "check_snapshot",
    "check_value",
    "parse_record",
]

MAX_CHANGE_BYTES = 1024 * 1024
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
MAX_AUTHOR_CHARS = 128
LOWEST_STATUS = 100
HIGHEST_STATUS = 599
CHANGE_ID = re.compile(r"[A-Za-z0-9._-]{1,64}")
METHOD = re.compile(r"[A-Z]{1,32}")
SERVICE = re.compile(NAME_PATTERN)


def parse_record(payload: bytes) -> settings_pb2.SettingsRecord:
    """Parse and check a record of the settings stream.

    :raises RequestInvalid: the record cannot be folded; says why.
    """
    if len(payload) > MAX_SNAPSHOT_BYTES:
        raise RequestInvalid("record", f"{len(payload)} bytes are too many")
    record = settings_pb2.SettingsRecord()
    try:
        record.ParseFromString(payload)
    except DecodeError as error:
        raise RequestInvalid("record", str(error)) from error
    kind = record.WhichOneof("record")
    if kind == "change":
        check_change(record.change)
    elif kind == "snapshot":
        check_snapshot(record.snapshot)
    else:
        raise RequestInvalid("record", "it holds neither a change nor a snapshot")
    _check_known(record, "record")
    return record


def check_change(change: settings_pb2.Change) -> None:
    """Check a change before it is appended or folded.

    :raises LaburnumscaleError: names the place and the setting.
    """
    where = f'change "{change.change_id}"'
    _check_known(change, where)
    if not CHANGE_ID.fullmatch(change.change_id):
        raise RequestInvalid("change", "the change id is not valid")
    if not 0 < len(change.author) <= MAX_AUTHOR_CHARS:
        raise RequestInvalid(where, "the author is missing or too long")
    if change.ByteSize() > MAX_CHANGE_BYTES:
        raise RequestInvalid(where, f"{change.ByteSize()} bytes are too many")
    if bool(change.edits) == change.cancel:
        raise RequestInvalid(where, "it must have edits, or cancel and have none")
    seen = set()
    for edit in change.edits:
        if edit.place in seen:
            raise RequestInvalid(where, f'place "{edit.place}" is edited twice')
        seen.add(edit.place)
        if edit.WhichOneof("value") is None:
            raise RequestInvalid(where, f'the edit of "{edit.place}" has no value')
        check_value(edit.place, edit)


def check_snapshot(snapshot: settings_pb2.Snapshot) -> None:
    """Check a snapshot of the log or of a peer.

    :raises LaburnumscaleError: names the place and the setting.
    """
    _check_known(snapshot, "snapshot")
    for state in snapshot.places:
        if not 0 < state.revision <= snapshot.revision:
            raise RequestInvalid(state.place, "its revision is out of range")
        if state.WhichOneof("value") is None:
            raise RequestInvalid(state.place, "it has no value")
        check_value(state.place, state)
    revisions = [outcome.revision for outcome in snapshot.outcomes]
    if revisions != sorted(revisions):
        raise RequestInvalid("snapshot", "its outcomes are out of order")


def check_value(
    text: str, value: settings_pb2.Edit | settings_pb2.PlaceState, where: str = ""
) -> None:
    """Check the settings or the route of a place.

    :param text: text form of the place.
    :param where: file and line for errors, the place by default.
    :raises LaburnumscaleError: names the place and the setting.
    """
    place = parse_place(text)
    if str(place) != text:
        raise PlaceInvalid(text)
    kind = value.WhichOneof("value")
    if kind == "removal":
        return
    if (kind == "route") != isinstance(place, RoutePlace):
        raise RequestInvalid(where or text, f"the place cannot hold {kind}")
    if kind == "route":
        _check_route(where or text, place, value.route)
    else:
        _check_settings(where or text, value.settings)


def _check_route(where: str, place: Place, route: settings_pb2.Route) -> None:
    if (route.host, route.path_prefix) != (place.host, place.path_prefix):
        raise RequestInvalid(where, "the route is not that of its place")
    backends = [backend.service for backend in route.backends]
    if bool(backends) == bool(route.service):
        raise RequestInvalid(where, "it needs either a service or backends")
    for service in backends or [route.service]:
        if not SERVICE.fullmatch(service):
            raise RequestInvalid(where, f'"{service}" names no service')
    if backends and not any(backend.weight for backend in route.backends):
        raise RequestInvalid(where, "no backend has a weight")
    for name in ("time_limit_ms", "attempt_limit"):
        lowest, highest = RANGES[name]
        value = getattr(route, name)
        if route.HasField(name) and not lowest <= value <= highest:
            raise OptionOutOfRange(where, name, value, lowest, highest)


def _check_settings(where: str, settings: settings_pb2.ServiceSettings) -> None:
    for field, value in settings.ListFields():
        if field.name not in RANGES:
            continue
        lowest, highest = RANGES[field.name]
        if not lowest <= value <= highest:
            raise OptionOutOfRange(where, field.name, value, lowest, highest)
    for method in settings.idempotent.methods:
        if not METHOD.fullmatch(method):
            raise RequestInvalid(where, f'"{method}" is no HTTP method')
    for status in settings.shed.statuses:
        if not LOWEST_STATUS <= status <= HIGHEST_STATUS:
            raise RequestInvalid(where, f"{status} is no HTTP status")


def _check_known(message: Message, where: str) -> None:
    known = type(message)()
    known.CopyFrom(message)
    known.DiscardUnknownFields()
    if known.ByteSize() != message.ByteSize():
        raise RequestInvalid(where, "it has fields of a newer schema")
