import asyncio
import time

from behave import given, then, when

from laburnumscale.deadlines import Deadline
from laburnumscale.drainstate import DrainState
from laburnumscale.errors import WorkCutOff


@given("a drain of {drain_ms:d} ms that has begun")
def step_begin_drain(context, drain_ms):
    context.state = DrainState()
    context.state.begin(Deadline.after_ms(drain_ms))


@when("the process is suspended for {pause_ms:d} ms")
def step_suspend(context, pause_ms):
    time.sleep(pause_ms / 1000)


@when("the drain is begun again for {drain_ms:d} ms")
def step_begin_again(context, drain_ms):
    context.state.begin(Deadline.after_ms(drain_ms))


@then("work is accepted")
def step_check_accepted(context):
    assert context.state.accepts_work


@then("work is not accepted")
def step_check_not_accepted(context):
    assert not context.state.accepts_work


@then("the notice period ends within {limit_ms:d} ms")
def step_check_notice(context, limit_ms):
    assert 0 < context.state.notice_deadline.left_ms() <= limit_ms


@then("work with {left_ms:d} ms left ends within {limited_ms:d} ms")
def step_check_limit(context, left_ms, limited_ms):
    deadline = context.state.limit(Deadline.after_ms(left_ms))
    assert deadline.left_ms() <= limited_ms, deadline.left_ms()


async def work(state):
    try:
        async with state.cut_off_scope():
            await asyncio.Event().wait()
    except WorkCutOff:
        return "cut off"
    except asyncio.CancelledError:
        return "given up"


@when("{count:d} pieces of work are in progress when the drain cuts off work")
def step_cut_off_running(context, count):
    async def cut_off():
        tasks = [asyncio.create_task(work(context.state)) for _ in range(count)]
        await asyncio.sleep(0)
        context.state.cut_off()
        return await asyncio.gather(*tasks)

    context.results = asyncio.run(cut_off())


@when("{count:d} pieces of work begin after the drain has cut off work")
def step_cut_off_before(context, count):
    async def begin():
        context.state.cut_off()
        return await asyncio.gather(*(work(context.state) for _ in range(count)))

    context.results = asyncio.run(begin())


@when("work is cancelled by its caller before the drain cuts off work")
def step_cancel_work(context):
    async def cancel():
        task = asyncio.create_task(work(context.state))
        await asyncio.sleep(0)
        task.cancel()
        context.state.cut_off()
        return await task

    context.result = asyncio.run(cancel())


@then("all {count:d} pieces of work report that they were cut off")
def step_check_cut_off(context, count):
    assert context.results == ["cut off"] * count, context.results


@then("the work reports that its caller gave up")
def step_check_given_up(context):
    assert context.result == "given up", context.result
