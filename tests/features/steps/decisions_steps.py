import asyncio
import os
import time
from collections import Counter
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from types import SimpleNamespace

import attrs
import grpc
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.attemptclient import race_failover
from laburnumscale.attempttable import Attempt
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.candidates import eligible
from laburnumscale.connectioncuts import ConnectionCuts
from laburnumscale.deadlines import Deadline
from laburnumscale.ejection import select_endpoints
from laburnumscale.endpointindex import EndpointView
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.headernames import HeaderNames
from laburnumscale.health import TargetHealth
from laburnumscale.loadtable import EndpointLoad
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logoutput import LogOutput
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun
from laburnumscale.pathhealth import PathHealth
from laburnumscale.peerdiscovery import PeerDiscovery
from laburnumscale.platformlog import Batch, LogClient, Record
from laburnumscale.policies import get_policy_by_name
from laburnumscale.presence import PresenceStream
from laburnumscale.recovery import EjectionBackoff
from laburnumscale.retrybudget import MIN_GROUP_SIZE, RetryBudget
from laburnumscale.routelookup import choose_backend
from laburnumscale.routing import Router
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slotqueue import SlotQueue
from laburnumscale.slots import hold_slot
from laburnumscale.stalls import LoopStalls
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2, settings_pb2

READY = peer_pb2.TARGET_STATE_READY
STATES = {"ready": READY, "draining": peer_pb2.TARGET_STATE_DRAINING}
PERCENT = 20
ROUTE = 7


@given(
    "{count:d} entries that share a retry slack of {slack:d} attempts and a budget of "
    "20 percent"
)
def step_create_budgets(context, count, slack):
    context.new_budgets = lambda: [
        RetryBudget(slack, lambda: count) for _ in range(count)
    ]
    context.budgets = context.new_budgets()
    context.retries = 0


@when("each entry serves {calls:d} calls and retries as often as its budget allows")
def step_serve_calls_with_retries(context, calls):
    for budget in context.budgets:
        while budget.acquire_retry("slot-desk"):
            context.retries += 1
        for _ in range(calls):
            budget.add_call("slot-desk", PERCENT)
            while budget.acquire_retry("slot-desk"):
                context.retries += 1


@when("each entry serves {calls:d} calls without a retry")
def step_serve_calls(context, calls):
    for budget in context.budgets:
        for _ in range(calls):
            budget.add_call("slot-desk", PERCENT)


@when("all entries restart")
def step_restart_entries(context):
    context.budgets = context.new_budgets()


@then("the entries make at most {limit:d} retries in total")
def step_check_retries(context, limit):
    assert context.retries <= limit, context.retries


@given("calls wait for a slot with priorities {priorities}")
def step_enqueue_calls(context, priorities):
    async def fill():
        queue = SlotQueue()
        return queue, [
            queue.enqueue(int(priority)) for priority in priorities.split(", ")
        ]

    context.loop = asyncio.new_event_loop()
    context.queue, context.waiters = context.loop.run_until_complete(fill())


@when("{count:d} slots are granted")
def step_grant_slots(context, count):
    context.granted_calls = []
    for _ in range(count):
        assert context.queue.grant_next()
        done = [n for n, each in enumerate(context.waiters, 1) if each.granted.done()]
        context.granted_calls.extend(
            number for number in done if number not in context.granted_calls
        )


@then("the calls get them in the order {numbers}")
def step_check_grant_order(context, numbers):
    assert context.granted_calls == [int(each) for each in numbers.split(", ")], (
        context.granted_calls
    )


@then("a call of priority {priority:d} expects a slot at the next release")
def step_check_next_release(context, priority):
    assert context.queue.expected_releases(priority) == 1


@when("{count:d} calls start without waiting")
def step_start_directly(context, count):
    for _ in range(count):
        context.queue.record_direct_start()


@then("a call of priority {priority:d} expects a slot after {releases:g} releases")
def step_check_expected_releases(context, priority, releases):
    assert round(context.queue.expected_releases(priority), 1) == releases


