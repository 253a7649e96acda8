import asyncio
from contextlib import aclosing, asynccontextmanager, suppress
from types import SimpleNamespace

import grpc
from behave import given, then, when

from laburnumscale.attemptclient import AttemptClient, AttemptRequest
from laburnumscale.attemptcopies import AttemptCopies, ReplyReader
from laburnumscale.attemptender import AttemptEnder
from laburnumscale.attempttable import AttemptTable
from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused, refused_reply
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.metrics import Metrics
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2
from tests.standins.modelguard import (
    ENTRY_INCARNATION,
    GUARD_INCARNATION,
    SEQUENCE,
    ModelGuard,
    answer_message,
    attempt_head,
    download,
)

WAIT_S = 2.0
TICK_S = 0.02


class _Paths:
    def __init__(self):
        self.checks = 0

    def on_silence(self, listener):
        pass

    def is_broken(self, address):
        return False

    def start_check(self, address):
        self.checks += 1

    def watch_deliveries(self, address):
        return lambda: None

    def recheck(self, address):
        self.checks += 1

    def schedule_check(self, address):
        self.checks += 1
        return asyncio.get_running_loop().call_later(0, lambda: None)


class _Channels:
    def __init__(self, messages):
        self.messages = messages

    async def connect(self, address, deadline):
        return True

    def guard(self, address):
        return self

    def Call(self, message, timeout):  # noqa: N802
        return self.messages()

    async def End(self, message, timeout):  # noqa: N802, ASYNC109
        return peer_pb2.EndReply()


class _Stream:
    def __init__(self, messages):
        self._messages = messages

    def __aiter__(self):
        return self._messages

    def cancel(self):
        pass


def build_client(messages):
    members = SimpleNamespace(
        own=peer_pb2.Member(daemon="d1", incarnation=ENTRY_INCARNATION)
    )
    paths = _Paths()
    channels = _Channels(lambda: _Stream(messages()))
    return AttemptClient(members, None, channels, None, paths), paths


def attempt_request(reserve_failover, fail_over, limit_ms=WAIT_S * 1000):
    return AttemptRequest(
        head=peer_pb2.CallHead(),
        body=b"",
        send_deadline=Deadline.after_ms(limit_ms),
        reply_deadline=Deadline.after_ms(10),
        deadline=Deadline.after_ms(limit_ms),
        settle_if_lost=False,
        reserve_failover=reserve_failover,
        fail_over=fail_over,
        answer_started=lambda: False,
    )


def guard_view():
    return SimpleNamespace(
        endpoint="i-1",
        daemon="d2",
        incarnation=GUARD_INCARNATION,
        peer_address="127.0.0.1:1",
    )


@given("an attempt without a reply that a failover replaces")
def step_failover(context):
    pass


@when("a streamed reply with status {status:d} arrives before the failover is answered")
def step_late_streamed_reply(context, status):
    async def messages():
        await asyncio.sleep(3 * TICK_S)
        yield answer_message(status)
        await asyncio.sleep(WAIT_S)

    async def fail_over():
        await asyncio.sleep(6 * TICK_S)
        return True

    async def run():
        client, _ = build_client(messages)
        request = attempt_request(lambda: True, fail_over)
        async with client.send(guard_view(), request) as (first, _):
            return first

    context.first = asyncio.run(run())


@then("the attempt does not deliver that reply to the caller")
def step_check_not_delivered(context):
    assert not context.first.HasField("head"), context.first


@given("a run whose answer of 2 messages is on its way over a slow connection")
def step_slow_answer(context):
    context.messages = download(2)


@when("a repeat arrives after the end of the run")
def step_repeat_after_end(context):
    async def run():
        guard = ModelGuard(context.messages)

        async def slow():
            stream = guard.serve_attempt(attempt_head(), b"")
            messages = [each async for each in stream]
            await asyncio.sleep(10 * TICK_S)
            for message in messages:
                yield message

        async def fast():
            async with aclosing(guard.serve_attempt(attempt_head(), b"")) as stream:
                async for message in stream:
                    yield message

        streams = iter((slow, fast))
        copies = AttemptCopies(
            lambda on_reply: ReplyReader(next(streams)(), on_reply), is_repeatable=True
        )
        asyncio.get_running_loop().call_later(2 * TICK_S, copies.repeat)
        first = await copies.read_first(Deadline.after_ms(WAIT_S * 1000))
        await copies.close()
        return first

    context.first = asyncio.run(run())


@then("the caller gets the answer of the target")
def step_check_answer(context):
    assert context.first is not None
    assert context.first.HasField("head"), context.first


@given("a run with {count:d} replies whose newest stream is on a silent connection")
def step_silent_newest(context, count):
    context.messages = download(count)


