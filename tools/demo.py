"""Demo.

Starts a small fleet, shows what callers see while targets fail, and ends it.
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
HIGHEST_US = 60_000_000
DAEMONS = (("makati-1", "makati"), ("makati-2", "makati"), ("pasig-1", "pasig"))
TARGETS = (
    ("slot-desk", "desk-1", "makati-1"),
    ("slot-desk", "desk-2", "pasig-1"),
    ("lot-register", "lots-1", "makati-2"),
    ("lot-register", "lots-2", "pasig-1"),
)


@attrs.define
class Row:
    """Outcomes and latencies of one kind of call."""

    name: str
    outcomes: Counter = attrs.field(factory=Counter)
    latency: HdrHistogram = attrs.field(factory=lambda: HdrHistogram(1, HIGHEST_US, 3))

    def line(self) -> str:
        """Return the row of the table."""
        p50_ms = self.latency.get_value_at_percentile(50) / 1000
        p99_ms = self.latency.get_value_at_percentile(99) / 1000
        outcomes = ", ".join(f"{k} {v}" for k, v in sorted(self.outcomes.items()))
        return f"{self.name:32} {p50_ms:9.1f} {p99_ms:9.1f}  {outcomes}"


def send(daemons: list[DaemonProcess], name: str, method: str, path: str, count: int):
    """Send calls to the daemons in turn and return their row."""
    row = Row(name)
    body = b"{}" if method == "POST" else None
    for index in range(count):
        started_at_s = time.monotonic()
        reply = daemons[index % len(daemons)].call(path, method, body)
        row.latency.record_value(int((time.monotonic() - started_at_s) * 1e6))
        outcome = "answered" if reply.status == 200 else reply.json()["outcome"]
        row.outcomes[outcome] += 1
    return row


def start(fleet: Fleet) -> list[DaemonProcess]:
    """Start the fleet and publish the settings of both deployments."""
    fleet.start_log()
    daemons = [fleet.start_daemon(name, place) for name, place in DAEMONS]
    for service, endpoint, daemon in TARGETS:
        fleet.start_target(service, endpoint, daemon)
    fleet.wait_ready()
    for deployment in ("bantayog", "malabar"):
        path = ROOT / "examples" / deployment / "services.jsonc"
        done = fleet.run_cli("makati-1", "publish", str(path))
        print(f"publish {deployment}: {done.stdout.strip()}")
    wait_until(
        lambda: {daemon.status()["revision"] for daemon in daemons} == {2},
        "the settings are in force everywhere",
    )
    return daemons


def is_gone(daemons: list[DaemonProcess], service: str, endpoint: str) -> bool:
    """Tell whether no daemon has the endpoint in service."""
    states = [daemon.endpoints(service).get(endpoint) for daemon in daemons]
    return all(state in (None, "TARGET_STATE_DRAINING") for state in states)


def run(fleet: Fleet) -> list[Row]:
    """Run the demo and return the rows of its table."""
    daemons = start(fleet)
    rows = [
        send(daemons, "lookups", "GET", "/slot-desk/lookup", 100),
        send(daemons, "holds", "POST", "/slot-desk/hold", 100),
    ]
    fleet.targets["desk-1"].process.send_signal(signal.SIGSTOP)
    rows.append(send(daemons, "lookups, desk-1 frozen", "GET", "/slot-desk/lookup", 50))
    left_s = wait_until(lambda: is_gone(daemons, "slot-desk", "desk-1"), "desk-1 left")
    print(f"desk-1 is frozen and has left after another {left_s:.1f} s")
    fleet.run_cli("makati-2", "drain", "lot-register", "lots-1")
    left_s = wait_until(
        lambda: is_gone(daemons, "lot-register", "lots-1"), "lots-1 left"
    )
    print(f"lots-1 is draining and has left after {left_s:.1f} s")
    rows.append(send(daemons, "bids, lots-1 drained", "POST", "/lot-register/bid", 50))
    return rows


def main() -> None:
    """Run the demo; exits with 0 only if every call was answered."""
    fleet = Fleet()
    try:
        rows = run(fleet)
    finally:
        fleet.close()
    print(f"{'calls':32} {'p50 ms':>9} {'p99 ms':>9}  outcomes")
    for row in rows:
        print(row.line())
    if any(set(row.outcomes) != {"answered"} for row in rows):
        sys.exit("demo: a call was not answered")
    print("demo: every call was answered")


if __name__ == "__main__":
    main()
