import signal
import subprocess
import sys
import threading

from behave import given, then, when

from tests.standins.fleet import request, wait_until

TIMEOUT_S = 60


@given("a settings file of the shell")
def step_file(context):
    context.shell_path = context.fleet.directory / "shell.jsonc"
    context.shell_path.write_text(context.text)


def run(context, *arguments):
    command = [sys.executable, "-m", *arguments]
    done = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    context.shell_exit_code = done.returncode
    context.shell_output = done.stdout + done.stderr


@when('the shell runs "{command}"')
def step_run(context, command):
    path = str(getattr(context, "shell_path", ""))
    run(context, *command.replace("FILE", path).split())


@then("the exit code of the shell is {code:d}")
def step_code(context, code):
    found = (context.shell_exit_code, context.shell_output)
    assert context.shell_exit_code == code, found


@then('the shell has printed "{text}"')
def step_printed(context, text):
    assert text in context.shell_output, context.shell_output
    assert "Traceback" not in context.shell_output, context.shell_output


@when("a second daemon is started with the {role} address of {daemon}")
def step_in_use(context, role, daemon):
    taken = context.fleet.daemons[daemon].ports[role]
    address = {f"{role}_address": f"127.0.0.1:{taken}"}
    second = context.fleet.start_daemon("second", "makati", **address)
    context.shell_exit_code = second.process.wait(TIMEOUT_S)
    context.shell_output = (context.fleet.directory / "second.log").read_text()


@given("each call of {endpoint} takes {latency_ms:d} ms")
def step_slow(context, endpoint, latency_ms):
    context.fleet.targets[endpoint].faults(latency_ms=latency_ms)


def in_flight(context, daemon):
    """Start a call, wait until a target runs it, and return its thread."""
    replies = []
    ran = [len(target.ledger()) for target in context.fleet.targets.values()]
    url = f"{context.fleet.daemons[daemon].callers}/proof-vault/hold"
    thread = threading.Thread(
        target=lambda: replies.append(request("POST", url, b"{}")), daemon=True
    )
    thread.start()
    wait_until(
        lambda: ran != [len(t.ledger()) for t in context.fleet.targets.values()],
        "the call runs",
    )
    return thread, replies


@when("{daemon} gets SIGTERM while it runs a call")
def step_term_once(context, daemon):
    thread, context.shell_replies = in_flight(context, daemon)
    process = context.fleet.daemons[daemon].process
    context.shell_exit_code = context.fleet.stop(process)
    context.shell_output = ""
    thread.join(TIMEOUT_S)


@then("the call in flight is answered with status {status:d}")
def step_in_flight(context, status):
    assert [r.status for r in context.shell_replies] == [status], context.shell_replies


@when("{daemon} gets SIGTERM twice while it runs a call")
def step_term_twice(context, daemon):
    in_flight(context, daemon)
    daemon = context.fleet.daemons[daemon]
    daemon.process.send_signal(signal.SIGTERM)
    log = context.fleet.directory / f"{daemon.name}.log"
    wait_until(lambda: "daemon draining" in log.read_text(), "the daemon drains")
    context.shell_exit_code = context.fleet.stop(daemon.process)
