import asyncio
import time
from unittest import mock

from behave import given, then, when

from bench.model.virtualtime import VirtualTimePlay, run_in_virtual_time
from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.errors import LogUnavailable
from laburnumscale_schema import peer_pb2
from tests.standins.daemonparts import DaemonParts, new_member
from tests.standins.departurefleet import ServedDaemon
from tests.standins.keyedlog import KeyedLog

STARTED_MS = 1_000_000_000_000


class CountedLog(KeyedLog):
    """A log that counts its writes, and may answer them late or not at all."""

    def __init__(self):
        super().__init__()
        self.writes = 0
        self.refuses_appends = False
        self.delay_ms = 0

    async def append(self, stream, payload, key="", number=0):
        if self.refuses_appends:
            await asyncio.sleep(1)
            raise LogUnavailable("log", "no response")
        self.writes += 1
        await asyncio.sleep(self.delay_ms / MS_PER_S)
        return await super().append(stream, payload, key, number)


def start(context, name):
    context.d1 = DaemonParts(name, int(name[1:]), context.log)
    if not context.log.down:
        asyncio.run(context.d1.presence.read())


async def create_served_daemon(log):
    """Return a daemon that targets reach, once it writes departures to the log."""
    daemon = ServedDaemon("d1", 1, log)
    await daemon.presence.read()
    daemon.spawn(daemon.records.write_forever())
    return daemon


def recorded_departures(context):
    records = map(peer_pb2.Member.FromString, context.log.newest().values())
    return [each.endpoint for record in records for each in record.departures]


@given("a daemon d1 with a log")
def step_create(context):
    context.log = CountedLog()
    start(context, "d1")


@given("a daemon d1 with a log, in a fleet of {count:d} daemons")
def step_create_in_fleet(context, count):
    context.log = CountedLog()
    context.fleet_size = count


def new_daemon(context):
    """Return a daemon that reads the clocks of virtual time, and its fleet."""
    daemon = DaemonParts("d1", 1, context.log)
    for number in range(2, getattr(context, "fleet_size", 1) + 1):
        daemon.members.merge(new_member(f"d{number}", number))
    return daemon


@when("all daemons end and {name} starts with the log")
def step_start_again(context, name):
    start(context, name)


@when("all daemons end and d1 starts with the log {elapsed_s:d} s later")
def step_start_later(context, elapsed_s):
    later_s = time.time() + elapsed_s
    with mock.patch("laburnumscale.departures.time.time", lambda: later_s):
        start(context, "d1")


@when("all daemons end and d1 starts while the log is away")
def step_start_without_log(context):
    context.log.down = True
    start(context, "d1")


@when("it writes its presence record")
def step_write(context):
    asyncio.run(context.d1.presence.announce())


@when("the log responds again, and the daemon writes its presence record")
def step_respond_and_write(context):
    context.log.down = False
    step_write(context)


@when("the log comes back without its last {count:d} records")
def step_come_back(context, count):
    context.log.come_back(count)
    assert not recorded_departures(context)
    asyncio.run(context.d1.presence.read())
    assert context.d1.presence.is_announcement_lost()


@when("{count:d} processes deregister at once")
def step_deregister_at_once(context, count):
    departures = [
        context.d1.targets.withdraw_endpoint(f"i-{number}", STARTED_MS)
        for number in range(count)
    ]
    asyncio.run(context.d1.replicate_and_write(*departures))


@when("{count:d} processes deregister one after the other, and {more:d} more at once")
def step_deregister_in_turn(context, count, more):
    async def deregister():
        daemon = new_daemon(context)
        writing = asyncio.create_task(daemon.records.write_forever())
        leaving = [
            daemon.targets.withdraw_endpoint(f"i-{number}", STARTED_MS)
            for number in range(count + more)
        ]
        for departure in leaving[:count]:
            await daemon.records.record(departure)
        started_at_s = now_s()
        await asyncio.gather(*map(daemon.records.record, leaving[count:]))
        context.elapsed_ms = (now_s() - started_at_s) * MS_PER_S
        writing.cancel()

    run_in_virtual_time(deregister)


@given("a process of i-1 that is announced to d1")
def step_announce_process(context):
    context.play = VirtualTimePlay()
    context.daemon = context.play.run(create_served_daemon(context.log))
    context.play.run(context.daemon.send("ready"))
    assert context.daemon.status == 200


@given("the operator drains i-1")
def step_drain_by_operator(context):
    assert context.daemon.targets.drain("slot-desk", "i-1")


@when("it {leaves} while the log does not respond")
def step_leave_without_log(context, leaves):
    context.log.refuses_appends = True
    step_leave_again(context, leaves)


@when("it {leaves} while the log takes {delay_ms:d} ms to respond")
def step_leave_slowly(context, leaves, delay_ms):
    context.log.delay_ms = delay_ms
    step_leave_again(context, leaves)


@when("it {leaves} once more")
def step_leave_again(context, leaves):
    context.play.run(context.daemon.send(leaves))


@when("the log responds again, and {duration_s:d} s pass")
def step_respond(context, duration_s):
    context.log.refuses_appends = False
    context.play.run(asyncio.sleep(duration_s))


@then("that is {outcome} within {limit_ms:d} ms")
def step_check_outcome(context, outcome, limit_ms):
    expected = {"acknowledged": 200, "refused with 503": 503}[outcome]
    assert context.daemon.status == expected, context.daemon.status
    assert context.daemon.elapsed_ms <= limit_ms, context.daemon.elapsed_ms


@then(
    "the log has all {count:d} departures within {limit_s:g} s, after at most "
    "{limit:d} writes"
)
def step_check_collected(context, count, limit_s, limit):
    step_check_writes(context, count, limit)
    assert context.elapsed_ms <= limit_s * MS_PER_S, context.elapsed_ms


@then("the log holds departures of {names}")
def step_check_recorded(context, names):
    assert recorded_departures(context) == names.split(", ")


@then("the log holds {count:d} departures after at most {limit:d} writes")
def step_check_writes(context, count, limit):
    found = recorded_departures(context)
    assert len(found) == count, found
    assert context.log.writes <= limit, context.log.writes
