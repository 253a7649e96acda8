"""Entry.

Takes the calls of callers over HTTP and hands them to the call runner.
"""

import asyncio
import random
import re
import time
import uuid
from collections.abc import AsyncIterator

import attrs
from sanic import HTTPResponse, Request
from sanic.exceptions import SanicException
from sanic.response import json

from laburnumscale.callerrequests import (
    call_timeout_ms,
    check_request,
    is_number,
    parse_request_target,
)
from laburnumscale.callerresponses import buffered_response
from laburnumscale.calllog import CallLog
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import BodyIncomplete, BodyTooLarge, RequestInvalid
from laburnumscale.failurereplies import failure_outcome
from laburnumscale.guard import STALE_RETRY_AFTER_MS
from laburnumscale.headernames import HeaderNames
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun, Outcome, outcome_name
from laburnumscale.problems import problem_response
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.targetresponses import MAX_SINGLE_MESSAGE_BODY_BYTES
from laburnumscale.webserver import App, new_app
from laburnumscale_schema import peer_pb2, settings_pb2

__all__ = ["Entry", "choose_backend"]

STARTING_RETRY_AFTER_MS = 1000
STALE_SETTINGS = peer_pb2.NOT_RUN_REASON_STALE_SETTINGS
CALLS_IN_FLIGHT_LIMIT = 4096
OVERLOADED = NotRun(peer_pb2.NOT_RUN_REASON_OVERLOADED, retry_after_ms=1000)
BAD_REQUEST = NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
STATUS_TOO_LARGE = 413
REQUEST_ID = re.compile(r"[!-~]{1,128}")
KEYS_PATH = "/_laburnumscale/v1/operation-keys"
KEY_HEADER = "idempotency-key"
KEY_COUNT_LIMIT = 1000


