import json
import math
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
from behave import given, then, when

from laburnumscale_schema import peer_pb2, peer_pb2_grpc
from tests.standins.fleet import request, wait_until
from tests.standins.traffic import Traffic

SETTINGS = {
    "time_limit_ms": 1000,
    "eject_after": 2,
    "slow_factor": 3,
    "slow_excess_ms": 200,
}
SLOTS = 5


@given("health targets {endpoints} of {service} spread over the daemons")
def step_targets(context, endpoints, service):
    daemons = list(context.fleet.daemons)
    context.service = service
    context.homes = {}
    for index, endpoint in enumerate(endpoints.split(", ")):
        home = daemons[index % len(daemons)]
        context.homes[endpoint] = home
        context.fleet.start_target(service, endpoint, home)


@given(
    "a health target {endpoint} of {service} with 1 slot and {latency_ms:d} ms of work"
)
def step_small_target(context, endpoint, service, latency_ms):
    context.service = service
    options = {"slots": 1, "latency_ms": latency_ms}
    context.fleet.start_target(service, endpoint, "d1", **options)


@given("the health fleet is ready with {settings}")
def step_ready(context, settings):
    context.fleet.wait_ready()
    value = {"services": {context.service: SETTINGS | json.loads(settings)}}
    path = context.fleet.directory / "services.jsonc"
    path.write_text(json.dumps(value))
    done = context.fleet.ctl("d1", "publish", str(path))
    assert done.returncode == 0, done
    for daemon in context.fleet.daemons.values():
        wait_until(lambda d=daemon: d.status()["revision"] == 1, "the settings")


@when("health traffic runs until every target has had {count:d} calls")
def step_traffic(context, count):
    urls = [
        f"{daemon.callers}/{context.service}/lookup"
        for daemon in context.fleet.daemons.values()
    ]
    context.traffic = Traffic(urls)
    context.add_cleanup(context.traffic.stop)
    for target in context.fleet.targets.values():
        wait_until(lambda t=target: len(t.ledger()) >= count, "calls")


@when("health target {endpoint} fails with {faults}")
def step_fail(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))
    context.failed_at_s = time.monotonic()


@when("all health targets fail with {faults}")
def step_fail_all(context, faults):
    for target in context.fleet.targets.values():
        target.faults(**json.loads(faults))


@then(
    "health target {endpoint} gets no work from {start_s:d} s to {end_s:d} s after that"
)
def step_no_work(context, endpoint, start_s, end_s):
    end_at_s = context.failed_at_s + end_s
    wait_until(lambda: time.monotonic() > end_at_s, "the end of the time")
    ages_s = [
        entry["started_at_s"] - context.failed_at_s
        for entry in context.fleet.targets[endpoint].ledger()
    ]
    late = [age_s for age_s in ages_s if start_s < age_s < end_s]
    assert not late, late


@then("health target {endpoint} gets work within {limit_s:d} s")
def step_work_again(context, endpoint, limit_s):
    def has_work():
        ledger = context.fleet.targets[endpoint].ledger()
        return any(entry["started_at_s"] > context.failed_at_s for entry in ledger)

    wait_until(has_work, "work again", limit_s)


@when("every health target has had {count:d} calls more")
def step_more_calls(context, count):
    wanted = {
        t.endpoint: len(t.ledger()) + count for t in context.fleet.targets.values()
    }
    for target in context.fleet.targets.values():
        wait_until(lambda t=target: len(t.ledger()) >= wanted[t.endpoint], "calls")


@then("every daemon has all health targets in service")
def step_all_in_service(context):
    for daemon in context.fleet.daemons:
        for endpoint in context.homes:
            step_keeps(context, daemon, endpoint)


def ejections(context, endpoint):
    daemon = context.fleet.daemons[context.homes[endpoint]]
    text = request("GET", f"http://{daemon.operator}/metrics").body.decode()
    lines = [line for line in text.splitlines() if "_ejections_total" in line]
    return sum(int(line.split()[-1]) for line in lines)


@then("the guard of {endpoint} has ejected it {count:d} time")
@then("the guard of {endpoint} has ejected it {count:d} times")
def step_ejections(context, endpoint, count):
    assert ejections(context, endpoint) == count


@then("no guard has ejected a target")
def step_no_ejections(context):
    counts = {endpoint: ejections(context, endpoint) for endpoint in context.homes}
    assert set(counts.values()) == {0}, counts


@then("the guard of {endpoint} ejects it at most {count:d} times in {length_s:d} s")
def step_flaps(context, endpoint, count, length_s):
    end_at_s = context.failed_at_s + length_s
    wait_until(lambda: time.monotonic() > end_at_s, "the end of the time")
    found = ejections(context, endpoint)
    assert 1 <= found <= count, found


