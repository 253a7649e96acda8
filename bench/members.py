"""Benchmark of the fleet membership.

Measures propagation times, false suspicions and control traffic for fleets of
increasing size, and one membership table of the size that the design targets.
"""

import argparse
import json
import random
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import numpy

from bench.membertable import measure_table
from bench.processes import cpu_us, memory_bytes
from tests.standins.fleet import DaemonProcess, Fleet, request, wait_until
from tests.standins.views import member_states

__all__ = ["main"]

FLEET_SIZES = (3, 10, 20, 40, 80)
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
ENDPOINTS_PER_DAEMON = 16
ENDPOINT_LEASE_MS = 3_600_000
SETTLE_INTERVAL_S = 4.0
SETTLE_TIMEOUT_S = 120.0
MAX_IDLE_BYTES_PER_S = 600.0
COST_WINDOW_S = 20.0
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
CHANGES_PER_S = 2.0
ENDPOINT_CHANGE_TRIALS = 5
DAEMON_FAILURE_TRIALS = 2
POLLING_THREADS = 16
START_BATCH_SIZE = 10
START_TIMEOUT_S = 120.0
PROPAGATION_TIMEOUT_S = 60.0
OUTPUT_PATH = Path(__file__).parent / "results" / "members.json"
TRAFFIC_COUNTERS = (
    "datagram_bytes_sent",
    "datagram_bytes_received",
    "exchange_bytes_sent",
    "exchange_bytes_received",
)
MEMBERSHIP_COUNTERS = ("members_suspected", "members_declared_dead", "exchanges")


@attrs.define(eq=False)
class ControlCost:
    """Control cost in a measurement window, per daemon and second."""

    processor_percent: float
    datagram_bytes_sent: float
    datagram_bytes_received: float
    exchange_bytes_sent: float
    exchange_bytes_received: float
    bytes_sent: float
    suspicions: int
    deaths_declared: int
    exchanges: int


def read_counters(daemon: DaemonProcess) -> dict[str, int]:
    """Return the values of a daemon's counters that have no labels, by name."""
    body = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    counters = {}
    for line in body.splitlines():
        name, _, value = line.rpartition(" ")
        if name.endswith("_total{}"):
            counter_name = name.removeprefix("laburnumscale_").removesuffix("_total{}")
            counters[counter_name] = int(value)
    return counters


