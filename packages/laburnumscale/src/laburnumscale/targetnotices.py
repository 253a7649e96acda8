"""Target notices.

What targets have said of themselves in their responses, as far as an entry was told.
The entry repeats it with its attempts: a guard that has started again, and that heard
no response of its target yet, thus still keeps to it.
"""

import random
from collections import OrderedDict

import attrs

from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.members import EndpointView
from laburnumscale.targetlimit import MIN_CALLS_PER_S
from laburnumscale_schema import peer_pb2

__all__ = ["TargetNotices"]

NOTICE_LIFETIME_MS = 60_000
MAX_NOTICES = 4_096
#: Part of an interval that an entry may be late after a refusal. If refused entries
#: caught up on more, they would be refused more often.
MAX_LATE_AFTER_REFUSAL = 0.125


@attrs.define
class _Pace:
    """The pace of this entry at a target that names a limit.

    The time that a share waits for a call counts towards the next one, for up to one
    interval: otherwise entries with few calls would leave a part of the limit unused.

    :ivar next_call: when this entry may choose the target again.
    :ivar due: when its next share begins; earlier than ``next_call`` after a refusal.
    :ivar used: when the share of its latest call began.
    """

    next_call: Deadline
    due: Deadline
    used: Deadline

    @classmethod
    def begin(cls, interval_s: float) -> "_Pace":
        """Return a pace whose first share begins within an interval."""
        begin_s = now_s()
        first = Deadline(begin_s + random.uniform(0, 1) * interval_s)
        return cls(next_call=first, due=first, used=Deadline(begin_s))

    def use_share(self, interval_s: float) -> None:
        """Use up the share that is due."""
        sent_at_s = now_s()
        begin_s = min(sent_at_s, max(self.due.at_s, sent_at_s - interval_s))
        self.used = Deadline(begin_s)
        self.due = Deadline(begin_s + random.uniform(0.5, 1.5) * interval_s)
        self.next_call = self.due

    def give_back(self, interval_s: float, retry_after_ms: int) -> None:
        """Give back the share of a call that was refused."""
        self.next_call = Deadline.after_ms(retry_after_ms)
        earliest_s = self.next_call.at_s - MAX_LATE_AFTER_REFUSAL * interval_s
        self.due = Deadline(max(self.used.at_s, earliest_s))


@attrs.define
class _KnownNotice:
    """A notice and the pace of this entry at its target.

    :ivar guard_incarnation: incarnation of the guard that reported it.
    :ivar verdict_version: version of the guard's verdict at that time.
    :ivar expires: when the notice is forgotten unless it is repeated.
    """

    notice: peer_pb2.TargetNotice
    guard_incarnation: int
    verdict_version: int
    expires: Deadline
    pace: _Pace


class TargetNotices:
    """The notices of the targets that an entry calls, by service and endpoint."""

    def __init__(self) -> None:
        self._known: OrderedDict[tuple[str, str], _KnownNotice] = OrderedDict()

    def get(self, view: EndpointView) -> peer_pb2.TargetNotice | None:
        """Return the latest notice of a target, or None."""
        known = self._find(view)
        return None if known is None else known.notice

    def record(
        self, view: EndpointView, report: peer_pb2.LoadReport, entry_count: int
    ) -> None:
        """Record what the load report of a guard says of its target.

        :param entry_count: number of entries that share the limit.
        """
        key = (view.service, view.endpoint)
        if not report.HasField("notice"):
            self._known.pop(key, None)
            return
        known = self._known.get(key)
        interval_s = _interval_s(report.notice, entry_count)
        pace = known.pace if known else _Pace.begin(interval_s)
        expires = Deadline.after_ms(NOTICE_LIFETIME_MS)
        self._known[key] = _KnownNotice(
            notice=report.notice,
            guard_incarnation=view.incarnation,
            verdict_version=report.verdict_version,
            expires=expires,
            pace=pace,
        )
        if len(self._known) > MAX_NOTICES:
            self._known.popitem(last=False)

    def record_start(self, view: EndpointView, entry_count: int) -> None:
        """Record that this entry sends a call to a target.

        :param entry_count: number of entries that share the limit.
        """
        known = self._known.get((view.service, view.endpoint))
        if known is not None:
            known.pace.use_share(_interval_s(known.notice, entry_count))

    def record_refusal(
        self, view: EndpointView, retry_after_ms: int, entry_count: int
    ) -> None:
        """Record that a guard had no capacity for a call of this entry.

        The call used up no share of the limit, so the entry comes back as it was told.

        :param entry_count: number of entries that share the limit.
        """
        known = self._known.get((view.service, view.endpoint))
        if known is not None:
            interval_s = _interval_s(known.notice, entry_count)
            known.pace.give_back(interval_s, retry_after_ms)

    def is_limited(self, view: EndpointView) -> bool:
        """Return whether this entry has used up its share of a target's limit.

        An entry chooses such a target only if no other is left, and the guard decides.
        """
        known = self._find_limit(view)
        return known is not None and not known.pace.next_call.has_passed()

    def is_due(self, view: EndpointView) -> bool:
        """Return whether this entry has a call left in its share of a target's limit.

        The target gets it even if others are faster.
        """
        known = self._find_limit(view)
        return known is not None and known.pace.next_call.has_passed()

    def _find_limit(self, view: EndpointView) -> _KnownNotice | None:
        known = self._find(view)
        if known is None or not known.notice.HasField("calls_per_s"):
            return None
        return known

    def _find(self, view: EndpointView) -> _KnownNotice | None:
        known = self._known.get((view.service, view.endpoint))
        if known is None or known.expires.has_passed() or _has_ended(known, view):
            return None
        return known


def _has_ended(known: _KnownNotice, view: EndpointView) -> bool:
    """Return whether the guard has published since that the target names no limit.

    A guard that has started again does not know the limit until it is told.
    """
    return (
        view.incarnation == known.guard_incarnation
        and view.verdict_version > known.verdict_version
        and not view.names_limit
        and not known.notice.leaving
    )


def _interval_s(notice: peer_pb2.TargetNotice, entry_count: int) -> float:
    """Return the time between two calls of an entry that takes an even share."""
    return entry_count / max(MIN_CALLS_PER_S, notice.calls_per_s)