class Entry:
    """The HTTP side of a daemon for callers.

    :param names: the header fields that callers know.
    :param routes_only: requests that no route matches are refused.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        runner: CallRunner,
        keyed_calls: KeyedCalls,
        key_table: KeyTable,
        metrics: Metrics,
        names: HeaderNames,
        routes_only: bool,
    ) -> None:
        self._decisions = CallLog(lambda: feed.tree.revision)
        self._names = names
        self._routes_only = routes_only
        self._members = members
        self._feed = feed
        self._runner = runner
        self._keyed_calls = keyed_calls
        self._key_table = key_table
        self._metrics = metrics
        self._in_flight = 0

    def app(self, body_limit_bytes: int) -> App:
        """Return the HTTP application for callers."""

        async def handle(request: Request) -> HTTPResponse | None:
            return await self._checked(request, body_limit_bytes)

        async def mint(request: Request) -> HTTPResponse:
            return await self.mint_keys(request)

        app = new_app(f"{self._members.own.daemon}-callers", handle)
        app.add_route(mint, KEYS_PATH, methods=["POST"], name="keys")
        return app

    async def _checked(
        self, request: Request, body_limit_bytes: int
    ) -> HTTPResponse | None:
        if self._in_flight >= CALLS_IN_FLIGHT_LIMIT:
            self._record("", OVERLOADED, time.monotonic())
            return self._problem(OVERLOADED, self._request_id(request))
        self._in_flight += 1
        try:
            check_request(request, body_limit_bytes)
            return await self.handle(request)
        except RequestInvalid as error:
            return self._refused(request, error)
        except BodyTooLarge as error:
            return self._refused(request, error, STATUS_TOO_LARGE)
        finally:
            self._in_flight -= 1

    def _refused(
        self, request: Request, error: Exception, status: int = 0
    ) -> HTTPResponse:
        self._metrics.count("requests_refused")
        self._decisions.log_refusal(self._request_id(request), BAD_REQUEST, str(error))
        request.stream.keep_alive = False
        return self._problem(BAD_REQUEST, self._request_id(request), str(error), status)

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Answer one call."""
        with self._runner.in_flight.track():
            return await self._answer(request)

    async def _answer(self, request: Request) -> HTTPResponse | None:
        started_at_s = time.monotonic()
        request_id = self._request_id(request)
        prepared = await self._prepare(request, request_id)
        if isinstance(prepared, NotRun):
            response = self._problem(prepared, request_id)
            self._decisions.log_refusal(request_id, prepared, request.path)
            self._record("", prepared, started_at_s)
            return response
        key = request.headers.get(KEY_HEADER)
        if key is None:
            outcome, response = await self._runner.run(prepared)
        else:
            reply = await self._keyed_calls.run_at_holder(prepared, key)
            outcome, response = self._keyed_response(reply, request_id)
        elapsed_ms = (time.monotonic() - started_at_s) * MS_PER_S
        self._decisions.log_call_end(prepared, outcome, elapsed_ms)
        self._record(prepared.service, outcome, started_at_s)
        return response

    async def mint_keys(self, request: Request) -> HTTPResponse:
        """Answer a caller's wish for operation keys."""
        count = request.args.get("count", "1")
        if not is_number(count) or not 1 <= int(count) <= KEY_COUNT_LIMIT:
            return problem_response(BAD_REQUEST, uuid.uuid4().hex)
        keys = [str(key) for key in self._key_table.mint(int(count))]
        return json({"keys": keys})

    async def _prepare(self, request: Request, request_id: str) -> Call | NotRun:
        if not self._feed.has_tree:
            return NotRun(peer_pb2.NOT_RUN_REASON_STARTING, STARTING_RETRY_AFTER_MS)
        routed = self._route(request)
        if isinstance(routed, NotRun):
            return routed
        service, path_and_query, route = routed
        settings = self._settings(service, route)
        idempotent = request.method in settings.idempotent
        if route is not None and route.HasField("idempotent"):
            idempotent = route.idempotent
        if not (idempotent or settings.serve_when_stale) and self._feed.is_stale():
            return NotRun(STALE_SETTINGS, STALE_RETRY_AFTER_MS)
        limit_ms = call_timeout_ms(
            request, settings.time_limit_ms, self._names.caller_time_limit
        )
        deadline = Deadline.after_ms(limit_ms)
        return Call(
            request=request,
            request_id=request_id,
            service=service,
            path_and_query=path_and_query,
            settings=settings,
            idempotent=idempotent,
            deadline=deadline,
            body=await self._body(request, request_id, deadline),
            priority=route.priority if route is not None else 0,
            objective=_objective(route),
        )

    def _route(
        self, request: Request
    ) -> NotRun | tuple[str, str, settings_pb2.Route | None]:
        """Return the service, the path there, and the route of a request."""
        host, raw = parse_request_target(request)
        path, _, _ = raw.partition("?")
        route = self._feed.tree.route(host, path)
        if route is not None:
            return choose_backend(route), raw, route
        if self._routes_only:
            return NotRun(peer_pb2.NOT_RUN_REASON_NO_ROUTE)
        service, _, rest = raw.removeprefix("/").partition("/")
        if service not in self._feed.tree.services():
            return NotRun(peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE)
        return service, "/" + rest, None

    def _settings(
        self, service: str, route: settings_pb2.Route | None
    ) -> EffectiveSettings:
        """Return the settings of a service, narrowed by those of a route."""
        settings = self._feed.tree.effective_settings(
            service, self._members.own.data_centre
        )
        if route is None:
            return settings
        narrowed = {
            name: getattr(route, name)
            for name in ("time_limit_ms", "attempt_limit")
            if route.HasField(name)
        }
        return attrs.evolve(settings, **narrowed) if narrowed else settings

    def _problem(
        self, outcome: NotRun, request_id: str, detail: str = "", status: int = 0
    ) -> HTTPResponse:
        return problem_response(outcome, request_id, detail, status, self._names)

    async def _body(
        self, request: Request, request_id: str, deadline: Deadline
    ) -> bytes | AsyncIterator[bytes]:
        length = request.headers.get("content-length")
        if length is None and "transfer-encoding" not in request.headers:
            return b""
        if length is not None and int(length) <= MAX_SINGLE_MESSAGE_BODY_BYTES:
            return await _small_body(request, deadline)
        return _stream(request, request_id)

    def _request_id(self, request: Request) -> str:
        given = request.headers.get(self._names.request_id, "")
        return given if REQUEST_ID.fullmatch(given) else uuid.uuid4().hex

    def _keyed_response(
        self, reply: peer_pb2.CallReply, request_id: str
    ) -> tuple[Outcome, HTTPResponse]:
        outcome = failure_outcome(reply)
        if outcome is not None:
            return outcome, self._problem(outcome, request_id)
        response = buffered_response(reply, request_id, self._names)
        return Answered(reply.head.status), response

    def _record(self, service: str, outcome: Outcome, started_at_s: float) -> None:
        labels = f'service="{service}",outcome="{outcome_name(outcome)}"'
        self._metrics.count("calls", labels)
        elapsed_us = (time.monotonic() - started_at_s) * 1_000_000
        self._metrics.record_us("call_latency", elapsed_us, f'service="{service}"')


async def _small_body(request: Request, deadline: Deadline) -> bytes:
    try:
        async with asyncio.timeout(deadline.left_s()):
            await request.receive_body()
    except SanicException as error:
        raise RequestInvalid("body", str(error)) from error
    except TimeoutError:
        raise RequestInvalid("body", "it did not come in time") from None
    return request.body


async def _stream(request: Request, request_id: str) -> AsyncIterator[bytes]:
    while True:
        try:
            chunk = await request.stream.read()
        except SanicException as error:
            raise BodyIncomplete(request_id, str(error)) from error
        if not chunk:
            return
        yield chunk


def _objective(route: settings_pb2.Route | None) -> Deadline | None:
    if route is None or not route.HasField("latency_objective_ms"):
        return None
    return Deadline.after_ms(route.latency_objective_ms)


def choose_backend(route: settings_pb2.Route) -> str:
    """Return the service for one call: the route's only one, or one by weight.

    Each call is drawn by itself, so a part that is short of room refuses its own
    calls and the shares of the other parts do not change.
    """
    if not route.backends:
        return route.service
    weights = [backend.weight for backend in route.backends]
    return random.choices(route.backends, weights)[0].service