@given("a target with {slots:d} slots that accepts {connections:d} connections")
def step_create_limited_target(context, slots, connections):
    address = Address("127.0.0.1", 1)
    lease = Deadline.after_ms(1000)
    context.target = LocalTarget("slot-desk", "e1", address, slots, READY, lease)
    settings = EffectiveSettings()
    context.settings = attrs.evolve(settings, connection_limit=connections)


@when("{count:d} calls that do not wait request a slot from it")
def step_request_slots(context, count):
    head = peer_pb2.CallHead(no_wait=True)
    deadline = Deadline.after_ms(1000)
    transmission = Transmission(Attempt(), deadline, deadline)

    async def ask():
        async with AsyncExitStack() as slots:
            with suppress(AttemptRefused):
                for _ in range(count):
                    slot = hold_slot(
                        context.target, context.settings, transmission, head
                    )
                    await slots.enter_async_context(slot)
            context.running = context.target.running

    asyncio.run(ask())


@then("{count:d} of them get a slot")
def step_check_running(context, count):
    assert context.running == count, context.running


@given(
    "an idle target whose calls of a route took {latency_ms:d} ms, with a median of "
    "{median_ms:d} ms"
)
def step_create_slow_target(context, latency_ms, median_ms):
    context.target = make_local_target("e1", 0, 0, "ready")
    context.target.route_latencies.add(ROUTE, latency_ms * 1000)
    context.head = peer_pb2.CallHead(route=ROUTE, reference_latency_us=median_ms * 1000)


@when("a call of that route with {left_ms:d} ms left requests a slot from it")
def step_request_slot(context, left_ms):
    deadline = Deadline.after_ms(left_ms)
    transmission = Transmission(Attempt(), deadline, deadline)
    context.running = 0

    async def ask():
        with suppress(AttemptRefused):
            async with hold_slot(
                context.target, EffectiveSettings(), transmission, context.head
            ):
                context.running = context.target.running

    asyncio.run(ask())


@when("a call of priority {priority:d} arrives at the full queue")
def step_evict_for_call(context, priority):
    refusal = AttemptRefused(peer_pb2.NOT_RUN_REASON_OVERLOADED)
    context.was_evicted = context.queue.evict_less_urgent(priority, refusal)


@then("call {number:d} is evicted")
def step_check_evicted_call(context, number):
    assert context.was_evicted
    evicted = [n for n, each in enumerate(context.waiters, 1) if each.granted.done()]
    assert evicted == [number], evicted
    assert isinstance(context.waiters[number - 1].granted.exception(), AttemptRefused)


@then("no call is evicted")
def step_check_no_eviction(context):
    assert not context.was_evicted


@given("a call whose latency objective is {objective}")
def step_create_call_with_objective(context, objective):
    expired = Deadline.after_ms(-1)
    context.call = _make_call(1000, objective=expired if objective == "over" else None)


def _make_call(left_ms, objective=None, attempt_limit=2):
    return Call(
        request=None,
        request_id="a",
        service="slot-desk",
        path_and_query="/",
        settings=attrs.evolve(EffectiveSettings(), attempt_limit=attempt_limit),
        idempotent=True,
        deadline=Deadline.after_ms(left_ms),
        body=b"",
        objective=objective,
    )


@then("guards receive an objective_left_ms of {left_ms:d}")
def step_check_objective_left(context, left_ms):
    assert context.call.objective_left_ms() == left_ms


@given(
    "a call with {left_ms:d} ms left that {waits} for a slot and may try "
    "{max_attempts:d} targets"
)
def step_create_call(context, left_ms, waits, max_attempts):
    context.call = _make_call(left_ms, attempt_limit=max_attempts)
    context.call.waits = waits == "waits"


@then("its next attempt may be sent within {time_ms:d} ms")
def step_check_send_deadline(context, time_ms):
    assert_just_below(context.call.send_deadline().left_ms(), time_ms)


