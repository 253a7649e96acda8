import random
import socket
import time

from behave import then, when

from tests.features.steps.stalled_uploads_steps import (
    SEED,
    chunk,
    connect,
    read_response,
)

BODY_BYTES = 3000
PAUSE_S = 0.05
NEXT_PATH = "/proof-vault/next"
NEXT_REQUEST = f"GET {NEXT_PATH} HTTP/1.1\r\nHost: a\r\n\r\n".encode()
CODINGS = {"the coding in capitals": "CHUNKED"}
#: What ends the body, by kind; its parts are sent one after the other.
ENDS = {
    "nothing else": [b"0\r\n\r\n"],
    "trailer fields": [b"0\r\nX-Sum: 1\r\nX-Other: 2\r\n\r\n"],
    "trailer fields in pieces": [b"0\r", b"\nX-S", b"um: 1\r\n", b"\r", b"\n"],
    "an extension of the last chunk": [b"0;last=yes\r\n\r\n"],
    "a last chunk of several zeros": [b"0000\r\n\r\n"],
    "the coding in capitals": [b"0\r\n\r\n"],
    "a trailer line without a colon": [b"0\r\nGET / HTTP/1.1\r\n\r\n"],
    "a trailer section of 20000 B": [b"0\r\n" + b"X: 45678\r\n" * 2000 + b"\r\n"],
    "a trailer with a bare newline": [b"0\r\nX: 1\nY: 2\r\n\r\n"],
}


@when(
    "a caller of {daemon} sends a body in chunks with {kind}, and another request "
    "behind it"
)
def step_send_chunks(context, daemon, kind):
    context.body = random.Random(SEED).randbytes(BODY_BYTES)
    connection = connect(context, daemon)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    coding = CODINGS.get(kind, "chunked")
    head = f"POST /proof-vault/proof HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: {coding}"
    connection.sendall(head.encode() + b"\r\n\r\n" + chunk(context.body))
    *parts, last = ENDS[kind]
    for part in parts:
        connection.sendall(part)
        time.sleep(PAUSE_S)
    connection.sendall(last + NEXT_REQUEST)
    context.connection = connection
    context.response = read_response(connection)


@then("the other request is answered with status {status:d}")
def step_check_next(context, status):
    assert read_response(context.connection)[0] == status


@then("its request is refused or unknown")
def step_check_not_answered(context):
    status, problem = context.response
    got = (status, problem.get("outcome"))
    assert got in ((400, "not_run"), (504, "unknown")), context.response


@then("the target has not run the other request")
def step_check_next_not_run(context):
    rest = context.connection.recv(1)
    assert not rest, "the connection is still used"
    paths = [entry["path"] for entry in context.fleet.targets["p1"].ledger()]
    assert "/next" not in "".join(paths), paths
