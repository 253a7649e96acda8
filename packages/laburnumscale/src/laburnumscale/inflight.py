"""In-flight counter.

Counts the calls in flight so that a drain can wait until they have ended.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.deadlines import Deadline

__all__ = ["InFlightCounter"]


class InFlightCounter:
    """Number of calls in flight in one role of the daemon.

    :ivar count: calls that have started and not yet ended.
    """

    def __init__(self) -> None:
        self.count = 0
        self._idle = asyncio.Event()
        self._idle.set()

    @contextmanager
    def track(self) -> Iterator[None]:
        """Count a call as in flight while the context lasts."""
        self.count += 1
        self._idle.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._idle.set()

    async def wait_until_idle(self, deadline: Deadline) -> bool:
        """Wait until no call is in flight.

        :returns: whether all calls ended before the deadline.
        """
        try:
            async with asyncio.timeout(deadline.left_s()):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
