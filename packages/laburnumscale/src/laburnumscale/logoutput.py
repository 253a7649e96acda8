"""Log output.

Writes log lines without blocking on a slow reader and limits their rate.
"""

import json
import select
from datetime import UTC, datetime
from typing import TextIO

from laburnumscale.ratelimit import RateLimiter

__all__ = ["LogOutput"]

#: A pipe that polls as writable accepts this many bytes without blocking (PIPE_BUF).
MAX_LINE_BYTES = 4096
#: A burst of ejections in a fleet of hundreds of targets logs some hundred lines.
MAX_BURST_LINES = 500
#: 100 lines of 300 bytes per second use less than 0.1 % of a 1 Gbit/s link.
MAX_LINES_PER_S = 100


class LogOutput:
    """A text stream for the logger that drops lines instead of blocking.

    The number of dropped lines is logged with the next line that is written.

    :param stream: stream with a file descriptor, such as standard output.
    :param daemon: name of the daemon in the line about dropped lines.
    :ivar dropped: number of lines dropped since the last line written.
    """

    def __init__(self, stream: TextIO, daemon: str = "") -> None:
        self.dropped = 0
        self._daemon = daemon
        self._stream = stream
        self._poll = select.poll()
        self._poll.register(stream.fileno(), select.POLLOUT)
        self._rate_limiter = RateLimiter(MAX_LINES_PER_S, MAX_BURST_LINES)

    def write(self, text: str) -> None:
        """Write one line, or drop it if writing would block or exceed the rate."""
        line = text.rstrip("\n")
        if not line:
            return
        if not (self._rate_limiter.has_token() and self._poll.poll(0)):
            self.dropped += 1
            return
        self._rate_limiter.try_acquire()
        if self.dropped:
            line = f"{self._dropped_lines_record()}\n{line}"
            self.dropped = 0
        truncated = line.encode()[: MAX_LINE_BYTES - 1].decode(errors="ignore")
        self._stream.write(truncated + "\n")
        self._stream.flush()

    def flush(self) -> None:
        """Do nothing: ``write`` flushes each line."""

    def _dropped_lines_record(self) -> str:
        record = {
            "event": "log lines dropped",
            "count": self.dropped,
            "daemon": self._daemon,
            "timestamp": datetime.now(UTC).isoformat(),
        }
        return json.dumps(record)
