import json
import os
import random
import re
import signal
import time
from collections import Counter
from contextlib import contextmanager
from pathlib import Path

from behave import given, then, when

from tests.standins.fleet import TERM_TIMEOUT_S, wait_until
from tests.standins.persistentcallers import PersistentCallers

SEED = int(os.environ.get("SEED", "20361"))
DURATION_S = float(os.environ.get("SOAK_S", "20"))
SERVICES = ("slot-desk", "proof-vault")
CALLERS_PER_DAEMON = 8
KEYED_CALLERS = 6
MAX_PAUSE_S = 0.1
MAX_DRAINING = 2
MAX_SUSPENDED_S = 0.3
MAX_STARTUP_S = 0.5
MAX_STEP_S = 0.8
TICK_S = 0.02
#: A daemon that ends before it handles signals.
EXIT_CODES = (0, -signal.SIGTERM)


class Disruptions:
    """Seeded signals and changes of settings."""

    def __init__(self, fleet, seed):
        self.counts = Counter()
        self._fleet = fleet
        self._random = random.Random(seed)
        self._stopping = {}
        self._is_published = True
        self._time_limits_ms = iter(range(1000, 10**9, 7))

    def run(self, duration_s):
        end_s = time.monotonic() + duration_s
        actions = (
            self._stop_one,
            self._stop_one,
            self._reload_all,
            self._suspend_one,
            self._change_time_limit,
            self._toggle_service,
        )
        while time.monotonic() < end_s:
            action = self._random.choice(actions)
            self.counts[action.__name__] += 1
            action()
            self._wait(self._random.uniform(0, MAX_STEP_S))
        while self._stopping:
            self._wait(TICK_S)
        if not self._is_published:
            self._toggle_service()
        self._fleet.wait_ready()

    def _wait(self, pause_s):
        """Start the daemons that have ended meanwhile."""
        end_s = time.monotonic() + pause_s
        while True:
            for name, process in list(self._stopping.items()):
                if process.poll() is not None:
                    assert process.returncode in EXIT_CODES, (name, process.returncode)
                    del self._stopping[name]
                    self._start(name)
            if time.monotonic() >= end_s:
                return
            time.sleep(TICK_S)

    def _start(self, name):
        daemon = self._fleet.start_daemon(name, "makati", drain_ms=4000)
        if self._random.random() < 0.2 and len(self._stopping) < MAX_DRAINING:
            self.counts["stopped while starting"] += 1
            time.sleep(self._random.uniform(0, 1))
            self._signal_stop(name, daemon.process)

    def _running(self):
        return [each for each in self._fleet.daemons if each not in self._stopping]

    def _stop_one(self):
        if len(self._stopping) >= MAX_DRAINING:
            return
        ready = [
            name for name in self._running() if self._fleet.daemons[name].is_ready()
        ]
        if len(ready) < 2:
            return
        name = self._random.choice(ready)
        self._signal_stop(name, self._fleet.daemons[name].process)

    def _signal_stop(self, name, process):
        self._stopping[name] = process
        process.send_signal(signal.SIGTERM)
        if self._random.random() < 0.5:
            time.sleep(self._random.uniform(0, 0.2))
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)

    def _reload_all(self):
        for name in self._running():
            if self._fleet.daemons[name].is_ready():
                self._fleet.daemons[name].process.send_signal(signal.SIGHUP)

    def _suspend_one(self):
        process = self._fleet.daemons[self._random.choice(self._running())].process
        process.send_signal(signal.SIGSTOP)
        time.sleep(self._random.uniform(0, MAX_SUSPENDED_S))
        process.send_signal(signal.SIGCONT)

    def _change_time_limit(self):
        path = self._fleet.directory / "limits.jsonc"
        settings = {
            "time_limit_ms": next(self._time_limits_ms),
            "idempotent": {"methods": ["GET"]},
        }
        path.write_text(json.dumps({"services": {"slot-desk": settings}}))
        self._run_cli("publish", str(path))

    def _toggle_service(self):
        """Remove a service from the settings, or publish it again."""
        if self._is_published:
            self._run_cli("remove", "service:proof-vault")
        else:
            path = self._fleet.directory / "service.jsonc"
            settings = {"time_limit_ms": 5000, "idempotent": {"methods": ["GET"]}}
            path.write_text(json.dumps({"services": {"proof-vault": settings}}))
            self._run_cli("publish", str(path))
        self._is_published = not self._is_published

    def _run_cli(self, *arguments):
        """Run a change; the daemon may refuse it while it starts."""
        if running := self._running():
            completed = self._fleet.run_cli(self._random.choice(running), *arguments)
            self.counts[f"{arguments[0]} {completed.returncode}"] += 1


@given(
    "each daemon has a target of slot-desk that takes {first_ms:d} ms and one of "
    "proof-vault that takes {second_ms:d} ms"
)
def step_start_targets(context, first_ms, second_ms):
    for name in context.fleet.daemons:
        for service, latency_ms in zip(SERVICES, (first_ms, second_ms), strict=True):
            context.fleet.start_target(
                service, f"{service}-{name}", name, latency_ms=latency_ms, slots=12
            )


@when(
    "daemons are stopped, started and suspended and settings change while persistent "
    "callers send holds"
)
def step_disrupt(context):
    with sending_callers(context, context.fleet.daemons):
        disruptions = Disruptions(context.fleet, SEED)
        disruptions.run(DURATION_S)
    print(f"{dict(disruptions.counts)}")


