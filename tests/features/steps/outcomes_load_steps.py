import json
import os
import re
import signal
import threading
import time
from statistics import median

from behave import given, then, when

from laburnumscale.attempttable import AttemptTable
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale_schema import peer_pb2
from tests.standins.callers import Callers
from tests.standins.faults import RandomFaults
from tests.standins.fleet import TERM_TIMEOUT_S, request, wait_until
from tests.standins.history import CallRecord, check_history

STATE_TIMEOUT_S = 5.0
RANDOM_FAULTS_DURATION_S = float(os.environ.get("SOAK_S", "15"))
SEED = int(os.environ.get("SEED", "20261"))


def start_load(context, **plan):
    urls = tuple(daemon.callers for daemon in context.fleet.daemons.values())
    context.callers = Callers(urls=urls, seed=SEED, **plan)
    context.callers.start()
    return context.callers


def wait_for_answers(context, count):
    wanted = context.callers.outcomes()["answered"] + count
    wait_until(
        lambda: context.callers.outcomes()["answered"] >= wanted, f"{count} answers"
    )


@when("load callers send lookups and holds to all daemons")
def step_start_load(context):
    start_load(context)
    wait_for_answers(context, 100)


@when("each daemon is restarted in turn under load")
def step_restart_daemons(context):
    for name, daemon in list(context.fleet.daemons.items()):
        assert context.fleet.stop(daemon.process) == 0
        context.fleet.start_daemon(name, daemon.data_centre)
        context.fleet.wait_ready()
        wait_for_answers(context, 100)


@when("each target is drained and restarted in turn under load")
def step_restart_targets(context):
    for endpoint, target in list(context.fleet.targets.items()):
        target.faults(state="draining")
        wait_for_state(context, endpoint, "TARGET_STATE_DRAINING")
        runs = len(target.ledger())
        wait_for_answers(context, 100)
        assert len(target.ledger()) == runs, (endpoint, runs)
        context.fleet.stop(target.process)
        context.fleet.restart_target(endpoint)
        wait_for_state(context, endpoint, "TARGET_STATE_READY")


def wait_for_state(context, endpoint, state):
    def all_daemons_agree():
        return all(
            daemon.endpoints("slot-desk").get(endpoint) == state
            for daemon in context.fleet.daemons.values()
        )

    wait_until(all_daemons_agree, f"{endpoint}: {state}", STATE_TIMEOUT_S)


def start_hold(context, daemon):
    replies = []
    process = context.fleet.daemons[daemon]
    caller = threading.Thread(
        target=lambda: replies.append(process.call("/proof-vault/hold", "POST", b"{}"))
    )
    caller.start()
    return caller, replies


@when("d1 and d2 get SIGTERM while p1 runs a hold from each of them")
def step_terminate_both_daemons(context):
    holds = [start_hold(context, daemon) for daemon in ("d1", "d2")]
    target = context.fleet.targets["p1"]
    wait_until(lambda: len(target.ledger()) == 2, "the target runs both holds")
    processes = [daemon.process for daemon in context.fleet.daemons.values()]
    for process in processes:
        process.send_signal(signal.SIGTERM)
    for caller, _ in holds:
        caller.join()
    context.replies = [reply for _, replies in holds for reply in replies]
    context.exit_codes = [process.wait(TERM_TIMEOUT_S) for process in processes]


@then("both holds were answered and the daemons exited with code 0")
def step_holds_answered_before_exit(context):
    assert [reply.status for reply in context.replies] == [200, 200], context.replies
    assert context.exit_codes == [0, 0], context.exit_codes


@given("a fleet of {count:d} daemons that drain for at most {drain_ms:d} ms")
def step_start_fleet_with_drain_limit(context, count, drain_ms):
    context.fleet.start_log()
    for index in range(count):
        context.fleet.start_daemon(f"d{index + 1}", "makati", drain_ms=drain_ms)


