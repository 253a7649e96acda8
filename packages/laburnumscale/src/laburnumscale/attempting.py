"""Attempting.

Makes one attempt of a call at one endpoint, and settles it if its reply is lost.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager

import attrs
import grpc

from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import BodyBroken
from laburnumscale.guard import Guard
from laburnumscale.guardclocks import GuardClocks
from laburnumscale.logs import get_logger
from laburnumscale.members import EndpointView, Members
from laburnumscale.pathhealth import PathHealth
from laburnumscale.replies import refused, unknown
from laburnumscale.sequences import AttemptSequences
from laburnumscale.settling import HOP_MARGIN_MS, Settler
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptReplies", "AttemptRequest", "Attempter"]

CONNECT_SHARE = 0.25
PATH_CHECK_INTERVAL_MS = 100  # a broken path is found within about half a second
SETTLE_INTERVAL_MS = 100
QUESTION_LIMIT_MS = 300
QUEUED_REPLIES = 2

Replies = AsyncIterator[peer_pb2.CallReply]


@attrs.frozen(eq=False)
class AttemptRequest:
    """What one attempt sends, and how long it may take.

    :ivar head: without the attempt's number and times.
    :ivar body: whole, or a stream that can be sent once.
    :ivar send_deadline: until when the guard may send it to the target.
    :ivar reply_deadline: when the entry stops waiting for the first reply.
    :ivar deadline: when the whole answer must be there.
    :ivar settled: a lost attempt is settled, because the call must not run twice.
    :ivar may_give_up: asked at the reply deadline; tells whether another attempt is
        better than to wait on, and reserves it.
    """

    head: peer_pb2.CallHead
    body: bytes | AsyncIterator[bytes]
    send_deadline: Deadline
    reply_deadline: Deadline
    deadline: Deadline
    settled: bool
    may_give_up: Callable[[], bool]


class AttemptReplies:
    """The replies of one attempt, read by a task of their own.

    :ivar lost: they ended before the first one; the attempt may have been sent.
    """

    def __init__(self, replies: Replies) -> None:
        self.lost = False
        self._queue: asyncio.Queue[peer_pb2.CallReply | None]
        self._queue = asyncio.Queue(QUEUED_REPLIES)
        self._task = asyncio.create_task(self._read(replies))

    async def first(self, deadline: Deadline) -> peer_pb2.CallReply | None:
        """Return the first reply, or None if it is lost or not there in time."""
        if self.lost:
            return None
        try:
            async with asyncio.timeout(deadline.left_s()):
                reply = await self._queue.get()
        except TimeoutError:
            return None
        self.lost = reply is None
        return reply

    async def rest(self) -> Replies:
        """Yield the replies after the first one."""
        while (reply := await self._queue.get()) is not None:
            yield reply

    async def close(self) -> None:
        """Cancel the attempt at the guard unless it is over."""
        self._task.cancel()
        await asyncio.wait({self._task})

    async def _read(self, replies: Replies) -> None:
        try:
            async with aclosing(replies):
                async for reply in replies:
                    await self._queue.put(reply)
        except grpc.RpcError:
            pass
        except Exception as error:
            get_logger().error("attempt failed", reason=repr(error))
        await self._queue.put(None)


class Attempter:
    """Makes attempts on behalf of one entry."""

    def __init__(
        self,
        members: Members,
        guard: Guard,
        channels: PeerChannels,
        settler: Settler,
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

    @asynccontextmanager
    async def open(
        self, view: EndpointView, request: AttemptRequest
    ) -> AsyncIterator[tuple[peer_pb2.CallReply, Replies]]:
        """Give the first reply of an attempt and the ones after it.

        The end of the context cancels the attempt unless it is over.
        """
        with self._sequences.one(view) as number:
            head = self._numbered(view, request, number)
            replies = AttemptReplies(self._send(view, request, head))
            try:
                first = await replies.first(request.reply_deadline)
                if first is None and request.settled:
                    first = await self._settle(view, request, number, replies)
                elif first is None:
                    first = await self._wait_on(view, request, replies)
                yield first or _lost(replies), replies.rest()
            finally:
                await replies.close()

    def _numbered(
        self, view: EndpointView, request: AttemptRequest, number: peer_pb2.AttemptId
    ) -> peer_pb2.CallHead:
        head = peer_pb2.CallHead()
        head.CopyFrom(request.head)
        head.attempt.CopyFrom(number)
        head.low_water_sequence = self._sequences.low_water(view.daemon)
        head.time_left_ms = max(0, request.deadline.left_ms() - HOP_MARGIN_MS)
        head.send_left_ms = request.send_deadline.left_ms()
        head.guard_time_us = self._clocks.time_us(view)
        return head

    async def _wait_on(
        self, view: EndpointView, request: AttemptRequest, replies: AttemptReplies
    ) -> peer_pb2.CallReply | None:
        """Wait for the first reply as long as the path to the guard is whole.

        A target that is at work is not given up unless another one can be tried.
        """
        if request.may_give_up():
            return None
        first = None
        while first is None and not (replies.lost or request.deadline.is_over()):
            if self._paths.is_broken(view.peer_address):
                break
            pause = Deadline.after_ms(PATH_CHECK_INTERVAL_MS)
            first = await replies.first(_sooner(pause, request.deadline))
        return first

    async def _settle(
        self,
        view: EndpointView,
        request: AttemptRequest,
        number: peer_pb2.AttemptId,
        replies: AttemptReplies,
    ) -> peer_pb2.CallReply:
        """Ask about an attempt until its guard or its reply tells the outcome."""
        while not request.deadline.is_over():
            question = _sooner(Deadline.after_ms(QUESTION_LIMIT_MS), request.deadline)
            verdict = await self._settler.ask(number, view, question)
            if verdict.HasField("reply"):
                return verdict.reply
            if verdict.verdict == peer_pb2.SETTLE_VERDICT_GUARD_GONE:
                return unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
            started = verdict.verdict == peer_pb2.SETTLE_VERDICT_STARTED
            if started and replies.lost:
                return unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
            pause = _sooner(Deadline.after_ms(SETTLE_INTERVAL_MS), request.deadline)
            first = await replies.first(pause)
            if first is not None:
                return first
            await asyncio.sleep(pause.left_s())
        return unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)

    async def _send(
        self, view: EndpointView, request: AttemptRequest, head: peer_pb2.CallHead
    ) -> Replies:
        if view.daemon == self._members.own.daemon:
            async with aclosing(self._guard.call(head, request.body)) as replies:
                async for reply in replies:
                    yield reply
            return
        connect_ms = request.reply_deadline.left_ms() * CONNECT_SHARE
        connect_deadline = Deadline.after_ms(connect_ms)
        if not await self._channels.connect(view.peer_address, connect_deadline):
            yield refused(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED)
            return
        stub = self._channels.guard(view.peer_address)
        timeout_s = request.deadline.left_s()
        if isinstance(request.body, bytes):
            whole = peer_pb2.CallRequest(head=head, body=request.body, end=True)
            stream = stub.Call(whole, timeout=timeout_s)
        else:
            stream = stub.Upload(_requests(head, request.body), timeout=timeout_s)
        try:
            async for reply in stream:
                self._clocks.heard(view, reply.guard_time_us)
                yield reply
        finally:
            stream.cancel()


def _sooner(one: Deadline, other: Deadline) -> Deadline:
    return min(one, other, key=lambda deadline: deadline.at_s)


def _lost(replies: AttemptReplies) -> peer_pb2.CallReply:
    if replies.lost:
        return unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
    return unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)


async def _requests(
    head: peer_pb2.CallHead, body: AsyncIterator[bytes]
) -> AsyncIterator[peer_pb2.CallRequest]:
    yield peer_pb2.CallRequest(head=head)
    try:
        async for chunk in body:
            yield peer_pb2.CallRequest(body=chunk)
    except BodyBroken:
        return  # the guard sees that the last message is missing
    yield peer_pb2.CallRequest(end=True)
