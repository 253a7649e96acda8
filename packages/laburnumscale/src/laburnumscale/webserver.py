"""Web server.

Runs Sanic applications on the event loop of the daemon.
"""

import asyncio
import itertools
import logging
import select
import time
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.handlers import ErrorHandler
from sanic.http import Stage
from sanic.response import BaseHTTPResponse
from sanic.server.async_server import AsyncioServer
from sanic.server.protocols.http_protocol import HttpProtocol

from laburnumscale.addresses import Address
from laburnumscale.daemonsettings import DEFAULT_TRANSFER_STALL_MS
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import AddressInUse
from laburnumscale.logs import get_logger
from laburnumscale.memory import (
    CONNECTION_BYTES,
    FREE_BYTES,
    MemoryBudget,
    Purpose,
    Reservation,
    connection_limit,
)
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
#: A connection that waits so long for its next request may be closed if there are too
#: many. Callers use a connection again within 15 s, or not at all.
EVICTABLE_IDLE_S = 16
#: As above, for a connection whose header section is incomplete.
EVICTABLE_HEADER_S = 4
#: Connections that are closed at once to make room for new ones.
MAX_EVICTED_CONNECTIONS = 32
#: A flood of connections or data does not cause more scans of all connections.
SCAN_INTERVAL_S = 0.2
#: Time to read the rest of a body after its request was answered, so that the caller
#: gets the response before the connection is closed.
DISCARD_TIMEOUT_S = 5
MAX_HEADER_BYTES = 64 * 1024
IDLE_POLL_INTERVAL_S = 0.02
MIN_CLOSE_POLLS = 3
#: Time after the opening of a connection in which its caller sends the first request.
FIRST_REQUEST_TIMEOUT_MS = 500
KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024
INTERNAL_PATH_PREFIX = b"/_laburnumscale/"
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
        super().__init__(url_bytes, headers, version, method, *args, **kwargs)

    async def respond(self, *args, **kwargs) -> BaseHTTPResponse:
        """Start the response; while the application drains, it ends the connection."""
        if self.app.ctx.draining:
            self.stream.keep_alive = False
        return await super().respond(*args, **kwargs)


