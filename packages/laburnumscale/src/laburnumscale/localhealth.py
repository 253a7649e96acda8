"""Local health.

Scores the health of this daemon, which scales the timeouts of its probes.
"""

import time

__all__ = ["LocalHealth"]

MAX_SCORE = 8
MAX_WAKEUP_DELAY_S = 0.2


class LocalHealth:
    """Scores signs that this daemon itself is slow, paused or partitioned.

    :ivar score: 0 if healthy; probe intervals and timeouts are multiplied by
        ``score + 1``.
    :ivar last_datagram_at_s: monotonic time of the last datagram from any peer, or 0.
    """

    def __init__(self) -> None:
        self.score = 0
        self.last_datagram_at_s = 0.0

    @property
    def timeout_multiplier(self) -> int:
        """Return the factor by which probe intervals and timeouts are multiplied."""
        return self.score + 1

    def record_datagram(self) -> None:
        """Record that a datagram arrived."""
        self.last_datagram_at_s = time.monotonic()

    def record_success(self) -> None:
        """Lower the score after an acknowledged probe or a nack from a relay."""
        self.score = max(0, self.score - 1)

    def record_failure(self) -> None:
        """Raise the score after a sign that this daemon is unhealthy."""
        self.score = min(MAX_SCORE, self.score + 1)

    def detect_late_wakeup(self, expected_at_s: float) -> bool:
        """Return whether the event loop woke too late to trust an expired timeout.

        A late wakeup is recorded as a failure of this daemon.

        :param expected_at_s: monotonic time at which the timeout expired.
        """
        if time.monotonic() - expected_at_s < MAX_WAKEUP_DELAY_S:
            return False
        self.record_failure()
        return True