class MembershipBenchmark:
    """Benchmark of one fleet that receives no calls.

    :param size: number of daemons.
    """

    def __init__(self, size: int) -> None:
        self.size = size
        self.fleet = Fleet()
        self.pool = ThreadPoolExecutor(POLLING_THREADS)

    @property
    def daemons(self) -> list[DaemonProcess]:
        """Return the running daemons."""
        daemons = self.fleet.daemons.values()
        return [daemon for daemon in daemons if daemon.process.poll() is None]

    def run(self) -> dict:
        """Start the fleet, take all measurements and stop the fleet."""
        try:
            start_s = self._start_fleet()
            result = {
                "daemons": self.size,
                "endpoints": self.size * ENDPOINTS_PER_DAEMON,
                "start_s": start_s,
                "settle_s": self._wait_until_settled(),
                "at_rest": attrs.asdict(self._measure_control_cost(lambda: None)),
                "under_change": attrs.asdict(
                    self._measure_control_cost(self._change_random_endpoint)
                ),
                "changes_per_s": CHANGES_PER_S,
                "memory_mb": self._mean_memory_mb(),
                "endpoint_change_spread_s": self._measure_endpoint_propagation(),
                "death_spread_s": self._measure_failure_detection(),
            }
        finally:
            self.pool.shutdown()
            self.fleet.close()
        return result

    def _start_fleet(self) -> float:
        self.fleet.start_log()
        started_at_s = time.monotonic()
        for index in range(self.size):
            data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            daemon = self.fleet.start_daemon(f"d{index + 1}", data_centre)
            if index % START_BATCH_SIZE == START_BATCH_SIZE - 1:
                wait_until(daemon.is_ready, f"{daemon.name} is ready", START_TIMEOUT_S)
        for daemon in self.daemons:
            wait_until(daemon.is_ready, f"{daemon.name} is ready", START_TIMEOUT_S)
        for daemon in self.daemons:
            for number in range(ENDPOINTS_PER_DAEMON):
                self._announce_endpoint(daemon, number, slots=5)
        expected_endpoints = self.size * ENDPOINTS_PER_DAEMON
        self._wait_for_all(
            lambda daemon: len(self._read_endpoint_slots(daemon)) == expected_endpoints,
            "daemon lists all endpoints",
        )
        return time.monotonic() - started_at_s

    def _wait_until_settled(self) -> float:
        """Wait until gossip about the start has subsided; return the seconds taken."""
        started_at_s = time.monotonic()
        before = self._read_totals()["datagram_bytes_sent"]
        while time.monotonic() - started_at_s < SETTLE_TIMEOUT_S:
            time.sleep(SETTLE_INTERVAL_S)
            after = self._read_totals()["datagram_bytes_sent"]
            if (after - before) / SETTLE_INTERVAL_S / self.size < MAX_IDLE_BYTES_PER_S:
                break
            before = after
        return time.monotonic() - started_at_s

    def _measure_control_cost(self, change: Callable[[], None]) -> ControlCost:
        before = self._read_totals()
        started_at_s = time.monotonic()
        while time.monotonic() - started_at_s < COST_WINDOW_S:
            change()
            time.sleep(1 / CHANGES_PER_S)
        elapsed_s = time.monotonic() - started_at_s
        after = self._read_totals()
        scale = 1 / (elapsed_s * self.size)
        increases = {name: after[name] - before.get(name, 0) for name in after}
        traffic = {name: increases[name] * scale for name in TRAFFIC_COUNTERS}
        bytes_sent = traffic["datagram_bytes_sent"] + traffic["exchange_bytes_sent"]
        return ControlCost(
            processor_percent=100 * increases["processor_s"] * scale,
            bytes_sent=bytes_sent,
            suspicions=increases["members_suspected"],
            deaths_declared=increases["members_declared_dead"],
            exchanges=increases["exchanges"],
            **traffic,
        )

    def _mean_memory_mb(self) -> float:
        sizes = [memory_bytes(daemon.process.pid) for daemon in self.daemons]
        return sum(sizes) / len(sizes) / BYTES_PER_MB

    def _read_totals(self) -> dict[str, float]:
        totals = dict.fromkeys((*TRAFFIC_COUNTERS, *MEMBERSHIP_COUNTERS), 0.0)
        for counters in self.pool.map(read_counters, self.daemons):
            for name in totals:
                totals[name] += counters.get(name, 0)
        pids = [daemon.process.pid for daemon in self.daemons]
        totals["processor_s"] = sum(map(cpu_us, pids)) / US_PER_S
        return totals

    def _change_random_endpoint(self) -> None:
        daemon = random.choice(self.daemons)
        number = random.randrange(ENDPOINTS_PER_DAEMON)
        self._announce_endpoint(daemon, number, slots=random.randint(1, 1000))

    def _announce_endpoint(
        self, daemon: DaemonProcess, number: int, slots: int
    ) -> None:
        address = f"127.0.0.1:{daemon.ports['target']}"
        service = f"service-{number}"
        path = f"/_laburnumscale/v1/targets/{service}/{daemon.name}-{number}"
        body = {"address": "127.0.0.1:9", "slots": slots, "lease_ms": ENDPOINT_LEASE_MS}
        payload = json.dumps(body).encode()
        response = request("PUT", f"http://{address}{path}", payload)
        assert response.status == 200, response

    @staticmethod
    def _read_endpoint_slots(daemon: DaemonProcess) -> dict[str, int]:
        return {
            endpoint["endpoint"]: endpoint.get("slots", 0)
            for member in daemon.status()["members"]
            for endpoint in member.get("endpoints", [])
        }

    def _wait_for_all(
        self, condition: Callable[[DaemonProcess], bool], expectation: str
    ) -> None:
        def wait(daemon: DaemonProcess) -> None:
            wait_until(lambda: condition(daemon), expectation, PROPAGATION_TIMEOUT_S)

        list(self.pool.map(wait, self.daemons))

    def _measure_endpoint_propagation(self) -> list[float]:
        durations_s = []
        for trial in range(ENDPOINT_CHANGE_TRIALS):
            source = random.choice(self.daemons)
            slots = 2000 + trial
            started_at_s = time.monotonic()
            self._announce_endpoint(source, 0, slots=slots)
            name = f"{source.name}-0"
            self._wait_for_all(
                lambda daemon, n=name, s=slots: (
                    self._read_endpoint_slots(daemon).get(n) == s
                ),
                "daemon lists the endpoint change",
            )
            durations_s.append(time.monotonic() - started_at_s)
        return durations_s

    def _measure_failure_detection(self) -> list[float]:
        durations_s = []
        for _ in range(min(DAEMON_FAILURE_TRIALS, self.size - 2)):
            killed_daemon = random.choice(self.daemons)
            started_at_s = time.monotonic()
            killed_daemon.process.kill()
            killed_daemon.process.wait()
            self._wait_for_all(
                lambda daemon, name=killed_daemon.name: (
                    member_states(daemon).get(name, ("",))[0] == "DEAD"
                ),
                "daemon lists the killed daemon as dead",
            )
            durations_s.append(time.monotonic() - started_at_s)
        return durations_s


def fit_line(results: list[dict], value: Callable[[dict], float]) -> dict[str, float]:
    """Return the least-squares line of a value over the number of daemons."""
    sizes = [result["daemons"] for result in results]
    slope, base = numpy.polyfit(sizes, [value(result) for result in results], 1)
    return {"base": float(base), "per_daemon": float(slope)}


def fit_lines(results: list[dict]) -> dict[str, dict[str, float]]:
    """Return the fitted lines that the capacity page extrapolates."""
    lines = {}
    for phase in ("at_rest", "under_change"):
        for name in ("bytes_sent", "processor_percent"):
            lines[f"{phase}_{name}"] = fit_line(
                results, lambda r, p=phase, n=name: r[p][n]
            )
    return lines


def load_fleet_results(output: Path) -> dict[int, dict]:
    """Return the results of earlier runs by fleet size.

    They are kept in the output, so that sizes can be measured in separate runs.
    """
    if not output.exists():
        return {}
    fleets = json.loads(output.read_text())["fleets"]
    return {fleet["daemons"]: fleet for fleet in fleets}


def main() -> None:
    """Run the benchmark from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=FLEET_SIZES)
    parser.add_argument("--output", type=Path, default=OUTPUT_PATH)
    options = parser.parse_args()
    table = measure_table()
    fleets = load_fleet_results(options.output)
    for size in options.sizes:
        fleets[size] = MembershipBenchmark(size).run()
        print(json.dumps(fleets[size]), flush=True)
    results = [fleets[size] for size in sorted(fleets)]
    report = {"table": table, "fleets": results}
    if len(results) > 1:
        report["fits"] = fit_lines(results)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(json.dumps(report, indent=2) + "\n")


if __name__ == "__main__":
    main()
