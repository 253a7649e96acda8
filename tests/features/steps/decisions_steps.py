import asyncio
import os
import time
from collections import Counter
from contextlib import AsyncExitStack, suppress

import attrs
from behave import given, then, when

from laburnumscale.addresses import Address
from laburnumscale.attempttable import Attempt
from laburnumscale.callerapi import choose_backend
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline
from laburnumscale.ejection import select_endpoints
from laburnumscale.endpointindex import EndpointView
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.headernames import HeaderNames
from laburnumscale.loadtable import EndpointLoad
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logoutput import LogOutput
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun
from laburnumscale.platformlog import Batch, LogClient, Record
from laburnumscale.policies import get_policy_by_name
from laburnumscale.presence import PresenceStream
from laburnumscale.recovery import EjectionBackoff
from laburnumscale.retrybudget import MIN_GROUP_SIZE, RetryBudget
from laburnumscale.routing import Router, eligible
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slotqueue import SlotQueue
from laburnumscale.slots import hold_slot
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2, settings_pb2

READY = peer_pb2.TARGET_STATE_READY
STATES = {"ready": READY, "draining": peer_pb2.TARGET_STATE_DRAINING}
PERCENT = 20


@given("{count:d} entries that share a slack of {slack:d} retries and 20 percent")
def step_budgets(context, count, slack):
    context.new_budgets = lambda: [
        RetryBudget(slack, lambda: count) for _ in range(count)
    ]
    context.budgets = context.new_budgets()
    context.retries = 0


@when("each entry has {calls:d} calls and retries whenever it may")
def step_calls(context, calls):
    for budget in context.budgets:
        while budget.acquire_retry("slot-desk"):
            context.retries += 1
        for _ in range(calls):
            budget.add_call("slot-desk", PERCENT)
            while budget.acquire_retry("slot-desk"):
                context.retries += 1


@when("each entry saves up the retries of {calls:d} calls")
def step_save(context, calls):
    for budget in context.budgets:
        for _ in range(calls):
            budget.add_call("slot-desk", PERCENT)


@when("all entries start anew")
def step_anew(context):
    context.budgets = context.new_budgets()


@then("all entries together retry at most {highest:d} times")
def step_highest(context, highest):
    assert context.retries <= highest, context.retries


@given("calls wait for a slot with ranks {ranks}")
def step_queue(context, ranks):
    async def fill():
        queue = SlotQueue()
        return queue, [queue.enqueue(int(rank)) for rank in ranks.split(", ")]

    context.loop = asyncio.new_event_loop()
    context.queue, context.waiters = context.loop.run_until_complete(fill())


@when("{count:d} slots are granted")
def step_grant(context, count):
    context.order = []
    for _ in range(count):
        assert context.queue.grant_next()
        done = [n for n, each in enumerate(context.waiters, 1) if each.granted.done()]
        context.order.extend(number for number in done if number not in context.order)


@then("they went to the calls {numbers}")
def step_order(context, numbers):
    assert context.order == [int(each) for each in numbers.split(", ")], context.order


@then("a call of rank {rank:d} expects the next slot to be its own")
def step_next_turn(context, rank):
    assert context.queue.expected_releases(rank) == 1


@then("a call of rank {rank:d} expects {turns:d} slots until its own")
def step_turns(context, rank, turns):
    assert context.queue.expected_releases(rank) == turns


@given("a target with {slots:d} slots that accepts {connections:d} connections")
def step_connections(context, slots, connections):
    address = Address("127.0.0.1", 1)
    lease = Deadline.after_ms(1000)
    context.target = LocalTarget("slot-desk", "e1", address, slots, READY, lease)
    settings = EffectiveSettings()
    context.settings = attrs.evolve(settings, connection_limit=connections)


@when("{count:d} calls that do not wait ask it for a slot")
def step_ask(context, count):
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


@then("{count:d} of them have a slot")
def step_have_slot(context, count):
    assert context.running == count, context.running


@when("a call of rank {rank:d} needs a place in the queue")
def step_displace(context, rank):
    refusal = AttemptRefused(peer_pb2.NOT_RUN_REASON_OVERLOADED)
    context.displaced = context.queue.evict_less_urgent(rank, refusal)


@then("call {number:d} is turned away")
def step_turned_away(context, number):
    assert context.displaced
    away = [n for n, each in enumerate(context.waiters, 1) if each.granted.done()]
    assert away == [number], away
    assert isinstance(context.waiters[number - 1].granted.exception(), AttemptRefused)


@then("nobody is turned away")
def step_nobody(context):
    assert not context.displaced


@given("a call whose objective is {objective}")
def step_objective(context, objective):
    over = Deadline.after_ms(-1)
    context.call = _call(1000, objective=over if objective == "over" else None)


def _call(left_ms, objective=None, attempt_limit=2):
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


@then("guards are told that {left_ms:d} ms of it are left")
def step_objective_left(context, left_ms):
    assert context.call.objective_left_ms() == left_ms