@then("its reply may take {time_ms:d} ms")
def step_check_reply_deadline(context, time_ms):
    assert_just_below(context.call.reply_deadline().left_ms(), time_ms)


def assert_just_below(actual_ms, time_ms):
    assert time_ms - 100 <= actual_ms <= time_ms, actual_ms


@given(
    "a target that started {age_s:d} s ago, in a service with a median latency of "
    "{median_ms:d} ms"
)
def step_create_aged_target(context, age_s, median_ms):
    context.target = make_local_target("e1", 0, 0, "ready")
    context.target.slow_start_at_s = time.monotonic() - age_s
    context.median_us = median_ms * 1000


@when("a call to it with {left_ms:d} ms left is not answered within {waited_ms:d} ms")
def step_wait_for_answer(context, left_ms, waited_ms):
    settings = attrs.evolve(EffectiveSettings(), slow_factor=3, slow_excess_ms=50)
    head = peer_pb2.CallHead(
        service="slot-desk", reference_latency_us=context.median_us
    )
    context.causes = []

    async def wait():
        health = TargetHealth(recovery=None, stalls=LoopStalls(), metrics=Metrics())
        health.record_result = lambda *args, **kwargs: context.causes.append(args[2])
        monitor = health.monitor_attempt(
            context.target, settings, head, Deadline.after_ms(left_ms)
        )
        await asyncio.sleep(waited_ms / 1000)
        monitor.end()

    asyncio.run(wait())


@then("the call counts as {result}")
def step_check_counted(context, result):
    expected = [] if result == "no result" else [result]
    assert context.causes == expected, context.causes


@given("a target whose first ejection lasts {length_ms:d} ms")
def step_create_backoff(context, length_ms):
    context.ejection_backoff = EjectionBackoff()
    context.first_ejection_ms = length_ms
    assert context.ejection_backoff.next_ejection_ms(length_ms) == length_ms


@then("its next {count:d} failed trials eject it for {length_ms:d} ms each")
def step_check_failed_trials(context, count, length_ms):
    lengths = {context.ejection_backoff.after_failed_trial_ms() for _ in range(count)}
    assert lengths == {length_ms}, lengths


@then("its next failed trial ejects it for {length_ms:d} ms")
def step_check_failed_trial(context, length_ms):
    assert context.ejection_backoff.after_failed_trial_ms() == length_ms


@when("it fails again right after its return")
def step_fail_after_return(context):
    context.ejection_backoff.record_return()
    context.ejection_ms = context.ejection_backoff.next_ejection_ms(
        context.first_ejection_ms
    )


@when("it fails again after {service_s:d} s in service")
def step_fail_after_service(context, service_s):
    context.ejection_backoff.returned_at_s = time.monotonic() - service_s
    context.ejection_ms = context.ejection_backoff.next_ejection_ms(
        context.first_ejection_ms
    )


@then("it is ejected for {length_ms:d} ms")
def step_check_ejection(context, length_ms):
    assert context.ejection_ms == length_ms, context.ejection_ms


def make_endpoint_load(text):
    condition, name = text.split()
    view = EndpointView("slot-desk", name, 5, READY, False, "d1", 1, "", "makati")
    return EndpointLoad(
        view=view,
        ejected=condition == "ejected",
        severity_percent=80,
        on_trial=False,
        in_system=0,
        open_slots=5,
        latency_us=10_000,
    )


@given("endpoints in use: {endpoints}")
def step_select_endpoints(context, endpoints):
    loads = [make_endpoint_load(each) for each in endpoints.split(", ")]
    context.selection = select_endpoints(loads, floor_percent=100)


@when("a call that {kind} has tried {tried}")
def step_find_eligible(context, kind, tried):
    loads = [
        load
        for load in context.selection.in_use
        if load.view.endpoint not in tried.split(", ")
    ]
    in_use = context.selection.in_use
    found = eligible(loads, in_use, kind == "may be repeated")
    context.eligible = sorted(load.view.endpoint for load in found)


