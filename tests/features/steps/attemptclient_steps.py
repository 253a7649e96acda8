import asyncio

from behave import given, then, when

from laburnumscale.attemptclient import ReplyReader
from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2

MAX_READ_S = 3.0


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
