"""Memory budget.

Decides whether the daemon may hold more for callers, targets and peers.
"""

import asyncio
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum

from laburnumscale.deadlines import Deadline
from laburnumscale.metrics import Metrics

__all__ = ["MemoryBudget", "Purpose"]

#: The rest of the memory that the process does not need for itself is for
#: fragmentation and for growing control state. With the budget in full use, processes
#: with a limit of 120 MB stayed 16 MB below it.
BUDGET_SHARE = 0.6
#: Enough for one upload and one response at a time, also if the limit is below what the
#: process needs for itself.
MIN_SIZE_BYTES = 8 * 1024 * 1024


class Purpose(StrEnum):
    """What memory is held for."""

    KEPT_PARTS = "kept_parts"
    UPLOADS = "uploads"
    BODIES = "bodies"
    HEADS = "heads"
    RECEIVED = "received"
    EXPECTED_ANSWERS = "expected_answers"
    CALLS = "calls"
    TARGET_RESPONSES = "target_responses"
    STREAMS = "streams"
    RESPONSES = "responses"
    ANSWERS = "answers"
    CONNECTIONS = "connections"


#: Up to which share of the budget a purpose may fill it, together with all others. What
#: costs callers least is refused first: copies of bodies that only a repeat needs, then
#: large uploads, then small bodies and long header sections, then all calls. Requests
#: cannot take the room that responses need, so that calls that have run are answered.
#: The responses of targets, and those that wait at the entry, leave room for those that
#: callers read, since each of the former ends only once one of the latter has.
CEILINGS = {
    Purpose.KEPT_PARTS: 0.4,
    Purpose.UPLOADS: 0.6,
    Purpose.BODIES: 0.65,
    Purpose.HEADS: 0.7,
    Purpose.RECEIVED: 0.73,
    Purpose.EXPECTED_ANSWERS: 0.75,
    Purpose.CALLS: 0.78,
    Purpose.TARGET_RESPONSES: 0.8,
    Purpose.STREAMS: 0.85,
    Purpose.RESPONSES: 0.95,
    Purpose.ANSWERS: 1.0,
    Purpose.CONNECTIONS: 1.0,
}
#: How often a response that waits for room asks others to give some back.
SHORTAGE_INTERVAL_S = 0.5
#: Share of the budget that open connections may take.
CONNECTIONS_SHARE = 0.4


class MemoryBudget:
    """The memory that a daemon holds for others, by purpose.

    :param limit_bytes: memory of the process; 0 for no limit.
    :param own_bytes: what the process needs for itself.
    :param metrics: gets the reserved bytes and the refusals by purpose.
    :ivar size_bytes: how much may be held; 0 for no limit.
    :ivar used_bytes: how much is held.
    :ivar on_shortage: called when a response waits for room, now and repeatedly; lets
        those give back memory that make no progress.
    """

    def __init__(
        self, limit_bytes: int = 0, own_bytes: int = 0, metrics: Metrics | None = None
    ) -> None:
        self.size_bytes = 0
        self.used_bytes = 0
        self.on_shortage: Callable[[], None] = lambda: None
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._used_by_purpose: Counter[Purpose] = Counter()
        self._waiters: dict[Purpose, deque[tuple[asyncio.Future, int]]] = {}
        self.set_own_bytes(own_bytes)

    def set_own_bytes(self, own_bytes: int) -> None:
        """Compute the size from what the process needs for itself."""
        if self._limit_bytes:
            left_bytes = int((self._limit_bytes - own_bytes) * BUDGET_SHARE)
            self.size_bytes = max(MIN_SIZE_BYTES, left_bytes)

    def held_for(self, purpose: Purpose) -> int:
        """Return how much is held for a purpose."""
        return self._used_by_purpose[purpose]

    def reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        """Reserve memory for a purpose and return whether there was room."""
        if not self._has_room(purpose, size_bytes):
            if self._metrics is not None:
                self._metrics.count("memory_refusals", f'purpose="{purpose}"')
            return False
        self._add(purpose, size_bytes)
        return True

    def release(self, purpose: Purpose, size_bytes: int) -> None:
        """Give back memory, and reserve it for those that wait for room."""
        self._add(purpose, -size_bytes)
        for wanted_for, waiters in self._waiters.items():
            self._grant(wanted_for, waiters)

    def _grant(
        self, purpose: Purpose, waiters: deque[tuple[asyncio.Future, int]]
    ) -> None:
        """Reserve memory for those that wait, in their order, while there is room."""
        while waiters:
            waiter, size_bytes = waiters[0]
            if not waiter.done():
                if not self._has_room(purpose, size_bytes):
                    return
                self._add(purpose, size_bytes)
                waiter.set_result(None)
            waiters.popleft()

    async def wait_for_room(
        self, purpose: Purpose, size_bytes: int, deadline: Deadline
    ) -> bool:
        """Reserve memory as soon as there is room, in the order of the requests.

        Those with the same purpose wait for each other.

        :returns: whether it was reserved before the deadline.
        """
        waiters = self._waiters.setdefault(purpose, deque())
        if not waiters and self._has_room(purpose, size_bytes):
            self._add(purpose, size_bytes)
            return True
        waiter = asyncio.get_running_loop().create_future()
        waiters.append((waiter, size_bytes))
        try:
            while not waiter.done() and not deadline.has_passed():
                self.on_shortage()
                wait_s = min(SHORTAGE_INTERVAL_S, deadline.left_s())
                await asyncio.wait((waiter,), timeout=wait_s)
        except asyncio.CancelledError:
            if self._was_granted(waiter):
                self.release(purpose, size_bytes)
            waiter.cancel()
            raise
        if not waiter.done():
            waiter.cancel()
        return self._was_granted(waiter)

    @staticmethod
    def _was_granted(waiter: asyncio.Future) -> bool:
        return waiter.done() and not waiter.cancelled()

    def _has_room(self, purpose: Purpose, size_bytes: int) -> bool:
        if not self.size_bytes:
            return True
        return self.used_bytes + size_bytes <= self.size_bytes * CEILINGS[purpose]

    def _add(self, purpose: Purpose, size_bytes: int) -> None:
        self.used_bytes += size_bytes
        self._used_by_purpose[purpose] += size_bytes
        if self._metrics is not None:
            self._metrics.set_value(
                "memory_reserved_bytes",
                self._used_by_purpose[purpose],
                f'purpose="{purpose}"',
            )

    def connection_share(self, connection_bytes: int, max_connections: int) -> int:
        """Return how many connections may be open at a time.

        :param connection_bytes: memory of one connection.
        :param max_connections: the limit for other reasons.
        """
        if not self.size_bytes:
            return max_connections
        share = int(self.size_bytes * CONNECTIONS_SHARE / connection_bytes)
        return max(1, min(max_connections, share))
