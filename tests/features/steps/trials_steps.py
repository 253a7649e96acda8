from behave import given, then, when

from bench.model import (
    LoadResult,
    ModelFleet,
    RouteLoad,
    TargetPlan,
    run_call,
    run_in_virtual_time,
)
from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.health import TargetHealth
from laburnumscale.localtarget import LocalTarget
from laburnumscale.metrics import Metrics
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


def admit(context, **fields):
    head = peer_pb2.CallHead(service="slot-desk", endpoint="e1", **fields)
    record = context.health._get_record(context.target)
    try:
        with context.health.admit_attempt(context.target, SETTINGS, head):
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
        idempotent=kind == "may be repeated",
        replayable=body == "can be sent again",
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