@when("the caller reads the replies over the former connection")
def step_read_former(context):
    async def run():
        guard = ModelGuard(context.messages, work_s=TICK_S)
        former = guard.serve_attempt(attempt_head(), b"")
        reading = asyncio.create_task(anext(former))
        await guard.started.wait()
        newest = guard.serve_attempt(attempt_head(), b"")
        # The first reply is written to the silent connection; nothing is taken after.
        await anext(newest)
        taken = 0
        with suppress(TimeoutError):
            async with asyncio.timeout(WAIT_S):
                await reading
                taken = 1
                async for _ in former:
                    taken += 1
        await newest.aclose()
        await former.aclose()
        return taken

    context.taken = asyncio.run(run())


@then("the caller gets all {count:d} messages")
def step_check_messages(context, count):
    assert context.taken == count, context.taken


@given("a run of an entry that has made {count:d} attempts since")
def step_many_attempts(context, count):
    context.count = count


@when("the entry ends the attempt")
def step_end_attempt(context):
    async def run():
        guard = ModelGuard(work_s=WAIT_S)
        stream = guard.serve_attempt(attempt_head(), b"")
        reading = asyncio.create_task(anext(stream))
        await guard.started.wait()
        for number in range(context.count):
            head = attempt_head(SEQUENCE + 1 + number)
            head.low_water_sequence = SEQUENCE
            guard.attempts.end(guard.attempts.admit(head), None)
        guard.attempts.cancel(attempt_head().attempt)
        context.has_ended = await guard.in_flight.wait_until_idle(
            Deadline.after_ms(500)
        )
        reading.cancel()
        await asyncio.wait({reading})

    asyncio.run(run())


@then("the run is ended")
def step_check_run_ended(context):
    assert context.has_ended


@given("an attempt of a new process of an entry that waits for a slot")
def step_waiting_attempt(context):
    context.attempt_table = AttemptTable(GUARD_INCARNATION)
    context.attempt = context.attempt_table.admit(attempt_head())


@when("the end of the attempt with its number of the former process arrives")
def step_former_end(context):
    former = attempt_head(entry_incarnation=ENTRY_INCARNATION - 1)
    context.attempt_table.cancel(former.attempt)


@then("the waiting attempt can be sent")
def step_check_can_be_sent(context):
    try:
        context.attempt.mark_sent(Deadline.after_ms(1000))
    except AttemptRefused as refusal:
        raise AssertionError(refusal.reply) from None


@given("an attempt that is ended in the moment in which it arrives")
def step_end_at_arrival(context):
    async def run():
        guard = ModelGuard(work_s=WAIT_S)

        async def read():
            return [each async for each in guard.serve_attempt(attempt_head(), b"")]

        async def end():
            guard.attempts.cancel(attempt_head().attempt)

        reading = asyncio.create_task(read())
        await asyncio.create_task(end())
        done, _ = await asyncio.wait({reading}, timeout=0.5)
        context.has_stream_ended = bool(done)
        repeat = asyncio.create_task(read())
        done, _ = await asyncio.wait({repeat}, timeout=0.5)
        context.repeat_replies = repeat.result() if done else None
        for task in (reading, repeat):
            task.cancel()
        await asyncio.wait({reading, repeat})

    asyncio.run(run())


@then("its stream ends")
def step_check_stream_ended(context):
    assert context.has_stream_ended


@then("a repeat of it gets a reply")
def step_check_repeat(context):
    assert context.repeat_replies, context.repeat_replies


@given("a run without a stream of a process that the members do not know yet")
def step_unknown_process(context):
    class Members:
        def get(self, daemon):
            return peer_pb2.Member(
                daemon=daemon,
                incarnation=ENTRY_INCARNATION - 1,
                state=peer_pb2.MEMBER_STATE_ALIVE,
            )

    async def run():
        guard = ModelGuard(work_s=10)
        watching = asyncio.create_task(guard.runs.watch_orphans(Members()))
        stream = guard.serve_attempt(attempt_head(), b"")
        reading = asyncio.create_task(anext(stream))
        await guard.started.wait()
        reading.cancel()
        await asyncio.wait({reading})
        context.was_ended = await guard.in_flight.wait_until_idle(
            Deadline.after_ms(2500)
        )
        watching.cancel()

    asyncio.run(run())


@then("the run is not ended as an orphan")
def step_check_no_orphan(context):
    assert not context.was_ended


@given("an attempt that its guard refused as overloaded")
def step_refused_attempt(context):
    context.refusal = refused_reply(peer_pb2.NOT_RUN_REASON_OVERLOADED)


@when("its repeat arrives")
def step_repeat_refused(context):
    async def run():
        guard = ModelGuard([context.refusal])
        for _ in range(2):
            stream = guard.serve_attempt(attempt_head(), b"")
            context.replies = [each async for each in stream]
            await asyncio.sleep(TICK_S)

    asyncio.run(run())


