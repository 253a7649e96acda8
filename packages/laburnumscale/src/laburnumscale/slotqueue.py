"""Slot queue.

Holds the calls that wait for a slot of a target and grants slots by priority.
"""

import asyncio
import heapq
import itertools
from collections.abc import Callable

import attrs

from laburnumscale.overload import GrantHistory

__all__ = ["SEQUENCES", "SlotQueue", "Waiter"]

#: Source of the arrival order, which holds when calls change to another queue.
SEQUENCES = itertools.count()

MAX_OVERTAKING_SHARE = 0.9


@attrs.define(order=True)
class Waiter:
    """A call that waits for a slot.

    :ivar priority: 0 is the most urgent.
    :ivar sequence: arrival order among calls of the same priority.
    :ivar granted: completes once the call has a slot; fails if the call is evicted.
    """

    priority: int
    sequence: int
    granted: asyncio.Future = attrs.field(order=False)


class SlotQueue:
    """Waiting calls, ordered by priority and then by arrival."""

    name = "priority"

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._grants = GrantHistory(MAX_OVERTAKING_SHARE)

    def __len__(self) -> int:
        return len(self._waiters)

    def enqueue(self, priority: int) -> Waiter:
        """Add a call to the queue and return its waiter."""
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(SEQUENCES), granted)
        heapq.heappush(self._waiters, waiter)
        return waiter

    def discard(self, waiter: Waiter) -> None:
        """Remove a call if it is still queued."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def count_ahead(self, priority: int) -> int:
        """Return how many queued calls precede a new call of this priority."""
        return sum(waiter.priority <= priority for waiter in self._waiters)

    def record_direct_start(self) -> None:
        """Record that a call got a free slot without waiting."""
        self._grants.record_direct_start()

    def record_work(self, route: int, work_us: float) -> None:
        """Do nothing: this queue does not consider the work of a call."""

    def expected_releases(self, priority: int) -> float:
        """Return how many slot releases a new call is expected to wait for.

        More urgent calls that arrive later overtake it. Their share of the coming
        grants is estimated from the most recent calls that started, with or without
        waiting.
        """
        share = self._grants.overtaking_share(priority)
        return (self.count_ahead(priority) + 1) / (1 - share)

    def grant_next(self) -> bool:
        """Grant a slot to the most urgent call.

        :returns: whether a waiting call received the slot.
        """
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if not waiter.granted.done():
                waiter.granted.set_result(None)
                self._grants.record_grant(waiter.priority)
                return True
        return False

    def evict_less_urgent(self, priority: int, error: Exception) -> bool:
        """Evict the least urgent call if it is less urgent than ``priority``.

        :returns: whether a call was evicted.
        """
        less_urgent = [waiter for waiter in self._waiters if waiter.priority > priority]
        if not less_urgent:
            return False
        self._evict(max(less_urgent), error)
        return True

    def evict_all(self, new_error: Callable[[], Exception]) -> None:
        """Evict all calls, each with an exception of its own."""
        for waiter in list(self._waiters):
            self._evict(waiter, new_error())

    def take_waiters(self) -> list[Waiter]:
        """Remove and return all queued calls in the order of their arrival."""
        waiters = sorted(self._waiters, key=lambda waiter: waiter.sequence)
        self._waiters.clear()
        return waiters

    def adopt(self, waiter: Waiter) -> None:
        """Add a call that was queued under another policy."""
        heapq.heappush(self._waiters, waiter)

    def _evict(self, waiter: Waiter, error: Exception) -> None:
        self.discard(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(error)
