"""Fleet steps.

Steps that start, call, disconnect and stop a fleet of daemons and targets.
"""

import json
import signal
from pathlib import Path

from behave import given, then, when

from laburnumscale.daemonsettings import read_daemon_settings
from tests.standins.fleet import wait_until

EXAMPLES = Path(__file__).parents[3] / "examples"


@given("a fleet of {count:d} daemons in {data_centres}")
def step_start_fleet(context, count, data_centres):
    names = data_centres.split(", ")
    context.fleet.start_log()
    for index in range(count):
        data_centre = names[index % len(names)]
        context.fleet.start_daemon(f"d{index + 1}", data_centre)


@given("targets {endpoints} of {service} beside {daemon}")
def step_start_targets(context, endpoints, service, daemon):
    for endpoint in endpoints.split(", "):
        context.fleet.start_target(service, endpoint, daemon)


@given("the fleet is ready with the settings of {deployment}")
def step_publish_settings(context, deployment):
    context.fleet.wait_ready()
    path = str(EXAMPLES / deployment / "services.jsonc")
    completed = context.fleet.run_cli("d1", "publish", path)
    assert completed.returncode == 0, completed
    wait_until(
        lambda: len(revisions(context)) == 1,
        "all daemons have the same settings revision",
    )


def revisions(context):
    return {d.status()["revision"] for d in context.fleet.daemons.values()}


@when("a caller sends one {method} {path} to {daemon}")
def step_send_call(context, method, path, daemon):
    body = b"{}" if method == "POST" else None
    context.reply = context.fleet.daemons[daemon].call(path, method, body)


@when("a caller sends {count:d} calls {method} {path} to each daemon")
def step_send_calls(context, count, method, path):
    body = b"{}" if method == "POST" else None
    context.replies = [
        daemon.call(path, method, body)
        for daemon in context.fleet.daemons.values()
        for _ in range(count)
    ]


@then("the status is {status:d}")
def step_check_status(context, status):
    assert context.reply.status == status, context.reply


@then("all statuses are {status:d}")
def step_check_all_statuses(context, status):
    assert {reply.status for reply in context.replies} == {status}, context.replies


@then('the problem is "{outcome}" because of "{reason}"')
def step_check_problem(context, outcome, reason):
    problem = context.reply.json()
    assert (problem["outcome"], problem["reason"]) == (outcome, reason), problem


@then("the response body has {size:d} bytes")
def step_check_body_size(context, size):
    assert len(context.reply.body) == size, len(context.reply.body)


@then("every target of {service} has run a call")
def step_check_all_targets_ran(context, service):
    for target in context.fleet.targets.values():
        assert target.service != service or target.ledger(), target.endpoint


@when("target {endpoint} is suspended with SIGSTOP")
def step_suspend_target(context, endpoint):
    context.fleet.targets[endpoint].process.send_signal(signal.SIGSTOP)


@when("target {endpoint} is drained at {daemon}")
def step_drain_target(context, endpoint, daemon):
    service = context.fleet.targets[endpoint].service
    completed = context.fleet.run_cli(daemon, "drain", service, endpoint)
    assert completed.returncode == 0, completed


@then("no daemon sends calls of {service} to {endpoint}")
def step_wait_not_routed(context, service, endpoint):
    def not_routed(daemon):
        state = daemon.endpoints(service).get(endpoint)
        return state in (None, "TARGET_STATE_DRAINING")

    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda d=daemon: not_routed(d),
            f"{endpoint} receives no calls from {daemon.name}",
        )


@when("daemon {daemon} gets SIGTERM")
def step_stop_daemon(context, daemon):
    process = context.fleet.daemons[daemon].process
    context.exit_code = context.fleet.stop(process)


@then("its exit code is {code:d}")
def step_check_exit_code(context, code):
    assert context.exit_code == code, context.exit_code


@given('a daemon settings file with "{name}" set to {value}')
def step_write_daemon_settings(context, name, value):
    path = context.fleet.directory / "daemon.jsonc"
    settings = {
        "daemon": "makati-1",
        "data_centre": "makati",
        "caller_address": "127.0.0.1:7001",
        "operator_address": "127.0.0.1:7002",
        "peer_address": "127.0.0.1:7003",
        "target_address": "127.0.0.1:7004",
        "log_url": "http://127.0.0.1:7000",
    }
    settings[name] = json.loads(value)
    path.write_text("// one daemon\n" + json.dumps(settings, indent=2))
    context.settings_path = path


@then('the daemon reads {value:d} as its "{name}"')
def step_check_setting_read(context, value, name):
    assert getattr(read_daemon_settings(str(context.settings_path)), name) == value


@when("the daemon is started with that file")
def step_start_with_settings_file(context):
    path = str(context.settings_path)
    process = context.fleet.start("checked", "-m", "laburnumscaled", path)
    context.exit_code = process.wait(30)
    context.output = (context.fleet.directory / "checked.log").read_text()


@then('it prints "{text}"')
def step_check_output(context, text):
    assert text in context.output, context.output


@given("links between daemons {names}")
def step_link_daemons(context, names):
    daemons = names.split(", ")
    for source in daemons:
        for destination in daemons:
            if source != destination:
                context.fleet.link_daemons(source, destination)


@when("the way from {source} to {destination} is cut")
def step_cut_link(context, source, destination):
    context.fleet.links[f"{source}>{destination}"].faults(forward={"cut": True})


@when("the open connections from {source} to {destination} stop carrying data")
def step_silence_connections(context, source, destination):
    link = context.fleet.links[f"{source}>{destination}"]
    link.faults(forward={"silence": True}, backward={"silence": True})


@when("the way back from {destination} to {source} is cut")
def step_cut_link_back(context, source, destination):
    context.fleet.links[f"{source}>{destination}"].faults(backward={"cut": True})


@when("the links between {source} and {destination} are restored")
def step_restore_links(context, source, destination):
    for name in (f"{source}>{destination}", f"{destination}>{source}"):
        context.fleet.links[name].faults(
            forward={"cut": False}, backward={"cut": False}
        )
