"""Loss causes.

Summarises from the logs of all daemons which calls were not served, by route and cause.
"""

import argparse
import fileinput
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from laburnumscalectl.logfiles import CALL_ENDED, LogLine, parse_log_lines

__all__ = ["LossCauses", "find_causes", "format_causes", "main"]

MS_PER_S = 1000
MIN_SERVER_ERROR_STATUS = 500
#: A target is suspect for this time after an attempt at it failed.
SUSPECT_S = 5.0
#: Calls that targets make while they run another one have shorter limits than those.
DEFAULT_INNER_LIMIT_MS = 1_100
TOP_CAUSES = 8
#: Results of attempts that held a slot of their target.
RUN_RESULTS = ("answered", "unknown")


@attrs.frozen
class _Attempt:
    """One attempt, with its times in seconds after the first log line."""

    daemon: str
    result: str
    start_s: float
    end_s: float
    failed: bool

    @property
    def ran(self) -> bool:
        return self.result.startswith(RUN_RESULTS)


@attrs.define
class LossCauses:
    """The calls of one route that were not served.

    :ivar is_inner: the calls are made by targets, judged by their time limit.
    :ivar calls: number of all calls.
    :ivar lost: number of calls by cause.
    :ivar lost_by_second: number of calls that ended unserved in each second.
    """

    service: str
    idempotent: bool
    is_inner: bool
    calls: int = 0
    lost: Counter = attrs.field(factory=Counter)
    lost_by_second: Counter = attrs.field(factory=Counter)


class _Targets:
    """When the targets of all services ran calls, failed them or were ejected."""

    def __init__(self, lines: list[LogLine], first_s: float) -> None:
        self._runs: dict[tuple[str, str], list[_Attempt]] = defaultdict(list)
        self._ejections: dict[tuple[str, str], list[float]] = defaultdict(list)
        for line in lines:
            if line.event == CALL_ENDED:
                for attempt in iter_attempts(line, first_s):
                    if attempt.ran:
                        key = line.fields["service"], attempt.daemon
                        self._runs[key].append(attempt)
            elif line.event == "target ejected":
                key = line.fields["service"], line.daemon
                self._ejections[key].append(line.at_s - first_s)

    def was_suspect(self, service: str, daemon: str, at_s: float) -> bool:
        """Return whether a target had failed or been ejected shortly before."""
        key = service, daemon
        failures_s = [run.end_s for run in self._runs[key] if run.failed]
        return any(
            at_s - SUSPECT_S <= each_s <= at_s
            for each_s in (*failures_s, *self._ejections[key])
        )

    def has_free_slot(self, service: str, at_s: float) -> bool:
        """Return whether a target of a service ran fewer calls than it can.

        The slots are the most calls that a target of the service ran at a time.
        """
        runs = [runs for key, runs in self._runs.items() if key[0] == service]
        slots = max((_most_at_a_time(each) for each in runs), default=0)
        return any(
            sum(run.start_s <= at_s < run.end_s for run in each) < slots
            for each in runs
        )


def _most_at_a_time(runs: list[_Attempt]) -> int:
    changes = [(run.start_s, 1) for run in runs] + [(run.end_s, -1) for run in runs]
    count = most = 0
    for _, change in sorted(changes):
        count += change
        most = max(most, count)
    return most


def iter_attempts(line: LogLine, first_s: float) -> Iterator[_Attempt]:
    """Yield the attempts of a call; they are made one after the other."""
    fields = line.fields
    start_s = line.at_s - first_s - fields["elapsed_ms"] / MS_PER_S
    answered_badly = (fields["status"] or 0) >= MIN_SERVER_ERROR_STATUS
    for each in fields["attempts"]:
        end_s = start_s + each["elapsed_ms"] / MS_PER_S
        result = each["result"]
        failed = result.startswith("unknown") or (
            result.startswith("answered") and answered_badly
        )
        yield _Attempt(each["daemon"], result, start_s, end_s, failed)
        start_s = end_s


def find_causes(
    lines: Iterable[LogLine], inner_limit_ms: int = DEFAULT_INNER_LIMIT_MS
) -> dict[str, LossCauses]:
    """Return the losses by route.

    :param inner_limit_ms: calls with a shorter time limit are made by targets.
    """
    ordered = sorted(lines, key=lambda line: line.at_s)
    first_s = ordered[0].at_s if ordered else 0.0
    targets = _Targets(ordered, first_s)
    causes_by_route: dict[str, LossCauses] = {}
    for line in ordered:
        if line.event != CALL_ENDED:
            continue
        fields = line.fields
        limit_ms = fields["elapsed_ms"] + fields["left_ms"]
        causes = causes_by_route.setdefault(
            fields.get("route") or fields["service"],
            LossCauses(
                fields["service"], fields["idempotent"], limit_ms < inner_limit_ms
            ),
        )
        causes.calls += fields["stands_for"]
        cause = _find_cause(line, first_s, targets)
        if cause:
            causes.lost[cause] += 1
            causes.lost_by_second[int(line.at_s - first_s)] += 1
    return causes_by_route


def _find_cause(line: LogLine, first_s: float, targets: _Targets) -> str:
    """Return why a call was not served, or an empty string if it was."""
    fields = line.fields
    service = fields["service"]
    attempts = list(iter_attempts(line, first_s))
    if fields["outcome"] == "answered":
        if fields["status"] < MIN_SERVER_ERROR_STATUS:
            return ""
        return f"target answered {fields['status']}"
    if fields["outcome"] == "unknown":
        failed = [attempt for attempt in attempts if attempt.failed]
        if not failed:
            return f"unknown {fields['reason']}"
        known = targets.was_suspect(service, failed[-1].daemon, failed[-1].start_s)
        suspect = "a suspect target" if known else "a target that nobody could know"
        repeated = ", repeated" if len(failed) > 1 else ""
        return f"{fields['reason']} at {suspect}{repeated}"
    free = targets.has_free_slot(service, line.at_s - first_s)
    return f"refused {fields['reason']}, {'a slot' if free else 'no slot'} was free"


def format_causes(causes_by_route: dict[str, LossCauses]) -> Iterator[str]:
    """Yield the lines of a Markdown table, the routes with most losses first."""
    yield "| route | calls | lost | causes | worst seconds |"
    yield "| --- | --- | --- | --- | --- |"
    ordered = sorted(causes_by_route.items(), key=lambda item: -item[1].lost.total())
    for route, causes in ordered:
        if not causes.lost:
            continue
        kind = "inner" if causes.is_inner else "outer"
        repeatable = "may be repeated" if causes.idempotent else "may run once"
        share = causes.lost.total() / causes.calls
        listed = "; ".join(
            f"{cause} {count}" for cause, count in causes.lost.most_common(TOP_CAUSES)
        )
        seconds = ", ".join(
            f"{second} ({count})"
            for second, count in causes.lost_by_second.most_common(3)
        )
        yield (
            f"| {causes.service} {route}, {kind}, {repeatable} | {causes.calls} | "
            f"{causes.lost.total()} ({share:.1%}) | {listed} | {seconds} |"
        )


def main() -> None:
    """Print the table of the logs of all daemons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="*", help="daemon logs (default: standard input)")
    parser.add_argument(
        "--inner-limit-ms",
        type=int,
        default=DEFAULT_INNER_LIMIT_MS,
        help="calls with a shorter time limit are made by targets",
    )
    options = parser.parse_args()
    with fileinput.input(options.file, errors="replace", encoding="utf-8") as texts:
        causes = find_causes(parse_log_lines(texts), options.inner_limit_ms)
    print("\n".join(format_causes(causes)))


if __name__ == "__main__":
    main()
