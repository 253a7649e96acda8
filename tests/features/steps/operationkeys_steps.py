import json
from concurrent.futures import ThreadPoolExecutor

import parse
from behave import given, register_type, then, when

from tests.standins.fleet import wait_until

CONTENT_ID = "keyed-hold"


@parse.with_pattern(r"d\d(?:, d\d)*")
def daemon_names(text):
    return text.split(", ")


register_type(DaemonNames=daemon_names)


def mint(context, daemon):
    path = "/_laburnumscale/v1/operation-keys"
    reply = context.fleet.daemons[daemon].call(path, "POST", b"")
    context.key = reply.json()["keys"][0]
    context.keyed_replies = []


def send(context, daemon, body=b"hold"):
    headers = {"Idempotency-Key": context.key, "X-Content-Id": CONTENT_ID}
    daemon = context.fleet.daemons[daemon]
    return daemon.call("/slot-desk/hold", "POST", body, headers)


def runs(context):
    return [
        entry
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["content_id"] == CONTENT_ID
    ]


@given("calls of slot-desk may take {limit_ms:d} ms")
def step_time_limit(context, limit_ms):
    path = context.fleet.directory / "patient.jsonc"
    settings = {"time_limit_ms": limit_ms, "idempotent": {"methods": ["GET"]}}
    path.write_text(json.dumps({"services": {"slot-desk": settings}}))
    done = context.fleet.run_cli("d1", "publish", str(path))
    assert done.returncode == 0, done
    daemons = context.fleet.daemons.values()
    wait_until(
        lambda: {daemon.status()["revision"] for daemon in daemons} == {2},
        "the time limit is in force everywhere",
    )


@given("an operation key from {daemon}")
def step_mint(context, daemon):
    mint(context, daemon)


@given("a forged operation key of {daemon}")
def step_forge(context, daemon):
    mint(context, daemon)
    signed, _, signature = context.key.rpartition("~")
    context.key = f"{signed}~{signature[::-1]}"


@given('the made-up operation key "{key}"')
def step_made_up(context, key):
    context.key = key
    context.keyed_replies = []


@given("every target takes {latency_ms:d} ms")
def step_latency(context, latency_ms):
    for target in context.fleet.targets.values():
        target.faults(latency_ms=latency_ms)


@given("a daemon {name} whose operation keys live {life_ms:d} ms")
def step_short_life(context, name, life_ms):
    context.fleet.start_daemon(name, "pasig", key_life_ms=life_ms)
    context.fleet.wait_ready()


@when("the keyed hold is sent to {daemons:DaemonNames}")
def step_send(context, daemons):
    for daemon in daemons:
        context.keyed_replies.append(send(context, daemon))


@when("the keyed hold is sent {count:d} times at once to {daemons}")
def step_send_parallel(context, count, daemons):
    names = daemons.split(", ")
    wanted = [names[index % len(names)] for index in range(count)]
    with ThreadPoolExecutor(count) as pool:
        context.keyed_replies = list(pool.map(lambda d: send(context, d), wanted))


@when("another hold is sent with the same key to {daemon}")
def step_send_other(context, daemon):
    context.keyed_replies = [send(context, daemon, b"another")]


@when("the keyed hold is sent to {daemon} while daemon {home} gets SIGTERM")
def step_send_and_stop(context, daemon, home):
    with ThreadPoolExecutor(1) as pool:
        pending = pool.submit(send, context, daemon)
        wait_until(lambda: runs(context), "the hold has reached a target")
        context.fleet.stop(context.fleet.daemons[home].process)
        context.keyed_replies.append(pending.result())


@when("the life of the operation key has ended")
def step_life_ended(context):
    daemon = context.key.partition("~")[0]
    wait_until(lambda: send(context, daemon).status != 200, "the key has expired")


@when("daemon {daemon} is killed and started again")
def step_replace(context, daemon):
    process = context.fleet.daemons[daemon].process
    process.kill()
    process.wait()
    data_centre = context.fleet.daemons[daemon].data_centre
    started = context.fleet.start_daemon(daemon, data_centre)
    wait_until(started.ready, "the replacement is ready")


@when("daemon {daemon} is killed")
def step_kill(context, daemon):
    process = context.fleet.daemons[daemon].process
    process.kill()
    process.wait()


@then("every keyed answer is the same with status {status:d}")
def step_same(context, status):
    assert {reply.status for reply in context.keyed_replies} == {status}, (
        context.keyed_replies
    )
    assert len({reply.body for reply in context.keyed_replies}) == 1


@then('the keyed answers are "{outcome}" because of "{reason}" with status {status:d}')
def step_refused(context, outcome, reason, status):
    for reply in context.keyed_replies:
        problem = reply.json()
        seen = (problem["outcome"], problem["reason"], reply.status)
        assert seen == (outcome, reason, status), reply


@then('the last {count:d} keyed answers are "{outcome}" with status {status:d}')
def step_last(context, count, outcome, status):
    for reply in context.keyed_replies[-count:]:
        assert (reply.json()["outcome"], reply.status) == (outcome, status), reply


@then("the targets ran the keyed hold exactly {count:d} {word}")
def step_runs(context, count, word):
    assert len(runs(context)) == count, runs(context)