@then("the repeat is refused as overloaded")
def step_check_refusal(context):
    reasons = [each.not_run.reason for each in context.replies]
    assert reasons == [peer_pb2.NOT_RUN_REASON_OVERLOADED], context.replies


@given("an attempt that is waited for beyond its reply deadline")
def step_wait_long(context):
    async def messages():
        await asyncio.sleep(WAIT_S)
        yield answer_message(end=True)

    async def fail_over():
        return False

    async def run():
        client, paths = build_client(messages)
        request = attempt_request(lambda: False, fail_over, 1000)
        async with client.send(guard_view(), request):
            pass
        context.checks = paths.checks

    asyncio.run(run())


@then("its path is checked meanwhile")
def step_check_path_checks(context):
    assert context.checks, context.checks


@given("a keyed call whose channel to the holder is closed after its grace time")
def step_keyed_call(context):
    class Channels:
        sent = 0

        def operation_keys(self, address):
            return self

        async def Run(self, message, timeout):  # noqa: N802, ASYNC109
            self.sent += 1
            if self.sent == 1:
                await asyncio.sleep(TICK_S)
                # As grpc.aio does for the calls of a channel that is closed.
                raise asyncio.CancelledError
            return answer_message(end=True)

    holder = peer_pb2.Member(daemon="d2", peer_address="127.0.0.1:1", incarnation=1)
    members = SimpleNamespace(
        own=peer_pb2.Member(daemon="d1"), peers=lambda: [holder], get=lambda _: holder
    )
    keyed = object.__new__(KeyedCalls)
    keyed._channels, keyed._members, keyed._metrics = Channels(), members, Metrics()
    request = SimpleNamespace(method="POST", headers={})
    keyed._account_fields = frozenset()
    call = Call(
        request=request,
        request_id="r",
        service="s",
        path_and_query="/",
        settings=EffectiveSettings(),
        idempotent=False,
        body=b"",
        deadline=Deadline.after_ms(WAIT_S * 1000),
    )

    async def run():
        replies = []
        for _ in range(2):
            replies.append(await keyed._call_holder(holder, "key", call))
        return replies

    async def outer():
        task = asyncio.create_task(run())
        await asyncio.wait({task})
        context.replies = None if task.cancelled() else task.result()

    asyncio.run(outer())


@then("it is sent again and answered")
def step_check_keyed(context):
    assert context.replies is not None, "the call was cancelled"
    assert any(reply is not None for reply in context.replies)


@given("an attempt whose connection is lost during a failover that is not answered")
def step_lost_in_failover(context):
    sent = []

    async def messages():
        sent.append(None)
        await asyncio.sleep(3 * TICK_S)
        if len(sent) > 1:
            yield answer_message(end=True)

    async def fail_over():
        await asyncio.sleep(WAIT_S)
        return False

    async def run():
        client, _ = build_client(messages)
        connected = iter((True, False))

        async def connect(address, deadline):
            return next(connected, True)

        client._channels.connect = connect
        # The path works again 200 ms after the loss.
        loop = asyncio.get_running_loop()
        address = guard_view().peer_address
        loop.call_later(10 * TICK_S, client._repeat_unanswered, address)
        request = attempt_request(lambda: True, fail_over)
        async with client.send(guard_view(), request) as (first, _):
            return first

    context.first = asyncio.run(run())


class _UnreachableChannels:
    """Channels to a guard that does not reply before a deadline.

    :ivar told: the sequence numbers that it was told of.
    """

    def __init__(self, back):
        self.back = back
        self.told = []

    def guard(self, address):
        return self

    @asynccontextmanager
    async def transient_guard(self, address, connect_timeout_ms):
        yield self

    async def End(self, message, timeout):  # noqa: N802, ASYNC109
        if not self.back.has_passed():
            await asyncio.sleep(timeout)
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.DEADLINE_EXCEEDED,
                grpc.aio.Metadata(),
                grpc.aio.Metadata(),
            )
        self.told += [each.sequence for each in message.attempts]


@given("a guard that responds again {pause_ms:d} ms after the end of an attempt")
def step_unreachable_guard(context, pause_ms):
    context.pause_ms = pause_ms


async def end_at_unreachable_guard(pause_ms):
    channels = _UnreachableChannels(Deadline.after_ms(pause_ms))
    ender = AttemptEnder(channels, _Paths())
    deadline = Deadline.after_ms(4 * pause_ms)
    ender.end("127.0.0.1:1", attempt_head().attempt, deadline)
    await asyncio.sleep(pause_ms / 1000)
    return channels, ender