@then("its eligible endpoints are {endpoints}")
def step_check_eligible(context, endpoints):
    expected = [] if endpoints == "none" else endpoints.split(", ")
    assert context.eligible == expected, context.eligible


@given(
    "an endpoint in makati with {local:d} calls and one in pasig with {remote:d} calls"
)
def step_create_endpoints(context, local, remote):
    local_load = attrs.evolve(make_endpoint_load("good e1"), in_system=local)
    remote_load = attrs.evolve(make_endpoint_load("good e2"), in_system=remote)
    remote_load = attrs.evolve(
        remote_load, view=attrs.evolve(remote_load.view, data_centre="pasig")
    )
    context.loads = [local_load, remote_load]


@when("{count:d} calls from makati choose between them")
def step_choose_endpoints(context, count):
    policy = get_policy_by_name("two-choices")
    local = [load for load in context.loads if load.view.data_centre == "makati"]
    chosen = [policy.choose(context.loads, local) for _ in range(count)]
    context.local_count = sum(load.view.data_centre == "makati" for load in chosen)
    context.count = count


@when("{count:d} calls from makati with answers of {kib:d} KiB choose between them")
def step_choose_with_answer_size(context, count, kib):
    sources = _FakeRouterSources([load.view for load in context.loads])
    router = Router(sources, sources, sources, health=None)
    for load in context.loads:
        for _ in range(load.in_system):
            router.load_table.record_start(load.view)
    chosen = [
        router.pick("slot-desk", set(), True, answer_bytes=1024 * kib)
        for _ in range(count)
    ]
    context.local_count = sum(view.data_centre == "makati" for view in chosen)
    context.count = count


@then("{share} of them stay in makati")
def step_check_local_share(context, share):
    assert context.local_count == {"all": context.count, "none": 0}[share], (
        context.local_count
    )


@when("it is refused as overloaded by targets {endpoints}")
def step_record_overloaded(context, endpoints):
    context.overloaded = NotRun(peer_pb2.NOT_RUN_REASON_OVERLOADED)
    for endpoint in endpoints.split(", "):
        context.call.record_outcome(context.overloaded, endpoint)


@then("its next attempt waits for a slot")
def step_check_waits(context):
    assert context.call.waits
    assert context.call.may_retry(context.overloaded)


@then("it is not retried")
def step_check_not_retried(context):
    assert not context.call.may_retry(context.overloaded)


class _FakeRouterSources:
    """Fake endpoint index, settings and path checks of a router.

    Without views, one endpoint is in service and one is on trial.
    """

    own = peer_pb2.Member(daemon="d9", data_centre="makati")
    tree = property(lambda self: self)

    def __init__(self, views=()):
        in_service = EndpointView(
            "slot-desk", "e1", 5, READY, False, "d1", 1, "", "makati"
        )
        trial = attrs.evolve(
            in_service, endpoint="e2", on_trial=True, verdict_version=1
        )
        self.views = views or [in_service, trial]

    def endpoints(self, service):
        return self.views

    watch_endpoints = endpoints

    def on_endpoint_change(self, listener):
        """The endpoints of the fake do not change."""

    def on_change(self, listener):
        """The paths of the fake do not change."""

    def effective_settings(self, service, data_centre):
        return EffectiveSettings()

    def is_broken(self, address):
        return False


class _FixedBudget(RetryBudget):
    """A retry budget whose balance does not grow with calls."""

    def add_call(self, service, budget_percent):
        self._bucket(service)


@given(
    "a target in service, a target on trial and an entry with {tokens:d} retries left"
)
def step_create_runner(context, tokens):
    sources = _FakeRouterSources()
    router = Router(sources, sources, sources, health=None)
    slack = 2 * tokens * MIN_GROUP_SIZE or 1
    context.budget = _FixedBudget(fleet_slack=slack)
    header_names = HeaderNames()
    context.runner = CallRunner(None, router, Metrics(), context.budget, header_names)


