"""Entry.

Takes the calls of callers, tries targets, and states the outcome.
"""

import time
import uuid
from collections.abc import AsyncIterator

import attrs
import grpc
from sanic import HTTPResponse, Request, Sanic

from laburnumscale.deadlines import Deadline
from laburnumscale.guard import SMALL_BODY_BYTES, Guard, not_run, unknown
from laburnumscale.headers import end_to_end
from laburnumscale.members import EndpointView, Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown, outcome_name
from laburnumscale.peers import PeerChannels
from laburnumscale.problems import problem
from laburnumscale.routing import Router
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.tree import EffectiveSettings
from laburnumscale.webserver import new_app
from laburnumscale_schema import peer_pb2

__all__ = ["Entry"]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
TIMEOUT_HEADER = "x-request-timeout-ms"
NO_TARGET_RETRY_AFTER_MS = 1000


@attrs.define(eq=False)
class _Call:
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
        return isinstance(self.body, bytes)


class Entry:
    """The HTTP side of a daemon for callers."""

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        guard: Guard,
        channels: PeerChannels,
        router: Router,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._feed = feed
        self._guard = guard
        self._channels = channels
        self._router = router
        self._metrics = metrics

    def app(self, body_limit_bytes: int) -> Sanic:
        """Return the HTTP application for callers."""
        app = new_app(f"{self._members.own.daemon}-callers", body_limit_bytes)

        async def handle(request: Request, path: str = "") -> HTTPResponse | None:
            return await self.handle(request)

        app.add_route(handle, "/", methods=METHODS, stream=True, name="root")
        app.add_route(handle, "/<path:path>", methods=METHODS, stream=True, name="any")
        return app

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Answer one call."""
        started_at_s = time.monotonic()
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        prepared = await self._prepare(request, request_id)
        if isinstance(prepared, NotRun):
            response = problem(prepared, request_id)
            self._record("", prepared, started_at_s)
            return response
        outcome, response = await self._attempts(prepared)
        self._record(prepared.service, outcome, started_at_s)
        return response

    async def _prepare(self, request: Request, request_id: str) -> _Call | NotRun:
        raw = request.raw_url.decode("latin-1")
        path, _, _ = raw.partition("?")
        host = request.headers.get("host", "").partition(":")[0]
        route = self._feed.tree.route(host, path)
        if route is not None:
            service, path_and_query = route.service, raw
        else:
            service, _, rest = raw.removeprefix("/").partition("/")
            path_and_query = "/" + rest
        if service not in self._feed.tree.services():
            return NotRun(peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE)
        settings = self._feed.tree.effective(service, self._members.own.data_centre)
        wanted_ms = request.headers.get(TIMEOUT_HEADER, str(settings.time_limit_ms))
        if not wanted_ms.isdecimal():
            return NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
        time_left_ms = min(int(wanted_ms), settings.time_limit_ms)
        return _Call(
            request=request,
            request_id=request_id,
            service=service,
            path_and_query=path_and_query,
            settings=settings,
            idempotent=request.method in settings.idempotent,
            deadline=Deadline.after_ms(time_left_ms),
            body=await self._body(request),
        )

    async def _body(self, request: Request) -> bytes | AsyncIterator[bytes]:
        length = request.headers.get("content-length")
        if length is None and "transfer-encoding" not in request.headers:
            return b""
        if length is not None and int(length) <= SMALL_BODY_BYTES:
            await request.receive_body()
            return request.body
        return _stream(request)

    async def _attempts(self, call: _Call) -> tuple[Outcome, HTTPResponse | None]:
        outcome: Outcome = NotRun(
            peer_pb2.NOT_RUN_REASON_NO_TARGET, NO_TARGET_RETRY_AFTER_MS
        )
        for _ in range(call.settings.attempt_limit):
            view = self._router.pick(call.service, call.tried)
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
        self, call: _Call, view: EndpointView
    ) -> tuple[Outcome, HTTPResponse | None]:
        self._router.started(view)
        replies = self._replies(call, view)
        try:
            first = await anext(replies)
            outcome = _failure(first)
            if outcome is not None:
                return outcome, None
            if first.end:
                return Answered(first.head.status), _whole(call, first)
            return await self._pass_on(call, first, replies)
        finally:
            self._router.ended(view)
            await replies.aclose()

    async def _pass_on(
        self,
        call: _Call,
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
            failed = _failure(reply)
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
        self, call: _Call, view: EndpointView
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
        self, call: _Call, view: EndpointView, deadline: Deadline
    ) -> peer_pb2.CallHead:
        return peer_pb2.CallHead(
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

    def _record(self, service: str, outcome: Outcome, started_at_s: float) -> None:
        labels = f'service="{service}",outcome="{outcome_name(outcome)}"'
        self._metrics.count("calls", labels)
        elapsed_us = (time.monotonic() - started_at_s) * 1_000_000
        self._metrics.record_us("call_latency", elapsed_us, f'service="{service}"')


async def _stream(request: Request) -> AsyncIterator[bytes]:
    while True:
        chunk = await request.stream.read()
        if not chunk:
            return
        yield chunk


async def _requests(
    head: peer_pb2.CallHead, body: AsyncIterator[bytes]
) -> AsyncIterator[peer_pb2.CallRequest]:
    yield peer_pb2.CallRequest(head=head)
    async for chunk in body:
        yield peer_pb2.CallRequest(body=chunk)
    yield peer_pb2.CallRequest(end=True)


def _failure(reply: peer_pb2.CallReply) -> Outcome | None:
    if reply.HasField("not_run"):
        return NotRun(reply.not_run.reason, reply.not_run.retry_after_ms)
    if reply.HasField("unknown"):
        return Unknown(reply.unknown.reason)
    return None


def _rpc_failure(error: grpc.aio.AioRpcError) -> peer_pb2.CallReply:
    if error.code() == grpc.StatusCode.DEADLINE_EXCEEDED:
        return unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)
    if "failed to connect" in (error.details() or "").lower():
        return not_run(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED)
    return unknown(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)


def _header_dict(headers: list[peer_pb2.Header], request_id: str) -> list:
    pairs = [(header.name, header.value) for header in headers]
    return [*pairs, ("x-request-id", request_id)]


def _whole(call: _Call, reply: peer_pb2.CallReply) -> HTTPResponse:
    headers = end_to_end((h.name, h.value) for h in reply.head.headers)
    return HTTPResponse(
        reply.body,
        status=reply.head.status,
        headers=_header_dict(headers, call.request_id),
        content_type=None,
    )
