"""Web server.

Sanic applications that share the event loop of the daemon.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable

from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import SanicException
from sanic.handlers import ErrorHandler
from sanic.http import Stage
from sanic.server.async_server import AsyncioServer
from sanic.server.protocols.http_protocol import HttpProtocol

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AddressInUse
from laburnumscale.logs import get_logger
from laburnumscale.problems import error_response

__all__ = ["App", "CallerApp", "Server", "new_app", "serve_app"]

ACCEPT_TURNS = 3
CONNECTION_LIMIT = 10_000
HEADER_TIMEOUT_S = 10
HEADER_LIMIT_BYTES = 16 * 1024
IDLE_CHECK_S = 0.02
KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024
OWN_PATHS = b"/_laburnumscale/"
RESPONSE_TIMEOUT_S = 3600
UNPARSED_METHOD = "NONE"
SMALL_BODY_LIMIT_BYTES = 1024 * 1024

Handler = Callable[[Request], Awaitable[HTTPResponse | None]]


class TypedErrorHandler(ErrorHandler):
    """Answers with a problem document, whatever went wrong."""

    def default(self, request: Request, exception: Exception) -> HTTPResponse:
        """Return the response for an exception of a handler or of the parser."""
        if not isinstance(exception, SanicException | asyncio.CancelledError):
            get_logger().error("request failed", error=repr(exception))
        status = getattr(exception, "status_code", 500)
        return error_response(status, str(exception))


class ParsedRequest(Request):
    """A request; Sanic stands in for one that it cannot parse with no method.

    Sanic would parse the URL of such a request a second time, and fail again.
    """

    def __init__(self, url_bytes: bytes, headers, version, method, *args, **kwargs):
        if method == UNPARSED_METHOD:
            url_bytes = b"*"
        super().__init__(url_bytes, headers, version, method, *args, **kwargs)


class Protocol(HttpProtocol):
    """One connection; the whole header must come within one time limit."""

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Take a connection unless there are too many."""
        if len(self.connections) >= CONNECTION_LIMIT:
            transport.abort()
            return
        super().connection_made(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget a connection that was taken."""
        if self.conn_info is not None:
            super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Take bytes, which prolong the time limit of bodies but not of headers."""
        if self.transport is None:
            return
        in_header = self.http is not None and self.http.stage is Stage.REQUEST
        header_started_at_s = self._time
        super().data_received(data)
        if in_header:
            self._time = header_started_at_s


class App(Sanic):
    """An application without signals, which cost a fifth of Sanic's own time.

    While ``ctx.draining`` is set, connections are closed after the request that
    they carry.
    """

    async def dispatch(self, *args, **kwargs) -> None:
        """Tell no one, as nothing listens to signals."""

    async def handle_request(self, request: Request) -> None:
        """Answer one request."""
        if self.ctx.draining:
            request.stream.keep_alive = False
        await super().handle_request(request)


class CallerApp(App):
    """Hands requests to ``ctx.direct``, past the router, but for those to own paths."""

    async def handle_request(self, request: Request) -> None:
        """Answer one request."""
        if request.raw_url.startswith(OWN_PATHS):
            await super().handle_request(request)
            return
        if self.ctx.draining:
            request.stream.keep_alive = False
        try:
            response = await self.ctx.direct(request)
            if response is not None:
                response = await request.respond(response)
                await response.send(end_stream=True)
        except Exception as error:
            await self.handle_exception(request, error)


def new_app(name: str, direct: Handler | None = None) -> App:
    """Return an application without log output of its own.

    :param name: unique in the process.
    :param direct: takes every request, but for those to the paths of the fleet.
    """
    kind = App if direct is None else CallerApp
    app = kind(
        "".join(c if c.isalnum() else "_" for c in f"laburnum-{name}"),
        request_class=ParsedRequest,
        error_handler=TypedErrorHandler(),
    )
    app.ctx.draining = False
    app.ctx.direct = direct
    app.config.ACCESS_LOG = False
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    app.config.MOTD = False
    app.config.REQUEST_MAX_HEADER_SIZE = HEADER_LIMIT_BYTES
    app.config.REQUEST_MAX_SIZE = SMALL_BODY_LIMIT_BYTES
    app.config.REQUEST_TIMEOUT = HEADER_TIMEOUT_S
    app.config.RESPONSE_TIMEOUT = RESPONSE_TIMEOUT_S
    app.config.TOUCHUP = False  # it rewrites shared code, once for each application
    for logger_name in ("sanic.root", "sanic.error", "sanic.server", "sanic.access"):
        logging.getLogger(logger_name).setLevel(logging.CRITICAL)
    return app


class Server:
    """A listening application."""

    def __init__(self, app: App, server: AsyncioServer) -> None:
        self._app = app
        self._server = server

    def end_kept_alive(self) -> None:
        """Close each connection after the request that it carries."""
        self._app.ctx.draining = True

    async def stop_listening(self) -> None:
        """Take no new connections, after those that are waiting to be taken."""
        self.end_kept_alive()
        # Closing resets connections that the kernel has accepted and the loop has not.
        for _ in range(ACCEPT_TURNS):
            await asyncio.sleep(0)
        self._server.server.close()

    async def close(self, deadline: Deadline) -> None:
        """Stop listening and wait for the requests in flight until a deadline."""
        self.end_kept_alive()
        self._server.close()
        while self._server.connections and not deadline.has_passed():
            for connection in list(self._server.connections):
                connection.close_if_idle()
            await asyncio.sleep(IDLE_CHECK_S)
        for connection in list(self._server.connections):
            connection.abort()


async def serve_app(app: App, address: Address, option: str) -> Server:
    """Start to serve an application on the running loop.

    :param option: the setting that holds the address, for the error.
    :raises AddressInUse: the address cannot be listened on.
    """
    try:
        server = await app.create_server(
            host=address.host,
            port=address.port,
            protocol=Protocol,
            backlog=LISTEN_BACKLOG,
            access_log=False,
            return_asyncio_server=True,
        )
    except OSError as error:
        raise AddressInUse(option, str(address), error.strerror or "") from error
    await server.startup()
    await server.start_serving()
    return Server(app, server)
