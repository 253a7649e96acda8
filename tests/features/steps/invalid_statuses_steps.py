import asyncio
import http.client
import itertools
import json
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

import aiohttp
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.attempttable import AttemptTable
from laburnumscale.callerapi import CallerApi
from laburnumscale.calls import CallRunner
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import failure_outcome, unknown_reply
from laburnumscale.guard import Guard
from laburnumscale.headernames import HeaderNames
from laburnumscale.health import TargetHealth
from laburnumscale.localtarget import LocalTarget
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import NotRun, Unknown, outcome_name, reason_name
from laburnumscale.recovery import TargetRecovery
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.routelookup import Routed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls
from laburnumscale.transmission import SendOnceRequest, TargetConnector
from laburnumscale.webserver import serve_app
from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import RoutingEntry, new_call

SERVICE = "slot-desk"
NUMBERS = itertools.count(1)
FEED = SimpleNamespace(
    tree=SimpleNamespace(
        effective_settings=lambda *place: EffectiveSettings(), revision=0
    ),
    is_stale=lambda: False,
    has_tree=True,
    describe_age=dict,
)


@given("a target that answers with the status line {line}")
def step_set_line(context, line):
    context.line = line


@given("a target whose answer {line} states {size:d} bytes")
def step_set_line_and_size(context, line, size):
    context.line, context.size_bytes = line, size


@when("its guard sends it an attempt")
def step_send_attempt(context):
    context.reply = asyncio.run(send_attempt(context.line))


@when("its guard sends it an attempt with the method {method}")
def step_send_attempt_with_method(context, method):
    context.reply = asyncio.run(send_attempt(context.line, method, context.size_bytes))


async def send_attempt(line, method="GET", size_bytes=0):
    """Return the reply of a guard whose target writes a status line and a length."""

    async def serve(reader, writer):
        with suppress(OSError, EOFError):
            await reader.readuntil(b"\r\n\r\n")
            head = f"HTTP/1.1 {line}\r\nContent-Length: {size_bytes}\r\n\r\n"
            writer.write(head.encode())
            await writer.drain()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with (
        server,
        aiohttp.ClientSession(
            connector=TargetConnector(limit=0), request_class=SendOnceRequest
        ) as session,
    ):
        guard = build_guard(session, server.sockets[0].getsockname()[1])
        head = peer_pb2.CallHead(
            attempt=peer_pb2.AttemptId(
                entry="d1", entry_incarnation=1, guard_incarnation=1, sequence=1
            ),
            request_id="r1",
            service=SERVICE,
            endpoint="e1",
            method=method,
            path_and_query="/",
            time_left_ms=2000,
            send_left_ms=1000,
        )
        replies = [reply async for reply in guard.run_attempt(head, b"")]
    return replies[-1]


def build_guard(session, port):
    target = LocalTarget(
        service=SERVICE,
        endpoint="e1",
        address=Address("127.0.0.1", port),
        slots=4,
        state=peer_pb2.TARGET_STATE_READY,
        lease_deadline=Deadline.after_ms(10_000),
    )
    metrics = Metrics()
    recovery = TargetRecovery(session, metrics, lambda: None)
    return Guard(
        peer_pb2.Member(daemon="d1"),
        SimpleNamespace(
            get=lambda service, endpoint: target,
            find_at=lambda address: target,
        ),
        FEED,
        TargetHealth(recovery, LoopStalls(), metrics),
        session,
        metrics,
        AttemptTable(1),
        HeaderNames(),
    )


@then("the reply is {expected}")
def step_check_reply(context, expected):
    outcome = failure_outcome(context.reply)
    found = f"status {context.reply.head.status}"
    if outcome is not None:
        found = f"{outcome_name(outcome)} {reason_name(outcome)}"
    assert found == expected, found


class _OddGuards:
    """Guards that forward a status as they got it.

    :ivar attempts: number of attempts that were sent to them.
    """

    def __init__(self, status):
        self.status = status
        self.attempts = 0

    @asynccontextmanager
    async def send(self, view, request):
        self.attempts += 1
        head = peer_pb2.ReplyHead(status=self.status)
        yield peer_pb2.CallReply(head=head, end=True), None


@given("a guard that replies with the status {status:d}")
def step_create_guards(context, status):
    context.guards = _OddGuards(status)