@when("d1 gets SIGTERM while p1 runs a hold from d1 and one from d2")
def step_terminate_one_daemon(context):
    holds = [start_hold(context, daemon) for daemon in ("d1", "d2")]
    target = context.fleet.targets["p1"]
    wait_until(lambda: len(target.ledger()) == 2, "the target runs both holds")
    process = context.fleet.daemons["d1"].process
    started_at_s = time.monotonic()
    process.send_signal(signal.SIGTERM)
    context.exit_code = process.wait(TERM_TIMEOUT_S)
    context.exited_after_ms = (time.monotonic() - started_at_s) * 1000
    for caller, _ in holds:
        caller.join()


@then("d1 exited with code 0 within {limit_ms:d} ms")
def step_exited_in_time(context, limit_ms):
    assert context.exit_code == 0, context.exit_code
    assert context.exited_after_ms <= limit_ms, context.exited_after_ms


@when("d1 gets SIGTERM twice while p1 runs a hold from d1")
def step_terminate_twice(context):
    caller, _ = start_hold(context, "d1")
    target = context.fleet.targets["p1"]
    wait_until(lambda: len(target.ledger()) == 1, "the target runs the hold")
    daemon = context.fleet.daemons["d1"]
    daemon.process.send_signal(signal.SIGTERM)
    wait_until(lambda: not daemon.is_ready(), "d1 is no longer ready")
    context.exit_code = context.fleet.stop(daemon.process)
    caller.join()


@given("an empty attempt table")
def step_create_attempt_table(context):
    context.attempts = AttemptTable(guard_incarnation=1)


def attempt_head(sequence):
    return peer_pb2.CallHead(
        attempt=peer_pb2.AttemptId(
            entry="d9", entry_incarnation=1, guard_incarnation=1, sequence=sequence
        ),
        low_water_sequence=1,
    )


@when(
    "{count:d} attempts of entry d9 end with answers of {size:d} bytes "
    "and are never acknowledged"
)
def step_end_attempts(context, count, size):
    reply = peer_pb2.CallReply(
        head=peer_pb2.ReplyHead(status=200), body=bytes(size), end=True
    )
    for sequence in range(1, count + 1):
        attempt = context.attempts.admit(attempt_head(sequence))
        attempt.mark_sent(Deadline.after_ms(60_000))
        context.attempts.end(attempt, reply)


@then("the attempt table holds at most {count:d} attempts and {size:d} bytes")
def step_attempt_table_size(context, count, size):
    assert context.attempts.attempt_count() <= count, context.attempts.attempt_count()
    assert context.attempts.cached_reply_bytes <= size, (
        context.attempts.cached_reply_bytes
    )


@then("the attempt table refuses to admit the first attempt again")
def step_attempt_table_refuses(context):
    try:
        context.attempts.admit(attempt_head(1))
    except AttemptRefused:
        return
    raise AssertionError("the attempt table admitted the first attempt again")


@when("entry d9 is pruned from the attempt table")
def step_prune_entry(context):
    context.attempts.prune_departed_entries(set())


@when("the load callers stop")
def step_stop_load(context):
    context.callers.stop()


@then("every call under load was answered")
def step_all_calls_answered(context):
    outcomes = context.callers.outcomes()
    print(dict(outcomes))
    assert set(outcomes) == {"answered"}, context.callers.failure_counts


@when("load callers send {rate:d} lookups per second to {service} for {duration:d} s")
def step_send_at_rate(context, rate, service, duration):
    load = start_load(context, service=service, rate_per_s=rate, hold_percent=0)
    context.started_at_s = time.monotonic()
    wait_until(
        lambda: time.monotonic() >= context.started_at_s + duration, "end of the load"
    )
    load.stop()
    context.elapsed_s = time.monotonic() - context.started_at_s


@then("at least {percent:d} percent of {capacity:d} answers per second were received")
def step_answer_rate(context, percent, capacity):
    answered = context.callers.outcomes()["answered"]
    print(dict(context.callers.failure_counts), answered, context.elapsed_s)
    assert answered >= capacity * context.elapsed_s * percent / 100


