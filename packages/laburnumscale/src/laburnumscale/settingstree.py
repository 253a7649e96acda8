"""Settings tree.

Applies the changes of the settings stream and resolves inherited settings.
"""

import struct
from collections.abc import Iterator

import attrs
import xxhash

from laburnumscale.accounts import AccountTable, is_account_place
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
    "python_value",
]

CHANGE_WINDOW_RECORDS = 2048


@attrs.frozen
class EffectiveSettings:
    """Settings of one endpoint or service after inheritance.

    :ivar time_limit_ms: maximum time that a caller waits for a call.
    :ivar floor_percent: share of the announced slots that ejection leaves in use, in
        percent.
    :ivar retry_budget_percent: maximum number of retries, in percent of the calls.
    :ivar eject_after: consecutive bad calls after which a target is ejected.
    :ivar break_weight: number of bad calls that a broken connection counts as; if the
        connection was reused, it counts as one.
    :ivar slow_factor: a call is slow only if it takes longer than this multiple of
        the service's median latency; 0 turns the comparison off.
    :ivar slow_excess_ms: a call is slow only if it exceeds the median latency by more
        than this time.
    :ivar ejection_ms: duration of a target's first ejection.
    :ivar remote_ms_per_mib: waiting time in milliseconds that is as bad as fetching
        an answer of 1 MiB from another data centre.
    :ivar connection_limit: maximum number of connections that a target accepts from
        all callers; 0 for no limit.
    :ivar close_ends_answer: whether an answer without a length is complete when its
        connection closes.
    :ivar serve_when_stale: whether a daemon with stale settings runs calls that are
        not idempotent.
    :ivar require_account_key: whether calls need the key of a client account, except
        those on public routes.
    :ivar return_successes: calls in a row that a target must answer after its start or
        an ejection before calls that may run only once no longer avoid it.
    :ivar concentration_percent: utilisation up to which calls that may run only once
        go to few targets; 0 spreads them evenly.
    :ivar learn_concurrency: whether guards learn how many calls a target can run at a
        time.
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
    remote_ms_per_mib: int = 5000  # 100 KiB are worth half a second of waiting
    probe_path: str = "/healthz"
    routing_policy: str = "two-choices"
    ejection_policy: str = "evidence"
    connection_limit: int = 0
    close_ends_answer: bool = False
    serve_when_stale: bool = False
    require_account_key: bool = False
    return_successes: int = 0
    concentration_percent: int = 0
    queue_policy: str = "priority"
    learn_concurrency: bool = False


def python_value(settings: settings_pb2.ServiceSettings, name: str):
    """Return a setting of a message in the type used by :class:`EffectiveSettings`."""
    value = getattr(settings, name)
    if name == "idempotent":
        return frozenset(value.methods)
    if name == "shed":
        return frozenset(value.statuses)
    return value


class SettingsTree:
    """The accepted settings at one revision.

    The revision is the offset of the last applied record plus 1; the empty tree has
    revision 0. The tree depends only on the records: two daemons that have applied
    the same records have the same tree and the same digest.

    :ivar digest: hash over all applied records.
    :ivar places: state of each place that is set, by the text form of the place.
    :ivar accounts: the client accounts among the places.
    :ivar outcomes: outcomes of the changes in the last ``CHANGE_WINDOW_RECORDS``
        records by change id, oldest first.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.digest = 0
        self.places: dict[str, settings_pb2.PlaceState] = {}
        self.outcomes: dict[str, settings_pb2.ChangeOutcome] = {}
        self.accounts = AccountTable()
        self.accounts.replace(self.places)
        self._effective_cache: dict[tuple[str, str, str], EffectiveSettings] = {}
        self._service_names: frozenset[str] | None = None
        self._longest_prefix_chars: int | None = None

    def apply_change(
        self, revision: int, change: settings_pb2.Change
    ) -> settings_pb2.ChangeOutcome:
        """Apply a change if its places still have the revisions it was based on.

        Each change id is applied at most once. The outcomes of ids older than the
        window are discarded; a change with such an id is refused as expired, because
        it was prepared from a revision before the window.

        :param revision: offset of the change's record plus 1.
        :returns: outcome of the change; if the change id was processed before, its
            first outcome.
        """
        known = self.outcomes.get(change.change_id)
        if known is not None:
            self.skip_record(revision)
            return known
        outcome = self._evaluate(revision, change)
        if outcome.verdict == settings_pb2.VERDICT_ACCEPTED:
            self._apply_edits(revision, change)
        self._advance_revision(revision, outcome.SerializeToString(deterministic=True))
        self.outcomes[change.change_id] = outcome
        return outcome

    def skip_record(self, revision: int) -> None:
        """Advance the revision past a record that changes no settings."""
        self._advance_revision(revision, b"")

    def place_revision(self, place: str) -> int:
        """Return the revision at which a place was last set, or 0 if it is not set."""
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
        """Replace the tree by a snapshot if the snapshot is newer.

        :returns: whether the tree changed.
        """
        if snapshot.revision <= self.revision:
            return False
        self.revision = snapshot.revision
        self.digest = snapshot.digest
        self.places = {state.place: state for state in snapshot.places}
        self.accounts.replace(self.places)
        self.outcomes = {outcome.change_id: outcome for outcome in snapshot.outcomes}
        self._clear_caches()
        return True

    def services(self) -> frozenset[str]:
        """Return the names of the services that have settings."""
        if self._service_names is None:
            prefix = "service:"
            self._service_names = frozenset(
                place.removeprefix(prefix)
                for place in self.places
                if place.startswith(prefix) and "@" not in place
            )
        return self._service_names

    @property
    def requires_account_key(self) -> bool:
        """Return whether calls need the key of a client account."""
        return self.effective_settings("").require_account_key

    def route(self, host: str, path: str) -> settings_pb2.Route | None:
        """Return the route with the longest matching prefix of ``path``, or None.

        A prefix matches if it is the path, or if it ends with a slash and the path
        begins with it, byte for byte. For the same prefix, a route of ``host`` takes
        precedence over a route for any host.
        """
        end = min(len(path), self._longest_prefix())
        is_whole_path = end == len(path)
        while end > 0:
            if is_whole_path or path[end - 1] == "/":
                for candidate in (host, ""):
                    state = self.places.get(f"route:{candidate}{path[:end]}")
                    if state is not None:
                        return state.route
            is_whole_path = False
            end = path.rfind("/", 0, end - 1) + 1
        return None

    def _longest_prefix(self) -> int:
        """Return the length of the longest path prefix of a route.

        It bounds the search in paths with many slashes.
        """
        if self._longest_prefix_chars is None:
            self._longest_prefix_chars = max(
                (
                    len(state.route.path_prefix)
                    for state in self.places.values()
                    if state.WhichOneof("value") == "route"
                ),
                default=0,
            )
        return self._longest_prefix_chars

    def effective_settings(
        self, service: str, data_centre: str = "", endpoint: str = ""
    ) -> EffectiveSettings:
        """Return every setting, each with the value of the most specific place."""
        key = (service, data_centre, endpoint)
        merged = self._effective_cache.get(key)
        if merged is None:
            merged = self._merge(self.lineage(*key))
            self._effective_cache[key] = merged
        return merged

    @staticmethod
    def lineage(service: str, data_centre: str, endpoint: str) -> list[Place]:
        """Return the places that apply to an endpoint, from general to specific."""
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

    def setting_sources(
        self, lineage: list[Place]
    ) -> Iterator[tuple[str, settings_pb2.PlaceState]]:
        """Yield the name of each setting that is set, and the state of its place.

        The order is that of ``lineage``, from general to specific places.
        """
        for place in lineage:
            state = self.places.get(str(place))
            if state is None:
                continue
            for field, _ in state.settings.ListFields():
                yield field.name, state

    def _merge(self, lineage: list[Place]) -> EffectiveSettings:
        values = {
            name: python_value(state.settings, name)
            for name, state in self.setting_sources(lineage)
        }
        return EffectiveSettings(**values)

    def _evaluate(
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
            self._check_conflicts(change, outcome)
        if outcome.reason:
            outcome.verdict = settings_pb2.VERDICT_REFUSED
        return outcome

    def _check_conflicts(
        self, change: settings_pb2.Change, outcome: settings_pb2.ChangeOutcome
    ) -> None:
        for edit in change.edits:
            if self.place_revision(edit.place) == edit.based_on_revision:
                continue
            outcome.reason = settings_pb2.REFUSAL_REASON_CONFLICT
            outcome.place = edit.place
            winner = self.places.get(edit.place) or self._last_accepted_change(
                edit.place
            )
            if winner is not None:
                outcome.winning_change_id = winner.change_id
                outcome.winning_author = winner.author
                outcome.winning_written_at_unix_ms = winner.written_at_unix_ms
            return

    def _last_accepted_change(self, place: str) -> settings_pb2.ChangeOutcome | None:
        for outcome in reversed(self.outcomes.values()):
            accepted = outcome.verdict == settings_pb2.VERDICT_ACCEPTED
            if accepted and place in outcome.places:
                return outcome
        return None

    def _apply_edits(self, revision: int, change: settings_pb2.Change) -> None:
        for edit in change.edits:
            kind = edit.WhichOneof("value")
            before = self.places.get(edit.place)
            if kind == "removal":
                self.places.pop(edit.place, None)
                self.accounts.record_edit(edit.place, before)
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
            self.accounts.record_edit(edit.place, before)
        # The caches hold nothing of accounts and take long to fill in a large tree.
        if not all(is_account_place(edit.place) for edit in change.edits):
            self._clear_caches()

    def _advance_revision(self, revision: int, record_result: bytes) -> None:
        self.revision = revision
        head = struct.pack("<QQ", self.digest, revision)
        self.digest = xxhash.xxh64_intdigest(head + record_result)
        while self.outcomes:
            oldest = next(iter(self.outcomes.values()))
            if oldest.revision > revision - CHANGE_WINDOW_RECORDS:
                return
            del self.outcomes[oldest.change_id]

    def _clear_caches(self) -> None:
        self._effective_cache.clear()
        self._service_names = None
        self._longest_prefix_chars = None
