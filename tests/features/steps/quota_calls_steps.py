import json
import signal
import time

from behave import given, then, when

from tests.features.steps.platform_steps import (
    configuration_document,
    send_request,
    start_platform_daemon,
)

STATUS_OK = 200
STATUS_OVER_QUOTA = 429
FILL_S = 3.0


@given("a platform fleet of {count:d} daemons with quotas")
def step_start(context, count):
    context.fleet.start_store()
    tolerance = {"quota_over_percent": 10, "quota_slack_calls": 20}
    for index in range(count):
        start_platform_daemon(context, f"d{index + 1}", "makati", **tolerance)


@given("the operator has written version {version:d} with the quotas {quotas}")
def step_write(context, version, quotas):
    document = configuration_document(version)
    document["tenants"], context.limits = [], {}
    for each in quotas.split("; "):
        name, key, rate, burst = each.split()
        limits = {"rate_per_s": float(rate), "burst": float(burst)}
        document["tenants"].append({"name": name, "api_keys": [key], **limits})
        context.limits[key] = limits
    body = json.dumps(document).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == STATUS_OK


def call(context, daemon, key, path="/lookup/a"):
    return send_request(context, "GET", path, daemon, **{"X-Key": key})


@when(
    "{first:d} calls with key-1 and {second:d} calls with key-2 are sent to each daemon"
)
def step_send(context, first, second):
    time.sleep(FILL_S)  # until the bucket of a new daemon is full
    context.responses, started_at_s = {}, time.monotonic()
    for key, count in (("key-1", first), ("key-2", second)):
        context.responses[key] = [
            call(context, daemon, key)
            for _ in range(count)
            for daemon in context.fleet.daemons
        ]
        context.took_s = time.monotonic() - started_at_s
        if key == "key-1":
            context.first_took_s = context.took_s


@then(
    "at least {least:d} calls with key-1 get 200, as many as accrue, and the others 429"
)
def step_check_quota(context, least):
    responses, limits = context.responses["key-1"], context.limits["key-1"]
    accepted = [each for each in responses if each.status == STATUS_OK]
    refused = [each for each in responses if each.status != STATUS_OK]
    accrued = limits["rate_per_s"] * context.first_took_s
    most = max(1.0, limits["burst"]) + accrued + 1
    assert least <= len(accepted) <= most, (len(accepted), most)
    assert refused, "the quota was used up"
    assert {each.status for each in refused} == {STATUS_OVER_QUOTA}, refused
    fields = [
        {key.lower(): each.headers[key] for key in each.headers} for each in refused
    ]
    assert all(float(each["retry-after"]) > 0 for each in fields), fields


@then("all calls with key-2 get 200")
def step_check_unlimited(context):
    assert {each.status for each in context.responses["key-2"]} == {STATUS_OK}


@then("the targets have run as many calls as got 200")
def step_check_runs(context):
    run = sum(len(context.fleet.targets[each].ledger()) for each in ("e1", "e2"))
    responses = sum(context.responses.values(), [])
    assert run == sum(each.status == STATUS_OK for each in responses), run


@when("a call with key-1 to a service without targets gets 503 at {daemon}")
def step_fail(context, daemon):
    response = call(context, daemon, "key-1", "/proof/a")
    assert response.status == 503, response
    time.sleep(0.2)  # until the call has been returned to its keeper


@then("calls with {keys} get {statuses} at {daemon}")
def step_check_calls(context, keys, statuses, daemon):
    found = [str(call(context, daemon, key).status) for key in keys.split(", ")]
    assert found == statuses.split(", "), found


@when("the process of {daemon} is killed")
def step_kill(context, daemon):
    context.fleet.stop(context.fleet.daemons[daemon].process, signal.SIGKILL)
    context.fleet.daemons.pop(daemon)
