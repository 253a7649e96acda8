import asyncio
import contextlib
import socket
import time

from behave import given, then, when

from laburnumscale.attemptclient import ReplyReader
from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2

MAX_READ_S = 3.0
READ_TIMEOUT_S = 10.0
READ_BYTES = 64 * 1024


@given("an attempt that yields replies until its deadline in {left_ms:d} ms")
def step_create_attempt(context, left_ms):
    async def replies():
        async with asyncio.timeout(left_ms / 1000):
            while True:
                yield peer_pb2.CallReply(body=b"part")

    context.replies = replies


@when("its replies are read only after {pause_ms:d} ms")
def step_read_slowly(context, pause_ms):
    async def read():
        reader = ReplyReader(context.replies())
        first = await reader.read_first(Deadline.after_ms(pause_ms))
        assert first is not None
        await asyncio.sleep(pause_ms / 1000)
        started_at_s = asyncio.get_running_loop().time()
        try:
            async with asyncio.timeout(MAX_READ_S):
                async for _ in reader.read_remaining():
                    pass
        except TimeoutError:
            return MAX_READ_S
        finally:
            await reader.close()
        return asyncio.get_running_loop().time() - started_at_s

    context.read_s = asyncio.run(read())


@then("the replies end within {limit_ms:d} ms")
def step_check_end(context, limit_ms):
    assert context.read_s * 1000 <= limit_ms, context.read_s


@when(
    "a caller downloads {size:d} bytes from d1 within {limit_ms:d} ms but reads only "
    "after {pause_ms:d} ms"
)
def step_download_late(context, size, limit_ms, pause_ms):
    address = ("127.0.0.1", context.fleet.daemons["d1"].ports["caller"])
    head = (
        f"GET /proof-vault/download/{size} HTTP/1.1\r\nHost: a\r\n"
        f"X-Request-Timeout-Ms: {limit_ms}\r\n\r\n"
    )
    answer = bytearray()
    started_at_s = time.monotonic()
    with socket.create_connection(address, READ_TIMEOUT_S) as connection:
        connection.sendall(head.encode())
        time.sleep(pause_ms / 1000)
        with contextlib.suppress(OSError):
            while chunk := connection.recv(READ_BYTES):
                answer += chunk
    context.download_s = time.monotonic() - started_at_s
    context.answer = bytes(answer)


@then("it ended within {limit_ms:d} ms")
def step_check_download_end(context, limit_ms):
    assert context.download_s * 1000 <= limit_ms, context.download_s
