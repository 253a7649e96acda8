"""Losses.

Summarises from daemon logs how calls failed and which targets were out of service, with
a table and a plot for each service.
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
MIN_SERVER_ERROR_STATUS = 500
IN_SERVICE = "in service"
#: Phase that a target enters with each log event.
PHASE_BY_EVENT = {
    "target ejected": "ejected",
    "target on trial": "on trial",
    "target returned": IN_SERVICE,
    "target left": IN_SERVICE,
}

matplotlib.use("Agg")


@attrs.define
class Losses:
    """Calls, attempts and ejections of one service, counted from logs.

    :ivar calls: number of calls by idempotency and outcome.
    :ivar attempts: number of attempts by result.
    :ivar calls_by_second: number of calls and of served calls in each second.
    :ivar out_of_service_s: target-seconds out of service in each second, by phase.
    :ivar ejections: number of ejections by whether they ended a trial, and by cause.
    """

    calls: Counter = attrs.field(factory=Counter)
    attempts: Counter = attrs.field(factory=Counter)
    calls_by_second: Counter = attrs.field(factory=Counter)
    out_of_service_s: Counter = attrs.field(factory=Counter)
    ejections: Counter = attrs.field(factory=Counter)
    _phases: dict[tuple[str, str], tuple[str, float]] = attrs.field(factory=dict)

    def add_line(self, line: LogLine, at_s: float) -> None:
        """Count one log line of the service.

        :param at_s: time of the line in seconds after the first line.
        """
        if line.event == CALL_ENDED:
            self._add_call(line.fields, at_s)
        elif line.event in PHASE_BY_EVENT:
            self._change_phase(line, at_s)

    def end_phases(self, end_s: float, daemon: str = "") -> None:
        """End the current phases of the targets.

        :param end_s: end of the phases in seconds after the first line.
        :param daemon: daemon that logged the phases; all daemons if empty.
        """
        for key in list(self._phases):
            if daemon in ("", key[0]):
                self._end_phase(key, end_s)

    def _add_call(self, fields: dict, at_s: float) -> None:
        count = fields["stands_for"]
        idempotency = "may be repeated" if fields["idempotent"] else "may run once"
        served = (
            fields["outcome"] == "answered"
            and fields["status"] < MIN_SERVER_ERROR_STATUS
        )
        self.calls[idempotency, "served" if served else _describe_failure(fields)] += (
            count
        )
        self.calls_by_second[int(at_s), "all"] += count
        self.calls_by_second[int(at_s), "served"] += count * served
        for attempt in fields["attempts"]:
            self.attempts[attempt["result"]] += count

    def _change_phase(self, line: LogLine, at_s: float) -> None:
        key = line.daemon, line.fields["endpoint"]
        self._end_phase(key, at_s)
        phase = PHASE_BY_EVENT[line.event]
        if phase != IN_SERVICE:
            self._phases[key] = phase, at_s
        if line.event == "target ejected":
            trial = "trial failed" if line.fields["on_trial"] else "ejected"
            self.ejections[trial, line.fields["cause"]] += 1

    def _end_phase(self, key: tuple[str, str], end_s: float) -> None:
        phase, start_s = self._phases.pop(key, (IN_SERVICE, end_s))
        while start_s < end_s:
            step_s = min(end_s, int(start_s) + 1) - start_s
            self.out_of_service_s[int(start_s), phase] += step_s
            start_s += step_s


def _describe_failure(fields: dict) -> str:
    if fields["outcome"] == "answered":
        return f"target answered {fields['status']}"
    return f"{fields['outcome']} {fields['reason']}"


def find_losses(lines: Iterable[LogLine]) -> dict[str, Losses]:
    """Return the losses by service name."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    losses_by_service: dict[str, Losses] = {}
    for line in ordered:
        at_s = line.at_s - ordered[0].at_s
        service = line.fields.get("service")
        if service:
            losses_by_service.setdefault(service, Losses()).add_line(line, at_s)
        elif line.event == DAEMON_STARTED:
            # Ejections and trials end with the process of the daemon that made them.
            for losses in losses_by_service.values():
                losses.end_phases(at_s, line.daemon)
    for losses in losses_by_service.values():
        losses.end_phases(ordered[-1].at_s - ordered[0].at_s)
    return losses_by_service


def format_table(service: str, losses: Losses) -> Iterable[str]:
    """Yield the lines of the Markdown tables of one service."""
    yield f"## {service}"
    yield ""
    yield "| calls | ended | count | share |"
    yield "| --- | --- | --- | --- |"
    for (idempotency, outcome), count in losses.calls.most_common():
        share = count / sum(
            other for key, other in losses.calls.items() if key[0] == idempotency
        )
        yield f"| {idempotency} | {outcome} | {count} | {share:.1%} |"
    yield ""
    yield "| attempts and ejections | count |"
    yield "| --- | --- |"
    for result, count in losses.attempts.most_common():
        yield f"| {result} | {count} |"
    for (kind, cause), count in losses.ejections.most_common():
        yield f"| {kind}: {cause} | {count} |"
    yield ""


def plot(losses_by_service: dict[str, Losses], path: Path) -> None:
    """Plot calls, served calls and targets out of service over time."""
    figure, axes = plt.subplots(
        len(losses_by_service), 1, figsize=(9, 3 * len(losses_by_service))
    )
    for panel, (service, losses) in zip(
        axes if len(losses_by_service) > 1 else [axes],
        losses_by_service.items(),
        strict=True,
    ):
        seconds = range(max(second for second, _ in losses.calls_by_second) + 1)
        for name in ("all", "served"):
            panel.plot(
                seconds, [losses.calls_by_second[s, name] for s in seconds], label=name
            )
        panel.set_ylabel(f"{service}: calls/s")
        target_axis = panel.twinx()
        phases = ("ejected", "on trial")
        targets_by_phase = [
            [losses.out_of_service_s[s, phase] for s in seconds] for phase in phases
        ]
        target_axis.stackplot(seconds, targets_by_phase, labels=phases, alpha=0.3)
        target_axis.set_ylabel("targets out of service")
        panel.legend(loc="upper left")
        target_axis.legend(loc="upper right")
    figure.tight_layout()
    figure.savefig(path)


def main() -> None:
    """Print the tables, and write the plot if a file is given for it."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="*", help="daemon logs (default: standard input)")
    parser.add_argument("--plot", type=Path, help="file to write the plot to")
    options = parser.parse_args()
    with fileinput.input(options.file, errors="replace", encoding="utf-8") as texts:
        losses_by_service = find_losses(parse_log_lines(texts))
    for service, losses in losses_by_service.items():
        print("\n".join(format_table(service, losses)))
    if options.plot and losses_by_service:
        plot(losses_by_service, options.plot)


if __name__ == "__main__":
    main()
