import json
import signal
import time
import uuid

from behave import given, then, when

from tests.standins.fleet import request, wait_until

HOST = "desk.example"
CLIENT_TIMEOUT_MS = 1500
INVALID_HEARTBEATS = (
    b"",
    b"\xff\xfe",
    b"[]",
    b'{"info": {}, "status": {}}',
    b'{"address": "127.0.0.1:1", "info": {"service": "slot-desk", "slots": "5"},'
    b' "status": {"state": "ready", "sequence": 1}}',
    b'{"address": "127.0.0.1:1", "info": {"service": "slot-desk", "slots": 5},'
    b' "status": {"state": "asleep", "sequence": 1}}',
    b'{"address": "127.0.0.1:1", "info": {"service": "no-desk", "slots": 5},'
    b' "status": {"state": "ready", "sequence": 1}}',
    b'{"address": 7, "info": {"service": "slot-desk", "slots": 5},'
    b' "status": {"state": "ready", "sequence": 1}}',
)


def route_document(prefix, kind, service, **fields):
    return {
        "name": f"r-{prefix}",
        "hostname": HOST,
        "path_prefix": f"/{prefix}/",
        "route_type": kind,
        "timeout_s": 2,
        "target_latency_s": 1,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **fields,
    }


def configuration_document(version, lookup_service="slot-desk"):
    return {
        "version": version,
        "routes": [
            route_document("lookup", "idempotent", lookup_service),
            route_document("hold", "non_idempotent", "slot-desk"),
            route_document("proof", "download", "proof-vault"),
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 330}
            for name in ("slot-desk", "proof-vault")
        ],
        "limits": {},
    }


def write_configuration(context, version, lookup_service="slot-desk"):
    body = json.dumps(configuration_document(version, lookup_service)).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == 200


def start_platform_daemon(context, name, data_centre, **settings):
    ports = context.fleet.daemon_ports(name)
    ports.setdefault("readiness", context.fleet.free_port())
    settings.setdefault(
        "caller_service", "slot-desk" if name == "d1" else "proof-vault"
    )
    return context.fleet.start_daemon(
        name,
        data_centre,
        platform="laburnumscale_platform",
        routes_only=True,
        readiness_address=f"127.0.0.1:{ports['readiness']}",
        retry_budget_percent=20,
        retry_slack_attempts=56,
        drain_ms=4000,
        announcement_interval_ms=300,
        settings_apply_ms=2000,
        **settings,
    )


def client_headers(**fields):
    return {
        "Host": HOST,
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS),
        **fields,
    }


def send_request(context, method, path, daemon, **fields):
    headers = client_headers(**fields)
    context.attempt_id = headers["X-Attempt-Id"]
    body = b"{}" if method == "POST" else None
    context.client_response = context.fleet.daemons[daemon].call(
        path, method, body, headers
    )
    return context.client_response


def find_header(response, name):
    fields = {key.lower(): value for key, value in response.headers.items()}
    return fields.get(name.lower())


@given("a platform fleet of {count:d} daemons in {data_centres}")
def step_start_fleet(context, count, data_centres):
    names = data_centres.split(", ")
    context.fleet.start_store()
    for index in range(count):
        start_platform_daemon(context, f"d{index + 1}", names[index % len(names)])


@given("platform daemon {daemon} is started in {data_centre}")
def step_start_daemon(context, daemon, data_centre):
    process = start_platform_daemon(context, daemon, data_centre)
    wait_until(
        lambda: request("GET", process.callers + "/").status != 0,
        "the daemon accepts callers",
    )


@given("endpoints {endpoints} of {service} beside {daemon}")
def step_start_endpoints(context, endpoints, service, daemon):
    for endpoint in endpoints.split(", "):
        context.fleet.start_target(service, endpoint, daemon, kind="endpoint")


@given("the operator has written configuration version {version:d}")
def step_write_initial_configuration(context, version):
    write_configuration(context, version)


@given("the platform fleet is ready")
def step_wait_fleet_ready(context):
    context.fleet.wait_ready()


@given("the store is down")
def step_set_store_down(context):
    assert context.fleet.post_to_store("faults", b'{"down": true}').status == 200


@when("a client sends {method} {path} to each daemon")
def step_send_to_each_daemon(context, method, path):
    context.client_responses = [
        send_request(context, method, path, daemon) for daemon in context.fleet.daemons
    ]


@when("a client sends {method} {path} to {daemon}")
def step_send_to_daemon(context, method, path, daemon):
    send_request(context, method, path, daemon)


@then("all client responses have status {status:d} and come from {service}")
def step_check_all_responses(context, status, service):
    seen = {(each.status, each.body.decode()) for each in context.client_responses}
    assert seen == {(status, service)}, seen


@then(
    "the client response has status {status:d}, the id of its request "
    "and the stamp of e1"
)
def step_check_request_id_and_stamp(context, status):
    response = context.client_response
    assert response.status == status, response
    assert find_header(response, "X-Attempt-Id") == context.attempt_id, response
    assert find_header(response, "X-Response-Stamp") == "stamp-of-e1", response


