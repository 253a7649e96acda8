"""Capacity.

Loads a real daemon with settings and members of several sizes and fits the cost of each
entry.
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
EDITS_PER_CHANGE = 500
MEMBERS_PER_TABLE = 100
LOOKUP_REPEATS = 200
LOAD_TIMEOUT_S = 120


@attrs.frozen
class Size:
    """Number of entries of each kind that a daemon holds."""

    daemons: int
    endpoints: int
    services: int
    routes: int

    @classmethod
    def scaled(cls, fraction: float) -> "Size":
        """Return the full size multiplied by a fraction."""
        full_counts = (DAEMONS, ENDPOINTS, SERVICES, ROUTES)
        return cls(*(int(count * fraction) for count in full_counts))


def make_edits(size: Size) -> list[settings_pb2.Edit]:
    """Return the edits that write the settings of all services and all routes."""
    edits = []
    for index in range(size.services):
        edit = settings_pb2.Edit(place=f"service:service-{index}")
        edit.settings.time_limit_ms = 1000
        edit.settings.floor_percent = 60
        edits.append(edit)
    for index in range(size.routes):
        host, prefix = f"host-{index}.example", f"/part-{index % 7}/"
        route = settings_pb2.Route(
            host=host, path_prefix=prefix, service=f"service-{index % size.services}"
        )
        edits.append(settings_pb2.Edit(place=f"route:{host}{prefix}", route=route))
    return edits


def make_changes(size: Size) -> list[settings_pb2.Change]:
    """Return the changes that write the whole settings tree."""
    edits = make_edits(size)
    return [
        settings_pb2.Change(
            change_id=uuid.uuid4().hex,
            author="bench",
            edits=edits[start : start + EDITS_PER_CHANGE],
        )
        for start in range(0, len(edits), EDITS_PER_CHANGE)
    ]


def make_members(size: Size) -> list[peer_pb2.Member]:
    """Return the membership entries of all daemons, with their endpoints."""
    endpoints_per_daemon = size.endpoints // size.daemons + 1
    endpoints_left = size.endpoints
    members = []
    for index in range(size.daemons):
        count = min(endpoints_per_daemon, endpoints_left)
        endpoints_left -= count
        members.append(make_member(index, count, size))
    return members


def make_member(index: int, endpoint_count: int, size: Size) -> peer_pb2.Member:
    """Return the membership entry of one daemon.

    :param endpoint_count: number of endpoints of the daemon.
    """
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
            for number in range(endpoint_count)
        ],
    )


def append_change(fleet: Fleet, change: settings_pb2.Change) -> None:
    """Append a change to the settings stream."""
    record = settings_pb2.SettingsRecord(change=change).SerializeToString()
    url = f"http://127.0.0.1:{fleet.log_port}/streams/settings"
    assert request("POST", url, record).status == 200


def count_accepted_changes(daemon: DaemonProcess) -> int:
    """Return the number of settings changes that a daemon has accepted."""
    text = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    prefix = 'laburnumscale_settings_changes_total{verdict="VERDICT_ACCEPTED"} '
    lines = [line for line in text.splitlines() if line.startswith(prefix)]
    return int(lines[0].rpartition(" ")[2]) if lines else 0


def load_settings(fleet: Fleet, daemon: DaemonProcess, size: Size) -> dict:
    """Load the settings tree into a daemon, then one more change.

    :returns: memory and processor time for the tree; duration and processor time for
        the change.
    """
    before_bytes = memory_bytes(daemon.process.pid)
    before_us = cpu_us(daemon.process.pid)
    changes = make_changes(size)
    for change in changes:
        append_change(fleet, change)
    wait_until(
        lambda: count_accepted_changes(daemon) >= len(changes),
        "the daemon accepted all changes",
        LOAD_TIMEOUT_S,
    )
    row = {
        "settings_bytes": memory_bytes(daemon.process.pid) - before_bytes,
        "settings_cpu_us": cpu_us(daemon.process.pid) - before_us,
    }
    before_us = cpu_us(daemon.process.pid)
    single_change = settings_pb2.Change(change_id=uuid.uuid4().hex, author="bench")
    single_change.edits.add(place="service:one-more").settings.time_limit_ms = 900
    started_at_s = time.monotonic()
    append_change(fleet, single_change)
    wait_until(
        lambda: count_accepted_changes(daemon) > len(changes),
        "the daemon accepted one more change",
        LOAD_TIMEOUT_S,
    )
    row["one_change_ms"] = (time.monotonic() - started_at_s) * 1000
    row["one_change_cpu_us"] = cpu_us(daemon.process.pid) - before_us
    return row


def load_members(daemon: DaemonProcess, size: Size) -> dict:
    """Load the member table into a daemon.

    :returns: memory and processor time of the load; size of the table as sent.
    """
    members = make_members(size)
    before_bytes = memory_bytes(daemon.process.pid)
    before_us = cpu_us(daemon.process.pid)
    with grpc.insecure_channel(f"127.0.0.1:{daemon.ports['peer']}") as channel:
        stub = peer_pb2_grpc.PeerStub(channel)
        for start in range(0, len(members), MEMBERS_PER_TABLE):
            table = peer_pb2.MemberTable(sender="bench")
            table.members.extend(members[start : start + MEMBERS_PER_TABLE])
            stub.ExchangeMembers(table, timeout=LOAD_TIMEOUT_S)
    return {
        "members_bytes": memory_bytes(daemon.process.pid) - before_bytes,
        "members_cpu_us": cpu_us(daemon.process.pid) - before_us,
        "table_wire_bytes": sum(member.ByteSize() for member in members),
    }


def measure_start_s(fleet: Fleet, name: str) -> float:
    """Return the time in seconds until a new daemon has the tree and is ready."""
    started_at_s = time.monotonic()
    daemon = fleet.start_daemon(name, "dc-0")
    wait_until(daemon.is_ready, "the new daemon is ready", LOAD_TIMEOUT_S)
    start_s = time.monotonic() - started_at_s
    fleet.stop(daemon.process)
    return start_s


def measure_lookups(size: Size) -> dict:
    """Return the mean times of the look-ups of a call, in this process."""
    own = peer_pb2.Member(daemon="own", incarnation=1, state=1, data_centre="dc-0")
    table = Members(own)
    for member in make_members(size):
        table.merge(member)
    metrics = Metrics()
    feed = SettingsFeed(metrics)
    tree = feed.tree
    for revision, change in enumerate(make_changes(size), 1):
        tree.apply_change(revision, change)
    recovery = TargetRecovery(None, metrics, lambda: None)
    health = TargetHealth(recovery, LoopStalls(), metrics)
    router = Router(table, feed, PathHealth(PeerChannels({}), metrics), health)
    for index in range(size.services):
        router.pick(f"service-{index}", set(), True)
    rng = random.Random(1)

    def random_service() -> str:
        return f"service-{rng.randrange(size.services)}"

    def measure_us(function) -> float:
        function()
        return timeit.timeit(function, number=LOOKUP_REPEATS) / LOOKUP_REPEATS * 1e6

    return {
        "pick_us": measure_us(lambda: router.pick(random_service(), set(), True)),
        "route_us": measure_us(lambda: tree.route("host-5.example", "/part-5/a/b/c")),
        "services_us": measure_us(lambda: "service-1" in tree.services()),
        "effective_us": measure_us(
            lambda: tree.effective_settings(random_service(), "dc-0")
        ),
    }


def measure(fraction: float) -> dict:
    """Return the measurements of one size, by column.

    :param fraction: fraction of the full size.
    """
    size = Size.scaled(fraction)
    fleet = Fleet()
    try:
        fleet.start_log()
        daemon = fleet.start_daemon("d1", "dc-0")
        wait_until(daemon.is_ready, "the daemon is ready")
        row = attrs.asdict(size)
        row["empty_bytes"] = memory_bytes(daemon.process.pid)
        row |= load_settings(fleet, daemon, size)
        row |= load_members(daemon, size)
        row["start_s"] = measure_start_s(fleet, "d2")
    finally:
        fleet.close()
    return row | measure_lookups(size)


def fit_line(rows: list[dict], count_name: str, value_name: str) -> dict:
    """Return the linear fit of a value by a count.

    :returns: coefficients of the fit; its residual is the largest absolute error.
    """
    counts = [row[count_name] for row in rows]
    values = [row[value_name] for row in rows]
    slope, intercept = numpy.polyfit(counts, values, 1)
    errors = [v - (slope * c + intercept) for c, v in zip(counts, values, strict=True)]
    return {
        "value": value_name,
        "by": count_name,
        "slope": float(slope),
        "intercept": float(intercept),
        "residual": float(max(abs(error) for error in errors)),
        "at_full_size": values[-1],
    }


#: Pairs of a count and a value that is fitted by it.
FITTED_VALUES = (
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
    """Plot the memory growth of a daemon by the fraction of the full size."""
    from matplotlib import pyplot  # noqa: PLC0415 (slow to import)

    figure, axes = pyplot.subplots(figsize=(6, 4))
    fractions = [row["endpoints"] / ENDPOINTS for row in rows]
    for name in ("settings_bytes", "members_bytes"):
        axes.plot(fractions, [row[name] / 1e6 for row in rows], marker=".", label=name)
    axes.set(
        xlabel="fraction of the full size", ylabel="memory growth of one daemon, MB"
    )
    axes.legend()
    axes.grid(alpha=0.3)
    figure.savefig(path)


def main() -> None:
    """Measure all sizes, print and save the rows and fits, and plot the memory."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fractions", type=float, nargs="*", default=FRACTIONS)
    options = parser.parse_args()
    rows = []
    for fraction in options.fractions:
        rows.append(measure(fraction))
        print(json.dumps(rows[-1]), flush=True)
    fits = [fit_line(rows, *names) for names in FITTED_VALUES]
    for fit in fits:
        print(json.dumps(fit))
    RESULTS.mkdir(parents=True, exist_ok=True)
    document = json.dumps({"rows": rows, "fits": fits}, indent=1)
    (RESULTS / "capacity.json").write_text(document + "\n")
    plot(rows, RESULTS / "capacity.svg")


if __name__ == "__main__":
    main()
