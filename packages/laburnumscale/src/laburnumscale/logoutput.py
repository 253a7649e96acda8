"""Log output.

Writes log lines without ever waiting for their reader, and bounds their number.
"""

import json
import select
from datetime import UTC, datetime
from typing import TextIO

from laburnumscale.linerate import LineRate

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

    :param daemon: name that this line carries.
    :ivar dropped: lines dropped since the last one that was written.
    """

    def __init__(self, stream: TextIO, daemon: str = "") -> None:
        self.dropped = 0
        self._daemon = daemon
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._rate = LineRate(LINES_PER_S, HIGHEST_BURST_LINES)

    def write(self, text: str) -> None:
        """Write one line, or drop it if the reader or the bound does not take it."""
        line = text.rstrip("\n")
        if not line:
            return
        if not (self._rate.has_room() and self._poll.poll(0)):
            self.dropped += 1
            return
        self._rate.take()
        if self.dropped:
            line = f"{self._dropped_line()}\n{line}"
            self.dropped = 0
        shortened = line.encode()[: LONGEST_LINE_BYTES - 1].decode(errors="ignore")
        self._stream.write(shortened + "\n")
        self._stream.flush()

    def flush(self) -> None:
        """Do nothing: each line is written at once."""

    def _dropped_line(self) -> str:
        note = {
            "event": "log lines dropped",
            "count": self.dropped,
            "daemon": self._daemon,
            "timestamp": datetime.now(UTC).isoformat(),
        }
        return json.dumps(note)
