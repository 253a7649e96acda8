"""Stand-in for the platform's log.

Streams of records in memory over HTTP, with the failures of the real service.
"""

import argparse
import asyncio
import base64
import socket
import struct
from collections import Counter, defaultdict

import attrs
from aiohttp import web

__all__ = ["LogStandIn", "Stream", "abort", "reset_on_close"]


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


class LogStandIn:
    """The HTTP application of the stand-in.

    ``/faults`` takes ``down``, ``delay_ms``, ``lose_replies`` (appends whose reply
    is lost), ``down_after_appends``, ``hold_appends`` (appends whose reply is lost and
    that take effect only on ``/release/STREAM``) and ``read_limit`` (records of one
    read); ``/retention/STREAM/OFFSET`` drops records; ``/counts`` tells how many
    requests came, by kind and stream.
    """

    def __init__(self) -> None:
        self.streams: dict[str, Stream] = defaultdict(Stream)
        self.down = False
        self.delay_ms = 0
        self.lose_replies = 0
        self.down_after_appends = 0
        self.hold_appends = 0
        self.read_limit = 0
        self.held: dict[str, list[bytes]] = defaultdict(list)
        self.counts: Counter[str] = Counter()

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_post("/streams/{stream}", self.append)
        app.router.add_get("/streams/{stream}", self.read)
        app.router.add_post("/faults", self.faults)
        app.router.add_post("/release/{stream}", self.release)
        app.router.add_get("/counts", self.count)
        app.router.add_post("/retention/{stream}/{offset}", self.drop)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as a record."""
        name = request.match_info["stream"]
        self.counts[f"append {name}"] += 1
        await self._suffer(request)
        stream = self.streams[name]
        payload = await request.read()
        if self.hold_appends > 0:
            self.hold_appends -= 1
            self.held[name].append(payload)
            abort(request)
            raise web.HTTPServiceUnavailable
        offset = await self._take(stream, payload)
        self._count_append()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
        return web.json_response({"offset": offset})

    async def _take(self, stream: Stream, payload: bytes) -> int:
        offset = stream.next
        stream.records.append(payload)
        async with stream.appended:
            stream.appended.notify_all()
        return offset

    async def release(self, request: web.Request) -> web.Response:
        """Let the held appends of a stream take effect."""
        name = request.match_info["stream"]
        for payload in self.held.pop(name, []):
            await self._take(self.streams[name], payload)
        return web.json_response({})

    async def count(self, request: web.Request) -> web.Response:
        """Return how many requests came."""
        return web.json_response(self.counts)

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset on, waiting for a first one."""
        self.counts[f"read {request.match_info['stream']}"] += 1
        await self._suffer(request)
        stream = self.streams[request.match_info["stream"]]
        offset = max(int(request.query.get("from", "0")), stream.oldest)
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if offset >= stream.next and wait_s:
            try:
                async with asyncio.timeout(wait_s), stream.appended:
                    await stream.appended.wait_for(lambda: stream.next > offset)
            except TimeoutError:
                pass
        await self._suffer(request)
        records = [
            {"offset": stream.oldest + index, "payload": base64.b64encode(p).decode()}
            for index, p in enumerate(stream.records)
            if stream.oldest + index >= offset
        ]
        if self.read_limit:
            records = records[: self.read_limit]
        return web.json_response(
            {"records": records, "oldest": stream.oldest, "next": stream.next}
        )

    async def faults(self, request: web.Request) -> web.Response:
        """Set the failures."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def drop(self, request: web.Request) -> web.Response:
        """Drop the records before an offset."""
        stream = self.streams[request.match_info["stream"]]
        offset = int(request.match_info["offset"])
        del stream.records[: max(0, offset - stream.oldest)]
        stream.oldest = max(stream.oldest, offset)
        return web.json_response({})

    def _count_append(self) -> None:
        if self.down_after_appends > 0:
            self.down_after_appends -= 1
            self.down = self.down_after_appends == 0

    async def _suffer(self, request: web.Request) -> None:
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.down:
            abort(request)
            raise web.HTTPServiceUnavailable


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


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    options = parser.parse_args()
    web.run_app(
        LogStandIn().app(), host="127.0.0.1", port=options.port, print=lambda _: None
    )


if __name__ == "__main__":
    main()
