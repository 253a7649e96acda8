"""Crowd of misbehaving clients.

Opens many connections to daemons that send requests without an end, or do not read
their responses, and keeps the connections open.
"""

import asyncio
import threading
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress

import attrs

__all__ = ["KEYS_PATH", "KIB", "KINDS", "MIB", "Act", "Client", "Crowd", "short_fields"]

KIB = 1024
MIB = 1024 * KIB
BLOCK = b"x" * (64 * KIB)
PIECE = b"x" * (4 * KIB)
LARGE_CHUNK = b"40000\r\n" + b"x" * (256 * KIB) + b"\r\n"
SMALL_CHUNK = b"10\r\n" + b"x" * 16 + b"\r\n"
#: Sent at once, so that many small chunks arrive together.
SMALL_CHUNKS = SMALL_CHUNK * 3000
SMALL_CHUNK_BLOCKS = 5
BODY_BYTES = 4 * MIB
KEYED_BODY_BYTES = 60_000
MISSING_BYTES = 100
#: Far above the limit of the daemons, which is stated in their settings.
ENDLESS_BYTES = 64 * MIB
DOWNLOAD_BYTES = 16 * MIB
HEADER_PART_BYTES = 30 * KIB
#: A little below the limit of header sections, with as many fields as fit.
HEADER_BYTES = 16 * KIB
HEADER_ROOM_BYTES = 300
SHORT_BODY_BYTES = 64 * KIB
KEYS_PATH = "/_laburnumscale/v1/operation-keys"
KEYS_BODY_BYTES = 1_000_000
#: Fits into one message between daemons.
WHOLE_ANSWER_BYTES = 64 * KIB
REQUESTS_AHEAD = 200
RECEIVE_BUFFER_BYTES = 4 * KIB
SETTLED_AFTER_S = 3.0
POLL_INTERVAL_S = 0.05


@attrs.define(eq=False)
class Client:
    """One client; it stays open after it has sent what it sends.

    :ivar port: port of the daemon for callers.
    :ivar key: operation key, or empty.
    :ivar has_settled: whether it sends nothing any more.
    :ivar progressed_at_s: when it last sent something.
    """

    port: int
    key: str = ""
    has_settled: bool = False
    progressed_at_s: float = 0.0
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def send(self, data: bytes) -> None:
        """Send data, as fast as the daemon takes it."""
        self.writer.write(data)
        await self.writer.drain()
        self.progressed_at_s = time.monotonic()

    async def send_head(self, method: str, path: str, *fields: str) -> None:
        """Send a request line and a complete header section."""
        lines = [f"{method} {path} HTTP/1.1", "Host: crowd", *fields]
        if self.key:
            lines.append(f"Idempotency-Key: {self.key}")
        await self.send("\r\n".join([*lines, "", ""]).encode())

    async def reconnect(self) -> None:
        """Abort the connection, if there is one, and open another one."""
        if self.writer is not None:
            self.writer.transport.abort()
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.port, limit=RECEIVE_BUFFER_BYTES
        )
        self.progressed_at_s = time.monotonic()

    async def run(self, act: "Act") -> None:
        """Connect, do what the kind of the client does, and stay open."""
        self.progressed_at_s = time.monotonic()
        try:
            await self.reconnect()
            with suppress(OSError):
                await act(self)
            self.has_settled = True
            await asyncio.Event().wait()
        except OSError:
            self.has_settled = True
        finally:
            if self.writer is not None:
                self.writer.transport.abort()


#: What a client does on its connections.
Act = Callable[[Client], Awaitable[None]]


