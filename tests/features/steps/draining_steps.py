import contextlib
import json
import re
import signal
import socket
import threading
import time

import grpc
from behave import given, then, when

from laburnumscale_schema import peer_pb2_grpc
from tests.features.steps.outcomes_load_steps import start_hold
from tests.features.steps.outcomes_steps import (
    GRPC_OPTIONS,
    hold_request,
    reply_result,
    simulated_attempt_id,
)
from tests.standins.fleet import TERM_TIMEOUT_S, wait_until
from tests.standins.keptconnections import KeptConnections, KeptRequest

SEED = 6601
STATUS_OK = 200
STATUS_NOT_RUN = 503
SLOTS = 5
HOLD_HEAD = (
    b"POST /proof-vault/hold HTTP/1.1\r\nHost: a\r\nX-Content-Id: partial\r\n"
    b"X-Request-Timeout-Ms: 60000\r\n"
)
PARTIAL_BODY = b"Content-Length: 8\r\n\r\n{"
PARTIAL_UPLOAD = b"Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n"
READ_BYTES = 64 * 1024
READ_TIMEOUT_S = 20.0
SENT_S = 0.5  # for the daemon to read what was sent
NOT_READING_S = 3.0
QUEUEING_S = 0.5  # for one more hold to reach the queue of its target


@given("{count:d} callers keep connections to {daemon} open")
def step_keep_connections(context, count, daemon):
    port = context.fleet.daemons[daemon].ports["caller"]
    context.kept = KeptConnections("127.0.0.1", port, "/proof-vault/hold", count, SEED)
    context.add_cleanup(context.kept.close)
    context.kept.open()


@given("all targets respond after {latency_ms:d} ms from now on")
def step_set_latency(context, latency_ms):
    for target in context.fleet.targets.values():
        target.faults(latency_ms=latency_ms)


@when(
    "d1 gets SIGTERM and the callers send holds between {first_ms:d} and "
    "{last_ms:d} ms after it"
)
def step_send_holds_in_drain(context, first_ms, last_ms):
    send_in_drain(context, first_ms, last_ms)


@when(
    "d1 gets SIGTERM while p1 runs a hold from d1, and the callers send holds "
    "between {first_ms:d} and {last_ms:d} ms after it"
)
def step_send_holds_beside_another(context, first_ms, last_ms):
    caller, _ = start_running_hold(context)
    send_in_drain(context, first_ms, last_ms)
    caller.join()


@when(
    "d1 gets SIGTERM while p1 runs a hold from d1, and the callers end holds that they "
    "began between {first_ms:d} and {last_ms:d} ms after it"
)
def step_end_holds_beside_another(context, first_ms, last_ms):
    caller, _ = start_running_hold(context)
    send_in_drain(context, first_ms, last_ms, begin_now=True)
    caller.join()


def start_running_hold(context):
    target = context.fleet.targets["p1"]
    known = len(target.ledger())
    caller, replies = start_hold(context, "d1")
    wait_until(lambda: len(target.ledger()) > known, "the target runs the hold")
    return caller, replies


def send_in_drain(context, first_ms, last_ms, begin_now=False):
    process = context.fleet.daemons["d1"].process
    process.send_signal(signal.SIGTERM)
    context.kept.spread_requests(first_ms / 1000, last_ms / 1000, begin_now)
    context.holds = context.kept.wait()
    process.wait(TERM_TIMEOUT_S)
    context.ran = ran_content_ids(context)


def ran_content_ids(context):
    return {
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in target.ledger()
    }


def holds_without_answer(context):
    return [hold for hold in context.holds if hold.sent and not hold.status]


@then("no hold that a target ran was left without an answer")
def step_no_lost_hold(context):
    lost = [
        hold for hold in holds_without_answer(context) if hold.content_id in context.ran
    ]
    assert not lost, lost


@then(
    "each connection that ended without an answer ended within {limit_ms:d} ms of "
    "its hold"
)
def step_ended_at_once(context, limit_ms):
    late = [
        hold
        for hold in holds_without_answer(context)
        if hold.elapsed_s * 1000 > limit_ms
    ]
    assert not late, late


@then("all holds that were refused name a time to retry and were not run")
def step_refusals_are_true(context):
    refused = [hold for hold in context.holds if hold.status == STATUS_NOT_RUN]
    assert all(hold.has_retry_after for hold in refused), refused
    assert not {hold.content_id for hold in refused} & context.ran


@then("each hold was refused within {limit_ms:d} ms, or its connection had ended")
def step_refused_at_once(context, limit_ms):
    for hold in context.holds:
        assert not hold.sent or hold.status in (0, STATUS_NOT_RUN), hold
        assert hold.elapsed_s * 1000 <= limit_ms, hold


