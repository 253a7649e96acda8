"""Attempt client.

Sends one attempt of a call to a guard. If the reply is lost, the attempt is settled:
the guard is queried for its outcome.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import ExitStack, aclosing, asynccontextmanager, contextmanager
from typing import Any

import attrs
import grpc

from laburnumscale.attemptsequences import AttemptSequences
from laburnumscale.attemptsettler import HOP_MARGIN_MS, AttemptSettler
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import BodyIncomplete
from laburnumscale.failurereplies import refused_reply, unknown_reply
from laburnumscale.guard import Guard
from laburnumscale.guardclocks import GuardClocks
from laburnumscale.logs import get_logger
from laburnumscale.members import EndpointView, Members
from laburnumscale.pathhealth import PathHealth
from laburnumscale_schema import peer_pb2

__all__ = [
    "AttemptClient",
    "AttemptRequest",
    "ReplyReader",
    "race_failover",
    "read_first_reply",
]

CONNECT_TIMEOUT_SHARE = 0.25
PATH_CHECK_INTERVAL_MS = 100  # detecting a broken path takes about 0.5 s
SETTLE_INTERVAL_MS = 100
#: Interval while the attempt runs and the path to its guard works: the reply then
#: arrives by itself.
RUNNING_SETTLE_INTERVAL_MS = 500
SETTLE_TIMEOUT_MS = 300
MAX_QUEUED_REPLIES = 2
SERVER_ERROR = 500
#: Refusals of a copy that its guard did not get, or that names another process of it.
NOT_ADMITTED_REASONS = frozenset(
    {peer_pb2.NOT_RUN_REASON_NOT_CONNECTED, peer_pb2.NOT_RUN_REASON_FENCED}
)

ReplyStream = AsyncIterator[peer_pb2.CallReply]


@attrs.frozen(eq=False)
class AttemptRequest:
    """The content and the deadlines of one attempt.

    :ivar head: head of the call, without the attempt ID and the times.
    :ivar body: the complete body, or a stream that can be sent only once.
    :ivar send_deadline: deadline for the guard to send the request to the target.
    :ivar reply_deadline: deadline for the first reply, after which the entry settles
        the attempt or considers another endpoint.
    :ivar deadline: deadline for the complete answer.
    :ivar settle_if_lost: whether a lost attempt is settled, because the call must not
        run twice.
    :ivar reserve_failover: called from the reply deadline on; reserves an attempt at
        another endpoint, and returns whether to make it.
    :ivar fail_over: makes the reserved attempt, and returns whether it was answered, so
        that its answer replaces that of this attempt.
    :ivar answer_started: returns whether the caller has received a part of the answer.
    """

    head: peer_pb2.CallHead
    body: bytes | AsyncIterator[bytes]
    send_deadline: Deadline
    reply_deadline: Deadline
    deadline: Deadline
    settle_if_lost: bool
    reserve_failover: Callable[[], bool]
    fail_over: Callable[[], Coroutine[Any, Any, bool]]
    answer_started: Callable[[], bool]


class ReplyReader:
    """Reads the replies of one attempt in a background task.

    :ivar connection_lost: whether the stream ended before the first reply; the attempt
        may have been sent to the target.
    :ivar is_silent: whether the connection of the attempt was replaced before the first
        reply, because it delivers nothing any more.
    :ivar has_ended: whether the last reply has arrived, or the stream has ended.
    """

    def __init__(self, replies: ReplyStream) -> None:
        self.connection_lost = False
        self.is_silent = False
        self.has_ended = False
        self._first_reply_timeout: asyncio.Timeout | None = None
        self._queue: asyncio.Queue[peer_pb2.CallReply | None]
        self._queue = asyncio.Queue(MAX_QUEUED_REPLIES)
        self._task = asyncio.create_task(self._read_replies(replies))

    async def read_first(self, deadline: Deadline) -> peer_pb2.CallReply | None:
        """Return the first reply, or None if it is lost or late.

        A wait in progress ends when the connection turns out to be silent.
        """
        if self.connection_lost:
            return None
        try:
            async with asyncio.timeout(deadline.left_s()) as timeout:
                self._first_reply_timeout = timeout
                reply = await self._queue.get()
        except TimeoutError:
            return None
        finally:
            self._first_reply_timeout = None
        self.connection_lost = reply is None
        return reply

    def mark_silent(self) -> None:
        """Record that the connection delivers nothing any more."""
        self.is_silent = True
        timeout = self._first_reply_timeout
        if timeout is not None and not timeout.expired():
            timeout.reschedule(asyncio.get_running_loop().time())

    async def read_remaining(self) -> ReplyStream:
        """Yield the replies after the first one."""
        while (reply := await self._queue.get()) is not None:
            yield reply

    async def close(self) -> None:
        """Cancel the attempt at the guard unless it has ended."""
        self._task.cancel()
        await asyncio.wait({self._task})

    async def _read_replies(self, replies: ReplyStream) -> None:
        try:
            async with aclosing(replies):
                async for reply in replies:
                    self.has_ended = _is_final(reply)
                    await self._queue.put(reply)
        except grpc.RpcError:
            pass
        except Exception as error:
            get_logger().error("reading attempt replies failed", reason=repr(error))
        except asyncio.CancelledError:
            self._cut_short()
            raise
        self.has_ended = True
        await self._queue.put(None)

    def _cut_short(self) -> None:
        """Replace the replies that were not read yet by the end of the stream.

        The timeout of an attempt at this daemon's own guard cancels the task while it
        waits for room in the queue.
        """
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put_nowait(None)


class AttemptClient:
    """Sends the attempts of one entry to guards."""

    def __init__(
        self,
        members: Members,
        guard: Guard,
        channels: PeerChannels,
        settler: AttemptSettler,
        paths: PathHealth,
    ) -> None:
        self._paths = paths
        self._members = members
        self._guard = guard
        self._channels = channels
        self._settler = settler
        self._clocks = GuardClocks()
        own = members.own
        self._sequences = AttemptSequences(own.daemon, own.incarnation)
        self._unanswered: dict[str, set[ReplyReader]] = {}
        paths.on_silence(self._mark_silent)

    @asynccontextmanager
    async def send(
        self, view: EndpointView, request: AttemptRequest
    ) -> AsyncIterator[tuple[peer_pb2.CallReply, ReplyStream]]:
        """Send an attempt and yield its first reply and a stream of the others.

        The attempt is cancelled on exit from the context unless it has ended.
        """
        with self._sequences.allocate_id(view) as attempt_id:
            readers: list[ReplyReader] = []
            try:
                with ExitStack() as unanswered:

                    def start() -> ReplyReader:
                        reader = self._start_attempt(view, request, attempt_id)
                        readers.append(reader)
                        unanswered.enter_context(self._watch_silence(view, reader))
                        return reader

                    first, reader = await read_first_reply(request, start)
                    if first is None and request.settle_if_lost:
                        first = await self._settle_attempt(
                            view, request, attempt_id, reader
                        )
                    elif first is None:
                        first = await self._wait_for_reply(view, request, reader)
                yield first or _missing_reply(reader), reader.read_remaining()
            finally:
                if not any(each.has_ended for each in readers):
                    self._log_given_up(view, request, readers)
                for each in readers:
                    await each.close()

    def _log_given_up(
        self, view: EndpointView, request: AttemptRequest, readers: list[ReplyReader]
    ) -> None:
        """Log that an attempt is given up although its target may be running it."""
        get_logger().info(
            "attempt given up",
            request_id=request.head.request_id,
            endpoint=view.endpoint,
            daemon=view.daemon,
            left_ms=request.deadline.left_ms(),
            reply_left_ms=request.reply_deadline.left_ms(),
            path_broken=self._paths.is_broken(view.peer_address),
            copies=len(readers),
            silent=[each.is_silent for each in readers],
        )

    def _start_attempt(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
    ) -> ReplyReader:
        head = self._build_head(view, request, attempt_id)
        return ReplyReader(self._send_to_guard(view, request, head))

    @contextmanager
    def _watch_silence(self, view: EndpointView, reader: ReplyReader) -> Iterator[None]:
        """Let the reader know if its connection turns out to be silent."""
        readers = self._unanswered.setdefault(view.peer_address, set())
        readers.add(reader)
        try:
            yield
        finally:
            readers.discard(reader)
            if not readers:
                self._unanswered.pop(view.peer_address, None)

    def _mark_silent(self, peer_address: str) -> None:
        for reader in self._unanswered.get(peer_address, ()):
            reader.mark_silent()

    def _build_head(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
    ) -> peer_pb2.CallHead:
        head = peer_pb2.CallHead()
        head.CopyFrom(request.head)
        head.attempt.CopyFrom(attempt_id)
        head.low_water_sequence = self._sequences.low_water(view.daemon)
        head.time_left_ms = max(0, request.deadline.left_ms() - HOP_MARGIN_MS)
        head.send_left_ms = request.send_deadline.left_ms()
        head.guard_time_us = self._clocks.estimate_us(view)
        return head

    async def _wait_for_reply(
        self, view: EndpointView, request: AttemptRequest, reader: ReplyReader
    ) -> peer_pb2.CallReply | None:
        """Wait for the first reply while the guard remains reachable.

        A target that may be processing the request is abandoned only once another one
        has answered.

        :returns: None also if the answer of a failover replaces that of this attempt.
        """
        first = None
        while first is None and not (
            reader.connection_lost or reader.is_silent or request.deadline.has_passed()
        ):
            if request.reserve_failover():
                first, is_replaced = await race_failover(request, reader)
                if is_replaced:
                    return None
                continue
            if self._paths.is_broken(view.peer_address):
                break
            pause = Deadline.after_ms(PATH_CHECK_INTERVAL_MS)
            first = await reader.read_first(_earlier(pause, request.deadline))
        return first

    async def _settle_attempt(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
        reader: ReplyReader,
    ) -> peer_pb2.CallReply:
        """Query the state of an attempt until a guard or a reply states its outcome."""
        is_reachable = True
        while not request.deadline.has_passed():
            query_deadline = _earlier(
                Deadline.after_ms(SETTLE_TIMEOUT_MS), request.deadline
            )
            is_reachable = is_reachable and not self._paths.is_broken(view.peer_address)
            verdict = await self._settler.query_verdict(
                attempt_id, view, query_deadline, use_relays=not is_reachable
            )
            is_reachable = verdict.verdict != peer_pb2.SETTLE_VERDICT_UNREACHABLE
            if verdict.HasField("reply"):
                return verdict.reply
            if verdict.verdict == peer_pb2.SETTLE_VERDICT_GUARD_GONE:
                return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
            started = verdict.verdict == peer_pb2.SETTLE_VERDICT_STARTED
            if started and reader.connection_lost:
                return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
            retry = Deadline.after_ms(SETTLE_INTERVAL_MS)
            may_arrive = is_reachable and not reader.is_silent
            interval_ms = RUNNING_SETTLE_INTERVAL_MS if may_arrive else 0
            pause = max(retry, Deadline.after_ms(interval_ms), key=_at_s)
            first = await reader.read_first(_earlier(pause, request.deadline))
            if first is not None:
                return first
            await asyncio.sleep(_earlier(retry, request.deadline).left_s())
        return unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE)

    async def _send_to_guard(
        self, view: EndpointView, request: AttemptRequest, head: peer_pb2.CallHead
    ) -> ReplyStream:
        if view.daemon == self._members.own.daemon:
            async with aclosing(self._guard.run_attempt(head, request.body)) as replies:
                async for reply in replies:
                    yield reply
            return
        connect_ms = request.reply_deadline.left_ms() * CONNECT_TIMEOUT_SHARE
        connect_deadline = Deadline.after_ms(connect_ms)
        if not await self._channels.connect(view.peer_address, connect_deadline):
            yield refused_reply(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED)
            return
        stub = self._channels.guard(view.peer_address)
        timeout_s = request.deadline.left_s()
        if isinstance(request.body, bytes):
            message = peer_pb2.CallRequest(head=head, body=request.body, end=True)
            stream = stub.Call(message, timeout=timeout_s)
        else:
            stream = stub.Upload(
                _upload_messages(head, request.body), timeout=timeout_s
            )
        try:
            async for reply in stream:
                self._clocks.record_sample(view, reply.guard_time_us)
                yield reply
        finally:
            stream.cancel()


async def race_failover(
    request: AttemptRequest, reader: ReplyReader
) -> tuple[peer_pb2.CallReply | None, bool]:
    """Fail over to another endpoint while the reply may still arrive.

    :returns: the reply if one has arrived, and whether the failover was answered first.
    """
    reading = asyncio.create_task(reader.read_first(request.deadline))
    failing_over = asyncio.create_task(request.fail_over())
    tasks = {reading, failing_over}
    try:
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        reply = reading.result() if reading.done() else None
        is_decided = failing_over.done() or request.answer_started()
        if _is_success(reply) and not is_decided:
            return reply, False
        is_replaced = await failing_over
        return (reading.result() if reading.done() else None), is_replaced
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks)


def _is_final(reply: peer_pb2.CallReply) -> bool:
    """Return whether no reply follows this one."""
    return reply.end or reply.HasField("not_run") or reply.HasField("unknown")


def _is_success(reply: peer_pb2.CallReply | None) -> bool:
    has_answer = reply is not None and reply.HasField("head")
    return has_answer and reply.head.status < SERVER_ERROR


def _earlier(one: Deadline, other: Deadline) -> Deadline:
    return min(one, other, key=_at_s)


def _at_s(deadline: Deadline) -> float:
    return deadline.at_s


def _can_repeat(request: AttemptRequest) -> bool:
    """Return whether an attempt can be sent again under the same ID."""
    is_late = request.reply_deadline.has_passed()
    return isinstance(request.body, bytes) and not is_late


async def read_first_reply(
    request: AttemptRequest, start: Callable[[], ReplyReader]
) -> tuple[peer_pb2.CallReply | None, ReplyReader]:
    """Return the first reply of an attempt, or None, and the reader of the attempt.

    While its connection turns out to be silent, the attempt is sent again. The guard
    runs the copy that arrives first and refuses the others. If it refuses the last one,
    or did not get it, an earlier one may have run: only the guard can tell the outcome
    of a call that must not run twice; any other call can be retried.

    :param start: sends the attempt under its ID.
    """
    reader = start()
    first = await reader.read_first(request.reply_deadline)
    while first is None and reader.is_silent and _can_repeat(request):
        previous, reader = reader, start()
        first = await reader.read_first(request.reply_deadline)
        if first is None or _covers_all_copies(first):
            continue
        if request.settle_if_lost:
            return None, previous
        return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST), previous
    return first, reader


def _covers_all_copies(reply: peer_pb2.CallReply) -> bool:
    """Return whether the reply to one copy of an attempt is the outcome of all of them.

    It is if the guard has admitted this copy.
    """
    if reply.HasField("not_run"):
        return reply.not_run.reason not in NOT_ADMITTED_REASONS
    return reply.unknown.reason != peer_pb2.UNKNOWN_REASON_FENCED


def _missing_reply(reader: ReplyReader) -> peer_pb2.CallReply:
    if reader.connection_lost:
        return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
    return unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE)


async def _upload_messages(
    head: peer_pb2.CallHead, body: AsyncIterator[bytes]
) -> AsyncIterator[peer_pb2.CallRequest]:
    yield peer_pb2.CallRequest(head=head)
    try:
        async for chunk in body:
            yield peer_pb2.CallRequest(body=chunk)
    except BodyIncomplete:
        return  # the guard detects the missing end message
    yield peer_pb2.CallRequest(end=True)
