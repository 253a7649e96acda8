"""Attempt ends.

Summarises from the logs of all daemons which attempts were ended while their targets
may have run them, and why; which calls ended unknown with time left; and which paths
and connections were given up although the peer was up.
"""

import argparse
import fileinput
from bisect import bisect_right
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

import attrs

from laburnumscalectl.logfiles import CALL_ENDED, LogLine, parse_log_lines

__all__ = [
    "AttemptEnd",
    "AttemptEnds",
    "find_attempt_ends",
    "format_list",
    "format_tables",
    "main",
]

GIVEN_UP = "attempt given up"
CUT = "attempt cut at its target"
STARTED = "daemon started"
DRAINING = "daemon draining"
STOPPED = "daemon stopped"
LINES_DROPPED = "log lines dropped"
PATH_BROKEN = "path broken"
CONNECTION_REPLACED = "silent connection replaced"
#: An attempt with less time left than this ended at its deadline: both sides measure
#: the time for themselves.
DEADLINE_MARGIN_MS = 20
SHORT_SHARE = 0.2
#: A peer was up if it logged something within this time before and after.
UP_WINDOW_S = 1.0

DEADLINE = "deadline"
CALLER_LEFT = "caller left"
REPLACED = "replaced by another answer"
END_OF_DRAIN = "end of the drain"
SILENT_CONNECTION = "silent connection"
BROKEN_PATH = "path broken"
CONNECTION_LOST = "connection lost"
GUARD_ENDED = "guard ended"
ANSWER_UNFINISHED = "answer not finished"
OTHER = "other"
#: Ends that need no other answer: nobody waits for it any more, or it exists.
EXPECTED_CAUSES = (DEADLINE, CALLER_LEFT, REPLACED)


@attrs.frozen
class AttemptEnd:
    """An attempt that its entry or its guard ended before its reply was complete.

    :ivar at_s: time in seconds after the first log line.
    :ivar entry: daemon of the caller; empty if no line names it.
    :ivar limit_ms: time limit of the call; of the attempt if that is not known.
    :ivar ran: whether the guard had sent the attempt to its target.
    :ivar entry_drained: whether the entry was draining.
    :ivar result: outcome of the call; empty if the caller did not wait for it.
    """

    at_s: float
    request_id: str
    endpoint: str
    entry: str
    cause: str
    left_ms: int
    limit_ms: int
    ran: bool
    entry_drained: bool
    result: str

    @property
    def is_expected(self) -> bool:
        """Return whether no other answer was needed in its place."""
        return self.cause in EXPECTED_CAUSES

    @property
    def is_short(self) -> bool:
        """Return whether little of the time limit was left."""
        return _is_short(self.left_ms, self.limit_ms)


@attrs.define
class AttemptEnds:
    """What the logs of all daemons say of attempts that were ended.

    :ivar ends: the attempts, in the order of their ends.
    :ivar unknown_calls: number of calls that ended unknown with time left, by the
        reason, why they were not retried, and whether their entry was draining.
    :ivar doubts: number of paths marked as broken and of connections replaced, by
        whether the peer was up.
    :ivar missing_lines: number of log lines that were dropped or not written.
    """

    ends: list[AttemptEnd] = attrs.field(factory=list)
    unknown_calls: Counter = attrs.field(factory=Counter)
    doubts: Counter = attrs.field(factory=Counter)
    missing_lines: int = 0


class _Daemons:
    """When daemons logged anything, drained, and at which addresses they listen."""

    def __init__(self, lines: list[LogLine]) -> None:
        self._times_s: dict[str, list[float]] = defaultdict(list)
        self._events: dict[str, list[str]] = defaultdict(list)
        self._phases: dict[str, list[tuple[float, str]]] = defaultdict(list)
        self.daemons_by_address: dict[str, str] = {}
        for line in lines:
            # Lines about an attempt may name its guard as the daemon.
            if line.event == GIVEN_UP:
                continue
            self._times_s[line.daemon].append(line.at_s)
            self._events[line.daemon].append(line.event)
            if line.event in (STARTED, DRAINING, STOPPED):
                self._phases[line.daemon].append((line.at_s, line.event))
            if line.event == STARTED and "peer_address" in line.fields:
                self.daemons_by_address[line.fields["peer_address"]] = line.daemon

    def was_draining(self, daemon: str, at_s: float) -> bool:
        """Return whether a daemon had begun to drain."""
        phases = [event for each_s, event in self._phases[daemon] if each_s <= at_s]
        return bool(phases) and phases[-1] != STARTED

    def was_up(self, daemon: str, at_s: float) -> bool:
        """Return whether a daemon logged shortly before and after, without a stop."""
        times_s, events = self._times_s[daemon], self._events[daemon]
        index = bisect_right(times_s, at_s)
        if index in (0, len(times_s)):
            return False
        is_near = (
            at_s - times_s[index - 1] <= UP_WINDOW_S
            and times_s[index] - at_s <= UP_WINDOW_S
        )
        has_stopped = events[index - 1] in (STOPPED, STARTED)
        return is_near and not has_stopped and events[index] != STARTED


