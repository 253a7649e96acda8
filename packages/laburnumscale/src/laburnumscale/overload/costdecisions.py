"""Cost decisions.

Decides which calls wait for scarce capacity, which are refused, and which goes next.
"""

import attrs

from laburnumscale.overload.granthistory import GrantHistory
from laburnumscale.overload.priorityshares import LOWER_SHARE
from laburnumscale.overload.waitingcalls import WaitingCall, WaitingCalls
from laburnumscale.overload.workestimates import WorkEstimates, work_class

__all__ = ["Admission", "CallNeeds", "CostDecisions", "Refusal"]

MS_PER_S = 1000
#: Short calls go ahead of all priorities, see ``CallNeeds.is_short``.
SHORT_PRIORITY = -1
#: Likelihood of ending in time that a call needs to start. The former margin of 1.25 of
#: the mean is about the same at the spread of the known workloads. A call that may run
#: only once is lost for good if it does not end in time; a late answer is worth a tenth
#: to a fifth of that loss, so its likelihood must be about nine tenths.
MIN_LIKELIHOOD = 0.8
MIN_LIKELIHOOD_ONCE = 0.9
MIN_RETRY_AFTER_MS = 100
#: Callers honour a delay of up to a third of their remaining time.
HONOURED_SHARE = 1 / 3
#: That share of the longest deadline of the known workloads; bounds the delay of calls
#: whose deadline is not known here.
MAX_RETURN_S = 13.0


@attrs.frozen
class CallNeeds:
    """What a call needs, and until when.

    :ivar route: hash of its route.
    :ivar reference_ms: its expected work as others know it; 0 if unknown.
    :ivar deadline_s: time by which it must have ended.
    :ivar objective_s: time by which it should have ended.
    :ivar start_limit_s: time by which it must have started.
    :ivar may_repeat: whether it may run more than once.
    :ivar is_short: whether it takes little time compared with the others and is made
        for a call that holds capacity meanwhile.
    """

    priority: int
    account: str
    route: int
    reference_ms: float
    deadline_s: float
    objective_s: float = float("inf")
    start_limit_s: float = float("inf")
    may_repeat: bool = True
    is_short: bool = False


@attrs.frozen
class Admission:
    """A call may wait.

    :ivar call: the call, which waits from now on.
    :ivar evicted: the call that lost its place to it, if any.
    """

    call: WaitingCall
    evicted: WaitingCall | None


@attrs.frozen
class Refusal:
    """A call may not wait.

    :ivar cause: ``deadline``, ``objective`` or ``full``: the call would miss its
        deadline or its objective, or costs less than those that wait.
    :ivar retry_after_ms: time after which the calls that wait will have started, and
        those refused before, if they come back. A call that comes back earlier finds
        most of them ahead of it again.
    """

    cause: str
    retry_after_ms: int


