"""Stand-in for the platform's store.

Serves topics of keyed records over HTTP by the platform's protocol, with faults.
"""

import asyncio
import base64
import struct
from collections import defaultdict

from aiohttp import web

from tests.standins.endless import send_endless
from tests.standins.serving import port_parser, serve
from tests.standins.streams import FaultInjectionApp, Stream, abort

__all__ = ["StoreStandIn", "split_records"]

MAX_PAGE_RECORDS = 500
ENDLESS_PARTS = {
    "body": (b"HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n", b"x" * 64),
    "fields": (b"HTTP/1.1 200 OK\r\n", b"X-Filler: x\r\n"),
}
#: Far above what a daemon may read, and no danger to the machine of the tests.
MAX_ENDLESS_BYTES = 200_000_000


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


class StoreStandIn(FaultInjectionApp):
    """The HTTP application of the stand-in.

    ``/faults`` sets ``down`` (connections are reset), ``status`` (status that replaces
    every other response), ``lose_replies`` (number of appends that take effect but get
    no response), ``late_appends_ms`` (time after which the next append takes effect,
    whose connection is reset at once), ``garbage`` (response bodies that the protocol
    does not allow) and ``endless`` (the part of responses to reads that does not end:
    ``body`` or ``fields``).
    ``/trim/TOPIC/OFFSET`` drops the records before an offset. ``/return/TOPIC/COUNT``
    drops the last records, as after a return from an older copy, and increases the
    era. ``/put/TOPIC/KEY`` appends the body with a key, as operators do.
    """

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, Stream] = defaultdict(Stream)
        self.down = False
        self.status = 0
        self.lose_replies = 0
        self.late_appends_ms = 0
        self.epochs: dict[tuple[str, str], int] = {}
        self._late_appends: set[asyncio.Task] = set()
        self.garbage = False
        self.endless = ""
        self.era = 1

    def app(self) -> web.Application:
        """Return the web application with its routes."""
        app = web.Application(client_max_size=4 * 1024 * 1024)
        self.add_routes(app)
        app.router.add_post("/-/log-append", self.append)
        app.router.add_get("/-/log-read", self.read)
        app.router.add_get("/-/log-newest", self.newest)
        app.router.add_post("/trim/{topic}/{offset}", self.trim)
        app.router.add_post("/return/{topic}/{count}", self.come_back)
        app.on_response_prepare.append(self._add_era)
        app.router.add_post("/put/{topic}/{key}", self.put)
        return app

    async def append(self, request: web.Request) -> web.Response:
        """Append the records in the body and return the offset of the first."""
        await self._apply_faults(request, "append")
        records = split_records(await request.read())
        if self.late_appends_ms:
            delay_s, self.late_appends_ms = self.late_appends_ms / 1000, 0
            late = self._append_late(request.query, records, delay_s)
            self._late_appends.add(asyncio.create_task(late))
            abort(request)
            return web.Response()
        stream = self.topics[request.query["topic"]]
        if not self._accepts_epoch(request.query):
            return web.json_response({"why": "fenced"}, status=409)
        offset = await stream.append(records)
        if self.lose_replies > 0:
            self.lose_replies -= 1
            abort(request)
        return web.json_response({"offset": offset, "end": stream.next_offset})

    async def _append_late(self, query, records: list[bytes], delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self._accepts_epoch(query):
            await self.topics[query["topic"]].append(records)

    def _accepts_epoch(self, query) -> bool:
        """Return whether the epoch of a producer, if it has one, is not outdated."""
        if "producer" not in query:
            return True
        producer = (query["topic"], query["producer"])
        epoch = int(query["epoch"])
        if epoch < self.epochs.get(producer, 0):
            return False
        self.epochs[producer] = epoch
        return True

    async def read(self, request: web.Request) -> web.Response:
        """Return the records from an offset on; wait until there is one."""
        await self._apply_faults(request, "read")
        if self.endless:
            return await self._send_endless(request)
        stream = self.topics[request.query["topic"]]
        offset = int(request.query["from"])
        if offset < stream.oldest_offset or offset > stream.next_offset:
            return web.json_response({"first": stream.oldest_offset}, status=410)
        await stream.wait_for_record(
            offset, int(request.query.get("wait_ms", "0")) / 1000
        )
        await self._apply_faults(request, "answer")
        records = stream.records[max(0, offset - stream.oldest_offset) :]
        head = struct.pack(">QQ", stream.next_offset, stream.oldest_offset)
        body = b"".join(struct.pack(">I", len(r)) + r for r in records)
        return web.Response(body=head + body)

    async def newest(self, request: web.Request) -> web.Response:
        """Return a page of the newest records of all keys, sorted by key."""
        await self._apply_faults(request, "newest")
        if self.endless:
            return await self._send_endless(request)
        stream = self.topics[request.query["topic"]]
        newest = {}
        for index, record in enumerate(stream.records):
            key = record[1 : 1 + record[0]].decode()
            newest[key] = {
                "key": key,
                "value": base64.b64encode(record[1 + record[0] :]).decode(),
                "offset": stream.oldest_offset + index,
            }
        after = request.query.get("after", "")
        items = [newest[key] for key in sorted(newest) if key > after]
        more = len(items) > MAX_PAGE_RECORDS
        page = {
            "items": items[:MAX_PAGE_RECORDS],
            "more": more,
            "end": stream.next_offset,
        }
        return web.json_response(page)

    async def put(self, request: web.Request) -> web.Response:
        """Append the body as a record with a key."""
        key = request.match_info["key"].encode()
        record = bytes([len(key)]) + key + await request.read()
        await self.topics[request.match_info["topic"]].append([record])
        return web.json_response({})

    async def trim(self, request: web.Request) -> web.Response:
        """Drop the records before an offset."""
        stream = self.topics[request.match_info["topic"]]
        stream.drop_before(int(request.match_info["offset"]))
        return web.json_response({})

    async def come_back(self, request: web.Request) -> web.Response:
        """Drop the last records of a topic; their offsets are given out again."""
        stream = self.topics[request.match_info["topic"]]
        stream.drop_last(int(request.match_info["count"]))
        self.epochs.clear()
        self.era += 1
        return web.json_response({})

    async def _send_endless(self, request: web.Request) -> web.Response:
        """Send bytes until the connection is closed, or too many were sent."""
        sent_bytes = 0

        def is_below_limit(size_bytes: int) -> bool:
            nonlocal sent_bytes
            sent_bytes += size_bytes
            return sent_bytes < MAX_ENDLESS_BYTES

        part = ENDLESS_PARTS[self.endless]
        await send_endless(request.transport, part, is_below_limit)
        abort(request)
        return web.Response()

    async def _add_era(self, request: web.Request, response) -> None:
        response.headers["Store-Era"] = str(self.era)

    async def _apply_faults(self, request: web.Request, kind: str) -> None:
        self.counts[kind] += 1
        if self.down:
            abort(request)
            raise web.HTTPServiceUnavailable
        if self.status:
            raise _status_response(self.status)
        if self.garbage:
            raise _garbage_response()


def _status_response(status: int) -> web.HTTPException:
    error = web.HTTPException()
    error.set_status(status)
    return error


def _garbage_response() -> web.HTTPException:
    return web.HTTPOk(body=b"\x00" * 16 + b"\x00\x00\xff\xffshort")


def main() -> None:
    """Run the stand-in until the process is stopped."""
    options = port_parser(__doc__).parse_args()
    serve(StoreStandIn().app(), options.port)


if __name__ == "__main__":
    main()
