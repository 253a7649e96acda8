import asyncio
import json
import random
import re
import time
from datetime import datetime
from functools import partial
from statistics import mean

from behave import given, then, when

from bench.model.virtualtime import run_in_virtual_time
from laburnumscale.errors import LogUnavailable
from laburnumscale.logpacing import draw_read_wait_ms, draw_retry_delay_s
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.peerdiscovery import PeerDiscovery
from laburnumscale.readerroles import ReaderRoles
from laburnumscale_schema import peer_pb2
from tests.features.steps.platform_steps import write_configuration
from tests.standins.fleet import request, wait_until

SEED = 5
FOUND_AFTER_S = 0.1
REST_S = 600
OUTAGES = 40
MAX_CALLS_OF_START = 4
LOG_CALLS = re.compile(r"^laburnumscale_log_calls_total\{(.*)\} (\d+)$", re.M)


def count_store_calls(context):
    """Return the number of calls that the store got from all daemons."""
    url = f"http://127.0.0.1:{context.fleet.log_port}/counts"
    counts = request("GET", url).json()
    return counts["append"] + counts["read"] + counts["newest"]


def count_calls_by_label(context):
    """Return the calls of each daemon to the store by operation, stream and outcome."""
    counts = {}
    for daemon in context.fleet.daemons.values():
        url = f"http://{daemon.operator_address}/metrics"
        text = request("GET", url).body.decode()
        counts[daemon.name] = LOG_CALLS.findall(text)
    return counts


@given("{count:d} daemons that read the log continuously")
def step_set_readers(context, count):
    context.readers = count


@given("a daemon that knows {count:d} daemons in {data_centres:d} data centres")
def step_create_replicators(context, count, data_centres):
    def member(index):
        return peer_pb2.Member(
            daemon=f"d{index}",
            incarnation=1,
            version=1,
            peer_address=f"127.0.0.1:{1000 + index}",
            data_centre=f"dc{index % data_centres}",
            state=peer_pb2.MEMBER_STATE_ALIVE,
        )

    context.data_centres = data_centres
    context.roles = []
    for own in range(count):
        members = Members(member(own))
        for index in range(count):
            members.merge(member(index))
        context.roles.append(ReaderRoles(members))


@then("{count:d} of them read the log continuously")
def step_check_readers(context, count):
    readers = sum(each.is_designated_reader() for each in context.roles)
    assert readers == count, readers
    assert context.roles[0].reader_count() == count


@then("{count:d} of them lead, {local:d} in each data centre")
def step_check_lead_readers(context, count, local):
    leads = [each for each in context.roles if each.is_lead_reader()]
    assert len(leads) == count, len(leads)
    assert all(each.is_designated_reader() for each in leads)


@then("each of them asks {count:d} readers, the first one in its own data centre")
def step_check_sources(context, count):
    readers = [each.is_designated_reader() for each in context.roles]
    for own, roles in enumerate(context.roles):
        asked = [int(address.rpartition(":")[2]) - 1000 for address in roles.sources()]
        assert len(asked) == count, asked
        assert own not in asked, asked
        assert all(readers[index] for index in asked), asked
        is_local = asked[0] % context.data_centres == own % context.data_centres
        assert is_local or roles.is_lead_reader(), (own, asked)


@then("together they make between {low:g} and {high:g} calls a second at rest")
def step_check_rest_rate(context, low, high):
    calls = 0
    for _ in range(context.readers):
        elapsed_s = 0.0
        while elapsed_s < REST_S:
            elapsed_s += draw_read_wait_ms(context.readers) / 1000
            calls += 1
    assert low <= calls / REST_S <= high, calls / REST_S


@then(
    "after a record that all have read, one of them reads again within {limit_s:g} s "
    "on average"
)
def step_check_next_read(context, limit_s):
    first_s = [
        min(draw_read_wait_ms(context.readers) for _ in range(context.readers)) / 1000
        for _ in range(OUTAGES)
    ]
    assert mean(first_s) <= limit_s, mean(first_s)


def draw_retries_s(readers, duration_s):
    """Return the times of the calls of all readers while the log refuses them."""
    times_s = []
    for _ in range(readers):
        elapsed_s = 0.0
        attempt = 0
        while elapsed_s < duration_s:
            times_s.append(elapsed_s)
            elapsed_s += draw_retry_delay_s(attempt, readers)
            attempt += 1
    return times_s


@then(
    "together they make at most {limit:d} calls a second while the log refuses them "
    "for {duration_s:d} s"
)
def step_check_refused_rate(context, limit, duration_s):
    calls = len(draw_retries_s(context.readers, duration_s))
    assert calls / duration_s <= limit, calls / duration_s


@then("one of them calls again within {limit_s:g} s on average after the log returns")
def step_check_return(context, limit_s):
    outage_s = 20
    delays_s = [
        min(t for t in draw_retries_s(context.readers, 2 * outage_s) if t > outage_s)
        - outage_s
        for _ in range(OUTAGES)
    ]
    assert mean(delays_s) <= limit_s, mean(delays_s)