class _ReplyingGuards:
    """Guards that send given replies, one for each attempt."""

    def __init__(self, replies):
        self.replies = replies
        self.attempts = 0

    @asynccontextmanager
    async def send(self, view, request):
        text = self.replies[self.attempts]
        self.attempts += 1
        if text == "unknown":
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_CUT_SHORT), None
            return
        head = peer_pb2.ReplyHead(status=int(text.removeprefix("part of ")))
        yield peer_pb2.CallReply(head=head, end=not text.startswith("part of")), None


@given("guards that reply in turn with {replies}")
def step_create_replying_guards(context, replies):
    context.guards = _ReplyingGuards(replies.split(", "))


@when("an entry makes a call that {kind}, with {count:d} targets")
def step_make_call(context, kind, count):
    entry = RoutingEntry()
    for index in range(count):
        entry.merge(index)
    runner = CallRunner(
        context.guards, entry.router, Metrics(), RetryBudget(), HeaderNames()
    )
    request = SimpleNamespace(method="GET", headers={})
    call = new_call(idempotent=kind == "may be repeated", request=request)
    context.outcome, context.caller_response = asyncio.run(runner.run(call))


@then("the outcome is {expected} after {count:d} attempts")
def step_check_outcome(context, expected, count):
    found = f"{outcome_name(context.outcome)} {reason_name(context.outcome)}"
    assert found == expected, found
    assert context.guards.attempts == count, context.guards.attempts


@then("the caller gets the status {status:d}")
def step_check_caller_status(context, status):
    assert context.caller_response.status == status, context.caller_response.status


class _Bug(Exception):
    """An error that nobody expects."""


@given("an entry whose code fails {moment}")
def step_create_failing_entry(context, moment):
    context.moment = moment


@when("a caller sends it a request")
def step_send_request(context):
    context.response, context.document = asyncio.run(request_failing(context.moment))


async def request_failing(moment):
    """Return the response of an entry whose code fails at some moment."""
    entry = RoutingEntry()
    entry.merge(0)
    metrics = Metrics()

    class _Guards:
        @asynccontextmanager
        async def send(self, view, request):
            if moment == "after an attempt":
                raise _Bug(moment)
            head = peer_pb2.ReplyHead(status=200)
            body = b'{"outcome": "answered"}'
            yield peer_pb2.CallReply(head=head, body=body, end=True), None

    runner = CallRunner(_Guards(), entry.router, metrics, RetryBudget(), HeaderNames())
    if moment == "while it finds a target":
        entry.router.pick = fail
    # Sanic wants a new name for each application of a process.
    entry.members.own.daemon = f"entry-{next(NUMBERS)}"
    api = CallerApi(
        entry.members, FEED, runner, None, None, metrics, HeaderNames(), False
    )
    api._find_route = find_route
    if moment == "before it makes an attempt":
        api._route_settings = fail
    if moment == "while it logs the call":
        api._call_log = SimpleNamespace(log_call_end=fail)
    app = api.app(1024)
    if moment == "while it sends the answer":
        handle = app.ctx.call_handler

        async def respond_badly(request):
            response = await handle(request)
            response.status = 0
            return response

        app.ctx.call_handler = respond_badly
    # Port 0 gives a free port.
    server = await serve_app(app, Address("127.0.0.1", 0), "caller_address")
    port = server._server.server.sockets[0].getsockname()[1]
    try:
        return await asyncio.to_thread(get, port)
    finally:
        await server.close(Deadline.after_ms(0))


async def find_route(request):
    return Routed(service=SERVICE, route=None, path_and_query="/x")


def fail(*args, **kwargs):
    raise _Bug


def get(port):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=5)
    connection.request("GET", f"/{SERVICE}/x", headers={"X-Request-Id": "r7"})
    response = connection.getresponse()
    document = json.loads(response.read())
    connection.close()
    return response, document


@then("the caller gets the status {status:d} with the outcome {outcome}")
def step_check_status(context, status, outcome):
    found = context.response.status, context.document["outcome"]
    assert found == (status, outcome), (found, context.document)
    assert context.response.getheader("X-Request-Id") == "r7"


@then("the reason {number:d} of a call that was not run is named {name}")
def step_check_not_run_name(context, number, name):
    assert reason_name(NotRun(number)) == name


@then("the reason {number:d} of an unknown outcome is named {name}")
def step_check_unknown_name(context, number, name):
    assert reason_name(Unknown(number)) == name
