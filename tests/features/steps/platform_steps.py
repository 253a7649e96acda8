import json
import signal
import time
import uuid

from behave import given, then, when

from tests.standins.fleet import request, wait_until

HOST = "desk.example"
CLIENT_LIMIT_MS = 1500
JUNK = (
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


def route(prefix, kind, service, **fields):
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


def configuration(version, lookups_to="slot-desk"):
    return {
        "version": version,
        "routes": [
            route("lookup", "idempotent", lookups_to),
            route("hold", "non_idempotent", "slot-desk"),
            route("proof", "download", "proof-vault"),
        ],
        "services": [
            {"name": name, "health_path": "/healthz", "max_connections": 330}
            for name in ("slot-desk", "proof-vault")
        ],
        "limits": {},
    }


def write_configuration(context, version, lookups_to="slot-desk"):
    body = json.dumps(configuration(version, lookups_to)).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == 200


def start(context, name, data_centre):
    ports = context.fleet.daemon_ports(name)
    ports.setdefault("readiness", context.fleet.free_port())
    return context.fleet.start_daemon(
        name,
        data_centre,
        platform="laburnumscale_platform",
        caller_service="slot-desk" if name == "d1" else "proof-vault",
        routes_only=True,
        readiness_address=f"127.0.0.1:{ports['readiness']}",
        retry_budget_percent=20,
        retry_slack_attempts=56,
        drain_ms=4000,
        announcement_interval_ms=300,
    )


def send(context, method, path, daemon):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": str(CLIENT_LIMIT_MS),
    }
    context.attempt_id = headers["X-Attempt-Id"]
    body = b"{}" if method == "POST" else None
    context.client_answer = context.fleet.daemons[daemon].call(
        path, method, body, headers
    )
    return context.client_answer


def lookup(answer, name):
    fields = {key.lower(): value for key, value in answer.headers.items()}
    return fields.get(name.lower())


@given("a platform fleet of {count:d} daemons in {data_centres}")
def step_fleet(context, count, data_centres):
    names = data_centres.split(", ")
    context.fleet.start_store()
    for index in range(count):
        start(context, f"d{index + 1}", names[index % len(names)])


@given("platform daemon {daemon} is started in {data_centre}")
def step_started(context, daemon, data_centre):
    process = start(context, daemon, data_centre)
    wait_until(
        lambda: request("GET", process.callers + "/").status != 0, "it takes callers"
    )


@given("endpoints {endpoints} of {service} beside {daemon}")
def step_endpoints(context, endpoints, service, daemon):
    for endpoint in endpoints.split(", "):
        context.fleet.start_target(service, endpoint, daemon, kind="endpoint")


@given("the operator has written configuration {version:d}")
def step_written(context, version):
    write_configuration(context, version)


@given("the platform fleet is ready")
def step_ready(context):
    context.fleet.wait_ready()


@given("the store is down")
def step_store_down(context):
    assert context.fleet.post_to_store("faults", b'{"down": true}').status == 200


@when("a client sends {method} {path} to each daemon")
def step_send_each(context, method, path):
    context.client_answers = [
        send(context, method, path, daemon) for daemon in context.fleet.daemons
    ]


@when("a client sends {method} {path} to {daemon}")
def step_send(context, method, path, daemon):
    send(context, method, path, daemon)


@then("all client answers are {status:d} from {service}")
def step_all(context, status, service):
    seen = {(each.status, each.body.decode()) for each in context.client_answers}
    assert seen == {(status, service)}, seen


@then("the client answer is {status:d} with its own id and a stamp")
def step_own(context, status):
    answer = context.client_answer
    assert answer.status == status, answer
    assert lookup(answer, "X-Attempt-Id") == context.attempt_id, answer
    assert lookup(answer, "X-Response-Stamp") == "stamp-of-e1", answer


@then('the client answer is {status:d} with the body "{body}"')
def step_body(context, status, body):
    answer = context.client_answer
    assert (answer.status, answer.body.decode()) == (status, body), answer


@then("the client answer is {status:d}")
def step_status(context, status):
    assert context.client_answer.status == status, context.client_answer


@then("the client gets no complete answer")
def step_incomplete(context):
    assert context.client_answer.status in (0, 502, 504), context.client_answer


