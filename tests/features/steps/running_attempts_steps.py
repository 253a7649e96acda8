import http.client
import json
import signal
import threading
import time
import uuid

import attrs
from behave import given, then, when

from tests.standins.fleet import wait_until

STATUS_OK = 200
READ_TIMEOUT_S = 30.0
TIME_LIMIT_MS = 60_000
CANCEL_S = 0.5  # for a call that has ended to be cancelled at its target
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
        "idempotent": {"methods": ["GET"]},
    }
    services = {target.service: settings for target in context.fleet.targets.values()}
    path = context.fleet.directory / "services.jsonc"
    path.write_text(json.dumps({"services": services}))
    completed = context.fleet.run_cli("d1", "publish", str(path))
    assert completed.returncode == 0, completed
    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda d=daemon: d.status()["revision"] == 1, "the daemon has the settings"
        )


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
