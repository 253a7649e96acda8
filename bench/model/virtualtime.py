"""Virtual time.

Runs a coroutine on an event loop whose clock jumps to the next timer.
"""

import asyncio
import selectors
import time
from collections.abc import Callable, Coroutine
from typing import Any
from unittest import mock

__all__ = ["VirtualTimeLoop", "VirtualTimePlay", "run_in_virtual_time"]

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


class VirtualTimePlay:
    """Runs coroutines one after the other on an event loop with virtual time.

    Tasks that one of them has started go on while the next ones run.
    """

    def __init__(self) -> None:
        self._loop = VirtualTimeLoop()

    def run(self, coroutine: Coroutine[Any, Any, Any]) -> Any:
        """Run a coroutine and return its result.

        The clocks that the library reads are replaced while it runs.
        """
        with (
            mock.patch.object(time, "monotonic", self._loop.time),
            mock.patch.object(time, "clock_gettime", lambda clock: self._loop.time()),
        ):
            return self._loop.run_until_complete(coroutine)

    def close(self) -> None:
        """Cancel the tasks that still run."""
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(self._loop.shutdown_asyncgens())
        self._loop.close()


def run_in_virtual_time(create: Callable[[], Coroutine[Any, Any, Any]]) -> Any:
    """Run a coroutine in virtual time and return its result.

    The clocks that the library reads are replaced while it runs.

    :param create: returns the coroutine; called once the clocks are replaced.
    """
    play = VirtualTimePlay()

    async def run() -> Any:
        return await create()

    try:
        return play.run(run())
    finally:
        play.close()