@then("its Retry-After is a positive number")
def step_retry_after(context):
    value = lookup(context.client_answer, "Retry-After")
    assert value is not None and float(value) > 0, context.client_answer


@then("endpoint {endpoint} has run it on behalf of {service} within {limit_ms:d} ms")
def step_ran(context, endpoint, service, limit_ms):
    entry = context.fleet.targets[endpoint].ledger()[-1]
    assert entry["id"] == context.attempt_id, entry
    assert entry["caller_service"] == service, entry
    assert 0 < entry["deadline_ms"] <= limit_ms, entry


@then("endpoint {endpoint} has run {count:d} requests")
def step_ran_count(context, endpoint, count):
    ledger = context.fleet.targets[endpoint].ledger()
    assert len(ledger) == count, ledger


@when("the operator writes configuration {version:d} with lookups to {service}")
def step_write(context, version, service):
    write_configuration(context, version, service)


@when('the operator writes the bytes "{text}"')
def step_write_bytes(context, text):
    assert (
        context.fleet.post_to_store("put/keyed.op/config", text.encode()).status == 200
    )


@when("the store drops its history")
def step_drop(context):
    context.fleet.post_to_store("trim/keyed.op/1")


@then("every daemon has revision {revision:d} within {limit_s:d} s")
def step_revision(context, revision, limit_s):
    def reached():
        daemons = context.fleet.daemons.values()
        return {each.status()["revision"] for each in daemons} == {revision}

    wait_until(reached, f"revision {revision} is in force", limit_s)


@when("endpoint {endpoint} reports the state {state}")
def step_state(context, endpoint, state):
    context.fleet.targets[endpoint].faults(state=state)


@then("daemons d1 and d2 show {endpoint} as draining within {limit_s:d} s")
def step_draining(context, endpoint, limit_s):
    def shown():
        return all(
            each.endpoints("slot-desk").get(endpoint) == "TARGET_STATE_DRAINING"
            for each in context.fleet.daemons.values()
        )

    wait_until(shown, f"{endpoint} is draining", limit_s)


@when("endpoint {endpoint} has {faults}")
def step_faults(context, endpoint, faults):
    context.fleet.targets[endpoint].faults(**json.loads(faults))


@when("junk heartbeats are sent to {daemon}")
def step_junk(context, daemon):
    port = context.fleet.daemons[daemon].ports["target"]
    url = f"http://127.0.0.1:{port}/-/rpc?call=instances.heartbeat&of=junk"
    context.junk_statuses = [request("POST", url, body).status for body in JUNK]


@then("all of them are answered with {status:d}")
def step_junk_refused(context, status):
    assert set(context.junk_statuses) == {status}, context.junk_statuses


@then("no daemon knows an endpoint besides {endpoints}")
def step_known(context, endpoints):
    for daemon in context.fleet.daemons.values():
        known = {
            each["endpoint"]
            for member in daemon.status()["members"]
            for each in member.get("endpoints", [])
        }
        assert known <= set(endpoints.split(", ")), known


@when("platform daemon {daemon} gets SIGTERM")
def step_term(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGTERM)
    context.term_at_s = time.monotonic()


@then("{daemon} is not ready within {limit_s:d} s")
def step_not_ready(context, daemon, limit_s):
    port = context.fleet.daemons[daemon].ports["readiness"]
    url = f"http://127.0.0.1:{port}/-/readyz"
    wait_until(lambda: request("GET", url).status == 503, "not ready", limit_s)


@then("a client that sends {method} {path} to {daemon} at once gets {status:d}")
def step_served(context, method, path, daemon, status):
    answer = send(context, method, path, daemon)
    assert answer.status == status, answer


@when("platform daemon {daemon} gets SIGHUP")
def step_hup(context, daemon):
    context.fleet.daemons[daemon].process.send_signal(signal.SIGHUP)


@when("the file of {daemon} names the caller's service {service}")
def step_file(context, daemon, service):
    path = context.fleet.daemons[daemon].settings_path
    settings = json.loads(path.read_text())
    path.write_text(json.dumps(settings | {"caller_service": service}, indent=2))


@when("{daemon} is sent {method} {path} until it is not from {service}")
def step_until_changed(context, method, path, daemon, service):
    def changed():
        send(context, method, path, daemon)
        last = context.fleet.targets["e1"].ledger()[-1]
        return last["caller_service"] != service

    wait_until(changed, "the change is in force", 10)
