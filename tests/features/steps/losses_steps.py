from behave import then, when

from bench.losscauses import find_causes, format_causes
from bench.losses import find_losses, format_table
from laburnumscalectl.logfiles import parse_log_lines


@when("the losses are computed from the logs of {daemon}")
def step_compute_losses(context, daemon):
    text = (context.fleet.directory / f"{daemon}.log").read_text()
    context.losses = find_losses(parse_log_lines(text.splitlines()))


@then("the loss table contains")
def step_check_table(context):
    table_lines = [
        line
        for service, losses in context.losses.items()
        for line in format_table(service, losses)
    ]
    for line in context.text.splitlines():
        assert line in table_lines, (line, table_lines)


@then(
    "the targets of {service} were ejected for {ejected_s:g} s and on trial for "
    "{trial_s:g} s"
)
def step_check_phases(context, service, ejected_s, trial_s):
    out_of_service_s = context.losses[service].out_of_service_s
    for phase, expected_s in (("ejected", ejected_s), ("on trial", trial_s)):
        seconds = sum(
            value for (_, name), value in out_of_service_s.items() if name == phase
        )
        assert abs(seconds - expected_s) < 0.001, (phase, seconds)


@when("the causes are computed from the logs of {daemon}")
def step_compute_causes(context, daemon):
    text = (context.fleet.directory / f"{daemon}.log").read_text()
    context.causes = find_causes(parse_log_lines(text.splitlines()))
    assert len(list(format_causes(context.causes))) == 2 + len(context.causes)


@then("the causes of {route} are")
def step_check_causes(context, route):
    expected = {row["cause"]: int(row["count"]) for row in context.table}
    assert context.causes[route].lost == expected, context.causes[route].lost


@then("{outer} had {calls:d} calls and {inner} is inner")
def step_check_calls(context, outer, calls, inner):
    assert context.causes[outer].calls == calls, context.causes[outer]
    assert context.causes[inner].is_inner and not context.causes[outer].is_inner
