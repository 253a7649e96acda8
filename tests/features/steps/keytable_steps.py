import asyncio

import grpc
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
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
