"""Deadlines.

Points in time on a monotonic clock that keeps running while the host is suspended.
"""

import time

import attrs

__all__ = ["MS_PER_S", "Deadline", "now_s"]

MS_PER_S = 1000


def now_s() -> float:
    """Return the seconds since the host booted, including time spent suspended.

    ``CLOCK_MONOTONIC`` stops while a host is suspended, so an expired lease or request
    would still look valid when the host resumes. ``CLOCK_BOOTTIME`` does not stop.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen
class Deadline:
    """A point in time by which something must be done.

    :ivar at_s: seconds since the host booted, see :func:`now_s`.
    """

    at_s: float

    @classmethod
    def after_ms(cls, time_left_ms: float) -> "Deadline":
        """Return the deadline that is ``time_left_ms`` milliseconds from now."""
        return cls(at_s=now_s() + time_left_ms / MS_PER_S)

    def earlier_by_ms(self, lead_ms: float) -> "Deadline":
        """Return the deadline that is ``lead_ms`` milliseconds earlier."""
        return Deadline(self.at_s - lead_ms / MS_PER_S)

    def left_s(self) -> float:
        """Return the remaining seconds, or 0 if the deadline has passed."""
        return max(0.0, self.at_s - now_s())

    def left_ms(self) -> int:
        """Return the remaining whole milliseconds, or 0 if the deadline has passed."""
        return int(self.left_s() * MS_PER_S)

    def has_passed(self) -> bool:
        """Return whether the deadline has passed."""
        return now_s() >= self.at_s
