"""Web server.

Sanic applications that share the event loop of the daemon.
"""

import logging

from sanic import Sanic
from sanic.server.async_server import AsyncioServer

from laburnumscale.addresses import Address

__all__ = ["App", "new_app", "serve_app"]

KEEP_ALIVE_TIMEOUT_S = 75
LISTEN_BACKLOG = 1024


class App(Sanic):
    """An application without signals, which cost a fifth of Sanic's own time."""

    async def dispatch(self, *args, **kwargs) -> None:
        """Tell no one, as nothing listens to signals."""


def new_app(name: str, body_limit_bytes: int = 1024 * 1024) -> App:
    """Return an application without log output of its own.

    :param name: unique in the process.
    :param body_limit_bytes: size of the largest request body.
    """
    app = App("".join(c if c.isalnum() else "_" for c in f"laburnum-{name}"))
    app.config.ACCESS_LOG = False
    app.config.FALLBACK_ERROR_FORMAT = "json"
    app.config.KEEP_ALIVE_TIMEOUT = KEEP_ALIVE_TIMEOUT_S
    app.config.MOTD = False
    app.config.REQUEST_MAX_SIZE = body_limit_bytes
    app.config.RESPONSE_TIMEOUT = 3600
    app.config.TOUCHUP = False  # it rewrites shared code, once for each application
    for logger_name in ("sanic.root", "sanic.error", "sanic.server", "sanic.access"):
        logging.getLogger(logger_name).setLevel(logging.CRITICAL)
    return app


async def serve_app(app: Sanic, address: Address) -> AsyncioServer:
    """Start to serve an application on the running loop."""
    server = await app.create_server(
        host=address.host,
        port=address.port,
        backlog=LISTEN_BACKLOG,
        access_log=False,
        return_asyncio_server=True,
    )
    await server.startup()
    await server.start_serving()
    return server
