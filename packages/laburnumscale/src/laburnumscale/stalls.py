"""Stalls.

Measures for how long the event loop of this process was blocked.
"""

import asyncio
import time

__all__ = ["LoopStalls"]

#: Each tick wakes the process. Shorter stalls need no detection: the shortest latency
#: at which an attempt counts as slow is longer than this interval.
TICK_INTERVAL_S = 0.1
#: On a busy host, timers fire this late even if the event loop is not blocked.
TIMER_TOLERANCE_S = 0.02


class LoopStalls:
    """Total time for which the event loop was blocked.

    This time is subtracted from latencies, so that it does not count against targets.
    """

    def __init__(self) -> None:
        self._total_s = 0.0
        self._last_tick_at_s = time.monotonic()

    async def watch(self) -> None:
        """Measure stalls until cancelled."""
        self._last_tick_at_s = time.monotonic()
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self._total_s += self._current_stall_s()
            self._last_tick_at_s = time.monotonic()

    def total_s(self) -> float:
        """Return the total stall time, including a stall that has just ended."""
        return self._total_s + self._current_stall_s()

    def _current_stall_s(self) -> float:
        return max(
            0.0,
            time.monotonic()
            - self._last_tick_at_s
            - TICK_INTERVAL_S
            - TIMER_TOLERANCE_S,
        )
