"""Configuration check.

Rules that find entries without effect and limits that contradict each other in the
places of a settings file or document, and the differences from the version in force.
"""

import enum
from collections import Counter
from collections.abc import Callable, Iterable, Iterator, Mapping

import attrs
from google.protobuf import json_format

from laburnumscale.accounts import account_place
from laburnumscale.daemonsettings import DEFAULT_QUOTA_WINDOW_MS
from laburnumscale.deadlines import MS_PER_S
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.places import FLEET, ServicePlace
from laburnumscale.settingstree import SettingsTree
from laburnumscale_schema import settings_pb2

__all__ = [
    "CheckedDocument",
    "Configuration",
    "DocumentEntry",
    "DocumentFault",
    "Finding",
    "Severity",
    "check_configuration",
    "compare",
    "fleet_settings",
]

ALL_PERCENT = 100
NOT_SET = "not set"
#: Settings that have an effect only if targets may be ejected.
EJECTION_SETTINGS = ("eject_after", "ejection_ms")


class Severity(enum.StrEnum):
    """How serious a finding is: only notes need no action."""

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


@attrs.frozen
class Finding:
    """One finding of the check.

    :ivar place: place in the settings tree, or entry of the document.
    :ivar reason: what was found, as a sentence.
    :ivar location: file and line, empty if unknown.
    """

    severity: Severity
    place: str
    reason: str
    location: str = ""


@attrs.frozen
class DocumentEntry:
    """An element of a list in a document of a platform."""

    section: str
    index: int


@attrs.frozen
class DocumentFault:
    """An error of a document, or a value that daemons adjust (``FieldAdjusted``).

    :ivar entry: the entry at fault; None if it is not known.
    """

    error: LaburnumscaleError
    entry: DocumentEntry | None = None


@attrs.frozen
class CheckedDocument:
    """A document of a platform, as its package decodes it with ``check_document``.

    :ivar snapshot: the settings tree; None if daemons do not accept the document.
    :ivar entries: the entries of the places.
    """

    snapshot: settings_pb2.Snapshot | None = None
    faults: list[DocumentFault] = attrs.field(factory=list)
    entries: dict[str, DocumentEntry] = attrs.field(factory=dict)


@attrs.frozen
class Configuration:
    """The places to check, with those that stay in force beside them.

    :ivar states: states of the places in their order, also those that occur twice.
    :ivar kept: states in force that the configuration neither sets nor removes.
    :ivar is_complete: whether all other places are known; without the version in
        force, those of a settings file are not.
    """

    states: list[settings_pb2.PlaceState]
    kept: list[settings_pb2.PlaceState]
    is_complete: bool

    def tree(self) -> SettingsTree:
        """Return the tree that the configuration gives."""
        tree = SettingsTree()
        places = [*self.kept, *self.states]
        tree.restore(settings_pb2.Snapshot(revision=1, places=places))
        return tree

    def values(self, kind: str) -> Iterator[tuple[str, settings_pb2.PlaceState]]:
        """Yield the text form and the value of the places that hold a kind."""
        for state in self.states:
            if state.WhichOneof("value") == kind:
                yield state.place, getattr(state, kind)

    def severity_if_absent(self) -> Severity:
        """Return the severity if a place is missing here and in what is in force."""
        return Severity.WARNING if self.is_complete else Severity.NOTE


Rule = Callable[[Configuration, SettingsTree], Iterator[Finding]]


def check_configuration(configuration: Configuration) -> list[Finding]:
    """Return what all rules find."""
    tree = configuration.tree()
    return [finding for rule in RULES for finding in rule(configuration, tree)]


def _services_of(route: settings_pb2.Route) -> list[str]:
    return [backend.service for backend in route.backends] or [route.service]