@then("each hold was refused within {limit_ms:d} ms and names a time to retry")
def step_all_refused_at_once(context, limit_ms):
    for hold in context.holds:
        assert hold.status == STATUS_NOT_RUN and hold.has_retry_after, hold
        assert hold.elapsed_s * 1000 <= limit_ms, hold


@when("d1 gets SIGTERM while p1 runs a lookup from d2")
def step_last_attempt(context):
    target = context.fleet.targets["p1"]
    daemon = context.fleet.daemons["d2"]
    caller = threading.Thread(target=lambda: daemon.call("/proof-vault/status"))
    caller.start()
    wait_until(target.ledger, "the target runs the lookup")
    context.terminated_at_s = time.monotonic()
    context.fleet.daemons["d1"].process.send_signal(signal.SIGTERM)


def call_with_limit(context, service, left_ms):
    headers = {"X-Request-Timeout-Ms": str(left_ms)}
    return context.fleet.daemons["d1"].call(f"/{service}/lookup", headers=headers)


@then(
    "{after_ms:d} ms after it d1 serves a lookup of {service} with {left_ms:d} ms left"
)
def step_inner_call_served(context, after_ms, service, left_ms):
    at_s = context.terminated_at_s + after_ms / 1000
    time.sleep(max(0.0, at_s - time.monotonic()))
    reply = call_with_limit(context, service, left_ms)
    assert reply.status == STATUS_OK, reply


@then("it refuses one of {service} with {left_ms:d} ms left")
def step_long_call_refused(context, service, left_ms):
    reply = call_with_limit(context, service, left_ms)
    assert reply.status == STATUS_NOT_RUN, reply
    assert reply.json()["reason"] == "draining", reply


@when("d1 gets SIGTERM and gets a hold with a key of d2")
def step_keyed_hold_in_drain(context):
    fleet = context.fleet
    keys = fleet.daemons["d2"].call("/_laburnumscale/v1/operation-keys", "POST", b"")
    context.key_headers = {"Idempotency-Key": keys.json()["keys"][0]}
    caller = threading.Thread(target=lambda: send_keyed_hold(context, "d1"))
    fleet.daemons["d1"].process.send_signal(signal.SIGTERM)
    caller.start()
    target = fleet.targets["p1"]
    wait_until(lambda: len(target.ledger()) == 1, "p1 runs the hold")
    fleet.daemons["d1"].process.wait(TERM_TIMEOUT_S)
    caller.join()


def send_keyed_hold(context, daemon):
    return context.fleet.daemons[daemon].call(
        "/proof-vault/hold", "POST", b"{}", context.key_headers
    )


@then("d2 answers a repeat of that hold with status {status:d}")
def step_repeat_keyed_hold(context, status):
    reply = send_keyed_hold(context, "d2")
    assert reply.status == status, reply


@then("p1 ran it once")
def step_ran_once(context):
    assert len(context.fleet.targets["p1"].ledger()) == 1


@then("no target ran any of them")
def step_none_run(context):
    assert not {hold.content_id for hold in context.holds} & context.ran


@when("{daemon} gets {name} while p1 runs a hold from d1, and the hold ends")
def step_hold_outlasts_daemon(context, daemon, name):
    caller, replies = start_running_hold(context)
    terminated_at_s = time.monotonic()
    context.fleet.daemons[daemon].process.send_signal(signal.Signals[name])
    caller.join()
    context.hold_ms = (time.monotonic() - terminated_at_s) * 1000
    context.hold = replies[0]


@then("the hold ends within {limit_ms:d} ms of the signal")
def step_check_hold_time(context, limit_ms):
    assert context.hold_ms <= limit_ms, context.hold_ms


@then("the hold has status {status:d} and the outcome {outcome}")
def step_check_hold(context, status, outcome):
    assert context.hold.status == status, context.hold
    assert context.hold.json()["outcome"] == outcome, context.hold


@then("the log of {daemon} names the hold as cut off")
def step_check_cut_off_line(context, daemon):
    request_id = context.hold.json()["request_id"]
    text = (context.fleet.directory / f"{daemon}.log").read_text()
    lines = [line for line in text.splitlines() if request_id in line]
    assert any("drain" in line for line in lines), lines


