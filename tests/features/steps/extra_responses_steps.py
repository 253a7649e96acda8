import asyncio
from contextlib import suppress

import aiohttp
from behave import given, then, when
from yarl import URL

from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.transmission import (
    SendOnceRequest,
    TargetConnector,
    Transmission,
    send_once,
)

ID_HEADER = "X-Attempt-Id"
LARGE_BYTES = 2 * 1024 * 1024


def build_message(status, request_id, body=b"", chunked=False):
    lines = [f"HTTP/1.1 {status} X"]
    if request_id:
        lines.append(f"{ID_HEADER}: {request_id}")
    if chunked:
        lines.append("Transfer-Encoding: chunked")
        framed = b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)
    else:
        lines.append(f"Content-Length: {len(body)}")
        framed = body
    return "\r\n".join([*lines, "", ""]).encode() + framed


def refusal(request_id):
    return build_message(503, request_id, b"refused")


EXTRAS = {
    "a refusal of a": refusal("a"),
    "a refusal of b": refusal("b"),
    "a refusal of z": refusal("z"),
    "a refusal without an ID": refusal(""),
    "an answer to a": build_message(200, "a", b"body of a"),
    "a chunked answer to b": build_message(200, "b", b"body of b", chunked=True),
    "an answer to a and a refusal of b": build_message(200, "a", b"x") + refusal("b"),
    "an interim response and a refusal of a": (
        b"HTTP/1.1 103 Early Hints\r\n\r\n" + refusal("a")
    ),
    "five refusals of a": refusal("a") * 5,
    "an answer of 2 MB to a": build_message(200, "a", b"x" * LARGE_BYTES),
    "half a refusal of a": refusal("a")[:30],
    "an answer to a in two parts": build_message(200, "a", b"x" * 1000),
}


class ScriptedTarget:
    """A target that writes extra bytes before the responses to some requests.

    :ivar extras: bytes to write before the response to a request, by its ID.
    :ivar served: IDs of the requests of each connection.
    """

    def __init__(self):
        self.extras = {}
        self.served = []
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        port = self.server.sockets[0].getsockname()[1]
        self.url = URL(f"http://127.0.0.1:{port}/")

    async def stop(self):
        self.server.close()
        for writer in self.writers:
            writer.close()
            with suppress(OSError):
                await writer.wait_closed()

    async def serve(self, reader, writer):
        ids = []
        self.served.append(ids)
        self.writers.append(writer)
        with suppress(OSError, EOFError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.lower().split("\r\n")
                prefix = ID_HEADER.lower() + ": "
                name = next(x for x in lines if x.startswith(prefix))
                request_id = name.removeprefix(prefix)
                ids.append(request_id)
                extra = self.extras.get(request_id, b"")
                if extra == EXTRAS["an answer to a in two parts"]:
                    writer.write(extra[:-10])
                    await asyncio.sleep(0.02)
                    extra = extra[-10:]
                writer.write(extra)
                if extra == EXTRAS["half a refusal of a"]:
                    writer.close()
                    return
                writer.write(
                    build_message(200, request_id, b"body of " + request_id.encode())
                )
                await writer.drain()


class Caller:
    """Sends requests to the target over kept connections."""

    def __init__(self, target):
        self.target = target
        self.session = aiohttp.ClientSession(
            connector=TargetConnector(limit=0),
            request_class=SendOnceRequest,
            auto_decompress=False,
        )

    async def send(self, request_id):
        """Return the transmission, and the status, ID and body of the response."""
        deadline = Deadline.after_ms(2000)
        transmission = Transmission(
            Attempt(), deadline, deadline, request_id=request_id, id_header=ID_HEADER
        )
        exchange = send_once(
            self.session,
            transmission,
            "POST",
            self.target.url,
            headers={ID_HEADER: request_id},
        )
        try:
            async with asyncio.timeout(2), exchange as response:
                body = await response.read()
                seen = (response.status, response.headers.get(ID_HEADER, ""), body)
        except aiohttp.ClientError:
            seen = None
        return transmission, seen


def play(context, run):
    """Run a scenario's requests after those of its first step."""

    async def main():
        context.target = ScriptedTarget()
        await context.target.start()
        caller = Caller(context.target)
        try:
            for request_id in ("a", "b"):
                await caller.send(request_id)
            assert context.target.served == [["a", "b"]], context.target.served
            await run(caller)
        finally:
            await caller.session.close()
            await context.target.stop()

    asyncio.run(main())


@given("a target that has answered the requests a and b on a kept connection")
def step_prepare(context):
    context.seen = None  # each later step plays these requests first


@when("it is sent the request c and writes {extra} before its response to c")
def step_send_after_extra(context, extra):
    async def run(caller):
        context.target.extras["c"] = EXTRAS[extra]
        context.transmission, context.seen = await caller.send("c")
        await caller.send("d")

    play(context, run)


@when("it writes {extra} while the connection is idle")
def step_write_idle(context, extra):
    async def run(caller):
        context.target.writers[0].write(EXTRAS[extra])
        await asyncio.sleep(0.05)
        context.transmission, context.seen = await caller.send("c")

    play(context, run)


@when("it is sent the request a again")
def step_send_again(context):
    async def run(caller):
        context.transmission, context.seen = await caller.send("a")

    play(context, run)


@then("the response is that to c with its whole body")
def step_check_response(context):
    assert context.seen == (200, "c", b"body of c"), context.seen


@then("{count:d} extra responses were skipped")
def step_check_skipped(context, count):
    assert context.transmission.skipped == count, context.transmission


@then("the connection is not used again")
def step_check_not_reused(context):
    assert context.target.served == [["a", "b", "c"], ["d"]], context.target.served


@then("the response is {seen}")
def step_check_seen(context, seen):
    status, request_id = {
        "a refusal of z": (503, "z"),
        "a refusal without an ID": (503, ""),
        "a refusal of a": (503, "a"),
        "an answer to a": (200, "a"),
        "no response": (None, None),
    }[seen]
    found = (None, None) if context.seen is None else context.seen[:2]
    assert found == (status, request_id), context.seen


@then("the request {request_id} is sent on another connection and answered")
def step_check_other_connection(context, request_id):
    expected = (200, request_id, b"body of " + request_id.encode())
    assert context.seen == expected, context.seen
    assert context.target.served == [["a", "b"], [request_id]], context.target.served
