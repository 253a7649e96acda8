import hashlib
import http.client
import json
import signal
import socket
import threading
import time
import uuid

import attrs
import grpc
from behave import given, then, when

from laburnumscale_schema import peer_pb2_grpc
from tests.features.steps.outcomes_steps import (
    GRPC_OPTIONS,
    hold_request,
    simulated_attempt_id,
)
from tests.standins.fleet import wait_until
from tests.standins.target import DOWNLOAD_CHUNK_BYTES

STATUS_OK = 200
READ_TIMEOUT_S = 30.0
TIME_LIMIT_MS = 60_000
DRAIN_MS = 8_000
QUEUE_LIMIT = 1
END_TIMEOUT_S = 3.0  # for a run to end, to tell a late end from none
REPLACEMENT_TIMEOUT_S = 2.0
#: For a connection of which sockets still buffer replies: some seconds of a download at
#: 4 MB/s, and as long again until the path is checked once more.
BUFFERED_TIMEOUT_S = 10.0
CANCEL_S = 0.5  # for a call that has ended to be cancelled at its target
QUEUEING_S = 0.3  # for one more call to reach the queue of its target
NOTICE_S = 0.3  # a part of the notice period of the drain


@attrs.define(eq=False)
class RunningCall:
    """A call of the caller that keeps its connection.

    :ivar running_at_s: time at which its target was seen to run it.
    :ivar ended_at_s: time of its answer, or of the end of its connection.
    :ivar status: HTTP status; 0 if the connection ended without a complete answer.
    """

    content_id: str
    running_at_s: float = 0.0
    ended_at_s: float = 0.0
    status: int = 0
    body: bytes = b""
    thread: threading.Thread | None = None

    @property
    def ran_for_ms(self) -> float:
        """Return the time from the start of the run to the end of the call."""
        return (self.ended_at_s - self.running_at_s) * 1000


def exchange(context, call, method, headers):
    connection = context.connection
    body = b"{}" if method == "POST" else None
    headers = {"X-Content-Id": call.content_id, **headers}
    try:
        connection.request(method, "/proof-vault/call", body, headers)
        with connection.getresponse() as response:
            call.body = response.read()
            call.status = response.status
    except (OSError, http.client.HTTPException) as error:
        call.body = repr(error).encode()
    call.ended_at_s = time.monotonic()


def runs_of(context, content_id):
    return [
        entry
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["content_id"] == content_id
    ]


def link_of(context, source, destination):
    return context.fleet.links[f"{source}>{destination}"]


@given("the fleet is ready with {count:d} attempts of each call")
def step_publish_settings(context, count):
    context.fleet.wait_ready()
    settings = {
        "time_limit_ms": TIME_LIMIT_MS,
        "attempt_limit": count,
        "queue_limit": QUEUE_LIMIT,
        "idempotent": {"methods": ["GET"]},
    }
    services = {target.service: settings for target in context.fleet.targets.values()}
    path = context.fleet.directory / "services.jsonc"
    path.write_text(json.dumps({"services": services}))
    completed = context.fleet.run_cli("d1", "publish", str(path))
    assert completed.returncode == 0, completed
    wait_for_settings(context)


def wait_for_settings(context):
    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda d=daemon: d.status()["revision"] == 1, "the daemon has the settings"
        )


@given("{daemon} joins with target {endpoint} of {service}, which is full")
def step_add_full_target(context, daemon, endpoint, service):
    fleet = context.fleet
    process = fleet.start_daemon(daemon, "makati", drain_ms=DRAIN_MS)
    target = fleet.start_target(
        service, endpoint, daemon, slots=1, latency_ms=TIME_LIMIT_MS
    )
    fleet.wait_ready()
    wait_for_settings(context)
    address = f"127.0.0.1:{process.ports['peer']}"
    channel = grpc.insecure_channel(address, GRPC_OPTIONS)
    context.add_cleanup(channel.close)
    stub = peer_pb2_grpc.GuardStub(channel)
    context.filling_calls = []  # gRPC cancels a call that nothing refers to
    for sequence in range(1 + QUEUE_LIMIT):
        request = hold_request(simulated_attempt_id(context, daemon, sequence + 1))
        request.head.service, request.head.endpoint = service, endpoint
        request.head.time_left_ms = request.head.send_left_ms = TIME_LIMIT_MS
        context.filling_calls.append(stub.Call(request))
    wait_until(target.ledger, "the target runs a call")
    time.sleep(QUEUEING_S)


