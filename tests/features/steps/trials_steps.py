import asyncio
import random

import attrs
from behave import given, then, when

from bench.model import (
    LoadResult,
    ModelFleet,
    RouteLoad,
    TargetPlan,
    play_load,
    run_call,
    run_in_virtual_time,
)
from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.health import TargetHealth
from laburnumscale.localtarget import LocalTarget
from laburnumscale.metrics import Metrics
from laburnumscale.recovery import TargetRecovery
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls
from laburnumscale_schema import peer_pb2

SETTINGS = EffectiveSettings(attempt_limit=2)
HOLD = RouteLoad("hold", 0, False, 20, 1_000, 2_000)


def make_target():
    return LocalTarget(
        service="slot-desk",
        endpoint="e1",
        address=Address("127.0.0.1", 9000),
        slots=4,
        state=peer_pb2.TARGET_STATE_READY,
        lease_deadline=Deadline.after_ms(10_000),
    )


def admit(context, settings=SETTINGS, **fields):
    head = peer_pb2.CallHead(service="slot-desk", endpoint="e1", **fields)
    record = context.health._get_record(context.target, settings)
    try:
        with context.health.admit_attempt(context.target, settings, head):
            context.result = "the trial call" if record.trial_running else "admitted"
    except AttemptRefused as refusal:
        reason = refusal.reply.not_run.reason
        names = peer_pb2.NotRunReason.DESCRIPTOR.values_by_number
        name = names[reason].name.removeprefix("NOT_RUN_REASON_")
        context.result = f"refused as {name.lower()}"


@given("a guard whose target is on trial")
def step_create_guard(context):
    context.target = make_target()
    context.target.set_verdict(on_trial=True)
    context.health = TargetHealth(recovery=None, stalls=LoopStalls(), metrics=Metrics())


@when("it gets a call that {kind}, with a body that {body}")
def step_admit(context, kind, body):
    admit(
        context,
        idempotent=kind != "may run once",
        replayable=body == "can be sent again",
        avoid_doubt=kind == "is on its last attempt",
    )


@when("it gets floor traffic that may run once")
def step_admit_floor_traffic(context):
    admit(context, replayable=True, floor_traffic=True)


@then("the call is {result}")
def step_check_result(context, result):
    assert context.result == result, context.result


@given("{count:d} model targets, of which half are on trial and no entry knows it")
def step_plan_trial(context, count):
    context.plans = [TargetPlan() for _ in range(count)]


@when("{count:d} holds are sent one after another")
def step_send_holds(context, count):
    context.result = LoadResult()

    async def send():
        context.model_fleet = ModelFleet(context.plans, SETTINGS, seed=1)
        for target in context.model_fleet.targets[::2]:
            target.set_verdict(on_trial=True)
        for number in range(count):
            request_id = f"call-{number}"
            context.model_fleet.work_s[request_id] = HOLD.work_ms / 1000
            # A new entry for each call, as one that was refused knows of the trial.
            runner, _ = context.model_fleet.runners[number]
            await run_call(
                context.model_fleet, HOLD, request_id, context.result, runner
            )

    run_in_virtual_time(send)


@then("all of them are answered and none has run at a target on trial")
def step_check_holds(context):
    result = context.result
    assert result.in_time == result.calls, result
    ran = [
        machine.calls for machine in context.model_fleet.machines[::2] if machine.calls
    ]
    assert not ran, ran


class _PassingRecovery(TargetRecovery):
    """Probes that always succeed."""

    async def _probe(self, target, settings):
        return True


async def let_pass(seconds):
    await asyncio.sleep(seconds)


async def make_history(context, history):
    """Give the target a history and record its results."""
    context.target = make_target()
    recovery = _PassingRecovery(None, Metrics(), lambda: None)
    context.health = TargetHealth(recovery, LoopStalls(), Metrics())
    settings = context.settings
    if "started 6 s ago" in history:
        await let_pass(6)
    record = context.health._get_record(context.target, settings)
    if "6 s ago" in history and "first call" in history:
        await let_pass(6)
    if "trial" not in history:
        return record
    for _ in range(settings.eject_after):
        context.health.record_result(record, settings, "server error")
    while not context.target.on_trial:
        await let_pass(0.01)
    if "passed" in history:
        context.health.record_result(record, settings, "")
    while context.target.on_trial:
        await let_pass(0.01)
    return record


@given("a guard with a target that {history}, and {needed:d} successes needed")
def step_create_history(context, history, needed):
    context.history = history
    context.settings = EffectiveSettings(return_successes=needed)


@when("the target answers calls: {results}")
def step_answer_calls(context, results):
    async def run():
        record = await make_history(context, context.history)
        for result in results.split(", ") if results != "none" else ():
            cause = "" if result == "good" else "server error"
            context.health.record_result(record, context.settings, cause)
        admit(context, context.settings, replayable=True, avoid_doubt=True)

    run_in_virtual_time(run)


@then("a call that may run once is {result}")
def step_check_admitted(context, result):
    assert context.result == result, context.result


@given("{count:d} model targets that need {needed:d} successes")
def step_plan_new_targets(context, count, needed):
    context.plans = [TargetPlan() for _ in range(count)]
    context.settings = EffectiveSettings(attempt_limit=2, return_successes=needed)


@when("{duration_s:d} s of holds at {rate:d} calls a second are sent to them")
def step_send_holds_for(context, duration_s, rate):
    route = attrs.evolve(HOLD, calls_per_s=rate)

    async def run():
        context.model_fleet = ModelFleet(context.plans, context.settings, seed=1)
        return await play_load(context.model_fleet, [route], duration_s, seed=1)

    random.seed(1)
    context.result = run_in_virtual_time(run)[route.name]


@then(
    "all of them are answered, and every target has run some in the last {period_s:d} s"
)
def step_check_all_in_use(context, period_s):
    result = context.result
    assert result.in_time == result.calls, result
    last_runs_s = [machine.last_run_at_s for machine in context.model_fleet.machines]
    assert min(last_runs_s) >= max(last_runs_s) - period_s, last_runs_s
