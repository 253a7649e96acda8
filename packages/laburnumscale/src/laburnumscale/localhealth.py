"""Local health.

How far this daemon may trust its own silence before it suspects others.
"""

import time

__all__ = ["LocalHealth"]

HIGHEST_SCORE = 8
LATE_LIMIT_S = 0.2


class LocalHealth:
    """Counts signs that this daemon itself is slow, paused or cut off.

    :ivar score: 0 for none; the probes get ``score + 1`` times as long.
    :ivar heard_at_s: monotonic time of the last datagram from anyone.
    """

    def __init__(self) -> None:
        self.score = 0
        self.heard_at_s = 0.0

    @property
    def factor(self) -> int:
        """Return the number by which probes are prolonged."""
        return self.score + 1

    def heard(self) -> None:
        """Note that a datagram arrived."""
        self.heard_at_s = time.monotonic()

    def good(self) -> None:
        """Note a probe that was answered."""
        self.score = max(0, self.score - 1)

    def bad(self) -> None:
        """Note a sign of trouble on this side."""
        self.score = min(HIGHEST_SCORE, self.score + 1)

    def is_late(self, expected_at_s: float) -> bool:
        """Tell whether the event loop woke too late to judge others by time."""
        if time.monotonic() - expected_at_s < LATE_LIMIT_S:
            return False
        self.bad()
        return True
