"""Publishing.

Converts an operator's settings file into the edits of a change.
"""

import functools
from collections.abc import Callable, Iterator

from google.protobuf import json_format

from laburnumscale.acceptance import accept_name
from laburnumscale.accounts import account_place, digest_key
from laburnumscale.errors import (
    LaburnumscaleError,
    OptionOutOfRange,
    OptionUnknown,
    OptionValueInvalid,
)
from laburnumscale.places import (
    FLEET,
    DataCentrePlace,
    EndpointPlace,
    Place,
    RoutePlace,
    ServiceInDataCentrePlace,
    ServicePlace,
    parse_place,
)
from laburnumscale.policynames import (
    EJECTION_POLICIES,
    QUEUE_POLICIES,
    ROUTING_POLICIES,
)
from laburnumscale.settingsfile import SettingsFile
from laburnumscale_schema import settings_pb2

__all__ = ["ACCOUNT_NUMBERS", "RANGES", "collect_edits", "read_edits"]

EditBuilder = Callable[[], settings_pb2.Edit]

#: Minimum and maximum of each numeric setting, both inclusive.
RANGES = {
    "time_limit_ms": (1, 3_600_000),
    "latency_objective_ms": (1, 3_600_000),
    "priority": (0, 1_000_000),
    "floor_percent": (0, 100),
    "slots": (1, 10_000),
    "queue_limit": (0, 100_000),
    "attempt_limit": (1, 100),
    "retry_budget_percent": (0, 100),
    "eject_after": (1, 100),
    "break_weight": (1, 100),
    "remote_ms_per_mib": (0, 600_000),
    "slow_factor": (0, 1000),
    "slow_excess_ms": (1, 600_000),
    "ejection_ms": (100, 600_000),
    "connection_limit": (0, 1_000_000),
    "calls_per_s": (0, 1_000_000_000),
    "burst_calls": (0, 1_000_000_000),
    "return_successes": (0, 100),
    "concentration_percent": (0, 100),
}

#: Fields of an account beside its keys.
ACCOUNT_NUMBERS = ("priority", "calls_per_s", "burst_calls")

#: Allowed values of the settings that name a policy.
NAMES = {
    "routing_policy": ROUTING_POLICIES,
    "ejection_policy": EJECTION_POLICIES,
    "queue_policy": QUEUE_POLICIES,
}

SECTIONS = ("fleet", "data_centres", "services", "routes", "accounts")
NESTED_SECTIONS = ("data_centres", "endpoints")


def read_edits(file: SettingsFile) -> list[settings_pb2.Edit]:
    """Return one edit for each place in a settings file.

    A place whose value is null is removed.

    :raises LaburnumscaleError: the file is invalid; the error names the file, the line
        and the setting.
    """
    return [build() for _, build in _iter_builders(file)]


def collect_edits(
    file: SettingsFile,
) -> tuple[list[tuple[str, settings_pb2.Edit]], list[LaburnumscaleError]]:
    """Return the edits of a settings file with their locations, and its errors.

    Unlike :func:`read_edits`, it continues after an error with the next place.
    """
    edits = []
    errors = []
    try:
        for location, build in _iter_builders(file):
            try:
                edits.append((location, build()))
            except LaburnumscaleError as error:
                errors.append(error)
    except LaburnumscaleError as error:
        errors.append(error)
    return edits, errors


def _iter_builders(file: SettingsFile) -> Iterator[tuple[str, EditBuilder]]:
    """Yield the location of each place, and a function that returns its edit."""
    for name in file.value:
        if name not in SECTIONS:
            raise OptionUnknown(file.location(name), name)
    for place, keys, value in _iter_places(file):
        build = functools.partial(_build_settings_edit, file, place, keys, value)
        yield file.location(*keys), build
    routes = file.value.get("routes", [])
    if not isinstance(routes, list):
        location = file.location("routes")
        raise OptionValueInvalid(location, "routes", "the value is not a list")
    for index, route in enumerate(routes):
        location = file.element_location("routes", index)
        yield location, functools.partial(_build_route_edit, location, route)
    for name, value in _section_items(file, "accounts"):
        build = functools.partial(_build_account_edit, file, name, value)
        yield file.location("accounts", name), build


