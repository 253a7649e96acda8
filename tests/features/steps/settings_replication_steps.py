import asyncio
import socket
from contextlib import ExitStack, asynccontextmanager, suppress

import grpc
from behave import given, then, when

from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import now_s
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.readerroles import ReaderRoles
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsreplication import SettingsReplicator
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale_schema import peer_pb2, settings_pb2
from tests.features.steps.platform_messages_steps import handle_heartbeat

DATA_CENTRE = "makati"
#: Longer than any request of a replicator waits.
REPLY_NEVER_S = 30.0
WAIT_LIMIT_S = 10.0


def member(name):
    return peer_pb2.Member(
        daemon=name,
        incarnation=1,
        version=1,
        peer_address=f"{name}:1",
        data_centre=DATA_CENTRE,
        state=peer_pb2.MEMBER_STATE_ALIVE,
    )


class PeerStub:
    """Peer that holds a revision; a silent one does not reply until the timeout."""

    def __init__(self) -> None:
        self.revision = 0
        self.silent = False
        self.timed_out_requests = 0
        self.requests = asyncio.Queue()
        self.reports = asyncio.Queue()

    async def FetchSettings(self, request, **options):  # noqa: N802
        await self._reply_delay(options["timeout"])
        return peer_pb2.SettingsReply(
            snapshot=settings_pb2.Snapshot(revision=self.revision), held=self._held()
        )

    async def PushSettings(self, message, **options):  # noqa: N802
        self.requests.put_nowait(message.held.revision)
        await self._reply_delay(options["timeout"])
        self.reports.put_nowait(message.held.revision)
        return self._held()

    async def _reply_delay(self, timeout_s):
        if not self.silent:
            return
        await asyncio.sleep(min(timeout_s, REPLY_NEVER_S))
        self.timed_out_requests += 1
        raise grpc.aio.AioRpcError(
            grpc.StatusCode.DEADLINE_EXCEEDED, grpc.aio.Metadata(), grpc.aio.Metadata()
        )

    async def wait_for_report(self, revision):
        while await self.reports.get() < revision:
            pass

    def _held(self):
        return peer_pb2.SettingsHeld(revision=self.revision, has_tree=True)


class ChannelsStub:
    """Channels to peers in this process."""

    def __init__(self, peers) -> None:
        self.peers = peers
        self.replaced = asyncio.Queue()

    def peer(self, address):
        return self.peers[address.partition(":")[0]]

    @asynccontextmanager
    async def transient_peer(self, address, new_connection, connect_timeout_ms):
        yield self.peer(address)

    def replace_channel(self, address):
        """Record the address; a new connection to a silent peer is silent, too."""
        self.replaced.put_nowait(address)


@given("a daemon that replicates settings with peers {names}")
def step_create_replicator(context, names):
    context.peers = {name: PeerStub() for name in names.split(", ")}


@given("d2 and d3 hold revision {revision:d}, and d2 does not reply to requests")
def step_set_revisions(context, revision):
    for name in ("d2", "d3"):
        context.peers[name].revision = revision
    context.peers["d2"].silent = True


@given(
    "d2, d3, d4, d5 and d6 hold revision {revision:d}, "
    "and all but d6 do not reply to requests"
)
def step_silence_most(context, revision):
    for name, peer in context.peers.items():
        peer.revision = revision
        peer.silent = name != "d6"


@given("d2 does not reply to requests")
def step_silence_peer(context):
    context.peers["d2"].silent = True


async def run_replicator(context, act, wait, pulls=True):
    """Run a replicator while ``act`` and then ``wait`` run.

    :returns: whether no request to the silent peer had timed out by then.
    """
    members = Members(member("d1"))
    for name in context.peers:
        members.merge(member(name))
    feed = SettingsFeed(Metrics())
    feed.restore(settings_pb2.Snapshot(revision=1))
    feed.mark_tree_complete()
    context.channels = ChannelsStub(context.peers)
    replicator = SettingsReplicator(
        members, feed, context.channels, (), Metrics(), ReaderRoles(members)
    )
    tasks = [asyncio.create_task(replicator.push_forever())]
    if pulls:
        tasks.append(asyncio.create_task(replicator.pull_forever()))
    await asyncio.sleep(0)
    try:
        await act(feed)
        async with asyncio.timeout(WAIT_LIMIT_S):
            await wait(feed)
    finally:
        is_in_time = context.peers["d2"].timed_out_requests == 0
        for task in tasks:
            task.cancel()
        with suppress(asyncio.CancelledError):
            await asyncio.gather(*tasks, return_exceptions=True)
    return is_in_time


@when("d3 and then d2 report revision {revision:d}")
def step_report_revision(context, revision):
    async def act(feed):
        feed.record_peer_revision(revision, "d3:1")
        feed.record_peer_revision(revision, "d2:1")

    context.act = act


@when("d6, d5, d4, d3 and then d2 report revision {revision:d}")
def step_report_revision_of_many(context, revision):
    async def act(feed):
        for name in ("d6", "d5", "d4", "d3", "d2"):
            feed.record_peer_revision(revision, f"{name}:1")

    context.act = act


