import asyncio
import random
from contextlib import nullcontext, suppress

from behave import given, then, when

from laburnumscale.errors import BodyIncomplete
from laburnumscale.keptbodies import BodyMemory, KeptBody

PART_BYTES = 50_000
SEED = 40


def parts_of(size_bytes):
    return [
        bytes([number % 251]) * min(PART_BYTES, size_bytes - start)
        for number, start in enumerate(range(0, size_bytes, PART_BYTES))
    ]


async def source_of(parts, pause=lambda: 0.0, breaks_off=False):
    for part in parts:
        await asyncio.sleep(pause())
        yield part
    if breaks_off:
        raise BodyIncomplete("a", "the caller has left")


async def read_copy(body, pause=lambda: 0.0):
    read = []
    async for part in body.read():
        read.append(part)
        await asyncio.sleep(pause())
    return b"".join(read)


def create_body(context, source):
    context.memory = BodyMemory()
    context.body = KeptBody(source, context.memory, "a")


@given(
    "{count:d} random orders of up to {copies:d} copies of a body, "
    "of which some are cancelled"
)
def step_read_in_random_orders(context, count, copies):
    rng = random.Random(SEED)
    context.memory = BodyMemory()
    context.wrong = []

    def pause():
        return rng.choice((0.0, 0.0, 0.0002))

    async def read_after(body):
        await asyncio.sleep(rng.random() / 500)
        return await read_copy(body, pause)

    async def run_order(number):
        parts = [bytes([rng.randrange(256)]) * 10 for _ in range(rng.randrange(12))]
        body = KeptBody(source_of(parts, pause), context.memory, "a")
        tasks = [
            asyncio.create_task(read_after(body)) for _ in range(rng.randint(1, copies))
        ]
        cancelled = {task for task in tasks[1:] if rng.random() < 0.4}
        for task in cancelled:
            await asyncio.sleep(rng.random() / 500)
            task.cancel()
        for task in tasks:
            with (
                suppress(asyncio.CancelledError) if task in cancelled else nullcontext()
            ):
                if await task != b"".join(parts):
                    context.wrong.append((number, len(parts)))
        body.close()

    async def run_orders():
        for number in range(count):
            await run_order(number)

    asyncio.run(run_orders())


@then("each copy that was not cancelled got the whole body")
def step_check_whole(context):
    assert not context.wrong, context.wrong


@then("nothing is kept after the end of the attempts")
def step_check_memory(context):
    assert context.memory.used_bytes == 0, context.memory.used_bytes


@given("a body that breaks off after {count:d} parts")
def step_create_broken_body(context, count):
    create_body(context, source_of([b"part"] * count, breaks_off=True))


@given("a body of {size_bytes:d} bytes")
def step_create_body(context, size_bytes):
    context.parts = parts_of(size_bytes)
    create_body(context, source_of(context.parts))


@when("{count:d} copies read it one after the other")
def step_read_one_after_the_other(context, count):
    async def read():
        for _ in range(count):
            try:
                context.answers.append(await read_copy(context.body))
            except BodyIncomplete:
                context.failures += 1
        context.body.close()

    context.answers, context.failures = [], 0
    asyncio.run(read())


@when("one copy reads it to its end while another one has stopped after its first part")
def step_read_beside_late_copy(context):
    async def read():
        late = context.body.read()
        await anext(late)
        context.answers = [await read_copy(context.body)]
        context.failures = 0
        try:
            async for _ in late:
                pass
        except BodyIncomplete:
            context.failures = 1
        context.body.close()

    asyncio.run(read())


@then("{count:d} copies fail as incomplete")
def step_check_failures(context, count):
    assert context.failures == count, context.failures


@then("the other copy got the whole body")
def step_check_answer(context):
    assert context.answers == [b"".join(context.parts)], len(context.answers[0])


@then("it cannot be repeated")
def step_check_not_repeatable(context):
    assert not context.body.can_repeat


@given("{count:d} bodies of {size_bytes:d} bytes that are read at the same time")
def step_read_many(context, count, size_bytes):
    context.memory = BodyMemory()
    expected = b"".join(parts_of(size_bytes))
    bodies = [
        KeptBody(source_of(parts_of(size_bytes)), context.memory, "a")
        for _ in range(count)
    ]

    async def read():
        for body in bodies:
            context.are_whole.append(await read_copy(body) == expected)
            context.most_bytes = max(context.most_bytes, context.memory.used_bytes)
        context.repeatable = sum(body.can_repeat for body in bodies)
        for body in bodies:
            body.close()

    context.are_whole, context.most_bytes = [], 0
    asyncio.run(read())


@then("at most {size_bytes:d} bytes were kept")
def step_check_most(context, size_bytes):
    assert 0 < context.most_bytes <= size_bytes, context.most_bytes


@then("{count:d} of the bodies can be repeated")
def step_check_repeatable(context, count):
    assert context.repeatable == count, context.repeatable


@then("each of them was read completely")
def step_check_all_whole(context):
    assert all(context.are_whole), context.are_whole
