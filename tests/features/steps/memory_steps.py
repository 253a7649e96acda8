import hashlib
import http.client
import time

from behave import given, then, when

from bench.processes import memory_bytes

MB = 1024 * 1024
CHUNK_BYTES = 64 * 1024
PAUSE_EVERY_BYTES = 8 * MB
PAUSE_S = 0.3
TIMEOUT_S = 60


def connect(daemon):
    return http.client.HTTPConnection("127.0.0.1", daemon.ports["caller"], TIMEOUT_S)


def highest(daemons):
    return {
        name: memory_bytes(daemon.process.pid, "VmHWM")
        for name, daemon in daemons.items()
    }


def download(daemon, size, pause_s=0.0):
    connection = connect(daemon)
    connection.request("GET", f"/proof-vault/download/{size}")
    response = connection.getresponse()
    assert response.status == 200, response.status
    received = 0
    while chunk := response.read(CHUNK_BYTES):
        received += len(chunk)
        if pause_s and received % PAUSE_EVERY_BYTES < CHUNK_BYTES:
            time.sleep(pause_s)
    connection.close()
    assert received == size, received


def upload(daemon, size):
    chunk = b"x" * CHUNK_BYTES
    connection = connect(daemon)
    connection.request(
        "POST",
        "/proof-vault/proof",
        (chunk for _ in range(size // CHUNK_BYTES)),
        encode_chunked=True,
    )
    response = connection.getresponse()
    body = response.read()
    connection.close()
    digest = hashlib.sha256(chunk * (size // CHUNK_BYTES)).hexdigest()
    assert digest.encode() in body, (response.status, body)


@given("the memory of daemons is noted after small bodies")
def step_note(context):
    daemon = context.fleet.daemons["d1"]
    for _ in range(5):
        download(daemon, MB)
        upload(daemon, MB)
    context.highest_bytes = highest(context.fleet.daemons)


@when("a streaming caller downloads {size:d} MB from {daemon} at full speed")
def step_download(context, size, daemon):
    download(context.fleet.daemons[daemon], size * MB)


@when("a streaming caller downloads {size:d} MB from {daemon} with pauses")
def step_slow(context, size, daemon):
    download(context.fleet.daemons[daemon], size * MB, PAUSE_S)


@when("a streaming caller uploads {size:d} MB to {daemon}")
def step_upload(context, size, daemon):
    upload(context.fleet.daemons[daemon], size * MB)


@then("the memory of no daemon has grown by more than {limit:d} MB")
def step_grown(context, limit):
    for name, value in highest(context.fleet.daemons).items():
        grown_mb = (value - context.highest_bytes[name]) / MB
        print(f"{name}: {grown_mb:.1f} MB")
        assert grown_mb <= limit, (name, grown_mb)
