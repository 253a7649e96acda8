import asyncio
import uuid
from types import SimpleNamespace

from behave import given, then, when
from multidict import CIMultiDict

from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.memberentries import ALIVE
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2, settings_pb2
from tests.features.steps.platform_steps import CLIENT_TIMEOUT_MS, HOST
from tests.standins.fleet import request

ATTEMPTS = 7
CALLER_SERVICE = "proof-vault"


def new_members(name, port):
    own = peer_pb2.Member(
        daemon=name,
        incarnation=1,
        version=1,
        peer_address=f"127.0.0.1:{port}",
        state=ALIVE,
    )
    return Members(own)


class Runner:
    """A call runner that keeps the calls and answers each.

    The result of a call that was not run is not kept, so its second copy would be run.
    """

    caller_service = "slot-desk"

    def __init__(self):
        self.calls = []

    async def run(self, call):
        self.calls.append(call)
        return Answered(200), SimpleNamespace(status=200, headers={}, body=b"")


def new_feed():
    feed = SettingsFeed(Metrics())
    snapshot = settings_pb2.Snapshot(revision=3)
    place = snapshot.places.add(place="service:slot-desk", revision=3)
    place.settings.probe_path = "/healthz"
    feed.restore(snapshot)
    feed.mark_tree_complete()
    feed.confirm_at(now_s())
    return feed


@given("a daemon that holds an operation key")
def step_create_holder(context):
    context.members = new_members("d1", 1)
    table = KeyTable("d1", 1, 60_000, Metrics())
    context.runner = Runner()
    context.holder = KeyedCalls(
        context.members, new_feed(), context.runner, None, table, Metrics()
    )
    (context.key,) = table.mint(1)


def run_message(context, message):
    received = peer_pb2.KeyedCall.FromString(message.SerializeToString())
    return asyncio.run(context.holder.run_or_relay(received))


@when(
    "a call by {method} with the key comes from a route that is {kind}, with "
    "{attempts:d} attempts"
)
def step_run_message(context, method, kind, attempts):
    head = peer_pb2.CallHead(
        service="slot-desk",
        method=method,
        path_and_query="/hold/1",
        idempotent=kind == "idempotent",
        time_left_ms=1000,
        priority=2,
    )
    message = peer_pb2.KeyedCall(
        key=str(context.key),
        head=head,
        attempt_limit=attempts,
        route="desk.example/hold/",
        caller_service=CALLER_SERVICE,
    )
    run_message(context, message)


class Channels:
    """Channels whose messages reach the holder, directly or by relay.

    :ivar is_cut: no message reaches the holder directly.
    """

    def __init__(self, context, is_cut):
        self.context = context
        self.is_cut = is_cut

    def operation_keys(self, address):
        return SimpleNamespace(Run=lambda message, timeout: self.run(address, message))

    async def run(self, address, message):
        received = peer_pb2.KeyedCall.FromString(message.SerializeToString())
        if address == "127.0.0.1:3":
            return await self.context.relay.run_or_relay(received)
        if self.is_cut and not self.context.is_relaying:
            self.context.is_relaying = True
            await asyncio.sleep(1)
        return await self.context.holder.run_or_relay(received)


@when("another daemon sends it a call by GET that is {kind}, {way}")
def step_send_call(context, kind, way):
    context.is_relaying = False
    channels = Channels(context, way == "by relay")
    tables = [new_members("d2", 2), new_members("d3", 3)]
    for members in tables:
        members.merge(context.members.own)
    tables[0].merge(tables[1].own)
    entry, context.relay = (
        KeyedCalls(
            members,
            new_feed(),
            Runner(),
            channels,
            KeyTable(members.own.daemon, 1, 60_000, Metrics()),
            Metrics(),
        )
        for members in tables
    )
    call = Call(
        request=SimpleNamespace(method="GET", headers=CIMultiDict()),
        request_id="r1",
        service="slot-desk",
        path_and_query="/hold/1",
        settings=EffectiveSettings(attempt_limit=ATTEMPTS),
        idempotent=kind == "idempotent",
        deadline=Deadline.after_ms(2000),
        body=b"",
        route="desk.example/hold/",
        priority=2,
        caller_service=CALLER_SERVICE,
    )
    asyncio.run(entry.run_at_holder(call, str(context.key)))


@then(
    "it is run as {kind}, with at most {attempts:d} attempts and for the caller "
    "service of its entry"
)
def step_check_run(context, kind, attempts):
    (call,) = context.runner.calls
    assert call.idempotent == (kind == "idempotent"), call
    assert call.settings.attempt_limit == attempts, call.settings
    assert call.caller_service == CALLER_SERVICE, call.caller_service
    assert (call.route, call.priority) == ("desk.example/hold/", 2), call


def send_with_key(context, method, path, daemon, key):
    context.attempt_id = uuid.uuid4().hex[:16]
    headers = {
        "Host": HOST,
        "X-Attempt-Id": context.attempt_id,
        "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS),
        "Idempotency-Key": key,
    }
    context.client_response = context.fleet.daemons[daemon].call(
        path, method, b"{}", headers
    )


@when("a key minted by {minter} is sent with {method} {path} to {daemon}")
def step_send_minted(context, method, path, daemon, minter):
    url = f"{context.fleet.daemons[minter].callers}/_laburnumscale/v1/operation-keys"
    (key,) = request("POST", url + "?count=1").json()["keys"]
    send_with_key(context, method, path, daemon, key)


@when("the key {key} is sent with {method} {path} to {daemon}")
def step_send_foreign(context, method, path, daemon, key):
    send_with_key(context, method, path, daemon, key)
