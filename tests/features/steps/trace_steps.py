import json
import subprocess
import sys

from behave import given, then, when


@given("logs of {daemon}")
def step_write_log(context, daemon):
    path = context.fleet.directory / f"{daemon}.log"
    path.write_text(context.text)


def _run_trace(context, request_id, daemons, *options):
    paths = [
        context.fleet.directory / f"{daemon}.log" for daemon in daemons.split(", ")
    ]
    command = [sys.executable, "-m", "laburnumscalectl", *options, "trace", request_id]
    context.completed = subprocess.run(
        [*command, *map(str, paths)], capture_output=True, text=True, check=False
    )


@when("request {request_id} is traced in the logs of {daemons} as JSON")
def step_trace_json(context, request_id, daemons):
    _run_trace(context, request_id, daemons, "--json")


@when("request {request_id} is traced in the logs of {daemons}")
def step_trace(context, request_id, daemons):
    _run_trace(context, request_id, daemons)


@then("the trace contains in this order")
def step_check_text(context):
    assert context.completed.returncode == 0, context.completed
    remaining = context.completed.stdout
    for text in context.text.splitlines():
        _, found, remaining = remaining.partition(text)
        assert found, (text, context.completed.stdout)


@then('the trace fails with status {status:d} and the error contains "{text}"')
def step_check_failure(context, status, text):
    assert context.completed.returncode == status, context.completed
    assert text in context.completed.stderr, context.completed


@then("the trace is JSON whose lines are those of request {request_id}")
def step_check_json(context, request_id):
    trace = json.loads(context.completed.stdout)
    assert trace["request_id"] == request_id, trace
    request_ids = {line["fields"]["request_id"] for line in trace["lines"]}
    assert request_ids == {request_id}, trace
