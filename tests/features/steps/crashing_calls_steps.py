import signal
import statistics
import time

from behave import given, then, when

from tests.features.steps.platform_steps import (
    CLIENT_TIMEOUT_MS,
    HOST,
    find_header,
    start_platform_daemon,
)
from tests.standins.crashing import read_arrivals
from tests.standins.fleet import request, wait_until
from tests.standins.repeating import Repeated, Repeater
from tests.standins.respawning import Respawner

SEED = 3601
STATUS_OK = 200
STATUS_REFUSED = 503
CRASHES = 3
#: Calls sent later than this after the third crash count.
NOTICE_S = 3.0
CALL_PAUSE_S = 0.25
HARMLESS_PAUSE_S = 0.05
HARMLESS_PATHS = 10
LATENCY_MS = 20
SLOW_LATENCY_MS = 400
RESPAWN_S = 2.0
KILL_PAUSE_S = 1.0
CRASH_TIMEOUT_S = 15.0
CRASHING_PATH = "/crash/1"
SLOW_PATH = "/slow"


def platform_headers(call_id):
    return {
        "Host": HOST,
        "X-Attempt-Id": call_id,
        "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS),
    }


def caller_headers(caller):
    return lambda call_id: {"X-Request-Id": call_id, "Authorization": caller}


def arrivals(context, event="arrival"):
    return read_arrivals(context.arrivals_path, event)


def start_crashing_targets(context, count, service, kind, **options):
    """Start targets beside each daemon, and start them again when they end."""
    context.arrivals_path = context.fleet.directory / "arrivals.jsonl"
    context.headers = caller_headers("first")
    context.prefix = f"/{service}"
    for daemon in context.fleet.daemons:
        for number in range(count):
            context.fleet.start_target(
                service,
                f"{daemon}-e{number + 1}",
                daemon,
                kind=kind,
                arrivals_file=context.arrivals_path,
                **{"latency_ms": LATENCY_MS, **options},
            )
    Respawner(context.fleet, list(context.fleet.targets), RESPAWN_S)


@given(
    '{count:d} targets of {service} beside each daemon that crash on "{text}" and '
    "restart after 2 s"
)
def step_start_crashing_targets(context, count, service, text):
    start_crashing_targets(context, count, service, "target", crash_on=text)


@given(
    '{count:d} targets of {service} beside each daemon that crash on "{text}" of '
    'caller "{caller}"'
)
def step_start_targets_crashed_by_caller(context, count, service, text, caller):
    options = {"crash_on": text, "crash_on_header": f"Authorization={caller}"}
    start_crashing_targets(context, count, service, "target", **options)


@given("{count:d} slow targets of {service} beside each daemon that restart after 2 s")
def step_start_slow_targets(context, count, service):
    options = {"latency_ms": SLOW_LATENCY_MS}
    start_crashing_targets(context, count, service, "target", **options)


@given(
    '{count:d} endpoints of {service} beside each daemon that crash on "{text}" and '
    "restart after 2 s"
)
def step_start_crashing_endpoints(context, count, service, text):
    start_crashing_targets(context, count, service, "endpoint", crash_on=text)
    context.headers = platform_headers
    context.prefix = "/lookup"


@given("a platform fleet of {count:d} daemons with caller service {service}")
def step_start_fleet_of_one_caller(context, count, service):
    context.fleet.start_store()
    for index in range(count):
        name = f"d{index + 1}"
        start_platform_daemon(context, name, "makati", caller_service=service)


def start_repeating(context, repeated, pause_s, daemon=None):
    """Send calls to all daemons in turn, or to one of them, until the scenario ends."""
    daemons = context.fleet.daemons

    def callable_daemons():
        return [daemons[daemon]] if daemon else list(daemons.values())

    repeater = Repeater(callable_daemons, repeated, pause_s, SEED)
    context.fleet.cleanups.callback(repeater.stop)
    return repeater


@given("harmless lookups of slot-desk are sent all the time")
@given("harmless lookups of the platform are sent all the time")
def step_send_harmless_lookups(context):
    paths = [f"{context.prefix}/harmless/{n}" for n in range(HARMLESS_PATHS)]
    repeated = Repeated("GET", paths, context.headers)
    context.harmless = start_repeating(context, repeated, HARMLESS_PAUSE_S)


@given("one slow lookup of slot-desk is sent all the time")
def step_send_slow_lookup(context):
    repeated = Repeated("GET", [context.prefix + SLOW_PATH], context.headers)
    context.slow = start_repeating(context, repeated, CALL_PAUSE_S)


def crashing_call(context, method):
    body = b"{}" if method == "POST" else None
    paths = [context.prefix + CRASHING_PATH]
    return Repeated(method, paths, context.headers, body)


@when(
    "a caller repeats the crashing {method} until {rest_s:d} s after it has crashed 3 "
    "targets"
)
def step_repeat_crashing_call(context, method, rest_s):
    context.storm = start_repeating(
        context, crashing_call(context, method), CALL_PAUSE_S
    )
    wait_until(
        lambda: len(arrivals(context, "end")) >= CRASHES,
        "the call has crashed three targets",
        CRASH_TIMEOUT_S,
    )
    context.counted_from_s = arrivals(context, "end")[CRASHES - 1]["at_s"] + NOTICE_S
    time.sleep(max(0.0, context.counted_from_s - NOTICE_S + rest_s - time.time()))


@when(
    'caller "{caller}" repeats the crashing {method} until {rest_s:d} s after it has '
    "crashed 3 targets"
)
def step_repeat_crashing_call_of_caller(context, caller, method, rest_s):
    context.headers = caller_headers(caller)
    step_repeat_crashing_call(context, method, rest_s)


