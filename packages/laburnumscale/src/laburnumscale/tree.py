"""Settings tree.

Folds the accepted changes and finds the nearest setting of an endpoint.
"""

import struct
from collections.abc import Iterator

import attrs
import xxhash

from laburnumscale.places import (
    FLEET,
    DataCentrePlace,
    EndpointPlace,
    Place,
    ServiceInDataCentrePlace,
    ServicePlace,
)
from laburnumscale_schema import settings_pb2

__all__ = [
    "CHANGE_WINDOW_RECORDS",
    "EffectiveSettings",
    "SettingsTree",
    "plain_value",
]

CHANGE_WINDOW_RECORDS = 2048


@attrs.frozen
class EffectiveSettings:
    """Settings of one endpoint or service after inheritance.

    :ivar time_limit_ms: longest time that a caller waits.
    :ivar floor_percent: share of the announced slots that stays in use.
    :ivar retry_budget_percent: retries in percent of calls.
    :ivar eject_after: bad calls in a row that eject a target.
    :ivar break_weight: bad calls for which one counts whose connection breaks.
    :ivar slow_factor: multiple of the service's median from which a call is slow.
    :ivar slow_excess_ms: least difference to the median from which a call is slow.
    :ivar ejection_ms: time that a target is left out after its first ejection.
    :ivar connection_limit: connections that a target accepts from all callers; 0 for
        any number.
    :ivar close_ends_answer: an answer without a length ends with its connection.
    :ivar serve_when_stale: run calls that are not idempotent on a stale daemon.
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
    break_weight: int = 3
    slow_factor: int = 4
    slow_excess_ms: int = 150
    ejection_ms: int = 500
    probe_path: str = "/healthz"
    routing_policy: str = "two-choices"
    ejection_policy: str = "evidence"
    connection_limit: int = 0
    close_ends_answer: bool = False
    serve_when_stale: bool = False


def plain_value(settings: settings_pb2.ServiceSettings, name: str):
    """Return a setting as it stands in :class:`EffectiveSettings`."""
    value = getattr(settings, name)
    if name == "idempotent":
        return frozenset(value.methods)
    if name == "shed":
        return frozenset(value.statuses)
    return value


class SettingsTree:
    """The accepted settings at one revision.

    The revision is the offset of the last folded record plus 1, so that 0 stands
    for the empty tree. The tree is a function of the records alone: two daemons
    that have folded the same records hold the same tree and the same digest.

    :ivar digest: hash over all folded records.
    :ivar outcomes: what became of the changes of the last
        ``CHANGE_WINDOW_RECORDS`` records, oldest first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.places: dict[str, settings_pb2.PlaceState] = {}
        self.outcomes: dict[str, settings_pb2.ChangeOutcome] = {}
        self._effective: dict[tuple[str, str, str], EffectiveSettings] = {}
        self._services: frozenset[str] | None = None

    def fold(
        self, revision: int, change: settings_pb2.Change
    ) -> settings_pb2.ChangeOutcome:
        """Take a change whose places still have the revisions it was based on.

        A change id is taken once. An id that is older than the window is not
        remembered; its change is refused as expired, since it was prepared from a
        revision before the window.

        :param revision: offset of the change's record plus 1.
        :returns: what became of the change; for a change id that was folded
            before, the first outcome.
        """
        known = self.outcomes.get(change.change_id)
        if known is not None:
            self.skip(revision)
            return known
        outcome = self._judge(revision, change)
        if outcome.verdict == settings_pb2.VERDICT_ACCEPTED:
            self._apply(revision, change)
        self._advance(revision, outcome.SerializeToString(deterministic=True))
        self.outcomes[change.change_id] = outcome
        return outcome

    def skip(self, revision: int) -> None:
        """Pass over a record that changes nothing."""
        self._advance(revision, b"")

    def place_revision(self, place: str) -> int:
        """Return the revision at which a place was last set; 0 if it is not set."""
        state = self.places.get(place)
        return state.revision if state else 0

    def snapshot(self) -> settings_pb2.Snapshot:
        """Return the whole tree as a message."""
        return settings_pb2.Snapshot(
            revision=self.revision,
            places=self.places.values(),
            outcomes=self.outcomes.values(),
            digest=self.digest,
        )

    def restore(self, snapshot: settings_pb2.Snapshot) -> bool:
        """Take a snapshot if it is newer than the tree.

        :returns: whether the tree changed.
        """
        if snapshot.revision <= self.revision:
            return False
        self.revision = snapshot.revision
        self.digest = snapshot.digest
        self.places = {state.place: state for state in snapshot.places}
        self.outcomes = {outcome.change_id: outcome for outcome in snapshot.outcomes}
        self._forget_derived()
        return True

    def services(self) -> frozenset[str]:
        """Return the names of the services that have settings."""
        if self._services is None:
            prefix = "service:"
            self._services = frozenset(
                place.removeprefix(prefix)
                for place in self.places
                if place.startswith(prefix) and "@" not in place
            )
        return self._services

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
        if service:
            places.append(ServicePlace(service))
        if service and data_centre:
            places.append(ServiceInDataCentrePlace(service, data_centre))
        if endpoint:
            places.append(EndpointPlace(service, endpoint))
        return places

    def sources(
        self, lineage: list[Place]
    ) -> Iterator[tuple[str, settings_pb2.PlaceState]]:
        """Yield each set setting with its place, from the widest to the nearest."""
        for place in lineage:
            state = self.places.get(str(place))
            if state is None:
                continue
            for field, _ in state.settings.ListFields():
                yield field.name, state

    def _merge(self, lineage: list[Place]) -> EffectiveSettings:
        values = {
            name: plain_value(state.settings, name)
            for name, state in self.sources(lineage)
        }
        return EffectiveSettings(**values)

    def _judge(
        self, revision: int, change: settings_pb2.Change
    ) -> settings_pb2.ChangeOutcome:
        outcome = settings_pb2.ChangeOutcome(
            change_id=change.change_id,
            revision=revision,
            author=change.author,
            written_at_unix_ms=change.written_at_unix_ms,
            verdict=settings_pb2.VERDICT_ACCEPTED,
            places=[edit.place for edit in change.edits],
        )
        age_records = revision - change.read_revision
        if change.cancel:
            outcome.reason = settings_pb2.REFUSAL_REASON_CANCELLED
        elif not 0 < age_records <= CHANGE_WINDOW_RECORDS:
            outcome.reason = settings_pb2.REFUSAL_REASON_EXPIRED
        else:
            self._find_conflict(change, outcome)
        if outcome.reason:
            outcome.verdict = settings_pb2.VERDICT_REFUSED
        return outcome

    def _find_conflict(
        self, change: settings_pb2.Change, outcome: settings_pb2.ChangeOutcome
    ) -> None:
        for edit in change.edits:
            if self.place_revision(edit.place) == edit.based_on_revision:
                continue
            outcome.reason = settings_pb2.REFUSAL_REASON_CONFLICT
            outcome.place = edit.place
            winner = self.places.get(edit.place) or self._last_accepted(edit.place)
            if winner is not None:
                outcome.winning_change_id = winner.change_id
                outcome.winning_author = winner.author
                outcome.winning_written_at_unix_ms = winner.written_at_unix_ms
            return

    def _last_accepted(self, place: str) -> settings_pb2.ChangeOutcome | None:
        for outcome in reversed(self.outcomes.values()):
            accepted = outcome.verdict == settings_pb2.VERDICT_ACCEPTED
            if accepted and place in outcome.places:
                return outcome
        return None

    def _apply(self, revision: int, change: settings_pb2.Change) -> None:
        for edit in change.edits:
            kind = edit.WhichOneof("value")
            if kind == "removal":
                self.places.pop(edit.place, None)
                continue
            state = settings_pb2.PlaceState(
                place=edit.place,
                revision=revision,
                change_id=change.change_id,
                author=change.author,
                written_at_unix_ms=change.written_at_unix_ms,
            )
            getattr(state, kind).CopyFrom(getattr(edit, kind))
            self.places[edit.place] = state
        self._forget_derived()

    def _advance(self, revision: int, folded: bytes) -> None:
        self.revision = revision
        head = struct.pack("<QQ", self.digest, revision)
        self.digest = xxhash.xxh64_intdigest(head + folded)
        while self.outcomes:
            oldest = next(iter(self.outcomes.values()))
            if oldest.revision > revision - CHANGE_WINDOW_RECORDS:
                return
            del self.outcomes[oldest.change_id]

    def _forget_derived(self) -> None:
        self._effective.clear()
        self._services = None