@given(
    "a call with {left_ms:d} ms left that {waits} for a slot and may try {limit:d} "
    "targets"
)
def step_waiting_call(context, left_ms, waits, limit):
    context.call = _call(left_ms, attempt_limit=limit)
    context.call.waits = waits == "waits"


@then("its next attempt may be sent within {time_ms:d} ms")
def step_send_deadline(context, time_ms):
    assert_about(context.call.send_deadline().left_ms(), time_ms)


@then("its reply may take {time_ms:d} ms")
def step_reply_deadline(context, time_ms):
    assert_about(context.call.reply_deadline().left_ms(), time_ms)


def assert_about(found_ms, time_ms):
    assert time_ms - 100 <= found_ms <= time_ms, found_ms


@given("a target that is ejected for {length_ms:d} ms at first")
def step_ejected(context, length_ms):
    context.ejection_backoff = EjectionBackoff()
    context.first_ms = length_ms
    assert context.ejection_backoff.next_ejection_ms(length_ms) == length_ms


@then("its next {count:d} failed trials leave it out for {length_ms:d} ms each")
def step_trials(context, count, length_ms):
    lengths = {context.ejection_backoff.after_failed_trial_ms() for _ in range(count)}
    assert lengths == {length_ms}, lengths


@then("its next failed trial leaves it out for {length_ms:d} ms")
def step_trial(context, length_ms):
    assert context.ejection_backoff.after_failed_trial_ms() == length_ms


@when("it fails again right after its return")
def step_again(context):
    context.ejection_backoff.record_return()
    context.length_ms = context.ejection_backoff.next_ejection_ms(context.first_ms)


@when("it fails again after {service_s:d} s in service")
def step_again_later(context, service_s):
    context.ejection_backoff.returned_at_s = time.monotonic() - service_s
    context.length_ms = context.ejection_backoff.next_ejection_ms(context.first_ms)


@then("it is left out for {length_ms:d} ms")
def step_left_out(context, length_ms):
    assert context.length_ms == length_ms, context.length_ms


def endpoint_load(text):
    standing, name = text.split()
    view = EndpointView("slot-desk", name, 5, READY, False, "d1", 1, "", "makati")
    return EndpointLoad(
        view=view,
        ejected=standing == "ejected",
        severity_percent=80,
        on_trial=False,
        in_system=0,
        open_slots=5,
        latency_us=10_000,
    )


@given("endpoints in use: {endpoints}")
def step_in_use(context, endpoints):
    loads = [endpoint_load(each) for each in endpoints.split(", ")]
    context.selection = select_endpoints(loads, floor_percent=100)


@when("a call that {kind} has tried {tried}")
def step_tried(context, kind, tried):
    loads = [
        load
        for load in context.selection.in_use
        if load.view.endpoint not in tried.split(", ")
    ]
    found = eligible(loads, context.selection, kind == "may be repeated")
    context.eligible = sorted(load.view.endpoint for load in found)


@then("it may go to {endpoints}")
def step_eligible(context, endpoints):
    wanted = [] if endpoints == "none" else endpoints.split(", ")
    assert context.eligible == wanted, context.eligible


@given(
    "an endpoint in makati with {local:d} calls and one in pasig with {remote:d} calls"
)
def step_two_endpoints(context, local, remote):
    near = attrs.evolve(endpoint_load("good e1"), in_system=local)
    far = attrs.evolve(endpoint_load("good e2"), in_system=remote)
    far = attrs.evolve(far, view=attrs.evolve(far.view, data_centre="pasig"))
    context.loads = [near, far]


@when("{count:d} calls of makati choose between them")
def step_choose(context, count):
    policy = get_policy_by_name("two-choices")
    chosen = [policy.choose(context.loads, "makati") for _ in range(count)]
    context.stayed = sum(load.view.data_centre == "makati" for load in chosen)
    context.count = count


@then("{share} of them stay in makati")
def step_stayed(context, share):
    assert context.stayed == {"all": context.count, "none": 0}[share], context.stayed


@when("targets {endpoints} are full for it")
def step_full(context, endpoints):
    context.overloaded = NotRun(peer_pb2.NOT_RUN_REASON_OVERLOADED)
    for endpoint in endpoints.split(", "):
        context.call.record_outcome(context.overloaded, endpoint)


@then("it waits for a slot from now on")
def step_waits(context):
    assert context.call.waits
    assert context.call.may_retry(context.overloaded)


@then("it is not tried again")
def step_not_again(context):
    assert not context.call.may_retry(context.overloaded)


class _Everyone:
    """Stands for the parts of a router that know targets, paths and settings."""

    own = peer_pb2.Member(daemon="d9", data_centre="makati")
    tree = property(lambda self: self)

    def endpoints(self, service):
        good = EndpointView(service, "e1", 5, READY, False, "d1", 1, "", "makati")
        trial = attrs.evolve(good, endpoint="e2", on_trial=True, verdict_version=1)
        return [good, trial]

    def effective_settings(self, service, data_centre):
        return EffectiveSettings()

    def is_broken(self, address):
        return False


class _FixedBudget(RetryBudget):
    """A budget that calls do not add to."""

    def add_call(self, service, budget_percent):
        self._bucket(service)


