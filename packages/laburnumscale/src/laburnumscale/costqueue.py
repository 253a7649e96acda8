"""Cost queue.

Holds the calls that wait for a slot of a target and grants slots by cost and fairness.
"""

import asyncio
from collections.abc import Callable

from laburnumscale.deadlines import now_s
from laburnumscale.failurereplies import QueueRefused
from laburnumscale.overload import CallNeeds, CostDecisions, Refusal, WaitingCall
from laburnumscale.slotqueue import SEQUENCES, Waiter
from laburnumscale_schema import peer_pb2

__all__ = ["CostQueue"]

US_PER_MS = 1000


class CostQueue:
    """Waiting calls in the order of :class:`CostDecisions`.

    :param clock: returns the time in seconds on the clock of deadlines.
    """

    name = "cost"

    def __init__(self, clock: Callable[[], float] = now_s) -> None:
        self._clock = clock
        self._decisions = CostDecisions()
        self._waiters: dict[int, tuple[Waiter, WaitingCall]] = {}

    def __len__(self) -> int:
        return len(self._waiters)

    def can_end(self, needs: CallNeeds) -> bool:
        """Return whether a call that starts now is likely enough to end in time."""
        return self._decisions.can_end(needs, self._clock())

    def drain_ms(self, slots: int, held_ms: float) -> int:
        """Return after what time all queued calls are expected to have started."""
        return self._decisions.drain_ms(slots, held_ms)

    def return_after_ms(self, deadline_s: float, slots: int, held_ms: float) -> int:
        """Return after what time a refused call may be repeated."""
        return self._decisions.return_after_ms(
            self._clock(), deadline_s, slots, held_ms
        )

    def enqueue(
        self, needs: CallNeeds, slots: int, held_ms: float, limit: int
    ) -> tuple[Waiter, WaitingCall]:
        """Add a call to the queue.

        :param held_ms: average time for which a call holds a slot.
        :param limit: maximum number of waiting calls; beyond it, one is evicted.
        :raises QueueRefused: the call may not wait.
        """
        sequence = next(SEQUENCES)
        decision = self._decisions.admit(
            sequence, needs, self._clock(), slots, held_ms, limit
        )
        if isinstance(decision, Refusal):
            raise QueueRefused(
                peer_pb2.NOT_RUN_REASON_OVERLOADED,
                decision.retry_after_ms,
                decision.cause,
            )
        if decision.evicted is not None:
            self._refuse_evicted(decision.evicted, slots, held_ms)
        call = decision.call
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(call.priority, sequence, granted)
        self._waiters[sequence] = waiter, call
        return waiter, call

    def discard(self, waiter: Waiter) -> None:
        """Remove a call if it is still queued."""
        if self._waiters.pop(waiter.sequence, None) is not None:
            self._decisions.remove(waiter.sequence)

    def record_direct_start(self) -> None:
        """Record that a call got a free slot without waiting."""
        self._decisions.record_direct_start()

    def record_work(self, route: int, work_us: float) -> None:
        """Record how long a target worked on a call of a route."""
        self._decisions.estimates.add(route, work_us / US_PER_MS)

    def grant_next(self) -> bool:
        """Grant a slot to the call that is next.

        :returns: whether a waiting call received the slot.
        """
        time_s = self._clock()
        while (next_call := self._decisions.take_next(time_s)) is not None:
            waiter, call = self._waiters.pop(next_call.sequence)
            if waiter.granted.done():
                continue
            if call.last_start_s < time_s:
                # The timer of the call is late, for example after a stall.
                waiter.granted.set_exception(
                    QueueRefused(peer_pb2.NOT_RUN_REASON_DEADLINE, cause="deadline")
                )
                continue
            waiter.granted.set_result(None)
            return True
        return False

    def evict_all(self, new_error: Callable[[], Exception]) -> None:
        """Evict all calls, each with an exception of its own."""
        for waiter in self.take_waiters():
            if not waiter.granted.done():
                waiter.granted.set_exception(new_error())

    def take_waiters(self) -> list[Waiter]:
        """Remove and return all queued calls in the order of their arrival."""
        waiters = [waiter for waiter, _ in self._waiters.values()]
        for waiter in waiters:
            self.discard(waiter)
        return waiters

    def adopt(self, waiter: Waiter) -> None:
        """Add a call that was queued under another policy.

        Only its priority is known here; its own task still ends its wait in time.
        """
        call = WaitingCall(waiter.sequence, waiter.priority)
        self._waiters[waiter.sequence] = waiter, call
        self._decisions.add(call, self._clock())

    def _refuse_evicted(self, call: WaitingCall, slots: int, held_ms: float) -> None:
        waiter, _ = self._waiters.pop(call.sequence)
        if not waiter.granted.done():
            waiter.granted.set_exception(
                QueueRefused(
                    peer_pb2.NOT_RUN_REASON_OVERLOADED,
                    self.return_after_ms(call.last_start_s, slots, held_ms),
                    "evicted",
                )
            )
