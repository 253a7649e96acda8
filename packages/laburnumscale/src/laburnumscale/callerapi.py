"""Caller API.

The HTTP interface for callers: accepts calls and passes them to the call runner.
"""

import re
import time
import uuid
from collections.abc import AsyncIterator

import attrs
from sanic import HTTPResponse, Request
from sanic.response import json

from laburnumscale.accounts import AccountCallCounts, digest_key
from laburnumscale.callerbodies import Arrival, BodyReceiver
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
from laburnumscale.daemonsettings import DEFAULT_TRANSFER_STALL_MS
from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.errors import (
    BodyStalled,
    BodyTooLarge,
    RequestInvalid,
    WorkCutOff,
)
from laburnumscale.failurereplies import failure_outcome
from laburnumscale.guard import STALE_RETRY_AFTER_MS
from laburnumscale.headernames import HeaderNames
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.memory import (
    BODY_COPIES,
    ENTRY_UPLOAD_BYTES,
    FREE_BYTES,
    MEMORY_RETRY_AFTER_MS,
    Purpose,
)
from laburnumscale.metrics import Metrics
from laburnumscale.operationkeys import is_key
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown, outcome_name
from laburnumscale.problems import problem_response
from laburnumscale.quotas import QuotaClient, QuotaGrant
from laburnumscale.routelookup import Routed, RouteLookup
from laburnumscale.settingsfeed import CATCH_UP_WAIT_MS, SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.targetresponses import MAX_SINGLE_MESSAGE_BODY_BYTES
from laburnumscale.webserver import App, new_app
from laburnumscale_schema import peer_pb2, settings_pb2

__all__ = ["CallerApi"]

STARTING_RETRY_AFTER_MS = 1000
STALE_SETTINGS = peer_pb2.NOT_RUN_REASON_STALE_SETTINGS
MAX_CALLS_IN_FLIGHT = 4096
#: Other daemons accept the call at once.
DRAINING = NotRun(peer_pb2.NOT_RUN_REASON_DRAINING, retry_after_ms=100)
CUT_OFF = Unknown(peer_pb2.UNKNOWN_REASON_DRAINING)
OVERLOADED = NotRun(peer_pb2.NOT_RUN_REASON_OVERLOADED, retry_after_ms=1000)
#: An error in the code of the daemon ended the call before or after its first attempt.
FAILED_BEFORE_RUN = NotRun(peer_pb2.NOT_RUN_REASON_UNSPECIFIED, retry_after_ms=1000)
FAILED_IN_RUN = Unknown(peer_pb2.UNKNOWN_REASON_UNSPECIFIED)
SERVER_ERROR = 500
BAD_REQUEST = NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
OUT_OF_MEMORY = NotRun(
    peer_pb2.NOT_RUN_REASON_OUT_OF_MEMORY, retry_after_ms=MEMORY_RETRY_AFTER_MS
)
STATUS_NOT_FOUND = 404
STATUS_METHOD_NOT_ALLOWED = 405
STATUS_REQUEST_TIMEOUT = 408
STATUS_CONTENT_TOO_LARGE = 413
REQUEST_ID_PATTERN = re.compile(r"[!-~]{1,128}")
INTERNAL_PATH_PREFIX = b"/_laburnumscale/"
OPERATION_KEYS_PATH = "/_laburnumscale/v1/operation-keys"
IDEMPOTENCY_KEY_HEADER = "idempotency-key"
MAX_KEYS_PER_REQUEST = 1000