class LimitedHttpProtocol(HttpProtocol):
    """A connection with a limit on the time to receive the complete header section.

    The number of connections is limited as well. If the application has a memory
    budget, it covers the connections and what their buffers hold.

    :ivar reservation: memory that is held for the body of the request in progress.
    :ivar discards_since_s: since when the rest of a body is read whose request was
        answered; 0 if none is.
    """

    __slots__ = (
        "_accounted_bytes",
        "_first_request_due",
        "_is_counted",
        "_unsent_bytes",
        "_unsent_since_s",
        "discards_since_s",
        "reservation",
    )

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._first_request_due: Deadline | None = None
        self.reservation: Reservation | None = None
        self._accounted_bytes = 0
        self.discards_since_s = 0.0
        self._is_counted = False
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    @property
    def _memory(self) -> MemoryBudget:
        return self.app.ctx.memory

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept a connection unless there are too many."""
        if not self._has_room_for_connection():
            transport.abort()
            return
        self._is_counted = True
        super().connection_made(transport)
        self._first_request_due = Deadline.after_ms(FIRST_REQUEST_TIMEOUT_MS)

    def _has_room_for_connection(self) -> bool:
        limit = self.app.ctx.max_connections
        if len(self.connections) >= limit:
            self._evict_waiting()
        if len(self.connections) >= limit:
            return False
        return self._memory.reserve(Purpose.CONNECTIONS, CONNECTION_BYTES)

    def _evict_waiting(self) -> None:
        """Close the connections that have waited longest for their callers.

        Those with a request in progress are kept.
        """
        if not self._may_scan():
            return
        candidates = [each for each in self.connections if each.is_evictable()]
        candidates.sort(key=lambda each: each.waits_since_s)
        for connection in candidates[:MAX_EVICTED_CONNECTIONS]:
            connection.drop("too many connections")

    def _may_scan(self) -> bool:
        """Return whether all connections may be looked at again, and record it."""
        context = self.app.ctx
        now_s = time.monotonic()
        if now_s - context.scanned_at_s < SCAN_INTERVAL_S:
            return False
        context.scanned_at_s = now_s
        return True

    @property
    def waits_since_s(self) -> float:
        """Return since when the connection waits for its caller."""
        return self._time

    def is_evictable(self) -> bool:
        """Return whether the caller has kept the connection waiting for too long."""
        if self.http is None or self.transport is None:
            return False
        waited_s = time.monotonic() - self._time
        if self.http.stage is Stage.IDLE:
            return waited_s > EVICTABLE_IDLE_S
        return self.http.stage is Stage.REQUEST and waited_s > EVICTABLE_HEADER_S

    def drop(self, reason: str) -> None:
        """Close the connection at once, and release what is held for it."""
        get_logger().info("connection of a caller closed", reason=reason)
        transport = self.transport
        self.connections.discard(self)
        self._release_all()
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after a connection unless it was rejected."""
        self._release_all()
        if self.conn_info is not None:
            super().connection_lost(exc)

    def _release_all(self) -> None:
        if self._is_counted:
            self._is_counted = False
            self._memory.release(Purpose.CONNECTIONS, CONNECTION_BYTES)
        if self._accounted_bytes:
            self._memory.release(Purpose.PARSERS, self._accounted_bytes)
            self._accounted_bytes = 0

    def data_received(self, data: bytes) -> None:
        """Process received bytes.

        They restart the timeout while a body is received, but not while the header
        section is received.
        """
        if self.transport is None:
            return
        self._first_request_due = None
        in_header_section = self.http is not None and self.http.stage is Stage.REQUEST
        header_started_at_s = self._time
        super().data_received(data)
        if in_header_section:
            self._time = header_started_at_s
        if len(self.recv_buffer) > FREE_BYTES:
            self.account_buffers()

    def receive_more(self) -> Coroutine[Any, Any, None]:
        """Wait for more bytes, after those in the buffer were used."""
        if self._accounted_bytes:
            self.account_buffers()
        return super().receive_more()

    def send(self, data: bytes) -> Coroutine[Any, Any, None]:
        """Send a part of a response once there is room in the write buffer."""
        if len(data) > FREE_BYTES:
            return self._send_accounted(data)
        return super().send(data)

    async def _send_accounted(self, data: bytes) -> None:
        await super().send(data)
        self.account_buffers()

    def account_buffers(self) -> None:
        """Adjust what is reserved for the buffers; close the connection without room.

        What a transfer holds is reserved by the call that makes it.
        """
        if self.transport is None or not self._is_counted:
            return
        held_bytes = 0
        reservation = self.reservation
        if reservation is None or reservation.purpose is not Purpose.UPLOADS:
            held_bytes = len(self.recv_buffer) + self.transport.get_write_buffer_size()
        if held_bytes <= FREE_BYTES:
            held_bytes = 0
        change = held_bytes - self._accounted_bytes
        if change <= 0:
            self._memory.release(Purpose.PARSERS, -change)
        elif not self._reserve_buffers(change):
            self.drop("no memory")
            return
        self._accounted_bytes = held_bytes

    def _reserve_buffers(self, size_bytes: int) -> bool:
        """Reserve memory for buffers, if need be after those of others are checked.

        Buffers that the callers have emptied since are still reserved.
        """
        if self._memory.reserve(Purpose.PARSERS, size_bytes):
            return True
        if not self._may_scan():
            return False
        for connection in tuple(self.connections):
            if connection.has_accounted_buffers and connection is not self:
                connection.account_buffers()
        return self._memory.reserve(Purpose.PARSERS, size_bytes)

    @property
    def has_accounted_buffers(self) -> bool:
        """Return whether memory is reserved for the buffers."""
        return self._accounted_bytes > 0

    def check_timeouts(self) -> None:
        """Close the connection if it has waited for its caller for too long."""
        if self.transport is not None and self._task is not None:
            if self._accounted_bytes:
                self.account_buffers()
            if self._has_stalled():
                self.drop("stalled")
                return
        super().check_timeouts()

    def _has_stalled(self) -> bool:
        """Return whether the caller takes no bytes, or still sends an answered body."""
        if self.transport is None:
            return False
        now_s = time.monotonic()
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes or not unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_s = now_s
        stalled_s = now_s - max(self._unsent_since_s, self._time)
        if unsent_bytes and stalled_s > self.app.ctx.stall_s:
            return True
        is_discarding = self.discards_since_s and self.http and self.http.request_body
        return bool(is_discarding) and (
            now_s - self.discards_since_s > DISCARD_TIMEOUT_S
        )

    def has_unsent_data(self) -> bool:
        """Return whether a part of a response is still to be sent."""
        return self.transport is not None and (
            self.transport.get_write_buffer_size() > 0
        )

    def awaits_first_request(self) -> bool:
        """Return whether the connection is new and has received nothing yet."""
        due = self._first_request_due
        return due is not None and not due.has_passed()

    def close_if_idle(self) -> bool:
        """Close the connection unless it has received a part of a request or is new.

        :returns: whether the connection was closed.
        """
        if self.recv_buffer or self.awaits_first_request():
            return False
        return super().close_if_idle()


class App(Sanic):
    """An application that dispatches no signals.

    Dispatching them takes a fifth of Sanic's own processing time.

    While ``ctx.draining`` is set, each connection is closed after its current
    request.
    """

    async def dispatch(self, *args, **kwargs) -> None:
        """Do nothing, as no signal has a handler."""


class CallerApp(App):
    """An application that passes requests to ``ctx.call_handler`` without routing them.

    Only requests to the paths below ``INTERNAL_PATH_PREFIX`` are routed.
    """

    async def handle_request(self, request: Request) -> None:
        """Handle one request."""
        if request.raw_url.startswith(INTERNAL_PATH_PREFIX):
            await super().handle_request(request)
            return
        protocol = request.stream.protocol
        protocol.discards_since_s = 0.0
        try:
            response = await self.ctx.call_handler(request)
            if response is not None:
                response = await request.respond(response)
                await response.send(end_stream=True)
        except Exception as error:
            await self.handle_exception(request, error)
        finally:
            if protocol.reservation is not None:
                protocol.reservation.release()
                protocol.reservation = None
        if request.stream is not None and request.stream.request_body:
            protocol.discards_since_s = time.monotonic()


def new_app(
    name: str,
    call_handler: Handler | None = None,
    memory: MemoryBudget | None = None,
    stall_ms: int = DEFAULT_TRANSFER_STALL_MS,
) -> App:
    """Return an application that writes no logs of its own.

    :param name: name of the application, unique in the process.
    :param call_handler: handles all requests except those to the fleet's internal
        paths; if None, all requests are routed.
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
    app.ctx.scanned_at_s = 0.0
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
            protocol=LimitedHttpProtocol,
            backlog=LISTEN_BACKLOG,
            access_log=False,
            return_asyncio_server=True,
        )
    except OSError as error:
        raise AddressInUse(option, str(address), error.strerror or "") from error
    await server.startup()
    await server.start_serving()
    return Server(app, server)
