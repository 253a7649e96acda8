"""Health steps.

Steps that make targets fail and check which daemons still send calls to them.
"""

import json
import math
import time
from concurrent.futures import ThreadPoolExecutor

import grpc
from behave import given, then, when

from laburnumscale_schema import peer_pb2, peer_pb2_grpc
from tests.standins.fleet import request, wait_until
from tests.standins.traffic import Traffic

BASE_SERVICE_SETTINGS = {
    "time_limit_ms": 1000,
    "eject_after": 2,
    "slow_factor": 3,
    "slow_excess_ms": 200,
}
SLOTS_PER_TARGET = 5
#: More than a minute of path checks, and less than a hundred calls.
CARRIED_BYTES = 20_000


@given("health targets {endpoints} of {service} spread over the daemons")
def step_start_targets(context, endpoints, service):
    daemons = list(context.fleet.daemons)
    context.service = service
    context.local_daemons = {}
    for index, endpoint in enumerate(endpoints.split(", ")):
        daemon = daemons[index % len(daemons)]
        context.local_daemons[endpoint] = daemon
        context.fleet.start_target(service, endpoint, daemon)


@given(
    "a health target {endpoint} of {service} with 1 slot and a latency of "
    "{latency_ms:d} ms"
)
def step_start_one_slot_target(context, endpoint, service, latency_ms):
    context.service = service
    options = {"slots": 1, "latency_ms": latency_ms}
    context.fleet.start_target(service, endpoint, "d1", **options)


@given("the health fleet is ready with the service settings {settings}")
def step_publish_settings(context, settings):
    context.fleet.wait_ready()
    value = {
        "services": {context.service: BASE_SERVICE_SETTINGS | json.loads(settings)}
    }
    path = context.fleet.directory / "services.jsonc"
    path.write_text(json.dumps(value))
    completed = context.fleet.run_cli("d1", "publish", str(path))
    assert completed.returncode == 0, completed
    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda d=daemon: d.status()["revision"] == 1, "the daemon has the settings"
        )


@when("health traffic runs until every target has received {count:d} calls")
def step_start_traffic(context, count):
    urls = [
        f"{daemon.callers}/{context.service}/lookup"
        for daemon in context.fleet.daemons.values()
    ]
    context.traffic = Traffic(urls)
    context.add_cleanup(context.traffic.stop)
    for target in context.fleet.targets.values():
        wait_until(
            lambda t=target: len(t.ledger()) >= count, "the target has run the calls"
        )


@when("health target {endpoint} is given the faults {faults}")
def step_set_faults(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))
    context.failed_at_s = time.monotonic()


@when("all health targets are given the faults {faults}")
def step_set_faults_on_all(context, faults):
    for target in context.fleet.targets.values():
        target.faults(**json.loads(faults))


@then(
    "health target {endpoint} receives no calls from {start_s:d} s to {end_s:d} s "
    "after the fault"
)
def step_check_no_calls(context, endpoint, start_s, end_s):
    end_at_s = context.failed_at_s + end_s
    wait_until(lambda: time.monotonic() > end_at_s, "the end of the observed period")
    ages_s = [
        entry["started_at_s"] - context.failed_at_s
        for entry in context.fleet.targets[endpoint].ledger()
    ]
    late = [age_s for age_s in ages_s if start_s < age_s < end_s]
    assert not late, late


@then("health target {endpoint} receives calls within {timeout_s:d} s")
def step_wait_for_calls(context, endpoint, timeout_s):
    def has_calls():
        ledger = context.fleet.targets[endpoint].ledger()
        return any(entry["started_at_s"] > context.failed_at_s for entry in ledger)

    wait_until(has_calls, "the target receives calls again", timeout_s)


@when("every health target has received {count:d} more calls")
def step_wait_for_more_calls(context, count):
    wanted = {
        t.endpoint: len(t.ledger()) + count for t in context.fleet.targets.values()
    }
    for target in context.fleet.targets.values():
        wait_until(
            lambda t=target: len(t.ledger()) >= wanted[t.endpoint],
            "the target has run the calls",
        )


@then("every daemon has all health targets in service")
def step_wait_all_in_service(context):
    for daemon in context.fleet.daemons:
        for endpoint in context.local_daemons:
            step_wait_in_service(context, daemon, endpoint)


def count_ejections(context, endpoint):
    """Return how many ejections the daemon beside an endpoint has counted."""
    daemon = context.fleet.daemons[context.local_daemons[endpoint]]
    text = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    lines = [line for line in text.splitlines() if "_ejections_total" in line]
    return sum(int(line.split()[-1]) for line in lines)


@then("the guard of {endpoint} has ejected it {count:d} time")
@then("the guard of {endpoint} has ejected it {count:d} times")
def step_check_ejections(context, endpoint, count):
    assert count_ejections(context, endpoint) == count


@then("no guard has ejected a target")
def step_check_no_ejections(context):
    counts = {
        endpoint: count_ejections(context, endpoint)
        for endpoint in context.local_daemons
    }
    assert set(counts.values()) == {0}, counts


@then("the guard of {endpoint} ejects it at most {count:d} times in {length_s:d} s")
def step_check_ejections_while_flapping(context, endpoint, count, length_s):
    end_at_s = context.failed_at_s + length_s
    wait_until(lambda: time.monotonic() > end_at_s, "the end of the observed period")
    ejections = count_ejections(context, endpoint)
    assert 1 <= ejections <= count, ejections


