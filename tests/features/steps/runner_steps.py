import signal
import subprocess
import sys
from pathlib import Path

from behave import then, when

from tests.standins.fleet import wait_until

ROOT = Path(__file__).parents[3]
SESSION_FIELD = 3  # of the fields after the command's name in /proc/PID/stat


def session_commands(session):
    """Return the command lines of the processes of a session."""
    commands = []
    for directory in Path("/proc").glob("[0-9]*"):
        try:
            fields = (directory / "stat").read_text().rpartition(")")[2].split()
            command = (directory / "cmdline").read_text()
        except OSError:
            continue  # it has just ended
        if int(fields[SESSION_FIELD]) == session and command:
            commands.append(command.replace("\0", " "))
    return commands


@when("the runner runs {feature} until a daemon runs and gets SIGTERM")
def step_run(context, feature):
    command = [sys.executable, "tools/run_features.py", feature]
    command += ["--reports", str(context.fleet.directory)]
    context.runner = subprocess.Popen(
        command,
        cwd=ROOT,
        start_new_session=True,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    session = context.runner.pid
    wait_until(
        lambda: any("laburnumscaled" in each for each in session_commands(session)),
        "a daemon runs",
    )
    context.runner.send_signal(signal.SIGTERM)


@then("no process of its session is left within {limit:d} s")
def step_none_left(context, limit):
    context.runner.wait(limit)
    wait_until(lambda: not session_commands(context.runner.pid), "all ended", limit)
