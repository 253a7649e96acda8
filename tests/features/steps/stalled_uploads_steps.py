import contextlib
import hashlib
import json
import random
import socket
import threading
import time

from behave import given, then, when

from tests.features.steps.fleet_steps import step_publish_settings
from tests.standins.fleet import wait_until

BODY_BYTES = 500_000
SMALL_BODY_BYTES = 30_000
MISSING_BYTES = 10
READ_TIMEOUT_S = 30
#: The limit of 1 s, the interval of the checks (5 s) and a busy machine.
SLOT_TIMEOUT_S = 25
SEED = 55
#: Shorter than the limit after which transfers are given up.
SEND_INTERVAL_S = 0.3


@given("{count:d} daemons that give up transfers after {stall_ms:d} ms")
def step_start_daemons(context, count, stall_ms):
    context.fleet.start_log()
    for number in range(1, count + 1):
        context.fleet.start_daemon(f"d{number}", "makati", transfer_stall_ms=stall_ms)


@given("a target with one slot beside {daemon}")
def step_start_target(context, daemon):
    context.fleet.start_target("proof-vault", "p1", daemon, slots=1)
    step_publish_settings(context, "bantayog")


def connect(context, daemon, receive_buffer=0):
    connection = socket.socket()
    if receive_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    connection.settimeout(READ_TIMEOUT_S)
    connection.connect(("127.0.0.1", context.fleet.daemons[daemon].ports["caller"]))
    context.fleet.cleanups.callback(connection.close)
    return connection


def send_head(connection, framing, method="POST", path="/proof-vault/proof"):
    fields = "".join(f"{line}\r\n" for line in framing)
    head = f"{method} {path} HTTP/1.1\r\nHost: a\r\n{fields}\r\n"
    connection.sendall(head.encode())


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def read_response(connection):
    received = b""
    while b"\r\n\r\n" not in received and (data := connection.recv(65536)):
        received += data
    head, _, body = received.partition(b"\r\n\r\n")
    length = int(head.lower().partition(b"content-length:")[2].split()[0])
    while len(body) < length and (data := connection.recv(65536)):
        body += data
    return int(head.split()[1]), json.loads(body)


def send_stalled(context, daemon, kind):
    connection = connect(context, daemon)
    if kind == "chunked":
        send_head(connection, ["Transfer-Encoding: chunked"])
        connection.sendall(chunk(bytes(BODY_BYTES)))
    else:
        size = SMALL_BODY_BYTES if kind == "small" else BODY_BYTES
        send_head(connection, [f"Content-Length: {size}"])
        connection.sendall(bytes(size - MISSING_BYTES))
    return read_response(connection)


@when("a caller of {daemon} sends a {kind} body that stops short of its end")
def step_send_stalled(context, daemon, kind):
    context.response = send_stalled(context, daemon, kind)


@when(
    "{count:d} callers of {daemon}, one after the other, send a {kind} body that stops "
    "short of its end"
)
def step_send_many_stalled(context, count, daemon, kind):
    for _ in range(count):
        send_stalled(context, daemon, kind)


@when(
    "a caller of {daemon} sends a chunked body with {count:d} pauses of {pause_ms:d} ms"
)
def step_send_with_pauses(context, daemon, count, pause_ms):
    connection = connect(context, daemon)
    send_head(connection, ["Transfer-Encoding: chunked"])
    for _ in range(count):
        connection.sendall(chunk(bytes(1000)))
        time.sleep(pause_ms / 1000)
    connection.sendall(b"0\r\n\r\n")
    context.response = read_response(connection)


@when("a caller of {daemon} asks for a response of {size:d} bytes and does not read it")
def step_ask_without_reading(context, daemon, size):
    connection = connect(context, daemon, receive_buffer=4096)
    send_head(connection, [], "GET", f"/proof-vault/download/{size}")


@when(
    'a caller of {daemon} sends a request with "{field}" that takes {latency_ms:d} ms'
)
def step_send_slow(context, daemon, field, latency_ms):
    target = context.fleet.targets["p1"]
    target.faults(latency_ms=latency_ms)
    context.connection = connect(context, daemon, receive_buffer=4096)
    send_head(context.connection, [field], "GET")
    wait_until(target.ledger, "the target runs the call")
    target.faults(latency_ms=1)


@when(
    "it then asks for a response of {size:d} bytes on its connection and does not "
    "read it"
)
def step_ask_again(context, size):
    assert read_response(context.connection)[0] == 200
    send_head(context.connection, [], "GET", f"/proof-vault/download/{size}")


@when(
    "a caller of {daemon} asks for a response of {size:d} bytes, does not read it and "
    "goes on sending"
)
def step_ask_and_send(context, daemon, size):
    connection = connect(context, daemon, receive_buffer=4096)
    send_head(connection, [], "GET", f"/proof-vault/download/{size}")
    stopped = threading.Event()

    def send_bytes():
        with contextlib.suppress(OSError):
            while not stopped.wait(SEND_INTERVAL_S):
                connection.sendall(b"G")

    sender = threading.Thread(target=send_bytes, daemon=True)
    sender.start()
    context.fleet.cleanups.callback(sender.join)
    context.fleet.cleanups.callback(stopped.set)


@when("a caller of {daemon} sends {size:d} bytes in chunks of {chunk_bytes:d} bytes")
def step_send_small_chunks(context, daemon, size, chunk_bytes):
    rng = random.Random(SEED)
    context.body = rng.randbytes(size)
    connection = connect(context, daemon)
    send_head(connection, ["Transfer-Encoding: chunked"])
    encoded = b"".join(
        chunk(context.body[start : start + chunk_bytes])
        for start in range(0, size, chunk_bytes)
    )
    # Cut at random places, also within size lines.
    start = 0
    while start < len(encoded):
        end = start + rng.randrange(1, 5000)
        connection.sendall(encoded[start:end])
        start = end
    connection.sendall(b"0\r\n\r\n")
    context.response = read_response(connection)


@then("the target has got exactly these bytes")
def step_check_bytes(context):
    status, answer = context.response
    assert status == 200, context.response
    assert answer["sha256"] == hashlib.sha256(context.body).hexdigest(), answer


@then(
    'the caller gets status {status:d} with the outcome "{outcome}" '
    'because of "{reason}"'
)
def step_check_problem(context, status, outcome, reason):
    got_status, problem = context.response
    got = (got_status, problem["outcome"], problem["reason"])
    assert got == (status, outcome, reason), context.response


@then("its request is answered with status {status:d}")
def step_check_answered(context, status):
    assert context.response[0] == status, context.response


@then("an ordinary request to {daemon} is answered although the caller stays connected")
def step_check_ordinary(context, daemon):
    caller = context.fleet.daemons[daemon]
    wait_until(
        lambda: caller.call("/proof-vault/proof").status == 200,
        f"{daemon} answers",
        SLOT_TIMEOUT_S,
    )


@then("the target has run no call")
def step_check_not_run(context):
    assert not context.fleet.targets["p1"].ledger()


@then("no daemon has ejected the target")
def step_check_not_ejected(context):
    for daemon in context.fleet.daemons.values():
        for member in daemon.status()["members"]:
            for endpoint in member.get("endpoints", []):
                assert not endpoint.get("ejected"), endpoint
