import asyncio
import json
import time
from contextlib import asynccontextmanager

from behave import given, then, when
from structlog.testing import capture_logs

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.departurequeue import DepartureQueue
from laburnumscale.departures import Departure, Departures
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2
from tests.features.steps.platform_steps import start_platform_daemon
from tests.standins.daemonparts import READY, DaemonParts, new_member
from tests.standins.fleet import request, wait_until

DRAINING = peer_pb2.TARGET_STATE_DRAINING
OTHER_PORT = 9001


@given("daemon d1 that has just started")
def step_create_daemon(context):
    context.d1 = DaemonParts("d1", 1)


@given("daemon d2 that knows it")
def step_create_peer(context):
    context.d2 = DaemonParts("d2", 2)
    context.d1.link(context.d2)


@when("daemon d1 ends after its acknowledgement and starts again")
def step_restart_daemon(context):
    context.d1 = DaemonParts("d1", 1)
    context.d1.link(context.d2)
    asyncio.run(context.d1.exchange.exchange("127.0.0.1:2", announce_self=False))


@when("an announcement of i-1, started at {start:d} and numbered {number:d}, arrives")
@when(
    "an announcement of i-1, started at {start:d} and numbered {number:d}, arrives late"
)
def step_announce(context, start, number):
    context.d1.announce(start, number)


@when(
    "an announcement of i-1 at another port, started at {start:d} and numbered "
    "{number:d}, arrives"
)
def step_announce_port(context, start, number):
    context.d1.announce(start, number, address=Address("127.0.0.1", OTHER_PORT))


@when("i-1, started at {start:d}, announces with number {number:d} that it drains")
def step_announce_draining(context, start, number):
    context.d1.announce(start, number, state=DRAINING)


@when("i-2 of a service that is not known yet announces the same address")
def step_announce_other(context):
    context.d1.announce(2000, 1, endpoint="i-2", service="new-desk", may_replace=False)
    assert context.d1.published()["i-2"] == READY


@when("the process of i-1 that started at {start:d} deregisters")
def step_deregister(context, start):
    context.d1.acknowledge(context.d1.targets.withdraw_endpoint("i-1", start))


@when("the process of i-1 that started at {start:d} drains")
def step_drain(context, start):
    context.d1.acknowledge(context.d1.announce(start, 8, state=DRAINING))


@when("i-1 deregisters without a start time")
def step_deregister_without_start(context):
    context.d1.targets.withdraw_endpoint("i-1")


@when("another daemon reports that the process of i-1 started at {start:d} has left")
def step_report(context, start):
    context.d1.notices.departures.merge(
        peer_pb2.Departure(
            endpoint="i-1", started_at_unix_ms=start, gone=True, expires_in_ms=60_000
        )
    )


@when("nothing more of that process arrives for 10 s")
def step_pass_time(context):
    context.d1.targets.get("slot-desk", "i-1").late_deadline = Deadline.after_ms(0)


@then("i-1 is not announced")
def step_check_not_announced(context):
    assert "i-1" not in context.d1.published(), context.d1.published()


@then("i-1 is announced as {state}")
def step_check_announced(context, state):
    expected = {"ready": READY, "draining": DRAINING}[state]
    assert context.d1.published().get("i-1") == expected, context.d1.published()


@then("i-1 is ready at another port")
def step_check_announced_port(context):
    target = context.d1.targets.get("slot-desk", "i-1")
    assert (target.state, target.address.port) == (READY, OTHER_PORT), target


@when("other daemons report {count:d} departures")
def step_report_many(context, count):
    for number in range(count):
        context.d1.notices.departures.merge(
            peer_pb2.Departure(
                endpoint=f"r-{number}",
                started_at_unix_ms=1000,
                gone=True,
                expires_in_ms=60_000,
            )
        )


@then("it keeps at most {limit:d} departures")
def step_check_kept(context, limit):
    kept = context.d1.notices.departures.messages(1_000_000)
    assert 0 < len(kept) <= limit, len(kept)


@when("another daemon reports departures with odd names, times and durations")
def step_report_odd(context):
    for fields in (
        {"endpoint": ""},
        {"endpoint": "i\n1"},
        {"endpoint": "x" * 3000},
        {"started_at_unix_ms": 2**64 - 1},
        {"expires_in_ms": 0},
        {"started_at_unix_ms": 999},
    ):
        departure = {
            "endpoint": "i-1",
            "started_at_unix_ms": 999,
            "gone": True,
            "expires_in_ms": 2**32 - 1,
        }
        context.d1.notices.departures.merge(peer_pb2.Departure(**(departure | fields)))


class SomeChannels:
    """Channels to daemons of which only some reply.

    :ivar answering: number of daemons that reply.
    """

    def __init__(self, answering):
        self.answering = answering

    @asynccontextmanager
    async def transient_peer(self, address):
        self.answers = int(address.rpartition(":")[2]) <= self.answering
        yield self

    async def ExchangeMembers(self, message, timeout):  # noqa: N802, ASYNC109
        if not self.answers:
            await asyncio.sleep(timeout * 4)
        return peer_pb2.MemberTable()


@given("daemon d1 that knows {count:d} daemons, of which {answering:d} reply")
def step_create_replicating(context, count, answering):
    context.d1 = DaemonParts("d1", 100)
    context.d1.exchange._channels = SomeChannels(answering)
    for number in range(1, count + 1):
        context.d1.members.merge(new_member(f"p{number}", number))


@when("it replicates a departure")
def step_replicate(context):
    departure = context.d1.notices.departures.acknowledge("i-1", 1000, is_gone=True)
    started_at_s = time.monotonic()
    with capture_logs() as context.log_lines:
        replicas = asyncio.run(context.d1.replicator.replicate(departure))
    context.confirmations = replicas.confirmed
    context.elapsed_ms = (time.monotonic() - started_at_s) * 1000


