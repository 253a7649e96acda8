"""Fault-injecting link.

Forwards TCP connections and UDP datagrams between two processes, and holds, delays,
doubles, reorders, cuts or resets them in one direction or both.
"""

import asyncio

import attrs
from aiohttp import web

from tests.standins.serving import port_parser, serve

__all__ = ["FaultyLink"]

CHUNK_BYTES = 16 * 1024


@attrs.define(eq=False)
class Direction:
    """Faults of one direction of a link.

    :ivar cut: nothing passes; TCP data is held and goes on after the cut, as after
        retransmission, datagrams are lost.
    :ivar silence: setting it silences the TCP connections that are open then, for
        good and without a reset; new ones work.
    :ivar reset_after_bytes: reset a TCP connection that has passed so many bytes;
        happens once, 0 for never.
    :ivar double: send each datagram twice.
    :ivar reorder: send every second datagram after the next one.
    """

    cut: bool = False
    silence: bool = False
    silenced: int = 0
    delay_ms: float = 0
    reset_after_bytes: int = 0
    double: bool = False
    reorder: bool = False
    passed_bytes: int = 0
    changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set(self, faults: dict) -> None:
        """Set the named faults and wake what waits for the end of a cut."""
        for name, value in faults.items():
            setattr(self, name, value)
        if self.silence:
            self.silence = False
            self.silenced += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def wait_open(self) -> None:
        """Wait until the direction is not cut."""
        while self.cut:
            await self.changed.wait()


class FaultyLink(asyncio.DatagramProtocol):
    """One link from a port of its own to the port of a process."""

    def __init__(self, port: int, to_port: int) -> None:
        self.port = port
        self.to_port = to_port
        self.forward = Direction()
        self.backward = Direction()
        self._server: asyncio.Server | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._held: bytes | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self) -> None:
        """Listen for connections and datagrams."""
        loop = asyncio.get_running_loop()
        address = ("127.0.0.1", self.port)
        self._server = await asyncio.start_server(self._connected, *address)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    async def _connected(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            to_reader, to_writer = await asyncio.open_connection(
                "127.0.0.1", self.to_port
            )
        except OSError:
            writer.transport.abort()
            return
        writers = (writer, to_writer)
        await asyncio.gather(
            self._pump(reader, to_writer, self.forward, writers),
            self._pump(to_reader, writer, self.backward, writers),
        )

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        writers: tuple[asyncio.StreamWriter, ...],
    ) -> None:
        silenced_before = direction.silenced
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if direction.silenced > silenced_before:
                    continue
                if direction.delay_ms:
                    await asyncio.sleep(direction.delay_ms / 1000)
                await direction.wait_open()
                writer.write(self._limited(chunk, direction, writers))
                await writer.drain()
            await direction.wait_open()
            writer.write_eof()
        except (OSError, RuntimeError):
            for each in writers:
                each.transport.abort()

    def _limited(
        self,
        chunk: bytes,
        direction: Direction,
        writers: tuple[asyncio.StreamWriter, ...],
    ) -> bytes:
        direction.passed_bytes += len(chunk)
        limit = direction.reset_after_bytes
        if limit and direction.passed_bytes >= limit:
            direction.reset_after_bytes = 0
            for each in writers:
                each.transport.abort()
            raise ConnectionResetError
        return chunk

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport of the datagrams."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Forward one datagram with the faults of the forward direction."""
        if self.forward.cut:
            return
        if self.forward.reorder and self._held is None:
            self._held = data
            return
        held, self._held = self._held, None
        for datagram in (data, held):
            if datagram is not None:
                self._send(datagram)

    def _send(self, datagram: bytes) -> None:
        task = asyncio.get_running_loop().create_task(self._send_later(datagram))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_later(self, datagram: bytes) -> None:
        if self.forward.delay_ms:
            await asyncio.sleep(self.forward.delay_ms / 1000)
        for _ in range(2 if self.forward.double else 1):
            self._transport.sendto(datagram, ("127.0.0.1", self.to_port))


class LinkControl:
    """The HTTP application that makes links and sets their faults."""

    def __init__(self) -> None:
        self.links: dict[str, FaultyLink] = {}

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application()
        app.router.add_get("/healthz", self.health)
        app.router.add_post("/links/{name}", self.add)
        app.router.add_post("/faults/{name}", self.faults)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Tell that the process answers."""
        return web.Response(text="ok")

    async def add(self, request: web.Request) -> web.Response:
        """Start a link with ``port`` and ``to_port``."""
        value = await request.json()
        link = FaultyLink(value["port"], value["to_port"])
        await link.start()
        self.links[request.match_info["name"]] = link
        return web.json_response({})

    async def faults(self, request: web.Request) -> web.Response:
        """Set the faults of ``forward`` and ``backward``."""
        link = self.links[request.match_info["name"]]
        for name, faults in (await request.json()).items():
            getattr(link, name).set(faults)
        return web.json_response(
            {
                "forward_bytes": link.forward.passed_bytes,
                "backward_bytes": link.backward.passed_bytes,
            }
        )


def main() -> None:
    """Run the stand-in."""
    options = port_parser(__doc__).parse_args()
    serve(LinkControl().app(), options.port)


if __name__ == "__main__":
    main()
