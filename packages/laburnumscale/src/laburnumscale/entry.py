"""Entry.

Takes the calls of callers over HTTP and hands them to the call runner.
"""

import time
import uuid
from collections.abc import AsyncIterator

from sanic import HTTPResponse, Request, Sanic
from sanic.response import json

from laburnumscale.calls import Call, CallRunner
from laburnumscale.deadlines import Deadline
from laburnumscale.guard import SMALL_BODY_BYTES, STALE_RETRY_AFTER_MS
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun, Outcome, outcome_name
from laburnumscale.problems import problem
from laburnumscale.replies import failure
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.webserver import new_app
from laburnumscale_schema import peer_pb2

__all__ = ["Entry"]

METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
STARTING_RETRY_AFTER_MS = 1000
STALE_SETTINGS = peer_pb2.NOT_RUN_REASON_STALE_SETTINGS
KEYS_PATH = "/_laburnumscale/v1/operation-keys"
KEY_HEADER = "idempotency-key"
KEY_COUNT_LIMIT = 1000
TIMEOUT_HEADER = "x-request-timeout-ms"


class Entry:
    """The HTTP side of a daemon for callers."""

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        runner: CallRunner,
        keyed_calls: KeyedCalls,
        key_table: KeyTable,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._feed = feed
        self._runner = runner
        self._keyed_calls = keyed_calls
        self._key_table = key_table
        self._metrics = metrics

    def app(self, body_limit_bytes: int) -> Sanic:
        """Return the HTTP application for callers."""
        app = new_app(f"{self._members.own.daemon}-callers", body_limit_bytes)

        async def handle(request: Request, path: str = "") -> HTTPResponse | None:
            return await self.handle(request)

        async def mint(request: Request) -> HTTPResponse:
            return await self.mint_keys(request)

        app.add_route(mint, KEYS_PATH, methods=["POST"], name="keys")
        app.add_route(handle, "/", methods=METHODS, stream=True, name="root")
        app.add_route(handle, "/<path:path>", methods=METHODS, stream=True, name="any")
        return app

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Answer one call."""
        with self._runner.in_flight.one():
            return await self._answer(request)

    async def _answer(self, request: Request) -> HTTPResponse | None:
        started_at_s = time.monotonic()
        if self._members.own.draining:
            request.stream.keep_alive = False
        request_id = request.headers.get("x-request-id") or uuid.uuid4().hex
        prepared = await self._prepare(request, request_id)
        if isinstance(prepared, NotRun):
            response = problem(prepared, request_id)
            self._record("", prepared, started_at_s)
            return response
        key = request.headers.get(KEY_HEADER)
        if key is None:
            outcome, response = await self._runner.run(prepared)
        else:
            reply = await self._keyed_calls.lead(prepared, key)
            outcome, response = _keyed_response(reply, request_id)
        self._record(prepared.service, outcome, started_at_s)
        return response

    async def mint_keys(self, request: Request) -> HTTPResponse:
        """Answer a caller's wish for operation keys."""
        count = request.args.get("count", "1")
        if not count.isdecimal() or not 1 <= int(count) <= KEY_COUNT_LIMIT:
            refused = NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
            return problem(refused, uuid.uuid4().hex)
        keys = [str(key) for key in self._key_table.mint(int(count))]
        return json({"keys": keys})

    async def _prepare(self, request: Request, request_id: str) -> Call | NotRun:
        if not self._feed.has_tree:
            return NotRun(peer_pb2.NOT_RUN_REASON_STARTING, STARTING_RETRY_AFTER_MS)
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
        idempotent = request.method in settings.idempotent
        if not (idempotent or settings.serve_when_stale) and self._feed.is_stale():
            return NotRun(STALE_SETTINGS, STALE_RETRY_AFTER_MS)
        wanted_ms = request.headers.get(TIMEOUT_HEADER, str(settings.time_limit_ms))
        if not wanted_ms.isdecimal():
            return NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
        time_left_ms = min(int(wanted_ms), settings.time_limit_ms)
        return Call(
            request=request,
            request_id=request_id,
            service=service,
            path_and_query=path_and_query,
            settings=settings,
            idempotent=idempotent,
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


def _keyed_response(
    reply: peer_pb2.CallReply, request_id: str
) -> tuple[Outcome, HTTPResponse]:
    outcome = failure(reply)
    if outcome is not None:
        return outcome, problem(outcome, request_id)
    headers = [
        (header.name, header.value)
        for header in reply.head.headers
        if header.name != "x-request-id"
    ]
    headers.append(("x-request-id", request_id))
    response = HTTPResponse(
        reply.body, status=reply.head.status, headers=headers, content_type=None
    )
    return Answered(reply.head.status), response