@then('the client response has status {status:d} and the body "{body}"')
def step_check_body(context, status, body):
    response = context.client_response
    assert (response.status, response.body.decode()) == (status, body), response


@then("the client response has status {status:d}")
def step_check_status(context, status):
    assert context.client_response.status == status, context.client_response


@then("the client gets no complete response")
def step_check_incomplete(context):
    assert context.client_response.status in (0, 502, 504), context.client_response


@then("its Retry-After is a positive number")
def step_check_retry_after(context):
    value = find_header(context.client_response, "Retry-After")
    assert value is not None and float(value) > 0, context.client_response


@then(
    "endpoint {endpoint} has run the request for caller service {service} "
    "with at most {limit_ms:d} ms left"
)
def step_check_last_run(context, endpoint, service, limit_ms):
    entry = context.fleet.targets[endpoint].ledger()[-1]
    assert entry["id"] == context.attempt_id, entry
    assert entry["caller_service"] == service, entry
    assert 0 < entry["deadline_ms"] <= limit_ms, entry


@then("endpoint {endpoint} has run {count:d} requests")
def step_check_run_count(context, endpoint, count):
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) == count, ledger


@when(
    "the operator writes configuration version {version:d} "
    "that routes lookups to {service}"
)
def step_write_configuration(context, version, service):
    write_configuration(context, version, service)


@when('the operator writes the bytes "{text}"')
def step_write_raw_configuration(context, text):
    assert (
        context.fleet.post_to_store("put/keyed.op/config", text.encode()).status == 200
    )


@when("the store drops the configuration records before offset 1")
def step_drop_configuration_records(context):
    context.fleet.post_to_store("trim/keyed.op/1")


@then("every daemon has revision {revision:d} within {limit_s:d} s")
def step_wait_revision(context, revision, limit_s):
    def reached():
        daemons = context.fleet.daemons.values()
        return {each.status()["revision"] for each in daemons} == {revision}

    wait_until(reached, f"revision {revision} is in force", limit_s)


@when("endpoint {endpoint} reports the state {state}")
def step_report_state(context, endpoint, state):
    context.fleet.targets[endpoint].faults(state=state)


@then("daemons d1 and d2 show {endpoint} as draining within {limit_s:d} s")
def step_wait_draining(context, endpoint, limit_s):
    def shown():
        return all(
            each.endpoints("slot-desk").get(endpoint) == "TARGET_STATE_DRAINING"
            for each in context.fleet.daemons.values()
        )

    wait_until(shown, f"{endpoint} is draining", limit_s)


@when("endpoint {endpoint} has the faults {faults}")
def step_set_endpoint_faults(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))


@when("invalid heartbeats are sent to {daemon}")
def step_send_invalid_heartbeats(context, daemon):
    port = context.fleet.daemons[daemon].ports["target"]
    url = f"http://127.0.0.1:{port}/-/rpc?call=instances.heartbeat&of=junk"
    context.heartbeat_statuses = [
        request("POST", url, body).status for body in INVALID_HEARTBEATS
    ]


@then("each of them gets status {status:d}")
def step_check_heartbeat_statuses(context, status):
    assert set(context.heartbeat_statuses) == {status}, context.heartbeat_statuses


@then("no daemon lists an endpoint other than {endpoints}")
def step_check_listed_endpoints(context, endpoints):
    for daemon in context.fleet.daemons.values():
        listed = {
            each["endpoint"]
            for member in daemon.status()["members"]
            for each in member.get("endpoints", [])
        }
        assert listed <= set(endpoints.split(", ")), listed


@when("platform daemon {daemon} gets SIGTERM")
def step_send_sigterm(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGTERM)
    context.sigterm_at_s = time.monotonic()


@then("{daemon} is not ready within {limit_s:d} s")
def step_wait_not_ready(context, daemon, limit_s):
    port = context.fleet.daemons[daemon].ports["readiness"]
    url = f"http://127.0.0.1:{port}/-/readyz"
    wait_until(
        lambda: request("GET", url).status == 503, "the daemon is not ready", limit_s
    )


@then("an immediate {method} {path} to {daemon} gets status {status:d}")
def step_check_immediate_request(context, method, path, daemon, status):
    response = send_request(context, method, path, daemon)
    assert response.status == status, response


@when("platform daemon {daemon} gets SIGHUP")
def step_send_sighup(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGHUP)


@when("the settings file of {daemon} is changed to caller service {service}")
def step_change_caller_service(context, daemon, service):
    path = context.fleet.daemons[daemon].settings_path
    settings = json.loads(path.read_text())
    path.write_text(json.dumps(settings | {"caller_service": service}, indent=2))


@when(
    "a client repeats {method} {path} at {daemon} "
    "until its caller service is not {service}"
)
def step_repeat_until_caller_changed(context, method, path, daemon, service):
    def changed():
        send_request(context, method, path, daemon)
        last = context.fleet.targets["e1"].ledger()[-1]
        return last["caller_service"] != service

    wait_until(changed, "the new caller service is in force", 10)
