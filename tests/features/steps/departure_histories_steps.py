import os
import random

from behave import then, when

from bench.model.virtualtime import run_in_virtual_time
from tests.standins.departurefleet import DepartureFleet

PHASES = 12


def play(seed, faults):
    async def run():
        fleet = DepartureFleet(seed)
        await fleet.play(faults, PHASES)
        return fleet

    # The library draws from the common generator.
    random.seed(seed)
    return run_in_virtual_time(run)


@when("daemons have {faults} while targets leave, with the seeds {first:d} to {last:d}")
def step_play(context, faults, first, last):
    faults = faults.split(", ")
    seeds = os.environ.get("SEEDS", "")
    seeds = map(int, seeds.split()) if seeds else range(first, last + 1)
    context.histories = {seed: play(seed, faults) for seed in seeds}


@then("no daemon takes up a process whose departure was acknowledged")
def step_check_violations(context):
    assert all(each.acknowledged for each in context.histories.values())
    found = {
        seed: each.violations
        for seed, each in context.histories.items()
        if each.violations
    }
    assert not found, found


@then("departures are acknowledged within {limit_s:g} s once nothing is at fault")
def step_check_delays(context, limit_s):
    delays_s = [
        delay_s for each in context.histories.values() for delay_s in each.delays_s
    ]
    assert delays_s
    assert max(delays_s) <= limit_s, max(delays_s)
