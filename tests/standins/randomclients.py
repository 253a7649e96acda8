"""Random clients.

Draws what a misbehaving client does, so that a crowd mixes requests of all kinds that
are cut at any byte, sent ahead, left unread or repeated on new connections.
"""

import asyncio
import itertools
from collections.abc import Iterator
from contextlib import suppress
from random import Random

import attrs

from tests.standins.crowd import KEYS_PATH, KIB, MIB, Act, Client, short_fields

__all__ = ["ClientPlan", "draw_act", "draw_plan"]

FILLER = b"x" * (256 * KIB)
MAX_ROUNDS = 4
MAX_PAUSE_S = 0.3
MAX_READ_S = 1.0
REQUESTS_AHEAD = (1, 1, 1, 2, 20, 100)
#: Bytes that one connection sends at most, if a cut does not end it earlier.
MAX_SENT_BYTES = 6 * MIB
DOWNLOADS = (10, 2_000, 48_000, 64 * KIB, 64 * KIB + 1, MIB, 16 * MIB)
BODIES = (
    1,
    100,
    4 * KIB,
    8 * KIB,
    9 * KIB,
    60_000,
    64 * KIB,
    64 * KIB + 1,
    MIB,
    4 * MIB,
)
CHUNKS = (1, 16, 300, 4 * KIB, 64 * KIB, 256 * KIB)
CHUNK_COUNTS = (1, 20, 2_000)
PATHS = (
    "/proof-vault/proof",
    "/proof-vault/proof",
    KEYS_PATH,
    f"{KEYS_PATH}?count=2",
    "/_laburnumscale/unknown",
    "/no-such-service/x",
    "*",
)
ODD_FIELDS = (
    "Upgrade: websocket",
    "Connection: upgrade",
    "Connection: close",
    "Expect: 100-continue",
    "Expect: something",
    "X-Request-Timeout-Ms: 3000",
    "Idempotency-Key: foreign",
    "no colon",
)


@attrs.frozen
class ClientPlan:
    """What a client does on one connection.

    :ivar parts: what it sends, until ``cut_at_bytes``.
    :ivar cut_at_bytes: bytes after which it stops.
    :ivar read_s: how long it reads responses; 0 to read none.
    :ivar pause_s: pause between the parts.
    """

    parts: Iterator[bytes]
    cut_at_bytes: int
    read_s: float
    pause_s: float


def draw_act(rng: Random) -> Act:
    """Return what a client does: some connections, of which the last one stays open."""

    async def act(client: Client) -> None:
        for _ in range(rng.randrange(MAX_ROUNDS)):
            with suppress(OSError):
                await _follow(client, draw_plan(rng))
            await asyncio.sleep(rng.uniform(0, MAX_PAUSE_S))
            await client.reconnect()
        await _follow(client, draw_plan(rng))

    return act


async def _follow(client: Client, plan: ClientPlan) -> None:
    if plan.read_s:
        reading = asyncio.create_task(_read(client))
    else:
        client.writer.transport.pause_reading()
    left_bytes = plan.cut_at_bytes
    try:
        for part in plan.parts:
            await client.send(part[:left_bytes])
            left_bytes -= len(part)
            if left_bytes <= 0:
                break
            await asyncio.sleep(plan.pause_s)
        await asyncio.sleep(plan.read_s)
    finally:
        if plan.read_s:
            reading.cancel()


async def _read(client: Client) -> None:
    with suppress(OSError):
        while await client.reader.read(64 * KIB):
            pass


def draw_plan(rng: Random) -> ClientPlan:
    """Draw what a client does on one connection."""
    ahead = rng.choice(REQUESTS_AHEAD)
    requests = [_draw_request(rng, is_large=ahead < 20) for _ in range(min(ahead, 2))]
    sizes_bytes = [sum(map(len, request)) for request in requests]
    size_bytes = sum(sizes_bytes[number % len(requests)] for number in range(ahead))
    repeated = itertools.islice(itertools.cycle(requests), ahead)
    cut_at_bytes = rng.choice(
        (size_bytes, size_bytes - 1, size_bytes - 1, rng.randrange(size_bytes) + 1)
    )
    return ClientPlan(
        parts=itertools.chain.from_iterable(repeated),
        cut_at_bytes=min(cut_at_bytes, MAX_SENT_BYTES),
        read_s=rng.choice((0, 0, rng.uniform(0, MAX_READ_S))),
        pause_s=rng.choice((0, 0, 0.001)),
    )


def _draw_request(rng: Random, is_large: bool) -> list[bytes]:
    if rng.random() < 0.3:
        chunked = rng.choice(("", "?chunked"))
        path = f"/proof-vault/download/{rng.choice(DOWNLOADS)}{chunked}"
        return [_head("GET", path, _draw_fields(rng))]
    fields = _draw_fields(rng)
    body = rng.choice((_draw_sized_body, _draw_chunked_body))(rng, fields, is_large)
    return [_head(rng.choice(("POST", "PUT", "GET")), rng.choice(PATHS), fields), *body]


def _head(method: str, path: str, fields: list[str]) -> bytes:
    lines = [f"{method} {path} HTTP/1.1", "Host: crowd", *fields]
    return "\r\n".join([*lines, "", ""]).encode()


def _draw_fields(rng: Random) -> list[str]:
    kind = rng.randrange(6)
    if kind == 0:
        return short_fields()
    if kind == 1:
        return [f"X-Filler-{number}: {'x' * 1000}" for number in range(15)]
    if kind == 2:
        return [rng.choice(ODD_FIELDS)]
    return []


def _draw_sized_body(rng: Random, fields: list[str], is_large: bool) -> list[bytes]:
    sizes = BODIES if is_large else BODIES[:5]
    size_bytes = rng.choice(sizes)
    announced = rng.choice((size_bytes, size_bytes, size_bytes, 10**12))
    fields.append(f"Content-Length: {announced}")
    whole, rest = divmod(size_bytes, len(FILLER))
    return [FILLER] * whole + [FILLER[:rest]]


def _draw_chunked_body(rng: Random, fields: list[str], is_large: bool) -> list[bytes]:
    fields.append(
        rng.choice(("Transfer-Encoding: chunked", "Transfer-Encoding: Chunked"))
    )
    size_bytes = rng.choice(CHUNKS if is_large else CHUNKS[:3])
    chunk = b"%x\r\n%b\r\n" % (size_bytes, FILLER[:size_bytes])
    count = min(rng.choice(CHUNK_COUNTS), 1 + 4 * MIB // len(chunk))
    per_part = max(1, len(FILLER) // len(chunk))
    whole, rest = divmod(count, per_part)
    ends = (
        b"0\r\n\r\n",
        b"0\r\nX-Trailer: x\r\n\r\n",
        b"0\r\n" + b"X: x\r\n" * 9000,
        b"z\r\n",
    )
    return [chunk * per_part] * whole + [chunk * rest + rng.choice(ends)]