@when(
    "a simulated entry's holds fill the slots of e1 and one more waits when d1 gets "
    "SIGTERM"
)
def step_hold_waits_in_queue(context):
    address = f"127.0.0.1:{context.fleet.daemons['d1'].ports['peer']}"
    with grpc.insecure_channel(address, GRPC_OPTIONS) as channel:
        stub = peer_pb2_grpc.GuardStub(channel)
        attempts = [
            simulated_attempt_id(context, "d1", n + 1) for n in range(SLOTS + 1)
        ]
        running = [stub.Call(hold_request(each)) for each in attempts[:SLOTS]]
        target = context.fleet.targets["e1"]
        wait_until(lambda: len(target.ledger()) == SLOTS, "all slots are in use")
        context.waiting_result = ""
        waiter = threading.Thread(
            target=lambda: wait_for_hold(context, stub, attempts[SLOTS])
        )
        waiter.start()
        time.sleep(QUEUEING_S)
        context.terminated_at_s = time.monotonic()
        context.fleet.daemons["d1"].process.send_signal(signal.SIGTERM)
        waiter.join()
        context.waited_ms = (time.monotonic() - context.terminated_at_s) * 1000
        for call in running:
            call.cancel()


def wait_for_hold(context, stub, attempt_id):
    try:
        context.waiting_result = reply_result(
            list(stub.Call(hold_request(attempt_id)))[-1]
        )
    except grpc.RpcError as error:
        context.waiting_result = f"lost: {error.code()}"


@then("the hold that waits ends as {result} within {limit_ms:d} ms")
def step_check_waiting_hold(context, result, limit_ms):
    assert context.waiting_result == result, context.waiting_result
    assert context.waited_ms <= limit_ms, context.waited_ms


def send_raw_and_end(
    context, parts, pause_s=0.0, daemon="d1", signal_number=signal.SIGTERM
):
    """Send a part of a request to d1, end a daemon, and return the whole answer."""
    address = ("127.0.0.1", context.fleet.daemons["d1"].ports["caller"])
    process = context.fleet.daemons[daemon].process
    answer = bytearray()
    with socket.create_connection(address, READ_TIMEOUT_S) as connection:
        connection.sendall(parts)
        time.sleep(SENT_S)
        process.send_signal(signal_number)
        time.sleep(pause_s)
        with contextlib.suppress(ConnectionError):
            while chunk := connection.recv(READ_BYTES):
                answer += chunk
    process.wait(TERM_TIMEOUT_S)
    return bytes(answer)


@when("d1 gets SIGTERM after a caller has sent a hold without the end of its body")
def step_send_partial_body(context):
    context.answer = send_raw_and_end(context, HOLD_HEAD + PARTIAL_BODY)
    context.holds = [KeptRequest("partial", 0.0)]
    context.ran = ran_content_ids(context)


@when("d1 gets SIGTERM after a caller has sent a part of a chunked hold")
def step_send_partial_upload(context):
    context.answer = send_raw_and_end(context, HOLD_HEAD + PARTIAL_UPLOAD)


@when(
    "{daemon} gets {name} while a caller that does not read downloads {size:d} bytes "
    "from d1"
)
def step_download(context, daemon, name, size):
    head = f"GET /proof-vault/download/{size} HTTP/1.1\r\nHost: a\r\n\r\n"
    context.answer = send_raw_and_end(
        context, head.encode(), NOT_READING_S, daemon, signal.Signals[name]
    )


@then("the raw answer has status {status:d} and the outcome {outcome}")
def step_check_raw_answer(context, status, outcome):
    assert context.answer, "the connection ended without an answer"
    head, _, body = context.answer.partition(b"\r\n\r\n")
    assert int(head.split(b" ")[1]) == status, context.answer
    assert json.loads(body)["outcome"] == outcome, context.answer


@then("the download ends before its announced length")
def step_check_incomplete(context):
    head, _, body = context.answer.partition(b"\r\n\r\n")
    [length] = re.findall(rb"content-length: (\d+)", head.lower())
    assert 0 < len(body) < int(length), (len(body), length)


@when(
    "a simulated entry sends a hold with {left_ms:d} ms left to d1 {pause_ms:d} ms "
    "after SIGTERM"
)
def step_send_attempt_in_drain(context, left_ms, pause_ms):
    daemon = context.fleet.daemons["d1"]
    request = hold_request(simulated_attempt_id(context, "d1", 1))
    request.head.time_left_ms = left_ms
    request.head.send_left_ms = left_ms
    address = f"127.0.0.1:{daemon.ports['peer']}"
    with grpc.insecure_channel(address, GRPC_OPTIONS) as channel:
        grpc.channel_ready_future(channel).result(READ_TIMEOUT_S)
        daemon.process.send_signal(signal.SIGTERM)
        time.sleep(pause_ms / 1000)
        replies = list(peer_pb2_grpc.GuardStub(channel).Call(request))
    assert replies[-1].head.status == STATUS_OK, replies


@then("{endpoint} was told that at most {limit_ms:d} ms are left")
def step_check_time_left(context, endpoint, limit_ms):
    [entry] = context.fleet.targets[endpoint].ledger()
    assert 0 < entry["time_left_ms"] <= limit_ms, entry
