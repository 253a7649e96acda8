"""Plots and tables of the health bench.

Compares the results of several runs.
"""

import argparse
import json
import statistics
from pathlib import Path

import matplotlib
import matplotlib.pyplot as plt

from bench.healthfaults import SERVICES

__all__ = ["main"]

PLOTTED_FAULTS = ("gray", "slow", "errors", "flap-1s", "flap-3s", "centre-slow")
BAR_GROUP_WIDTH = 0.8
COLUMNS = (
    "fault",
    "run",
    "got work for, median / worst (s)",
    "calls to failing targets",
    "after 1 s",
    "failing targets ejected",
    "wrong ejections",
    "calls in time",
)

matplotlib.use("Agg")


def _calls_per_victim(result: dict, service: str, fault: str) -> float:
    rows = [
        row
        for row in result["episodes"]
        if (row["service"], row["fault"]) == (service, fault)
    ]
    victims = sum(row["victims"] for row in rows)
    return sum(row["sent"] for row in rows) / max(1, victims)


def plot_calls_per_victim(results: dict[str, dict], path: Path) -> None:
    """Plot the mean number of calls to a failing target during the fault."""
    figure, axes = plt.subplots(2, 2, figsize=(9, 6), sharey=True)
    bar_width = BAR_GROUP_WIDTH / len(results)
    for panel, spec in zip(axes.flat, SERVICES, strict=True):
        for index, (name, result) in enumerate(results.items()):
            positions = [
                number + index * bar_width for number in range(len(PLOTTED_FAULTS))
            ]
            heights = [
                _calls_per_victim(result, spec.service, fault)
                for fault in PLOTTED_FAULTS
            ]
            panel.bar(positions, heights, bar_width, label=name)
        label_offset = BAR_GROUP_WIDTH / 2 - bar_width / 2
        panel.set_xticks(
            [number + label_offset for number in range(len(PLOTTED_FAULTS))],
            PLOTTED_FAULTS,
        )
        panel.tick_params(axis="x", labelrotation=30, labelsize=8)
        panel.set_title(spec.service, fontsize=10)
    axes[0][0].set_ylabel("calls per failing target in 5 s")
    axes[1][0].set_ylabel("calls per failing target in 5 s")
    axes[0][0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def print_markdown(results: dict[str, dict]) -> None:
    """Print a Markdown table with one row for each fault and run, over all services."""
    print(f"| {' | '.join(COLUMNS)} |")
    print("| --- " * len(COLUMNS) + "|")
    faults = dict.fromkeys(
        row["fault"] for result in results.values() for row in result["episodes"]
    )
    for fault in faults:
        for name, result in results.items():
            rows = [row for row in result["episodes"] if row["fault"] == fault]
            if rows:
                print(_markdown_row(fault, name, result, rows))


def _markdown_row(fault: str, name: str, result: dict, rows: list[dict]) -> str:
    """Return the table row of one fault in one run.

    The ejection columns show "-" for policies other than ``evidence``, because only
    guards log ejections.
    """
    quiet = [value for row in rows for value in row["quiet_s"]]
    work_duration = (
        f"{statistics.median(quiet):.2f} / {max(quiet):.2f}" if quiet else ""
    )
    victims = sum(row["victims"] for row in rows)
    ejected = f"{sum(len(row['detected_s']) for row in rows)} of {victims}"
    calls = sum(row["calls"] for row in rows)
    in_time = 100 * sum(row["in_time"] for row in rows) / calls
    has_ejection_logs = result["policy"] == "evidence"
    false_ejections = sum(row["false_ejections"] for row in rows)
    cells = (
        fault,
        name,
        work_duration,
        sum(row["sent"] for row in rows),
        sum(row["sent_after_1s"] for row in rows),
        ejected if has_ejection_logs else "-",
        false_ejections if has_ejection_logs else "-",
        f"{in_time:.2f}%",
    )
    return "| " + " | ".join(str(cell) for cell in cells) + " |"


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("results", nargs="+", type=Path)
    options = parser.parse_args()
    results = {path.stem: json.loads(path.read_text()) for path in options.results}
    plot_calls_per_victim(results, options.output)
    print_markdown(results)


if __name__ == "__main__":
    main()
