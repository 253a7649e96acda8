"""Fault-injecting link.

Forwards TCP connections and UDP datagrams between two processes and can delay,
duplicate, reorder, drop or reset them in one direction or both.
"""

import asyncio

import attrs
from aiohttp import web

from tests.standins.serving import port_parser, serve
from tests.standins.streams import reset_on_close

__all__ = ["FaultyLink"]

CHUNK_BYTES = 16 * 1024


@attrs.define(eq=False)
class Direction:
    """Faults of one direction of a link.

    :ivar cut: forward nothing; TCP data is kept and forwarded after the cut, as a
        retransmission would, datagrams are dropped.
    :ivar silence: setting it discards all further data of the TCP connections that
        are open at that time, without a reset; new connections work.
    :ivar silence_count: number of times that ``silence`` was set.
    :ivar hold: setting it keeps all further data of the TCP connections that are open
        at that time, and forwards it once it is unset; new connections work.
    :ivar hold_count: number of times that ``hold`` was set.
    :ivar reset: setting it resets the TCP connections that are open at that time.
    :ivar delay_ms: delay of each TCP chunk and datagram in milliseconds.
    :ivar reset_after_bytes: reset the TCP connection that reaches this total of
        forwarded bytes; happens once, 0 for never.
    :ivar double: send each datagram twice.
    :ivar reorder: swap each pair of consecutive datagrams.
    :ivar forwarded_bytes: TCP bytes forwarded so far, over all connections.
    :ivar faults_changed: set when faults change, then replaced by a new event.
    """

    cut: bool = False
    silence: bool = False
    silence_count: int = 0
    hold: bool = False
    hold_count: int = 0
    reset: bool = False
    delay_ms: float = 0
    reset_after_bytes: int = 0
    double: bool = False
    reorder: bool = False
    forwarded_bytes: int = 0
    faults_changed: asyncio.Event = attrs.field(factory=asyncio.Event)

    def set(self, faults: dict) -> None:
        """Set the named faults and wake the tasks that wait for the end of one."""
        if faults.get("hold"):
            self.hold_count += 1
        for name, value in faults.items():
            setattr(self, name, value)
        if self.silence:
            self.silence = False
            self.silence_count += 1
        self.faults_changed.set()
        self.faults_changed = asyncio.Event()

    async def wait_until_open(self, initial_hold_count: int) -> None:
        """Wait until data of a connection is neither cut off nor kept.

        :param initial_hold_count: ``hold_count`` when the connection was opened.
        """
        while self.cut or (self.hold and self.hold_count > initial_hold_count):
            await self.faults_changed.wait()


class FaultyLink(asyncio.DatagramProtocol):
    """A link that forwards from its own port to the port of a process.

    :ivar port: port on which the link listens.
    :ivar to_port: port to which it forwards.
    :ivar forward: faults of the direction to ``to_port``.
    :ivar backward: faults of the direction from ``to_port``, for TCP only.
    """

    def __init__(self, port: int, to_port: int) -> None:
        self.port = port
        self.to_port = to_port
        self.forward = Direction()
        self.backward = Direction()
        self._server: asyncio.Server | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._delayed_datagram: bytes | None = None
        self._tasks: set[asyncio.Task] = set()
        self._open_writers: set[asyncio.StreamWriter] = set()

    def set_faults(self, directions: dict[str, dict]) -> None:
        """Set the faults of the named directions."""
        for name, faults in directions.items():
            direction: Direction = getattr(self, name)
            direction.set(faults)
            if direction.reset:
                direction.reset = False
                for writer in self._open_writers:
                    reset_on_close(writer.transport)
                    writer.transport.abort()

    async def start(self) -> None:
        """Listen for connections and datagrams."""
        loop = asyncio.get_running_loop()
        address = ("127.0.0.1", self.port)
        self._server = await asyncio.start_server(self._forward_connection, *address)
        await loop.create_datagram_endpoint(lambda: self, local_addr=address)

    async def _forward_connection(
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
        self._open_writers.update(writers)
        try:
            await asyncio.gather(
                self._forward_stream(reader, to_writer, self.forward, writers),
                self._forward_stream(to_reader, writer, self.backward, writers),
            )
        finally:
            self._open_writers.difference_update(writers)

    async def _forward_stream(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: Direction,
        writers: tuple[asyncio.StreamWriter, ...],
    ) -> None:
        initial_silence_count = direction.silence_count
        initial_hold_count = direction.hold_count
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if direction.silence_count > initial_silence_count:
                    continue
                if direction.delay_ms:
                    await asyncio.sleep(direction.delay_ms / 1000)
                await direction.wait_until_open(initial_hold_count)
                writer.write(self._reset_at_limit(chunk, direction, writers))
                await writer.drain()
            await direction.wait_until_open(initial_hold_count)
            writer.write_eof()
        except (OSError, RuntimeError):
            for each in writers:
                each.transport.abort()

    def _reset_at_limit(
        self,
        chunk: bytes,
        direction: Direction,
        writers: tuple[asyncio.StreamWriter, ...],
    ) -> bytes:
        direction.forwarded_bytes += len(chunk)
        limit = direction.reset_after_bytes
        if limit and direction.forwarded_bytes >= limit:
            direction.reset_after_bytes = 0
            for each in writers:
                each.transport.abort()
            raise ConnectionResetError
        return chunk

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport on which datagrams are sent."""
        self._transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        """Forward one datagram, subject to the faults of the forward direction."""
        if self.forward.cut:
            return
        if self.forward.reorder and self._delayed_datagram is None:
            self._delayed_datagram = data
            return
        delayed, self._delayed_datagram = self._delayed_datagram, None
        for datagram in (data, delayed):
            if datagram is not None:
                self._schedule_datagram(datagram)

    def _schedule_datagram(self, datagram: bytes) -> None:
        task = asyncio.get_running_loop().create_task(self._send_datagram(datagram))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_datagram(self, datagram: bytes) -> None:
        if self.forward.delay_ms:
            await asyncio.sleep(self.forward.delay_ms / 1000)
        for _ in range(2 if self.forward.double else 1):
            self._transport.sendto(datagram, ("127.0.0.1", self.to_port))


class LinkControl:
    """HTTP application that creates links and sets their faults."""

    def __init__(self) -> None:
        self.links: dict[str, FaultyLink] = {}

    def app(self) -> web.Application:
        """Return the application with its routes."""
        app = web.Application()
        app.router.add_get("/healthz", self.health)
        app.router.add_post("/links/{name}", self.add)
        app.router.add_post("/faults/{name}", self.faults)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Answer a health check."""
        return web.Response(text="ok")

    async def add(self, request: web.Request) -> web.Response:
        """Start a link with the ``port`` and ``to_port`` of the request body."""
        value = await request.json()
        link = FaultyLink(value["port"], value["to_port"])
        await link.start()
        self.links[request.match_info["name"]] = link
        return web.json_response({})

    async def faults(self, request: web.Request) -> web.Response:
        """Set the faults of ``forward`` and ``backward``; return the byte counts."""
        link = self.links[request.match_info["name"]]
        link.set_faults(await request.json())
        return web.json_response(
            {
                "forward_bytes": link.forward.forwarded_bytes,
                "backward_bytes": link.backward.forwarded_bytes,
            }
        )


def main() -> None:
    """Run the stand-in until the process is terminated."""
    options = port_parser(__doc__).parse_args()
    serve(LinkControl().app(), options.port)


if __name__ == "__main__":
    main()