async def send_whole(client: Client) -> None:
    """Send a body that stops just short of its end, as fast as possible."""
    await client.send_head(
        "POST", "/proof-vault/proof", f"Content-Length: {BODY_BYTES}"
    )
    for _ in range(BODY_BYTES // len(BLOCK) - 1):
        await client.send(BLOCK)
    await client.send(BLOCK[:-MISSING_BYTES])


async def send_pieces(client: Client) -> None:
    """Send such a body piece by piece."""
    await client.send_head(
        "POST", "/proof-vault/proof", f"Content-Length: {BODY_BYTES}"
    )
    for _ in range(BODY_BYTES // len(PIECE) - 1):
        await client.send(PIECE)
        await asyncio.sleep(0)
    await client.send(PIECE[:-MISSING_BYTES])


async def send_large_chunks(client: Client) -> None:
    """Send large chunks but no last one."""
    await client.send_head("POST", "/proof-vault/proof", "Transfer-Encoding: chunked")
    for _ in range(BODY_BYTES // len(LARGE_CHUNK)):
        await client.send(LARGE_CHUNK)


async def send_small_chunks(client: Client) -> None:
    """Send chunks of 16 bytes but no last one."""
    await client.send_head("POST", "/proof-vault/proof", "Transfer-Encoding: chunked")
    for _ in range(SMALL_CHUNK_BLOCKS):
        await client.send(SMALL_CHUNKS)


async def send_announced(client: Client) -> None:
    """Announce a body that is far too large, and send it."""
    await client.send_head(
        "POST", "/proof-vault/proof", f"Content-Length: {ENDLESS_BYTES}"
    )
    for _ in range(ENDLESS_BYTES // len(BLOCK)):
        await client.send(BLOCK)


async def send_endless(client: Client) -> None:
    """Send chunks of a body that is far too large."""
    await client.send_head("POST", "/proof-vault/proof", "Transfer-Encoding: chunked")
    for _ in range(ENDLESS_BYTES // len(LARGE_CHUNK)):
        await client.send(LARGE_CHUNK)


async def send_keyed(client: Client) -> None:
    """Send a small body with an operation key that stops just short of its end."""
    await client.send_head(
        "POST", "/proof-vault/proof", f"Content-Length: {KEYED_BODY_BYTES}"
    )
    await client.send(BLOCK[: KEYED_BODY_BYTES - MISSING_BYTES])


async def read_slowly(client: Client) -> None:
    """Ask for a large response and read nothing of it."""
    await client.send_head("GET", f"/proof-vault/download/{DOWNLOAD_BYTES}")
    client.writer.transport.pause_reading()


async def send_header_part(client: Client) -> None:
    """Send a part of a header section."""
    await client.send(b"GET / HTTP/1.1\r\nHost: crowd\r\n")
    line = b"X-Filler: " + b"x" * 1000 + b"\r\n"
    await client.send(line * (HEADER_PART_BYTES // len(line)))


def short_fields() -> list[str]:
    """Return many short header fields, which fill a header section."""
    fields, size_bytes = [], HEADER_ROOM_BYTES
    while size_bytes < HEADER_BYTES:
        fields.append(f"x{len(fields):x}:{len(fields):x}")
        size_bytes += len(fields[-1]) + 2
    return fields


async def send_under_fields(client: Client) -> None:
    """Send a body that stops just short of its end, under a long header section."""
    length = f"Content-Length: {SHORT_BODY_BYTES}"
    await client.send_head("POST", "/proof-vault/proof", length, *short_fields())
    await client.send(BLOCK[: SHORT_BODY_BYTES - 1])


async def wait_under_fields(client: Client) -> None:
    """Send a complete request with a long header section that is answered late."""
    await client.send_head("GET", "/proof-vault/proof", *short_fields())


async def idle_after_fields(client: Client) -> None:
    """Send such a request, read its response and keep the connection."""
    await client.send_head("GET", "/proof-vault/download/10", *short_fields())
    await client.reader.readuntil(b"\r\n\r\n")


async def send_short(client: Client) -> None:
    """Send a small body that stops just short of its end."""
    length = f"Content-Length: {SHORT_BODY_BYTES}"
    await client.send_head("POST", "/proof-vault/proof", length)
    await client.send(BLOCK[: SHORT_BODY_BYTES - 1])


async def send_to_keys_path(client: Client) -> None:
    """Send a body that stops short to the path for operation keys."""
    await client.send_head("POST", KEYS_PATH, f"Content-Length: {KEYS_BODY_BYTES}")
    await client.send(b"x" * (KEYS_BODY_BYTES - 1))


async def send_chunks_to_keys_path(client: Client) -> None:
    """Send small chunks but no last one to the path for operation keys."""
    await client.send_head("POST", KEYS_PATH, "Transfer-Encoding: chunked")
    for _ in range(SMALL_CHUNK_BLOCKS):
        await client.send(SMALL_CHUNKS)


async def send_ahead(client: Client) -> None:
    """Send many requests ahead, and read none of their responses."""
    client.writer.transport.pause_reading()
    path = f"/proof-vault/download/{WHOLE_ANSWER_BYTES}"
    for _ in range(REQUESTS_AHEAD):
        await client.send_head("GET", path)


async def send_ahead_with_bodies(client: Client) -> None:
    """Send many requests with small bodies ahead, and read no response."""
    client.writer.transport.pause_reading()
    for _ in range(REQUESTS_AHEAD):
        await client.send_head(
            "POST", "/proof-vault/proof", f"Content-Length: {len(PIECE)}"
        )
        await client.send(PIECE)


async def send_ahead_under_fields(client: Client) -> None:
    """Send many requests with long header sections ahead, and read no response."""
    client.writer.transport.pause_reading()
    path = f"/proof-vault/download/{WHOLE_ANSWER_BYTES}"
    fields = short_fields()
    for _ in range(REQUESTS_AHEAD):
        await client.send_head("GET", path, *fields)


async def send_ahead_of_chunked_answers(client: Client) -> None:
    """Send requests with large chunked responses ahead, and read none of them."""
    client.writer.transport.pause_reading()
    for _ in range(REQUESTS_AHEAD):
        await client.send_head("GET", f"/proof-vault/download/{MIB}?chunked")


KINDS = {
    "whole": send_whole,
    "in pieces": send_pieces,
    "in large chunks": send_large_chunks,
    "in small chunks": send_small_chunks,
    "announced over the limit": send_announced,
    "endless": send_endless,
    "keyed and small": send_keyed,
    "unread responses": read_slowly,
    "header parts": send_header_part,
    "under many fields": send_under_fields,
    "waiting under many fields": wait_under_fields,
    "idle after many fields": idle_after_fields,
    "short of the last byte": send_short,
    "to the path for keys": send_to_keys_path,
    "in chunks to the path for keys": send_chunks_to_keys_path,
    "sent ahead": send_ahead,
    "sent ahead with bodies": send_ahead_with_bodies,
    "sent ahead under many fields": send_ahead_under_fields,
    "sent ahead for chunked answers": send_ahead_of_chunked_answers,
}


class Crowd:
    """Clients, which run in a thread of their own until they are closed.

    :param clients: the clients.
    :param acts: what they do, one for each.
    """

    def __init__(self, clients: list[Client], acts: list[Act]) -> None:
        self.clients = clients
        self._acts = acts
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    @classmethod
    def start(cls, ports: list[int], kind: str, keys: list[str]) -> "Crowd":
        """Start one client for each port, with the operation keys if there are any.

        :param kind: what they send, a key of ``KINDS``.
        """
        padded_keys = keys or [""] * len(ports)
        pairs = zip(ports, padded_keys, strict=True)
        clients = [Client(port, key) for port, key in pairs]
        return cls(clients, [KINDS[kind]] * len(clients))

    def has_settled(self) -> bool:
        """Return whether no client sends anything any more."""
        now_s = time.monotonic()
        return all(
            client.has_settled
            or now_s - (client.progressed_at_s or now_s) > SETTLED_AFTER_S
            for client in self.clients
        )

    def close(self) -> None:
        """End all clients."""
        self._loop.call_soon_threadsafe(self._main.cancel)
        self._thread.join()

    def _run(self) -> None:
        self._main = self._loop.create_task(self._run_clients())
        with suppress(asyncio.CancelledError):
            self._loop.run_until_complete(self._main)
        self._loop.close()

    async def _run_clients(self) -> None:
        pairs = zip(self.clients, self._acts, strict=True)
        await asyncio.gather(*(client.run(act) for client, act in pairs))
