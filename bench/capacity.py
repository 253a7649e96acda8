"""Capacity.

Loads a real daemon with tables of several sizes and fits what each entry costs.
"""

import argparse
import json
import random
import time
import timeit
import uuid
from pathlib import Path

import attrs
import grpc
import numpy

from bench.processes import cpu_us, memory_bytes
from laburnumscale.channels import PeerChannels
from laburnumscale.health import TargetHealth
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.pathhealth import PathHealth
from laburnumscale.recovery import TargetRecovery
from laburnumscale.routing import Router
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.stalls import LoopStalls
from laburnumscale_schema import peer_pb2, peer_pb2_grpc, settings_pb2
from tests.standins.fleet import DaemonProcess, Fleet, request, wait_until

RESULTS = Path(__file__).parent.parent / "build" / "bench"
FRACTIONS = (0.125, 0.25, 0.5, 0.75, 1.0)
DAEMONS = 1_900
ENDPOINTS = 30_000
SERVICES = 1_200
ROUTES = 26_000
DATA_CENTRES = 11
EDITS_A_CHANGE = 500
MEMBERS_A_TABLE = 100
REPEATS = 200
LOAD_LIMIT_S = 120


@attrs.frozen
class Size:
    """How much state a daemon holds."""

    daemons: int
    endpoints: int
    services: int
    routes: int

    @classmethod
    def of(cls, fraction: float) -> "Size":
        """Return a part of the full size."""
        full = (DAEMONS, ENDPOINTS, SERVICES, ROUTES)
        return cls(*(int(count * fraction) for count in full))


def edits(size: Size) -> list[settings_pb2.Edit]:
    """Return the settings of all services and all routes."""
    made = []
    for index in range(size.services):
        edit = settings_pb2.Edit(place=f"service:service-{index}")
        edit.settings.time_limit_ms = 1000
        edit.settings.floor_percent = 60
        made.append(edit)
    for index in range(size.routes):
        host, prefix = f"host-{index}.example", f"/part-{index % 7}/"
        route = settings_pb2.Route(
            host=host, path_prefix=prefix, service=f"service-{index % size.services}"
        )
        made.append(settings_pb2.Edit(place=f"route:{host}{prefix}", route=route))
    return made


def changes(size: Size) -> list[settings_pb2.Change]:
    """Return the changes that make the tree."""
    made = edits(size)
    return [
        settings_pb2.Change(
            change_id=uuid.uuid4().hex,
            author="bench",
            edits=made[start : start + EDITS_A_CHANGE],
        )
        for start in range(0, len(made), EDITS_A_CHANGE)
    ]


def members(size: Size) -> list[peer_pb2.Member]:
    """Return the entries of all daemons with their endpoints."""
    each = size.endpoints // size.daemons + 1
    left = size.endpoints
    made = []
    for index in range(size.daemons):
        count = min(each, left)
        left -= count
        made.append(member(index, count, size))
    return made


def member(index: int, endpoints: int, size: Size) -> peer_pb2.Member:
    """Return the entry of one daemon."""
    return peer_pb2.Member(
        daemon=f"daemon-{index}",
        incarnation=1,
        version=1,
        peer_address=f"127.1.{index // 250}.{index % 250 + 1}:7003",
        data_centre=f"dc-{index % DATA_CENTRES}",
        state=peer_pb2.MEMBER_STATE_ALIVE,
        endpoints_version=1,
        endpoints=[
            peer_pb2.Endpoint(
                service=f"service-{(index * 16 + number) % size.services}",
                endpoint=f"endpoint-{index}-{number}",
                slots=5,
                state=peer_pb2.TARGET_STATE_READY,
                version=1,
                announced_us=1,
            )
            for number in range(endpoints)
        ],
    )


def append(fleet: Fleet, change: settings_pb2.Change) -> None:
    """Append a change to the settings stream."""
    record = settings_pb2.SettingsRecord(change=change).SerializeToString()
    url = f"http://127.0.0.1:{fleet.log_port}/streams/settings"
    assert request("POST", url, record).status == 200


def accepted(daemon: DaemonProcess) -> int:
    """Return how many changes a daemon has accepted."""
    text = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    name = 'laburnumscale_settings_changes_total{verdict="VERDICT_ACCEPTED"} '
    lines = [line for line in text.splitlines() if line.startswith(name)]
    return int(lines[0].rpartition(" ")[2]) if lines else 0


def load_settings(fleet: Fleet, daemon: DaemonProcess, size: Size) -> dict:
    """Give a daemon its tree and return what that cost."""
    before = memory_bytes(daemon.process.pid)
    before_us = cpu_us(daemon.process.pid)
    made = changes(size)
    for change in made:
        append(fleet, change)
    wait_until(lambda: accepted(daemon) >= len(made), "the tree", LOAD_LIMIT_S)
    row = {
        "settings_bytes": memory_bytes(daemon.process.pid) - before,
        "settings_cpu_us": cpu_us(daemon.process.pid) - before_us,
    }
    before_us = cpu_us(daemon.process.pid)
    one = settings_pb2.Change(change_id=uuid.uuid4().hex, author="bench")
    one.edits.add(place="service:one-more").settings.time_limit_ms = 900
    started_at_s = time.monotonic()
    append(fleet, one)
    wait_until(lambda: accepted(daemon) > len(made), "one change", LOAD_LIMIT_S)
    row["one_change_ms"] = (time.monotonic() - started_at_s) * 1000
    row["one_change_cpu_us"] = cpu_us(daemon.process.pid) - before_us
    return row


