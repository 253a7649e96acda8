import asyncio
import socket
import struct
from contextlib import aclosing, suppress

import aiohttp
from behave import given, then, when
from yarl import URL

from laburnumscale.addresses import Address
from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.localtarget import LocalTarget
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.targetresponses import iter_replies
from laburnumscale.transmission import (
    SendOnceRequest,
    TargetConnector,
    Transmission,
    send_once,
)
from laburnumscale_schema import peer_pb2

BODY = b"the whole body"
UPLOAD = b"u" * 100_000
LENGTH = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: c\r\nContent-Length: 14\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: c\r\nTransfer-Encoding: chunked\r\n"
CHUNKS = b"\r\n4\r\nthe \r\na\r\nwhole body\r\n0\r\n"
OPEN_ENDED = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: c\r\n\r\n"
FORMS = {
    "a length": LENGTH + BODY,
    "a length in two segments": LENGTH + BODY,
    "chunks": CHUNKED + CHUNKS + b"\r\n",
    "chunks and a trailer": CHUNKED + CHUNKS + b"X-Sum: 1\r\n\r\n",
    "bare line feeds": LENGTH.replace(b"\r", b"") + BODY,
    "an interim response": b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n" + LENGTH + BODY,
    "the end of its connection": OPEN_ENDED + BODY,
    "status 204": b"HTTP/1.1 204 No Content\r\nX-Attempt-Id: c\r\n\r\n",
}


class CuttingTarget:
    """A target that writes the beginning of its answer and ends the connection.

    :ivar cut: number of bytes to write; all if None.
    """

    def __init__(self, answer, is_reset, in_segments):
        self.answer = answer
        self.is_reset = is_reset
        self.in_segments = in_segments
        self.cut = None

    async def serve(self, reader, writer):
        with suppress(OSError, EOFError):
            head = await reader.readuntil(b"\r\n\r\n")
            if head.startswith(b"PUT"):
                await reader.readexactly(len(UPLOAD))
            written = self.answer[: self.cut]
            middle = len(written) // 2 if self.in_segments else 0
            writer.write(written[:middle])
            await asyncio.sleep(0)
            writer.write(written[middle:])
            await writer.drain()
            if self.is_reset and self.cut is not None:
                linger = struct.pack("ii", 1, 0)
                writer.get_extra_info("socket").setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, linger
                )
                await asyncio.sleep(0.002)  # the bytes arrive before the reset
                writer.transport.abort()
        writer.close()


async def fetch(session, method, port):
    """Return whether an answer is complete, its status and its body."""
    deadline = Deadline.after_ms(2000)
    transmission = Transmission(
        Attempt(), deadline, deadline, request_id="c", id_header="X-Attempt-Id"
    )
    target = LocalTarget(
        "slot-desk",
        "e1",
        Address("127.0.0.1", port),
        5,
        peer_pb2.TARGET_STATE_READY,
        deadline,
    )
    settings = EffectiveSettings(close_ends_answer=True)
    head = peer_pb2.CallHead(method=method)
    exchange = send_once(
        session,
        transmission,
        method,
        URL(f"http://127.0.0.1:{port}/"),
        headers={"X-Attempt-Id": "c"},
        data=UPLOAD if method == "PUT" else None,
    )
    body, status, is_complete = b"", 0, False
    with suppress(aiohttp.ClientError, LaburnumscaleError):
        async with asyncio.timeout(2), exchange as response:
            replies = iter_replies(target, settings, head, response, 1_000_000)
            async with aclosing(replies):
                async for reply in replies:
                    status = reply.head.status or status
                    body += reply.body
                    is_complete = reply.end
    return is_complete, status, body


async def fetch_cut(context, cuts):
    """Return the cuts after which an answer is taken as complete, and the whole one."""
    target = CuttingTarget(context.answer, context.is_reset, "segments" in context.form)
    server = await asyncio.start_server(target.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    session = aiohttp.ClientSession(
        connector=TargetConnector(limit=0, force_close=True),
        request_class=SendOnceRequest,
        auto_decompress=False,
    )
    complete = []
    async with session:
        for cut in cuts:
            target.cut = cut
            found = await fetch(session, context.method, port)
            if found[0]:
                complete.append((cut, found))
        target.cut = None
        whole = await fetch(session, context.method, port)
    server.close()
    return complete, whole


@given("a target that answers {method} with {form}")
def step_create_target(context, method, form):
    context.method, context.form = method, form
    context.answer = FORMS[form]
    if method == "HEAD":
        context.answer = context.answer.removesuffix(BODY)


@when("its answer is cut before each of its bytes by {end}")
def step_cut(context, end):
    context.is_reset = end == "a reset"
    cuts = range(len(context.answer))
    context.complete, context.whole = asyncio.run(fetch_cut(context, cuts))


@when("its answer is cut before each byte of its head by a close")
def step_cut_head(context):
    context.is_reset = False
    cuts = range(len(OPEN_ENDED))
    context.complete, context.whole = asyncio.run(fetch_cut(context, cuts))


@then("no cut answer is taken as complete")
def step_check_cut(context):
    assert context.complete == [], context.complete


@then("the whole answer is")
def step_check_whole(context):
    has_body = context.method != "HEAD" and "204" not in context.form
    status = 204 if "204" in context.form else 200
    expected = (True, status, BODY if has_body else b"")
    assert context.whole == expected, context.whole