@then("the daemon holds revision {revision:d} within {limit_s:d} s")
def step_check_held_in_time(context, revision, limit_s):
    async def wait(feed):
        async with asyncio.timeout(limit_s):
            await feed.wait_for_newer_revision(revision - 1)

    asyncio.run(run_replicator(context, context.act, wait))


@then("the daemon holds revision {revision:d} before its fetch from d2 times out")
def step_check_held(context, revision):
    async def wait(feed):
        await feed.wait_for_newer_revision(revision - 1)

    assert asyncio.run(run_replicator(context, context.act, wait))


@when("the daemon restores revision {first:d} and then revision {second:d}")
def step_restore(context, first, second):
    async def act(feed):
        for revision in (first, second):
            feed.restore(settings_pb2.Snapshot(revision=revision))
            feed.notify_waiters()
            await asyncio.sleep(0.1)

    context.act = act


@when(
    "the daemon restores revision {first:d} and then, {delay_s:d} s later, "
    "revision {second:d}"
)
def step_restore_later(context, first, delay_s, second):
    async def act(feed):
        for revision in (first, second):
            feed.restore(settings_pb2.Snapshot(revision=revision))
            feed.notify_waiters()
            await asyncio.sleep(delay_s if revision == first else 0)

    context.act = act


@then("d2 gets a request with revision {revision:d} within {limit_s:g} s")
def step_check_requested(context, revision, limit_s):
    async def wait(feed):
        async with asyncio.timeout(limit_s):
            while await context.peers["d2"].requests.get() != revision:
                pass

    asyncio.run(run_replicator(context, context.act, wait, pulls=False))


@then("d3 and d4 get reports of revision {revision:d} before the push to d2 times out")
def step_check_reports(context, revision):
    async def wait(feed):
        for name in ("d3", "d4"):
            await context.peers[name].wait_for_report(revision)

    assert asyncio.run(run_replicator(context, context.act, wait))


@then("the daemon replaces its connection to {name} and no other")
def step_check_replaced(context, name):
    async def wait(feed):
        assert await context.channels.replaced.get() == f"{name}:1"

    asyncio.run(run_replicator(context, context.act, wait, pulls=False))
    assert context.channels.replaced.empty()


async def run_keyed_call(feed, service):
    members = Members(member("d1"))
    table = KeyTable("d1", members.own.incarnation, 60_000, Metrics())
    keyed_calls = KeyedCalls(members, feed, None, None, table, Metrics())
    (key,) = table.mint(1)
    head = peer_pb2.CallHead(service=service, method="POST", time_left_ms=1000)
    return await keyed_calls.run_or_relay(peer_pb2.KeyedCall(key=str(key), head=head))


@given("a daemon whose settings contain the service {service} and are {age}")
def step_create_feed(context, service, age):
    context.feed = SettingsFeed(Metrics())
    snapshot = settings_pb2.Snapshot(revision=3)
    place = snapshot.places.add(place=f"service:{service}", revision=3)
    place.settings.probe_path = "/healthz"
    assert context.feed.restore(snapshot)
    context.feed.mark_tree_complete()
    if age != "not confirmed":
        context.feed.confirm_at(now_s())
    if age == "older than a peer's ones":
        context.feed.record_peer_revision(4, "d2:1")


@then("a heartbeat of service {service} gets status {status:d}")
def step_check_heartbeat(context, service, status):
    feed = context.feed
    registry = TargetRegistry("d1", Members(member("d1")), Metrics())
    name = f"d1-{feed.lag.wanted_revision}-{feed.confirmation.is_valid()}"
    seen = handle_heartbeat(name, registry, feed, service)
    assert seen == status, seen


@then("a call with an operation key for service {service} is not run: {reason}")
def step_check_keyed_call(context, service, reason):
    reply = asyncio.run(run_keyed_call(context.feed, service))
    seen = peer_pb2.NotRunReason.Name(reply.not_run.reason)
    assert seen == f"NOT_RUN_REASON_{reason.upper()}", reply


@given("a peer address whose connections are not accepted")
def step_fill_backlog(context):
    context.sockets = ExitStack()
    context.add_cleanup(context.sockets.close)
    listener = context.sockets.enter_context(socket.socket())
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    for _ in range(3):
        waiting = context.sockets.enter_context(socket.socket())
        waiting.setblocking(False)
        with suppress(BlockingIOError):
            waiting.connect(listener.getsockname())
    context.peer_address = f"127.0.0.1:{listener.getsockname()[1]}"


@when(
    "settings are requested there over a new connection with {limit_ms:d} ms to connect"
)
def step_request_over_new_connection(context, limit_ms):
    async def request():
        channels = PeerChannels({})
        connecting = channels.transient_peer(context.peer_address, True, limit_ms)
        async with connecting as stub:
            await stub.FetchSettings(peer_pb2.SettingsRequest(), timeout=WAIT_LIMIT_S)

    started_at_s = now_s()
    try:
        asyncio.run(request())
    except grpc.RpcError as error:
        context.failure = error.code()
    context.failed_after_s = now_s() - started_at_s


@then("the request fails, but not before {limit_ms:d} ms have passed")
def step_check_connect_time(context, limit_ms):
    assert context.failure is grpc.StatusCode.UNAVAILABLE, context.failure
    assert context.failed_after_s >= limit_ms / 1000, context.failed_after_s
