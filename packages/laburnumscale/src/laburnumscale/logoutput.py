"""Log output.

Writes log lines without ever waiting for their reader, and bounds their number.
"""

import json
import select
import time
from typing import TextIO

__all__ = ["LogOutput"]

#: A pipe that is writable takes this many bytes at once without blocking (PIPE_BUF).
LONGEST_LINE_BYTES = 4096
#: A burst of ejections in a fleet of hundreds is some hundred lines.
HIGHEST_BURST_LINES = 500
#: 100 lines of 300 bytes a second stay below a thousandth of a 1 Gbit/s link.
LINES_PER_S = 100


class LogOutput:
    """A text stream for the logger that drops lines rather than wait.

    The number of dropped lines is written once lines pass again.

    :ivar dropped: lines dropped since the last one that was written.
    """

    def __init__(self, stream: TextIO) -> None:
        self.dropped = 0
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._lines_left = float(HIGHEST_BURST_LINES)
        self._filled_at_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line, or drop it if the reader or the bound does not take it."""
        line = text.rstrip("\n")
        if not line:
            return
        if not (self._has_room() and self._poll.poll(0)):
            self.dropped += 1
            return
        self._lines_left -= 1
        if self.dropped:
            note = {"event": "log lines dropped", "count": self.dropped}
            line = f"{json.dumps(note)}\n{line}"
            self.dropped = 0
        shortened = line.encode()[: LONGEST_LINE_BYTES - 1].decode(errors="ignore")
        self._stream.write(shortened + "\n")
        self._stream.flush()

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

    def _has_room(self) -> bool:
        now_s = time.monotonic()
        filled = self._lines_left + (now_s - self._filled_at_s) * LINES_PER_S
        self._lines_left = min(HIGHEST_BURST_LINES, filled)
        self._filled_at_s = now_s
        return self._lines_left >= 1
