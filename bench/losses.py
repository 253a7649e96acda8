"""Losses.

Tells from the logs of a day on a bench where answers were lost, and what became of the
slots: one table and one plot for each service.
"""

import argparse
import fileinput
from collections import Counter
from collections.abc import Iterable
from pathlib import Path

import attrs
import matplotlib
import matplotlib.pyplot as plt

from laburnumscalectl.logfiles import CALL_ENDED, LogLine, parse_log_lines

__all__ = ["Losses", "main"]

DAEMON_STARTED = "daemon started"
SERVER_ERROR = 500
IN_SERVICE = "in service"
#: What a verdict line says of a target from then on.
PHASES = {
    "target ejected": "ejected",
    "target on trial": "on trial",
    "target returned": IN_SERVICE,
    "target left": IN_SERVICE,
}

matplotlib.use("Agg")


@attrs.define
class Losses:
    """What the logs tell of one service.

    :ivar calls: by whether they may be repeated, and how they ended.
    :ivar attempts: by their results.
    :ivar ended: calls and served calls in each second.
    :ivar out: target-seconds out of service in each second, by phase.
    :ivar causes: ejections by their cause and whether they ended a trial.
    """

    calls: Counter = attrs.field(factory=Counter)
    attempts: Counter = attrs.field(factory=Counter)
    ended: Counter = attrs.field(factory=Counter)
    out: Counter = attrs.field(factory=Counter)
    causes: Counter = attrs.field(factory=Counter)
    _phases: dict[tuple[str, str], tuple[str, float]] = attrs.field(factory=dict)

    def take(self, line: LogLine, at_s: float) -> None:
        """Take one line on the service into account.

        :param at_s: its time from the first line on.
        """
        if line.event == CALL_ENDED:
            self._take_call(line.fields, at_s)
        elif line.event in PHASES:
            self._take_verdict(line, at_s)

    def close(self, end_s: float, daemon: str = "") -> None:
        """Let the phases of all targets end, or of those beside one daemon."""
        for key in list(self._phases):
            if daemon in ("", key[0]):
                self._end_phase(key, end_s)

    def _take_call(self, fields: dict, at_s: float) -> None:
        count = fields["stands_for"]
        repeat = "may be repeated" if fields["idempotent"] else "may run once"
        served = fields["outcome"] == "answered" and fields["status"] < SERVER_ERROR
        self.calls[repeat, "served" if served else _reason(fields)] += count
        self.ended[int(at_s), "all"] += count
        self.ended[int(at_s), "served"] += count * served
        for attempt in fields["attempts"]:
            self.attempts[attempt["result"]] += count

    def _take_verdict(self, line: LogLine, at_s: float) -> None:
        key = line.daemon, line.fields["endpoint"]
        self._end_phase(key, at_s)
        phase = PHASES[line.event]
        if phase != IN_SERVICE:
            self._phases[key] = phase, at_s
        if line.event == "target ejected":
            trial = "trial failed" if line.fields["on_trial"] else "ejected"
            self.causes[trial, line.fields["cause"]] += 1

    def _end_phase(self, key: tuple[str, str], end_s: float) -> None:
        phase, at_s = self._phases.pop(key, (IN_SERVICE, end_s))
        while at_s < end_s:
            step_s = min(end_s, int(at_s) + 1) - at_s
            self.out[int(at_s), phase] += step_s
            at_s += step_s


def _reason(fields: dict) -> str:
    if fields["outcome"] == "answered":
        return f"target answered {fields['status']}"
    return f"{fields['outcome']} {fields['reason']}"


def find_losses(lines: Iterable[LogLine]) -> dict[str, Losses]:
    """Return the losses of each service."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    found: dict[str, Losses] = {}
    for line in ordered:
        at_s = line.at_s - ordered[0].at_s
        service = line.fields.get("service")
        if service:
            found.setdefault(service, Losses()).take(line, at_s)
        elif line.event == DAEMON_STARTED:
            # The process before it took its verdicts with it.
            for losses in found.values():
                losses.close(at_s, line.daemon)
    for losses in found.values():
        losses.close(ordered[-1].at_s - ordered[0].at_s)
    return found


def table(service: str, losses: Losses) -> Iterable[str]:
    """Yield the lines of the table of one service, in Markdown."""
    yield f"## {service}"
    yield ""
    yield "| calls | ended | count | share |"
    yield "| --- | --- | --- | --- |"
    for (repeat, ended), count in losses.calls.most_common():
        share = count / sum(
            other for key, other in losses.calls.items() if key[0] == repeat
        )
        yield f"| {repeat} | {ended} | {count} | {share:.1%} |"
    yield ""
    yield "| attempts and ejections | count |"
    yield "| --- | --- |"
    for result, count in losses.attempts.most_common():
        yield f"| {result} | {count} |"
    for (kind, cause), count in losses.causes.most_common():
        yield f"| {kind}: {cause} | {count} |"
    yield ""


def plot(found: dict[str, Losses], path: Path) -> None:
    """Draw calls, served calls and targets out of service over time."""
    figure, axes = plt.subplots(len(found), 1, figsize=(9, 3 * len(found)))
    for panel, (service, losses) in zip(
        axes if len(found) > 1 else [axes], found.items(), strict=True
    ):
        seconds = range(max(second for second, _ in losses.ended) + 1)
        for name in ("all", "served"):
            panel.plot(seconds, [losses.ended[s, name] for s in seconds], label=name)
        panel.set_ylabel(f"{service}: calls/s")
        out = panel.twinx()
        phases = ("ejected", "on trial")
        heights = [[losses.out[s, phase] for s in seconds] for phase in phases]
        out.stackplot(seconds, heights, labels=phases, alpha=0.3)
        out.set_ylabel("targets out")
        panel.legend(loc="upper left")
        out.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Print the tables, and draw the plot if one is wanted."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="*", help="logs of daemons; standard input")
    parser.add_argument("--plot", type=Path, help="file for the plot")
    options = parser.parse_args()
    with fileinput.input(options.file, errors="replace", encoding="utf-8") as texts:
        found = find_losses(parse_log_lines(texts))
    for service, losses in found.items():
        print("\n".join(table(service, losses)))
    if options.plot and found:
        plot(found, options.plot)


if __name__ == "__main__":
    main()
