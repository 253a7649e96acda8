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


def read_peak_memory_bytes(daemons):
    return {
        name: memory_bytes(daemon.process.pid, "VmHWM")
        for name, daemon in daemons.items()
    }


def download(daemon, size_bytes, pause_s=0.0):
    connection = connect(daemon)
    connection.request("GET", f"/proof-vault/download/{size_bytes}")
    response = connection.getresponse()
    assert response.status == 200, response.status
    received = 0
    while chunk := response.read(CHUNK_BYTES):
        received += len(chunk)
        if pause_s and received % PAUSE_EVERY_BYTES < CHUNK_BYTES:
            time.sleep(pause_s)
    connection.close()
    assert received == size_bytes, received


def upload(daemon, size_bytes):
    chunk = b"x" * CHUNK_BYTES
    connection = connect(daemon)
    connection.request(
        "POST",
        "/proof-vault/proof",
        (chunk for _ in range(size_bytes // CHUNK_BYTES)),
        encode_chunked=True,
    )
    response = connection.getresponse()
    body = response.read()
    connection.close()
    digest = hashlib.sha256(chunk * (size_bytes // CHUNK_BYTES)).hexdigest()
    assert digest.encode() in body, (response.status, body)


@given("the peak memory of the daemons is recorded after small bodies")
def step_record_peak_memory(context):
    daemon = context.fleet.daemons["d1"]
    for _ in range(5):
        download(daemon, MB)
        upload(daemon, MB)
    context.peak_memory_bytes = read_peak_memory_bytes(context.fleet.daemons)


@when("a streaming caller downloads {size_mb:d} MB from {daemon} at full speed")
def step_download_at_full_speed(context, size_mb, daemon):
    download(context.fleet.daemons[daemon], size_mb * MB)


@when("a streaming caller downloads {size_mb:d} MB from {daemon} with pauses")
def step_download_with_pauses(context, size_mb, daemon):
    download(context.fleet.daemons[daemon], size_mb * MB, PAUSE_S)


@when("a streaming caller uploads {size_mb:d} MB to {daemon}")
def step_upload(context, size_mb, daemon):
    upload(context.fleet.daemons[daemon], size_mb * MB)


@then("the peak memory of no daemon grows by more than {limit_mb:d} MB")
def step_check_growth(context, limit_mb):
    for name, value in read_peak_memory_bytes(context.fleet.daemons).items():
        grown_mb = (value - context.peak_memory_bytes[name]) / MB
        print(f"{name}: {grown_mb:.1f} MB")
        assert grown_mb <= limit_mb, (name, grown_mb)
