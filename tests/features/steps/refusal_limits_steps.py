import asyncio

from behave import given, then, when

from laburnumscale.calls import CallRunner
from laburnumscale.headernames import HeaderNames
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun
from laburnumscale.retrybudget import RetryBudget
from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import RoutingEntry, new_call

REASONS = {
    "ejected": peer_pb2.NOT_RUN_REASON_EJECTED,
    "in_doubt": peer_pb2.NOT_RUN_REASON_IN_DOUBT,
    "overloaded": peer_pb2.NOT_RUN_REASON_OVERLOADED,
}


@given("an entry with {count:d} targets and a call that may run only once")
def step_create_entry(context, count):
    context.entry = RoutingEntry()
    for index in range(count):
        context.entry.merge(index, 1)
    context.call = new_call()


@given("its body {kind}")
def step_set_body(context, kind):
    async def stream_body():
        yield b"x"

    context.call.body = b"x" if kind == "can be sent again" else stream_body()


@when("its attempts are refused as overloaded unless they wait for a slot")
def step_refuse_without_slot(context):
    def end_attempt():
        waits = context.call.may_queue
        return Answered(200) if waits else NotRun(REASONS["overloaded"])

    _run(context, end_attempt)


@when("its attempts are refused as {reasons}, and the next one is answered")
def step_refuse_in_turn(context, reasons):
    left = [REASONS[name] for name in reasons.split(", ")]
    _run(context, lambda: NotRun(left.pop(0)) if left else Answered(200))


@when("all its attempts are refused as {reason}")
def step_refuse_all(context, reason):
    _run(context, lambda: NotRun(REASONS[reason]))


@when(
    "its attempts are refused as in_doubt while they avoid doubt, and as overloaded "
    "after that"
)
def step_refuse_doubt(context):
    def refuse():
        avoids = context.call.avoids_doubt
        return NotRun(REASONS["in_doubt" if avoids else "overloaded"])

    _run(context, refuse)


def _run(context, end_attempt):
    """Run the call with attempts that end as a function says."""
    router = context.entry.router
    runner = CallRunner(None, router, Metrics(), RetryBudget(), HeaderNames())
    context.may_queue = []

    async def reply(call, view):
        context.may_queue.append(call.may_queue)
        return end_attempt(), None

    runner._attempt = reply
    context.outcome, _ = asyncio.run(runner.run(context.call))


@then("the call has made {count:d} attempts and is answered")
def step_check_answered(context, count):
    assert len(context.may_queue) == count, context.may_queue
    assert isinstance(context.outcome, Answered), context.outcome


@then("the call has made {count:d} attempts and is not run")
def step_check_refused(context, count):
    assert len(context.may_queue) == count, context.may_queue
    assert isinstance(context.outcome, NotRun), context.outcome


@then("the last attempt asked for a place in a queue")
def step_check_queue(context):
    assert context.may_queue[-1], context.may_queue
