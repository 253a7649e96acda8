import http.client
import json
import subprocess
import sys

from behave import step, then

from tests.features.steps.accounts_steps import parse_accounts
from tests.features.steps.platform_steps import (
    client_headers,
    configuration_document,
    send_request,
)
from tests.standins.fleet import request, wait_until

#: Time after which a version must be in force on daemons that have contact, doubled for
#: one that has to be found again.
IN_FORCE_AFTER_S = 2.5
STATUS_OK = 200


def parse_fields(text):
    return dict(field.split(": ") for field in text.split(", ") if field)


def ledger(context, endpoint):
    return context.fleet.targets[endpoint].ledger()


@step("the operator has written version {version:d} with the tenants {tenants}")
def step_write_tenants(context, version, tenants):
    document = configuration_document(version)
    accounts = parse_accounts(tenants).items()
    document["tenants"] = [{"name": name, "api_keys": keys} for name, keys in accounts]
    document["routes"][-1]["public"] = True  # /proof/
    body = json.dumps(document).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == STATUS_OK


@then("these requests get these statuses, and targets these fields")
def step_send_all(context):
    context.problems = ""
    for daemon, path, fields, status, target in context.table:
        endpoint = "e2" if "proof" in path else "e1"
        count = len(ledger(context, endpoint))
        response = send_request(context, "GET", path, daemon, **parse_fields(fields))
        assert response.status == int(status), (fields, response)
        received = [each["account_fields"] for each in ledger(context, endpoint)]
        if response.status == STATUS_OK:
            assert received[count:] == [parse_fields(target)], (fields, received)
        else:
            assert received[count:] == [] and "WWW-Authenticate" in response.headers
            context.problems += response.body.decode()


@then(
    "with one operation key, {first} at d1, {first} at d2 and {second} at d2 get "
    "{expected}"
)
def step_use_operation_key(context, first, second, expected):
    url = f"{context.fleet.daemons['d1'].callers}/_laburnumscale/v1/operation-keys"
    (key,) = request("POST", url).json()["keys"]
    statuses = []
    for name, daemon in ((first, "d1"), (first, "d2"), (second, "d2")):
        fields = {"Idempotency-Key": key, "X-Key": name}
        response = send_request(context, "POST", "/hold/a", daemon, **fields)
        statuses.append(str(response.status))
    assert ", ".join(statuses) == expected, statuses
    run = [each for each in ledger(context, "e1") if each["path"] == "/hold/a"]
    assert [each["account_fields"] for each in run] == [{"X-Tenant": "acme"}], run


@then(
    "laburnumscalectl shows {count:d} accounts with answered calls, and {name} for "
    "{key}"
)
def step_show_accounts(context, count, name, key):
    shown = context.fleet.run_cli("d1", "--json", "accounts")
    accounts = json.loads(shown.stdout)["accounts"]
    assert len(accounts) == count, shown
    assert all(each["calls"]["answered"] for each in accounts), accounts
    address = context.fleet.daemons["d1"].operator_address
    command = [sys.executable, "-m", "laburnumscalectl", "--daemon", address]
    command += ["accounts", "--find-key"]
    found = subprocess.check_output(command, input=f"{key}\n", text=True)
    assert f"1 of {count} accounts\n{name} (account:" in found, found


@then("no log, metric or problem document contains a key")
def step_search_keys(context):
    texts = {"problems": context.problems}
    for name, daemon in context.fleet.daemons.items():
        texts[name] = (context.fleet.directory / f"{name}.log").read_text()
        for page in ("metrics", "v1/settings"):
            url = f"http://{daemon.operator_address}/{page}"
            texts[page + name] = request("GET", url).body.decode()
    leaks = [name for name, text in texts.items() if "key-" in text]
    assert not leaks, leaks
    assert 'account_calls_total{account="bravo"' in texts["metricsd1"]
    assert "key_digest" in texts["d1"], "the refused keys are in the log"


def kept_result(context, connection, key):
    """Return the account that a target got, or the status of a refusal."""
    connection.request("GET", "/lookup/a", headers=client_headers(**{"X-Key": key}))
    response = connection.getresponse()
    response.read()
    if response.status != STATUS_OK:
        return str(response.status)
    return ledger(context, "e1")[-1]["account_fields"]["X-Tenant"]


@then("the keys {keys} get {results} on kept connections")
def step_check_kept(context, keys, results):
    if "connections" not in context:
        context.connections = [
            http.client.HTTPConnection("127.0.0.1", daemon.ports["caller"])
            for daemon in context.fleet.daemons.values()
        ]
        for connection in context.connections:
            context.fleet.cleanups.callback(connection.close)
            connection.connect()
        context.sockets = [each.sock for each in context.connections]
    expected = [results.split(", ")] * len(context.connections)
    wait_until(
        lambda: (
            expected
            == [
                [kept_result(context, each, key) for key in keys.split(", ")]
                for each in context.connections
            ]
        ),
        f"{keys} get {results}",
        IN_FORCE_AFTER_S,
    )
    assert [each.sock for each in context.connections] == context.sockets


@then("the keys {keys} get {statuses} at {daemon}")
def step_check_statuses(context, keys, statuses, daemon):
    def send(key):
        fields = {"X-Key": key}
        return str(send_request(context, "GET", "/lookup/a", daemon, **fields).status)

    wait_until(
        lambda: ", ".join(send(key) for key in keys.split(", ")) == statuses,
        f"{keys} get {statuses} at {daemon}",
        2 * IN_FORCE_AFTER_S,
    )
