"""Spread of settings.

Measures how long an accepted change takes until the last daemon has it in force,
with the log up and with a log that only the publishing daemon reaches, and what the
log is asked, by the size of the fleet.
"""

import argparse
import json
import os
import time
import uuid
from datetime import datetime
from pathlib import Path

import attrs

from tests.standins.fleet import DaemonProcess, Fleet, request, wait_until

ROOT = Path(__file__).parent.parent
RESULT = ROOT / "build" / "bench" / "settings.json"
SIZES = (3, 10, 20, 40, 80)
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
CHANGES = 5
START_BATCH = 10
START_LIMIT_S = 120.0
SPREAD_LIMIT_S = 60.0
REST_S = 20.0


@attrs.frozen
class Row:
    """What was measured at one size."""

    daemons: int
    log: str
    spread_s: list[float]
    publish_s: list[float]
    reads_per_s_at_rest: float
    appends_per_s_at_rest: float
    reads_per_change: float


class SettingsBench:
    """A fleet of one size.

    :param log_away: whether the log is cut off from all daemons but the first.
    """

    def __init__(self, size: int, log_away: bool) -> None:
        self.size = size
        self.log_away = log_away
        self.fleet = Fleet()

    def run(self) -> Row:
        """Start the fleet, publish changes, and end it."""
        try:
            self._start()
            rest = self._count_at_rest()
            before = self._counts()
            spreads = [self._change(number) for number in range(CHANGES)]
            after = self._counts()
        finally:
            self.fleet.close()
        reads = after.get("read settings", 0) - before.get("read settings", 0)
        return Row(
            daemons=self.size,
            log="away" if self.log_away else "up",
            spread_s=[spread for spread, _ in spreads],
            publish_s=[publish for _, publish in spreads],
            reads_per_s_at_rest=rest["read settings"],
            appends_per_s_at_rest=rest["append settings"],
            reads_per_change=reads / CHANGES,
        )

    def _start(self) -> None:
        self.fleet.start_log()
        link = self.fleet.link("log", self.fleet.log_port)
        for index in range(self.size):
            port = self.fleet.log_port if index == 0 else link.port
            self.fleet.start_daemon(
                f"d{index + 1}",
                DATA_CENTRES[index % len(DATA_CENTRES)],
                log_url=f"http://127.0.0.1:{port}",
            )
            if index % START_BATCH == START_BATCH - 1:
                self._wait_all(lambda daemon: daemon.is_ready(), "ready")
        self._wait_all(lambda daemon: daemon.is_ready(), "ready")
        self._wait_all(
            lambda daemon: len(daemon.status()["members"]) == self.size, "complete"
        )
        if self.log_away:
            link.faults(forward={"cut": True}, backward={"cut": True})

    def _wait_all(self, condition, what: str) -> None:
        for daemon in self.fleet.daemons.values():
            wait_until(
                lambda d=daemon: condition(d), f"{daemon.name} {what}", START_LIMIT_S
            )

    def _counts(self) -> dict[str, int]:
        url = f"http://127.0.0.1:{self.fleet.log_port}/counts"
        return request("GET", url).json()

    def _count_at_rest(self) -> dict[str, float]:
        before = self._counts()
        time.sleep(REST_S)
        after = self._counts()
        return {
            kind: (after.get(kind, 0) - before.get(kind, 0)) / REST_S
            for kind in ("read settings", "append settings")
        }

    def _change(self, number: int) -> tuple[float, float]:
        """Publish one change; return seconds to spread and seconds to publish."""
        publisher = self.fleet.daemons["d1"]
        change_id = uuid.uuid4().hex
        revision = publisher.status()["revision"]
        edit = {"place": f"service:s{number}", "settings": {"slots": 4}}
        change = {
            "change_id": change_id,
            "author": "bench",
            "read_revision": revision,
            "edits": [edit],
        }
        started_at_s = time.time()
        url = f"http://{publisher.operator_address}/v1/changes"
        outcome = request("POST", url, json.dumps(change).encode()).json()
        accepted_at_s = time.time()
        assert outcome["verdict"] == "VERDICT_ACCEPTED", outcome
        wanted = int(outcome["revision"])
        for daemon in self.fleet.daemons.values():
            wait_until(
                lambda d=daemon: d.status()["revision"] >= wanted,
                f"{daemon.name} holds {wanted}",
                SPREAD_LIMIT_S,
            )
        last_at_s = max(
            self._folded_at_s(daemon, change_id)
            for daemon in self.fleet.daemons.values()
        )
        spread_s = round(max(0.0, last_at_s - accepted_at_s), 3)
        return spread_s, round(accepted_at_s - started_at_s, 3)

    def _folded_at_s(self, daemon: DaemonProcess, change_id: str) -> float:
        """Return when a daemon's log line says that it folded a change."""
        log = self.fleet.directory / f"{daemon.name}.log"
        for line in log.read_text().splitlines():
            if change_id in line and "settings change folded" in line:
                return datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()
        raise AssertionError(f"{daemon.name} has not folded {change_id}")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    parser.add_argument("--output", type=Path, default=RESULT)
    options = parser.parse_args()
    rows = []
    for size in options.sizes:
        for log_away in (False, True):
            row = attrs.asdict(SettingsBench(size, log_away).run())
            row["load_average"] = os.getloadavg()[0]
            rows.append(row)
            print(json.dumps(row), flush=True)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
