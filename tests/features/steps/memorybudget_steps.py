import asyncio

from behave import given, then, when

from laburnumscale.deadlines import Deadline
from laburnumscale.memory import AnswerRoom, MemoryBudget, Purpose

MB = 1_000_000
STEP_BYTES = 100_000
PURPOSES = {
    "uploads": Purpose.UPLOADS,
    "responses": Purpose.RESPONSES,
    "target responses": Purpose.TARGET_RESPONSES,
    "bodies": Purpose.BODIES,
    "header sections": Purpose.HEADS,
    "received bytes": Purpose.RECEIVED,
    "calls": Purpose.CALLS,
    "unsent answers": Purpose.ANSWERS,
}
CEILING_ORDER = [
    Purpose.KEPT_PARTS,
    Purpose.UPLOADS,
    Purpose.BODIES,
    Purpose.HEADS,
    Purpose.RECEIVED,
    Purpose.EXPECTED_ANSWERS,
    Purpose.CALLS,
    Purpose.TARGET_RESPONSES,
    Purpose.STREAMS,
    Purpose.RESPONSES,
    Purpose.ANSWERS,
]
WAIT_MS = 50


@given(
    "a memory budget for a limit of {limit_mb:d} MB of which the process "
    "needs {own_mb:d} MB"
)
def step_create_budget(context, limit_mb, own_mb):
    context.budget = MemoryBudget(limit_mb * MB, own_mb * MB)


@given("the budget is full of {name}")
def step_fill(context, name):
    context.purpose = PURPOSES[name]
    context.count = 0
    while context.budget.reserve(context.purpose, STEP_BYTES):
        context.count += 1
    assert context.count > 1


@when(
    "memory is reserved in steps of 100 KB for each purpose in turn until it is refused"
)
def step_reserve_in_turn(context):
    context.refused = []
    while len(context.refused) < len(CEILING_ORDER):
        for purpose in CEILING_ORDER:
            has_room = context.budget.reserve(purpose, STEP_BYTES)
            if not has_room and purpose not in context.refused:
                context.refused.append(purpose)


@then("the purposes were refused in the order of their ceilings")
def step_check_order(context):
    assert context.refused == CEILING_ORDER, context.refused


@then("the budget holds at most {size_mb:d} MB")
def step_check_size(context, size_mb):
    assert context.budget.used_bytes <= size_mb * MB, context.budget.used_bytes


@when("all uploads are released")
def step_release_all(context):
    for _ in range(context.count):
        context.budget.release(context.purpose, STEP_BYTES)


@then("nothing is held for any purpose")
def step_check_empty(context):
    assert context.budget.used_bytes == 0
    assert not any(context.budget.held_for(purpose) for purpose in Purpose)


@then("an upload finds room")
def step_check_upload(context):
    assert context.budget.reserve(Purpose.UPLOADS, STEP_BYTES)


@then("a target response finds room")
def step_check_target_response(context):
    assert context.budget.reserve(Purpose.TARGET_RESPONSES, STEP_BYTES)


@then("a response finds room")
def step_check_response(context):
    assert context.budget.reserve(Purpose.RESPONSES, STEP_BYTES)


@when("{count:d} responses wait for room and {released:d} that are held are released")
def step_wait_in_order(context, count, released):
    async def run():
        waits = [
            asyncio.create_task(
                context.budget.wait_for_room(
                    Purpose.RESPONSES, STEP_BYTES, Deadline.after_ms(WAIT_MS)
                )
            )
            for _ in range(count)
        ]
        await asyncio.sleep(0)
        for _ in range(released):
            context.budget.release(Purpose.RESPONSES, STEP_BYTES)
        return await asyncio.gather(*waits)

    context.granted = asyncio.run(run())


@then("the first 2 of them got room, and the last one did not")
def step_check_granted(context):
    assert context.granted == [True, True, False], context.granted


@when("a target response waits for room")
def step_wait_for_target_response(context):
    async def run():
        return await context.budget.wait_for_room(
            Purpose.TARGET_RESPONSES, STEP_BYTES, Deadline.after_ms(WAIT_MS)
        )

    assert not asyncio.run(run())


@when("a response that waits for room is cancelled as it gets it")
def step_cancel_granted(context):
    context.held_bytes = context.budget.used_bytes - STEP_BYTES

    async def run():
        wait = asyncio.create_task(
            context.budget.wait_for_room(
                Purpose.RESPONSES, STEP_BYTES, Deadline.after_ms(WAIT_MS)
            )
        )
        await asyncio.sleep(0)
        context.budget.release(Purpose.RESPONSES, STEP_BYTES)
        wait.cancel()
        await asyncio.gather(wait, return_exceptions=True)

    asyncio.run(run())


@then("what is held is what is held by the others")
def step_check_held(context):
    assert context.budget.used_bytes == context.held_bytes


@then("a response is refused without waiting")
def step_check_refused_at_once(context):
    async def run():
        return await AnswerRoom(context.budget, Deadline.after_ms(1_000_000)).extend()

    assert not asyncio.run(asyncio.wait_for(run(), 1))
