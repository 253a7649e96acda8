"""Deadlines.

A deadline is a point on the monotonic clock of this process.
"""

import time

import attrs

__all__ = ["MS_PER_S", "Deadline"]

MS_PER_S = 1000


@attrs.frozen
class Deadline:
    """A point in time until which something must be done.

    :ivar at_s: seconds on the monotonic clock.
    """

    at_s: float

    @classmethod
    def after_ms(cls, time_left_ms: float) -> "Deadline":
        """Return the deadline that lies ``time_left_ms`` milliseconds ahead."""
        return cls(at_s=time.monotonic() + time_left_ms / MS_PER_S)

    def left_s(self) -> float:
        """Return the seconds that are left, at least 0."""
        return max(0.0, self.at_s - time.monotonic())

    def left_ms(self) -> int:
        """Return the whole milliseconds that are left, at least 0."""
        return int(self.left_s() * MS_PER_S)

    def is_over(self) -> bool:
        """Tell whether the deadline has passed."""
        return time.monotonic() >= self.at_s
