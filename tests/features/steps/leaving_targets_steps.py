import asyncio
import time
from unittest.mock import patch

from behave import given, then, when

from laburnumscale import deadlines
from laburnumscale.calls import CallRunner
from laburnumscale.headernames import HeaderNames
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun
from laburnumscale.retrybudget import RetryBudget
from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import SERVICE, RoutingEntry, new_call

LEAVING = 2
OVERLOADED = peer_pb2.NOT_RUN_REASON_OVERLOADED
IN_DOUBT = peer_pb2.NOT_RUN_REASON_IN_DOUBT
REFUSALS = {
    "overloaded": OVERLOADED,
    "draining": peer_pb2.NOT_RUN_REASON_DRAINING,
}


class _Clock:
    """A clock that the test sets forward."""

    def __init__(self):
        self.offset_s = 0.0

    def now_s(self):
        return time.monotonic() + self.offset_s


@given("an entry with 2 targets in service and one whose daemon drains")
def step_create_entry(context):
    context.clock = _Clock()
    patcher = patch.object(deadlines, "now_s", context.clock.now_s)
    patcher.start()
    context.add_cleanup(patcher.stop)
    context.entry = RoutingEntry()
    for index in range(LEAVING + 1):
        context.entry.merge(index, 1)
    # The entry sorts the endpoints of a service from its first call on.
    context.entry.router.pick(SERVICE, set(), True)
    context.entry.merge(LEAVING, 1, draining=True)


@given("it has heard of the drain {age_s:d} s ago")
def step_age_notice(context, age_s):
    context.clock.offset_s += age_s


@given("e2 has refused a call as draining")
def step_refuse_once(context):
    view = context.entry.members.endpoint(SERVICE, "e2")
    reply = peer_pb2.CallReply()
    reply.not_run.reason = peer_pb2.NOT_RUN_REASON_DRAINING
    context.entry.router.record_reply(view, 0, reply)


@given("e2 is ejected")
def step_eject(context):
    context.entry.merge(LEAVING, 1, draining=True, ejected=True, verdict_version=2)


@given("e2 is on trial")
def step_put_on_trial(context):
    context.entry.merge(LEAVING, 1, draining=True, on_trial=True, verdict_version=2)


@given("the path to e2 is broken")
def step_break_path(context):
    view = context.entry.members.endpoint(SERVICE, "e2")
    context.entry.paths.toggle(view.peer_address)


@given("e2 has reported calls that wait for a slot")
def step_report_full(context):
    context.entry.report(LEAVING, running=4, queued=2, open_slots=4)


@given("e2 is in another data centre")
def step_move(context):
    context.entry.merge(LEAVING, LEAVING + 1, draining=True)


@given("e2 has reported that it is in doubt")
def step_report_doubt(context):
    context.entry.report(LEAVING, open_slots=4, in_doubt=True)


@when("the daemon of e2 is in service again and drains once more")
def step_drain_again(context):
    context.entry.merge(LEAVING, 1)
    context.entry.merge(LEAVING, 1, draining=True)


@when("it makes a call that both targets in service refuse as overloaded")
def step_make_call(context):
    _make_calls(context, {"e0": OVERLOADED, "e1": OVERLOADED})


@when("it makes a call that all refuse, and e2 as {reason}")
def step_make_refused_call(context, reason):
    refusals = {"e0": OVERLOADED, "e1": OVERLOADED, "e2": REFUSALS[reason]}
    _make_calls(context, refusals)


@when("it makes {count:d} calls that every target answers")
def step_make_answered_calls(context, count):
    _make_calls(context, {}, count)


@when("it makes a call that may run only once and that both targets in service refuse")
def step_make_hold(context):
    _make_calls(context, {"e0": OVERLOADED, "e1": OVERLOADED}, idempotent=False)


@when("it makes a call that may run only once, which e2 refuses as in doubt")
def step_make_hold_in_doubt(context):
    refusals = {"e0": OVERLOADED, "e1": OVERLOADED, "e2": IN_DOUBT}
    _make_calls(context, refusals, idempotent=False)


def _make_calls(context, refusals, count=1, idempotent=True):
    """Make calls that targets answer, except those that refuse for a reason."""
    runner = CallRunner(
        None, context.entry.router, Metrics(), RetryBudget(), HeaderNames()
    )
    context.attempts = []

    async def reply(call, view):
        context.attempts.append((view.endpoint, call.may_queue))
        if view.endpoint in refusals:
            return NotRun(refusals[view.endpoint]), None
        return Answered(200), None

    runner._attempt = reply
    for _ in range(count):
        context.call = call = new_call(idempotent=idempotent)
        context.outcome, _ = asyncio.run(runner.run(call))


@then("it has asked the targets e0, e1 and e2 for a free slot")
def step_check_asked(context):
    asked = [endpoint for endpoint, may_queue in context.attempts if not may_queue]
    assert sorted(asked) == ["e0", "e1", "e2"], context.attempts
    assert asked[-1] == "e2", context.attempts


@then("it has then asked e0 and e1, but not e2, for a place in their queues")
def step_check_queued(context):
    queued = [endpoint for endpoint, may_queue in context.attempts if may_queue]
    assert sorted(queued) == ["e0", "e1"], context.attempts


@then("e2 was not asked")
def step_check_not_asked(context):
    assert "e2" not in [endpoint for endpoint, _ in context.attempts], context.attempts


@then("the refusal is not counted as one of a target in doubt")
def step_check_doubt_count(context):
    asked = [endpoint for endpoint, may_queue in context.attempts if not may_queue]
    assert asked[-1] == "e2", context.attempts
    assert not context.call.doubtful_endpoints, context.call.doubtful_endpoints


@then("the call is answered")
def step_check_answered(context):
    assert isinstance(context.outcome, Answered), context.outcome


@then("the call is not run, as overloaded")
def step_check_refused(context):
    assert isinstance(context.outcome, NotRun), context.outcome
    assert context.outcome.reason == OVERLOADED, context.outcome
