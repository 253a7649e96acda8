"""Settings checks.

Validates changes, records and snapshots; publishers and readers of the settings stream
apply the same checks.
"""

import re
from collections.abc import Mapping

from google.protobuf.message import DecodeError, Message

from laburnumscale.acceptance import accept_name
from laburnumscale.accounts import DIGEST_BYTES, account_place
from laburnumscale.errors import OptionOutOfRange, PlaceInvalid, RequestInvalid
from laburnumscale.places import (
    FLEET,
    NAME_PATTERN,
    AccountPlace,
    Place,
    RoutePlace,
    parse_place,
)
from laburnumscale.publishing import ACCOUNT_NUMBERS, RANGES
from laburnumscale_schema import settings_pb2

__all__ = [
    "MAX_CHANGE_BYTES",
    "MAX_SNAPSHOT_BYTES",
    "check_change",
    "check_place_value",
    "check_snapshot",
    "parse_record",
]

MAX_CHANGE_BYTES = 1024 * 1024
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024
MAX_AUTHOR_CHARS = 128
MIN_HTTP_STATUS = 100
MAX_HTTP_STATUS = 599
CHANGE_ID_PATTERN = re.compile(r"[A-Za-z0-9._-]{1,64}")
METHOD_PATTERN = re.compile(r"[A-Z]{1,32}")
NOTHING_CHECKED: Mapping[str, settings_pb2.PlaceState] = {}
#: The values of places that do not hold settings.
KINDS = {RoutePlace: "route", AccountPlace: "account"}
SERVICE_PATTERN = re.compile(NAME_PATTERN)


def parse_record(payload: bytes) -> settings_pb2.SettingsRecord:
    """Parse and check a record of the settings stream.

    :raises RequestInvalid: the record is invalid and must not be applied.
    """
    if len(payload) > MAX_SNAPSHOT_BYTES:
        raise RequestInvalid("record", f"{len(payload)} bytes exceed the size limit")
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
        raise RequestInvalid("record", "it contains neither a change nor a snapshot")
    _reject_unknown_fields(record, "record")
    return record


def check_change(change: settings_pb2.Change) -> None:
    """Validate a change before it is appended to the stream or applied to a tree.

    :raises LaburnumscaleError: the change is invalid; the error names the change, or
        the place and the setting.
    """
    location = f'change "{change.change_id}"'
    _reject_unknown_fields(change, location)
    if not CHANGE_ID_PATTERN.fullmatch(change.change_id):
        raise RequestInvalid("change", "the change id is not valid")
    if not 0 < len(change.author) <= MAX_AUTHOR_CHARS:
        raise RequestInvalid(location, "the author is empty or too long")
    if change.ByteSize() > MAX_CHANGE_BYTES:
        raise RequestInvalid(
            location, f"{change.ByteSize()} bytes exceed the size limit"
        )
    if bool(change.edits) == change.cancel:
        raise RequestInvalid(
            location, "it must have edits or cancel another change, but not both"
        )
    seen = set()
    for edit in change.edits:
        if edit.place in seen:
            raise RequestInvalid(location, f'place "{edit.place}" is edited twice')
        seen.add(edit.place)
        if edit.WhichOneof("value") is None:
            raise RequestInvalid(location, f'the edit of "{edit.place}" has no value')
        check_place_value(edit.place, edit)


def check_snapshot(
    snapshot: settings_pb2.Snapshot,
    checked: Mapping[str, settings_pb2.PlaceState] = NOTHING_CHECKED,
) -> None:
    """Validate a snapshot that was received from the log or from a peer.

    :param checked: places that were valid before. Accounts that are the same in them
        are not checked again, as there may be many, of which few change at a time.
    :raises LaburnumscaleError: the snapshot is invalid; the error names the snapshot,
        or the place and the setting.
    """
    _reject_unknown_fields(snapshot, "snapshot")
    for state in snapshot.places:
        if not 0 < state.revision <= snapshot.revision:
            raise RequestInvalid(
                state.place, "its revision is not between 1 and that of the snapshot"
            )
        if state.WhichOneof("value") is None:
            raise RequestInvalid(state.place, "it has no value")
        known = checked.get(state.place)
        is_known_account = (
            known is not None
            and state.HasField("account")
            and known.account == state.account
        )
        if not is_known_account:
            check_place_value(state.place, state)
    revisions = [outcome.revision for outcome in snapshot.outcomes]
    if revisions != sorted(revisions):
        raise RequestInvalid("snapshot", "its outcomes are not ordered by revision")


