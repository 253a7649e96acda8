"""Plots of the health bench.

Draws what the results of several runs say about one another.
"""

import argparse
import json
from pathlib import Path

import matplotlib
import matplotlib.pyplot as plt

from bench.healthfaults import SERVICES

__all__ = ["main"]

FAULTS = ("gray", "slow", "errors", "flap-1s", "flap-3s", "centre-slow")
WIDTH = 0.8

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


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--output", type=Path, required=True)
    parser.add_argument("results", nargs="+", type=Path)
    options = parser.parse_args()
    results = {path.stem: json.loads(path.read_text()) for path in options.results}
    plot_sent(results, options.output)


if __name__ == "__main__":
    main()