class CallerApi:
    """The HTTP interface of a daemon for callers.

    The daemon that receives a call from its caller is the entry of the call.

    :param header_names: names of the header fields used with callers.
    :param routes_only: whether requests that match no route are refused. Otherwise
        the first segment of their path is the name of the service.
    :ivar quotas: decides whether calls are within the quotas of their accounts; set
        before the first call.
    :ivar account_calls: counts the calls of client accounts.
    :ivar stall_ms: time without progress after which a body or a response is given up.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        runner: CallRunner,
        keyed_calls: KeyedCalls,
        key_table: KeyTable,
        metrics: Metrics,
        header_names: HeaderNames,
        routes_only: bool,
    ) -> None:
        self._drain_state = runner.drain_state
        self._bodies = BodyReceiver(runner.drain_state, runner.expected_ms)
        self._call_log = CallLog(feed)
        self._header_names = header_names
        self._routes = RouteLookup(feed, routes_only)
        self._members = members
        self._feed = feed
        self._runner = runner
        self._keyed_calls = keyed_calls
        self._key_table = key_table
        self._metrics = metrics
        self.account_calls = AccountCallCounts(metrics)
        self.quotas: QuotaClient | None = None
        self._memory = runner.memory
        self.stall_ms = DEFAULT_TRANSFER_STALL_MS
        self._in_flight = 0

    def app(self, body_limit_bytes: int) -> App:
        """Return the HTTP application for callers."""

        async def handle(request: Request) -> HTTPResponse | None:
            return await self._check_and_handle(request, body_limit_bytes)

        name = f"{self._members.own.daemon}-callers"
        app = new_app(name, handle, self._memory, self.stall_ms)
        app.ctx.error_response = self._error_response
        return app

    async def _check_and_handle(
        self, request: Request, body_limit_bytes: int
    ) -> HTTPResponse | None:
        if self._in_flight >= MAX_CALLS_IN_FLIGHT:
            self._record_call("", OVERLOADED, time.monotonic())
            return self._problem_response(OVERLOADED, self._request_id(request))
        self._in_flight += 1
        try:
            check_request(request, body_limit_bytes)
            return await self._handle_valid(request)
        except BodyStalled as error:
            return self._refuse(request, error, STATUS_REQUEST_TIMEOUT)
        except RequestInvalid as error:
            return self._refuse(request, error)
        except BodyTooLarge as error:
            return self._refuse(request, error, STATUS_CONTENT_TOO_LARGE)
        finally:
            self._in_flight -= 1

    def _refuse(
        self, request: Request, error: Exception, status: int = 0
    ) -> HTTPResponse:
        self._metrics.count("requests_refused")
        self._call_log.log_refusal(self._request_id(request), BAD_REQUEST, str(error))
        request.stream.keep_alive = False
        return self._problem_response(
            BAD_REQUEST, self._request_id(request), str(error), status
        )

    async def _handle_valid(self, request: Request) -> HTTPResponse | None:
        if not request.stream.protocol.hold_request(request):
            return self._refuse_for_memory(request)
        if request.raw_url.startswith(INTERNAL_PATH_PREFIX):
            return self._handle_internal(request)
        return await self.handle(request)

    def _refuse_for_memory(self, request: Request) -> HTTPResponse:
        request_id = self._request_id(request)
        self._call_log.log_refusal(request_id, OUT_OF_MEMORY, request.path)
        self._record_call("", OUT_OF_MEMORY, time.monotonic())
        return self._problem_response(OUT_OF_MEMORY, request_id)

    async def handle(self, request: Request) -> HTTPResponse | None:
        """Handle the request for one call.

        :returns: the response, or None if it has been sent already.
        """
        with self._runner.in_flight.track():
            return await self._respond(request)

    async def _respond(self, request: Request) -> HTTPResponse | None:
        started_at_s = time.monotonic()
        request_id = self._request_id(request)
        try:
            async with self._drain_state.cut_off_scope():
                prepared = await self._prepare_call(request, request_id)
        except WorkCutOff:
            prepared = DRAINING
        except (BodyStalled, BodyTooLarge, RequestInvalid):
            raise
        except Exception as error:
            prepared = self._report_failure(request_id, error)
        if isinstance(prepared, NotRun):
            response = self._problem_response(prepared, request_id)
            fields = self._describe_key(request, prepared)
            self._call_log.log_refusal(request_id, prepared, request.path, **fields)
            self._record_call("", prepared, started_at_s)
            return response
        try:
            async with self._drain_state.cut_off_scope():
                outcome, response = await self._run_call(prepared)
        except WorkCutOff:
            outcome, response = CUT_OFF, self._failure_response(prepared, CUT_OFF)
        except Exception as error:
            outcome = self._report_failure(request_id, error, prepared.may_have_run)
            response = self._failure_response(prepared, outcome)
        if isinstance(outcome, NotRun):
            _give_back(prepared.quota_grant)
        try:
            elapsed_ms = (time.monotonic() - started_at_s) * MS_PER_S
            self._call_log.log_call_end(prepared, outcome, elapsed_ms)
            self._record_call(prepared.service, outcome, started_at_s)
            if prepared.account:
                self.account_calls.add(prepared.account, outcome_name(outcome))
        except Exception as error:  # the response is ready
            self._report_failure(request_id, error)
        return response

    async def _run_call(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        key = call.request.headers.get(IDEMPOTENCY_KEY_HEADER)
        if key is None or self._is_plain_field(key):
            return await self._runner.run(call)
        call.may_have_run = True
        reply = await self._keyed_calls.run_at_holder(call, key)
        return self._keyed_response(reply, call.request_id)

    def _is_plain_field(self, key: str) -> bool:
        """Return whether a key has no meaning for the fleet and is only forwarded."""
        return self._header_names.forwards_foreign_keys and not is_key(key)

    def _failure_response(
        self, call: Call, outcome: NotRun | Unknown
    ) -> HTTPResponse | None:
        """Return the response to a call that the daemon cannot complete.

        A response that has begun cannot be completed; its connection is aborted.
        """
        if call.answer_started:
            call.request.transport.abort()
            return None
        return self._problem_response(outcome, call.request_id)

    def _report_failure(
        self, request_id: str, error: Exception, may_have_run: bool = False
    ) -> NotRun | Unknown:
        """Log an error in the code of the daemon and return the outcome of the call.

        :param may_have_run: whether the call was sent to a guard before.
        """
        self._metrics.count("requests_failed")
        get_logger().error("request failed", request_id=request_id, error=repr(error))
        return FAILED_IN_RUN if may_have_run else FAILED_BEFORE_RUN

    def _error_response(
        self, request: Request, status: int, detail: str
    ) -> HTTPResponse:
        """Return the response to a request whose handler or connection failed.

        :param status: below 500 if the request is invalid; else it may have been run.
        """
        request_id = self._request_id(request)
        if status >= SERVER_ERROR:
            return self._problem_response(FAILED_IN_RUN, request_id)
        return self._problem_response(BAD_REQUEST, request_id, detail, status)

    def _handle_internal(self, request: Request) -> HTTPResponse:
        """Answer a request to a path of the daemon itself, without reading its body."""
        if request.path != OPERATION_KEYS_PATH:
            status, detail = STATUS_NOT_FOUND, f"{request.path} does not exist"
        elif request.method != "POST":
            status, detail = STATUS_METHOD_NOT_ALLOWED, "the method must be POST"
        else:
            return self.mint_keys(request)
        return self._error_response(request, status, detail)

    def mint_keys(self, request: Request) -> HTTPResponse:
        """Return as many new operation keys as the request asks for."""
        count = request.args.get("count", "1")
        if not is_number(count) or not 1 <= int(count) <= MAX_KEYS_PER_REQUEST:
            return problem_response(BAD_REQUEST, uuid.uuid4().hex)
        keys = [str(key) for key in self._key_table.mint(int(count))]
        return json({"keys": keys})

    async def _prepare_call(self, request: Request, request_id: str) -> Call | NotRun:
        """Check a request, find its route and receive its body.

        :returns: the call, or why it is not run.
        """
        if not self._feed.has_tree:
            return NotRun(peer_pb2.NOT_RUN_REASON_STARTING, STARTING_RETRY_AFTER_MS)
        received_at_s = now_s()
        routed = await self._find_route(request)
        if isinstance(routed, NotRun):
            return routed
        service, route = routed.service, routed.route
        settings = self._route_settings(service, route)
        idempotent = request.method in settings.idempotent
        if route is not None and route.HasField("idempotent"):
            idempotent = route.idempotent
        if not (idempotent or settings.serve_when_stale) and self._feed.is_stale():
            return NotRun(STALE_SETTINGS, STALE_RETRY_AFTER_MS)
        timeout_ms = call_timeout_ms(
            request, settings.time_limit_ms, self._header_names.caller_time_limit
        )
        deadline = Deadline(received_at_s + timeout_ms / MS_PER_S)
        quota_grant = await self._admit(routed, deadline)
        if isinstance(quota_grant, NotRun):
            return quota_grant
        arrival = Arrival(
            request=request,
            request_id=request_id,
            received_at_s=received_at_s,
            deadline=deadline,
            service=service,
            route=_route_name(route),
        )
        body = await self._receive_body(arrival, quota_grant)
        if isinstance(body, NotRun):
            return body
        call = Call(
            request=request,
            request_id=request_id,
            service=service,
            path_and_query=routed.path_and_query,
            settings=settings,
            idempotent=idempotent,
            deadline=deadline,
            body=body,
            route=arrival.route,
            priority=routed.priority,
            objective=_latency_objective(route),
            caller_service=self._runner.caller_service,
            account=routed.account.name if routed.account is not None else "",
            quota_grant=quota_grant,
        )
        return self._refuse_if_draining(call, timeout_ms)

    def _refuse_if_draining(self, call: Call, time_limit_ms: int) -> Call | NotRun:
        """Return a complete call if it is accepted, as one that begins now."""
        if self._drain_state.accepts(Deadline.after_ms(time_limit_ms)):
            return call
        _give_back(call.quota_grant)
        return DRAINING

    async def _admit(
        self, routed: Routed, deadline: Deadline
    ) -> QuotaGrant | NotRun | None:
        """Return the grant of a call within the quota of its account, if it has one.

        :returns: why the call is not run, if it is refused.
        """
        if not self._drain_state.accepts(deadline):
            return DRAINING
        account = routed.account
        if account is None or account.calls_per_s <= 0:
            return None
        decision = await self.quotas.acquire(account.name, deadline)
        if isinstance(decision, NotRun):
            self.account_calls.add(account.name, outcome_name(decision))
        return decision

    async def _receive_body(
        self, arrival: Arrival, quota_grant: QuotaGrant | None
    ) -> bytes | AsyncIterator[bytes] | NotRun:
        """Return the body of a request, or why it is not received.

        :param quota_grant: given back unless the body is returned.
        """
        refusal = self._body_refusal(arrival.request, arrival.deadline)
        if refusal is not None:
            _give_back(quota_grant)
            return refusal
        try:
            return await self._bodies.receive(arrival, self.stall_ms)
        except BaseException:  # also a caller that leaves
            _give_back(quota_grant)
            raise

    async def _find_route(self, request: Request) -> Routed | NotRun:
        host, path_and_query = parse_request_target(request)
        time_left_ms = call_timeout_ms(
            request, CATCH_UP_WAIT_MS, self._header_names.caller_time_limit
        )
        key = self._account_key(request)
        return await self._routes.find(host, path_and_query, time_left_ms, key)

    def _describe_key(self, request: Request, outcome: NotRun) -> dict[str, str]:
        """Count a refused account key, and return its digest for the log.

        Operators can compare the digest with that of a key that they know.
        """
        if outcome.reason != peer_pb2.NOT_RUN_REASON_UNAUTHORIZED:
            return {}
        key = self._account_key(request)
        kind = "unknown" if key else "missing"
        self._metrics.count("requests_unauthorized", f'key="{kind}"')
        return {"key_digest": digest_key(key).hex() if key else "no key"}

    def _account_key(self, request: Request) -> str:
        """Return the account key of a request; empty if it has none or several."""
        keys = request.headers.getall(self._header_names.account_key, ())
        return keys[0] if len(keys) == 1 else ""

    def _route_settings(
        self, service: str, route: settings_pb2.Route | None
    ) -> EffectiveSettings:
        """Return the settings of a service with the overrides of a route."""
        settings = self._feed.tree.effective_settings(
            service, self._members.own.data_centre
        )
        if route is None:
            return settings
        route_values = {
            name: getattr(route, name)
            for name in ("time_limit_ms", "attempt_limit")
            if route.HasField(name)
        }
        return attrs.evolve(settings, **route_values) if route_values else settings

    def _problem_response(
        self,
        outcome: NotRun | Unknown,
        request_id: str,
        detail: str = "",
        status: int = 0,
    ) -> HTTPResponse:
        return problem_response(outcome, request_id, detail, status, self._header_names)

    def _body_refusal(self, request: Request, deadline: Deadline) -> NotRun | None:
        """Return why the body of a request is not received, or None if it is."""
        if not self._drain_state.accepts(deadline):
            return DRAINING
        return None if self._reserve_body(request) else OUT_OF_MEMORY

    def _reserve_body(self, request: Request) -> bool:
        """Reserve memory for the body of a request until its end, unless it is small.

        :returns: whether there was room.
        """
        length = request.headers.get("content-length")
        if length is None and "transfer-encoding" not in request.headers:
            return True
        purpose, size_bytes = Purpose.UPLOADS, ENTRY_UPLOAD_BYTES
        if length is not None and int(length) <= MAX_SINGLE_MESSAGE_BODY_BYTES:
            if int(length) <= FREE_BYTES:
                return True
            purpose, size_bytes = Purpose.BODIES, BODY_COPIES * int(length)
        return request.stream.protocol.hold_body(purpose, size_bytes)

    def _request_id(self, request: Request) -> str:
        value = request.headers.get(self._header_names.request_id, "")
        return value if REQUEST_ID_PATTERN.fullmatch(value) else uuid.uuid4().hex

    def _keyed_response(
        self, reply: peer_pb2.CallReply, request_id: str
    ) -> tuple[Outcome, HTTPResponse]:
        outcome = failure_outcome(reply)
        if outcome is not None:
            return outcome, self._problem_response(outcome, request_id)
        response = buffered_response(reply, request_id, self._header_names)
        return Answered(reply.head.status), response

    def _record_call(self, service: str, outcome: Outcome, started_at_s: float) -> None:
        labels = f'service="{service}",outcome="{outcome_name(outcome)}"'
        self._metrics.count("calls", labels)
        elapsed_us = (time.monotonic() - started_at_s) * 1_000_000
        self._metrics.record_us("call_latency", elapsed_us, f'service="{service}"')


def _route_name(route: settings_pb2.Route | None) -> str:
    """Return the host and path prefix of a route; empty for none."""
    return f"{route.host}{route.path_prefix}" if route is not None else ""


def _give_back(grant: QuotaGrant | None) -> None:
    """Return a call that is not run to the quota of its account."""
    if grant is not None:
        grant.give_back()


def _latency_objective(route: settings_pb2.Route | None) -> Deadline | None:
    if route is None or not route.HasField("latency_objective_ms"):
        return None
    return Deadline.after_ms(route.latency_objective_ms)
