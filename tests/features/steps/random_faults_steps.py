import asyncio
import itertools
import json
import os

from behave import given, then, when

from tests.features.steps.platform_steps import (
    configuration_document,
    start_platform_daemon,
)
from tests.standins.faultplay import OTHER_KEY, QUOTA_KEY, STORE, FaultPlay
from tests.standins.fleet import wait_until

#: Override the numbers of the feature, for long runs.
SEED_VARIABLE, DAEMONS_VARIABLE = "SEED", "DAEMONS"
BURST = 10
WINDOW_S = 5.0
#: Machines are in touch when nothing has happened to them for so long.
IN_TOUCH_AFTER_S = 3.0
STATUS_OK = 200


def start_daemon(context, name):
    store_port = context.fleet.links[f"{name}>{STORE}"].port
    return start_platform_daemon(
        context,
        name,
        "makati",
        caller_service="slot-desk",
        log_url=f"http://127.0.0.1:{store_port}",
        quota_window_ms=int(WINDOW_S * 1000),
        quota_over_percent=10,
        quota_slack_calls=20,
    )


@given(
    "{count:d} daemons with links between them and to the log, and a quota of {rate:d} "
    "calls a second"
)
def step_start(context, count, rate):
    count = int(os.environ.get(DAEMONS_VARIABLE, count))
    context.fleet.start_store()
    document = configuration_document(3)
    document["tenants"] = [
        {"name": "acme", "api_keys": [QUOTA_KEY], "rate_per_s": rate, "burst": BURST},
        {"name": "bravo", "api_keys": [OTHER_KEY]},
    ]
    body = json.dumps(document).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == STATUS_OK
    names = [f"d{number + 1}" for number in range(count)]
    for source, destination in itertools.permutations(names, 2):
        context.fleet.link_daemons(source, destination)
    for name in names:
        context.fleet.link(f"{name}>{STORE}", context.fleet.log_port)
    for name in names:
        start_daemon(context, name)
    for name in names:
        wait_until(context.fleet.daemons[name].is_ready, f"{name} is ready")


@when("faults happen in {count:d} series with calm times between, with seed {seed:d}")
def step_play(context, count, seed):
    seed = int(os.environ.get(SEED_VARIABLE, seed))
    print("seed", seed)
    context.play = FaultPlay(
        context.fleet, seed, lambda name: start_daemon(context, name)
    )
    asyncio.run(context.play.run(count))


@then("at most {limit:d} calls of the account were sent and run in any {window_s:d} s")
def step_check_quota(context, limit, window_s):
    most = context.play.most_in_window(window_s)
    print("most in a window", most)
    assert 0 < most <= limit, (most, context.play.events)


@then(
    "no call reached a target {drain_s:d} s after its acknowledged departure in a calm "
    "time"
)
def step_check_departures(context, drain_s):
    print("departures", context.play.count_departures())
    assert context.play.count_departures()
    found = context.play.runs_after_leaving(drain_s, IN_TOUCH_AFTER_S)
    assert not found, (len(found), found[:5], context.play.events)
