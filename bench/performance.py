"""Performance.

Measures the time and the processor time that the fleet adds to a call.
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
SETTINGS = ROOT / "examples" / "bantayog" / "services.jsonc"
LETTER_RATE = 63
RATES = (LETTER_RATE, 125, 250, 375, 500, 750, 1000)
PERCENTILES = (50, 99, 99.9)
ROUNDS = 3
SLOTS = 200
SATURATED_P50_US = 50_000


@attrs.define
class Phase:
    """One way of the calls at one rate; times in microseconds.

    :ivar way: ``direct``, ``beside`` (target beside the entry) or ``across``.
    :ivar cpu_us: processor time of all calls, by process.
    """

    way: str
    rate: int
    latencies_us: list[int] = attrs.field(factory=list)
    failures: int = 0
    cpu_us: Counter[str] = attrs.field(factory=Counter)

    def percentiles_us(self) -> dict[str, float]:
        """Return the latency by percentile."""
        values = numpy.percentile(self.latencies_us, PERCENTILES)
        return {f"p{p}": float(v) for p, v in zip(PERCENTILES, values, strict=True)}

    def cpu_us_per_call(self) -> dict[str, float]:
        """Return the processor time of one call, by process."""
        calls = len(self.latencies_us)
        return {name: value / calls for name, value in self.cpu_us.items()}


class Bench:
    """A fleet of two daemons with one target beside each."""

    def __init__(self, fleet: Fleet, seconds: float, seed: int) -> None:
        self.fleet = fleet
        self.seconds = seconds
        self.seed = seed
        self.urls: dict[str, str] = {}

    def start(self) -> None:
        """Start the fleet."""
        fleet = self.fleet
        fleet.start_log()
        entry = fleet.start_daemon("entry", "makati")
        fleet.start_daemon("guard", "pasig")
        desk = fleet.start_target("slot-desk", "desk-1", "entry", slots=SLOTS)
        fleet.start_target("proof-vault", "proof-1", "guard", slots=SLOTS)
        fleet.wait_ready()
        done = fleet.run_cli("entry", "publish", str(SETTINGS))
        assert done.returncode == 0, done
        daemons = fleet.daemons.values()
        wait_until(lambda: all(d.status()["revision"] for d in daemons), "settings")
        self.urls = {
            "direct": f"http://127.0.0.1:{desk.port}/lookup",
            "beside": f"{entry.callers}/slot-desk/lookup",
            "across": f"{entry.callers}/proof-vault/lookup",
        }

    def run(self, phase: Phase) -> None:
        """Add one round to a phase."""
        self.seed += 1
        before = self._cpu_us()
        command = [sys.executable, "-m", "bench.load", "--url", self.urls[phase.way]]
        command += ["--rate", str(phase.rate), "--seconds", str(self.seconds)]
        command += ["--seed", str(self.seed)]
        done = subprocess.run(command, capture_output=True, text=True, check=True)
        result = json.loads(done.stdout)
        phase.latencies_us += result["latencies_us"]
        phase.failures += result["failures"]
        for name, value in self._cpu_us().items():
            phase.cpu_us[name] += value - before[name]

    def _cpu_us(self) -> dict[str, int]:
        fleet = self.fleet
        pids = {name: daemon.process.pid for name, daemon in fleet.daemons.items()}
        pids |= {"target": fleet.targets["desk-1"].process.pid}
        pids |= {"far target": fleet.targets["proof-1"].process.pid}
        return {name: cpu_us(pid) for name, pid in pids.items()}


class ProfiledFleet(Fleet):
    """A fleet whose daemons run under a profiler."""

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a program, a daemon under the profiler."""
        programs = {"laburnumscaled": "bench.profiled"}
        return super().start(name, *(programs.get(a, a) for a in arguments))


def measure(bench: Bench, rates: list[int], rounds: int) -> list[Phase]:
    """Measure each way at each rate, until one that the fleet cannot carry."""
    phases = []
    for rate in rates:
        row = [Phase(way, rate) for way in bench.urls]
        for _ in range(rounds if rate == LETTER_RATE else 1):
            for phase in row:
                bench.run(phase)
        phases += row
        for phase in row:
            print(line(phase, row[0]), flush=True)
        if max(phase.percentiles_us()["p50"] for phase in row) > SATURATED_P50_US:
            break
    return phases


def line(phase: Phase, direct: Phase) -> str:
    """Return the row of the table for a phase."""
    base = direct.percentiles_us()
    added = [
        f"{(value - base[name]) / 1000:8.2f}"
        for name, value in phase.percentiles_us().items()
    ]
    own = [f"{value / 1000:8.2f}" for value in phase.percentiles_us().values()]
    cpu = ", ".join(f"{k} {v / 1000:.2f}" for k, v in phase.cpu_us_per_call().items())
    counts = f"{len(phase.latencies_us):6} {phase.failures:4}"
    return f"{phase.rate:5} {phase.way:7} {counts} {''.join(own + added)}  cpu: {cpu}"


def save(phases: list[Phase], directory: Path, seed: int) -> None:
    """Write the results as JSON and as a plot."""
    directory.mkdir(parents=True, exist_ok=True)
    rows = [
        {
            "way": phase.way,
            "rate": phase.rate,
            "calls": len(phase.latencies_us),
            "failures": phase.failures,
            "latency_us": phase.percentiles_us(),
            "cpu_us_per_call": phase.cpu_us_per_call(),
        }
        for phase in phases
    ]
    document = json.dumps({"seed": seed, "phases": rows}, indent=1)
    (directory / "performance.json").write_text(document + "\n")
    plot(phases, directory / "performance.svg")


def plot(phases: list[Phase], path: Path) -> None:
    """Draw p50 and p99 by rate."""
    from matplotlib import pyplot  # noqa: PLC0415 (slow to import)

    figure, axes = pyplot.subplots(figsize=(6, 4))
    for way in dict.fromkeys(phase.way for phase in phases):
        for percentile, style in (("p50", "-"), ("p99", "--")):
            own = [phase for phase in phases if phase.way == way]
            rates = [phase.rate for phase in own]
            times_ms = [phase.percentiles_us()[percentile] / 1000 for phase in own]
            axes.plot(rates, times_ms, style, marker=".", label=f"{way} {percentile}")
    axes.set(xlabel="calls a second", ylabel="latency, ms", yscale="log")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path)


def profile(seconds: float, seed: int) -> None:
    """Write where the daemons spend their time on calls across two daemons."""
    fleet = ProfiledFleet()
    try:
        bench = Bench(fleet, seconds, seed)
        bench.start()
        bench.run(Phase("across", 4 * LETTER_RATE))
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
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rates", type=int, nargs="*", default=RATES)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    parser.add_argument("--seconds", type=float, default=8.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--profile", action="store_true", help="profile the daemons")
    options = parser.parse_args()
    if options.profile:
        profile(options.seconds, options.seed)
        return
    fleet = Fleet()
    try:
        bench = Bench(fleet, options.seconds, options.seed)
        bench.start()
        print(
            " rate way      calls fail      p50     p99   p99.9"
            "  +p50    +p99  +p99.9 (ms)"
        )
        save(measure(bench, options.rates, options.rounds), RESULTS, options.seed)
    finally:
        fleet.close()


if __name__ == "__main__":
    main()
