import http.client
import json
import time

from behave import given, then, when

from tests.features.steps.memory_steps import MB
from tests.standins.fleet import request, wait_until

STATUS_OK = 200
SERVER_ERROR = 500
PARTS = {"health check": "health"}


@given(
    "a fleet of {count:d} daemons in {data_centres} whose answers have {limit_mb:d} MB "
    "at most"
)
def step_start_fleet(context, count, data_centres, limit_mb):
    names = data_centres.split(", ")
    context.fleet.start_log()
    for index in range(count):
        context.fleet.start_daemon(
            f"d{index + 1}", names[index], answer_limit_bytes=limit_mb * MB
        )


@when("target {endpoint} sends answers whose {part} has no end")
def step_set_endless(context, endpoint, part):
    context.fleet.targets[endpoint].faults(endless=PARTS.get(part, part))


@when(
    "a caller sends a lookup to {service} through {daemon} with a time limit of "
    "{limit_s:d} s"
)
def step_send_lookup(context, service, daemon, limit_s):
    port = context.fleet.daemons[daemon].ports["caller"]
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=limit_s + 2)
    started_at_s = time.monotonic()
    headers = {"X-Request-Timeout-Ms": str(limit_s * 1000)}
    connection.request("GET", f"/{service}/lookup", headers=headers)
    try:
        response = connection.getresponse()
        context.status = response.status
        while response.read(MB):
            pass
        context.is_complete = True
    except (http.client.HTTPException, ConnectionError):
        context.is_complete = False
    context.elapsed_s = time.monotonic() - started_at_s
    connection.close()


@then("the caller gets no complete answer, and that within {limit_s:d} s")
def step_check_answer(context, limit_s):
    is_success = context.is_complete and context.status < SERVER_ERROR
    assert not is_success, context.status
    assert context.elapsed_s < limit_s, context.elapsed_s


@then("target {endpoint} has sent at most {limit_mb:d} MB and its connection is closed")
def step_check_sent(context, endpoint, limit_mb):
    url = f"http://127.0.0.1:{context.fleet.targets[endpoint].port}/endless"

    def sent_bytes():
        return request("GET", url).json()["sent_bytes"]

    before = sent_bytes()
    time.sleep(0.3)
    assert before == sent_bytes(), "bytes are still sent"
    assert 0 < before <= limit_mb * MB, before


@when("the guard of {endpoint} probes it after an ejection")
def step_eject(context, endpoint):
    target = context.fleet.targets[endpoint]
    target.faults(error_percent=100)
    daemon = context.fleet.daemons["d1"]
    log = context.fleet.directory / "d2.log"

    def is_probed():
        daemon.call("/proof-vault/lookup")
        return "target probe failed" in log.read_text()

    wait_until(is_probed, "a probe has failed")


@then("a probe has failed")
def step_check_probe(context):
    lines = (context.fleet.directory / "d2.log").read_text().splitlines()
    failed = [json.loads(line) for line in lines if "target probe failed" in line]
    assert any("body of more than" in each["reason"] for each in failed), failed
