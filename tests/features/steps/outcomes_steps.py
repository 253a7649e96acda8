import http.client
import json
import signal
import threading
import time
import uuid
from concurrent.futures import ThreadPoolExecutor

import grpc
from behave import given, then, when

from laburnumscale_schema import peer_pb2, peer_pb2_grpc
from tests.standins.fleet import wait_until
from tests.standins.history import CallRecord, check_history

GRPC_OPTIONS = (("grpc.enable_http_proxy", 0),)


@given("outcomes link from {source} to {destination}")
def step_link(context, source, destination):
    context.fleet.link_daemons(source, destination)


@given("outcomes targets {endpoint} of {service} beside {daemon} with {latency:d} ms")
def step_slow_target(context, endpoint, service, daemon, latency):
    context.fleet.start_target(service, endpoint, daemon, latency_ms=latency)


@when("a fake entry sends these attempts of a hold to the guard of {daemon}")
def step_fake_entry(context, daemon):
    process = context.fleet.daemons[daemon]
    address = f"127.0.0.1:{process.ports['peer']}"
    with grpc.insecure_channel(address, options=GRPC_OPTIONS) as channel:
        stub = peer_pb2_grpc.GuardStub(channel)
        for row in context.table:
            number = fake_attempt(context, daemon, int(row["sequence"]))
            number.guard_incarnation -= row["guard"] == "former"
            if row["do"] == "settle":
                result = settle(stub, number, daemon)
            else:
                result = call(stub, number, int(row["low_water"]))
            assert result == row["result"], (row, result)


def settle(stub, number, daemon):
    request = peer_pb2.SettleRequest(attempt=number, guard=daemon, time_left_ms=5000)
    verdict = stub.Settle(request, timeout=20).verdict
    return peer_pb2.SettleVerdict.Name(verdict).removeprefix("SETTLE_VERDICT_")


def hold_request(number, low_water=0, **head_fields):
    head = peer_pb2.CallHead(
        attempt=number,
        low_water_sequence=low_water,
        service="slot-desk",
        endpoint="e1",
        method="POST",
        path_and_query="/hold",
        time_left_ms=5000,
        **{"send_left_ms": 5000, **head_fields},
    )
    return peer_pb2.CallRequest(head=head, body=b"{}", end=True)


def call(stub, number, low_water):
    return result_of(list(stub.Call(hold_request(number, low_water), timeout=20))[-1])


def result_of(reply):
    if reply.HasField("not_run"):
        name = peer_pb2.NotRunReason.Name(reply.not_run.reason)
        return f"not_run {name.removeprefix('NOT_RUN_REASON_').lower()}"
    if reply.HasField("unknown"):
        name = peer_pb2.UnknownReason.Name(reply.unknown.reason)
        return f"unknown {name.removeprefix('UNKNOWN_REASON_').lower()}"
    return "answered"


def fake_attempt(context, daemon, sequence):
    own = context.fleet.daemons[daemon].status()["members"][0]
    return peer_pb2.AttemptId(
        entry="fake",
        entry_incarnation=1,
        guard_incarnation=int(own["incarnation"]),
        sequence=sequence,
    )


@when("a fake entry's hold is held back on its way to {daemon} until it is settled")
def step_held_back(context, daemon):
    port = context.fleet.daemons[daemon].ports["peer"]
    link = context.fleet.link("held", port)
    number = fake_attempt(context, daemon, 1)
    with (
        grpc.insecure_channel(f"127.0.0.1:{link.port}", GRPC_OPTIONS) as held,
        grpc.insecure_channel(f"127.0.0.1:{port}", GRPC_OPTIONS) as direct,
    ):
        grpc.channel_ready_future(held).result(timeout=20)
        link.faults(forward={"cut": True})
        replies = peer_pb2_grpc.GuardStub(held).Call(hold_request(number))
        verdict = settle(peer_pb2_grpc.GuardStub(direct), number, daemon)
        assert verdict == "NOT_RUN", verdict
        link.faults(forward={"cut": False})
        context.fake_result = result_of(list(replies)[-1])


@when("a fake entry's hold waits longer in the frozen {daemon} than it may")
def step_frozen(context, daemon):
    process = context.fleet.daemons[daemon]
    first, second = (fake_attempt(context, daemon, n) for n in (1, 2))
    address = f"127.0.0.1:{process.ports['peer']}"
    with grpc.insecure_channel(address, GRPC_OPTIONS) as channel:
        stub = peer_pb2_grpc.GuardStub(channel)
        heard = list(stub.Call(hold_request(first), timeout=20))[-1].guard_time_us
        process.process.send_signal(signal.SIGSTOP)
        late = hold_request(second, send_left_ms=500, guard_time_us=heard)
        replies = stub.Call(late)
        over_at_s = time.monotonic() + 0.6
        wait_until(lambda: time.monotonic() > over_at_s, "the hold is too old")
        process.process.send_signal(signal.SIGCONT)
        context.fake_result = result_of(list(replies)[-1])


@then('the fake entry\'s hold has the result "{result}"')
def step_fake_result(context, result):
    assert context.fake_result == result, context.fake_result