def check_place_value(
    place_text: str,
    value: settings_pb2.Edit | settings_pb2.PlaceState,
    location: str = "",
) -> None:
    """Validate the settings, the route or the account of a place.

    :param place_text: text form of the place.
    :param location: file and line for error messages; the place by default.
    :raises LaburnumscaleError: the value is invalid; the error names the place and the
        setting.
    """
    place = parse_place(place_text)
    if str(place) != place_text:
        raise PlaceInvalid(place_text)
    kind = value.WhichOneof("value")
    if kind == "removal":
        return
    if kind != KINDS.get(type(place), "settings"):
        raise RequestInvalid(location or place_text, f"the place cannot hold {kind}")
    if kind == "route":
        _check_route(location or place_text, place, value.route)
    elif kind == "account":
        _check_account(location or place_text, place, value.account)
    else:
        _check_settings(location or place_text, place, value.settings)


def _check_route(location: str, place: Place, route: settings_pb2.Route) -> None:
    if (route.host, route.path_prefix) != (place.host, place.path_prefix):
        raise RequestInvalid(
            location, "the host or the path prefix differs from that of the place"
        )
    backends = [backend.service for backend in route.backends]
    if bool(backends) == bool(route.service):
        raise RequestInvalid(location, "it must have either a service or backends")
    for service in backends or [route.service]:
        if not SERVICE_PATTERN.fullmatch(service):
            raise RequestInvalid(location, f'"{service}" is not a valid service name')
    if backends and not any(backend.weight for backend in route.backends):
        raise RequestInvalid(location, "no backend has a weight above 0")
    for name in ("time_limit_ms", "attempt_limit"):
        if route.HasField(name):
            _check_range(location, name, getattr(route, name))


def _check_account(
    location: str, place: Place, account: settings_pb2.ClientAccount
) -> None:
    accept_name(location, "name", account.name)
    if account_place(account.name) != place:
        raise RequestInvalid(location, "the name differs from that of the place")
    if any(len(digest) != DIGEST_BYTES for digest in account.key_digests):
        raise RequestInvalid(location, "a digest of a key has the wrong length")
    for name in ACCOUNT_NUMBERS:
        _check_range(location, name, getattr(account, name))


def _check_settings(
    location: str, place: Place, settings: settings_pb2.ServiceSettings
) -> None:
    if settings.HasField("require_account_key") and place != FLEET:
        raise RequestInvalid(location, "require_account_key applies to the fleet only")
    for field, value in settings.ListFields():
        if field.name in RANGES:
            _check_range(location, field.name, value)
    for method in settings.idempotent.methods:
        if not METHOD_PATTERN.fullmatch(method):
            raise RequestInvalid(location, f'"{method}" is not a valid HTTP method')
    for status in settings.shed.statuses:
        if not MIN_HTTP_STATUS <= status <= MAX_HTTP_STATUS:
            raise RequestInvalid(location, f"{status} is not an HTTP status")


def _check_range(location: str, name: str, value: float) -> None:
    minimum, maximum = RANGES[name]
    if not minimum <= value <= maximum:  # NaN compares false
        raise OptionOutOfRange(location, name, value, minimum, maximum)


def _reject_unknown_fields(message: Message, location: str) -> None:
    known_only = type(message)()
    known_only.CopyFrom(message)
    known_only.DiscardUnknownFields()
    if known_only.ByteSize() != message.ByteSize():
        raise RequestInvalid(location, "it has fields that this version does not know")