@when("{count:d} calls with an attempt limit of {attempts:d} are routed and answered")
def step_route_calls(context, count, attempts):
    context.endpoint_counts = Counter()

    async def answer(call, view):
        context.endpoint_counts[view.endpoint] += 1
        return Answered(200), None

    context.runner._attempt = answer
    for _ in range(count):
        call = _make_call(1000, attempt_limit=attempts)
        asyncio.run(context.runner.run(call))


@then("the target on trial gets {trials} of them")
def step_check_trial_calls(context, trials):
    assert (context.endpoint_counts["e2"] > 0) == (trials == "some"), (
        context.endpoint_counts
    )


@then("the entry has {tokens:d} retries left")
def step_check_retries_left(context, tokens):
    retries = 0
    while context.budget.acquire_retry("slot-desk"):
        retries += 1
    assert retries == tokens, retries


@given(
    "a route with the backends {first} of weight {first_weight:d} and {second} of "
    "weight {second_weight:d}"
)
def step_create_route(context, first, first_weight, second, second_weight):
    context.route = settings_pb2.Route()
    context.route.backends.add(service=first, weight=first_weight)
    context.route.backends.add(service=second, weight=second_weight)


@when("it chooses a backend for {count:d} calls")
def step_choose_backends(context, count):
    context.backend_counts = Counter(
        choose_backend(context.route) for _ in range(count)
    )


@then("between {low:d} and {high:d} percent of them go to {service}")
def step_check_share(context, low, high, service):
    share = 100 * context.backend_counts[service] / context.backend_counts.total()
    assert low <= share <= high, share


class OneRecordLog(LogClient):
    """A log of presence records that returns one record per read."""

    def __init__(self, names):
        self.payloads = [
            peer_pb2.Member(
                daemon=name,
                peer_address="127.0.0.1:1",
                state=peer_pb2.MEMBER_STATE_ALIVE,
            ).SerializeToString()
            for name in names
        ]

    async def read(self, stream, offset, wait_ms=0):
        found = self.payloads[offset : offset + 1]
        records = tuple(Record(offset, payload) for payload in found)
        return Batch(records, 0, len(self.payloads))

    async def read_newest(self, stream):
        return Batch((), 0, 0)


@given("a log that returns one record per read and holds presence records of {names}")
def step_create_presence(context, names):
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    log = OneRecordLog(names.split(", "))
    context.presence = PresenceStream(log, Members(own), Metrics())


@when("presence is read {count:d} times")
def step_read_presence(context, count):
    async def read():
        for _ in range(count):
            await context.presence.read()

    asyncio.run(read())


@then("the contacts are {names}")
def step_check_contacts(context, names):
    found = sorted(member.daemon for member in context.presence.contacts())
    assert found == names.split(", "), found


@given("a log output into a pipe that nobody reads")
def step_create_output(context):
    context.pipe_end, write_end = os.pipe()
    context.output = LogOutput(os.fdopen(write_end, "w"))


@when("{count:d} lines are written within {limit_s:d} s")
def step_write_lines(context, count, limit_s):
    started_at_s = time.monotonic()
    for _ in range(count):
        context.output.write("x" * 300 + "\n")
    assert time.monotonic() - started_at_s < limit_s


@then("lines were dropped")
def step_check_dropped(context):
    assert context.output.dropped > 0


@when("the pipe is read and one more line is written")
def step_read_pipe(context):
    os.read(context.pipe_end, 1024 * 1024)
    time.sleep(0.1)  # the rate limit then admits some more lines
    context.output.write("last")


@then("the number of dropped lines is in the log")
def step_check_dropped_logged(context):
    written = os.read(context.pipe_end, 1024 * 1024).decode()
    assert "log lines dropped" in written, written[-200:]
    assert written.endswith("last\n"), written[-200:]


def make_local_target(endpoint, started_at_unix_ms, sequence, state):
    return LocalTarget(
        service="slot-desk",
        endpoint=endpoint,
        address=Address("127.0.0.1", 9000),
        slots=5,
        state=STATES[state],
        lease_deadline=Deadline.after_ms(10_000),
        started_at_unix_ms=started_at_unix_ms,
        sequence=sequence,
    )


