"""Serving.

Command line parsers and the HTTP server that the stand-ins share.
"""

import argparse

from aiohttp import web

from tests.standins.crashing import add_crash_options

__all__ = ["port_parser", "serve", "target_parser"]

#: More than a header section within the limits of daemons has.
MAX_HEADERS = 8192


def port_parser(description: str) -> argparse.ArgumentParser:
    """Return the command line parser of a stand-in that takes only a port."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    return parser


def target_parser(description: str) -> argparse.ArgumentParser:
    """Return the command line parser of a stand-in for one target."""
    parser = port_parser(description)
    parser.add_argument(
        "--daemon", required=True, help="IP:PORT of the daemon for targets"
    )
    parser.add_argument("--service", required=True)
    parser.add_argument("--endpoint", required=True)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--latency-ms", type=float, default=1.0)
    add_crash_options(parser)
    return parser


def serve(app: web.Application, port: int, handler_cancellation=False) -> None:
    """Serve an application on the loopback address until the process is stopped.

    :param port: TCP port.
    :param handler_cancellation: whether a handler is cancelled when its client
        disconnects.
    """
    web.run_app(
        app,
        host="127.0.0.1",
        port=port,
        print=lambda _: None,
        handler_cancellation=handler_cancellation,
        max_headers=MAX_HEADERS,
    )
