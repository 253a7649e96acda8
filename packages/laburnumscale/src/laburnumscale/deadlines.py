"""Deadlines.

A deadline is a point on the clock of this host that goes on while it is suspended.
"""

import time

import attrs

__all__ = ["MS_PER_S", "Deadline", "now_s"]

MS_PER_S = 1000


def now_s() -> float:
    """Return the seconds since the boot of the host, its suspensions included.

    The monotonic clock stands still while a host is suspended, so a lease or a
    request that is long over would look fresh when it wakes.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@attrs.frozen
class Deadline:
    """A point in time until which something must be done.

    :ivar at_s: seconds since the boot of the host, see :func:`now_s`.
    """

    at_s: float

    @classmethod
    def after_ms(cls, time_left_ms: float) -> "Deadline":
        """Return the deadline that lies ``time_left_ms`` milliseconds ahead."""
        return cls(at_s=now_s() + time_left_ms / MS_PER_S)

    def left_s(self) -> float:
        """Return the seconds that are left, at least 0."""
        return max(0.0, self.at_s - now_s())

    def left_ms(self) -> int:
        """Return the whole milliseconds that are left, at least 0."""
        return int(self.left_s() * MS_PER_S)

    def is_over(self) -> bool:
        """Tell whether the deadline has passed."""
        return now_s() >= self.at_s
