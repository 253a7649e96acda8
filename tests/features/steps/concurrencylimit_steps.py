import asyncio
import logging
from types import SimpleNamespace
from unittest import mock

import numpy as np
import structlog
from behave import given, then, when

from bench import targetablation
from laburnumscale import concurrencylimit
from laburnumscale.addresses import Address
from laburnumscale.attemptmonitor import AttemptMonitor, HealthRecord
from laburnumscale.concurrencylimit import ConcurrencyLimit
from laburnumscale.deadlines import Deadline
from laburnumscale.localtarget import LocalTarget
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slots import release_slot
from laburnumscale_schema import peer_pb2

FULL_FROM = 0.75
PLAYED_S = 24.0


@given(
    "a target with {slots:d} slots, whose calls take {factor:f} times as long with all "
    "of them"
)
def step_create_target(context, slots, factor):
    context.slots, context.factor = slots, factor
    context.concurrency = ConcurrencyLimit()
    context.now_s = 1000.0
    context.random = np.random.default_rng(1)


def run_calls(context, duration_s, most, median_factor=1.0):
    """Complete calls of about a second at the level that the limit allows.

    :param median_factor: factor by which the median of the service rises meanwhile.
    """
    started_at_s = context.now_s
    end_at_s = started_at_s + duration_s
    clock = SimpleNamespace(monotonic=lambda: context.now_s)
    with mock.patch.object(concurrencylimit, "time", clock):
        while context.now_s < end_at_s:
            level = min(context.concurrency.limit or context.slots, most)
            phase = context.concurrency.phase
            over = max(0.0, level - FULL_FROM * context.slots)
            slowdown = 1 + (context.factor - 1) * over / (
                (1 - FULL_FROM) * context.slots
            )
            latency = slowdown * context.random.lognormal(0, 0.5)
            context.now_s += slowdown / level
            passed = (context.now_s - started_at_s) / duration_s
            median = 1 + (median_factor - 1) * passed
            context.concurrency.add(
                level, latency, context.slots, phase, reference_us=median
            )


@when("it is full for {duration_s:d} s")
def step_fill(context, duration_s):
    run_calls(context, duration_s, context.slots)


@when(
    "it is full for {duration_s:d} s, in which the median of its service rises to "
    "{factor:f} times"
)
def step_fill_beside_slow(context, duration_s, factor):
    run_calls(context, duration_s, context.slots, factor)


@when("it runs {count:d} calls at a time for {duration_s:d} s")
def step_run_some(context, count, duration_s):
    run_calls(context, duration_s, count)


@when("its speed no longer depends on its calls")
def step_recover(context):
    context.factor = 1.0


@when("a call is answered while learn_concurrency is {setting}")
def step_answer_call(context, setting):
    async def answer():
        target = SimpleNamespace(
            running=1,
            slots=context.slots,
            concurrency=context.concurrency,
            record_latency=lambda *values: None,
        )
        tracker = SimpleNamespace(
            stalls=SimpleNamespace(total_s=lambda: 0.0),
            is_comparison_valid=lambda service: True,
            record_result=lambda *values: None,
        )
        target.service = "slot-desk"
        settings = EffectiveSettings(learn_concurrency=setting == "on")
        monitor = AttemptMonitor(
            tracker, HealthRecord(target), settings, 1, 1.0, True, 1000
        )
        monitor.record_response(failed=False)
        monitor.end()

    asyncio.run(answer())


@then("it gets between {least:d} and {most:d} calls at a time")
def step_check_limit(context, least, most):
    found = context.concurrency.limit or context.slots
    assert least <= found <= most, context.concurrency


@given(
    "a target that runs {running:d} calls at a limit of {limit:d}, with {waiting:d} "
    "calls that wait"
)
def step_queue(context, running, limit, waiting):
    context.target = LocalTarget(
        service="slot-desk",
        endpoint="e1",
        address=Address("127.0.0.1", 9000),
        slots=8,
        state=peer_pb2.TARGET_STATE_READY,
        lease_deadline=Deadline.after_ms(10_000),
        running=running,
    )
    context.waiting = waiting


@when("the limit rises to {limit:d} and a call ends")
def step_raise_limit(context, limit):
    granted = [
        SimpleNamespace(done=lambda: False, set_result=lambda value: None)
        for _ in range(context.waiting)
    ]
    queue = context.target.queue
    with mock.patch.object(
        type(queue), "grant_next", lambda self: bool(granted and granted.pop())
    ):
        release_slot(context.target, limit)


@then("the target runs {count:d} calls")
def step_check_running(context, count):
    assert context.target.running == count, context.target.running


@given("a fleet whose targets slow down when nearly full")
def step_plan_fleet(context):
    context.drops = False


@when("nine tenths of its capacity are used with and without learned limits")
def step_play(context):
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        context.worths = [
            play_worth(changes, context.drops)
            for changes in ({"learn_concurrency": True}, {})
        ]
    finally:
        structlog.reset_defaults()


def play_worth(changes, drops):
    played = targetablation.play(
        changes, 0.9, seed=1, drops=drops, uneven=True, duration_s=PLAYED_S
    )
    return targetablation.total_worth([played])


@then("the worth without them is at least {difference:f} lower")
def step_compare_worth(context, difference):
    with_it, without = context.worths
    assert with_it - without >= difference, context.worths
