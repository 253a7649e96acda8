"""Web server.

Runs Sanic applications on the event loop of the daemon.
"""

import asyncio
import itertools
import logging
import select
import time
from collections.abc import Awaitable, Callable

from sanic import HTTPResponse, Request, Sanic
from sanic.compat import Header
from sanic.exceptions import SanicException
from sanic.handlers import ErrorHandler
from sanic.response import BaseHTTPResponse
from sanic.server.async_server import AsyncioServer

from laburnumscale.addresses import Address
from laburnumscale.callerconnection import (
    UPLOAD_READ_BYTES,
    CallerConnection,
    relieve_memory,
)
from laburnumscale.daemonsettings import DEFAULT_TRANSFER_STALL_MS
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import AddressInUse
from laburnumscale.logs import get_logger
from laburnumscale.memory import CONNECTION_BYTES, MemoryBudget, connection_limit
from laburnumscale.problems import error_response

__all__ = [
    "KEEP_ALIVE_TIMEOUT_S",
    "MAX_HEADER_BYTES",
    "App",
    "CallerApp",
    "Server",
    "new_app",
    "serve_app",
]

#: Iterations of the event loop until a connection is set up and its request is read.
SETUP_LOOP_ITERATIONS = 3
MAX_CONNECTIONS = 10_000
#: Longer than the 3 s in which callers send a header section.
HEADER_TIMEOUT_S = 10
MAX_HEADER_BYTES = 64 * 1024
IDLE_POLL_INTERVAL_S = 0.02
MIN_CLOSE_POLLS = 3
KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024
#: Many responses may wait for memory at a time.
RELIEF_INTERVAL_S = 0.2
RESPONSE_TIMEOUT_S = 3600
#: Method of the placeholder that Sanic creates for a request that it cannot parse.
INVALID_REQUEST_METHOD = "NONE"
#: Applies unless a handler sets another limit, as for the requests of callers.
DEFAULT_MAX_BODY_BYTES = 1024 * 1024

Handler = Callable[[Request], Awaitable[HTTPResponse | None]]


class ProblemErrorHandler(ErrorHandler):
    """Responds to every exception with a problem document."""

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        """Return the response for an exception from a handler or the parser."""
        if not isinstance(exception, SanicException | asyncio.CancelledError):
            get_logger().error("request failed", error=repr(exception))
        status = getattr(exception, "status_code", 500)
        return request.app.ctx.error_response(request, status, str(exception))


class LenientRequest(Request):
    """A request whose URL is not parsed if Sanic could not parse the request.

    Sanic creates a placeholder for such a request in order to respond with an error.
    It would parse the invalid URL again and fail a second time.
    """

    def __init__(self, url_bytes: bytes, headers, version, method, *args, **kwargs):
        if method == INVALID_REQUEST_METHOD:
            url_bytes = b"*"
        coding = headers.get("transfer-encoding")
        if coding is not None:  # Sanic compares it with "chunked"
            headers["transfer-encoding"] = coding.strip().lower()
        super().__init__(url_bytes, headers, version, method, *args, **kwargs)

    async def respond(self, *args, **kwargs) -> BaseHTTPResponse:
        """Start the response; while the application drains, it ends the connection."""
        if self.app.ctx.draining:
            self.stream.keep_alive = False
        return await super().respond(*args, **kwargs)


class App(Sanic):
    """An application that dispatches no signals.

    Dispatching them takes a fifth of Sanic's own processing time.

    While ``ctx.draining`` is set, each connection is closed after its current
    request.
    """

    async def dispatch(self, *args, **kwargs) -> None:
        """Do nothing, as no signal has a handler."""


class CallerApp(App):
    """An application that passes all requests to ``ctx.call_handler`` without routing.

    The handler decides whether and how the body of a request is received. Sanic would
    collect it in memory before the handler of a route runs.
    """

    async def handle_request(self, request: Request) -> None:
        """Handle one request."""
        connection = request.stream.protocol
        connection.discards_since_s = 0.0
        try:
            response = await self.ctx.call_handler(request)
            if response is not None:
                response = await request.respond(response)
                await response.send(end_stream=True)
        except Exception as error:
            await self.handle_exception(request, error)
        finally:
            connection.release_request()
            forget_request(request)
        if request.stream is not None and request.stream.request_body:
            connection.discards_since_s = time.monotonic()


def forget_request(request: Request) -> None:
    """Free the header section of a request that was handled.

    Sanic refers to the request while it reads the rest of its body, and to the last
    request of each connection for as long as that is open.
    """
    request.head = b""
    request.headers = Header()


