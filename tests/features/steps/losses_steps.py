from behave import then, when

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
