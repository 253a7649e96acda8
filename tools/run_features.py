"""Feature runner.

Runs every feature file with behave, several at a time, and sums up its counts.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import threading
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import attrs

ROOT = Path(__file__).parent.parent
FEATURES = ROOT / "tests" / "features"
RESULTS = ROOT / "build" / "behave"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
WORKERS = 4
EXIT_ENDED = 128 + signal.SIGTERM


class Runs:
    """The behave processes that are running."""

    def __init__(self) -> None:
        self._processes: set[subprocess.Popen] = set()
        self._lock = threading.Lock()
        self._ended = False

    def run(self, command: list[str]) -> tuple[int, str]:
        """Run a command to its end, unless all are ended.

        :returns: its exit code and its output.
        """
        with self._lock:
            if self._ended:
                return EXIT_ENDED, ""
            process = subprocess.Popen(
                command,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
                cwd=ROOT,
                process_group=0,
            )
            self._processes.add(process)
        output, _ = process.communicate()
        with self._lock:
            self._processes.discard(process)
        return process.returncode, output

    def end_all(self) -> None:
        """End what runs, with the processes of its scenarios, and start no more."""
        with self._lock:
            self._ended = True
            for process in self._processes:
                os.killpg(process.pid, signal.SIGKILL)


@attrs.frozen
class Result:
    """How one scenario went, by behave's own status."""

    feature: str
    scenario: str
    status: str

    @property
    def key(self) -> str:
        """Return the name by which KNOWN-RED.txt lists the scenario."""
        return f"{self.feature}: {self.scenario}"


def known_red() -> set[str]:
    """Return the scenarios of KNOWN-RED.txt, one a line before a vertical bar."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.partition("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def run_feature(path: Path, reports: Path, runs: Runs) -> list[Result]:
    """Run one feature file and return the results of its scenarios.

    :param reports: directory for behave's report.
    """
    report = reports / f"{path.stem}.json"
    report.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color", "--no-timings"]
    command += ["-f", "json", "-o", str(report), "-f", "plain", str(path)]
    exit_code, output = runs.run(command)
    results = _results(path, report)
    if exit_code != 0:
        print(output, flush=True)
        if all(result.status == "passed" for result in results):
            results.append(Result(path.name, "(behave itself)", "failed"))
    return results


def _results(path: Path, report: Path) -> list[Result]:
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [Result(path.name, "(no report)", "failed")]
    return [
        Result(path.name, element["name"], element.get("status", "untested"))
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def main() -> None:
    """Run the command line; exits with 1 if a scenario failed that is not listed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("features", nargs="*", help="names, such as path.feature")
    parser.add_argument(
        "--workers", type=int, default=int(os.environ.get("WORKERS", WORKERS))
    )
    parser.add_argument("--reports", type=Path, default=RESULTS, metavar="DIRECTORY")
    options = parser.parse_args()
    options.reports.mkdir(parents=True, exist_ok=True)
    paths = sorted(FEATURES.glob("*.feature"))
    if options.features:
        paths = [path for path in paths if path.name in options.features]
    runs = Runs()

    def end(*_) -> None:
        # In a thread of its own, as the signal may come while the lock is held.
        threading.Thread(target=runs.end_all).start()

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, end)
    with ThreadPoolExecutor(options.workers) as pool:
        run = partial(run_feature, reports=options.reports, runs=runs)
        parts = pool.map(run, paths)
        results = [result for part in parts for result in part]
    red = known_red()
    for result in results:
        note = " (known red)" if result.key in red else ""
        print(f"{result.status}: {result.key}{note}")
    for key in sorted(red - {result.key for result in results}):
        print(f"KNOWN-RED.txt lists a scenario that did not run: {key}")
    for result in results:
        if result.key in red and result.status == "passed":
            print(f"KNOWN-RED.txt lists a scenario that passes: {result.key}")
    counted = [result for result in results if result.key not in red]
    passed = sum(result.status == "passed" for result in counted)
    print(f"{passed} passed, {len(counted) - passed} failed")
    sys.exit(0 if passed == len(counted) > 0 else 1)


if __name__ == "__main__":
    main()