def find_attempt_ends(lines: Iterable[LogLine]) -> AttemptEnds:
    """Return the attempts that were ended, and the doubts about paths."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    first_s = ordered[0].at_s if ordered else 0.0
    daemons = _Daemons(ordered)
    calls: dict[str, list[LogLine]] = defaultdict(list)
    found = AttemptEnds()
    for line in ordered:
        if line.event == CALL_ENDED:
            calls[line.fields["request_id"]].append(line)
            found.missing_lines += line.fields["stands_for"] - 1
            _count_unknown_call(found, line, daemons)
        elif line.event == LINES_DROPPED:
            found.missing_lines += line.fields["count"]
        elif line.event in (PATH_BROKEN, CONNECTION_REPLACED):
            _count_doubt(found, line, daemons)
    for given_up, cut in _pair_lines(ordered):
        line = given_up or cut
        call = _find_call(calls[line.fields["request_id"]], line)
        found.ends.append(_describe_end(given_up, cut, call, daemons, first_s))
    found.ends.sort(key=lambda end: end.at_s)
    return found


def _count_unknown_call(found: AttemptEnds, line: LogLine, daemons: _Daemons) -> None:
    fields = line.fields
    if fields["outcome"] != "unknown":
        return
    if _is_short(fields["left_ms"], fields["left_ms"] + fields["elapsed_ms"]):
        return
    is_draining = daemons.was_draining(line.daemon, line.at_s)
    key = fields["reason"], fields.get("stop_reason") or "none", is_draining
    found.unknown_calls[key] += 1


def _count_doubt(found: AttemptEnds, line: LogLine, daemons: _Daemons) -> None:
    peer = daemons.daemons_by_address.get(line.fields["peer_address"])
    if peer is None:
        state = "peer not known"
    else:
        state = "peer up" if daemons.was_up(peer, line.at_s) else "peer not up"
    found.doubts[line.event, state] += 1


def _pair_lines(
    lines: list[LogLine],
) -> Iterator[tuple[LogLine | None, LogLine | None]]:
    """Yield the lines of the entry and of the guard about each attempt.

    A call may make several attempts at an endpoint, but one after the other.
    """
    cuts: dict[tuple[str, str], list[LogLine]] = defaultdict(list)
    for line in lines:
        if line.event == CUT:
            cuts[_attempt_key(line)].append(line)
    for line in lines:
        if line.event == GIVEN_UP:
            same = cuts[_attempt_key(line)]
            yield line, same.pop(0) if same else None
    for same in cuts.values():
        for line in same:
            yield None, line


def _attempt_key(line: LogLine) -> tuple[str, str]:
    return line.fields["request_id"], line.fields["endpoint"]


def _find_call(calls: list[LogLine], line: LogLine) -> LogLine | None:
    """Return the line about the end of the call of an attempt."""
    later = [call for call in calls if call.at_s >= line.at_s]
    return later[0] if later else (calls[-1] if calls else None)


def _describe_end(
    given_up: LogLine | None,
    cut: LogLine | None,
    call: LogLine | None,
    daemons: _Daemons,
    first_s: float,
) -> AttemptEnd:
    line = given_up or cut
    entry = call.daemon if call else (cut.fields["entry"] if cut else "")
    if given_up:
        left_ms = given_up.fields["left_ms"]
    else:
        left_ms = cut.fields["time_left_ms"] - cut.fields["admitted_ms"]
    if call:
        limit_ms = call.fields["elapsed_ms"] + call.fields["left_ms"]
    else:
        limit_ms = cut.fields["time_left_ms"] if cut else left_ms
    return AttemptEnd(
        at_s=line.at_s - first_s,
        request_id=line.fields["request_id"],
        endpoint=line.fields["endpoint"],
        entry=entry,
        cause=_find_cause(given_up, call, line.fields["endpoint"], left_ms),
        left_ms=left_ms,
        limit_ms=limit_ms,
        ran=cut is not None,
        entry_drained=daemons.was_draining(entry, line.at_s),
        result=_describe_result(call),
    )


def _find_cause(
    given_up: LogLine | None, call: LogLine | None, endpoint: str, left_ms: int
) -> str:
    """Return why an attempt was ended.

    :param given_up: line of the entry about it, if any.
    :param call: line about the end of its call; there is none if the caller left.
    """
    if left_ms <= DEADLINE_MARGIN_MS:
        return DEADLINE
    if call is None:
        return CALLER_LEFT
    results = [(each["endpoint"], each["result"]) for each in call.fields["attempts"]]
    own = [
        index
        for index, (each, result) in enumerate(results)
        if each == endpoint and not result.startswith("not_run")
    ]
    if not own:
        return _find_cause_of_cancellation(call)
    own_result = results[own[-1]][1]
    # An attempt is listed when it has ended: a racing one that was answered is first.
    is_replaced = any(result.startswith("answered") for _, result in results[: own[-1]])
    candidates = (
        (is_replaced, REPLACED),
        (own_result.startswith("answered"), ANSWER_UNFINISHED),
        (given_up and given_up.fields.get("cause") == GUARD_ENDED, GUARD_ENDED),
        (given_up and any(given_up.fields.get("silent", ())), SILENT_CONNECTION),
        (given_up and given_up.fields["path_broken"], BROKEN_PATH),
        (own_result == "unknown connection_lost", CONNECTION_LOST),
    )
    return next((cause for applies, cause in candidates if applies), OTHER)


def _find_cause_of_cancellation(call: LogLine) -> str:
    """Return why an attempt that is not listed with its call was cancelled."""
    if call.fields["outcome"] == "answered":
        return REPLACED
    return END_OF_DRAIN if call.fields["reason"] == "draining" else OTHER


def _describe_result(call: LogLine | None) -> str:
    if call is None:
        return ""
    fields = call.fields
    if fields["outcome"] == "answered":
        return f"answered {fields['status']}"
    return f"{fields['outcome']} {fields['reason']}"


def _is_short(left_ms: int, limit_ms: int) -> bool:
    return left_ms <= SHORT_SHARE * limit_ms


def format_tables(found: AttemptEnds) -> Iterator[str]:
    """Yield the lines of the Markdown tables."""
    yield from _format_ends(found.ends)
    missing = [end for end in found.ends if end.ran and not end.is_expected]
    answered = sum(end.result.startswith("answered") for end in missing)
    yield ""
    yield (
        f"Ended while the target ran, without an answer in their place: {len(missing)}"
        f" ({answered} of their calls were answered later)"
    )
    yield f"Log lines that are missing: {found.missing_lines}"
    yield ""
    yield "| calls ended unknown with time left | not retried | entry | count |"
    yield "| --- | --- | --- | --- |"
    for (reason, stop_reason, is_draining), count in found.unknown_calls.most_common():
        entry = "draining" if is_draining else "serving"
        yield f"| {reason} | {stop_reason} | {entry} | {count} |"
    yield ""
    yield "| doubt | peer | count |"
    yield "| --- | --- | --- |"
    for (event, state), count in sorted(found.doubts.items()):
        yield f"| {event} | {state} | {count} |"


def _format_ends(ends: list[AttemptEnd]) -> Iterator[str]:
    """Yield a table of the attempts that were ended, by cause."""
    yield (
        "| cause | ran, over a fifth left | ran, less left | not seen to run | "
        "ran, entry draining |"
    )
    yield "| --- | --- | --- | --- | --- |"
    for cause, count in Counter(end.cause for end in ends).most_common():
        same = [end for end in ends if end.cause == cause]
        ran = [end for end in same if end.ran]
        short = sum(end.is_short for end in ran)
        drained = sum(end.entry_drained for end in ran)
        yield (
            f"| {cause} | {len(ran) - short} | {short} | {count - len(ran)} | "
            f"{drained} |"
        )


def format_list(found: AttemptEnds) -> Iterator[str]:
    """Yield a line for each attempt that was ended without an answer in its place."""
    for end in found.ends:
        if end.is_expected:
            continue
        yield (
            f"{end.at_s:.3f} {end.request_id} at {end.endpoint} of {end.entry}"
            f"{' (draining)' if end.entry_drained else ''}: {end.cause}, "
            f"{end.left_ms} of {end.limit_ms} ms left, "
            f"{'ran' if end.ran else 'not seen to run'}, call {end.result}"
        )


def main() -> None:
    """Print the tables of the logs of all daemons."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="*", help="daemon logs (default: standard input)")
    parser.add_argument(
        "--list",
        action="store_true",
        help="also list the attempts that were ended without an answer in their place",
    )
    options = parser.parse_args()
    with fileinput.input(options.file, errors="replace", encoding="utf-8") as texts:
        found = find_attempt_ends(parse_log_lines(texts))
    print("\n".join(format_tables(found)))
    if options.list:
        print("\n".join(("", *format_list(found))))


if __name__ == "__main__":
    main()
