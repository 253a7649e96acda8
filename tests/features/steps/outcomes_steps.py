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


@given("a fault-injecting link from {source} to {destination}")
def step_start_link(context, source, destination):
    context.fleet.link_daemons(source, destination)


@given(
    "target {endpoint} of {service} beside {daemon} that responds after {latency:d} ms"
)
def step_start_target_with_latency(context, endpoint, service, daemon, latency):
    context.fleet.start_target(service, endpoint, daemon, latency_ms=latency)


@when("a simulated entry sends these attempts of a hold to the guard of {daemon}")
def step_send_attempts(context, daemon):
    process = context.fleet.daemons[daemon]
    address = f"127.0.0.1:{process.ports['peer']}"
    with grpc.insecure_channel(address, options=GRPC_OPTIONS) as channel:
        stub = peer_pb2_grpc.GuardStub(channel)
        for row in context.table:
            attempt_id = simulated_attempt_id(context, daemon, int(row["sequence"]))
            attempt_id.guard_incarnation -= row["guard"] == "former"
            if row["do"] == "settle":
                result = settle_attempt(stub, attempt_id, daemon)
            else:
                result = send_hold(stub, attempt_id, int(row["low_water"]))
            assert result == row["result"], (row, result)


def settle_attempt(stub, attempt_id, daemon):
    request = peer_pb2.SettleRequest(
        attempt=attempt_id, guard=daemon, time_left_ms=5000
    )
    verdict = stub.Settle(request, timeout=20).verdict
    return peer_pb2.SettleVerdict.Name(verdict).removeprefix("SETTLE_VERDICT_")


def hold_request(attempt_id, low_water=0, **head_fields):
    head = peer_pb2.CallHead(
        attempt=attempt_id,
        low_water_sequence=low_water,
        service="slot-desk",
        endpoint="e1",
        method="POST",
        path_and_query="/hold",
        time_left_ms=5000,
        **{"send_left_ms": 5000, **head_fields},
    )
    return peer_pb2.CallRequest(head=head, body=b"{}", end=True)


def send_hold(stub, attempt_id, low_water):
    return reply_result(
        list(stub.Call(hold_request(attempt_id, low_water), timeout=20))[-1]
    )


def reply_result(reply):
    if reply.HasField("not_run"):
        name = peer_pb2.NotRunReason.Name(reply.not_run.reason)
        return f"not_run {name.removeprefix('NOT_RUN_REASON_').lower()}"
    if reply.HasField("unknown"):
        name = peer_pb2.UnknownReason.Name(reply.unknown.reason)
        return f"unknown {name.removeprefix('UNKNOWN_REASON_').lower()}"
    return "answered"


def simulated_attempt_id(context, daemon, sequence):
    own = context.fleet.daemons[daemon].status()["members"][0]
    return peer_pb2.AttemptId(
        entry="fake",
        entry_incarnation=1,
        guard_incarnation=int(own["incarnation"]),
        sequence=sequence,
    )


@when("a simulated entry's hold reaches {daemon} only after it is settled")
def step_settle_delayed_hold(context, daemon):
    port = context.fleet.daemons[daemon].ports["peer"]
    link = context.fleet.link("held", port)
    attempt_id = simulated_attempt_id(context, daemon, 1)
    with (
        grpc.insecure_channel(f"127.0.0.1:{link.port}", GRPC_OPTIONS) as delayed,
        grpc.insecure_channel(f"127.0.0.1:{port}", GRPC_OPTIONS) as direct,
    ):
        grpc.channel_ready_future(delayed).result(timeout=20)
        link.faults(forward={"cut": True})
        replies = peer_pb2_grpc.GuardStub(delayed).Call(hold_request(attempt_id))
        verdict = settle_attempt(peer_pb2_grpc.GuardStub(direct), attempt_id, daemon)
        assert verdict == "NOT_RUN", verdict
        link.faults(forward={"cut": False})
        context.hold_result = reply_result(list(replies)[-1])


@when("a simulated entry's hold waits in suspended {daemon} beyond its send deadline")
def step_suspend_guard_before_send(context, daemon):
    process = context.fleet.daemons[daemon]
    first, second = (simulated_attempt_id(context, daemon, n) for n in (1, 2))
    address = f"127.0.0.1:{process.ports['peer']}"
    with grpc.insecure_channel(address, GRPC_OPTIONS) as channel:
        stub = peer_pb2_grpc.GuardStub(channel)
        observed_us = list(stub.Call(hold_request(first), timeout=20))[-1].guard_time_us
        process.process.send_signal(signal.SIGSTOP)
        expiring = hold_request(second, send_left_ms=500, guard_time_us=observed_us)
        replies = stub.Call(expiring)
        expired_at_s = time.monotonic() + 0.6
        wait_until(
            lambda: time.monotonic() > expired_at_s, "the send deadline has passed"
        )
        process.process.send_signal(signal.SIGCONT)
        context.hold_result = reply_result(list(replies)[-1])


@then('the simulated entry\'s hold has the result "{result}"')
def step_hold_result(context, result):
    assert context.hold_result == result, context.hold_result


@then("the ledger of {endpoint} lists {count:d} runs")
def step_run_count(context, endpoint, count):
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) == count, ledger


