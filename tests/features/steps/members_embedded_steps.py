import signal
from pathlib import Path

from behave import given, then, when

from tests.standins.fleet import wait_until

EXAMPLE = Path(__file__).parents[3] / "examples" / "embed_members.py"


def printed_lines(context, name):
    return (context.fleet.directory / f"{name}.log").read_text().splitlines()


@given("{count:d} embedded members, the first one as seed")
def step_start_embedded(context, count):
    ports = [context.fleet.free_port() for _ in range(count)]
    seed = f"127.0.0.1:{ports[0]}"
    context.embedded = {}
    for index, port in enumerate(ports, start=1):
        arguments = [str(EXAMPLE), f"m{index}", f"127.0.0.1:{port}", "--seed", seed]
        context.embedded[f"m{index}"] = context.fleet.start(f"m{index}", *arguments)


@then("each embedded member prints that all others are alive")
def step_check_all_alive(context):
    for name in context.embedded:
        expected = {f"{other} alive" for other in context.embedded if other != name}
        wait_until(lambda n=name, e=expected: e <= set(printed_lines(context, n)), name)


@when("embedded member {name} is killed")
def step_kill_embedded(context, name):
    context.embedded[name].kill()


@when("embedded member {name} gets SIGTERM")
def step_terminate_embedded(context, name):
    assert context.fleet.stop(context.embedded[name], signal.SIGTERM) == 0


@then('embedded members {names} print "{line}"')
def step_check_printed(context, names, line):
    for name in names.split(", "):
        wait_until(lambda n=name: line in printed_lines(context, n), f"{name}: {line}")
