import logging
import random
from contextlib import contextmanager

import structlog
from behave import given, then, when

from bench import targetablation
from bench.model import (
    ModelFleet,
    RouteLoad,
    TargetPlan,
    play_load,
    run_in_virtual_time,
)
from laburnumscale.concentration import Concentration
from laburnumscale.endpointpool import SampledSet
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2

SLOTS = 8
SEED = 3
CHANGES = {"concentration_percent": 75, "return_successes": 1}


@contextmanager
def without_log():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        yield
    finally:
        structlog.reset_defaults()


@given(
    "an entry that prefers {count:d} of {total:d} targets with {slots:d} slots, up to "
    "a use of {percent:d} percent"
)
def step_create_concentration(context, count, total, slots, percent):
    context.concentration = Concentration(share=count / total)
    context.total, context.slots, context.percent = total, slots, percent


@when("it gets {count:d} reports of {running:d} running calls from them")
def step_report(context, count, running):
    report = peer_pb2.LoadReport(running=running)
    for _ in range(count):
        context.concentration.record_report(report, context.slots, context.percent)


@then("it prefers {count:d} of them")
def step_check_count(context, count):
    found = context.concentration.count(context.total)
    assert found == count, (found, context.concentration)


@given("two entries that hear of targets in a different order, of which some leave")
def step_create_orders(context):
    names = [f"e{index}" for index in range(40)]
    context.orders = []
    for heard in (names, names[::-1]):
        group = SampledSet()
        for name in heard[:20]:
            group.add(name)
        group.ordered()
        for name in heard[20:]:
            group.add(name)
        for name in names[::3]:
            group.remove(name)
        context.orders.append(group.ordered())
    context.remaining = set(names) - set(names[::3])


@then("both have the remaining targets in the same order of preference")
def step_check_orders(context):
    first, second = context.orders
    assert first == second == sorted(first)
    assert {name for _, name in first} == context.remaining


@given(
    "{count:d} model targets, and holds that {are} concentrated up to {percent:d} "
    "percent"
)
def step_plan_concentration(context, count, are, percent):
    context.plans = [TargetPlan(slots=SLOTS) for _ in range(count)]
    context.settings = EffectiveSettings(
        attempt_limit=2, concentration_percent=percent if are == "are" else 0
    )


@given("holds take {work_ms:d} ms and have an objective of {objective_ms:d} ms")
def step_set_objective(context, work_ms, objective_ms):
    context.work_ms, context.objective_ms = work_ms, objective_ms


@when("holds and lookups use a tenth of the slots for {duration_s:d} s")
def step_play_concentration(context, duration_s):
    calls_per_s = 0.1 * SLOTS * len(context.plans) / (context.work_ms / 1000)
    routes = [
        RouteLoad(name, calls_per_s / 2, name == "lookups", context.work_ms, *times)
        for name, times in (
            ("holds", (context.objective_ms, 4_000)),
            ("lookups", (3_000, 4_000)),
        )
    ]

    async def run():
        fleet = ModelFleet(context.plans, context.settings, SEED)
        context.model_fleet = fleet
        return await play_load(fleet, routes, duration_s, SEED)

    random.seed(SEED)
    with without_log():
        context.results = run_in_virtual_time(run)


@then(
    "between {least:d} and {most:d} targets have run holds in the last {period_s:d} s"
)
def step_check_few(context, least, most, period_s):
    fleet = context.model_fleet
    found = sum(
        at_s >= fleet.last_arrival_at_s() - period_s
        for at_s in fleet.last_at_most_once_at_s.values()
    )
    assert least <= found <= most, found


@then("every target has run calls in the last {period_s:d} s")
def step_check_all(context, period_s):
    fleet = context.model_fleet
    oldest_s = fleet.last_arrival_at_s() - period_s
    last_s = [machine.last_run_at_s for machine in fleet.machines]
    assert min(last_s) >= oldest_s, last_s


@then("every hold is answered")
def step_check_answered_holds(context):
    result = context.results["holds"]
    assert result.in_time + result.late == result.calls, result


@given("targets that break the connections of calls for a third of the time")
def step_plan_drops(context):
    context.drops = True


@when("a quarter of their capacity is used with and without concentration")
def step_play_drops(context):
    context.lost = [count_lost(CHANGES, context.drops), count_lost({}, context.drops)]


def count_lost(changes, drops):
    """Return how many calls that may run once are lost in two plays."""
    with without_log():
        plays = [
            targetablation.play(changes, 0.25, seed, drops=drops, uneven=False)
            for seed in (1, 2)
        ]
    return sum(played.results["orders"].failed for played in plays)


@then("at least {ratio:f} times as many calls that may run once are lost without it")
def step_compare_lost_once(context, ratio):
    with_it, without = context.lost
    assert without >= ratio * with_it, context.lost
