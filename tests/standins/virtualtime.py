"""Virtual time.

An event loop whose clock jumps to the next timer, so that a test of minutes takes
seconds.
"""

import asyncio
import selectors

__all__ = ["VirtualTimeLoop"]


class _JumpingSelector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1_000.0

    def select(self, timeout=None):
        """Return what is ready at once, or let the time pass."""
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "nothing is left to wait for"
            self.now_s += max(0.0, timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop without real waiting; its time is also the clock of the test."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._jumping.now_s