@then("it is told of the end")
def step_check_told(context):
    async def run():
        channels, _ = await end_at_unreachable_guard(context.pause_ms)
        await asyncio.sleep(1)
        return channels.told

    assert asyncio.run(run()) == [SEQUENCE]


@when("another attempt ends {pause_ms:d} ms after that")
def step_end_another(context, pause_ms):
    context.other_pause_ms = pause_ms


@then("it is told of both within {limit_ms:d} ms")
def step_check_told_of_both(context, limit_ms):
    async def run():
        channels, ender = await end_at_unreachable_guard(context.pause_ms)
        await asyncio.sleep(context.other_pause_ms / 1000)
        deadline = Deadline.after_ms(WAIT_S * 1000)
        ender.end("127.0.0.1:1", attempt_head(SEQUENCE + 1).attempt, deadline)
        await asyncio.sleep(limit_ms / 1000)
        return channels.told

    assert sorted(asyncio.run(run())) == [SEQUENCE, SEQUENCE + 1]


@given("a hold that was answered, and {count:d} lookups since with answers of 8 kB")
def step_answered_hold(context, count):
    async def run():
        guard = ModelGuard([answer_message(end=True, body=bytes(8 * 1024))])
        for number in range(count + 1):
            head = attempt_head(SEQUENCE + number)
            head.low_water_sequence = SEQUENCE
            head.idempotent = number > 0
            async with aclosing(guard.serve_attempt(head, b"")) as replies:
                async for _ in replies:
                    pass
        return guard

    context.guard = asyncio.run(run())


@when("the outcome of the hold is queried")
def step_query_hold(context):
    context.settled = context.guard.attempts.settle(attempt_head().attempt)


@then("the guard still has its answer")
def step_check_settled(context):
    assert context.settled.HasField("reply"), context.settled


@given("{call} that is answered in 2 small messages over a connection that is lost")
def step_small_messages(context, call):
    context.head = attempt_head()
    context.head.idempotent = call == "a lookup"
    end = peer_pb2.CallReply(body=b" and end", end=True)
    context.messages = [answer_message(), end]


@when("its repeat arrives, and its outcome is queried")
def step_repeat_and_query(context):
    async def run():
        guard = ModelGuard(context.messages, work_s=TICK_S)
        reading = asyncio.create_task(
            anext(guard.serve_attempt(context.head, b""), None)
        )
        await guard.started.wait()
        reading.cancel()
        await asyncio.wait({reading})
        # A stream over a connection that delivers nothing takes both messages.
        async for _ in guard.serve_attempt(context.head, b""):
            pass
        await asyncio.sleep(TICK_S)
        repeat = [each async for each in guard.serve_attempt(context.head, b"")]
        return repeat, guard.attempts.settle(context.head.attempt)

    context.repeat_replies, context.settled = asyncio.run(run())


@then("both get the whole answer of the target")
def step_check_whole_answer(context):
    (repeated,) = context.repeat_replies
    for reply in (repeated, context.settled.reply):
        assert reply.HasField("head"), reply
        assert reply.end
        assert reply.body == b"part and end", reply.body


@given("a run at a draining guard whose connection is lost")
def step_drain_with_lost_connection(context):
    async def drain():
        guard = ModelGuard([answer_message(end=True)], work_s=TICK_S)
        stream = guard.serve_attempt(attempt_head(), b"")
        reading = asyncio.create_task(anext(stream, None))
        await guard.started.wait()
        limit = Deadline.after_ms(2 * WAIT_S * 1000)
        draining = asyncio.create_task(guard.wait_until_idle(limit))
        reading.cancel()
        await asyncio.wait({reading})
        await guard.in_flight.wait_until_idle(limit)
        return guard, draining

    context.drain = drain


@when("its entry repeats the attempt {pause_ms:d} ms after the end of the run")
def step_repeat_in_drain(context, pause_ms):
    context.repeat_pause_s = pause_ms / 1000


@when("its entry does not repeat the attempt")
def step_no_repeat_in_drain(context):
    context.repeat_pause_s = None


@then("the guard exits within {limit_ms:d} ms after that")
@then(
    "the repeat gets the answer, and the guard exits within {limit_ms:d} ms after that"
)
def step_check_exit(context, limit_ms):
    async def run():
        guard, draining = await context.drain()
        if context.repeat_pause_s is not None:
            await asyncio.sleep(context.repeat_pause_s)
            assert not draining.done(), "the guard has exited before the repeat"
            stream = guard.serve_attempt(attempt_head(), b"")
            replies = [each async for each in stream]
            assert [each.HasField("head") for each in replies] == [True], replies
        done, _ = await asyncio.wait({draining}, timeout=limit_ms / 1000)
        draining.cancel()
        return bool(done)

    assert asyncio.run(run())
