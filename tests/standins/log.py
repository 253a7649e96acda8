"""Stand-in for the platform's log.

Streams of records in memory over HTTP, with the failures of the real service.
"""

import asyncio
import base64
from collections import defaultdict

from aiohttp import web

from tests.standins.serving import port_parser, serve
from tests.standins.streams import FaultyApp, Stream, abort

__all__ = ["LogStandIn"]


class LogStandIn(FaultyApp):
    """The HTTP application of the stand-in.

    ``/faults`` takes ``down``, ``delay_ms``, ``lose_replies`` (appends whose reply
    is lost), ``down_after_appends``, ``hold_appends`` (appends whose reply is lost and
    that take effect only on ``/release/STREAM``) and ``read_limit`` (records of one
    read); ``/retention/STREAM/OFFSET`` drops records; ``/counts`` tells how many
    requests came, by kind and stream.
    """

    def __init__(self) -> None:
        super().__init__()
        self.streams: dict[str, Stream] = defaultdict(Stream)
        self.down = False
        self.delay_ms = 0
        self.lose_replies = 0
        self.down_after_appends = 0
        self.hold_appends = 0
        self.read_limit = 0
        self.held: dict[str, list[bytes]] = defaultdict(list)

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_post("/streams/{stream}", self.append)
        app.router.add_get("/streams/{stream}", self.read)
        app.router.add_post("/release/{stream}", self.release)
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
        offset = await stream.append([payload])
        self._count_append()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
        return web.json_response({"offset": offset})

    async def release(self, request: web.Request) -> web.Response:
        """Let the held appends of a stream take effect."""
        name = request.match_info["stream"]
        await self.streams[name].append(self.held.pop(name, []))
        return web.json_response({})

    async def read(self, request: web.Request) -> web.Response:
        """Return records from an offset on, waiting for a first one."""
        self.counts[f"read {request.match_info['stream']}"] += 1
        await self._suffer(request)
        stream = self.streams[request.match_info["stream"]]
        offset = max(int(request.query.get("from", "0")), stream.oldest)
        await stream.wait(offset, int(request.query.get("wait_ms", "0")) / 1000)
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

    async def drop(self, request: web.Request) -> web.Response:
        """Drop the records before an offset."""
        stream = self.streams[request.match_info["stream"]]
        stream.drop_before(int(request.match_info["offset"]))
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


def main() -> None:
    """Run the stand-in."""
    options = port_parser(__doc__).parse_args()
    serve(LogStandIn().app(), options.port)


if __name__ == "__main__":
    main()