@given("a target e1 announced with start time {start:d} and sequence {sequence:d}")
def step_register_target(context, start, sequence):
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    context.local_targets = TargetRegistry("d1", Members(own), Metrics())
    context.local_targets.announce(make_local_target("e1", start, sequence, "ready"))


@when(
    "it is announced with start time {start:d}, sequence {sequence:d} and state {state}"
)
def step_announce_target(context, start, sequence, state):
    context.local_targets.announce(make_local_target("e1", start, sequence, state))


@when(
    "it is announced with start time {start:d}, sequence {sequence:d} and "
    "{slots:d} slots"
)
def step_announce_slots(context, start, sequence, slots):
    announced = make_local_target("e1", start, sequence, "ready")
    announced.slots = slots
    context.local_targets.announce(announced)


@then("the target is ready with {slots:d} slots")
def step_check_slots(context, slots):
    target = context.local_targets.get("slot-desk", "e1")
    assert (target.state, target.slots) == (STATES["ready"], slots), target


@when("it deregisters")
def step_deregister_target(context):
    context.local_targets.withdraw_endpoint("e1")


@when("target e2 is announced at the same address with start time {start:d}")
def step_announce_other_target(context, start):
    context.local_targets.announce(make_local_target("e2", start, 1, "ready"))


@then("the target is not registered")
def step_check_not_registered(context):
    assert context.local_targets.get("slot-desk", "e1") is None


@then("the target is {state}")
def step_check_state(context, state):
    target = context.local_targets.get("slot-desk", "e1")
    assert target is not None and target.state == STATES[state], target


@given("an attempt that is answered with {status:d} after {delay_ms:d} ms")
def step_create_reader(context, status, delay_ms):
    class Reader:
        async def read_first(self, deadline):
            if delay_ms:
                await asyncio.sleep(delay_ms / 1000)
            head = peer_pb2.ReplyHead(status=status)
            return peer_pb2.CallReply(head=head, end=True)

    context.reader = Reader()


@when("its failover ends after {delay_ms:d} ms and is answered: {answered}")
def step_race_failover(context, delay_ms, answered):
    async def fail_over():
        if delay_ms:
            await asyncio.sleep(delay_ms / 1000)
        return answered == "yes"

    request = SimpleNamespace(
        deadline=Deadline.after_ms(1000),
        fail_over=fail_over,
        answer_started=lambda: False,
    )

    async def race():
        reply, is_replaced = await race_failover(request, context.reader)
        while reply is None and not is_replaced:
            reply = await context.reader.read_first(request.deadline)
        return is_replaced

    context.is_replaced = asyncio.run(race())


@then("the answer that counts is that of the {winner}")
def step_check_winner(context, winner):
    assert context.is_replaced == (winner == "failover"), context.is_replaced


class _CheckedGuard:
    """Channels to a guard whose replies to some path checks do not arrive in time.

    :ivar missing: number of requests without a reply.
    :ivar open_is_silent: no request over the open connection gets a reply.
    :ivar is_paused: this process is paused while it waits for a missing reply.
    :ivar replacements: how often the open connection was replaced.
    """

    def __init__(self, missing, open_is_silent, is_paused):
        self.missing = missing
        self.open_is_silent = open_is_silent
        self.is_paused = is_paused
        self.replacements = 0

    def peer(self, address):
        return SimpleNamespace(FetchSettings=partial(self._fetch, self.open_is_silent))

    @asynccontextmanager
    async def transient_peer(self, address, new_connection, connect_timeout_ms):
        assert new_connection
        yield SimpleNamespace(FetchSettings=partial(self._fetch, False))

    def replace_channel(self, address):
        self.replacements += 1
        self.open_is_silent = False

    async def _fetch(self, is_silent, request, timeout):  # noqa: ASYNC109
        if not (is_silent or self.missing):
            return
        self.missing = max(0, self.missing - 1)
        if self.is_paused:
            time.sleep(timeout + 0.3)  # noqa: ASYNC251
        await asyncio.sleep(0 if self.is_paused else timeout)
        raise grpc.RpcError


