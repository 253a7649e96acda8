import contextlib
import random
import re
import socket

import grpc
from behave import then, when

from tests.standins.fleet import request, wait_until

SEED = 20_261_203
RECEIVE_TIMEOUT_S = 20
FUZZ_TIMEOUT_S = 0.05
REPEAT_PLACEHOLDER = re.compile(rb"\{(\d+) bytes\}")
VALID_REQUEST = (
    b"POST /slot-desk/hold?a=b HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
    b"X-Request-Timeout-Ms: 500\r\nTransfer-Encoding: chunked\r\n\r\n{}"
)
ANNOUNCEMENT = (
    b'{"address": "127.0.0.1:1", "slots": 5, "state": "ready", "lease_ms": 9}'
)


def exchange_bytes(port, data, timeout_s=RECEIVE_TIMEOUT_S, half_close=False):
    received = b""
    with socket.create_connection(("127.0.0.1", port), timeout_s) as connection:
        try:
            connection.sendall(data)
            if half_close:
                connection.shutdown(socket.SHUT_WR)
            while chunk := connection.recv(65536):
                received += chunk
        except TimeoutError:
            return received, False
        except ConnectionError:
            pass
    return received, True


def expand_request(text):
    data = text.encode("ascii").decode("unicode_escape").encode("latin-1")
    return REPEAT_PLACEHOLDER.sub(lambda match: b"9" * int(match[1]), data)


@when("a caller sends these raw requests to {daemon}")
def step_send_raw_requests(context, daemon):
    port = context.fleet.daemons[daemon].ports["caller"]
    context.raw_responses = {
        row["request"]: exchange_bytes(port, expand_request(row["request"]))
        for row in context.table
    }


@then('each raw request is refused as "{reason}" and its connection is closed')
def step_raw_requests_refused(context, reason):
    for raw_request, (received, closed) in context.raw_responses.items():
        assert re.match(rb"HTTP/1\.1 4\d\d ", received), (raw_request, received)
        assert b'"outcome":"not_run"' in received, (raw_request, received)
        assert f'"reason":"{reason}"'.encode() in received, (raw_request, received)
        assert closed, (raw_request, received)


@then("each raw request is answered with status {status:d}")
def step_raw_requests_answered(context, status):
    for raw_request, (received, _) in context.raw_responses.items():
        final = received.removeprefix(b"HTTP/1.1 100 Continue\r\n\r\n")
        assert final.startswith(f"HTTP/1.1 {status} ".encode()), (raw_request, received)


@then("target {endpoint} has run no call")
def step_target_not_called(context, endpoint):
    assert context.fleet.targets[endpoint].ledger() == []


@when("a chunked upload to {path} at {daemon} ends with an invalid chunk")
def step_send_invalid_chunk(context, path, daemon):
    port = context.fleet.daemons[daemon].ports["caller"]
    head = f"POST {path} HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunk = b"10000\r\n" + b"x" * 0x10000 + b"\r\n"
    received, closed = exchange_bytes(port, head.encode() + chunk + b"garbage" * 20)
    assert b" 200 " not in received[:20], received
    assert closed, received


@then("no daemon has written a stack trace")
def step_no_stack_trace(context):
    for name in context.fleet.daemons:
        text = (context.fleet.directory / f"{name}.log").read_text(errors="replace")
        assert "Traceback" not in text, text[-4000:]
        assert "request failed" not in text, text[-4000:]


def mutate(rng, data):
    value = bytearray(data)
    for _ in range(rng.randint(1, 4)):
        position = rng.randrange(len(value))
        kind = rng.randrange(3)
        if kind == 0:
            value[position] = rng.randrange(256)
        elif kind == 1:
            del value[position : position + rng.randint(1, 20)]
            value += b"\r\n"
        else:
            value[position:position] = rng.randbytes(rng.randint(1, 20))
    return bytes(value)


def mutated_put(rng, path):
    length = str(len(ANNOUNCEMENT)).encode()
    put = b"PUT " + path + b" HTTP/1.1\r\nHost: a\r\nContent-Length: " + length
    return mutate(rng, put + b"\r\n\r\n" + ANNOUNCEMENT)


def send_random_peer_input(rng, daemon):
    port = daemon.ports["peer"]
    exchange_bytes(port, rng.randbytes(rng.randint(1, 2000)), FUZZ_TIMEOUT_S)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.sendto(rng.randbytes(rng.randint(1, 1400)), ("127.0.0.1", port))
    methods = ("Guard/Call", "Guard/Upload", "Peer/ExchangeMembers")
    method = f"/laburnumscale.v1.{rng.choice(methods)}"
    with grpc.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(method)
        with contextlib.suppress(grpc.RpcError):
            call(rng.randbytes(rng.randint(0, 300)), timeout=1)


@when("{count:d} seeded random inputs are sent to the ports of {daemon}")
def step_send_random_inputs(context, count, daemon):
    print(f"seed {SEED}")
    rng = random.Random(SEED)
    daemon = context.fleet.daemons[daemon]
    target_path = b"/_laburnumscale/v1/targets/slot-desk/e9"
    for number in range(count):
        timeout_s, half = FUZZ_TIMEOUT_S, rng.random() < 0.5
        exchange_bytes(
            daemon.ports["caller"], mutate(rng, VALID_REQUEST), timeout_s, half
        )
        target_request = mutated_put(rng, target_path)
        exchange_bytes(daemon.ports["target"], target_request, timeout_s, half)
        operator_request = mutated_put(rng, rng.choice((b"/v1/changes", b"/v1/status")))
        exchange_bytes(daemon.ports["operator"], operator_request, timeout_s, half)
        if number % 10 == 0:
            send_random_peer_input(rng, daemon)
            assert daemon.call("/slot-desk/lookup").status == 200, number


@then("a lookup sent to {daemon} is still answered")
def step_daemon_answers(context, daemon):
    daemon = context.fleet.daemons[daemon]
    url = f"{daemon.callers}/slot-desk/lookup"
    wait_until(lambda: request("GET", url).status == 200, "the daemon answers")
