"""In flight.

Counts the calls that are not over, so that a drain can wait for their end.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.deadlines import Deadline

__all__ = ["InFlight"]


class InFlight:
    """The number of calls in flight in one role of the daemon."""

    def __init__(self) -> None:
        self.count = 0
        self._empty = asyncio.Event()
        self._empty.set()

    @contextmanager
    def one(self) -> Iterator[None]:
        """Count one call while the context lasts."""
        self.count += 1
        self._empty.clear()
        try:
            yield
        finally:
            self.count -= 1
            if self.count == 0:
                self._empty.set()

    async def wait_empty(self, deadline: Deadline) -> bool:
        """Wait for the end of all calls.

        :returns: whether they ended before the deadline.
        """
        try:
            async with asyncio.timeout(deadline.left_s()):
                await self._empty.wait()
        except TimeoutError:
            return False
        return True
