"""Log files.

Reads the JSON log lines of any number of daemons.
"""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs

__all__ = ["CALL_ENDED", "LogLine", "read_lines"]

#: The line that a daemon writes when a call of its callers is over.
CALL_ENDED = "call ended"


@attrs.frozen
class LogLine:
    """One log line of a daemon.

    :ivar at_s: Unix time in seconds, as the daemon's clock had it.
    :ivar fields: everything else that the line says.
    """

    at_s: float
    daemon: str
    event: str
    fields: dict


def read_lines(texts: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines among lines of text.

    Whatever stands before the JSON of a line is left out, so the output of a program
    that collects logs can be read too. Lines without JSON are no log lines.
    """
    for text in texts:
        _, brace, rest = text.partition("{")
        if not brace:
            continue
        try:
            yield _line(json.loads(brace + rest))
        except (ValueError, KeyError, TypeError):
            continue  # another program's line, or one that was cut short


def _line(fields: dict) -> LogLine:
    at_s = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
    daemon = str(fields.pop("daemon"))
    event = str(fields.pop("event"))
    fields.pop("level", None)
    return LogLine(at_s, daemon, event, fields)
