"""Performance.

Measures the latency and the processor time that the fleet adds to a call.
"""

import argparse
import json
import pstats
import shutil
import subprocess
import sys
from collections import Counter
from pathlib import Path

import attrs
import numpy

from bench.processes import cpu_us
from tests.standins.fleet import Fleet, wait_until

ROOT = Path(__file__).parent.parent
RESULTS = ROOT / "build" / "bench"
SERVICE_SETTINGS = ROOT / "examples" / "bantayog" / "services.jsonc"
#: Calls a second for each daemon at the design size: 120,000 calls a second over 1,900
#: daemons (docs/CAPACITY.md).
DESIGN_RATE = 63
RATES = (DESIGN_RATE, 125, 250, 375, 500, 750, 1000)
PERCENTILES = (50, 99, 99.9)
ROUNDS = 3
SLOTS = 200
SATURATED_P50_US = 50_000


@attrs.define
class Measurement:
    """Results of one kind of call at one rate.

    :ivar way: kind of call: ``direct`` to the target, or through the entry daemon to a
        target beside it (``beside``) or beside the other daemon (``across``).
    :ivar rate: mean number of calls a second.
    :ivar latencies_us: latency of each call.
    :ivar failures: number of failed calls.
    :ivar cpu_us: processor time of all calls, by process.
    """

    way: str
    rate: int
    latencies_us: list[int] = attrs.field(factory=list)
    failures: int = 0
    cpu_us: Counter[str] = attrs.field(factory=Counter)

    def percentiles_us(self) -> dict[str, float]:
        """Return the latency percentiles in microseconds, by name."""
        values = numpy.percentile(self.latencies_us, PERCENTILES)
        return {f"p{p}": float(v) for p, v in zip(PERCENTILES, values, strict=True)}

    def cpu_us_per_call(self) -> dict[str, float]:
        """Return the mean processor time of a call in microseconds, by process."""
        calls = len(self.latencies_us)
        return {name: value / calls for name, value in self.cpu_us.items()}


class PerformanceBench:
    """A fleet of two daemons with one target beside each.

    :ivar seconds: duration of a round.
    :ivar seed: seed of the latest round; each round increments it.
    :ivar urls: URL of the calls by kind of call (``Measurement.way``).
    """

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.seed = seed
        self.urls: dict[str, str] = {}

    def start(self) -> None:
        """Start the fleet and publish its settings."""
        fleet = self.fleet
        fleet.start_log()
        entry = fleet.start_daemon("entry", "makati")
        fleet.start_daemon("guard", "pasig")
        near_target = fleet.start_target("slot-desk", "desk-1", "entry", slots=SLOTS)
        fleet.start_target("proof-vault", "proof-1", "guard", slots=SLOTS)
        fleet.wait_ready()
        done = fleet.run_cli("entry", "publish", str(SERVICE_SETTINGS))
        assert done.returncode == 0, done
        daemons = fleet.daemons.values()
        wait_until(
            lambda: all(d.status()["revision"] for d in daemons),
            "all daemons have settings",
        )
        self.urls = {
            "direct": f"http://127.0.0.1:{near_target.port}/lookup",
            "beside": f"{entry.callers}/slot-desk/lookup",
            "across": f"{entry.callers}/proof-vault/lookup",
        }

    def run_round(self, measurement: Measurement) -> None:
        """Send calls for one round and add the results to the measurement."""
        self.seed += 1
        before_us = self._cpu_us()
        command = [
            sys.executable,
            "-m",
            "bench.load",
            "--url",
            self.urls[measurement.way],
        ]
        command += ["--rate", str(measurement.rate), "--seconds", str(self.seconds)]
        command += ["--seed", str(self.seed)]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        result = json.loads(done.stdout)
        measurement.latencies_us += result["latencies_us"]
        measurement.failures += result["failures"]
        for name, value in self._cpu_us().items():
            measurement.cpu_us[name] += value - before_us[name]

    def _cpu_us(self) -> dict[str, int]:
        fleet = self.fleet
        pids = {name: daemon.process.pid for name, daemon in fleet.daemons.items()}
        pids |= {"target": fleet.targets["desk-1"].process.pid}
        pids |= {"far target": fleet.targets["proof-1"].process.pid}
        return {name: cpu_us(pid) for name, pid in pids.items()}


