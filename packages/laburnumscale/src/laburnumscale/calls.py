"""Calls.

Tries targets for the call of a caller and states the outcome.
"""

from collections.abc import AsyncIterator

import attrs
import grpc
from sanic import HTTPResponse, Request

from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.guard import Guard
from laburnumscale.headers import end_to_end
from laburnumscale.members import EndpointView, Members
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown
from laburnumscale.problems import problem
from laburnumscale.replies import failure, not_run, unknown
from laburnumscale.routing import Router
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["Call", "CallRunner"]

NO_TARGET_RETRY_AFTER_MS = 1000


@attrs.define(eq=False)
class Call:
    """One call of a caller and its attempts so far."""

    request: Request
    request_id: str
    service: str
    path_and_query: str
    settings: EffectiveSettings
    idempotent: bool
    deadline: Deadline
    body: bytes | AsyncIterator[bytes]
    tried: set[str] = attrs.field(factory=set)

    def attempt_deadline(self) -> Deadline:
        """Return the end of the next attempt, which leaves time for the others."""
        attempts_left = self.settings.attempt_limit - len(self.tried) + 1
        if not (self.idempotent and self.replayable):
            attempts_left = 1
        return Deadline.after_ms(self.deadline.left_ms() / max(1, attempts_left))

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent again."""
        return isinstance(self.body, bytes)


class CallRunner:
    """Makes the attempts of calls."""

    def __init__(
        self, members: Members, guard: Guard, channels: PeerChannels, router: Router
    ) -> None:
        self._members = members
        self._guard = guard
        self._channels = channels
        self._router = router

    async def run(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        """Try targets until the call has its outcome.

        :returns: the outcome, and the response unless it was already streamed.
        """
        outcome: Outcome = NotRun(
            peer_pb2.NOT_RUN_REASON_NO_TARGET, NO_TARGET_RETRY_AFTER_MS
        )
        for _ in range(call.settings.attempt_limit):
            view = self._router.pick(call.service, call.tried, call.idempotent)
            if view is None or call.deadline.is_over():
                break
            call.tried.add(view.endpoint)
            outcome, response = await self._attempt(call, view)
            if isinstance(outcome, Answered):
                return outcome, response
            if not call.replayable:
                break
            if isinstance(outcome, Unknown) and not call.idempotent:
                break
        return outcome, problem(outcome, call.request_id)

    async def _attempt(
        self, call: Call, view: EndpointView
    ) -> tuple[Outcome, HTTPResponse | None]:
        attempt = self._router.started(view)
        replies = self._replies(call, view)
        try:
            first = await anext(replies)
            attempt.replied(first)
            outcome = failure(first)
            if outcome is not None:
                return outcome, None
            if first.end:
                return Answered(first.head.status), _whole(call, first)
            return await self._pass_on(call, first, replies)
        finally:
            attempt.ended()
            await replies.aclose()

    async def _pass_on(
        self,
        call: Call,
        first: peer_pb2.CallReply,
        replies: AsyncIterator[peer_pb2.CallReply],
    ) -> tuple[Outcome, None]:
        headers = end_to_end((h.name, h.value) for h in first.head.headers)
        response = await call.request.respond(
            status=first.head.status,
            headers=_header_dict(headers, call.request_id),
            content_type=None,
        )
        async for reply in replies:
            failed = failure(reply)
            if failed is not None:
                call.request.transport.abort()
                return failed, None
            if reply.body:
                await response.send(reply.body)
            if reply.end:
                await response.eof()
                return Answered(first.head.status), None
        call.request.transport.abort()
        return Unknown(peer_pb2.UNKNOWN_REASON_CUT_SHORT), None

    async def _replies(
        self, call: Call, view: EndpointView
    ) -> AsyncIterator[peer_pb2.CallReply]:
        deadline = call.attempt_deadline()
        head = self._head(call, view, deadline)
        if view.daemon == self._members.own.daemon:
            async for reply in self._guard.call(head, call.body):
                yield reply
            return
        stub = self._channels.guard(view.peer_address)
        timeout_s = deadline.left_s()
        if call.replayable:
            request = peer_pb2.CallRequest(head=head, body=call.body, end=True)
            stream = stub.Call(request, timeout=timeout_s)
        else:
            stream = stub.Upload(_requests(head, call.body), timeout=timeout_s)
        try:
            async for reply in stream:
                yield reply
        except grpc.aio.AioRpcError as error:
            yield _rpc_failure(error)
        finally:
            stream.cancel()

    def _head(
        self, call: Call, view: EndpointView, deadline: Deadline
    ) -> peer_pb2.CallHead:
        head = peer_pb2.CallHead(
            attempt=peer_pb2.AttemptId(
                entry=self._members.own.daemon,
                entry_incarnation=self._members.own.incarnation,
                guard_incarnation=view.incarnation,
            ),
            request_id=call.request_id,
            service=call.service,
            endpoint=view.endpoint,
            method=call.request.method,
            path_and_query=call.path_and_query,
            headers=end_to_end(call.request.headers.items()),
            time_left_ms=deadline.left_ms(),
            idempotent=call.idempotent,
        )
        self._router.mark(head, view)
        return head


async def _requests(
    head: peer_pb2.CallHead, body: AsyncIterator[bytes]
) -> AsyncIterator[peer_pb2.CallRequest]:
    yield peer_pb2.CallRequest(head=head)
    async for chunk in body:
        yield peer_pb2.CallRequest(body=chunk)
    yield peer_pb2.CallRequest(end=True)


def _rpc_failure(error: grpc.aio.AioRpcError) -> peer_pb2.CallReply:
    if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
        return unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)
    if "failed to connect" in (error.details() or "").lower():
        return not_run(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED)
    return unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)


def _header_dict(headers: list[peer_pb2.Header], request_id: str) -> list:
    pairs = [(header.name, header.value) for header in headers]
    return [*pairs, ("x-request-id", request_id)]


def _whole(call: Call, reply: peer_pb2.CallReply) -> HTTPResponse:
    headers = end_to_end((h.name, h.value) for h in reply.head.headers)
    return HTTPResponse(
        reply.body,
        status=reply.head.status,
        headers=_header_dict(headers, call.request_id),
        content_type=None,
    )
