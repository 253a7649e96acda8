import json
import subprocess
import sys

from behave import given, then, when


@given("logs of {daemon}")
def step_log(context, daemon):
    path = context.fleet.directory / f"{daemon}.log"
    path.write_text(context.text)


def _trace(context, request_id, daemons, *options):
    paths = [
        context.fleet.directory / f"{daemon}.log" for daemon in daemons.split(", ")
    ]
    command = [sys.executable, "-m", "laburnumscalectl", *options, "trace", request_id]
    context.traced = subprocess.run(
        [*command, *map(str, paths)], capture_output=True, text=True, check=False
    )


@when("request {request_id} is traced in the logs of {daemons} for scripts")
def step_trace_json(context, request_id, daemons):
    _trace(context, request_id, daemons, "--json")


@when("request {request_id} is traced in the logs of {daemons}")
def step_trace(context, request_id, daemons):
    _trace(context, request_id, daemons)


@then("the trace says in this order")
def step_says(context):
    assert context.traced.returncode == 0, context.traced
    rest = context.traced.stdout
    for text in context.text.splitlines():
        _, found, rest = rest.partition(text)
        assert found, (text, context.traced.stdout)


@then('the trace fails with {status:d} and says "{text}"')
def step_fails(context, status, text):
    assert context.traced.returncode == status, context.traced
    assert text in context.traced.stderr, context.traced


@then("the trace is JSON whose lines are those of request {request_id}")
def step_json(context, request_id):
    value = json.loads(context.traced.stdout)
    assert value["request_id"] == request_id, value
    named = {line["fields"]["request_id"] for line in value["lines"]}
    assert named == {request_id}, value
