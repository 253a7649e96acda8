"""Demo.

Starts a small fleet and prints what callers see while targets fail and drain.
"""

import signal
import sys
import time
from collections import Counter
from pathlib import Path

import attrs
from hdrh.histogram import HdrHistogram

from tests.standins.fleet import DaemonProcess, Fleet, wait_until

ROOT = Path(__file__).parent.parent
MAX_LATENCY_US = 60_000_000
DAEMONS = (("makati-1", "makati"), ("makati-2", "makati"), ("pasig-1", "pasig"))
TARGETS = (
    ("slot-desk", "desk-1", "makati-1"),
    ("slot-desk", "desk-2", "pasig-1"),
    ("lot-register", "lots-1", "makati-2"),
    ("lot-register", "lots-2", "pasig-1"),
)


@attrs.define
class Row:
    """Outcomes and latencies of one kind of call, a row of the table."""

    name: str
    outcomes: Counter = attrs.field(factory=Counter)
    latency: HdrHistogram = attrs.field(
        factory=lambda: HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    def format_line(self) -> str:
        """Return the row as a line of text."""
        p50_ms = self.latency.get_value_at_percentile(50) / 1000
        p99_ms = self.latency.get_value_at_percentile(99) / 1000
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(self.outcomes.items()))
        return f"{self.name:32} {p50_ms:9.1f} {p99_ms:9.1f}  {outcomes}"


def send_calls(
    daemons: list[DaemonProcess], name: str, method: str, path: str, count: int
):
    """Send calls to the daemons in turn and return their results."""
    row = Row(name)
    body = b"{}" if method == "POST" else None
    for index in range(count):
        started_at_s = time.monotonic()
        response = daemons[index % len(daemons)].call(path, method, body)
        row.latency.record_value(int((time.monotonic() - started_at_s) * 1e6))
        outcome = "answered" if response.status == 200 else response.json()["outcome"]
        row.outcomes[outcome] += 1
    return row


def start_fleet(fleet: Fleet) -> list[DaemonProcess]:
    """Start the fleet and publish the settings of both example deployments."""
    fleet.start_log()
    daemons = [fleet.start_daemon(name, place) for name, place in DAEMONS]
    for service, endpoint, daemon in TARGETS:
        fleet.start_target(service, endpoint, daemon)
    fleet.wait_ready()
    for deployment in ("bantayog", "malabar"):
        path = ROOT / "examples" / deployment / "services.jsonc"
        result = fleet.run_cli("makati-1", "publish", str(path))
        print(f"publish {deployment}: {result.stdout.strip()}")
    wait_until(
        lambda: {daemon.status()["revision"] for daemon in daemons} == {2},
        "the settings are in force everywhere",
    )
    return daemons


def is_out_of_service(
    daemons: list[DaemonProcess], service: str, endpoint: str
) -> bool:
    """Return whether all daemons have the endpoint out of service."""
    states = [daemon.endpoints(service).get(endpoint) for daemon in daemons]
    return all(state in (None, "TARGET_STATE_DRAINING") for state in states)


def run_demo(fleet: Fleet) -> list[Row]:
    """Run the scenarios of the demo and return the rows of its table."""
    daemons = start_fleet(fleet)
    rows = [
        send_calls(daemons, "lookups", "GET", "/slot-desk/lookup", 100),
        send_calls(daemons, "holds", "POST", "/slot-desk/hold", 100),
    ]
    fleet.targets["desk-1"].process.send_signal(signal.SIGSTOP)
    rows.append(
        send_calls(daemons, "lookups, desk-1 frozen", "GET", "/slot-desk/lookup", 50)
    )
    elapsed_s = wait_until(
        lambda: is_out_of_service(daemons, "slot-desk", "desk-1"),
        "desk-1 is out of service",
    )
    print(f"desk-1 is frozen; it was out of service after another {elapsed_s:.1f} s")
    fleet.run_cli("makati-2", "drain", "lot-register", "lots-1")
    elapsed_s = wait_until(
        lambda: is_out_of_service(daemons, "lot-register", "lots-1"),
        "lots-1 is out of service",
    )
    print(f"lots-1 is draining; it was out of service after {elapsed_s:.1f} s")
    rows.append(
        send_calls(daemons, "bids, lots-1 drained", "POST", "/lot-register/bid", 50)
    )
    return rows


def main() -> None:
    """Run the demo and exit with a non-zero status if a call was not answered."""
    fleet = Fleet()
    try:
        rows = run_demo(fleet)
    finally:
        fleet.close()
    print(f"{'calls':32} {'p50 ms':>9} {'p99 ms':>9}  outcomes")
    for row in rows:
        print(row.format_line())
    if any(set(row.outcomes) != {"answered"} for row in rows):
        sys.exit("demo: a call was not answered")
    print("demo: every call was answered")


if __name__ == "__main__":
    main()
