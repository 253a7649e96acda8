"""Streams of records and fault injection.

Shared by the stand-ins for the log, the platform's store and its endpoints.
"""

import asyncio
import socket
import struct
from collections import Counter
from collections.abc import Iterable

import attrs
from aiohttp import web

__all__ = ["FaultInjectionApp", "Stream", "abort", "reset_on_close"]


@attrs.define(eq=False)
class Stream:
    """Records of one stream; ``oldest_offset`` is the offset of the first one kept."""

    records: list[bytes] = attrs.field(factory=list)
    oldest_offset: int = 0
    appended: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    @property
    def next_offset(self) -> int:
        """Return the offset of the next record."""
        return self.oldest_offset + len(self.records)

    async def append(self, records: Iterable[bytes]) -> int:
        """Append records and return the offset of the first."""
        offset = self.next_offset
        self.records.extend(records)
        async with self.appended:
            self.appended.notify_all()
        return offset

    async def wait_for_record(self, offset: int, wait_s: float) -> None:
        """Wait until there is a record at an offset, for at most ``wait_s`` seconds."""
        if offset < self.next_offset or not wait_s:
            return
        try:
            async with asyncio.timeout(wait_s), self.appended:
                await self.appended.wait_for(lambda: self.next_offset > offset)
        except TimeoutError:
            return

    def drop_before(self, offset: int) -> None:
        """Drop the records before an offset."""
        del self.records[: max(0, offset - self.oldest_offset)]
        self.oldest_offset = max(self.oldest_offset, offset)

    def drop_last(self, count: int) -> None:
        """Drop the last records; their offsets are given out again."""
        del self.records[max(0, len(self.records) - count) :]


class FaultInjectionApp:
    """Base class of stand-ins whose faults are attributes that ``/faults`` sets.

    ``/counts`` returns the number of requests received, by kind.
    """

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def add_routes(self, app: web.Application) -> None:
        """Add the routes ``/faults`` and ``/counts`` to an application."""
        app.router.add_post("/faults", self.set_faults)
        app.router.add_get("/counts", self.show_counts)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the attributes that the JSON body names."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def show_counts(self, request: web.Request) -> web.Response:
        """Return the number of requests received, by kind."""
        return web.json_response(self.counts)


def abort(request: web.Request) -> None:
    """Reset the connection of a request, unless the client has closed it."""
    if request.transport is not None:
        reset_on_close(request.transport)
        request.transport.abort()


def reset_on_close(transport: asyncio.Transport) -> None:
    """Make closing a connection send a TCP reset instead of an orderly shutdown."""
    linger = struct.pack("ii", 1, 0)
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
