import json
import os
import re
import time
from statistics import median

from behave import given, then, when

from tests.standins.callers import Callers
from tests.standins.faults import RandomFaults
from tests.standins.fleet import request, wait_until
from tests.standins.history import CallRecord, check_history

DRAIN_LIMIT_S = 5.0
RANDOM_FAULTS_S = float(os.environ.get("SOAK_S", "15"))
SEED = int(os.environ.get("SEED", "20261"))


def callers(context, **plan):
    urls = tuple(daemon.callers for daemon in context.fleet.daemons.values())
    context.callers = Callers(urls=urls, seed=SEED, **plan)
    context.callers.start()
    return context.callers


def wait_for_answers(context, count):
    wanted = context.callers.outcomes()["answered"] + count
    wait_until(
        lambda: context.callers.outcomes()["answered"] >= wanted, f"{count} answers"
    )


@when("outcomes callers send lookups and holds to all daemons")
def step_load(context):
    callers(context)
    wait_for_answers(context, 100)


@when("each daemon is restarted in turn under the outcomes load")
def step_rolling(context):
    for name, daemon in list(context.fleet.daemons.items()):
        assert context.fleet.stop(daemon.process) == 0
        context.fleet.start_daemon(name, daemon.data_centre)
        context.fleet.wait_ready()
        wait_for_answers(context, 100)


@when("targets {endpoints} are drained in turn under the outcomes load")
def step_drain_targets(context, endpoints):
    for endpoint in endpoints.split(", "):
        target = context.fleet.targets[endpoint]
        target.faults(state="draining")

        def heard(endpoint=endpoint):
            return all(
                daemon.endpoints("slot-desk").get(endpoint) == "TARGET_STATE_DRAINING"
                for daemon in context.fleet.daemons.values()
            )

        wait_until(heard, f"{endpoint} drains", DRAIN_LIMIT_S)
        runs = len(target.ledger())
        wait_for_answers(context, 100)
        assert len(target.ledger()) == runs, (endpoint, runs)


@when("the outcomes callers stop")
def step_stop(context):
    context.callers.stop()


@then("every outcomes call was answered")
def step_all_answered(context):
    outcomes = context.callers.outcomes()
    print(dict(outcomes))
    assert set(outcomes) == {"answered"}, context.callers.statuses


@when("outcomes callers send {rate:d} lookups a second for {duration:d} s")
def step_overload(context, rate, duration):
    load = callers(context, rate_per_s=rate, hold_percent=0)
    context.started_at_s = time.monotonic()
    wait_until(lambda: time.monotonic() >= context.started_at_s + duration, "load")
    load.stop()
    context.elapsed_s = time.monotonic() - context.started_at_s


@then("at least {percent:d} percent of {capacity:d} outcomes answers a second came")
def step_goodput(context, percent, capacity):
    answered = context.callers.outcomes()["answered"]
    print(dict(context.callers.statuses), answered, context.elapsed_s)
    assert answered >= capacity * context.elapsed_s * percent / 100


@then("the outcomes refusals came within {limit:d} ms and say when to come back")
def step_refusals(context, limit):
    outcomes = context.callers.outcomes()
    assert set(outcomes) <= {"answered", "not_run", "unknown"}, outcomes
    assert outcomes["unknown"] <= outcomes.total() / 100, context.callers.statuses
    assert context.callers.without_retry_after == 0
    waited_ms = median(context.callers.waits_s["not_run"]) * 1000
    assert waited_ms < limit, waited_ms


@then("the outcomes retries are within {percent:d} percent of the calls")
def step_retries(context, percent):
    retries = sum(counter(daemon, "retries") for daemon in daemons(context))
    first_tokens = 10 * len(context.fleet.daemons)
    calls = len(context.callers.records)
    print(retries, calls)
    assert retries <= calls * percent / 100 + first_tokens, (retries, calls)


def daemons(context):
    return context.fleet.daemons.values()


def counter(daemon, name):
    text = request("GET", f"http://{daemon.operator}/metrics").body.decode()
    found = re.findall(rf"^laburnumscale_{name}_total\{{.*\}} (\d+)$", text, re.M)
    return sum(map(int, found))


@given("outcomes links between daemons {names}")
def step_links(context, names):
    daemons = names.split(", ")
    for source in daemons:
        for destination in daemons:
            if source != destination:
                context.fleet.link_daemons(source, destination)


@given("outcomes targets with ledger files {endpoints} beside {daemons}")
def step_ledger_targets(context, endpoints, daemons):
    pairs = zip(endpoints.split(", "), daemons.split(", "), strict=True)
    for endpoint, daemon in pairs:
        path = context.fleet.directory / f"{endpoint}.ledger"
        context.fleet.start_target(
            "slot-desk", endpoint, daemon, latency_ms=20, ledger_file=path
        )


@when("outcomes callers meet random faults")
def step_random(context):
    print(f"seed {SEED}, {RANDOM_FAULTS_S} s")
    load = callers(context, callers=12, leave_percent=5)
    faults = RandomFaults(context.fleet, SEED)
    try:
        faults.run(RANDOM_FAULTS_S)
        context.fleet.wait_ready()
        wait_for_answers(context, 100)
    finally:
        load.stop()
    print(faults.applied)
    print(dict(load.outcomes()))


@then("some outcomes calls were answered")
def step_some(context):
    assert context.callers.outcomes()["answered"] > 100


@then("the outcomes history agrees with the ledgers")
def step_history(context):
    ledger = [
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in entries(context, target)
    ]
    violations = check_history(context.callers.records, ledger)
    assert not violations, violations


def entries(context, target):
    path = context.fleet.directory / f"{target.endpoint}.ledger"
    if not path.exists():
        return target.ledger()
    return [json.loads(line) for line in path.read_text().splitlines()]


@given("an outcomes history without violations")
def step_good_history(context):
    context.history = [
        CallRecord("hold", False, "answered", "hold"),
        CallRecord("refused", False, "not_run"),
        CallRecord("lost", False, "unknown"),
        CallRecord("lookup", True, "answered", "lookup"),
    ]
    context.ledger = ["hold", "lookup", "lookup"]
    assert not check_history(context.history, context.ledger)


@when("{fault} is planted in the outcomes history")
def step_plant(context, fault):
    if fault == "a hold that ran twice":
        context.ledger.append("hold")
    elif fault == "a refused hold that ran":
        context.ledger.append("refused")
    elif fault == "an answer without a run":
        context.ledger.remove("hold")
    elif fault == "an answer of another caller":
        context.history[0] = CallRecord("hold", False, "answered", "lookup")
    else:
        context.ledger.append("stranger")


@then('the outcomes checker names "{promise}"')
def step_named(context, promise):
    violations = check_history(context.history, context.ledger)
    assert [violation.promise for violation in violations] == [promise], violations