def new_app(
    name: str,
    call_handler: Handler | None = None,
    memory: MemoryBudget | None = None,
    stall_ms: int = DEFAULT_TRANSFER_STALL_MS,
) -> App:
    """Return an application that writes no logs of its own.

    :param name: name of the application, unique in the process.
    :param call_handler: handles all requests; if None, requests are routed.
    :param memory: covers the connections and their buffers; None for no limit.
    :param stall_ms: time without progress after which a response is given up.
    """
    app_class = App if call_handler is None else CallerApp
    app = app_class(
        "".join(c if c.isalnum() else "_" for c in f"laburnum-{name}"),
        request_class=LenientRequest,
        error_handler=ProblemErrorHandler(),
    )
    app.ctx.draining = False
    app.ctx.call_handler = call_handler
    app.ctx.error_response = _error_response
    app.ctx.memory = memory or MemoryBudget()
    app.ctx.read_buffer = memoryview(bytearray(UPLOAD_READ_BYTES))
    app.ctx.scanned_at_s = 0.0
    app.ctx.relieved_at_s = 0.0
    app.ctx.stall_s = stall_ms / MS_PER_S
    app.ctx.max_connections = MAX_CONNECTIONS
    if memory is not None:
        app.ctx.max_connections = memory.connection_share(
            CONNECTION_BYTES, min(MAX_CONNECTIONS, connection_limit())
        )
    app.config.ACCESS_LOG = False
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    app.config.MOTD = False
    app.config.REQUEST_MAX_HEADER_SIZE = MAX_HEADER_BYTES
    app.config.REQUEST_MAX_SIZE = DEFAULT_MAX_BODY_BYTES
    app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.TOUCHUP = False  # rewrites shared code, once per application
    if call_handler is not None:
        # Sanic starts no application without a route.
        app.add_route(call_handler, "/", name="all")
    for logger_name in ("sanic.root", "sanic.error", "sanic.server", "sanic.access"):
        logging.getLogger(logger_name).setLevel(logging.CRITICAL)
    return app


def _error_response(request: Request, status: int, detail: str) -> HTTPResponse:
    return error_response(status, detail)


class Server:
    """An application that listens on an address."""

    def __init__(self, app: App, server: AsyncioServer) -> None:
        self._app = app
        self._server = server
        app.ctx.memory.on_shortage = self.relieve_memory

    def relieve_memory(self) -> None:
        """Let connections give back memory because a response waits for some."""
        context = self._app.ctx
        now_s = time.monotonic()
        if now_s - context.relieved_at_s > RELIEF_INTERVAL_S:
            context.relieved_at_s = now_s
            relieve_memory(self._server.connections)

    def disable_keep_alive(self) -> None:
        """Close each connection after its current request."""
        self._app.ctx.draining = True

    async def stop_listening(self) -> None:
        """Accept the connections that are pending, then stop listening."""
        self.disable_keep_alive()
        # Closing the socket resets connections that the kernel has accepted but the
        # event loop has not; it accepts one in each iteration.
        for _ in range(LISTEN_BACKLOG):
            if not self._has_pending_connections():
                break
            await asyncio.sleep(0)
        self._server.server.close()
        for _ in range(SETUP_LOOP_ITERATIONS):
            await asyncio.sleep(0)

    async def wait_for_first_requests(self, deadline: Deadline) -> None:
        """Wait until no open connection awaits its first request.

        A caller that has just connected has not learned of the drain.
        """
        while any(each.awaits_first_request() for each in self._server.connections):
            if deadline.has_passed():
                return
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)

    def _has_pending_connections(self) -> bool:
        pending = select.poll()
        for each in self._server.server.sockets:
            pending.register(each.fileno(), select.POLLIN)
        return bool(pending.poll(0))

    def close_idle_connections(self) -> None:
        """Close the connections that wait for their next request."""
        for connection in list(self._server.connections):
            connection.close_if_idle()

    async def wait_until_sent(self, deadline: Deadline) -> bool:
        """Wait until all responses that were written have been sent.

        :returns: whether all were sent before the deadline.
        """
        while any(each.has_unsent_data() for each in self._server.connections):
            if deadline.has_passed():
                return False
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        return True

    async def close(self, deadline: Deadline) -> None:
        """Stop listening and wait for the requests in flight until the deadline.

        Connections that are still open at the deadline are aborted.
        """
        self.disable_keep_alive()
        self._server.close()
        for number in itertools.count(1):
            self.close_idle_connections()
            # After a pause of the process the deadline may have passed before the
            # handlers had a turn.
            is_over = deadline.has_passed() and number > MIN_CLOSE_POLLS
            if not self._server.connections or is_over:
                break
            await asyncio.sleep(IDLE_POLL_INTERVAL_S)
        for connection in list(self._server.connections):
            connection.abort()


async def serve_app(app: App, address: Address, option: str) -> Server:
    """Start to serve an application on the running event loop.

    :param option: name of the setting with the address, for the error.
    :raises AddressInUse: the server cannot listen on the address.
    """
    try:
        server = await app.create_server(
            host=address.host,
            port=address.port,
            protocol=CallerConnection,
            backlog=LISTEN_BACKLOG,
            access_log=False,
            return_asyncio_server=True,
        )
    except OSError as error:
        raise AddressInUse(option, str(address), error.strerror or "") from error
    await server.startup()
    await server.start_serving()
    return Server(app, server)