@then("the outcomes ledger of {endpoint} shows {count:d} runs")
def step_ledger(context, endpoint, count):
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) == count, ledger


@then("the outcomes ledger of {endpoint} shows {count:d} runs of {method}")
def step_ledger_method(context, endpoint, count, method):
    ledger = context.fleet.targets[endpoint].ledger()
    assert sum(entry["method"] == method for entry in ledger) == count, ledger


def hold(context, daemon):
    content_id = uuid.uuid4().hex
    reply = context.fleet.daemons[daemon].call(
        "/slot-desk/hold", "POST", b"{}", {"X-Content-Id": content_id}
    )
    if reply.status == 200:
        return CallRecord(
            content_id, False, "answered", answer_id=reply.json()["content_id"]
        )
    return CallRecord(content_id, False, reply.json()["outcome"])


@when("{count:d} outcomes callers hold at {daemon} at the same time")
def step_holds(context, count, daemon):
    with ThreadPoolExecutor(count) as pool:
        records = pool.map(lambda _: hold(context, daemon), range(count))
    context.holds = [*getattr(context, "holds", []), *records]


@then("every outcomes hold was answered")
def step_all_answered(context):
    outcomes = [record.outcome for record in context.holds]
    assert set(outcomes) == {"answered"}, outcomes


@when("the outcomes link from {source} to {destination} is healed and passes on")
def step_heal_and_pass(context, source, destination):
    link = context.fleet.links[f"{source}>{destination}"]
    before = link.faults()["forward_bytes"]
    link.faults(forward={"cut": False})
    wait_until(lambda: link.faults()["forward_bytes"] > before, "held bytes pass")
    daemon = context.fleet.daemons[source]
    for _ in range(20):  # the guard has dealt with them once later calls came through
        assert daemon.call("/slot-desk/lookup").status == 200


@then("each outcomes hold was run at most once, and none that was not run")
def step_checked(context):
    ledger = [
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["content_id"]
    ]
    violations = check_history(context.holds, ledger)
    assert not violations, violations


@when("target {endpoint} drops its next {count:d} replies")
def step_drop(context, endpoint, count):
    context.fleet.targets[endpoint].faults(drop_calls=count)


@when(
    "target {endpoint} is killed, and {count:d} outcomes callers look up at d1 in turn"
)
def step_kill_target(context, endpoint, count):
    context.fleet.stop(context.fleet.targets[endpoint].process, signal.SIGKILL)
    daemon = context.fleet.daemons["d1"]
    context.replies = [daemon.call("/slot-desk/lookup") for _ in range(count)]


@then('every outcomes lookup has the outcome "{outcome}"')
def step_lookup_outcomes(context, outcome):
    outcomes = [reply.json()["outcome"] for reply in context.replies]
    assert set(outcomes) == {outcome}, outcomes


@when("target {endpoint} cuts its next download after {count:d} bytes")
def step_cut_download(context, endpoint, count):
    context.fleet.targets[endpoint].faults(cut_after_bytes=count)


@then("all outcomes answers have {size:d} bytes")
def step_sizes(context, size):
    assert {len(reply.body) for reply in context.replies} == {size}


@when("a caller holds at {daemon}, and {guard} is killed once {endpoint} runs the hold")
def step_kill_guard(context, daemon, guard, endpoint):
    target = context.fleet.targets[endpoint]
    replies = []
    url = context.fleet.daemons[daemon]
    caller = threading.Thread(
        target=lambda: replies.append(url.call("/slot-desk/hold", "POST", b"{}"))
    )
    caller.start()
    wait_until(lambda: len(target.ledger()) == 1, "the hold runs")
    context.fleet.stop(context.fleet.daemons[guard].process, signal.SIGKILL)
    caller.join()
    context.reply = replies[0]


@when("daemon {daemon} is frozen by the outcomes test")
def step_freeze_daemon(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGSTOP)


@when("daemon {daemon} is thawed by the outcomes test")
def step_thaw_daemon(context, daemon):
    process = context.fleet.daemons[daemon]
    process.process.send_signal(signal.SIGCONT)
    for _ in range(20):  # what the daemon had not read comes before these
        wait_until(process.ready, f"{daemon} answers again")


@when("an outcomes caller leaves {daemon} while {endpoint} runs its lookup")
def step_leave(context, daemon, endpoint):
    target = context.fleet.targets[endpoint]
    port = context.fleet.daemons[daemon].ports["caller"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request("GET", "/proof-vault/lookup")
    wait_until(lambda: len(target.ledger()) == 1, "the lookup runs")
    connection.close()


@then("the outcomes ledger of {endpoint} shows that its run was cancelled")
def step_cancelled(context, endpoint):
    target = context.fleet.targets[endpoint]
    wait_until(lambda: target.ledger()[0].get("cancelled"), "the run is cancelled")


@then("the deadline that {endpoint} was told is below the time limit of {limit:d} ms")
def step_deadline(context, endpoint, limit):
    told_ms = context.fleet.targets[endpoint].ledger()[0]["time_left_ms"]
    assert 0 < told_ms < limit, json.dumps(told_ms)
