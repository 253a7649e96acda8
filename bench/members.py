"""Bench of the membership.

Measures spreading, false suspicions and control cost for growing fleets, and one
membership table of the size that the design is made for.
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

SIZES = (3, 10, 20, 40, 80)
DATA_CENTRES = ("makati", "pasig", "quezon", "taguig")
ENDPOINTS_PER_DAEMON = 16
LEASE_MS = 3_600_000
SETTLE_CHECK_S = 4.0
SETTLE_LIMIT_S = 120.0
SETTLED_BYTES_PER_S = 600.0
WINDOW_S = 20.0
US_PER_S = 1_000_000
BYTES_PER_MB = 1_000_000
CHANGES_PER_S = 2.0
ENDPOINT_TRIALS = 5
DEATH_TRIALS = 2
POLLERS = 16
START_BATCH = 10
START_LIMIT_S = 120.0
SPREAD_LIMIT_S = 60.0
RESULT = Path(__file__).parent / "results" / "members.json"
BYTE_COUNTERS = (
    "datagram_bytes_sent",
    "datagram_bytes_received",
    "exchange_bytes_sent",
    "exchange_bytes_received",
)
EVENT_COUNTERS = ("members_suspected", "members_declared_dead", "exchanges")


@attrs.define(eq=False)
class Cost:
    """Control cost of a window, for each daemon and second."""

    processor_percent: float
    datagram_bytes_sent: float
    datagram_bytes_received: float
    exchange_bytes_sent: float
    exchange_bytes_received: float
    bytes_sent: float
    suspicions: int
    deaths_declared: int
    exchanges: int


def counters(daemon: DaemonProcess) -> dict[str, int]:
    """Return the counters without labels of a daemon."""
    body = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    found = {}
    for line in body.splitlines():
        name, _, value = line.rpartition(" ")
        if name.endswith("_total{}"):
            short = name.removeprefix("laburnumscale_").removesuffix("_total{}")
            found[short] = int(value)
    return found


class MembersBench:
    """One fleet of daemons without traffic of callers."""

    def __init__(self, size: int) -> None:
        self.size = size
        self.fleet = Fleet()
        self.pool = ThreadPoolExecutor(POLLERS)

    @property
    def daemons(self) -> list[DaemonProcess]:
        """Return the daemons that run."""
        daemons = self.fleet.daemons.values()
        return [daemon for daemon in daemons if daemon.process.poll() is None]

    def run(self) -> dict:
        """Measure everything for this size."""
        try:
            started_s = self._start()
            result = {
                "daemons": self.size,
                "endpoints": self.size * ENDPOINTS_PER_DAEMON,
                "start_s": started_s,
                "settle_s": self._settle(),
                "at_rest": attrs.asdict(self._cost(lambda: None)),
                "under_change": attrs.asdict(self._cost(self._change_one)),
                "changes_per_s": CHANGES_PER_S,
                "memory_mb": self._memory_mb(),
                "endpoint_change_spread_s": self._endpoint_spreads(),
                "death_spread_s": self._death_spreads(),
            }
        finally:
            self.pool.shutdown()
            self.fleet.close()
        return result

    def _start(self) -> float:
        self.fleet.start_log()
        started_at_s = time.monotonic()
        for index in range(self.size):
            data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
            daemon = self.fleet.start_daemon(f"d{index + 1}", data_centre)
            if index % START_BATCH == START_BATCH - 1:
                wait_until(daemon.is_ready, f"{daemon.name} is ready", START_LIMIT_S)
        for daemon in self.daemons:
            wait_until(daemon.is_ready, f"{daemon.name} is ready", START_LIMIT_S)
        for daemon in self.daemons:
            for number in range(ENDPOINTS_PER_DAEMON):
                self._announce(daemon, number, slots=5)
        wanted = self.size * ENDPOINTS_PER_DAEMON
        self._until_all(
            lambda daemon: len(self._slots(daemon)) == wanted, "all know all"
        )
        return time.monotonic() - started_at_s

    def _settle(self) -> float:
        """Wait until the news of the start are spread; return the seconds it took."""
        started_at_s = time.monotonic()
        before = self._totals()["datagram_bytes_sent"]
        while time.monotonic() - started_at_s < SETTLE_LIMIT_S:
            time.sleep(SETTLE_CHECK_S)
            after = self._totals()["datagram_bytes_sent"]
            if (after - before) / SETTLE_CHECK_S / self.size < SETTLED_BYTES_PER_S:
                break
            before = after
        return time.monotonic() - started_at_s

    def _cost(self, change: Callable[[], None]) -> Cost:
        before = self._totals()
        started_at_s = time.monotonic()
        while time.monotonic() - started_at_s < WINDOW_S:
            change()
            time.sleep(1 / CHANGES_PER_S)
        lasted_s = time.monotonic() - started_at_s
        after = self._totals()
        scale = 1 / (lasted_s * self.size)
        spent = {name: after[name] - before.get(name, 0) for name in after}
        traffic = {name: spent[name] * scale for name in BYTE_COUNTERS}
        bytes_sent = traffic["datagram_bytes_sent"] + traffic["exchange_bytes_sent"]
        return Cost(
            processor_percent=100 * spent["processor_s"] * scale,
            bytes_sent=bytes_sent,
            suspicions=spent["members_suspected"],
            deaths_declared=spent["members_declared_dead"],
            exchanges=spent["exchanges"],
            **traffic,
        )

    def _memory_mb(self) -> float:
        sizes = [memory_bytes(daemon.process.pid) for daemon in self.daemons]
        return sum(sizes) / len(sizes) / BYTES_PER_MB

    def _totals(self) -> dict[str, float]:
        totals = dict.fromkeys((*BYTE_COUNTERS, *EVENT_COUNTERS), 0.0)
        for found in self.pool.map(counters, self.daemons):
            for name in totals:
                totals[name] += found.get(name, 0)
        pids = [daemon.process.pid for daemon in self.daemons]
        totals["processor_s"] = sum(map(cpu_us, pids)) / US_PER_S
        return totals

    def _change_one(self) -> None:
        daemon = random.choice(self.daemons)
        number = random.randrange(ENDPOINTS_PER_DAEMON)
        self._announce(daemon, number, slots=random.randint(1, 1000))

    def _announce(self, daemon: DaemonProcess, number: int, slots: int) -> None:
        address = f"127.0.0.1:{daemon.ports['target']}"
        service = f"service-{number}"
        path = f"/_laburnumscale/v1/targets/{service}/{daemon.name}-{number}"
        body = {"address": "127.0.0.1:9", "slots": slots, "lease_ms": LEASE_MS}
        payload = json.dumps(body).encode()
        reply = request("PUT", f"http://{address}{path}", payload)
        assert reply.status == 200, reply

    @staticmethod
    def _slots(daemon: DaemonProcess) -> dict[str, int]:
        return {
            endpoint["endpoint"]: endpoint.get("slots", 0)
            for member in daemon.status()["members"]
            for endpoint in member.get("endpoints", [])
        }

    def _until_all(self, condition: Callable[[DaemonProcess], bool], what: str) -> None:
        def wait(daemon: DaemonProcess) -> None:
            wait_until(lambda: condition(daemon), what, SPREAD_LIMIT_S)

        list(self.pool.map(wait, self.daemons))

    def _endpoint_spreads(self) -> list[float]:
        took = []
        for trial in range(ENDPOINT_TRIALS):
            source = random.choice(self.daemons)
            slots = 2000 + trial
            started_at_s = time.monotonic()
            self._announce(source, 0, slots=slots)
            name = f"{source.name}-0"
            self._until_all(
                lambda daemon, n=name, s=slots: self._slots(daemon).get(n) == s,
                "the change is known",
            )
            took.append(time.monotonic() - started_at_s)
        return took

    def _death_spreads(self) -> list[float]:
        took = []
        for _ in range(min(DEATH_TRIALS, self.size - 2)):
            victim = random.choice(self.daemons)
            started_at_s = time.monotonic()
            victim.process.kill()
            victim.process.wait()
            self._until_all(
                lambda daemon, name=victim.name: (
                    member_states(daemon).get(name, ("",))[0] == "DEAD"
                ),
                "the death is known",
            )
            took.append(time.monotonic() - started_at_s)
        return took


def fit(results: list[dict], value: Callable[[dict], float]) -> dict[str, float]:
    """Return the least-squares line of a value against the number of daemons."""
    sizes = [result["daemons"] for result in results]
    slope, base = numpy.polyfit(sizes, [value(result) for result in results], 1)
    return {"base": float(base), "per_daemon": float(slope)}


def fits(results: list[dict]) -> dict[str, dict[str, float]]:
    """Return the lines that the capacity page extends."""
    lines = {}
    for phase in ("at_rest", "under_change"):
        for name in ("bytes_sent", "processor_percent"):
            lines[f"{phase}_{name}"] = fit(results, lambda r, p=phase, n=name: r[p][n])
    return lines


def kept_fleets(output: Path) -> dict[int, dict]:
    """Return the fleets of an earlier run, by size, so that sizes can run apart."""
    if not output.exists():
        return {}
    fleets = json.loads(output.read_text())["fleets"]
    return {fleet["daemons"]: fleet for fleet in fleets}


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="*", default=SIZES)
    parser.add_argument("--output", type=Path, default=RESULT)
    options = parser.parse_args()
    table = measure_table()
    fleets = kept_fleets(options.output)
    for size in options.sizes:
        fleets[size] = MembersBench(size).run()
        print(json.dumps(fleets[size]), flush=True)
    results = [fleets[size] for size in sorted(fleets)]
    value = {"table": table, "fleets": results}
    if len(results) > 1:
        value["fits"] = fits(results)
    options.output.parent.mkdir(parents=True, exist_ok=True)
    options.output.write_text(json.dumps(value, indent=2) + "\n")


if __name__ == "__main__":
    main()
