"""Log files.

Parses the JSON log lines of daemons.
"""

import json
from collections.abc import Iterable, Iterator
from datetime import datetime

import attrs

__all__ = ["CALL_ENDED", "LogLine", "parse_log_lines"]

#: Event that a daemon logs when a call from one of its callers has ended.
CALL_ENDED = "call ended"


@attrs.frozen
class LogLine:
    """One log line of a daemon.

    :ivar at_s: Unix time in seconds by the daemon's clock.
    :ivar fields: the remaining fields of the line, except for its level.
    """

    at_s: float
    daemon: str
    event: str
    fields: dict


def parse_log_lines(text_lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines found in lines of text.

    Text before the JSON object of a line, such as the prefix of a log collector, is
    ignored. Lines that are not log lines of a daemon are skipped.
    """
    for text_line in text_lines:
        _, brace, rest = text_line.partition("{")
        if not brace:
            continue
        try:
            yield _parse_fields(json.loads(brace + rest))
        except (ValueError, KeyError, TypeError):
            continue  # a line of another program, or a truncated line


def _parse_fields(fields: dict) -> LogLine:
    at_s = datetime.fromisoformat(fields.pop("timestamp")).timestamp()
    daemon = str(fields.pop("daemon"))
    event = str(fields.pop("event"))
    fields.pop("level", None)
    return LogLine(at_s, daemon, event, fields)