@then("it has {expected} confirmations within {limit_ms:d} ms")
def step_check_confirmations(context, expected, limit_ms):
    lowest, _, highest = expected.partition(" to ")
    assert int(lowest) <= context.confirmations <= int(highest or lowest)
    assert context.elapsed_ms <= limit_ms, context.elapsed_ms


@then("it has logged that replicas are missing: {logged}")
def step_check_replication_log(context, logged):
    events = [line["event"] for line in context.log_lines]
    assert events == (["departure not replicated"] if logged == "yes" else []), events


@when("{count:d} processes deregister")
def step_deregister_many(context, count):
    context.queue = DepartureQueue()
    departures = Departures(Metrics())
    departures.on_change(context.queue.add)
    for number in range(count):
        departures.acknowledge(f"i-{number:04}", 1_000_000_000_000, is_gone=True)


@then(
    "datagrams of {size:d} bytes carry all {count:d} departures within {limit:d} "
    "datagrams"
)
def step_check_datagrams(context, size, count, limit):
    seen = set()
    for _ in range(limit):
        batch = context.queue.take_batch(size, 3)
        assert sum(each.ByteSize() for each in batch) <= size
        seen.update(each.endpoint for each in batch)
    assert len(seen) == count, len(seen)


@when("a daemon is told of a departure that expires in {left_ms:d} ms")
def step_merge_expiring(context, left_ms):
    context.queue = DepartureQueue()
    departures = Departures(Metrics())
    departures.on_change(context.queue.add)
    departures.merge(
        peer_pb2.Departure(endpoint="i-1", gone=True, expires_in_ms=left_ms)
    )


@then("it passes {count:d} departures on")
def step_check_passed_on(context, count):
    batch = context.queue.take_batch(1000, 3)
    assert len(batch) == count, batch


@when("the departure has expired")
def step_expire(context):
    departure = Departure("i-1", 0, True, Deadline.after_ms(0))
    context.queue.add(departure)


class RemoteProcess:
    """A process of an endpoint whose messages the steps send."""

    def __init__(self, context, daemon):
        port = context.fleet.daemon_ports(daemon)["target"]
        self.url = f"http://127.0.0.1:{port}/-/rpc"
        self.port = context.fleet.free_port()
        self.born = int(time.time() * 1000)
        self.number = 0

    def build_announcement(self):
        self.number += 1
        return json.dumps(
            {
                "address": f"127.0.0.1:{self.port}",
                "born": self.born,
                "info": {"service": "slot-desk", "zone": "makati", "slots": 5},
                "status": {"state": "ready", "sequence": self.number},
            }
        ).encode()

    def post(self, call, body):
        return request("POST", f"{self.url}?call=instances.{call}&of=i-left", body)

    def deregister(self):
        body = json.dumps({"born": self.born}).encode()
        assert self.post("deregister", body).status == 200


@when("endpoint i-left of slot-desk announces itself to d1")
def step_announce_remote(context):
    context.process = RemoteProcess(context, "d1")
    body = context.process.build_announcement()
    assert context.process.post("heartbeat", body).status == 200
    context.late_body = context.process.build_announcement()
    wait_until(
        lambda: all(
            "i-left" in listed(each) for each in context.fleet.daemons.values()
        ),
        "every daemon lists i-left",
    )


def listed(daemon):
    return daemon.endpoints("slot-desk")


def restart_killed(context, names=("d1",)):
    centres = dict(zip(("d1", "d2", "d3"), ("makati", "pasig", "quezon"), strict=True))
    for name in names:
        context.fleet.daemons[name].process.kill()
    for name in names:
        context.fleet.daemons[name].process.wait()
    for name in names:
        start_platform_daemon(context, name, centres[name])
    wait_until(
        lambda: request("POST", context.process.url, b"").status == 400,
        "d1 receives messages of targets again",
    )


@when("d1 is killed and starts again and then i-left deregisters")
def step_restart_and_deregister(context):
    restart_killed(context)
    context.process.deregister()


@when("i-left deregisters and then d1 is killed and starts again")
def step_deregister_and_restart(context):
    context.process.deregister()
    restart_killed(context)


@when("i-left deregisters and then all daemons are killed and start again")
def step_deregister_and_restart_all(context):
    context.process.deregister()
    restart_killed(context, ("d1", "d2", "d3"))


@when("a late announcement of i-left arrives at d1")
def step_post_late(context):
    assert context.process.post("heartbeat", context.late_body).status == 200


@then("d1 does not list i-left for {duration_ms:d} ms, nor do the others after that")
def step_check_not_listed(context, duration_ms):
    end_s = time.monotonic() + duration_ms / 1000
    while time.monotonic() < end_s:
        found = listed(context.fleet.daemons["d1"])
        assert "i-left" not in found, found
        time.sleep(0.05)
    wait_until(
        lambda: not any("i-left" in listed(d) for d in context.fleet.daemons.values()),
        "the others have heard of the new process of d1",
    )


@when("endpoint i-left starts again and announces itself to d1")
def step_start_again(context):
    context.process = RemoteProcess(context, "d1")
    body = context.process.build_announcement()
    assert context.process.post("heartbeat", body).status == 200


@then("every daemon lists i-left within {limit_s:d} s")
def step_check_listed_again(context, limit_s):
    wait_until(
        lambda: all(
            "i-left" in listed(each) for each in context.fleet.daemons.values()
        ),
        "every daemon lists i-left",
        limit_s,
    )
