import asyncio
import contextlib
import socket
import threading
import time
import uuid
from types import SimpleNamespace

import uvloop
from behave import given, then, when
from sanic.response import raw

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.draining import Drain
from laburnumscale.drainstate import DrainState
from laburnumscale.inflight import InFlightCounter
from laburnumscale.webserver import new_app, serve_app

REQUEST = b"GET /hold HTTP/1.1\r\nHost: a\r\n\r\n"
READ_TIMEOUT_S = 5.0
READ_BYTES = 64 * 1024
SERVE_AFTER_S = 0.5  # for the answers to requests that were read
HALF = 0.5


@given("a server that closes connections that are idle for {idle_ms:d} ms")
def step_create_server(context, idle_ms):
    context.idle_s = idle_ms / 1000
    context.body = b"ran"


@given("a server whose responses have {size_bytes:d} bytes")
def step_create_server_with_large_responses(context, size_bytes):
    context.idle_s = 60.0
    context.body = b"x" * size_bytes


async def start_server(context, port):
    async def handle(request):
        return raw(context.body)

    app = new_app(f"stop-{uuid.uuid4().hex}", handle)
    app.add_route(handle, "/_laburnumscale/routed")
    app.config.KEEP_ALIVE_TIMEOUT = context.idle_s
    return await serve_app(app, Address("127.0.0.1", port), "caller_address")


def connect(port):
    connection = socket.socket()
    connection.settimeout(READ_TIMEOUT_S)
    connection.connect(("127.0.0.1", port))
    return connection


def read_status(connection):
    """Return the status of the response, or 0 if the connection ended without one."""
    try:
        head = connection.recv(READ_BYTES)
    except OSError:
        return 0
    return int(head.split(b" ")[1]) if head else 0


async def in_thread(function, *arguments):
    return await asyncio.to_thread(function, *arguments)


def run_server(main):
    uvloop.run(main)


def send_while_suspended(suspend_s, send):
    """Block the event loop and send requests from another thread meanwhile."""
    sender = threading.Timer(suspend_s * HALF, send)
    sender.start()
    time.sleep(suspend_s)
    sender.join()


@when(
    "a request is sent on an idle connection while the server is suspended for "
    "{suspend_ms:d} ms"
)
def step_send_past_idle_timeout(context, suspend_ms):
    async def run():
        port = context.fleet.free_port()
        server = await start_server(context, port)
        connection = await in_thread(connect, port)
        await asyncio.sleep(context.idle_s * HALF)
        send_while_suspended(suspend_ms / 1000, lambda: connection.sendall(REQUEST))
        context.statuses = [await in_thread(read_status, connection)]
        connection.close()
        await server.close(Deadline.after_ms(0))

    run_server(run())


async def stop_while_suspended(server, connections, suspend_s, send):
    send_while_suspended(suspend_s, send)
    await server.stop_listening()
    server.close_idle_connections()
    await asyncio.sleep(SERVE_AFTER_S)
    statuses = [await in_thread(read_status, each) for each in connections]
    for connection in connections:
        connection.close()
    await server.close(Deadline.after_ms(0))
    return statuses


@when(
    "a request is sent on an idle connection while the server is suspended and then "
    "stops listening"
)
def step_send_at_stop(context):
    async def run():
        port = context.fleet.free_port()
        server = await start_server(context, port)
        connection = await in_thread(connect, port)
        await asyncio.sleep(SERVE_AFTER_S)
        context.statuses = await stop_while_suspended(
            server, [connection], SERVE_AFTER_S, lambda: connection.sendall(REQUEST)
        )

    run_server(run())


@when(
    "{count:d} new connections send a request while the server is suspended and then "
    "stops listening"
)
def step_connect_at_stop(context, count):
    async def run():
        port = context.fleet.free_port()
        server = await start_server(context, port)
        connections = []

        def connect_and_send():
            for _ in range(count):
                connections.append(connect(port))
                connections[-1].sendall(REQUEST)

        context.statuses = await stop_while_suspended(
            server, connections, SERVE_AFTER_S, connect_and_send
        )

    run_server(run())


@then("the request is answered")
@then("all requests are answered")
def step_check_answered(context):
    assert set(context.statuses) == {200}, context.statuses


def new_drain(server, drain_ms):
    """Return the drain of a daemon whose calls have all ended."""
    in_flight = InFlightCounter()
    guard = SimpleNamespace(
        in_flight=in_flight,
        wait_until_idle=in_flight.wait_until_idle,
        refuse_waiting_attempts=lambda: None,
    )
    state = DrainState()
    state.begin(Deadline.after_ms(drain_ms))

    async def hand_over(deadline):
        return True

    return Drain(
        state,
        SimpleNamespace(set_draining=lambda: None, peers=list),
        guard,
        SimpleNamespace(in_flight=in_flight),
        None,
        hand_over,
        server,
    )


@when(
    "{count:d} connections opened {lead_ms:d} ms before the end of the notice period "
    "of a drain of {drain_ms:d} ms send a request {pause_ms:d} ms later"
)
def step_connect_before_stop(context, count, lead_ms, drain_ms, pause_ms):
    def connect_and_send(port, wait_s):
        time.sleep(wait_s)
        connections = [connect(port) for _ in range(count)]
        time.sleep(pause_ms / 1000)
        with contextlib.suppress(OSError):
            for connection in connections:
                connection.sendall(REQUEST)
        return [read_status(connection) for connection in connections]

    async def run():
        port = context.fleet.free_port()
        server = await start_server(context, port)
        drain = new_drain(server, drain_ms)
        wait_s = drain.state.notice_deadline.earlier_by_ms(lead_ms).left_s()
        calling = asyncio.create_task(in_thread(connect_and_send, port, wait_s))
        began_at_s = time.monotonic()
        await drain.run()
        context.drain_ms = (time.monotonic() - began_at_s) * 1000
        context.statuses = await calling

    run_server(run())


def read_late(connection, pause_s):
    time.sleep(pause_s)
    received = 0
    with contextlib.suppress(OSError):
        while chunk := connection.recv(READ_BYTES):
            received += len(chunk)
    return received


@when(
    "a caller begins to read the response {pause_ms:d} ms after a drain of "
    "{drain_ms:d} ms began"
)
def step_read_late(context, pause_ms, drain_ms):
    async def run():
        port = context.fleet.free_port()
        server = await start_server(context, port)
        connection = await in_thread(connect, port)
        connection.sendall(REQUEST)
        await asyncio.sleep(SERVE_AFTER_S)
        reading = asyncio.create_task(in_thread(read_late, connection, pause_ms / 1000))
        began_at_s = time.monotonic()
        await new_drain(server, drain_ms).run()
        context.drain_ms = (time.monotonic() - began_at_s) * 1000
        context.received_bytes = await reading
        connection.close()

    run_server(run())


@then("the caller gets all bytes")
def step_check_bytes(context):
    assert context.received_bytes >= len(context.body), context.received_bytes


@then("the drain ended within {limit_ms:d} ms")
def step_check_drain_end(context, limit_ms):
    assert context.drain_ms <= limit_ms, context.drain_ms
