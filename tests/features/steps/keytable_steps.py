import asyncio

import grpc
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import not_run_reply
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.peers import serve_peers
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

LIFE_MS = 60_000
FINGERPRINT = b"hold"
SUCCESSOR = peer_pb2.KeyHolder(daemon="d3", incarnation=1)
HAND_OVER_TIMEOUT_S = 5.0
ANSWERED = peer_pb2.CallReply(head=peer_pb2.ReplyHead(status=200), end=True)
REPEATED = peer_pb2.CallReply(head=peer_pb2.ReplyHead(status=201), end=True)
NOT_RUN = not_run_reply(peer_pb2.NOT_RUN_REASON_OVERLOADED)


def new_table(daemon="d1"):
    return KeyTable(daemon, 1, LIFE_MS, Metrics())


def start_operation(table, call_ms):
    """Start an operation with a new key."""

    async def call():
        await asyncio.sleep(call_ms / 1000)
        return peer_pb2.CallReply(head=peer_pb2.ReplyHead(status=200), end=True)

    [key] = table.mint(1)
    deadline = Deadline.after_ms(LIFE_MS)
    return asyncio.create_task(table.run(key, FINGERPRINT, deadline, call))


@given("a key table with an operation that takes {call_ms:d} ms")
def step_create_table(context, call_ms):
    context.key_table = new_table()
    context.call_ms = call_ms


@when(
    "a drain waits for its operations and another operation of {call_ms:d} ms begins "
    "after {pause_ms:d} ms"
)
def step_begin_during_wait(context, call_ms, pause_ms):
    async def drain():
        first = start_operation(context.key_table, context.call_ms)
        await asyncio.sleep(0)
        waiting = asyncio.create_task(
            context.key_table.wait_for_operations(Deadline.after_ms(LIFE_MS))
        )
        await asyncio.sleep(pause_ms / 1000)
        second = start_operation(context.key_table, call_ms)
        await waiting
        context.exported = context.key_table.export_tables(SUCCESSOR)
        replies = await asyncio.gather(first, second)
        assert all(reply.head.status == 200 for reply in replies), replies

    asyncio.run(drain())


@when("a drain waits for its operations for {wait_ms:d} ms")
def step_wait_in_vain(context, wait_ms):
    async def drain():
        operation = start_operation(context.key_table, context.call_ms)
        await asyncio.sleep(0)
        await context.key_table.wait_for_operations(Deadline.after_ms(wait_ms))
        context.exported = context.key_table.export_tables(SUCCESSOR)
        operation.cancel()

    asyncio.run(drain())


@then("the exported keys have the outcomes of {count:d} operations")
def step_check_outcomes(context, count):
    replies = [record.reply for table in context.exported for record in table.records]
    assert replies
    assert sum(reply.head.status == 200 for reply in replies) == count, replies


@given("a daemon that has handed its keys over")
def step_create_exported(context):
    context.key_table = new_table()
    context.key_table.export_tables(SUCCESSOR)


@given("a daemon that has not handed its keys over yet")
def step_create_holder(context):
    context.key_table = new_table()


@when("a draining daemon hands its keys over to it")
def step_hand_over(context):
    draining = new_table("d2")
    message = peer_pb2.KeyHandOver(
        tables=draining.export_tables(peer_pb2.KeyHolder(daemon="d1", incarnation=1))
    )
    own = peer_pb2.Member(daemon="d1", incarnation=1)
    members = Members(own)
    metrics = Metrics()
    keyed_calls = KeyedCalls(members, None, None, None, context.key_table, metrics)
    address = Address("127.0.0.1", context.fleet.free_port())

    async def hand_over():
        serving = serve_peers(address, None, None, members, None, None, keyed_calls)
        async with serving, grpc.aio.insecure_channel(str(address)) as channel:
            stub = peer_pb2_grpc.OperationKeysStub(channel)
            try:
                await stub.HandOver(message, timeout=HAND_OVER_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                return error.code()
        return grpc.StatusCode.OK

    context.code = asyncio.run(hand_over())


@then("the hand-over is refused")
def step_check_refused(context):
    assert context.code is grpc.StatusCode.FAILED_PRECONDITION, context.code


@then("its keys are among those that are handed over next")
def step_check_passed_on(context):
    assert context.code is grpc.StatusCode.OK, context.code
    exported = context.key_table.export_tables(SUCCESSOR)
    assert {table.home.daemon for table in exported} == {"d1", "d2"}, exported


@given(
    "a draining daemon with an operation that takes {call_ms:d} ms, and its successor"
)
def step_create_draining(context, call_ms):
    context.call_ms = call_ms
    context.draining_table, context.key_table = new_table("d2"), new_table("d1")


@when(
    "the keys are handed over after {wait_ms:d} ms and the operation ends as {outcome}"
)
def step_hand_over_during_operation(context, wait_ms, outcome):
    address = Address("127.0.0.1", context.fleet.free_port())
    successor = peer_pb2.Member(
        daemon="d1",
        incarnation=1,
        version=1,
        peer_address=str(address),
        state=peer_pb2.MEMBER_STATE_ALIVE,
    )
    members = Members(peer_pb2.Member(daemon="d2", incarnation=1))
    members.merge(successor)
    table = context.draining_table
    [key] = table.mint(1)

    async def operation():
        await asyncio.sleep(context.call_ms / 1000)
        return ANSWERED if outcome == "answered" else NOT_RUN

    async def repeat():
        return REPEATED

    async def drain(channels):
        draining = KeyedCalls(members, None, None, channels, table, Metrics())
        deadline = Deadline.after_ms(LIFE_MS)
        running = asyncio.create_task(table.run(key, FINGERPRINT, deadline, operation))
        await asyncio.sleep(0)
        assert await draining.hand_over(Deadline.after_ms(wait_ms))
        context.first = await running
        context.second = await context.key_table.run(key, FINGERPRINT, deadline, repeat)

    async def run():
        own = Members(successor)
        keyed_calls = KeyedCalls(own, None, None, None, context.key_table, Metrics())
        channels = PeerChannels({})
        async with serve_peers(address, None, None, own, None, None, keyed_calls):
            await drain(channels)
            await channels.close()

    asyncio.run(run())


@then("a repeat at the successor gets the same answer as the caller")
def step_check_same_answer(context):
    assert context.first == ANSWERED, context.first
    assert context.second == ANSWERED, context.second


@then("a repeat at the successor runs the operation")
def step_check_runs(context):
    assert context.first == NOT_RUN, context.first
    assert context.second == REPEATED, context.second


@when("the late outcome of an operation of another daemon arrives at it")
def step_late_outcome(context):
    home = peer_pb2.KeyHolder(daemon="d2", incarnation=1)
    [key] = new_table("d2").mint(1)
    record = peer_pb2.KeyRecord(key=str(key), fingerprint=FINGERPRINT, reply=ANSWERED)
    table = peer_pb2.KeyTable(home=home, records=[record])
    members = Members(peer_pb2.Member(daemon="d1", incarnation=1))
    keyed_calls = KeyedCalls(members, None, None, None, context.key_table, Metrics())
    keyed_calls.accept_hand_over(peer_pb2.KeyHandOver(late_outcomes=[table]))
    context.key_homes = members.own.key_homes


@then("it does not hold the keys of the other daemon")
def step_check_not_held(context):
    assert not context.key_table.holds_keys_of(("d2", 1))
    assert not context.key_homes, context.key_homes