def _iter_places(
    file: SettingsFile,
) -> Iterator[tuple[Place, tuple[str, ...], dict | None]]:
    if "fleet" in file.value:
        if not isinstance(file.value["fleet"], dict | None):
            location = file.location("fleet")
            raise OptionValueInvalid(location, "fleet", "the value is not an object")
        yield FLEET, ("fleet",), file.value["fleet"]
    for name, value in _section_items(file, "data_centres"):
        yield DataCentrePlace(name), ("data_centres", name), value
    for service, value in _section_items(file, "services"):
        keys = ("services", service)
        if value is None:
            yield ServicePlace(service), keys, None
            continue
        own_settings = {
            key: v for key, v in value.items() if key not in NESTED_SECTIONS
        }
        yield ServicePlace(service), keys, own_settings
        for name, nested in _section_items(file, *keys, "data_centres"):
            place = ServiceInDataCentrePlace(service, name)
            yield place, (*keys, "data_centres", name), nested
        for name, nested in _section_items(file, *keys, "endpoints"):
            yield EndpointPlace(service, name), (*keys, "endpoints", name), nested


def _section_items(file: SettingsFile, *keys: str) -> list[tuple[str, dict | None]]:
    value = file.value
    for key in keys:
        value = value.get(key, {})
        if not isinstance(value, dict):
            raise OptionValueInvalid(
                file.location(*keys), key, "the value is not an object"
            )
    for name, nested in value.items():
        if not isinstance(nested, dict | None):
            location = file.location(*keys, name)
            raise OptionValueInvalid(location, name, "the value is not an object")
    return list(value.items())


def _build_settings_edit(
    file: SettingsFile, place: Place, keys: tuple[str, ...], value: dict | None
) -> settings_pb2.Edit:
    try:
        parse_place(str(place))
    except LaburnumscaleError as error:
        raise OptionValueInvalid(file.location(*keys), keys[-1], str(error)) from error
    edit = settings_pb2.Edit(place=str(place))
    if value is None:
        edit.removal.SetInParent()
        return edit
    edit.settings.SetInParent()
    known_fields = edit.settings.DESCRIPTOR.fields_by_name
    for name, setting in value.items():
        location = file.location(*keys, name)
        if name not in known_fields:
            raise OptionUnknown(location, name)
        _parse_setting(location, name, setting, edit.settings)
    return edit


def _parse_setting(
    location: str,
    name: str,
    setting: object,
    settings: settings_pb2.ServiceSettings | settings_pb2.ClientAccount,
) -> None:
    """Set a field of a message to a value of a settings file, if it is allowed."""
    try:
        json_format.ParseDict({name: setting}, settings)
    except json_format.ParseError as error:
        raise OptionValueInvalid(location, name, str(error)) from error
    if name in NAMES and getattr(settings, name) not in NAMES[name]:
        reason = f"the value is not one of {', '.join(NAMES[name])}"
        raise OptionValueInvalid(location, name, reason)
    if name not in RANGES:
        return
    minimum, maximum = RANGES[name]
    value = getattr(settings, name)
    if not minimum <= value <= maximum:
        raise OptionOutOfRange(location, name, value, minimum, maximum)


def _build_route_edit(location: str, value: object) -> settings_pb2.Edit:
    if not isinstance(value, dict):
        raise OptionValueInvalid(location, "routes", "a route is not an object")
    try:
        route = json_format.ParseDict(value, settings_pb2.Route())
    except json_format.ParseError as error:
        raise OptionValueInvalid(location, "routes", str(error)) from error
    place = RoutePlace(route.host, route.path_prefix)
    try:
        parse_place(str(place))
    except LaburnumscaleError as error:
        raise OptionValueInvalid(location, "path_prefix", str(error)) from error
    return settings_pb2.Edit(place=str(place), route=route)


def _build_account_edit(
    file: SettingsFile, name: str, value: dict | None
) -> settings_pb2.Edit:
    """Return the edit of an account, which has digests instead of the keys.

    No error shows a key.
    """
    try:
        accept_name("accounts", "name", name)
    except LaburnumscaleError as error:
        location = file.location("accounts", name)
        raise OptionValueInvalid(location, "name", str(error)) from error
    edit = settings_pb2.Edit(place=str(account_place(name)))
    if value is None:
        edit.removal.SetInParent()
        return edit
    edit.account.name = name
    for field, setting in value.items():
        location = file.location("accounts", name, field)
        if field == "keys":
            edit.account.key_digests.extend(_digest_keys(location, setting))
            continue
        if field not in ACCOUNT_NUMBERS:
            raise OptionUnknown(location, field)
        _parse_setting(location, field, setting, edit.account)
    return edit


def _digest_keys(location: str, keys: object) -> list[bytes]:
    is_list = isinstance(keys, list)
    if not is_list or not all(isinstance(each, str) and each for each in keys):
        reason = "the value is not a list of texts that are not empty"
        raise OptionValueInvalid(location, "keys", reason)
    return list(dict.fromkeys(digest_key(each) for each in keys))
