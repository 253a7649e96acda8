import argparse
import contextlib
import io
import json
import subprocess
import sys

from behave import given, then, when

from laburnumscale.accounts import digest_key
from laburnumscale_schema import settings_pb2
from laburnumscalectl.check import check

SERVICES = '{"services": {"a": {"time_limit_ms": 1000}, "b": {}},'
ROUTE = {"hostname": "h", "service": "a", "route_type": "idempotent"}
DOCUMENT = """{"version": 1, "services": [{"name": "a", "health_path": ""}], "routes": [
  %s,
  %s,
  %s]}"""


class SettingsInForce:
    """Stands in for the client of a daemon."""

    def __init__(self, places=()):
        self.places = places

    def settings(self):
        return settings_pb2.Snapshot(revision=1, places=self.places)


def run_check(context, text, platform="", client=None):
    context.path = context.fleet.directory / "checked.json"
    context.path.write_text(text)
    options = argparse.Namespace(
        file=str(context.path), platform=platform, json=True, daemon="stand-in"
    )
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        check(options, client or SettingsInForce())
    context.output = output.getvalue()
    context.findings = json.loads(context.output)


@when(
    "a settings file with services a and b, {section} and nothing in force is checked"
)
def step_check_file(context, section):
    text = f"{SERVICES}\n{section}}}"
    if section == '"routes": []':
        text = '{"routes": [],\n' + SERVICES.removeprefix("{").removesuffix(",") + "}"
    run_check(context, text)


@when("a document whose second route has {fields} is checked")
def step_check_document(context, fields):
    routes = [json.dumps(ROUTE | {"path_prefix": f"/{name}/"}) for name in "abc"]
    # Of two equal keys the last one counts.
    routes[1] = f"{routes[1][:-1]}, {fields}}}"
    run_check(context, DOCUMENT % tuple(routes), "laburnumscale_platform")


@then("it finds the {severity} on line {line:d} at {place}: {reason}")
def step_check_finding(context, severity, line, place, reason):
    place = place.replace("FILE", str(context.path))
    found = [each for each in context.findings if each["place"] == place]
    found = [each for each in found if reason in each["reason"]]
    assert len(found) == 1, context.findings
    assert found[0]["severity"] == severity, found
    assert found[0]["location"] == f"{context.path}:{line}", found
    assert "k-1" not in context.output, "a finding shows a key"


@given("place service:a, accounts x and y with keys and route:old/ in force")
def step_set_in_force(context):
    route = settings_pb2.Route(host="old", path_prefix="/", service="a")
    account = settings_pb2.ClientAccount(name="x", key_digests=[digest_key("k-1")])
    removed = settings_pb2.ClientAccount(name="y", key_digests=[digest_key("k-2")])
    settings = settings_pb2.ServiceSettings(slots=5, time_limit_ms=900)
    context.client = SettingsInForce(
        [
            settings_pb2.PlaceState(place="service:a", settings=settings),
            settings_pb2.PlaceState(place="account:x", account=account),
            settings_pb2.PlaceState(place="account:y", account=removed),
            settings_pb2.PlaceState(place="route:old/", route=route),
        ]
    )


@when("a settings file that changes them is checked")
def step_check_changes(context):
    value = {
        "services": {"a": {"slots": 6}},
        "routes": [{"host": "h", "path_prefix": "/", "service": "a"}],
        "accounts": {"x": {"keys": ["k-2"]}, "y": None},
    }
    run_check(context, json.dumps(value), client=context.client)


@then("the differences are those of each field, and no key is shown")
def step_check_differences(context):
    old, new = digest_key("k-1").hex(), digest_key("k-2").hex()
    found = {(each["place"], each["reason"]) for each in context.findings}
    assert found == {
        ("service:a", "slots: 5 -> 6"),
        ("service:a", "time_limit_ms: 900 -> not set"),
        ("account:x", f"key_digests: ['{old}'] -> ['{new}']"),
        ("account:y", "removed"),
        ("route:h/", "added"),
    }, found
    assert "k-1" not in context.output and "k-2" not in context.output


@then("a service in force that the file does not have is not reported as missing")
def step_check_kept_service(context):
    text = '{"routes": [{"host": "h", "path_prefix": "/", "service": "a"}]}'
    run_check(context, text, client=context.client)
    assert [each["reason"] for each in context.findings] == ["added"]


@when("a file that sets slots of slot-desk to 7 is checked at d1")
def step_check_at_daemon(context):
    context.revision = context.fleet.daemons["d1"].status()["revision"]
    path = context.fleet.directory / "checked.json"
    path.write_text('{"services": {"slot-desk": {"slots": 7}}}')
    context.result = context.fleet.run_cli("d1", "--json", "check", str(path))


@then("it shows the differences, and the revision at d1 stays the same")
def step_check_nothing_sent(context):
    differences = [each["reason"] for each in json.loads(context.result.stdout)]
    assert "slots: not set -> 7" in differences, context.result
    assert "time_limit_ms: 700 -> not set" in differences, context.result
    assert context.fleet.daemons["d1"].status()["revision"] == context.revision


@when("laburnumscalectl checks a file with {content} for platform {platform}")
def step_run_check(context, content, platform):
    path = context.fleet.directory / "checked.json"
    path.write_text(content)
    command = [sys.executable, "-m", "laburnumscalectl", "check", str(path)]
    command += [] if platform == "none" else ["--platform", platform]
    context.result = subprocess.run(
        command, capture_output=True, text=True, timeout=60, check=False
    )


@then("it exits with {code:d}")
def step_check_exit_code(context, code):
    assert context.result.returncode == code, context.result
