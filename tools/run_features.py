"""Feature runner.

Runs feature files with behave in parallel and prints the total counts. Those with the
tag ``@alone`` run one at a time, after the others.
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
DEFAULT_REPORTS_DIR = ROOT / "build" / "behave"
KNOWN_RED = ROOT / "KNOWN-RED.txt"
DEFAULT_WORKERS = 4
#: Tag of features whose checks of memory or descriptors others would disturb.
ALONE_TAG = "@alone"
EXIT_TERMINATED = 128 + signal.SIGTERM


class BehaveProcesses:
    """The behave processes that are running, which can all be killed at once."""

    def __init__(self) -> None:
        self._processes: set[subprocess.Popen] = set()
        self._lock = threading.Lock()
        self._stopped = False

    def run(self, command: list[str]) -> tuple[int, str]:
        """Run a command and wait for it to end.

        After ``kill_all`` no command is started any more.

        :returns: the exit code and the output of the command.
        """
        with self._lock:
            if self._stopped:
                return EXIT_TERMINATED, ""
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

    def kill_all(self) -> None:
        """Kill all process groups, with their daemons, and start no further command."""
        with self._lock:
            self._stopped = True
            for process in self._processes:
                os.killpg(process.pid, signal.SIGKILL)


@attrs.frozen
class ScenarioResult:
    """Result of one scenario.

    :ivar status: status that behave reports.
    """

    feature: str
    scenario: str
    status: str

    @property
    def key(self) -> str:
        """Return the name of the scenario in KNOWN-RED.txt.

        The names of examples end with a space.
        """
        return f"{self.feature}: {self.scenario}".strip()


def read_known_red() -> set[str]:
    """Return the scenarios of KNOWN-RED.txt, the expected failures.

    Each line names one scenario before the first vertical bar.
    """
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {
        line.partition("|")[0].strip()
        for line in lines
        if line.strip() and not line.startswith("#")
    }


def run_feature(
    path: Path, reports_dir: Path, processes: BehaveProcesses
) -> list[ScenarioResult]:
    """Run one feature file and return the results of its scenarios.

    :param path: path of the feature file.
    :param reports_dir: directory for the report of behave.
    """
    report = reports_dir / f"{path.stem}.json"
    report.unlink(missing_ok=True)
    command = [sys.executable, "-m", "behave", "--no-color", "--no-timings"]
    command += ["-f", "json", "-o", str(report), "-f", "plain", str(path)]
    exit_code, output = processes.run(command)
    results = _read_results(path, report)
    if exit_code != 0:
        print(output, flush=True)
        if all(result.status == "passed" for result in results):
            results.append(ScenarioResult(path.name, "(behave itself)", "failed"))
    return results


def runs_alone(path: Path) -> bool:
    """Return whether a feature file has the tag ``@alone`` before its title."""
    tags, _, _ = path.read_text().partition("Feature:")
    return ALONE_TAG in tags.split()


def _read_results(path: Path, report: Path) -> list[ScenarioResult]:
    try:
        features = json.loads(report.read_text())
    except (OSError, ValueError):
        return [ScenarioResult(path.name, "(no report)", "failed")]
    return [
        ScenarioResult(path.name, element["name"], element.get("status", "untested"))
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] == "scenario"
    ]


def main() -> None:
    """Run the features and exit with 1 if a scenario that is not known red failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "features", nargs="*", help="names of feature files, such as path.feature"
    )
    parser.add_argument(
        "--workers", type=int, default=int(os.environ.get("WORKERS", DEFAULT_WORKERS))
    )
    parser.add_argument(
        "--reports", type=Path, default=DEFAULT_REPORTS_DIR, metavar="DIRECTORY"
    )
    options = parser.parse_args()
    options.reports.mkdir(parents=True, exist_ok=True)
    paths = sorted(FEATURES.glob("*.feature"))
    if options.features:
        paths = [path for path in paths if path.name in options.features]
    processes = BehaveProcesses()

    def handle_signal(*_) -> None:
        # Runs in another thread, because the lock may be held when a signal comes.
        threading.Thread(target=processes.kill_all).start()

    for signal_number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(signal_number, handle_signal)
    run_one = partial(run_feature, reports_dir=options.reports, processes=processes)
    together = [path for path in paths if not runs_alone(path)]
    with ThreadPoolExecutor(options.workers) as pool:
        results_by_feature = list(pool.map(run_one, together))
    results_by_feature += [run_one(path) for path in paths if runs_alone(path)]
    results = [result for each in results_by_feature for result in each]
    known_red = read_known_red()
    for result in results:
        note = " (known red)" if result.key in known_red else ""
        print(f"{result.status}: {result.key}{note}")
    for key in sorted(known_red - {result.key for result in results}):
        print(f"KNOWN-RED.txt lists a scenario that did not run: {key}")
    for result in results:
        if result.key in known_red and result.status == "passed":
            print(f"KNOWN-RED.txt lists a scenario that passes: {result.key}")
    counted = [result for result in results if result.key not in known_red]
    failed = [result for result in counted if result.status != "passed"]
    passed = len(counted) - len(failed)
    # Repeated here, because a log that is cut keeps its last lines.
    for result in failed:
        print(f"not known as red: {result.status}: {result.key}")
    print(f"{passed} passed, {len(failed)} failed")
    sys.exit(0 if passed == len(counted) > 0 else 1)


if __name__ == "__main__":
    main()
