import signal
import subprocess
import sys
from pathlib import Path

from behave import given, then, when

from tests.standins.fleet import wait_until
from tools.run_features import runs_alone

ROOT = Path(__file__).parents[3]
SESSION_FIELD = 3  # index among the fields after the command name in /proc/PID/stat


def find_session_commands(session_id):
    """Return the command lines of the processes of a session."""
    commands = []
    for directory in Path("/proc").glob("[0-9]*"):
        try:
            fields = (directory / "stat").read_text().rpartition(")")[2].split()
            command = (directory / "cmdline").read_text()
        except OSError:
            continue  # the process has ended since the listing
        if int(fields[SESSION_FIELD]) == session_id and command:
            commands.append(command.replace("\0", " "))
    return commands


@when("the runner of {feature} gets SIGTERM once a daemon runs")
def step_terminate_runner(context, feature):
    command = [sys.executable, "tools/run_features.py", feature]
    command += ["--reports", str(context.fleet.directory)]
    context.runner = subprocess.Popen(
        command,
        cwd=ROOT,
        start_new_session=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    session_id = context.runner.pid
    wait_until(
        lambda: any(
            "laburnumscaled" in each for each in find_session_commands(session_id)
        ),
        "a daemon runs",
    )
    context.runner.send_signal(signal.SIGTERM)


@then("all processes of its session end within {limit_s:d} s")
def step_check_session_ended(context, limit_s):
    context.runner.wait(limit_s)
    wait_until(
        lambda: not find_session_commands(context.runner.pid), "all ended", limit_s
    )


@given('a feature file that begins with "{text}"')
def step_write_feature(context, text):
    context.feature_path = context.fleet.directory / "some.feature"
    context.feature_path.write_text(text)


@then("the runner runs it after the others")
def step_check_alone(context):
    assert runs_alone(context.feature_path)


@then("the runner runs it beside the others")
def step_check_together(context):
    assert not runs_alone(context.feature_path)