@given("targets with a target on trial and an entry with {tokens:d} retries left")
def step_trial(context, tokens):
    everyone = _Everyone()
    router = Router(everyone, everyone, everyone, health=None)
    slack = 2 * tokens * MIN_GROUP_SIZE or 1
    context.budget = _FixedBudget(fleet_slack=slack)
    names = HeaderNames()
    context.runner = CallRunner(None, router, Metrics(), context.budget, names)


@when("{count:d} calls with {attempts:d} attempts each are placed and answered")
def step_placed(context, count, attempts):
    context.placed = Counter()

    async def answer(call, view):
        context.placed[view.endpoint] += 1
        return Answered(200), None

    context.runner._attempt = answer
    for _ in range(count):
        call = _call(1000, attempt_limit=attempts)
        asyncio.run(context.runner.run(call))


@then("the target on trial gets {trials} of them")
def step_trials_placed(context, trials):
    assert (context.placed["e2"] > 0) == (trials == "some"), context.placed


@then("the entry has {tokens:d} retries left")
def step_tokens(context, tokens):
    retries = 0
    while context.budget.acquire_retry("slot-desk"):
        retries += 1
    assert retries == tokens, retries


@given(
    "a route with the parts {first} of weight {first_weight:d} and {second} of "
    "weight {second_weight:d}"
)
def step_parts(context, first, first_weight, second, second_weight):
    context.route = settings_pb2.Route()
    context.route.backends.add(service=first, weight=first_weight)
    context.route.backends.add(service=second, weight=second_weight)


@when("{count:d} calls are led by it")
def step_led(context, count):
    context.led = Counter(choose_backend(context.route) for _ in range(count))


@then("between {low:d} and {high:d} percent of them go to {service}")
def step_share(context, low, high, service):
    share = 100 * context.led[service] / context.led.total()
    assert low <= share <= high, share


class OneRecordLog(LogClient):
    """Holds presence records and returns one of them a read."""

    def __init__(self, names):
        self.payloads = [
            peer_pb2.Member(daemon=name, peer_address="127.0.0.1:1").SerializeToString()
            for name in names
        ]

    async def read(self, stream, offset, wait_ms=0):
        found = self.payloads[offset : offset + 1]
        records = tuple(Record(offset, payload) for payload in found)
        return Batch(records, 0, len(self.payloads))

    async def read_newest(self, stream):
        return Batch((), 0, 0)


@given("a log that returns one record a read and holds presence of {names}")
def step_small_reads(context, names):
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    log = OneRecordLog(names.split(", "))
    context.presence = PresenceStream(log, Members(own), Metrics())


@when("presence is read {count:d} times")
def step_presence(context, count):
    async def read():
        for _ in range(count):
            await context.presence.read()

    asyncio.run(read())


@then("the contacts are {names}")
def step_contacts(context, names):
    found = sorted(member.daemon for member in context.presence.contacts())
    assert found == names.split(", "), found


@given("a log output into a pipe that nobody reads")
def step_pipe(context):
    context.pipe_end, write_end = os.pipe()
    context.output = LogOutput(os.fdopen(write_end, "w"))


@when("{count:d} lines are written within {limit_s:d} s")
def step_lines(context, count, limit_s):
    started_at_s = time.monotonic()
    for _ in range(count):
        context.output.write("x" * 300 + "\n")
    assert time.monotonic() - started_at_s < limit_s


@then("lines were dropped")
def step_dropped(context):
    assert context.output.dropped > 0


@when("the pipe is read and one more line is written")
def step_read(context):
    os.read(context.pipe_end, 1024 * 1024)
    time.sleep(0.1)  # the bound lets some more lines through
    context.output.write("last")


@then("the number of dropped lines is in the log")
def step_note(context):
    written = os.read(context.pipe_end, 1024 * 1024).decode()
    assert "log lines dropped" in written, written[-200:]
    assert written.endswith("last\n"), written[-200:]


def announced(endpoint, started_at_unix_ms, sequence, state):
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


@given("a target e1 announced with start {start:d} and sequence {sequence:d}")
def step_announced(context, start, sequence):
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    context.local_targets = TargetRegistry("d1", Members(own), Metrics())
    context.local_targets.announce(announced("e1", start, sequence, "ready"))


@when("it is announced with start {start:d}, sequence {sequence:d} and state {state}")
def step_announced_again(context, start, sequence, state):
    context.local_targets.announce(announced("e1", start, sequence, state))


@when("it says that it leaves")
def step_leaves(context):
    context.local_targets.withdraw_endpoint("e1")


@when("target e2 is announced at the same address with start {start:d}")
def step_replaced(context, start):
    context.local_targets.announce(announced("e2", start, 1, "ready"))


@then("the target is not known")
def step_unknown(context):
    assert context.local_targets.get("slot-desk", "e1") is None


@then("the target is {state}")
def step_state(context, state):
    target = context.local_targets.get("slot-desk", "e1")
    assert target is not None and target.state == STATES[state], target
