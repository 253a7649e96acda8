"""Plots and tables of the health bench.

Shows what the results of several runs say about one another.
"""

import argparse
import json
import statistics
from pathlib import Path

import matplotlib
import matplotlib.pyplot as plt

from bench.healthfaults import SERVICES

__all__ = ["main"]

FAULTS = ("gray", "slow", "errors", "flap-1s", "flap-3s", "centre-slow")
WIDTH = 0.8
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


def _sent_per_victim(result: dict, service: str, fault: str) -> float:
    rows = [
        row
        for row in result["episodes"]
        if (row["service"], row["fault"]) == (service, fault)
    ]
    victims = sum(row["victims"] for row in rows)
    return sum(row["sent"] for row in rows) / max(1, victims)


def plot_sent(results: dict[str, dict], path: Path) -> None:
    """Draw the calls that each failing target got after the onset."""
    figure, axes = plt.subplots(2, 2, figsize=(9, 6), sharey=True)
    bar = WIDTH / len(results)
    for panel, shape in zip(axes.flat, SERVICES, strict=True):
        for index, (name, result) in enumerate(results.items()):
            places = [number + index * bar for number in range(len(FAULTS))]
            heights = [
                _sent_per_victim(result, shape.service, fault) for fault in FAULTS
            ]
            panel.bar(places, heights, bar, label=name)
        middle = WIDTH / 2 - bar / 2
        panel.set_xticks([number + middle for number in range(len(FAULTS))], FAULTS)
        panel.tick_params(axis="x", labelrotation=30, labelsize=8)
        panel.set_title(shape.service, fontsize=10)
    axes[0][0].set_ylabel("calls per failing target in 5 s")
    axes[1][0].set_ylabel("calls per failing target in 5 s")
    axes[0][0].legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def print_markdown(results: dict[str, dict]) -> None:
    """Print a table of all services together, one row for each fault and run."""
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
    """Return one row; only guards log ejections, so other policies show none."""
    quiet = [value for row in rows for value in row["quiet_s"]]
    got = f"{statistics.median(quiet):.2f} / {max(quiet):.2f}" if quiet else ""
    victims = sum(row["victims"] for row in rows)
    ejected = f"{sum(len(row['detected_s']) for row in rows)} of {victims}"
    calls = sum(row["calls"] for row in rows)
    in_time = 100 * sum(row["in_time"] for row in rows) / calls
    logged = result["policy"] == "evidence"
    wrong = sum(row["false_ejections"] for row in rows)
    cells = (
        fault,
        name,
        got,
        sum(row["sent"] for row in rows),
        sum(row["sent_after_1s"] for row in rows),
        ejected if logged else "-",
        wrong if logged else "-",
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
    plot_sent(results, options.output)
    print_markdown(results)


if __name__ == "__main__":
    main()
