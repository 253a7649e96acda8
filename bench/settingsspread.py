"""Settings spread.

Reads the log lines of a fleet and reports how long after the first daemon the others
had each settings revision in force.

    python -m bench.settingsspread day.log
"""

import argparse
import json
from bisect import bisect_left
from collections import defaultdict
from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import attrs

__all__ = ["Spread", "read_spread"]

#: Time after its start for which a daemon is left out.
STARTING_S = 3.0
PERCENTILES = (50.0, 99.0, 99.9)
EVENTS = ("settings restored", "daemon started")


@attrs.define
class _History:
    """What one daemon logged, in order of time."""

    revisions: list[int] = attrs.field(factory=list)
    held_at_s: list[float] = attrs.field(factory=list)
    started_at_s: list[float] = attrs.field(factory=list)

    def delay_s(self, revision: int, first_at_s: float) -> float | None:
        """Return how long after the first daemon this one held a revision.

        :returns: None if it was starting meanwhile, or never held the revision.
        """
        index = bisect_left(self.revisions, revision)
        if index == len(self.revisions):
            return None
        held_at_s = self.held_at_s[index]
        is_starting = any(
            first_at_s - STARTING_S <= at_s <= held_at_s for at_s in self.started_at_s
        )
        return None if is_starting else max(0.0, held_at_s - first_at_s)


@attrs.frozen
class Spread:
    """Delay of one daemon behind the first one that held a revision."""

    delay_s: float
    revision: int
    daemon: str


def read_spread(lines: Iterable[str]) -> list[Spread]:
    """Return the delays of all daemons and revisions, in ascending order."""
    histories: dict[str, _History] = defaultdict(_History)
    first_at_s: dict[int, float] = {}
    for line in _parse(lines):
        history = histories[line["daemon"]]
        at_s = datetime.fromisoformat(line["timestamp"]).timestamp()
        if line["event"] == "daemon started":
            history.started_at_s.append(at_s)
            continue
        history.revisions.append(line["revision"])
        history.held_at_s.append(at_s)
        known_at_s = first_at_s.get(line["revision"], at_s)
        first_at_s[line["revision"]] = min(known_at_s, at_s)
    spreads = [
        Spread(delay_s, revision, daemon)
        for revision, at_s in first_at_s.items()
        for daemon, history in histories.items()
        if (delay_s := history.delay_s(revision, at_s)) is not None
    ]
    return sorted(spreads, key=lambda spread: spread.delay_s)


def _parse(lines: Iterable[str]) -> Iterator[dict]:
    for line in lines:
        start = line.find("{")
        if start < 0 or not any(event in line for event in EVENTS):
            continue
        try:
            value = json.loads(line[start:])
        except ValueError:
            continue
        if value.get("event") in EVENTS:
            yield value


def main() -> None:
    """Print the percentiles and the longest delays."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("logs", type=Path, nargs="+")
    options = parser.parse_args()
    for path in options.logs:
        with path.open(errors="replace") as lines:
            spreads = read_spread(lines)
        if not spreads:
            print(f"{path.name}: no settings")
            continue
        count = len(spreads)
        ranks = {each: min(count - 1, int(count * each / 100)) for each in PERCENTILES}
        figures = "  ".join(
            f"p{percent:g} {spreads[rank].delay_s:.3f}"
            for percent, rank in ranks.items()
        )
        worst = spreads[-1]
        print(
            f"{path.name}: {count} delays, s: {figures}  max {worst.delay_s:.3f} "
            f"({worst.daemon}, revision {worst.revision})"
        )


if __name__ == "__main__":
    main()