class ProfiledFleet(Fleet):
    """A fleet whose daemons run under a profiler."""

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a program, with daemons under the profiler."""
        programs = {"laburnumscaled": "bench.profiled"}
        return super().start(name, *(programs.get(a, a) for a in arguments))


def measure(
    bench: PerformanceBench, rates: list[int], rounds: int
) -> list[Measurement]:
    """Measure each kind of call at each rate until a rate saturates the fleet.

    :param rounds: number of rounds at the design rate; other rates have one.
    """
    measurements = []
    for rate in rates:
        row = [Measurement(way, rate) for way in bench.urls]
        for _ in range(rounds if rate == DESIGN_RATE else 1):
            for measurement in row:
                bench.run_round(measurement)
        measurements += row
        for measurement in row:
            print(format_row(measurement, row[0]), flush=True)
        if (
            max(measurement.percentiles_us()["p50"] for measurement in row)
            > SATURATED_P50_US
        ):
            break
    return measurements


def format_row(measurement: Measurement, direct: Measurement) -> str:
    """Return the table row of a measurement.

    :param direct: measurement of direct calls, to which the row compares.
    """
    direct_us = direct.percentiles_us()
    added_columns = [
        f"{(value - direct_us[name]) / 1000:8.2f}"
        for name, value in measurement.percentiles_us().items()
    ]
    columns = [
        f"{value / 1000:8.2f}" for value in measurement.percentiles_us().values()
    ]
    cpu = ", ".join(
        f"{k} {v / 1000:.2f}" for k, v in measurement.cpu_us_per_call().items()
    )
    counts = f"{len(measurement.latencies_us):6} {measurement.failures:4}"
    return (
        f"{measurement.rate:5} {measurement.way:7} {counts} "
        f"{''.join(columns + added_columns)}  cpu: {cpu}"
    )


def save_results(measurements: list[Measurement], directory: Path, seed: int) -> None:
    """Write the results as JSON and as a plot."""
    directory.mkdir(parents=True, exist_ok=True)
    rows = [
        {
            "way": measurement.way,
            "rate": measurement.rate,
            "calls": len(measurement.latencies_us),
            "failures": measurement.failures,
            "latency_us": measurement.percentiles_us(),
            "cpu_us_per_call": measurement.cpu_us_per_call(),
        }
        for measurement in measurements
    ]
    document = json.dumps({"seed": seed, "phases": rows}, indent=1)
    (directory / "performance.json").write_text(document + "\n")
    plot(measurements, directory / "performance.svg")


def plot(measurements: list[Measurement], path: Path) -> None:
    """Plot the p50 and p99 latency by rate."""
    from matplotlib import pyplot  # noqa: PLC0415 (slow to import)

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for way in dict.fromkeys(measurement.way for measurement in measurements):
        for percentile, style in (("p50", "-"), ("p99", "--")):
            points = [
                measurement for measurement in measurements if measurement.way == way
            ]
            rates = [measurement.rate for measurement in points]
            times_ms = [
                measurement.percentiles_us()[percentile] / 1000
                for measurement in points
            ]
            axes.plot(rates, times_ms, style, marker=".", label=f"{way} {percentile}")
    axes.set(xlabel="calls a second", ylabel="latency, ms", yscale="log")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path)


def profile_daemons(seconds: float, seed: int) -> None:
    """Profile both daemons while calls pass through both, and save the profiles."""
    fleet = ProfiledFleet()
    try:
        bench = PerformanceBench(fleet, seconds, seed)
        bench.start()
        bench.run_round(Measurement("across", 4 * DESIGN_RATE))
        RESULTS.mkdir(parents=True, exist_ok=True)
        for name, daemon in fleet.daemons.items():
            fleet.stop(daemon.process)
            path = daemon.settings_path.with_suffix(".prof")
            shutil.copy(path, RESULTS / f"{name}.prof")
            with (RESULTS / f"profile-{name}.txt").open("w") as output:
                pstats.Stats(str(path), stream=output).sort_stats(
                    "tottime"
                ).print_stats(45)
    finally:
        fleet.close()


def main() -> None:
    """Measure the added latency, or profile the daemons with ``--profile``."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="profile the daemons")
    options = parser.parse_args()
    if options.profile:
        profile_daemons(options.seconds, options.seed)
        return
    fleet = Fleet()
    try:
        bench = PerformanceBench(fleet, options.seconds, options.seed)
        bench.start()
        print(
            " rate way      calls fail      p50     p99   p99.9"
            "  +p50    +p99  +p99.9 (ms)"
        )
        save_results(
            measure(bench, options.rates, options.rounds), RESULTS, options.seed
        )
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
