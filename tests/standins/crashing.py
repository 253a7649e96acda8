"""Crashing requests.

Records the requests that reach a stand-in and ends its process as some of them run.
"""

import argparse
import asyncio
import json
import os
import time
from pathlib import Path

from aiohttp import web

__all__ = ["CrashingRequests", "add_crash_options", "read_arrivals"]

EXIT_CODE = 70
ENDING_S = 3600.0
ID_FIELDS = ("X-Request-Id", "X-Attempt-Id")


def add_crash_options(parser: argparse.ArgumentParser) -> None:
    """Add the command line options that ``CrashingRequests`` reads."""
    parser.add_argument(
        "--crash-on", default="", help="text in the path of requests that crash"
    )
    parser.add_argument(
        "--crash-on-header",
        default="",
        help="NAME=TEXT of a header field that such requests must have, too",
    )
    parser.add_argument("--crash-after-ms", type=float, default=100.0)
    parser.add_argument(
        "--arrivals-file",
        default="",
        help="file of the requests that arrived, kept after the process ends",
    )


class CrashingRequests:
    """The requests that end the process of a stand-in, as its options say."""

    def __init__(self, options: argparse.Namespace) -> None:
        self._options = options

    async def admit(self, request: web.Request) -> None:
        """Record a request before it runs.

        A request that ends the process is never answered; the process ends even if
        its caller disconnects before.
        """
        ends_process = self._ends_process(request)
        ids = {name: request.headers.get(name, "") for name in ID_FIELDS}
        self._write(request, event="arrival", ids=ids, ends_process=ends_process)
        if ends_process:
            delay_s = self._options.crash_after_ms / 1000
            asyncio.get_running_loop().call_later(delay_s, self._end_process, request)
            await asyncio.sleep(ENDING_S)

    def _ends_process(self, request: web.Request) -> bool:
        options = self._options
        if not options.crash_on or options.crash_on not in request.path_qs:
            return False
        name, _, text = options.crash_on_header.partition("=")
        return not name or request.headers.get(name, "") == text

    def _end_process(self, request: web.Request) -> None:
        self._write(request, event="end")
        os._exit(EXIT_CODE)

    def _write(self, request: web.Request, **fields) -> None:
        if not self._options.arrivals_file:
            return
        entry = {
            "at_s": time.time(),
            "endpoint": self._options.endpoint,
            "method": request.method,
            "path": request.path_qs,
            **fields,
        }
        # All targets of a fleet append to the same file: one write for each line.
        with open(self._options.arrivals_file, "ab", buffering=0) as file:
            file.write(json.dumps(entry).encode() + b"\n")


def read_arrivals(path: Path, event: str) -> list[dict]:
    """Return the entries of an arrivals file that record an event, oldest first.

    :param event: ``arrival`` of a request, or ``end`` of the process that ran it.
    """
    if not path.exists():
        return []
    lines = path.read_text().splitlines(keepends=True)
    entries = [json.loads(line) for line in lines if line.endswith("\n")]
    found = [entry for entry in entries if entry["event"] == event]
    return sorted(found, key=lambda entry: entry["at_s"])
