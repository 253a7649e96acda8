"""Streams.

What the stand-ins of the log and of the platform's store share.
"""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Iterable

import attrs
from aiohttp import web

__all__ = ["FaultyApp", "Stream", "abort", "reset_on_close"]


@attrs.define(eq=False)
class Stream:
    """Records of one stream; ``oldest`` is the offset of the first kept one."""

    records: list[bytes] = attrs.field(factory=list)
    oldest: int = 0
    appended: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    @property
    def next(self) -> int:
        """Return the offset of the next record."""
        return self.oldest + len(self.records)

    async def append(self, records: Iterable[bytes]) -> int:
        """Append records and return the offset of the first."""
        offset = self.next
        self.records.extend(records)
        async with self.appended:
            self.appended.notify_all()
        return offset

    async def wait(self, offset: int, wait_s: float) -> None:
        """Wait until there is a record at an offset, or for a time."""
        if offset < self.next or not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s), self.appended:
                await self.appended.wait_for(lambda: self.next > offset)
        except TimeoutError:
            return

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        del self.records[: max(0, offset - self.oldest)]
        self.oldest = max(self.oldest, offset)


class FaultyApp:
    """Base of stand-ins whose failures are attributes that ``/faults`` sets.

    ``/counts`` tells how many requests came, by kind.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add_routes(self, app: web.Application) -> None:
        """Add the test interface to an application."""
        app.router.add_post("/faults", self.faults)
        app.router.add_get("/counts", self.count)

    async def faults(self, request: web.Request) -> web.Response:
        """Set the failures."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def count(self, request: web.Request) -> web.Response:
        """Return how many requests came."""
        return web.json_response(self.counts)


def abort(request: web.Request) -> None:
    """Break the connection of a request, unless the client did."""
    if request.transport is not None:
        reset_on_close(request.transport)
        request.transport.abort()


def reset_on_close(transport: asyncio.Transport) -> None:
    """Let the end of a connection be a reset, which has no orderly close."""
    linger = struct.pack("ii", 1, 0)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
