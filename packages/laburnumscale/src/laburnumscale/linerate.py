"""Line rate.

Bounds how many log lines are written in a second.
"""

import time

import attrs

__all__ = ["LineRate"]


@attrs.define
class LineRate:
    """A bucket of lines that fills with time.

    :ivar lines_per_s: how fast it fills.
    :ivar highest_burst_lines: how much it holds; it starts full.
    """

    lines_per_s: float
    highest_burst_lines: float
    _left: float = attrs.field(init=False)
    _filled_at_s: float = attrs.field(factory=time.monotonic, init=False)

    def __attrs_post_init__(self) -> None:
        self._left = self.highest_burst_lines

    def has_room(self) -> bool:
        """Tell whether a line may be written."""
        now_s = time.monotonic()
        filled = self._left + (now_s - self._filled_at_s) * self.lines_per_s
        self._left = min(self.highest_burst_lines, filled)
        self._filled_at_s = now_s
        return self._left >= 1

    def take(self) -> bool:
        """Count a line if it may be written.

        :returns: whether it may.
        """
        if not self.has_room():
            return False
        self._left -= 1
        return True