@then("the median refusal took less than {limit:d} ms and all have Retry-After")
def step_refusal_latency(context, limit):
    outcomes = context.callers.outcomes()
    assert set(outcomes) <= {"answered", "not_run", "unknown"}, outcomes
    assert outcomes["unknown"] <= outcomes.total() / 100, context.callers.failure_counts
    assert context.callers.refusals_without_retry_after == 0
    median_latency_ms = median(context.callers.latencies_s["not_run"]) * 1000
    assert median_latency_ms < limit, median_latency_ms


@then("the retry budget of {percent:d} percent of the calls is kept")
def step_retry_budget(context, percent):
    retries = sum(metric_total(daemon, "retries") for daemon in daemons(context))
    initial_tokens = 10 * len(context.fleet.daemons)
    calls = len(context.callers.records)
    print(retries, calls)
    assert retries <= calls * percent / 100 + initial_tokens, (retries, calls)


def daemons(context):
    return context.fleet.daemons.values()


def metric_total(daemon, name):
    text = request("GET", f"http://{daemon.operator_address}/metrics").body.decode()
    found = re.findall(rf"^laburnumscale_{name}_total\{{.*\}} (\d+)$", text, re.M)
    return sum(map(int, found))


@given("targets with ledger files {endpoints} beside {daemons}")
def step_start_targets_with_ledgers(context, endpoints, daemons):
    pairs = zip(endpoints.split(", "), daemons.split(", "), strict=True)
    for endpoint, daemon in pairs:
        path = context.fleet.directory / f"{endpoint}.ledger"
        context.fleet.start_target(
            "slot-desk", endpoint, daemon, latency_ms=20, ledger_file=path
        )


@when("random faults are injected under load")
def step_inject_random_faults(context):
    print(f"seed {SEED}, {RANDOM_FAULTS_DURATION_S} s")
    load = start_load(context, caller_count=12, disconnect_percent=5)
    faults = RandomFaults(context.fleet, SEED)
    try:
        faults.run(RANDOM_FAULTS_DURATION_S)
        context.fleet.wait_ready()
        wait_for_answers(context, 100)
    finally:
        load.stop()
    print(faults.applied)
    print(dict(load.outcomes()))


@then("some calls under load were answered")
def step_some_calls_answered(context):
    assert context.callers.outcomes()["answered"] > 100


@then("the call history agrees with the ledgers of the targets")
def step_check_call_history(context):
    ledger = [
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in ledger_entries(context, target)
    ]
    violations = check_history(context.callers.records, ledger)
    assert not violations, violations


def ledger_entries(context, target):
    path = context.fleet.directory / f"{target.endpoint}.ledger"
    if not path.exists():
        return target.ledger()
    return [json.loads(line) for line in path.read_text().splitlines()]


@given("a call history without violations")
def step_create_valid_history(context):
    context.history = [
        CallRecord("hold", False, "answered", "hold"),
        CallRecord("refused", False, "not_run"),
        CallRecord("lost", False, "unknown"),
        CallRecord("lookup", True, "answered", "lookup"),
    ]
    context.ledger = ["hold", "lookup", "lookup"]
    assert not check_history(context.history, context.ledger)


@when("{fault} is added to the call history")
def step_add_violation(context, fault):
    if fault == "a hold that ran twice":
        context.ledger.append("hold")
    elif fault == "a refused hold that ran":
        context.ledger.append("refused")
    elif fault == "an answer without a run":
        context.ledger.remove("hold")
    elif fault == "an answer of another caller":
        context.history[0] = CallRecord("hold", False, "answered", "lookup")
    else:
        context.ledger.append("stranger")


@then('the history checker reports only a violation of "{guarantee}"')
def step_violation_reported(context, guarantee):
    violations = check_history(context.history, context.ledger)
    assert [violation.guarantee for violation in violations] == [guarantee], violations