class StartingFleet:
    """Daemons that start at random times and know each other some time later.

    :ivar reads: reads of presence records.
    :ivar appended: presence records.
    :ivar failing_reads: number of reads, from the first one on, that fail.
    """

    def __init__(self, starts_s, found_after_s):
        self.starts_s = starts_s
        self.reads = 0
        self.appended = 0
        self.failing_reads = 0
        self._found_after_s = found_after_s

    async def run(self, duration_s):
        """Let the daemons discover each other for a time."""
        loop = asyncio.get_running_loop()
        self._began_at_s = loop.time()
        tasks = [loop.create_task(self._discover(each)) for each in self.starts_s]
        await asyncio.sleep(duration_s)
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)

    def peers(self, own_start_s):
        """Return the other daemons that a daemon knows."""
        elapsed_s = asyncio.get_running_loop().time() - self._began_at_s
        latest_s = elapsed_s - self._found_after_s
        if own_start_s > latest_s:
            return []
        return [each for each in self.starts_s if own_start_s != each <= latest_s]

    async def _discover(self, start_s):
        await asyncio.sleep(start_s)
        discovery = PeerDiscovery(
            _KnownMembers(self, start_s), _CountedPresence(self), None, Metrics(), ()
        )
        await discovery.discover_forever()


class _KnownMembers:
    own = peer_pb2.Member(daemon="d1", peer_address="127.0.0.1:1")

    def __init__(self, fleet, start_s):
        self._fleet = fleet
        self._start_s = start_s

    @property
    def group_size(self):
        return 1 + len(self.peers())

    def peers(self):
        return [self.own for _ in self._fleet.peers(self._start_s)]


class _CountedPresence:
    def __init__(self, fleet):
        self._fleet = fleet

    async def announce(self):
        self._fleet.appended += 1

    def is_announcement_lost(self):
        return False

    async def read(self, wait_ms=0):
        self._fleet.reads += 1
        if self._fleet.reads <= self._fleet.failing_reads:
            raise LogUnavailable("presence", "no answer")
        await asyncio.sleep(wait_ms / 1000)

    def contacts(self):
        return []


@given(
    "{daemons:d} daemons that start within {start_ms:d} ms and know each other "
    "{found_ms:d} ms later"
)
def step_create_starting_fleets(context, daemons, start_ms, found_ms):
    random.seed(SEED)

    def create_fleet():
        starts_s = [random.uniform(0, start_ms / 1000) for _ in range(daemons)]
        return StartingFleet(starts_s, found_ms / 1000)

    context.create_fleet = create_fleet


@given("{first:d} daemons, and {more:d} more that start {start_ms:d} ms later")
def step_create_growing_fleets(context, first, more, start_ms):
    random.seed(SEED)
    starts_s = [start_ms / 1000 * (index >= first) for index in range(first + more)]
    starts_s = [each + index / 1000 for index, each in enumerate(starts_s)]
    context.create_fleet = partial(StartingFleet, starts_s, FOUND_AFTER_S)


@when("{duration_s:d} s pass in each of {count:d} fleets")
def step_start_fleets(context, duration_s, count):
    context.reads = []
    for _ in range(count):
        fleet = context.create_fleet()
        run_in_virtual_time(partial(fleet.run, duration_s))
        context.reads.append(fleet.reads)


@when(
    "{duration_s:d} s pass in a fleet whose first {count:d} reads of presence records "
    "fail"
)
def step_start_fleet_with_failures(context, duration_s, count):
    context.starting = context.create_fleet()
    context.starting.failing_reads = count
    run_in_virtual_time(partial(context.starting.run, duration_s))


@then("{count:d} presence records were appended")
def step_check_presence_records(context, count):
    assert context.starting.appended == count, context.starting.appended


@then("they read presence records at most {limit:d} times on average")
def step_check_presence_reads(context, limit):
    assert mean(context.reads) <= limit, mean(context.reads)


@given("the platform daemons accept calls")
def step_wait_accepting(context):
    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda daemon=daemon: request("GET", daemon.callers + "/").status != 0,
            f"{daemon.name} accepts callers",
        )


def read_start_s(context, name):
    """Return the Unix time at which a daemon logged its start."""
    lines = (context.fleet.directory / f"{name}.log").read_text().splitlines()
    line = next(line for line in lines if "daemon started" in line)
    return datetime.fromisoformat(json.loads(line)["timestamp"]).timestamp()


@when("{duration_s:d} s pass without a configuration")
def step_rest(context, duration_s):
    time.sleep(duration_s)
    context.elapsed_s = time.time() - min(
        read_start_s(context, name) for name in context.fleet.daemons
    )
    context.store_calls = count_store_calls(context)
    context.calls_by_label = count_calls_by_label(context)


@then("the store got at most 4 calls for each daemon and one for each second")
def step_check_store_calls(context):
    limit = MAX_CALLS_OF_START * len(context.fleet.daemons) + context.elapsed_s
    counts = context.store_calls, limit, context.calls_by_label
    assert context.store_calls <= limit, counts


@when("the operator writes configuration version {version:d}")
def step_write_version(context, version):
    context.written_version = version
    write_configuration(context, version)


@then("every daemon has the configuration within {limit_s:d} s")
def step_check_version(context, limit_s):
    def has_version(daemon):
        return daemon.status()["revision"] == context.written_version

    deadline_s = time.monotonic() + limit_s
    pending = list(context.fleet.daemons.values())
    while pending and time.monotonic() < deadline_s:
        pending = [each for each in pending if not has_version(each)]
    assert not pending, [daemon.name for daemon in pending]


@when("the connections of {daemon} to the store become silent")
def step_silence_store(context, daemon):
    link = context.fleet.links[f"{daemon}-store"]
    link.faults(forward={"silence": True}, backward={"silence": True})
