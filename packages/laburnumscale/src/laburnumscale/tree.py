"""Settings tree.

Folds the accepted changes and finds the nearest setting of an endpoint.
"""

import attrs

from laburnumscale.places import (
    FLEET,
    DataCentrePlace,
    EndpointPlace,
    Place,
    ServiceInDataCentrePlace,
    ServicePlace,
)
from laburnumscale_schema import settings_pb2

__all__ = ["EffectiveSettings", "SettingsTree"]


@attrs.frozen
class EffectiveSettings:
    """Settings of one endpoint or service after inheritance.

    :ivar time_limit_ms: longest time that a caller waits.
    :ivar floor_percent: share of the announced slots that stays in use.
    :ivar retry_budget_percent: retries in percent of calls.
    :ivar eject_after: bad calls in a row that eject a target.
    :ivar slow_factor: multiple of the service's median from which a call is slow.
    :ivar slow_excess_ms: least difference to the median from which a call is slow.
    :ivar ejection_ms: time that a target is left out after its first ejection.
    """

    time_limit_ms: int = 2000
    idempotent: frozenset[str] = frozenset({"GET", "HEAD"})
    floor_percent: int = 50
    slots: int = 5
    queue_limit: int = 20
    shed: frozenset[int] = frozenset({503})
    attempt_limit: int = 3
    retry_budget_percent: int = 20
    eject_after: int = 3
    slow_factor: int = 4
    slow_excess_ms: int = 150
    ejection_ms: int = 3000
    probe_path: str = "/healthz"
    routing_policy: str = "two-choices"
    ejection_policy: str = "evidence"


def _plain_value(settings: settings_pb2.ServiceSettings, name: str):
    value = getattr(settings, name)
    if name == "idempotent":
        return frozenset(value.methods)
    if name == "shed":
        return frozenset(value.statuses)
    return value


class SettingsTree:
    """The accepted settings at one revision.

    The revision is the offset of the last folded record plus 1, so that 0 stands
    for the empty tree.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.places: dict[str, settings_pb2.PlaceState] = {}
        self.outcomes: dict[str, settings_pb2.ChangeOutcome] = {}
        self._effective: dict[tuple[str, str, str], EffectiveSettings] = {}

    def fold(
        self, revision: int, change: settings_pb2.Change
    ) -> settings_pb2.ChangeOutcome:
        """Take a change whose places still have the revisions it was based on.

        :param revision: offset of the change's record plus 1.
        :returns: what became of the change; for a change id that was folded
            before, the first outcome.
        """
        self.revision = revision
        known = self.outcomes.get(change.change_id)
        if known is not None:
            return known
        outcome = settings_pb2.ChangeOutcome(
            change_id=change.change_id,
            revision=revision,
            author=change.author,
            written_at_unix_ms=change.written_at_unix_ms,
            verdict=settings_pb2.VERDICT_ACCEPTED,
        )
        for edit in change.edits:
            if self.place_revision(edit.place) != edit.based_on_revision:
                outcome.verdict = settings_pb2.VERDICT_REFUSED
                outcome.place = edit.place
                break
        else:
            self._apply(revision, change)
        self.outcomes[change.change_id] = outcome
        return outcome

    def place_revision(self, place: str) -> int:
        """Return the revision at which a place was last set; 0 if it is not set."""
        state = self.places.get(place)
        return state.revision if state else 0

    def snapshot(self) -> settings_pb2.Snapshot:
        """Return the whole tree as a message."""
        return settings_pb2.Snapshot(
            revision=self.revision, places=self.places.values()
        )

    def restore(self, snapshot: settings_pb2.Snapshot) -> bool:
        """Take a snapshot if it is newer than the tree.

        :returns: whether the tree changed.
        """
        if snapshot.revision <= self.revision:
            return False
        self.revision = snapshot.revision
        self.places = {state.place: state for state in snapshot.places}
        self._effective.clear()
        return True

    def services(self) -> frozenset[str]:
        """Return the names of the services that have settings."""
        prefix = "service:"
        return frozenset(
            place.removeprefix(prefix)
            for place in self.places
            if place.startswith(prefix) and "@" not in place
        )

    def route(self, host: str, path: str) -> settings_pb2.Route | None:
        """Return the route with the longest prefix of ``path``, or None."""
        prefix = path
        while prefix:
            for candidate in (host, ""):
                state = self.places.get(f"route:{candidate}{prefix}")
                if state is not None:
                    return state.route
            prefix = prefix[: prefix.rstrip("/").rfind("/") + 1]
        return None

    def effective(
        self, service: str, data_centre: str = "", endpoint: str = ""
    ) -> EffectiveSettings:
        """Return the nearest value of every setting."""
        key = (service, data_centre, endpoint)
        found = self._effective.get(key)
        if found is None:
            found = self._merge(self.lineage(*key))
            self._effective[key] = found
        return found

    @staticmethod
    def lineage(service: str, data_centre: str, endpoint: str) -> list[Place]:
        """Return the places of an endpoint, from the widest to the nearest."""
        places: list[Place] = [FLEET]
        if data_centre:
            places.append(DataCentrePlace(data_centre))
        places.append(ServicePlace(service))
        if data_centre:
            places.append(ServiceInDataCentrePlace(service, data_centre))
        if endpoint:
            places.append(EndpointPlace(service, endpoint))
        return places

    def _merge(self, lineage: list[Place]) -> EffectiveSettings:
        values = {}
        for place in lineage:
            state = self.places.get(str(place))
            if state is None:
                continue
            for field, _ in state.settings.ListFields():
                values[field.name] = _plain_value(state.settings, field.name)
        return EffectiveSettings(**values)

    def _apply(self, revision: int, change: settings_pb2.Change) -> None:
        for edit in change.edits:
            kind = edit.WhichOneof("value")
            if kind in (None, "removal"):
                self.places.pop(edit.place, None)
                continue
            state = settings_pb2.PlaceState(place=edit.place, revision=revision)
            getattr(state, kind).CopyFrom(getattr(edit, kind))
            self.places[edit.place] = state
        self._effective.clear()