@contextmanager
def sending_callers(context, daemons):
    """Send requests of persistent callers while the context lasts, then note runs."""
    ports = {name: context.fleet.daemons[name].ports["caller"] for name in daemons}
    callers = PersistentCallers(
        ports, SERVICES, CALLERS_PER_DAEMON, KEYED_CALLERS, MAX_PAUSE_S, SEED
    )
    callers.start()
    yield
    callers.stop()
    context.requests = callers.requests
    context.runs = Counter(
        entry["content_id"]
        for target in context.fleet.targets.values()
        for entry in target.ledger()
    )
    seen = Counter((each.status, each.outcome) for each in context.requests)
    print(f"seed {SEED}: answers {dict(seen)}")


@when(
    "d1 gets SIGTERM and then SIGHUP during {count:d} starts while persistent callers "
    "send holds"
)
def step_stop_starts(context, count):
    choices = random.Random(SEED)
    context.ends = []
    with sending_callers(context, context.fleet.daemons):
        context.fleet.stop(context.fleet.daemons["d1"].process)
        for _ in range(count):
            process = context.fleet.start_daemon("d1", "makati", drain_ms=3000).process
            wait_until(
                lambda p=process: started_handling_signals(p), "d1 handles signals"
            )
            time.sleep(choices.uniform(0, MAX_STARTUP_S))
            terminated_at_s = time.monotonic()
            process.send_signal(signal.SIGTERM)
            time.sleep(choices.uniform(0, MAX_STARTUP_S))
            if process.poll() is None:
                process.send_signal(signal.SIGHUP)
            exit_code = process.wait(TERM_TIMEOUT_S)
            context.ends.append((exit_code, time.monotonic() - terminated_at_s))
        context.fleet.start_daemon("d1", "makati", drain_ms=3000)
        context.fleet.wait_ready()
    print(f"exit codes and seconds: {context.ends}")


@when(
    "d3 is killed, terminated and started {count:d} times while persistent callers "
    "send holds to d1 and d2"
)
def step_end_guard(context, count):
    choices = random.Random(SEED)
    with sending_callers(context, ("d1", "d2")):
        for number in range(count):
            time.sleep(choices.uniform(0, MAX_STEP_S))
            process = context.fleet.daemons["d3"].process
            process.send_signal((signal.SIGKILL, signal.SIGTERM)[number % 2])
            process.wait(TERM_TIMEOUT_S)
            context.fleet.start_daemon("d3", "makati", drain_ms=3000)
            context.fleet.wait_ready()


@then("each request got an answer or a refusal")
def step_check_all_answered(context):
    assert context.requests
    missing = [each for each in context.requests if not each.status]
    assert not missing, (len(missing), missing[:5])


def started_handling_signals(process):
    """Return whether a process has a handler for SIGHUP, which is set last."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    [caught] = re.findall(r"SigCgt:\s*(\w+)", status)
    return bool(int(caught, 16) >> (signal.SIGHUP - 1) & 1)


@when(
    "d1 is stopped, and gets SIGHUP {count:d} times while it imports its modules again"
)
def step_reload_early(context, count):
    context.fleet.stop(context.fleet.daemons["d1"].process)
    process = context.fleet.start_daemon("d1", "makati").process
    wait_until(
        lambda: "/uvloop/" in Path(f"/proc/{process.pid}/maps").read_text(),
        "d1 has imported a library",
    )
    assert not started_handling_signals(process), "the signal comes too late"
    for _ in range(count):
        process.send_signal(signal.SIGHUP)
        time.sleep(0.01)
    assert process.poll() is None, process.returncode


@then("the fleet becomes ready again")
def step_check_ready_again(context):
    context.fleet.wait_ready()


@then("d1 ended within {limit_ms:d} ms of each SIGTERM")
def step_check_ends(context, limit_ms):
    for exit_code, elapsed_s in context.ends:
        assert exit_code == 0, context.ends
        assert elapsed_s * 1000 <= limit_ms, context.ends


@then("no request that a target ran was left without an answer")
def step_check_lost(context):
    lost = [
        each
        for each in context.requests
        if not each.status and not each.key and context.runs[each.content_id]
    ]
    assert not lost, (len(lost), lost[:5])


@then("each request without an answer ended within {limit_ms:d} ms")
def step_check_late(context, limit_ms):
    late = [
        each
        for each in context.requests
        if not each.status and each.elapsed_s * 1000 > limit_ms
    ]
    assert not late, (len(late), late[:5])


@then("all refused requests were not run")
def step_check_refused(context):
    false = [
        each
        for each in context.requests
        if each.outcome == "not_run" and not each.key and context.runs[each.content_id]
    ]
    assert not false, (len(false), false[:5])


@then("each keyed request ran once at most")
def step_check_once(context):
    twice = {each for each, count in context.runs.items() if each and count > 1}
    assert not twice, twice


@then("each answered keyed request gets the same answer again")
def step_check_repeats(context):
    first_bodies = {}
    changed = []
    for each in context.requests:
        if not each.key or not each.status or each.outcome == "not_run":
            continue
        if each.key in first_bodies and first_bodies[each.key] != each.body:
            changed.append(each)
        elif each.is_answered:
            first_bodies[each.key] = each.body
    assert first_bodies
    assert not changed, (len(changed), changed[:5])
