"""Attempt client.

Sends one attempt of a call to a guard. An attempt that its guard may be running ends by
its reply, its deadline, its caller or the guard's own word; doubt about the path only
causes another copy, a query of its outcome, or a second attempt beside it.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import aclosing, asynccontextmanager, contextmanager
from typing import Any

import attrs

from laburnumscale.attemptcopies import AttemptCopies, ReplyReader, ReplyStream
from laburnumscale.attemptender import AttemptEnder
from laburnumscale.attemptsequences import AttemptSequences
from laburnumscale.attemptsettler import HOP_MARGIN_MS, AttemptSettler
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import BodyIncomplete
from laburnumscale.failurereplies import refused_reply, unknown_reply
from laburnumscale.guard import Guard
from laburnumscale.guardclocks import GuardClocks
from laburnumscale.keptbodies import BodyMemory, KeptBody
from laburnumscale.logs import get_logger
from laburnumscale.members import EndpointView, Members
from laburnumscale.memory import MemoryBudget
from laburnumscale.pathhealth import PathHealth
from laburnumscale.processends import ProcessEnds
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptClient", "AttemptRequest", "race_failover"]

CONNECT_TIMEOUT_SHARE = 0.25
REPLY_WAIT_MS = 100  # between looks at the path, the budget and other endpoints
#: Time after which the path of an unanswered attempt is checked again. A further check
#: follows after twice that time, and so on.
FIRST_RECHECK_S = 0.4
SETTLE_INTERVAL_MS = 100
#: Interval while the attempt runs and the path to its guard works: the reply then
#: arrives by itself.
RUNNING_SETTLE_INTERVAL_MS = 500
SETTLE_TIMEOUT_MS = 300
SERVER_ERROR = 500


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
    :ivar reserve_failover: called from the reply deadline on, or when the connection is
        lost; reserves an attempt at another endpoint, and returns whether to make it.
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


class _PathChecks:
    """Checks of the path to a guard while an attempt has no reply.

    :param peer_address: address of the guard's daemon.
    """

    def __init__(self, paths: PathHealth, peer_address: str) -> None:
        self._paths = paths
        self._peer_address = peer_address
        self._timer: asyncio.TimerHandle | None = None

    def schedule(self, delay_s: float) -> None:
        """Check the path after a delay, and then after twice the delay each time."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay_s, self._check, delay_s)

    def cancel(self) -> None:
        """Make no further checks."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self, delay_s: float) -> None:
        self._paths.recheck(self._peer_address)
        self.schedule(2 * delay_s)


class AttemptClient:
    """Sends the attempts of one entry to guards."""

    def __init__(
        self,
        members: Members,
        guard: Guard,
        channels: PeerChannels,
        settler: AttemptSettler,
        paths: PathHealth,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._paths = paths
        self._members = members
        self._guard = guard
        self._channels = channels
        self._settler = settler
        self._process_ends = ProcessEnds(members, channels)
        self._clocks = GuardClocks()
        own = members.own
        self._sequences = AttemptSequences(own.daemon, own.incarnation)
        self._ender = AttemptEnder(channels, paths)
        self._unanswered: dict[str, set[AttemptCopies]] = {}
        self._body_memory = BodyMemory(memory)
        paths.on_silence(self._repeat_unanswered)

    @asynccontextmanager
    async def send(
        self, view: EndpointView, request: AttemptRequest
    ) -> AsyncIterator[tuple[peer_pb2.CallReply, ReplyStream]]:
        """Send an attempt and yield its first reply and a stream of the others.

        The attempt is cancelled on exit from the context unless it has ended.
        """
        with (
            self._sequences.allocate_id(view) as attempt_id,
            self._keep_body(view, request) as body,
        ):
            copies = self._send_first_copy(view, request, attempt_id, body)
            cause = "cancelled"
            try:
                with self._watch_connection(view, copies):
                    first = await self._read_outcome(view, request, attempt_id, copies)
                if first is None:
                    cause = _missing_cause(request, copies)
                    first = _missing_reply(copies)
                yield first, copies.read_remaining()
            finally:
                if not copies.has_ended:
                    self._log_given_up(view, request, copies, cause)
                    self._end_attempt(view, attempt_id, request.deadline)
                await copies.close()

    def _log_given_up(
        self,
        view: EndpointView,
        request: AttemptRequest,
        copies: AttemptCopies,
        cause: str,
    ) -> None:
        """Log that an attempt is given up although its target may be running it."""
        get_logger().info(
            "attempt given up",
            request_id=request.head.request_id,
            cause=cause,
            endpoint=view.endpoint,
            guard=view.daemon,
            left_ms=request.deadline.left_ms(),
            reply_left_ms=request.reply_deadline.left_ms(),
            path_broken=self._paths.is_broken(view.peer_address),
            copies=copies.sent_count,
            has_replied=copies.answered is not None,
        )

    @contextmanager
    def _keep_body(
        self, view: EndpointView, request: AttemptRequest
    ) -> Iterator[bytes | AsyncIterator[bytes] | KeptBody]:
        """Yield the body of an attempt, so that it can be sent again if possible."""
        if isinstance(request.body, bytes) or self._is_own(view):
            yield request.body
            return
        body = KeptBody(request.body, self._body_memory, request.head.request_id)
        try:
            yield body
        finally:
            body.close()

    def _send_first_copy(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
        body: bytes | AsyncIterator[bytes] | KeptBody,
    ) -> AttemptCopies:
        def send(on_reply: Callable[[], None]) -> ReplyReader:
            head = self._build_head(view, request, attempt_id)
            replies = self._send_to_guard(view, request, head, body)
            return ReplyReader(replies, on_reply)

        if isinstance(body, KeptBody):
            return _UploadCopies(send, body)
        return AttemptCopies(send, is_repeatable=not self._is_own(view))

    def _end_attempt(
        self, view: EndpointView, attempt_id: peer_pb2.AttemptId, deadline: Deadline
    ) -> None:
        """Tell the guard that the attempt has ended, unless its stream says so."""
        if not self._is_own(view):
            self._ender.end(view.peer_address, attempt_id, deadline)

    def _is_own(self, view: EndpointView) -> bool:
        return view.daemon == self._members.own.daemon

    @contextmanager
    def _watch_connection(
        self, view: EndpointView, copies: AttemptCopies
    ) -> Iterator[None]:
        """Check the path meanwhile, and repeat the attempt on a new connection."""
        unanswered = self._unanswered.setdefault(view.peer_address, set())
        unanswered.add(copies)
        checks = _PathChecks(self._paths, view.peer_address)
        if not self._is_own(view):
            checks.schedule(FIRST_RECHECK_S)
        try:
            yield
        finally:
            checks.cancel()
            unanswered.discard(copies)
            if not unanswered:
                self._unanswered.pop(view.peer_address, None)

    def _repeat_unanswered(self, peer_address: str) -> None:
        for copies in self._unanswered.get(peer_address, ()):
            copies.repeat()

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
        head.outlives_stream = not self._is_own(view)
        return head

    async def _read_outcome(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
        copies: AttemptCopies,
    ) -> peer_pb2.CallReply | None:
        """Return the first reply; None if it is lost, late or replaced."""
        first = await copies.read_first(request.reply_deadline)
        if first is not None:
            return first
        if request.settle_if_lost:
            return await self._settle_attempt(view, request, attempt_id, copies)
        return await self._wait_for_reply(view, request, copies)

    async def _wait_for_reply(
        self, view: EndpointView, request: AttemptRequest, copies: AttemptCopies
    ) -> peer_pb2.CallReply | None:
        """Wait for the first reply beyond the reply deadline, or after its loss.

        A target that may be processing the request is abandoned only once another one
        has answered, or once the process of its guard has ended.

        :returns: None also if the answer of a failover replaces that of this attempt.
        """
        while not (copies.is_over or request.deadline.has_passed()):
            if copies.is_lost and (
                not copies.can_repeat or await self._has_ended(view)
            ):
                return None
            is_late = request.reply_deadline.has_passed()
            if (is_late or copies.is_lost) and request.reserve_failover():
                first, is_replaced = await race_failover(request, copies)
                if is_replaced:
                    return None
                if first is not None:
                    return first
                continue
            pause = _earlier(Deadline.after_ms(REPLY_WAIT_MS), request.deadline)
            if copies.is_lost:
                await asyncio.sleep(pause.left_s())
                copies.repeat()
            first = await copies.read_first(pause)
            if first is not None:
                return first
        return None

    async def _has_ended(self, view: EndpointView) -> bool:
        """Return whether the process of a guard with a lost connection has ended."""
        return await self._process_ends.has_ended(
            view.daemon, view.incarnation, view.peer_address
        )

    async def _settle_attempt(
        self,
        view: EndpointView,
        request: AttemptRequest,
        attempt_id: peer_pb2.AttemptId,
        copies: AttemptCopies,
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
            is_gone = (
                copies.is_lost and not is_reachable and await self._has_ended(view)
            )
            reply = _settled_reply(verdict, copies, is_gone)
            if reply is not None:
                copies.is_over = True
                return reply
            if copies.is_lost and verdict.verdict == peer_pb2.SETTLE_VERDICT_RUNNING:
                copies.repeat()
            retry = Deadline.after_ms(SETTLE_INTERVAL_MS)
            may_arrive = is_reachable and not copies.is_lost
            interval_ms = RUNNING_SETTLE_INTERVAL_MS if may_arrive else 0
            pause = max(retry, Deadline.after_ms(interval_ms), key=_at_s)
            first = await copies.read_first(_earlier(pause, request.deadline))
            if first is not None:
                return first
            await asyncio.sleep(_earlier(retry, request.deadline).left_s())
        return unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE)

    async def _send_to_guard(
        self,
        view: EndpointView,
        request: AttemptRequest,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes] | KeptBody,
    ) -> ReplyStream:
        if self._is_own(view):
            async with aclosing(self._guard.run_attempt(head, body)) as replies:
                async for reply in replies:
                    yield reply
            return
        left_ms = request.reply_deadline.left_ms() or request.deadline.left_ms()
        connect_deadline = Deadline.after_ms(left_ms * CONNECT_TIMEOUT_SHARE)
        if not await self._channels.connect(view.peer_address, connect_deadline):
            yield refused_reply(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED)
            return
        stub = self._channels.guard(view.peer_address)
        record_delivery = self._paths.watch_deliveries(view.peer_address)
        timeout_s = request.deadline.left_s()
        if isinstance(body, bytes):
            message = peer_pb2.CallRequest(head=head, body=body, end=True)
            stream = stub.Call(message, timeout=timeout_s)
        else:
            messages = _upload_messages(head, body.read())
            stream = stub.Upload(messages, timeout=timeout_s)
        try:
            async for reply in stream:
                record_delivery()
                self._clocks.record_sample(view, reply.guard_time_us)
                yield reply
        finally:
            stream.cancel()


class _UploadCopies(AttemptCopies):
    """The copies of an attempt with a streamed body."""

    def __init__(
        self, send: Callable[[Callable[[], None]], ReplyReader], body: KeptBody
    ) -> None:
        self._body = body
        super().__init__(send, is_repeatable=True)

    @property
    def can_repeat(self) -> bool:
        """Return whether another copy can be sent."""
        return self._body.can_repeat and super().can_repeat


async def race_failover(
    request: AttemptRequest, copies: AttemptCopies
) -> tuple[peer_pb2.CallReply | None, bool]:
    """Fail over to another endpoint while the reply may still arrive.

    :returns: the reply if one has arrived, and whether the failover was answered first.
    """
    reading = asyncio.create_task(_read_with_repeats(copies, request.deadline))
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


async def _read_with_repeats(
    copies: AttemptCopies, deadline: Deadline
) -> peer_pb2.CallReply | None:
    """Return the first reply; send the attempt again when all copies are lost."""
    first = await copies.read_first(deadline)
    while first is None and copies.can_repeat and not deadline.has_passed():
        await asyncio.sleep(
            _earlier(Deadline.after_ms(REPLY_WAIT_MS), deadline).left_s()
        )
        copies.repeat()
        first = await copies.read_first(deadline)
    return first


def _is_success(reply: peer_pb2.CallReply | None) -> bool:
    has_answer = reply is not None and reply.HasField("head")
    return has_answer and reply.head.status < SERVER_ERROR


def _earlier(one: Deadline, other: Deadline) -> Deadline:
    return min(one, other, key=_at_s)


def _at_s(deadline: Deadline) -> float:
    return deadline.at_s


def _settled_reply(
    verdict: peer_pb2.SettleReply, copies: AttemptCopies, is_gone: bool
) -> peer_pb2.CallReply | None:
    """Return the outcome of an attempt that a verdict states, or None.

    :param is_gone: whether the process of the guard has ended.
    """
    if verdict.HasField("reply"):
        return verdict.reply
    is_gone = is_gone or verdict.verdict == peer_pb2.SETTLE_VERDICT_GUARD_GONE
    has_run = verdict.verdict == peer_pb2.SETTLE_VERDICT_STARTED
    if is_gone or (has_run and copies.is_lost):
        return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
    return None


def _missing_cause(request: AttemptRequest, copies: AttemptCopies) -> str:
    """Return why an attempt without a reply is given up, for the log."""
    if request.deadline.has_passed():
        return "deadline"
    if not copies.is_lost:
        return "answered elsewhere"
    return "guard ended" if copies.can_repeat or copies.is_over else "connection lost"


def _missing_reply(copies: AttemptCopies) -> peer_pb2.CallReply:
    if copies.is_lost or copies.is_over:
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