def guard_call(context, endpoint, floor_traffic):
    """Send one call straight to the guard of an endpoint."""
    daemon = context.fleet.daemons[context.homes[endpoint]]
    members = daemon.status()["members"]
    own = next(m for m in members if m["daemon"] == daemon.name)
    head = peer_pb2.CallHead(
        attempt=peer_pb2.AttemptId(
            entry="test",
            entry_incarnation=1,
            guard_incarnation=int(own["incarnation"]),
            sequence=2 if floor_traffic else 1,
        ),
        service=context.service,
        endpoint=endpoint,
        method="GET",
        path_and_query="/lookup",
        time_left_ms=2000,
        send_left_ms=1500,
        idempotent=True,
        floor_traffic=floor_traffic,
    )
    address = f"127.0.0.1:{daemon.ports['peer']}"
    options = (("grpc.enable_http_proxy", 0),)
    with grpc.insecure_channel(address, options=options) as channel:
        call = peer_pb2.CallRequest(head=head, end=True)
        stub = peer_pb2_grpc.GuardStub(channel)
        return next(iter(stub.Call(call, timeout=10)))


@then("the guard of {endpoint} refuses a call that is no floor traffic")
def step_refused(context, endpoint):
    reply = guard_call(context, endpoint, False)
    assert reply.not_run.reason == peer_pb2.NOT_RUN_REASON_EJECTED, reply
    assert reply.load.ejected, reply


@then("the guard of {endpoint} runs floor traffic again after {faults}")
def step_floor_traffic(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))
    reply = guard_call(context, endpoint, True)
    assert reply.head.status == 200, reply


def selection(context, daemon):
    url = f"http://{daemon.operator}/v1/selection/{context.service}"
    return request("GET", url).json()


def in_use(context, daemon):
    found = selection(context, context.fleet.daemons[daemon])["in_use"]
    return {e["endpoint"]: e for e in found}


def check_floor(context, percent):
    """Compare the slots in use with the floor of the slots that a daemon knows."""
    for daemon in context.fleet.daemons.values():
        states = daemon.endpoints(context.service)
        staying = [e for e, state in states.items() if state != "TARGET_STATE_DRAINING"]
        kept = selection(context, daemon)["in_use"]
        slots = sum(e["slots"] for e in kept if e["endpoint"] in staying)
        floor_slots = math.ceil(len(staying) * SLOTS * percent / 100)
        assert slots >= floor_slots, (daemon.name, slots, floor_slots)


@then("every daemon leaves out some targets and keeps the floor of {percent:d} percent")
def step_floor_reached(context, percent):
    announced = len(context.fleet.targets)

    def leaves_out():
        check_floor(context, percent)
        return all(len(in_use(context, d)) < announced for d in context.fleet.daemons)

    wait_until(leaves_out, "targets are left out")
    step_floor(context, percent, 2)


@then("every daemon keeps the floor of {percent:d} percent for {length_s:d} s")
def step_floor(context, percent, length_s):
    end_at_s = time.monotonic() + length_s
    while time.monotonic() < end_at_s:
        check_floor(context, percent)


@then("daemon {daemon} leaves out {endpoint}")
def step_leaves_out(context, daemon, endpoint):
    wait_until(lambda: endpoint not in in_use(context, daemon), "it is left out")


@then("every daemon leaves out {endpoint}")
def step_all_leave_out(context, endpoint):
    for daemon in context.fleet.daemons:
        step_leaves_out(context, daemon, endpoint)


@then("daemon {daemon} keeps {endpoint} in service")
@then("daemon {daemon} takes {endpoint} in again")
def step_keeps(context, daemon, endpoint):
    def in_service():
        found = in_use(context, daemon).get(endpoint)
        return found and not found["ejected"] and not found["path_broken"]

    wait_until(in_service, "it is in service")


@when(
    "{count:d} health calls with {limit_ms:d} ms each are sent at once, "
    "after {single:d} single ones"
)
def step_burst(context, count, limit_ms, single):
    daemon = context.fleet.daemons["d1"]
    path = f"/{context.service}/hold"
    headers = {"X-Request-Timeout-Ms": str(limit_ms)}
    for _ in range(single):
        assert daemon.call(path, "POST", b"").status == 200
    context.run_before = len(context.fleet.targets["e1"].ledger())
    with ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(daemon.call, path, "POST", b"", headers) for _ in range(count)
        ]
        context.replies = [call.result() for call in calls]


@then("some are answered, the others are refused with Retry-After")
def step_some_refused(context):
    statuses = [reply.status for reply in context.replies]
    refused = [reply for reply in context.replies if reply.status != 200]
    assert 200 in statuses, statuses
    assert refused, statuses
    for reply in refused:
        assert reply.status in (429, 503), statuses
        assert "Retry-After" in reply.headers, reply


@then("health target {endpoint} has run only the answered ones")
def step_run_answered(context, endpoint):
    answered = sum(reply.status == 200 for reply in context.replies)
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) - context.run_before == answered