@when("a caller repeats the crashing {method} at {daemon} for {duration_s:d} s")
def step_repeat_crashing_call_at(context, method, daemon, duration_s):
    repeated = crashing_call(context, method)
    context.storm = start_repeating(context, repeated, CALL_PAUSE_S, daemon)
    time.sleep(duration_s)


@when("the caller stops and all targets are back")
def step_end_storm(context):
    context.storm.stop()
    wait_for_targets(context)


@when("all targets are back")
def step_wait_for_targets(context):
    wait_for_targets(context)


def wait_for_targets(context):
    """Wait until all targets answer and all daemons know that they are ready."""

    def answer():
        ports = [target.port for target in context.fleet.targets.values()]
        urls = [f"http://127.0.0.1:{port}/healthz" for port in ports]
        return all(request("GET", url).status == STATUS_OK for url in urls)

    def are_known():
        states = [
            daemon.endpoints("slot-desk").get(endpoint)
            for daemon in context.fleet.daemons.values()
            for endpoint in context.fleet.targets
        ]
        return set(states) == {"TARGET_STATE_READY"}

    wait_until(answer, "all targets answer")
    wait_until(are_known, "all daemons know that all targets are ready")


@when("daemon {daemon} is killed, starts again and is ready")
def step_restart_daemon(context, daemon):
    process = context.fleet.daemons[daemon]
    context.fleet.stop(process.process, signal.SIGKILL)
    started = context.fleet.start_daemon(daemon, process.data_centre)
    wait_until(started.is_ready, f"{daemon} is ready")
    context.counted_from_s = time.time() + NOTICE_S


def later_calls(context):
    """Return the later calls that reached targets, and those that did not."""
    context.storm.stop()
    reached_ids = {
        call_id for entry in arrivals(context) for call_id in entry["ids"].values()
    }
    calls = [
        call for call in context.storm.calls if call.sent_at_s > context.counted_from_s
    ]
    assert calls
    reached = [call for call in calls if call.call_id in reached_ids]
    return reached, [call for call in calls if call.call_id not in reached_ids]


@then(
    "calls sent later than 3 s after the third crash reached targets at most {count:d} "
    "times"
)
@then(
    "calls sent later than 3 s after d1 was ready reached targets at most {count:d} "
    "times"
)
def step_check_reached(context, count):
    reached, refused = later_calls(context)
    crashes = len(arrivals(context, "end"))
    assert len(reached) <= count, (
        f"{len(reached)} of {len(reached) + len(refused)} later calls reached targets; "
        f"{crashes} crashes in all"
    )


@then("at most {count:d} targets have crashed")
def step_check_crashes(context, count):
    crashes = len(arrivals(context, "end"))
    assert crashes <= count, crashes


@then(
    "all later calls that reached no target were refused with 503 and a time to retry"
)
def step_check_refused(context):
    _, refused = later_calls(context)
    assert refused
    for call in refused:
        assert call.response.status == STATUS_REFUSED, call
        assert float(find_header(call.response, "Retry-After") or 0) > 0, call


@then("half of these refusals came within {limit_ms:d} ms")
def step_check_refusal_time(context, limit_ms):
    _, refused = later_calls(context)
    median_ms = statistics.median(call.elapsed_ms for call in refused)
    assert median_ms <= limit_ms, median_ms


def answer_reason(response):
    return response.json().get("reason") if response.status == STATUS_REFUSED else None


@then("each daemon answers each harmless lookup")
def step_check_harmless_answered(context):
    context.harmless.stop()
    paths = {call.path for call in context.harmless.calls}
    assert len(paths) == HARMLESS_PATHS, paths
    for daemon in context.fleet.daemons.values():
        for path in sorted(paths):
            call = context.harmless.send(daemon, path)
            assert call.response.status == STATUS_OK, call


@then("no harmless lookup was refused as quarantined")
def step_check_none_quarantined(context):
    reasons = [answer_reason(call.response) for call in context.harmless.calls]
    assert "quarantined" not in reasons, reasons.count("quarantined")


@then(
    'caller "{caller}" gets an answer to the same {method} {count:d} times from each '
    "daemon"
)
def step_check_other_caller(context, caller, method, count):
    headers = caller_headers(caller)("other-caller")
    for daemon in context.fleet.daemons.values():
        for _ in range(count):
            path = context.prefix + CRASHING_PATH
            response = daemon.call(path, method, None, headers)
            assert response.status == STATUS_OK, (daemon.name, response)


@when("{count:d} targets in turn are killed with SIGKILL while they run it")
def step_kill_targets(context, count):
    killed = []
    for _ in range(count):
        wait_until(
            lambda: kill_running_target(context, killed),
            "another target runs the slow lookup",
        )
        time.sleep(KILL_PAUSE_S)


def kill_running_target(context, killed):
    """Kill a target that began to run the slow lookup a short time ago."""
    running_since_s = time.time() - SLOW_LATENCY_MS / 1000 / 2
    for entry in arrivals(context):
        endpoint = entry["endpoint"]
        if entry["at_s"] > running_since_s and endpoint not in killed:
            context.fleet.targets[endpoint].process.send_signal(signal.SIGKILL)
            killed.append(endpoint)
            return True
    return False


@then("the slow lookup is answered each time during {duration_s:d} s")
def step_check_slow_answered(context, duration_s):
    from_s = time.time()
    time.sleep(duration_s)
    context.slow.stop()
    calls = [call for call in context.slow.calls if call.sent_at_s > from_s]
    assert calls
    failed = [call for call in calls if call.response.status != STATUS_OK]
    assert not failed, (len(calls), failed)
