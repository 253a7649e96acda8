"""Tracing.

Tells the story of one request from the log lines of daemons.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import ClassVar

import attrs

from laburnumscale.errors import LaburnumscaleError
from laburnumscalectl.logfiles import CALL_ENDED, LogLine

__all__ = ["RequestUnknown", "Trace", "trace_request"]

REQUEST_REFUSED = "request refused"
LINES_DROPPED = "log lines dropped"
MS_PER_S = 1000
#: The longest ejection is some seconds, so the verdict in force was logged before.
VERDICT_AGE_S = 30.0


@dataclass(eq=False)
class RequestUnknown(LaburnumscaleError):
    """No log line names the request."""

    request_id: str
    line_count: int
    template: ClassVar[str] = (
        "request {request_id}: none of {line_count} log lines names it; answered calls"
        " are sampled under load"
    )


@attrs.frozen
class Trace:
    """What the logs tell of one request.

    :ivar lines: those that name the request, in the order of their times.
    :ivar context: the latest lines on each endpoint that was tried, and on the entry's
        settings, from before the end of the request.
    :ivar missing: what the logs do not tell.
    """

    request_id: str
    lines: list[LogLine]
    context: list[LogLine]
    missing: list[str]

    def as_dict(self) -> dict:
        """Return the trace for scripts."""
        return {
            "request_id": self.request_id,
            "lines": [attrs.asdict(line) for line in self.lines],
            "context": [attrs.asdict(line) for line in self.context],
            "missing": self.missing,
        }

    def as_text(self) -> Iterator[str]:
        """Yield the lines of the story, in the order of their times."""
        start_s = min(_started_at_s(line) for line in self.lines)
        moments = [(line.at_s, _plain_text(line)) for line in self.context]
        for line in self.lines:
            moments.extend(_moments(line))
        yield f"request {self.request_id}"
        for at_s, text in sorted(moments, key=lambda moment: moment[0]):
            yield f"  {at_s - start_s:+9.3f} s  {text}"
        for line in self.lines:
            if line.fields.get("stands_for", 1) > 1:
                count = line.fields["stands_for"]
                yield f"  the line stands for {count} answered calls"
        for text in self.missing:
            yield f"  not told: {text}"


def trace_request(request_id: str, lines: Iterable[LogLine]) -> Trace:
    """Return what log lines tell of a request.

    :raises RequestUnknown: nothing.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    found = [line for line in ordered if line.fields.get("request_id") == request_id]
    if not found:
        raise RequestUnknown(request_id, len(ordered))
    return Trace(request_id, found, _context(found, ordered), _missing(found, ordered))


def _context(found: list[LogLine], ordered: list[LogLine]) -> list[LogLine]:
    """Return the latest line on each thing that decided over the request."""
    end_s = max(line.at_s for line in found)
    endpoints = {attempt["endpoint"] for attempt in _attempts(found)}
    entries = {line.daemon for line in found}
    latest: dict[tuple[str, str], LogLine] = {}
    for line in ordered:
        if not end_s - VERDICT_AGE_S <= line.at_s <= end_s:
            continue
        endpoint = line.fields.get("endpoint")
        if endpoint in endpoints:
            latest["endpoint", endpoint] = line
        elif line.daemon in entries and line.event.startswith("settings"):
            latest["settings", line.daemon] = line
    return sorted(latest.values(), key=lambda line: line.at_s)


def _missing(found: list[LogLine], ordered: list[LogLine]) -> list[str]:
    texts = []
    heard = {line.daemon for line in ordered}
    guards = {attempt["daemon"] for attempt in _attempts(found)}
    for daemon in sorted(guards - heard):
        texts.append(f"no log of {daemon} was given, which guards a target")
    dropped: Counter[str] = Counter()
    for line in ordered:
        if line.event == LINES_DROPPED:
            dropped[line.daemon] += int(line.fields.get("count", 0))
    for daemon, count in sorted(dropped.items()):
        texts.append(f"{daemon} dropped {count} log lines")
    if not any(line.event in (CALL_ENDED, REQUEST_REFUSED) for line in found):
        texts.append("how the request ended")
    return texts


def _attempts(found: list[LogLine]) -> Iterator[dict]:
    for line in found:
        yield from line.fields.get("attempts", ())


def _started_at_s(line: LogLine) -> float:
    return line.at_s - line.fields.get("elapsed_ms", 0) / MS_PER_S


def _moments(line: LogLine) -> Iterator[tuple[float, str]]:
    """Yield the times and texts of what a line on the request tells."""
    if line.event != CALL_ENDED:
        yield line.at_s, _plain_text(line)
        return
    fields = line.fields
    repeat = "may be repeated" if fields["idempotent"] else "may run once"
    at_s = _started_at_s(line)
    yield (
        at_s,
        f"{line.daemon} took it for {fields['service']} ({repeat}, settings revision"
        f" {fields['revision']})",
    )
    for attempt in fields["attempts"]:
        at_s += attempt["elapsed_ms"] / MS_PER_S
        yield (
            at_s,
            f"{attempt['endpoint']} at {attempt['daemon']}: {attempt['result']} after"
            f" {attempt['elapsed_ms']} ms",
        )
    status = f" with status {fields['status']}" if fields.get("status") else ""
    yield (
        line.at_s,
        f"ended: {fields['outcome']} {fields['reason']}{status},"
        f" {fields['left_ms']} ms left",
    )


def _plain_text(line: LogLine) -> str:
    left_out = ("request_id", "attempts")
    details = ", ".join(
        f"{name}={value}" for name, value in line.fields.items() if name not in left_out
    )
    return f"{line.daemon}: {line.event} ({details})"
