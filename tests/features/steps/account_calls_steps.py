import http.client
import json
import subprocess
import sys
import uuid

from behave import given, then, when

from tests.features.steps.accounts_steps import parse_accounts
from tests.features.steps.platform_steps import (
    CLIENT_TIMEOUT_MS,
    HOST,
    configuration_document,
)
from tests.standins.fleet import request, wait_until

#: Time after which a version must be in force on daemons that have contact.
IN_FORCE_AFTER_S = 2.5


def parse_fields(text):
    return dict(field.split(": ") for field in text.split(", ") if field)


def request_fields():
    return {
        "Host": HOST,
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS),
    }


def send(context, daemon, path, fields, method="GET"):
    headers = request_fields() | fields
    body = b"{}" if method == "POST" else None
    return context.fleet.daemons[daemon].call(path, method, body, headers)


def key_status(context, daemon, key):
    return send(context, daemon, "/lookup/a", {"X-Key": key}).status


@given("the operator has written version {version:d} with the tenants {tenants}")
@when("the operator has written version {version:d} with the tenants {tenants}")
def step_write_tenants(context, version, tenants):
    document = configuration_document(version)
    document["tenants"] = [
        {"name": name, "api_keys": keys}
        for name, keys in parse_accounts(tenants).items()
    ]
    document["routes"][-1]["public"] = True
    body = json.dumps(document).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == 200


@then(
    "requests through {daemon} with these fields get these statuses, and targets "
    "these fields"
)
def step_send_all(context, daemon):
    context.problems = b""
    for row in context.table:
        endpoint = context.fleet.targets["e2" if "proof" in row["path"] else "e1"]
        count = len(endpoint.ledger())
        response = send(context, daemon, row["path"], parse_fields(row["fields"]))
        assert response.status == int(row["status"]), (row, response)
        received = [each["account_fields"] for each in endpoint.ledger()[count:]]
        expected = [parse_fields(row["target"])] if response.status == 200 else []
        assert received == expected, (row, received)
        if response.status != 200:
            assert "WWW-Authenticate" in response.headers, response
            context.problems += response.body


@then(
    "an operation key with the answer for {key} at {daemon} gets status {status:d} "
    "for {other_key} at {other}"
)
def step_reuse_operation_key(context, key, daemon, status, other_key, other):
    minter = context.fleet.daemons[daemon].callers
    url = f"{minter}/_laburnumscale/v1/operation-keys?count=1"
    (operation,) = request("POST", url).json()["keys"]
    fields = {"Idempotency-Key": operation}
    statuses = [
        send(context, at, "/hold/a", fields | {"X-Key": name}, "POST").status
        for name, at in ((key, daemon), (key, other), (other_key, other))
    ]
    assert statuses == [200, 200, status], statuses
    (run,) = [
        each
        for each in context.fleet.targets["e1"].ledger()
        if each["path"] == "/hold/a"
    ]
    assert run["account_fields"] == {"X-Tenant": "acme"}, run


@then(
    "laburnumscalectl at {daemon} shows {count:d} accounts with answered calls, and "
    "{name} for {key}"
)
def step_show_accounts(context, daemon, count, name, key):
    shown = context.fleet.run_cli(daemon, "--json", "accounts")
    accounts = json.loads(shown.stdout)["accounts"]
    assert len(accounts) == count, shown
    assert all(each["calls"]["answered"] for each in accounts), accounts
    address = context.fleet.daemons[daemon].operator_address
    command = [sys.executable, "-m", "laburnumscalectl", "--daemon", address]
    found = subprocess.run(
        [*command, "accounts", "--find-key"],
        input=f"{key}\n",
        capture_output=True,
        text=True,
        check=True,
    )
    assert f"{name} (account:" in found.stdout, found
    assert "1 of 2 accounts" in found.stdout, found


@then("no log, metric or problem document contains a key")
def step_search_keys(context):
    texts = {"problems": context.problems.decode()}
    for name, daemon in context.fleet.daemons.items():
        texts[name] = (context.fleet.directory / f"{name}.log").read_text()
        url = f"http://{daemon.operator_address}/"
        texts[f"metrics of {name}"] = request("GET", url + "metrics").body.decode()
        texts[f"settings of {name}"] = request("GET", url + "v1/settings").body.decode()
    leaks = [name for name, text in texts.items() if "key-" in text]
    assert not leaks, leaks
    assert 'account_calls_total{account="bravo"' in texts["metrics of d1"]
    assert "key_digest" in texts["d1"], "the refused keys are in the log"


@when("clients keep connections to each daemon")
def step_connect(context):
    context.connections = [
        http.client.HTTPConnection("127.0.0.1", daemon.ports["caller"])
        for daemon in context.fleet.daemons.values()
    ]
    for connection in context.connections:
        context.fleet.cleanups.callback(connection.close)
        connection.connect()
    context.sockets = [each.sock for each in context.connections]


def kept_result(context, connection, key):
    """Return the account that a target got, or the status of a refusal."""
    headers = request_fields() | {"X-Key": key}
    connection.request("GET", "/lookup/a", headers=headers)
    response = connection.getresponse()
    response.read()
    if response.status != 200:
        return str(response.status)
    return context.fleet.targets["e1"].ledger()[-1]["account_fields"]["X-Tenant"]


@then("the keys {keys} get {results} on them")
def step_check_kept(context, keys, results):
    def are_results_right():
        found = [
            [kept_result(context, each, key) for key in keys.split(", ")]
            for each in context.connections
        ]
        return all(each == results.split(", ") for each in found)

    wait_until(are_results_right, f"{keys} get {results}", IN_FORCE_AFTER_S)
    assert [each.sock for each in context.connections] == context.sockets


@then(
    "d1 gives {key} status {first:d} and {other} status {second:d}, d2 gives them "
    "{third:d} and {fourth:d}"
)
def step_check_both(context, key, first, other, second, third, fourth):
    def statuses(daemon):
        return [key_status(context, daemon, each) for each in (key, other)]

    wait_until(
        lambda: statuses("d1") == [first, second], "d1 is right", IN_FORCE_AFTER_S
    )
    wait_until(
        lambda: statuses("d2") == [third, fourth], "d2 is right", 2 * IN_FORCE_AFTER_S
    )


@then("{daemon} gives {key} status {first:d} and {other} status {second:d}")
def step_check_one(context, daemon, key, first, other, second):
    statuses = [key_status(context, daemon, each) for each in (key, other)]
    assert statuses == [first, second], statuses
