import asyncio
import contextlib
import random
import socket
import time
from collections import Counter
from contextlib import suppress

from behave import given, then, when

from laburnumscale.attemptcopies import AttemptCopies, ReplyReader
from laburnumscale.attempttable import AttemptTable
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AttemptSentTwice
from laburnumscale.failurereplies import (
    AttemptRefused,
    refused_reply,
    unknown_reply,
)
from laburnumscale_schema import peer_pb2

MAX_READ_S = 3.0
READ_TIMEOUT_S = 10.0
READ_BYTES = 64 * 1024
FIRST_REPLY_S = 0.2
MAX_REPLY_MS = 2000


@given("an attempt that yields replies until its deadline in {left_ms:d} ms")
def step_create_attempt(context, left_ms):
    async def replies():
        async with asyncio.timeout(left_ms / 1000):
            while True:
                yield peer_pb2.CallReply(body=b"part")

    context.replies = replies


@when("its replies are read only after {pause_ms:d} ms")
def step_read_slowly(context, pause_ms):
    async def read():
        copies = AttemptCopies(
            lambda on_reply: ReplyReader(context.replies(), on_reply)
        )
        first = await copies.read_first(Deadline.after_ms(pause_ms))
        assert first is not None
        await asyncio.sleep(pause_ms / 1000)
        started_at_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(MAX_READ_S):
                async for _ in copies.read_remaining():
                    pass
        except TimeoutError:
            return MAX_READ_S
        finally:
            await copies.close()
        return asyncio.get_running_loop().time() - started_at_s

    context.read_s = asyncio.run(read())


@then("the replies end within {limit_ms:d} ms")
def step_check_end(context, limit_ms):
    assert context.read_s * 1000 <= limit_ms, context.read_s


@when(
    "a caller downloads {size:d} bytes from d1 within {limit_ms:d} ms but reads only "
    "after {pause_ms:d} ms"
)
def step_download_late(context, size, limit_ms, pause_ms):
    address = ("127.0.0.1", context.fleet.daemons["d1"].ports["caller"])
    head = (
        f"GET /proof-vault/download/{size} HTTP/1.1\r\nHost: a\r\n"
        f"X-Request-Timeout-Ms: {limit_ms}\r\n\r\n"
    )
    answer = bytearray()
    started_at_s = time.monotonic()
    with socket.create_connection(address, READ_TIMEOUT_S) as connection:
        connection.sendall(head.encode())
        time.sleep(pause_ms / 1000)
        with contextlib.suppress(OSError):
            while chunk := connection.recv(READ_BYTES):
                answer += chunk
    context.download_s = time.monotonic() - started_at_s
    context.answer = bytes(answer)


@then("it ended within {limit_ms:d} ms")
def step_check_download_end(context, limit_ms):
    assert context.download_s * 1000 <= limit_ms, context.download_s


class _GuardModel:
    """A guard that gets copies of one attempt and queries of its outcome in any order.

    :ivar runs: how often a copy was sent to the target.
    :ivar refutations: queries that said that the attempt did not run.
    """

    def __init__(self, rng):
        self.rng = rng
        self.runs = 0
        self.refutations = 0
        self.incarnation = 1
        self.waiting, self.running = [], []
        self.table = AttemptTable(self.incarnation)

    def head(self):
        attempt_id = peer_pb2.AttemptId(
            entry="d1", entry_incarnation=1, guard_incarnation=1, sequence=7
        )
        return peer_pb2.CallHead(attempt=attempt_id, low_water_sequence=7)

    def copy(self):
        with suppress(AttemptRefused):
            self.waiting.append(self.table.admit(self.head()))

    def send(self):
        if not self.waiting:
            return
        attempt = self.waiting.pop(self.rng.randrange(len(self.waiting)))
        with suppress(AttemptRefused, AttemptSentTwice):
            attempt.mark_sent(Deadline.after_ms(1000))
            self.runs += 1
            self.running.append(attempt)

    def end(self):
        if self.running:
            reply = peer_pb2.CallReply(end=True)
            reply.head.status = 200
            self.table.end(self.running.pop(), reply)

    def query(self):
        verdict = self.table.settle(self.head().attempt).verdict
        self.refutations += verdict == peer_pb2.SETTLE_VERDICT_NOT_RUN

    def restart(self):
        self.incarnation += 1
        self.waiting, self.running = [], []
        self.table = AttemptTable(self.incarnation)


@given(
    "{count:d} random orders of both copies, queries, ends of runs and restarts of "
    "the guard"
)
def step_run_orders(context, count):
    context.guards = []
    for seed in range(count):
        guard = _GuardModel(random.Random(seed))
        events = [guard.copy] * 2 + [guard.send] * 3 + [guard.end] * 2
        events += [guard.query] * guard.rng.randrange(3)
        events += [guard.restart] * guard.rng.randrange(2)
        guard.rng.shuffle(events)
        for event in events:
            event()
        context.guards.append(guard)


