"""Serving.

The command lines of the stand-ins, which serve HTTP on loopback.
"""

import argparse

from aiohttp import web

__all__ = ["port_parser", "serve", "target_parser"]


def port_parser(description: str) -> argparse.ArgumentParser:
    """Return the parser of a stand-in that needs only its port."""
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--port", type=int, required=True)
    return parser


def target_parser(description: str) -> argparse.ArgumentParser:
    """Return the parser of a stand-in for one target."""
    parser = port_parser(description)
    parser.add_argument("--daemon", required=True, help="IP:PORT for targets")
    parser.add_argument("--service", required=True)
    parser.add_argument("--endpoint", required=True)
    parser.add_argument("--slots", type=int, default=5)
    parser.add_argument("--latency-ms", type=float, default=1.0)
    return parser


def serve(app: web.Application, port: int, handler_cancellation=False) -> None:
    """Serve an application until the process is ended.

    :param handler_cancellation: a handler ends when its client leaves.
    """
    web.run_app(
        app,
        host="127.0.0.1",
        port=port,
        print=lambda _: None,
        handler_cancellation=handler_cancellation,
    )