@given("a caller of {daemon} has used its connection, and keeps it")
def step_keep_connection(context, daemon):
    port = context.fleet.daemons[daemon].ports["caller"]
    context.connection = http.client.HTTPConnection(
        "127.0.0.1", port, timeout=READ_TIMEOUT_S
    )
    context.add_cleanup(context.connection.close)
    call = RunningCall("first")
    exchange(context, call, "GET", {})
    assert call.status == STATUS_OK, call


@when("{daemon} begins to drain")
def step_begin_drain(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGTERM)
    time.sleep(NOTICE_S)


@when(
    "the caller sends a {kind} that {endpoint} runs for {latency_ms:d} ms, with a "
    "limit of {limit_ms:d} ms"
)
def step_send_call(context, kind, endpoint, latency_ms, limit_ms):
    context.fleet.targets[endpoint].faults(latency_ms=latency_ms)
    call = context.call = RunningCall(uuid.uuid4().hex)
    method = {"lookup": "GET", "hold": "POST"}[kind]
    headers = {"X-Request-Timeout-Ms": str(limit_ms)}
    call.thread = threading.Thread(
        target=exchange, args=(context, call, method, headers)
    )
    call.thread.start()
    wait_until(lambda: runs_of(context, call.content_id), "the target runs the call")
    call.running_at_s = time.monotonic()


def wait_after_call(context, after_ms):
    until_s = context.call.running_at_s + after_ms / 1000
    time.sleep(max(0.0, until_s - time.monotonic()))


def start_path_check(context, source):
    """Send a call that has no reply, so that its entry checks the path to its guard."""
    daemon = context.fleet.daemons[source]
    thread = threading.Thread(target=lambda: daemon.call("/slot-desk/lookup"))
    thread.start()
    context.add_cleanup(thread.join)


@when(
    "{after_ms:d} ms later the path from {source} to {destination} is broken for "
    "{cut_ms:d} ms"
)
def step_break_path(context, after_ms, source, destination, cut_ms):
    wait_after_call(context, after_ms)
    link = link_of(context, source, destination)
    link.faults(forward={"cut": True}, backward={"cut": True})
    start_path_check(context, source)
    time.sleep(cut_ms / 1000)
    link.faults(forward={"cut": False}, backward={"cut": False})


@when("the open connections from {destination} to {source} deliver late")
def step_hold_replies(context, source, destination):
    context.late_link = link_of(context, source, destination)
    context.late_link.faults(backward={"hold": True})


@when(
    "{after_ms:d} ms later the open connections from {destination} to {source} fall "
    "silent"
)
def step_silence_replies(context, after_ms, source, destination):
    wait_after_call(context, after_ms)
    link_of(context, source, destination).faults(backward={"hold": True})


@when("{after_ms:d} ms later the open connections deliver again")
def step_release_replies(context, after_ms):
    wait_after_call(context, after_ms)
    context.late_link.faults(backward={"hold": False})


@then("the call has the answer of {endpoint}")
def step_check_answer(context, endpoint):
    call = context.call
    call.thread.join()
    if call.status != STATUS_OK:
        time.sleep(CANCEL_S)
        raise AssertionError(
            f"status {call.status}, {round(call.ran_for_ms)} ms after the start of "
            f"{runs_of(context, call.content_id)}: {call.body}"
        )
    assert json.loads(call.body)["endpoint"] == endpoint, call


@then("{endpoint} ran the call once, to its end")
def step_check_run(context, endpoint):
    runs = runs_of(context, context.call.content_id)
    assert len(runs) == 1 and "cancelled" not in runs[0], runs


@when("{after_ms:d} ms later the open connections from {source} to {to} are reset")
def step_reset_connections(context, after_ms, source, to):
    wait_after_call(context, after_ms)
    link_of(context, source, to).faults(forward={"reset": True})


@when(
    "{after_ms:d} ms later the open connections from {source} to {to} are reset "
    "{count:d} times, every {interval_ms:d} ms"
)
def step_reset_repeatedly(context, after_ms, source, to, count, interval_ms):
    for number in range(count):
        wait_after_call(context, after_ms + number * interval_ms)
        link_of(context, source, to).faults(forward={"reset": True})


