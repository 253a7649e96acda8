import asyncio
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from laburnumscale import loadtable
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline
from laburnumscale.headernames import HeaderNames
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import NotRun
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import SERVICE, RoutingEntry

START_S = 1000.0
MS_PER_S = 1000


@given(
    "an entry that got the reports of 2 targets {age_ms:d} ms ago, with {first:d} and "
    "{second:d} calls in their queues"
)
def step_create_entry(context, age_ms, first, second):
    times_s = [START_S]
    time = SimpleNamespace(monotonic=lambda: times_s[-1])
    patcher = patch.object(loadtable, "time", time)
    patcher.start()
    context.add_cleanup(patcher.stop)
    context.entry = RoutingEntry()
    for index, queued in enumerate((first, second)):
        context.entry.merge(index, 1)
        context.entry.report(index, running=4, queued=queued)
    times_s.append(START_S + age_ms / MS_PER_S)


@when("it makes a call that both refuse as overloaded")
def step_make_call(context):
    runner = CallRunner(
        None, context.entry.router, Metrics(), RetryBudget(), HeaderNames()
    )
    context.attempts = []

    async def refuse(call, view):
        context.attempts.append((view.endpoint, call.waits))
        return NotRun(peer_pb2.NOT_RUN_REASON_OVERLOADED), None

    runner._attempt = refuse
    call = Call(
        request=None,
        request_id="a",
        service=SERVICE,
        path_and_query="/",
        settings=EffectiveSettings(),
        idempotent=True,
        deadline=Deadline.after_ms(2000),
        body=b"",
    )
    context.outcome, _ = asyncio.run(runner.run(call))


@then("it asked {asked:d} targets for a free slot and both for a place in their queues")
def step_check_attempts(context, asked):
    waiting = [endpoint for endpoint, waits in context.attempts if waits]
    assert sorted(waiting) == ["e0", "e1"], context.attempts
    assert len(context.attempts) - len(waiting) == asked, context.attempts
    assert isinstance(context.outcome, NotRun), context.outcome