def call_guard(context, endpoint, floor_traffic):
    """Send one call directly to the guard of an endpoint and return its reply."""
    daemon = context.fleet.daemons[context.local_daemons[endpoint]]
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


@then("the guard of {endpoint} refuses a call that is not floor traffic")
def step_check_call_refused(context, endpoint):
    reply = call_guard(context, endpoint, False)
    assert reply.not_run.reason == peer_pb2.NOT_RUN_REASON_EJECTED, reply
    assert reply.load.ejected, reply


@then(
    "the guard of {endpoint} runs a floor traffic call after its target is given "
    "the faults {faults}"
)
def step_check_floor_traffic_runs(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))
    reply = call_guard(context, endpoint, True)
    assert reply.head.status == 200, reply


def get_selection(context, daemon):
    """Return a daemon's view of the endpoints of the service, as JSON."""
    url = f"http://{daemon.operator_address}/v1/selection/{context.service}"
    return request("GET", url).json()


def endpoints_in_use(context, daemon):
    """Return the endpoints that the named daemon has in use, by name."""
    entries = get_selection(context, context.fleet.daemons[daemon])["in_use"]
    return {entry["endpoint"]: entry for entry in entries}


def check_floor(context, percent):
    """Check that each daemon uses at least the floor of the slots it knows.

    Draining targets count neither as known nor as in use.
    """
    for daemon in context.fleet.daemons.values():
        states = daemon.endpoints(context.service)
        not_draining = [
            e for e, state in states.items() if state != "TARGET_STATE_DRAINING"
        ]
        entries = get_selection(context, daemon)["in_use"]
        slots = sum(e["slots"] for e in entries if e["endpoint"] in not_draining)
        floor_slots = math.ceil(len(not_draining) * SLOTS_PER_TARGET * percent / 100)
        assert slots >= floor_slots, (daemon.name, slots, floor_slots)


@then(
    "every daemon excludes some targets and keeps the capacity floor of "
    "{percent:d} percent"
)
def step_wait_targets_excluded(context, percent):
    target_count = len(context.fleet.targets)

    def excludes_targets():
        check_floor(context, percent)
        return all(
            len(endpoints_in_use(context, d)) < target_count
            for d in context.fleet.daemons
        )

    wait_until(excludes_targets, "every daemon excludes some targets")
    step_check_floor(context, percent, 2)


@then("every daemon keeps the capacity floor of {percent:d} percent for {length_s:d} s")
def step_check_floor(context, percent, length_s):
    end_at_s = time.monotonic() + length_s
    while time.monotonic() < end_at_s:
        check_floor(context, percent)


@then("daemon {daemon} excludes {endpoint}")
def step_wait_excluded(context, daemon, endpoint):
    wait_until(
        lambda: endpoint not in endpoints_in_use(context, daemon),
        "the target is excluded",
    )


@then("daemon {daemon} replaces a connection within {limit_s:d} s")
def step_wait_replaced(context, daemon, limit_s):
    address = context.fleet.daemons[daemon].operator_address

    def has_replaced():
        metrics = request("GET", f"http://{address}/metrics").body.decode()
        return "laburnumscale_connections_replaced_total" in metrics

    wait_until(has_replaced, "a connection is replaced", limit_s)


@then("calls of {source} reach {destination} and are answered over new connections")
def step_wait_carried(context, source, destination):
    """Wait until both directions carry more than the checks of a path do."""
    link = context.fleet.links[f"{source}>{destination}"]
    before = link.faults()

    def has_carried():
        carried = link.faults()
        return all(carried[each] - before[each] > CARRIED_BYTES for each in carried)

    wait_until(has_carried, "the link carries calls again")


@then("every daemon excludes {endpoint}")
def step_wait_excluded_everywhere(context, endpoint):
    for daemon in context.fleet.daemons:
        step_wait_excluded(context, daemon, endpoint)


@then("daemon {daemon} keeps {endpoint} in service")
@then("daemon {daemon} returns {endpoint} to service")
def step_wait_in_service(context, daemon, endpoint):
    def in_service():
        entry = endpoints_in_use(context, daemon).get(endpoint)
        return entry and not entry["ejected"] and not entry["path_broken"]

    wait_until(in_service, "the target is in service")


@when(
    "{count:d} health calls with a time limit of {limit_ms:d} ms are sent at once, "
    "after {sequential:d} sequential calls"
)
def step_send_concurrent_calls(context, count, limit_ms, sequential):
    daemon = context.fleet.daemons["d1"]
    path = f"/{context.service}/hold"
    headers = {"X-Request-Timeout-Ms": str(limit_ms)}
    for _ in range(sequential):
        assert daemon.call(path, "POST", b"").status == 200
    context.ledger_size_before = len(context.fleet.targets["e1"].ledger())
    with ThreadPoolExecutor(count) as pool:
        calls = [
            pool.submit(daemon.call, path, "POST", b"", headers) for _ in range(count)
        ]
        context.responses = [call.result() for call in calls]


@then("some calls are answered and the others are refused with Retry-After")
def step_check_some_refused(context):
    statuses = [response.status for response in context.responses]
    refused = [response for response in context.responses if response.status != 200]
    assert 200 in statuses, statuses
    assert refused, statuses
    for response in refused:
        assert response.status in (429, 503), statuses
        assert "Retry-After" in response.headers, response


@then("health target {endpoint} has run only the answered calls")
def step_check_only_answered_ran(context, endpoint):
    answered = sum(response.status == 200 for response in context.responses)
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) - context.ledger_size_before == answered