@when(
    "{after_ms:d} ms later the open connections between {one} and {other} fall silent "
    "for good"
)
def step_silence_connections(context, after_ms, one, other):
    wait_after_call(context, after_ms)
    silence = {"silence": True}
    link_of(context, one, other).faults(forward=silence, backward=silence)


@when("{source} replaces its connection to {destination}")
def step_wait_for_replacement(context, source, destination):
    start_path_check(context, source)
    wait_until(
        lambda: "silent connection replaced" in log_of(context, source),
        "the connection is replaced",
        REPLACEMENT_TIMEOUT_S,
    )


def log_of(context, daemon):
    return (context.fleet.directory / f"{daemon}.log").read_text()


@then('the log of {daemon} has the line "{event}"')
def step_check_log_line(context, daemon, event):
    assert event in log_of(context, daemon)


@when("{after_ms:d} ms later the caller leaves")
def step_leave(context, after_ms):
    wait_after_call(context, after_ms)
    call = context.call
    assert call.thread.is_alive(), f"status {call.status} before it left: {call.body}"
    context.left_at_s = time.monotonic()
    context.connection.sock.shutdown(socket.SHUT_RDWR)
    call.thread.join()


@then("the run at {endpoint} ends within {limit_ms:d} ms of that")
def step_check_run_end(context, endpoint, limit_ms):
    call = context.call

    def end_s():
        return runs_of(context, call.content_id)[0].get("cancelled_at_s")

    wait_until(end_s, "the run is cancelled", END_TIMEOUT_S)
    ended_after_ms = (end_s() - context.left_at_s) * 1000
    assert 0 < ended_after_ms <= limit_ms, ended_after_ms


def download(context, size, duration_s):
    """Read a download at an even pace, and record the digest of what has arrived."""
    started_at_s = time.monotonic()
    context.download_bytes = 0
    digest = hashlib.sha256()
    try:
        context.connection.request("GET", f"/proof-vault/download/{size}")
        with context.connection.getresponse() as response:
            while chunk := response.read(DOWNLOAD_CHUNK_BYTES):
                digest.update(chunk)
                context.download_bytes += len(chunk)
                due_s = started_at_s + context.download_bytes / size * duration_s
                time.sleep(max(0.0, due_s - time.monotonic()))
    except (OSError, http.client.HTTPException) as error:
        context.download_error = repr(error)
    context.download_s = time.monotonic() - started_at_s
    context.download_digest = digest.hexdigest()


def expected_digest(size):
    digest = hashlib.sha256()
    for sent in range(0, size, DOWNLOAD_CHUNK_BYTES):
        value = sent // DOWNLOAD_CHUNK_BYTES % 251
        digest.update(bytes([value]) * min(DOWNLOAD_CHUNK_BYTES, size - sent))
    return digest.hexdigest()


@when("the caller downloads {size:d} bytes from {daemon} in {duration_ms:d} ms")
def step_download(context, size, daemon, duration_ms):
    context.download_size = size
    context.download_error = ""
    context.downloading = threading.Thread(
        target=download, args=(context, size, duration_ms / 1000)
    )
    context.downloading.start()


@when(
    "after {after_ms:d} ms the open connections from {destination} to {source} deliver "
    "late until {daemon} replaces its own"
)
def step_deliver_late(context, after_ms, source, destination, daemon):
    """Keep the data of the connections until one of them was taken for silent.

    How long that takes depends on the replies that had already arrived: the caller
    reads at an even pace, and sockets buffer megabytes of them.
    """
    time.sleep(after_ms / 1000)
    step_hold_replies(context, source, destination)
    start_path_check(context, source)
    wait_until(
        lambda: "silent connection replaced" in log_of(context, daemon),
        "the connection is replaced",
        BUFFERED_TIMEOUT_S,
    )
    context.late_link.faults(backward={"hold": False})


@then("the download is complete")
def step_check_download(context):
    context.downloading.join()
    assert context.download_bytes == context.download_size, (
        f"{context.download_bytes} of {context.download_size} bytes after "
        f"{context.download_s:.1f} s: {context.download_error}"
    )
    assert context.download_digest == expected_digest(context.download_size)