def load_members(daemon: DaemonProcess, size: Size) -> dict:
    """Give a daemon its membership and return what that cost."""
    made = members(size)
    before = memory_bytes(daemon.process.pid)
    before_us = cpu_us(daemon.process.pid)
    with grpc.insecure_channel(f"127.0.0.1:{daemon.ports['peer']}") as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        for start in range(0, len(made), MEMBERS_A_TABLE):
            table = peer_pb2.MemberTable(sender="bench")
            table.members.extend(made[start : start + MEMBERS_A_TABLE])
            stub.ExchangeMembers(table, timeout=LOAD_LIMIT_S)
    return {
        "members_bytes": memory_bytes(daemon.process.pid) - before,
        "members_cpu_us": cpu_us(daemon.process.pid) - before_us,
        "table_wire_bytes": sum(each.ByteSize() for each in made),
    }


def start_time_s(fleet: Fleet, name: str) -> float:
    """Return how long a new daemon takes until it has the tree."""
    started_at_s = time.monotonic()
    daemon = fleet.start_daemon(name, "dc-0")
    wait_until(daemon.is_ready, "the new daemon is ready", LOAD_LIMIT_S)
    taken_s = time.monotonic() - started_at_s
    fleet.stop(daemon.process)
    return taken_s


def lookups(size: Size) -> dict:
    """Return the time of the look-ups of one call, in this process."""
    own = peer_pb2.Member(daemon="own", incarnation=1, state=1, data_centre="dc-0")
    table = Members(own)
    for each in members(size):
        table.merge(each)
    metrics = Metrics()
    feed = SettingsFeed(metrics)
    tree = feed.tree
    for revision, change in enumerate(changes(size), 1):
        tree.apply_change(revision, change)
    recovery = TargetRecovery(None, metrics, lambda: None)
    health = TargetHealth(recovery, LoopStalls(), metrics)
    router = Router(table, feed, PathHealth(PeerChannels({}), metrics), health)
    for index in range(size.services):
        router.pick(f"service-{index}", set(), True)
    rng = random.Random(1)

    def service() -> str:
        return f"service-{rng.randrange(size.services)}"

    def timed(function) -> float:
        function()
        return timeit.timeit(function, number=REPEATS) / REPEATS * 1e6

    return {
        "pick_us": timed(lambda: router.pick(service(), set(), True)),
        "route_us": timed(lambda: tree.route("host-5.example", "/part-5/a/b/c")),
        "services_us": timed(lambda: "service-1" in tree.services()),
        "effective_us": timed(lambda: tree.effective_settings(service(), "dc-0")),
    }


def measure(fraction: float) -> dict:
    """Measure one size."""
    size = Size.of(fraction)
    fleet = Fleet()
    try:
        fleet.start_log()
        daemon = fleet.start_daemon("d1", "dc-0")
        wait_until(daemon.is_ready, "the daemon is ready")
        row = attrs.asdict(size)
        row["empty_bytes"] = memory_bytes(daemon.process.pid)
        row |= load_settings(fleet, daemon, size)
        row |= load_members(daemon, size)
        row["start_s"] = start_time_s(fleet, "d2")
    finally:
        fleet.close()
    return row | lookups(size)


def fit(rows: list[dict], by: str, name: str) -> dict:
    """Fit a line through a value by a count; the residual is the largest miss."""
    counts = [row[by] for row in rows]
    values = [row[name] for row in rows]
    slope, intercept = numpy.polyfit(counts, values, 1)
    misses = [v - (slope * c + intercept) for c, v in zip(counts, values, strict=True)]
    return {
        "value": name,
        "by": by,
        "slope": float(slope),
        "intercept": float(intercept),
        "residual": float(max(abs(miss) for miss in misses)),
        "at_full_size": values[-1],
    }


FITS = (
    ("routes", "settings_bytes"),
    ("routes", "settings_cpu_us"),
    ("routes", "one_change_ms"),
    ("routes", "one_change_cpu_us"),
    ("routes", "start_s"),
    ("routes", "services_us"),
    ("routes", "route_us"),
    ("endpoints", "members_bytes"),
    ("endpoints", "members_cpu_us"),
    ("endpoints", "table_wire_bytes"),
    ("endpoints", "pick_us"),
)


def plot(rows: list[dict], path: Path) -> None:
    """Draw the memory by the share of the full size."""
    from matplotlib import pyplot  # noqa: PLC0415 (slow to import)

    figure, axes = pyplot.subplots(figsize=(6, 4))
    shares = [row["endpoints"] / ENDPOINTS for row in rows]
    for name in ("settings_bytes", "members_bytes"):
        axes.plot(shares, [row[name] / 1e6 for row in rows], marker=".", label=name)
    axes.set(xlabel="share of the full size", ylabel="growth of one daemon, MB")
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path)


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fractions", type=float, nargs="*", default=FRACTIONS)
    options = parser.parse_args()
    rows = []
    for fraction in options.fractions:
        rows.append(measure(fraction))
        print(json.dumps(rows[-1]), flush=True)
    fits = [fit(rows, *each) for each in FITS]
    for each in fits:
        print(json.dumps(each))
    RESULTS.mkdir(parents=True, exist_ok=True)
    document = json.dumps({"rows": rows, "fits": fits}, indent=1)
    (RESULTS / "capacity.json").write_text(document + "\n")
    plot(rows, RESULTS / "capacity.svg")


if __name__ == "__main__":
    main()