class CostDecisions:
    """The decisions on the calls that wait for one capacity, such as a target's slots.

    Times are in seconds on any one clock.

    :ivar estimates: what is known of the work of the routes.
    """

    def __init__(self) -> None:
        self.estimates = WorkEstimates()
        self._waiting = WaitingCalls()
        self._grants = GrantHistory(max_share=1 - LOWER_SHARE)
        self._promised_at_s = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    def can_end(self, needs: CallNeeds, now_s: float) -> bool:
        """Return whether a call that starts now is likely enough to end in time."""
        left_ms = (needs.deadline_s - now_s) * MS_PER_S
        likelihood = self.estimates.likelihood(needs.route, left_ms, needs.reference_ms)
        return likelihood >= _min_likelihood(needs)

    def admit(
        self,
        sequence: int,
        needs: CallNeeds,
        now_s: float,
        capacity: int,
        held_ms: float,
        limit: int,
    ) -> Admission | Refusal:
        """Decide whether a call may wait, and add it if so.

        :param sequence: number of the call, higher than those of earlier calls.
        :param capacity: number of calls that run at a time.
        :param held_ms: average time for which a call holds its part of the capacity.
        :param limit: maximum number of waiting calls.
        """
        call = self._describe(sequence, needs, held_ms)
        overtaking = self._grants.overtaking_share(call.priority)
        useful_ms = self._waiting.work_ahead_ms(call, overtaking, now_s)
        wait_ms = (useful_ms + held_ms) / max(1, capacity)
        start_at_s = now_s + wait_ms / MS_PER_S
        cause, victim = "", None
        if start_at_s > call.last_start_s:
            cause = "deadline"
        elif start_at_s > call.useful_start_s:
            cause = "objective"
        elif limit < 1:
            cause = "full"
        else:
            self._waiting.add(call, now_s)
            if len(self._waiting) > limit:
                victim = self._waiting.choose_victim(now_s)
                self._waiting.remove(victim.sequence)
            if victim is call:
                cause = "full"
        if cause:
            retry_after_ms = self.return_after_ms(
                now_s, needs.deadline_s, capacity, held_ms
            )
            return Refusal(cause, retry_after_ms)
        return Admission(call, victim)

    def take_next(self, now_s: float) -> WaitingCall | None:
        """Remove and return the call that starts next; None if none waits."""
        call = self._waiting.take_next(now_s)
        if call is not None:
            self._grants.record_grant(call.priority)
        return call

    def record_direct_start(self) -> None:
        """Record that a call started without waiting."""
        self._grants.record_direct_start()

    def add(self, call: WaitingCall, now_s: float) -> None:
        """Add a call without a decision, such as one that waits elsewhere already."""
        self._waiting.add(call, now_s)

    def remove(self, sequence: int) -> None:
        """Remove a call if it waits."""
        self._waiting.remove(sequence)

    def return_after_ms(
        self, now_s: float, deadline_s: float, capacity: int, held_ms: float
    ) -> int:
        """Return after what time a refused call may be repeated.

        Each one is told a later time than those refused before it, by the time in which
        a part of the capacity becomes free, so that callers do not return together. If
        a caller would not honour that time, the first time is given again.

        :param deadline_s: deadline of the call.
        """
        drain_ms = self.drain_ms(capacity, held_ms)
        soonest_at_s = now_s + drain_ms / MS_PER_S
        honoured_s = min(HONOURED_SHARE * (deadline_s - now_s), MAX_RETURN_S)
        if soonest_at_s > now_s + honoured_s:
            return drain_ms
        return_at_s = max(soonest_at_s, self._promised_at_s)
        if return_at_s > now_s + honoured_s:
            return_at_s = soonest_at_s
        self._promised_at_s = return_at_s + held_ms / max(1, capacity) / MS_PER_S
        return round((return_at_s - now_s) * MS_PER_S)

    def drain_ms(self, capacity: int, held_ms: float) -> int:
        """Return after what time all waiting calls are expected to have started."""
        work_ms = self._waiting.total_work_ms() + held_ms
        return max(MIN_RETRY_AFTER_MS, int(work_ms / max(1, capacity)))

    def _describe(self, sequence: int, needs: CallNeeds, held_ms: float) -> WaitingCall:
        # The work of a new route counts, too, or its account would take no turns.
        work_ms = self.estimates.expected_ms(needs.route, needs.reference_ms) or held_ms
        likely_ms = self._likely_ms(needs, _min_likelihood(needs))
        last_start_s = needs.deadline_s - likely_ms / MS_PER_S
        useful_start_s = last_start_s
        if not needs.is_short:
            likely_ms = self._likely_ms(needs, MIN_LIKELIHOOD)
            useful_start_s = needs.objective_s - likely_ms / MS_PER_S
        last_start_s = min(last_start_s, needs.start_limit_s)
        return WaitingCall(
            sequence=sequence,
            priority=SHORT_PRIORITY if needs.is_short else needs.priority,
            account=needs.account,
            work_ms=work_ms,
            work_class=work_class(work_ms),
            useful_start_s=min(useful_start_s, last_start_s),
            last_start_s=last_start_s,
        )

    def _likely_ms(self, needs: CallNeeds, likelihood: float) -> float:
        return self.estimates.quantile_ms(needs.route, likelihood, needs.reference_ms)


def _min_likelihood(needs: CallNeeds) -> float:
    return MIN_LIKELIHOOD if needs.may_repeat else MIN_LIKELIHOOD_ONCE