def find_hidden_places(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find places that occur more than once, of which only the last applies."""
    counts = Counter(state.place for state in configuration.states)
    for place, count in counts.items():
        if count > 1:
            reason = f"it occurs {count} times; only the last one applies"
            yield Finding(Severity.WARNING, place, reason)


def find_upper_case_hosts(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find hosts that no request has, as entries convert hosts to lower case."""
    for place, route in configuration.values("route"):
        if route.host != route.host.lower():
            reason = "the host never matches: it is not in lower case"
            yield Finding(Severity.WARNING, place, reason)


def find_missing_services(
    configuration: Configuration, tree: SettingsTree
) -> Iterator[Finding]:
    """Find routes of services that neither the file nor the version in force has."""
    for place, route in configuration.values("route"):
        for service in _services_of(route):
            if service not in tree.services():
                reason = f'service "{service}" is not configured'
                yield Finding(configuration.severity_if_absent(), place, reason)


def find_services_without_routes(
    configuration: Configuration, tree: SettingsTree
) -> Iterator[Finding]:
    """Find services to which no route leads."""
    routed = {
        service
        for state in tree.places.values()
        if state.WhichOneof("value") == "route"
        for service in _services_of(state.route)
    }
    for service in sorted(tree.services() - routed):
        place = str(ServicePlace(service))
        if any(state.place == place for state in configuration.states):
            reason = "no route leads to the service"
            yield Finding(configuration.severity_if_absent(), place, reason)


def find_backends_without_weight(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find backends that get no calls."""
    for place, route in configuration.values("route"):
        for backend in route.backends:
            if backend.weight == 0:
                reason = f'backend "{backend.service}" has weight 0 and gets no calls'
                yield Finding(Severity.WARNING, place, reason)


def find_accounts_without_keys(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find accounts that no caller can use."""
    for place, account in configuration.values("account"):
        if not account.key_digests:
            reason = f'account "{account.name}" has no key'
            yield Finding(Severity.WARNING, place, reason)


def find_shared_keys(
    configuration: Configuration, tree: SettingsTree
) -> Iterator[Finding]:
    """Find keys that several accounts name, which identify none of them."""
    checked = {place for place, _ in configuration.values("account")}
    for names in sorted(tree.accounts.shared_keys()):
        places = [str(account_place(name)) for name in names]
        own_place = next((place for place in places if place in checked), None)
        if own_place is not None:
            listed = ", ".join(f'"{name}"' for name in names)
            reason = f"accounts {listed} name the same key, which identifies none"
            yield Finding(Severity.WARNING, own_place, reason)


def find_late_objectives(
    configuration: Configuration, tree: SettingsTree
) -> Iterator[Finding]:
    """Find latency objectives that are over the time limit."""
    for place, route in configuration.values("route"):
        limit_ms = min(
            tree.effective_settings(service).time_limit_ms
            for service in _services_of(route)
        )
        if route.HasField("time_limit_ms"):
            limit_ms = route.time_limit_ms
        if route.latency_objective_ms > limit_ms:
            reason = (
                f"latency_objective_ms {route.latency_objective_ms} is over the time"
                f" limit of {limit_ms} ms"
            )
            yield Finding(Severity.WARNING, place, reason)


def find_small_quotas(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find quotas that allow less than one call in the quota window.

    With a burst of at least one call the account can still send some calls at once.
    """
    window_s = DEFAULT_QUOTA_WINDOW_MS / MS_PER_S
    for place, account in configuration.values("account"):
        if 0 < account.calls_per_s * window_s < 1:
            is_usable = account.burst_calls >= 1
            reason = (
                f"calls_per_s {account.calls_per_s:g} is less than one call in the"
                f" quota window of {window_s:g} s"
            )
            severity = Severity.NOTE if is_usable else Severity.WARNING
            yield Finding(severity, place, reason)


def find_unused_attempts(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find several attempts on routes whose calls may run only once."""
    for place, route in configuration.values("route"):
        may_not_repeat = route.HasField("idempotent") and not route.idempotent
        if may_not_repeat and route.attempt_limit > 1:
            reason = (
                f"attempt_limit {route.attempt_limit}: its calls may run only once and"
                " get another attempt only if the one before did not run"
            )
            yield Finding(Severity.NOTE, place, reason)


def find_disabled_retries(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find retry budgets of 0."""
    for place, settings in configuration.values("settings"):
        if settings.HasField("retry_budget_percent") and not (
            settings.retry_budget_percent
        ):
            is_contradiction = settings.attempt_limit > 1
            severity = Severity.WARNING if is_contradiction else Severity.NOTE
            yield Finding(severity, place, "retry_budget_percent 0 disables retries")


def find_disabled_ejection(
    configuration: Configuration, _tree: SettingsTree
) -> Iterator[Finding]:
    """Find floors that keep all targets in use.

    A floor of 0 does not disable ejection: it lets all targets be ejected.
    """
    for place, settings in configuration.values("settings"):
        if settings.floor_percent == ALL_PERCENT:
            is_contradiction = any(map(settings.HasField, EJECTION_SETTINGS))
            severity = Severity.WARNING if is_contradiction else Severity.NOTE
            yield Finding(severity, place, "floor_percent 100 disables ejection")
        elif settings.HasField("floor_percent") and not settings.floor_percent:
            reason = "floor_percent 0 lets all targets be ejected"
            yield Finding(Severity.NOTE, place, reason)


RULES: tuple[Rule, ...] = (
    find_hidden_places,
    find_upper_case_hosts,
    find_missing_services,
    find_services_without_routes,
    find_backends_without_weight,
    find_accounts_without_keys,
    find_shared_keys,
    find_late_objectives,
    find_small_quotas,
    find_unused_attempts,
    find_disabled_retries,
    find_disabled_ejection,
)


def compare(
    states: Iterable[settings_pb2.PlaceState],
    removed: Iterable[str],
    in_force: Mapping[str, settings_pb2.PlaceState],
) -> Iterator[Finding]:
    """Yield the differences of places from those in force, field by field.

    :param removed: places that are no longer set.
    """
    for place in removed:
        if place in in_force:
            yield Finding(Severity.NOTE, place, "removed")
    for place, state in {state.place: state for state in states}.items():
        if place not in in_force:
            yield Finding(Severity.NOTE, place, "added")
            continue
        before, after = _fields(in_force[place]), _fields(state)
        for name in sorted(before.keys() | after.keys()):
            old, new = before.get(name, NOT_SET), after.get(name, NOT_SET)
            if old != new:
                yield Finding(Severity.NOTE, place, f"{name}: {old} -> {new}")


def _fields(state: settings_pb2.PlaceState) -> dict[str, object]:
    """Return the fields of a value; keys are shown by their digests."""
    value = getattr(state, state.WhichOneof("value"))
    fields = json_format.MessageToDict(value, preserving_proto_field_name=True)
    if "key_digests" in fields:
        fields["key_digests"] = sorted(each.hex() for each in value.key_digests)
    return fields


def fleet_settings(
    in_force: Mapping[str, settings_pb2.PlaceState],
) -> settings_pb2.ServiceSettings:
    """Return the settings of the fleet that are in force."""
    state = in_force.get(str(FLEET))
    return state.settings if state else settings_pb2.ServiceSettings()
