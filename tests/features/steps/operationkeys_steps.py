import json
from concurrent.futures import ThreadPoolExecutor

import parse
from behave import given, register_type, then, when

from tests.standins.fleet import wait_until

CONTENT_ID = "keyed-hold"


@parse.with_pattern(r"d\d(?:, d\d)*")
def split_daemon_names(text):
    return text.split(", ")


register_type(DaemonNames=split_daemon_names)


def mint_key(context, daemon):
    path = "/_laburnumscale/v1/operation-keys"
    response = context.fleet.daemons[daemon].call(path, "POST", b"")
    context.key = response.json()["keys"][0]
    context.keyed_responses = []


def send_keyed_request(context, daemon, body=b"hold"):
    headers = {"Idempotency-Key": context.key, "X-Content-Id": CONTENT_ID}
    daemon = context.fleet.daemons[daemon]
    return daemon.call("/slot-desk/hold", "POST", body, headers)


def recorded_runs(context):
    return [
        entry
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["content_id"] == CONTENT_ID
    ]


@given("calls of slot-desk have a time limit of {limit_ms:d} ms")
def step_publish_time_limit(context, limit_ms):
    path = context.fleet.directory / "patient.jsonc"
    settings = {"time_limit_ms": limit_ms, "idempotent": {"methods": ["GET"]}}
    path.write_text(json.dumps({"services": {"slot-desk": settings}}))
    completed = context.fleet.run_cli("d1", "publish", str(path))
    assert completed.returncode == 0, completed
    daemons = context.fleet.daemons.values()
    wait_until(
        lambda: {daemon.status()["revision"] for daemon in daemons} == {2},
        "the time limit is in force everywhere",
    )


@given("an operation key minted by {daemon}")
def step_mint_key(context, daemon):
    mint_key(context, daemon)


@given("an operation key of {daemon} with a forged signature")
def step_forge_key(context, daemon):
    mint_key(context, daemon)
    signed, _, signature = context.key.rpartition("~")
    context.key = f"{signed}~{signature[::-1]}"


@given('the operation key "{key}" that no daemon minted')
def step_use_unminted_key(context, key):
    context.key = key
    context.keyed_responses = []


@given("every target has a latency of {latency_ms:d} ms")
def step_set_latency(context, latency_ms):
    for target in context.fleet.targets.values():
        target.faults(latency_ms=latency_ms)


@given("a daemon {name} whose operation keys expire after {life_ms:d} ms")
def step_start_daemon_with_key_life(context, name, life_ms):
    context.fleet.start_daemon(name, "pasig", key_life_ms=life_ms)
    context.fleet.wait_ready()


@when("the keyed request is sent to {daemons:DaemonNames}")
def step_send_keyed_request(context, daemons):
    for daemon in daemons:
        context.keyed_responses.append(send_keyed_request(context, daemon))


@when("the keyed request is sent {count:d} times in parallel to {daemons}")
def step_send_in_parallel(context, count, daemons):
    names = daemons.split(", ")
    assigned_daemons = [names[index % len(names)] for index in range(count)]
    with ThreadPoolExecutor(count) as pool:
        context.keyed_responses = list(
            pool.map(lambda d: send_keyed_request(context, d), assigned_daemons)
        )


@when("a different request is sent with the same key to {daemon}")
def step_send_different_request(context, daemon):
    context.keyed_responses = [send_keyed_request(context, daemon, b"another")]


@when("the keyed request is sent to {daemon} while daemon {home} gets SIGTERM")
def step_send_during_shutdown(context, daemon, home):
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(send_keyed_request, context, daemon)
        wait_until(lambda: recorded_runs(context), "the request has reached a target")
        context.fleet.stop(context.fleet.daemons[home].process)
        context.keyed_responses.append(pending.result())


@when("the keyed request is sent to {daemon} in the background")
def step_send_in_background(context, daemon):
    pool = ThreadPoolExecutor(1)
    context.add_cleanup(pool.shutdown)
    context.pending = pool.submit(send_keyed_request, context, daemon)
    wait_until(lambda: recorded_runs(context), "the request has reached a target")


@when("the open connections between {one} and {other} are reset, and the links are cut")
def step_reset_and_cut(context, one, other):
    cut = {"cut": True, "reset": True}
    for name in (f"{one}>{other}", f"{other}>{one}"):
        context.fleet.links[name].faults(forward=cut, backward=cut)


@when("the keyed request in the background ends")
def step_wait_for_background(context):
    context.keyed_responses.append(context.pending.result())


@when("the operation key has expired")
def step_wait_key_expired(context):
    daemon = context.key.partition("~")[0]
    wait_until(
        lambda: send_keyed_request(context, daemon).status != 200, "the key has expired"
    )


@when("daemon {daemon} is killed and started again")
def step_replace_daemon(context, daemon):
    process = context.fleet.daemons[daemon].process
    process.kill()
    process.wait()
    data_centre = context.fleet.daemons[daemon].data_centre
    replacement = context.fleet.start_daemon(daemon, data_centre)
    wait_until(replacement.is_ready, "the replacement is ready")


@when("daemon {daemon} is killed")
def step_kill_daemon(context, daemon):
    process = context.fleet.daemons[daemon].process
    process.kill()
    process.wait()


@then("all keyed responses are equal with status {status:d}")
def step_check_equal_responses(context, status):
    assert {response.status for response in context.keyed_responses} == {status}, (
        context.keyed_responses
    )
    assert len({response.body for response in context.keyed_responses}) == 1


@then(
    'the keyed responses have outcome "{outcome}", reason "{reason}", status {status:d}'
)
def step_check_outcome_and_reason(context, outcome, reason, status):
    for response in context.keyed_responses:
        problem = response.json()
        actual = (problem["outcome"], problem["reason"], response.status)
        assert actual == (outcome, reason, status), response


@then(
    'the last {count:d} keyed responses have outcome "{outcome}" and status {status:d}'
)
def step_check_last_outcomes(context, count, outcome, status):
    for response in context.keyed_responses[-count:]:
        assert (response.json()["outcome"], response.status) == (outcome, status), (
            response
        )


@then("the targets ran the keyed request exactly {count:d} {word}")
def step_check_run_count(context, count, word):
    assert len(recorded_runs(context)) == count, recorded_runs(context)