@then("no order runs the attempt twice")
def step_check_runs(context):
    runs = Counter(guard.runs for guard in context.guards)
    assert max(runs) == 1, runs
    assert runs[1] > len(context.guards) / 10, runs


@then("no query says that an attempt did not run which ran before or after it")
def step_check_queries(context):
    refuted = [guard for guard in context.guards if guard.refutations]
    assert refuted, "no query said that an attempt did not run"
    assert not any(guard.runs for guard in refuted)


class _Copies:
    """Sends copies of an attempt: a first one, and repeats that are all refused.

    :ivar first_reply: the reply to the first copy, which comes late; None if its
        connection is lost.
    :ivar refusal: the reply to each repeat.
    """

    def __init__(self, first_reply, refusal):
        self.first_reply = first_reply
        self.refusal = refusal
        self.sent = 0

    def send(self, on_reply):
        self.sent += 1
        return ReplyReader(self._reply(self.sent), on_reply)

    async def _reply(self, number):
        if number > 1:
            yield self.refusal
            return
        await asyncio.sleep(FIRST_REPLY_S if self.first_reply else 0)
        if self.first_reply is not None:
            yield self.first_reply


def named_reply(kind, reason):
    if kind == "not_run":
        number = peer_pb2.NotRunReason.Value(f"NOT_RUN_REASON_{reason.upper()}")
        return refused_reply(number)
    number = peer_pb2.UnknownReason.Value(f"UNKNOWN_REASON_{reason.upper()}")
    return unknown_reply(number)


@given("an attempt that its target answers late, and a repeat answered with {reply}")
def step_repeat_late_attempt(context, reply):
    answer = peer_pb2.CallReply(end=True)
    answer.head.status = 200
    context.copies = _Copies(answer, named_reply(*reply.split()))


@given("an attempt whose connection is lost, and a repeat answered with {reply}")
def step_repeat_lost_attempt(context, reply):
    context.copies = _Copies(None, named_reply(*reply.split()))


@then("the outcome of the attempt is {outcome}")
def step_check_outcome(context, outcome):
    async def read():
        copies = AttemptCopies(context.copies.send, is_repeatable=True)
        if context.copies.first_reply is not None:
            copies.repeat()
        first = await copies.read_first(Deadline.after_ms(MAX_REPLY_MS))
        await copies.close()
        if first is None:
            return "refuted" if copies.is_over else "lost"
        return "answered" if first.HasField("head") else "refused"

    seen = asyncio.run(read())
    assert context.copies.sent == 2, context.copies.sent
    assert seen == outcome, seen


class _SentCopies:
    """Copies of an attempt that get no reply.

    :ivar lost_after_s: time after which each copy is lost; None for never.
    """

    def __init__(self, lost_after_s):
        self.lost_after_s = lost_after_s
        self.sent_at_s = []
        self.open = set()
        self.most_open = 0

    def send(self, on_reply):
        self.sent_at_s.append(time.monotonic())
        return ReplyReader(self._reply(len(self.sent_at_s)), on_reply)

    async def _reply(self, number):
        self.open.add(number)
        self.most_open = max(self.most_open, len(self.open))
        try:
            await asyncio.sleep(self.lost_after_s or MAX_REPLY_MS)
        finally:
            self.open.discard(number)
        if self.lost_after_s is None:
            yield


@given("an attempt whose copies are all lost after {lost_ms:d} ms")
def step_lose_copies(context, lost_ms):
    context.sent = _SentCopies(lost_ms / 1000)


@given("an attempt whose copies get no reply")
def step_leave_copies_open(context):
    context.sent = _SentCopies(None)


@when("it is repeated as often as possible for {duration_ms:d} ms")
def step_repeat_often(context, duration_ms):
    async def repeat():
        copies = AttemptCopies(context.sent.send, is_repeatable=True)
        end = Deadline.after_ms(duration_ms)
        while not end.has_passed():
            copies.repeat()
            assert await copies.read_first(Deadline.after_ms(20)) is None
            await asyncio.sleep(0.001)
        context.last_open = set(context.sent.open)
        context.reader_count = len(copies.readers)
        context.ended_at_s = time.monotonic()
        await copies.close()

    asyncio.run(repeat())


@then(
    "between {least:d} and {most:d} copies were sent, one of them in the last "
    "{last_ms:d} ms"
)
def step_check_sent(context, least, most, last_ms):
    sent_at_s = context.sent.sent_at_s
    assert least <= len(sent_at_s) <= most, len(sent_at_s)
    assert (context.ended_at_s - sent_at_s[-1]) * 1000 <= last_ms, sent_at_s


@then("at most {count:d} of its readers are kept")
def step_check_readers(context, count):
    assert context.reader_count <= count, context.reader_count


@then("at most {count:d} copies were open at a time, the first one among them")
def step_check_open(context, count):
    assert context.sent.most_open <= count, context.sent.most_open
    assert 1 in context.last_open, context.last_open
