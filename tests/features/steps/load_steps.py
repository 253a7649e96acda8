import asyncio
import logging
import random
from contextlib import ExitStack
from unittest import mock

import structlog
from behave import given, then, when

from bench.model import (
    Episode,
    LoadResult,
    ModelFleet,
    RouteLoad,
    TargetPlan,
    play_load,
    run_call,
    run_in_virtual_time,
)
from laburnumscale import attemptmonitor, health, slots
from laburnumscale.settingstree import EffectiveSettings

SEED = 4
DATA_CENTRES = ("makati", "pasig")
SETTINGS = EffectiveSettings(attempt_limit=2)
ROUTES = {
    "holds": RouteLoad("hold", 0, False, 300, 1_500, 3_000),
    "lookups": RouteLoad("lookup", 0, True, 300, 1_200, 2_500),
}
#: How to switch off a mechanism: module, name and value of constants.
SWITCHES = {
    "doubt": (
        (health, "MAX_DOUBT_MS", 0),
        (attemptmonitor, "LATE_SHARE", 1.0),
    ),
}


def plan_target(index, episodes):
    return TargetPlan(DATA_CENTRES[index % 2], episodes=tuple(episodes))


@given(
    "{count:d} model targets, of which each hangs {percent:d} percent of its calls for "
    "{length_s:d} s in turn"
)
def step_plan_hanging_targets(context, count, percent, length_s):
    context.plans = []
    for index in range(count):
        start_s = 2.0 + 2 * index % 19
        episode = Episode("hang", start_s, start_s + length_s, percent / 100)
        context.plans.append(plan_target(index, [episode]))


@given(
    "{count:d} model targets that are all {factor:d} times as slow from {start_s:d} s "
    "to {end_s:d} s"
)
def step_plan_slow_targets(context, count, factor, start_s, end_s):
    episode = Episode("slow", start_s, end_s, 1.0)
    context.plans = [plan_target(index, [episode]) for index in range(count)]


def play(context, kind, rate_per_s, duration_s, without=()):
    """Play a load and return the result of its route."""
    route = RouteLoad(
        **{
            field.name: getattr(ROUTES[kind], field.name)
            for field in RouteLoad.__attrs_attrs__
            if field.name != "calls_per_s"
        },
        calls_per_s=rate_per_s,
    )

    return play_routes(context, [route], duration_s, without)[route.name]


def play_routes(context, routes, duration_s, without=()):
    """Play the loads of several routes and return their results by name."""

    async def run():
        context.model_fleet = ModelFleet(context.plans, SETTINGS, SEED)
        return await play_load(context.model_fleet, routes, duration_s, SEED)

    random.seed(SEED)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        with ExitStack() as patches:
            for switch in without:
                patches.enter_context(mock.patch.object(*switch))
            return run_in_virtual_time(run)
    finally:
        structlog.reset_defaults()


@when("{duration_s:d} s of {kind} at {rate:d} calls a second are played")
def step_play(context, duration_s, kind, rate):
    context.result = play(context, kind, rate, duration_s)


@when(
    "{duration_s:d} s of {kind} at {rate:d} calls a second are played with and without "
    "{mechanism}"
)
def step_play_twice(context, duration_s, kind, rate, mechanism):
    context.result = play(context, kind, rate, duration_s)
    context.result_without = play(context, kind, rate, duration_s, SWITCHES[mechanism])


def count_lost(result):
    return result.refused + result.failed


def assert_ratio(more, fewer, ratio):
    assert more >= ratio * fewer, (more, fewer)


@then("without {mechanism} at least {ratio:f} times as many {kind} are lost")
def step_compare_lost(context, mechanism, ratio, kind):
    without, with_it = count_lost(context.result_without), count_lost(context.result)
    assert_ratio(without, with_it, ratio)


@then(
    "without {mechanism} at least {ratio:f} times as many {kind} miss their objective"
)
def step_compare_late(context, mechanism, ratio, kind):
    missed = [r.calls - r.in_time for r in (context.result_without, context.result)]
    assert_ratio(missed[0], missed[1], ratio)


@then("no hold has run twice, and none that was refused has run")
def step_check_at_most_once(context):
    found = (context.result.ran_twice, context.result.false_refusals)
    assert found == (0, 0), found


@then("every target has run holds in the last {period_s:d} s")
def step_check_all_run(context, period_s):
    last_runs_s = [machine.last_run_at_s for machine in context.model_fleet.machines]
    oldest_s = max(last_runs_s) - period_s
    assert min(last_runs_s) >= oldest_s, last_runs_s


@given(
    "{count:d} model targets with {slots:d} slot each, one of which is busy for "
    "{busy_s:d} s"
)
def step_plan_busy_target(context, count, slots, busy_s):
    context.plans = [TargetPlan(slots=slots) for _ in range(count)]
    context.busy_ms = 1000 * busy_s


@when(
    "a lookup that takes {work_ms:d} ms is sent to the other one with {left_ms:d} ms "
    "left"
)
def step_send_lookup(context, work_ms, left_ms):
    busy = RouteLoad("busy", 1, True, context.busy_ms, 20_000, 20_000)
    lookup = RouteLoad("lookup", 1, True, work_ms, left_ms, left_ms)

    async def run():
        fleet = ModelFleet(context.plans, SETTINGS, SEED)
        fleet.work_s.update(busy=context.busy_ms / 1000, lookup=work_ms / 1000)
        loop = asyncio.get_running_loop()
        first = loop.create_task(run_call(fleet, busy, "busy", LoadResult()))
        await asyncio.sleep(0.1)
        result = LoadResult()
        started_at_s = loop.time()
        await run_call(fleet, lookup, "lookup", result)
        context.elapsed_ms = 1000 * (loop.time() - started_at_s)
        context.runs = fleet.count_runs("lookup")
        first.cancel()
        return result

    random.seed(SEED)
    context.result = run_in_virtual_time(run)


@then("its caller gets the answer after {work_ms:d} ms")
def step_check_answered(context, work_ms):
    assert context.result.in_time == 1, context.result
    assert work_ms <= context.elapsed_ms < work_ms + 100, context.elapsed_ms


@then("the lookup has run once")
def step_check_one_run(context):
    assert context.runs == 1, context.runs


@given("{count:d} model targets of {slots:d} slots")
def step_plan_targets(context, count, slots):
    context.plans = [TargetPlan(slots=slots) for _ in range(count)]


@when(
    "{duration_s:d} s near the capacity are played with and without short calls first"
)
def step_play_mix(context, duration_s):
    routes = [
        RouteLoad("hold", 62, False, 300, 1_500, 3_000),
        RouteLoad("check", 40, True, 70, 300, 1_000, priority=1),
    ]

    def play_mix(without=()):
        return play_routes(context, routes, duration_s, without)

    context.mix = play_mix()
    context.mix_without = play_mix(((slots, "SHORT_CALL_SHARE", 0.0),))
    context.result = context.mix["hold"]


@then("at least {ratio:f} times as many checks are lost without it")
def step_compare_checks(context, ratio):
    without, with_it = (
        count_lost(mix["check"]) for mix in (context.mix_without, context.mix)
    )
    assert without > 0
    assert_ratio(without, with_it, ratio)


@then("at most {percent:d} percent of the holds are lost in addition")
def step_compare_holds(context, percent):
    without, with_it = context.mix_without["hold"], context.mix["hold"]
    added = count_lost(with_it) / with_it.calls - count_lost(without) / without.calls
    assert 100 * added <= percent, (with_it, without)