@then("the ledger of {endpoint} lists {count:d} runs of {method}")
def step_run_count_of_method(context, endpoint, count, method):
    ledger = context.fleet.targets[endpoint].ledger()
    assert sum(entry["method"] == method for entry in ledger) == count, ledger


def call_hold(context, daemon):
    content_id = uuid.uuid4().hex
    reply = context.fleet.daemons[daemon].call(
        "/slot-desk/hold", "POST", b"{}", {"X-Content-Id": content_id}
    )
    if reply.status == 200:
        return CallRecord(
            content_id, False, "answered", answer_id=reply.json()["content_id"]
        )
    return CallRecord(content_id, False, reply.json()["outcome"])


@when("{count:d} callers send holds to {daemon} concurrently")
def step_send_concurrent_holds(context, count, daemon):
    with ThreadPoolExecutor(count) as pool:
        records = pool.map(lambda _: call_hold(context, daemon), range(count))
    context.hold_records = [*getattr(context, "hold_records", []), *records]


@then("every concurrent hold was answered")
def step_all_holds_answered(context):
    outcomes = [record.outcome for record in context.hold_records]
    assert set(outcomes) == {"answered"}, outcomes


@when(
    "the link from {source} to {destination} is restored and forwards the delayed data"
)
def step_restore_link(context, source, destination):
    link = context.fleet.links[f"{source}>{destination}"]
    before = link.faults()["forward_bytes"]
    link.faults(forward={"cut": False})
    wait_until(
        lambda: link.faults()["forward_bytes"] > before, "the delayed data is sent"
    )
    daemon = context.fleet.daemons[source]
    # The guard has processed the delayed data when later calls have returned.
    for _ in range(20):
        assert daemon.call("/slot-desk/lookup").status == 200


@then("each hold ran at most once, and no hold reported as not run ran")
def step_check_hold_history(context):
    ledger = [
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["content_id"]
    ]
    violations = check_history(context.hold_records, ledger)
    assert not violations, violations


@when("target {endpoint} drops its next {count:d} responses")
def step_drop_responses(context, endpoint, count):
    context.fleet.targets[endpoint].faults(drop_calls=count)


@when("target {endpoint} is killed, and {count:d} lookups are sent to d1 in sequence")
def step_look_up_after_kill(context, endpoint, count):
    context.fleet.stop(context.fleet.targets[endpoint].process, signal.SIGKILL)
    daemon = context.fleet.daemons["d1"]
    context.replies = [daemon.call("/slot-desk/lookup") for _ in range(count)]


@then('every lookup has the outcome "{outcome}"')
def step_lookup_outcomes(context, outcome):
    outcomes = [reply.json()["outcome"] for reply in context.replies]
    assert set(outcomes) == {outcome}, outcomes


@when("target {endpoint} truncates its next download after {count:d} bytes")
def step_truncate_download(context, endpoint, count):
    context.fleet.targets[endpoint].faults(cut_after_bytes=count)


@then("all response bodies have {size:d} bytes")
def step_body_sizes(context, size):
    assert {len(reply.body) for reply in context.replies} == {size}


@when(
    "a caller sends a hold to {daemon}, and {guard} is killed once {endpoint} runs it"
)
def step_kill_guard(context, daemon, guard, endpoint):
    target = context.fleet.targets[endpoint]
    replies = []
    daemon_process = context.fleet.daemons[daemon]
    caller = threading.Thread(
        target=lambda: replies.append(
            daemon_process.call("/slot-desk/hold", "POST", b"{}")
        )
    )
    caller.start()
    wait_until(lambda: len(target.ledger()) == 1, "the target runs the hold")
    context.fleet.stop(context.fleet.daemons[guard].process, signal.SIGKILL)
    caller.join()
    context.reply = replies[0]


@when("daemon {daemon} is suspended with SIGSTOP")
def step_suspend_daemon(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGSTOP)


@when("daemon {daemon} is resumed with SIGCONT")
def step_resume_daemon(context, daemon):
    process = context.fleet.daemons[daemon]
    process.process.send_signal(signal.SIGCONT)
    # The daemon reads input that arrived during the suspension before these requests.
    for _ in range(20):
        wait_until(process.is_ready, f"{daemon} is ready again")


@when("a caller disconnects from {daemon} while {endpoint} runs its lookup")
def step_disconnect(context, daemon, endpoint):
    target = context.fleet.targets[endpoint]
    port = context.fleet.daemons[daemon].ports["caller"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request("GET", "/proof-vault/lookup")
    wait_until(lambda: len(target.ledger()) == 1, "the target runs the lookup")
    connection.close()


@then("the ledger of {endpoint} shows that its run was cancelled")
def step_run_cancelled(context, endpoint):
    target = context.fleet.targets[endpoint]
    wait_until(lambda: target.ledger()[0].get("cancelled"), "the run is cancelled")


@then("the remaining time sent to {endpoint} is below the time limit of {limit:d} ms")
def step_remaining_time(context, endpoint, limit):
    remaining_ms = context.fleet.targets[endpoint].ledger()[0]["time_left_ms"]
    assert 0 < remaining_ms < limit, json.dumps(remaining_ms)
