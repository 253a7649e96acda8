"""Benchmark of settings propagation.

Measures, for several fleet sizes, the time from the acceptance of a change until the
last daemon has applied it and the number of requests to the log, both with a log that
all daemons can reach and with one that only the publishing daemon can reach.
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
OUTPUT_PATH = ROOT / "build" / "bench" / "settings.json"
FLEET_SIZES = (3, 10, 20, 40, 80)
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
CHANGE_COUNT = 5
START_BATCH_SIZE = 10
START_TIMEOUT_S = 120.0
PROPAGATION_TIMEOUT_S = 60.0
IDLE_WINDOW_S = 20.0


@attrs.frozen
class Measurement:
    """Measured values of one fleet.

    :ivar log: ``up``, or ``away`` if only the publishing daemon could reach the log.
    """

    daemons: int
    log: str
    spread_s: list[float]
    publish_s: list[float]
    reads_per_s_at_rest: float
    appends_per_s_at_rest: float
    reads_per_change: float


class SettingsBenchmark:
    """Benchmark of one fleet.

    :param size: number of daemons.
    :param log_unreachable: whether only the first daemon can reach the log.
    """

    def __init__(self, size: int, log_unreachable: bool) -> None:
        self.size = size
        self.log_unreachable = log_unreachable
        self.fleet = Fleet()

    def run(self) -> Measurement:
        """Start the fleet, publish changes and stop the fleet."""
        try:
            self._start_fleet()
            idle_rates = self._measure_idle_rates()
            before = self._read_request_counts()
            durations_s = [
                self._publish_change(number) for number in range(CHANGE_COUNT)
            ]
            after = self._read_request_counts()
        finally:
            self.fleet.close()
        reads = after.get("read settings", 0) - before.get("read settings", 0)
        return Measurement(
            daemons=self.size,
            log="away" if self.log_unreachable else "up",
            spread_s=[propagation_s for propagation_s, _ in durations_s],
            publish_s=[publishing_s for _, publishing_s in durations_s],
            reads_per_s_at_rest=idle_rates["read settings"],
            appends_per_s_at_rest=idle_rates["append settings"],
            reads_per_change=reads / CHANGE_COUNT,
        )

    def _start_fleet(self) -> None:
        self.fleet.start_log()
        link = self.fleet.link("log", self.fleet.log_port)
        for index in range(self.size):
            port = self.fleet.log_port if index == 0 else link.port
            self.fleet.start_daemon(
                f"d{index + 1}",
                DATA_CENTRES[index % len(DATA_CENTRES)],
                log_url=f"http://127.0.0.1:{port}",
            )
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                self._wait_for_all(lambda daemon: daemon.is_ready(), "is ready")
        self._wait_for_all(lambda daemon: daemon.is_ready(), "is ready")
        self._wait_for_all(
            lambda daemon: len(daemon.status()["members"]) == self.size,
            "lists all members",
        )
        if self.log_unreachable:
            link.faults(forward={"cut": True}, backward={"cut": True})

    def _wait_for_all(self, condition, expectation: str) -> None:
        for daemon in self.fleet.daemons.values():
            wait_until(
                lambda d=daemon: condition(d),
                f"{daemon.name} {expectation}",
                START_TIMEOUT_S,
            )

    def _read_request_counts(self) -> dict[str, int]:
        url = f"http://127.0.0.1:{self.fleet.log_port}/counts"
        return request("GET", url).json()

    def _measure_idle_rates(self) -> dict[str, float]:
        before = self._read_request_counts()
        time.sleep(IDLE_WINDOW_S)
        after = self._read_request_counts()
        return {
            request_kind: (after.get(request_kind, 0) - before.get(request_kind, 0))
            / IDLE_WINDOW_S
            for request_kind in ("read settings", "append settings")
        }

    def _publish_change(self, number: int) -> tuple[float, float]:
        """Publish one change and measure its propagation.

        :returns: the time from acceptance until the last daemon has applied the
            change and the time from publishing to acceptance, both in seconds.
        """
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
        change_revision = int(outcome["revision"])
        for daemon in self.fleet.daemons.values():
            wait_until(
                lambda d=daemon: d.status()["revision"] >= change_revision,
                f"{daemon.name} applies revision {change_revision}",
                PROPAGATION_TIMEOUT_S,
            )
        last_applied_at_s = max(
            self._read_apply_time_s(daemon, change_id)
            for daemon in self.fleet.daemons.values()
        )
        spread_s = round(max(0.0, last_applied_at_s - accepted_at_s), 3)
        return spread_s, round(accepted_at_s - started_at_s, 3)

    def _read_apply_time_s(self, daemon: DaemonProcess, change_id: str) -> float:
        """Return the time at which a daemon logged that it applied a change.

        :returns: Unix time in seconds.
        :raises AssertionError: if the daemon has logged no such event.
        """
        log_path = self.fleet.directory / f"{daemon.name}.log"
        for line in log_path.read_text().splitlines():
            if change_id in line and "settings change folded" in line:
                return datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()
        raise AssertionError(f"{daemon.name} has not applied {change_id}")


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=FLEET_SIZES)
    parser.add_argument("--output", type=Path, default=OUTPUT_PATH)
    options = parser.parse_args()
    rows = []
    for size in options.sizes:
        for log_unreachable in (False, True):
            row = attrs.asdict(SettingsBenchmark(size, log_unreachable).run())
            row["load_average"] = os.getloadavg()[0]
            rows.append(row)
            print(json.dumps(row), flush=True)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(json.dumps(rows, indent=2))


if __name__ == "__main__":
    main()
