"""Stand-in for the platform's store.

Topics of keyed records over HTTP, by the platform's protocol, with its failures.
"""

import base64
import struct
from collections import defaultdict

from aiohttp import web

from tests.standins.serving import port_parser, serve
from tests.standins.streams import FaultyApp, Stream, abort

__all__ = ["StoreStandIn", "split_records"]

PAGE_RECORDS = 500


def split_records(body: bytes) -> list[bytes]:
    """Split the body of an append or a read into its records."""
    records = []
    position = 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        position += 4
        records.append(body[position : position + length])
        position += length
    return records


class StoreStandIn(FaultyApp):
    """The HTTP application of the stand-in.

    ``/faults`` takes ``down``, ``status`` (answered in place of anything else),
    ``lose_replies`` (appends that take effect without an answer) and ``garbage``
    (a body that no call has); ``/trim/TOPIC/OFFSET`` drops the records before an
    offset; ``/put/TOPIC/KEY`` appends the body under a key, as operators do.
    """

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, Stream] = defaultdict(Stream)
        self.down = False
        self.status = 0
        self.lose_replies = 0
        self.garbage = False

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_post("/-/log-append", self.append)
        app.router.add_get("/-/log-read", self.read)
        app.router.add_get("/-/log-newest", self.newest)
        app.router.add_post("/trim/{topic}/{offset}", self.trim)
        app.router.add_post("/put/{topic}/{key}", self.put)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the records of the body."""
        await self._suffer(request, "append")
        stream = self.topics[request.query["topic"]]
        offset = await stream.append(split_records(await request.read()))
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
        return web.json_response({"offset": offset, "end": stream.next})

    async def read(self, request: web.Request) -> web.Response:
        """Return the records from an offset on, waiting for a first one."""
        await self._suffer(request, "read")
        stream = self.topics[request.query["topic"]]
        offset = int(request.query["from"])
        if offset < stream.oldest:
            return web.json_response({"first": stream.oldest}, status=410)
        await stream.wait(offset, int(request.query.get("wait_ms", "0")) / 1000)
        await self._suffer(request, "answer")
        records = stream.records[max(0, offset - stream.oldest) :]
        head = struct.pack(">QQ", stream.next, stream.oldest)
        body = b"".join(struct.pack(">I", len(r)) + r for r in records)
        return web.Response(body=head + body)

    async def newest(self, request: web.Request) -> web.Response:
        """Return the newest record of each key."""
        await self._suffer(request, "newest")
        stream = self.topics[request.query["topic"]]
        newest = {}
        for index, record in enumerate(stream.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = {
                "key": key,
                "value": base64.b64encode(record[1 + record[0] :]).decode(),
                "offset": stream.oldest + index,
            }
        after = request.query.get("after", "")
        items = [newest[key] for key in sorted(newest) if key > after]
        more = len(items) > PAGE_RECORDS
        page = {"items": items[:PAGE_RECORDS], "more": more, "end": stream.next}
        return web.json_response(page)

    async def put(self, request: web.Request) -> web.Response:
        """Append the body under a key."""
        key = request.match_info["key"].encode()
        record = bytes([len(key)]) + key + await request.read()
        await self.topics[request.match_info["topic"]].append([record])
        return web.json_response({})

    async def trim(self, request: web.Request) -> web.Response:
        """Drop the records before an offset."""
        stream = self.topics[request.match_info["topic"]]
        stream.drop_before(int(request.match_info["offset"]))
        return web.json_response({})

    async def _suffer(self, request: web.Request, kind: str) -> None:
        self.counts[kind] += 1
        if self.down:
            abort(request)
            raise web.HTTPServiceUnavailable
        if self.status:
            raise _status(self.status)
        if self.garbage:
            raise _garbage()


def _status(status: int) -> web.HTTPException:
    error = web.HTTPException()
    error.set_status(status)
    return error


def _garbage() -> web.HTTPException:
    return web.HTTPOk(body=b"\x00" * 16 + b"\x00\x00\xff\xffshort")


def main() -> None:
    """Run the stand-in."""
    options = port_parser(__doc__).parse_args()
    serve(StoreStandIn().app(), options.port)


if __name__ == "__main__":
    main()