@given("a guard whose replies to path checks {first}")
def step_create_checked_guard(context, first):
    missing = {
        "are missing": 100,
        "are missing until the first time-out": 2,
        "are missed once by a paused daemon": 1,
    }
    context.checked_guard = _CheckedGuard(
        missing.get(first, 0), "on the open connection" in first, "paused" in first
    )


@when("its path is checked")
def step_check_path(context):
    async def check():
        paths = PathHealth(context.checked_guard, Metrics())
        context.path_changes = []
        paths.on_change(
            lambda address: context.path_changes.append(paths.is_broken(address))
        )
        paths.start_check("127.0.0.1:1")
        await asyncio.sleep(1.0)

    asyncio.run(check())


@when("its path is checked while replies arrive over {arrival}")
def step_check_path_in_use(context, arrival):
    async def check():
        paths = PathHealth(context.checked_guard, Metrics())
        context.path_changes = []
        paths.on_change(
            lambda address: context.path_changes.append(paths.is_broken(address))
        )
        record_delivery = paths.watch_deliveries("127.0.0.1:1")
        if "replaced" in arrival:
            paths.record_replacement("127.0.0.1:1")
        paths.start_check("127.0.0.1:1")
        for _ in range(20):
            if arrival != "none":
                record_delivery()
            await asyncio.sleep(0.05)

    asyncio.run(check())


@then("its path was {state}")
def step_check_path_state(context, state):
    assert (True in context.path_changes) == (state == "broken"), context.path_changes


@then("its open connection was {state}")
def step_check_connection(context, state):
    replacements = context.checked_guard.replacements
    assert (replacements > 0) == (state == "replaced"), replacements


class _SilentPeers:
    """Channels to peers of which some deliver only over new connections.

    :ivar silent: addresses of the peers whose open connection is silent.
    :ivar replaced: addresses of the peers whose connection was replaced, in order.
    :ivar checked: addresses to which a check was sent over the open connection.
    """

    def __init__(self, silent):
        self.silent = silent
        self.replaced = []
        self.checked = []

    def peer(self, address):
        self.checked.append(address)
        return SimpleNamespace(FetchSettings=partial(self._fetch, address))

    @asynccontextmanager
    async def transient_peer(self, address, new_connection, connect_timeout_ms):
        yield SimpleNamespace(FetchSettings=partial(self._fetch, None))

    def replace_channel(self, address):
        self.replaced.append(address)
        self.silent.discard(address)

    async def _fetch(self, address, request, timeout):  # noqa: ASYNC109
        if address in self.silent:
            await asyncio.sleep(timeout)
            raise grpc.RpcError


@given("{count:d} peers with silent connections that are found out")
def step_create_silent_peers(context, count):
    context.found = [f"found-{number}" for number in range(count)]


@when(
    "{count:d} attempts to other peers, of which each second one is silent, "
    "wait for {wait_ms:d} ms"
)
def step_wait_for_others(context, count, wait_ms):
    others = [f"other-{number}" for number in range(count)]
    context.other_silent = set(others[::2])
    context.peers = _SilentPeers(set(context.found) | context.other_silent)

    async def wait():
        paths = PathHealth(context.peers, context.metrics)
        are_found = asyncio.Event()

        def on_silence(address):
            if set(context.found) <= set(context.peers.replaced):
                are_found.set()

        paths.on_silence(on_silence)
        for address in context.found:
            paths.start_check(address)
        await asyncio.sleep(0.05)
        for address in others:
            paths.schedule_check(address)
        await are_found.wait()
        await asyncio.sleep(wait_ms / 1000)

    context.metrics = Metrics()
    asyncio.run(wait())


@then("at least {least:d} and at most {most:d} of their connections were replaced")
def step_check_replaced_others(context, least, most):
    replaced = context.other_silent & set(context.peers.replaced)
    assert least <= len(replaced) <= most, replaced


