"""Slot queue.

The calls that wait for a slot of one target; the most urgent one gets the next slot.
"""

import asyncio
import heapq
import itertools
from collections import deque

import attrs

__all__ = ["SlotQueue", "Waiter"]

#: Some seconds of a busy target with a handful of slots.
REMEMBERED_GRANTS = 20
#: Some grants go to every rank that still waits.
HIGHEST_SHARE = 0.9


@attrs.define(order=True)
class Waiter:
    """One call that waits.

    :ivar priority: its rank; 0 goes first.
    :ivar number: its place among those of the same rank.
    :ivar granted: done once the call has a slot, or an exception if it is turned away.
    """

    priority: int
    number: int
    granted: asyncio.Future = attrs.field(order=False)


class SlotQueue:
    """Waiting calls in the order of their rank and arrival."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()
        self._granted_ranks: deque[int] = deque(maxlen=REMEMBERED_GRANTS)

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, priority: int) -> Waiter:
        """Add a call and return its place."""
        granted = asyncio.get_running_loop().create_future()
        waiter = Waiter(priority, next(self._numbers), granted)
        heapq.heappush(self._waiters, waiter)
        return waiter

    def leave(self, waiter: Waiter) -> None:
        """Remove a call that does not wait any more."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def count_ahead(self, priority: int) -> int:
        """Return how many calls go before one of this rank that arrives now."""
        return sum(waiter.priority <= priority for waiter in self._waiters)

    def expected_turns(self, priority: int) -> float:
        """Return how many slots must become free for a call that arrives now.

        Calls of higher rank that arrive while it waits go first too; their share is
        that of the latest grants.
        """
        granted = self._granted_ranks
        first = sum(rank < priority for rank in granted)
        share = min(HIGHEST_SHARE, first / max(1, len(granted)))
        return (self.count_ahead(priority) + 1) / (1 - share)

    def grant_next(self) -> bool:
        """Give a slot to the most urgent call.

        :returns: whether a call took it.
        """
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if not waiter.granted.done():
                waiter.granted.set_result(None)
                self._granted_ranks.append(waiter.priority)
                return True
        return False

    def turn_away_below(self, priority: int, error: Exception) -> bool:
        """Turn the least urgent call away if it ranks below ``priority``.

        :returns: whether there was one.
        """
        below = [waiter for waiter in self._waiters if waiter.priority > priority]
        if not below:
            return False
        self._turn_away(max(below), error)
        return True

    def turn_all_away(self, error: Exception) -> None:
        """Turn every call away."""
        for waiter in list(self._waiters):
            self._turn_away(waiter, error)

    def _turn_away(self, waiter: Waiter, error: Exception) -> None:
        self.leave(waiter)
        if not waiter.granted.done():
            waiter.granted.set_exception(error)
