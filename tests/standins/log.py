"""Stand-in for the platform's log.

Serves streams of records in memory over HTTP, with the faults of a real log.
"""

import asyncio
import base64
from collections import defaultdict

from aiohttp import web

from tests.standins.serving import port_parser, serve
from tests.standins.streams import FaultInjectionApp, Stream, abort

__all__ = ["LogStandIn"]


class LogStandIn(FaultInjectionApp):
    """The HTTP application of the stand-in.

    ``/faults`` sets ``down`` (connections are reset), ``delay_ms``, ``lose_replies``
    (number of appends that take effect but get no response), ``down_after_appends``
    (number of appends after which the log is down), ``hold_appends`` (number of
    appends that get no response and take effect only on ``/release/STREAM``) and
    ``read_limit`` (maximum number of records in one read).
    ``/retention/STREAM/OFFSET`` drops the records before an offset. ``/counts``
    returns the number of requests received, by kind and stream.
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
        self.held_payloads: dict[str, list[bytes]] = defaultdict(list)

    def app(self) -> web.Application:
        """Return the web application with its routes."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_post("/streams/{stream}", self.append)
        app.router.add_get("/streams/{stream}", self.read)
        app.router.add_post("/release/{stream}", self.release)
        app.router.add_post("/retention/{stream}/{offset}", self.drop_records)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the body as a record and return its offset."""
        name = request.match_info["stream"]
        self.counts[f"append {name}"] += 1
        await self._apply_faults(request)
        stream = self.streams[name]
        payload = await request.read()
        if self.hold_appends > 0:
            self.hold_appends -= 1
            self.held_payloads[name].append(payload)
            abort(request)
            raise web.HTTPServiceUnavailable
        offset = await stream.append([payload])
        self._apply_down_after_appends()
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
        return web.json_response({"offset": offset})

    async def release(self, request: web.Request) -> web.Response:
        """Append the held records of a stream."""
        name = request.match_info["stream"]
        await self.streams[name].append(self.held_payloads.pop(name, []))
        return web.json_response({})

    async def read(self, request: web.Request) -> web.Response:
        """Return the records from an offset on; wait until there is one."""
        self.counts[f"read {request.match_info['stream']}"] += 1
        await self._apply_faults(request)
        stream = self.streams[request.match_info["stream"]]
        offset = max(int(request.query.get("from", "0")), stream.oldest_offset)
        await stream.wait_for_record(
            offset, int(request.query.get("wait_ms", "0")) / 1000
        )
        await self._apply_faults(request)
        records = [
            {
                "offset": stream.oldest_offset + index,
                "payload": base64.b64encode(p).decode(),
            }
            for index, p in enumerate(stream.records)
            if stream.oldest_offset + index >= offset
        ]
        if self.read_limit:
            records = records[: self.read_limit]
        return web.json_response(
            {
                "records": records,
                "oldest": stream.oldest_offset,
                "next": stream.next_offset,
            }
        )

    async def drop_records(self, request: web.Request) -> web.Response:
        """Drop the records before an offset."""
        stream = self.streams[request.match_info["stream"]]
        stream.drop_before(int(request.match_info["offset"]))
        return web.json_response({})

    def _apply_down_after_appends(self) -> None:
        if self.down_after_appends > 0:
            self.down_after_appends -= 1
            self.down = self.down_after_appends == 0

    async def _apply_faults(self, request: web.Request) -> None:
        if self.delay_ms:
            await asyncio.sleep(self.delay_ms / 1000)
        if self.down:
            abort(request)
            raise web.HTTPServiceUnavailable


def main() -> None:
    """Run the stand-in until the process is stopped."""
    options = port_parser(__doc__).parse_args()
    serve(LogStandIn().app(), options.port)


if __name__ == "__main__":
    main()
