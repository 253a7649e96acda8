"""Virtual time.

Runs a coroutine on an event loop whose clock jumps to the next timer.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

__all__ = ["VirtualTimeLoop", "run_in_virtual_time"]

START_S = 1_000.0  # deadlines of 0 must lie in the past


class _JumpingSelector(selectors.SelectSelector):
    """A selector that advances a clock by the time for which it would wait.

    It fails instead of waiting for ever.
    """

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> list:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left to wait for"
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without real waiting; only its own clock is virtual."""

    def __init__(self) -> None:
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping_selector.now_s


def run_in_virtual_time(create: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in virtual time and return its result.

    The clocks that the library reads are replaced while it runs.

    :param create: returns the coroutine; called once the clocks are replaced.
    """
    loop = VirtualTimeLoop()
    with (
        mock.patch.object(time, "monotonic", loop.time),
        mock.patch.object(time, "clock_gettime", lambda clock: loop.time()),
    ):
        try:
            return loop.run_until_complete(create())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(loop.shutdown_asyncgens())
            loop.close()
