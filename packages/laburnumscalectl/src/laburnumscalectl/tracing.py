"""Tracing.

Reconstructs the course of one request from the log lines of daemons.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import ClassVar

import attrs

from laburnumscale.errors import LaburnumscaleError
from laburnumscalectl.logfiles import CALL_ENDED, LogLine

__all__ = ["RequestNotFound", "Trace", "trace_request"]

REQUEST_REFUSED = "request refused"
LINES_DROPPED = "log lines dropped"
MS_PER_S = 1000
#: Context lines are taken from this period before the end of the request. An ejection
#: lasts a few seconds at most, so the start of one in effect is within this period.
CONTEXT_WINDOW_S = 30.0


@dataclass(eq=False)
class RequestNotFound(LaburnumscaleError):
    """No log line contains the id of the request."""

    request_id: str
    line_count: int
    template: ClassVar[str] = (
        "request {request_id}: not found in any of {line_count} log lines; answered"
        " calls are sampled under load"
    )


@attrs.frozen
class Trace:
    """Log lines about one request and its context.

    :ivar request_id: id of the request.
    :ivar lines: lines with the id of the request, ordered by time.
    :ivar context: the last line before the end of the request about each endpoint that
        was tried, and about the settings of the daemon that received the request.
    :ivar missing: reasons why the trace may be incomplete, as text.
    """

    request_id: str
    lines: list[LogLine]
    context: list[LogLine]
    missing: list[str]

    def as_dict(self) -> dict:
        """Return the trace in the form that ``--json`` prints."""
        return {
            "request_id": self.request_id,
            "lines": [attrs.asdict(line) for line in self.lines],
            "context": [attrs.asdict(line) for line in self.context],
            "missing": self.missing,
        }

    def as_text(self) -> Iterator[str]:
        """Yield the lines of a report for operators, ordered by time."""
        start_s = min(_started_at_s(line) for line in self.lines)
        events = [(line.at_s, _format_line(line)) for line in self.context]
        for line in self.lines:
            events.extend(_timeline_events(line))
        yield f"request {self.request_id}"
        for at_s, text in sorted(events, key=lambda item: item[0]):
            yield f"  {at_s - start_s:+9.3f} s  {text}"
        for line in self.lines:
            if line.fields.get("stands_for", 1) > 1:
                count = line.fields["stands_for"]
                yield f"  this sampled line represents {count} answered calls"
        for text in self.missing:
            yield f"  incomplete: {text}"


def trace_request(request_id: str, lines: Iterable[LogLine]) -> Trace:
    """Return the trace of a request.

    :param lines: log lines of any daemons, in any order.
    :raises RequestNotFound: no line contains the id of the request.
    """
    all_lines = sorted(lines, key=lambda line: line.at_s)
    request_lines = [
        line for line in all_lines if line.fields.get("request_id") == request_id
    ]
    if not request_lines:
        raise RequestNotFound(request_id, len(all_lines))
    return Trace(
        request_id,
        request_lines,
        _find_context(request_lines, all_lines),
        _find_missing(request_lines, all_lines),
    )


def _find_context(
    request_lines: list[LogLine], all_lines: list[LogLine]
) -> list[LogLine]:
    """Return the last line about each endpoint and settings tree of the request."""
    end_s = max(line.at_s for line in request_lines)
    endpoints = {attempt["endpoint"] for attempt in _attempts(request_lines)}
    entry_daemons = {line.daemon for line in request_lines}
    latest: dict[tuple[str, str], LogLine] = {}
    for line in all_lines:
        if not end_s - CONTEXT_WINDOW_S <= line.at_s <= end_s:
            continue
        endpoint = line.fields.get("endpoint")
        if endpoint in endpoints:
            latest["endpoint", endpoint] = line
        elif line.daemon in entry_daemons and line.event.startswith("settings"):
            latest["settings", line.daemon] = line
    return sorted(latest.values(), key=lambda line: line.at_s)


def _find_missing(request_lines: list[LogLine], all_lines: list[LogLine]) -> list[str]:
    """Return the reasons why the trace may be incomplete."""
    reasons = []
    logged_daemons = {line.daemon for line in all_lines}
    guard_daemons = {attempt["daemon"] for attempt in _attempts(request_lines)}
    for daemon in sorted(guard_daemons - logged_daemons):
        reasons.append(
            f"no log was given for {daemon}, which guards an attempted target"
        )
    dropped: Counter[str] = Counter()
    for line in all_lines:
        if line.event == LINES_DROPPED:
            dropped[line.daemon] += int(line.fields.get("count", 0))
    for daemon, count in sorted(dropped.items()):
        reasons.append(f"{daemon} dropped {count} log lines")
    if not any(line.event in (CALL_ENDED, REQUEST_REFUSED) for line in request_lines):
        reasons.append("no log line records the outcome of the request")
    return reasons


def _attempts(request_lines: list[LogLine]) -> Iterator[dict]:
    for line in request_lines:
        yield from line.fields.get("attempts", ())


def _started_at_s(line: LogLine) -> float:
    return line.at_s - line.fields.get("elapsed_ms", 0) / MS_PER_S


def _timeline_events(line: LogLine) -> Iterator[tuple[float, str]]:
    """Yield the time and text of each event that a line of the request records."""
    if line.event != CALL_ENDED:
        yield line.at_s, _format_line(line)
        return
    fields = line.fields
    account = f" of account {fields['account']}" if fields.get("account") else ""
    execution = "may be repeated" if fields["idempotent"] else "may run once"
    at_s = _started_at_s(line)
    yield (
        at_s,
        f"{line.daemon} accepted the request for {fields['service']}{account}"
        f" ({execution},"
        f" settings revision {fields['revision']})",
    )
    for attempt in fields["attempts"]:
        at_s += attempt["elapsed_ms"] / MS_PER_S
        yield (
            at_s,
            f"{attempt['endpoint']} at {attempt['daemon']}: {attempt['result']} after"
            f" {attempt['elapsed_ms']} ms",
        )
    status = f" with status {fields['status']}" if fields.get("status") else ""
    reason = fields.get("stop_reason")
    obstacle = f" (no further attempt: {reason})" if reason else ""
    yield (
        line.at_s,
        f"ended: {fields['outcome']} {fields['reason']}{status},"
        f" {fields['left_ms']} ms left{obstacle}",
    )


def _format_line(line: LogLine) -> str:
    omitted = ("request_id", "attempts")
    details = ", ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in omitted
    )
    return f"{line.daemon}: {line.event} ({details})"
