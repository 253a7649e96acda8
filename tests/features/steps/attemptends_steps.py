from behave import then, when

from bench.attemptends import find_attempt_ends, format_list, format_tables
from laburnumscalectl.logfiles import parse_log_lines


@when("the attempt ends are computed from the logs of {daemon}")
def step_compute_ends(context, daemon):
    text = (context.fleet.directory / f"{daemon}.log").read_text()
    context.attempt_ends = find_attempt_ends(parse_log_lines(text.splitlines()))


@then("the attempt end tables contain")
def step_check_tables(context):
    _check_lines(context, list(format_tables(context.attempt_ends)))


@then("the list of attempt ends contains")
def step_check_list(context):
    _check_lines(context, list(format_list(context.attempt_ends)))


def _check_lines(context, lines):
    for line in context.text.splitlines():
        assert line in lines, (line, lines)
