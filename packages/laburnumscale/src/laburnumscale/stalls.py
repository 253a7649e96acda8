"""Stalls.

Measures for how long the event loop of this process did not run.
"""

import asyncio
import time

__all__ = ["LoopStalls"]

#: Each tick wakes the process; a stall matters from the least time by which an
#: attempt counts as slow, which is longer.
TICK_INTERVAL_S = 0.1
#: Timers fire this late on a busy host without a stall.
TOLERANCE_S = 0.02


class LoopStalls:
    """Adds up the time that the event loop lost, so that no target is blamed for it."""

    def __init__(self) -> None:
        self._total_s = 0.0
        self._ticked_at_s = time.monotonic()

    async def watch(self) -> None:
        """Tick until cancelled."""
        self._ticked_at_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._total_s += self._late_s()
            self._ticked_at_s = time.monotonic()

    def total_s(self) -> float:
        """Return the time lost so far, a stall that has just ended included."""
        return self._total_s + self._late_s()

    def _late_s(self) -> float:
        return max(
            0.0, time.monotonic() - self._ticked_at_s - TICK_INTERVAL_S - TOLERANCE_S
        )