@then("no connection that delivers was replaced")
def step_check_sound_others(context):
    silent = context.other_silent | set(context.found)
    assert set(context.peers.replaced) <= silent, context.peers.replaced


@then("at most {count:d} paths were checked because of the others")
def step_check_cut_checks(context, count):
    checks = context.metrics.counters["path_checks_after_cut", ""]
    assert 0 < checks <= count, checks


@then("each peer was checked at most {count:d} times")
def step_check_each_peer(context, count):
    most = Counter(context.peers.checked).most_common(1)
    assert most[0][1] <= count, most


@given("a cut of the connections to a, b, c and d, of which a and b were found silent")
def step_cut_connections(context):
    context.cuts = ConnectionCuts()
    for address in "ab":
        context.cuts.record_silence(address)


@given("{address} has responded since over a new connection")
def step_respond_after_cut(context, address):
    context.cuts.record_delivery(address)


@when("the connections now open to {addresses} are found silent")
def step_find_silent_again(context, addresses):
    for address in addresses.replace("once more ", "").split(" and "):
        context.cuts.record_silence(address)


@then("the connections to {addresses} are to be checked")
def step_check_doubtful(context, addresses):
    doubtful = [address for address in "abcd" if context.cuts.is_doubtful(address)]
    expected = [] if addresses == "none" else addresses.split(" and ")
    assert doubtful == expected, doubtful


class _SilentHosts:
    """Exchanges of tables of which some get no reply."""

    def __init__(self, silent):
        self.silent = silent
        self.reached_at_s = {}

    async def exchange(self, address):
        if address in self.silent:
            await asyncio.sleep(2.0)
            return False
        self.reached_at_s[address] = time.monotonic()
        return True


@given(
    "presence records of {count:d} daemons, of which the {silent:d} newest are on "
    "silent hosts"
)
def step_create_contacts(context, count, silent):
    addresses = [f"127.0.0.1:{1000 + index}" for index in range(count)]
    context.responding_address = addresses[0]
    members = [
        peer_pb2.Member(daemon=f"d{index}", peer_address=address)
        for index, address in enumerate(addresses)
    ]
    context.exchange = _SilentHosts(addresses[count - silent :])
    context.presence = SimpleNamespace(contacts=lambda: members[::-1])


@when("a daemon that is alone contacts them")
def step_contact(context):
    own = peer_pb2.Member(daemon="d9", incarnation=1, peer_address="127.0.0.1:1")
    discovery = PeerDiscovery(
        Members(own), context.presence, context.exchange, Metrics(), ()
    )
    context.started_at_s = time.monotonic()
    asyncio.run(discovery._contact_unknown_daemons())


@then("it has exchanged tables with the third one within {limit_s:d} s")
def step_check_contact(context, limit_s):
    reached_at_s = context.exchange.reached_at_s[context.responding_address]
    assert reached_at_s - context.started_at_s < limit_s


class _BusyPresence:
    """Presence records of which a new one arrives with every read."""

    def __init__(self):
        self.reads = 0

    async def announce(self):
        """Appending the record has no effect on the reads."""

    def is_announcement_lost(self):
        return False

    def contacts(self):
        return []

    async def read(self, wait_ms=0):
        self.reads += 1
        await asyncio.sleep(0)


@when(
    "a daemon that is alone looks for others for {duration_s:d} s while records are "
    "appended"
)
def step_discover(context, duration_s):
    own = peer_pb2.Member(daemon="d9", incarnation=1, peer_address="127.0.0.1:1")
    context.presence = _BusyPresence()
    discovery = PeerDiscovery(Members(own), context.presence, None, Metrics(), ())

    async def discover():
        with suppress(TimeoutError):
            async with asyncio.timeout(duration_s):
                await discovery.discover_forever()

    asyncio.run(discover())


@then("it has read the presence records {count:d} times at most")
def step_check_presence_reads(context, count):
    assert 1 <= context.presence.reads <= count, context.presence.reads
