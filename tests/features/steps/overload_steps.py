import asyncio
import itertools
import json
import random
import sys
from collections import Counter, defaultdict
from contextlib import suppress

import attrs
import numpy as np
from behave import given, then, when

from bench.model.virtualtime import run_in_virtual_time
from laburnumscale.addresses import Address
from laburnumscale.attempttable import Attempt
from laburnumscale.costqueue import CostQueue
from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.failurereplies import AttemptRefused, QueueRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.overload import (
    AccountLabels,
    AccountTurns,
    CallNeeds,
    WaitingCall,
    WaitingCalls,
    WorkEstimates,
)
from laburnumscale.queuepolicies import get_queue_policy_by_name
from laburnumscale.settingstree import EffectiveSettings, SettingsTree
from laburnumscale.slots import hold_slot
from laburnumscale.transmission import Transmission
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_schema import peer_pb2

READY = peer_pb2.TARGET_STATE_READY
ROUTE = 7
QUEUE_LIMIT = 12
QUARTER = 0.25  # of the service that all accounts together get
#: Kinds of docs/design/hard-load.md: may repeat, work, objective, deadline, worth in
#: time and late.
KINDS = {
    "lookup": (True, 928, 4_256, 15_200, 1.5, 0.15),
    "publish": (False, 1_173, 8_307, 25_200, 1.5, 0.23),
    "download": (True, 747, 2_835, 21_400, 2.9, 0.12),
}


def make_target(slots):
    lease = Deadline.after_ms(10**9)
    address = Address("127.0.0.1", 1)
    return LocalTarget("slot-desk", "e1", address, slots, READY, lease)


def make_transmission(left_ms):
    deadline = Deadline.after_ms(left_ms)
    return Transmission(Attempt(), Deadline.after_ms(left_ms / 2), deadline)


@attrs.define
class Tally:
    calls: int = 0
    served: int = 0
    in_time: int = 0
    worth: float = 0.0


@attrs.define
class Play:
    """One played load: what callers got by account, kind and priority."""

    tallies: dict = attrs.field(factory=lambda: defaultdict(Tally))
    runs: Counter = attrs.field(factory=Counter)
    refused: set = attrs.field(factory=set)

    def add(self, groups, served, in_time, worth):
        for group in groups:
            tally = self.tallies[group]
            tally.calls += 1
            tally.served += served
            tally.in_time += in_time
            tally.worth += worth


class QueueLoad:
    """A load on one target, whose callers come back after Retry-After."""

    def __init__(self, slots, accounts, priorities, demand):
        self.slots, self.priorities, self.demand = slots, priorities, demand
        self.accounts = [f"a{index}" for index in range(accounts)]
        self.surge = None

    def arrivals(self, seed, duration_s):
        """Return the arrivals: time, account, priority, kind and work."""
        draw = np.random.default_rng(seed)
        mean_ms = np.mean([kind[1] for kind in KINDS.values()])
        rate = self.demand * self.slots * 1000 / mean_ms / len(self.accounts)
        arrivals = []
        for index, account in enumerate(self.accounts):
            time_s = 0.0
            while time_s < duration_s:
                factor = 1
                if self.surge and account == self.surge[0] and time_s >= 10:
                    factor = self.surge[1] if time_s < 10 + self.surge[2] else 1
                time_s += draw.exponential(1 / (rate * factor))
                kind = str(draw.choice(list(KINDS)))
                work_ms = KINDS[kind][1] * draw.lognormal(-0.08, 0.4)
                priority = index % self.priorities
                arrivals.append((time_s, account, priority, kind, work_ms))
        return sorted(arrivals)

    def play(self, policy, seed, duration_s):
        name = "cost" if policy == "cost" else "priority"
        settings = attrs.evolve(
            EffectiveSettings(), queue_policy=name, queue_limit=QUEUE_LIMIT
        )
        arrivals = self.arrivals(seed, duration_s)

        async def run():
            play, target = Play(), make_target(self.slots)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            async with asyncio.TaskGroup() as group:
                for number, (time_s, account, priority, *work) in enumerate(arrivals):
                    await asyncio.sleep(started_at_s + time_s - loop.time())
                    rank = 0 if policy == "arrival" else priority
                    call = account, rank, *work
                    group.create_task(_send_call(play, target, settings, number, call))
            return play

        return run_in_virtual_time(run)


async def _send_call(play, target, settings, number, call):
    account, priority, kind, work_ms = call
    may_repeat, _, objective_ms, deadline_ms, worth, late_worth = KINDS[kind]
    deadline, objective = (
        Deadline.after_ms(deadline_ms),
        Deadline.after_ms(objective_ms),
    )
    served = in_time = False
    while not served:
        head = peer_pb2.CallHead(
            account=account,
            priority=priority,
            idempotent=may_repeat,
            route=1 + list(KINDS).index(kind),
            objective_left_ms=max(1, objective.left_ms()),
        )
        transmission = make_transmission(deadline.left_ms())
        try:
            async with hold_slot(target, settings, transmission, head):
                play.runs[number] += 1
                await asyncio.sleep(min(work_ms / 1000, deadline.left_s()))
                target.record_latency(head.route, work_ms * 1000)
                served = not deadline.has_passed()
                in_time = not objective.has_passed()
            break
        except AttemptRefused as refusal:
            pause_ms = refusal.reply.not_run.retry_after_ms
            if not 0 < pause_ms <= deadline.left_ms() / 3:
                play.refused.add(number)
                break
            await asyncio.sleep(pause_ms / 1000)
    earned = (worth if in_time else late_worth) if served else 0.0
    groups = ("all", ("account", account), ("kind", kind))
    play.add(groups, served, served and in_time, earned)


@given(
    "a target of {slots:d} slots, and {accounts:d} accounts of {priorities:d} "
    "priorities that send {demand:g} times its capacity"
)
def step_create_queue_load(context, slots, accounts, priorities, demand):
    context.load = QueueLoad(slots, accounts, priorities, demand)


@given("account {account} sends {factor:d} times its usual load for {length_s:d} s")
def step_add_surge(context, account, factor, length_s):
    context.load.surge = account, factor, length_s


@when("{duration_s:d} s are played with seeds {seeds} under {policies} and {last}")
def step_play_policies(context, duration_s, seeds, policies, last):
    context.plays = {
        policy: [
            context.load.play(policy, int(seed), duration_s)
            for seed in seeds.split(", ")
        ]
        for policy in (*policies.split(", "), last)
    }
    for policy, plays in context.plays.items():
        for group in plays[0].tallies:
            tallies = [play.tallies[group] for play in plays]
            calls = sum(tally.calls for tally in tallies)
            served = sum(tally.served for tally in tallies) / calls
            in_time = sum(tally.in_time for tally in tallies) / calls
            worth = sum(tally.worth for tally in tallies) / calls
            print(f"{policy} {group}: {served:.3f} {in_time:.3f} {worth:.3f}")


def least_served(plays):
    """Return how often the least served account is served, compared with all."""
    ratios = []
    for play in plays:
        total = play.tallies["all"]
        share = total.served / total.calls
        ratios.extend(
            tally.served / tally.calls / share
            for group, tally in play.tallies.items()
            if group[0] == "account"
        )
    return min(ratios)


@then("under {policy} some account is served less than a quarter as often as all")
def step_check_unfair(context, policy):
    assert least_served(context.plays[policy]) < QUARTER


@then("under {policy} no account is served less than a quarter as often as all")
def step_check_fair(context, policy):
    ratio = least_served(context.plays[policy])
    assert ratio >= QUARTER, ratio


@then(
    "the total worth under {policy} is not below that under {first}, nor under {second}"
)
def step_compare_worth(context, policy, first, second):
    worth = {
        name: sum(play.tallies["all"].worth for play in plays)
        for name, plays in context.plays.items()
    }
    assert worth[policy] >= max(worth[first], worth[second]), worth


@then("no call that was refused has run, and none has run twice")
def step_check_runs(context):
    for play in itertools.chain(*context.plays.values()):
        assert not play.refused & play.runs.keys()
        assert max(play.runs.values()) == 1


class RandomOperations:
    """Random operations on a cost queue, with what became of each call."""

    def __init__(self, seed):
        self.draw = random.Random(seed)
        self.time_s = 1000.0
        self.queue = CostQueue(lambda: self.time_s)
        self.waiting = {}
        self.ends = Counter()
        self.refused = 0
        for route in range(4):
            for _ in range(20):
                self.queue.record_work(route, 1000 * self.draw.uniform(50, 2000))

    def enqueue(self):
        needs = CallNeeds(
            priority=self.draw.randrange(4),
            account=f"a{self.draw.randrange(30)}",
            route=self.draw.randrange(4),
            reference_ms=0,
            deadline_s=self.time_s + self.draw.uniform(1, 120),
            objective_s=self.time_s + self.draw.uniform(1, 60),
            may_repeat=self.draw.random() < 0.5,
            is_short=self.draw.random() < 0.1,
        )
        try:
            waiter, _ = self.queue.enqueue(needs, 8, 1000, 200)
        except QueueRefused:
            self.refused += 1
            return
        self.waiting[waiter.sequence] = waiter
        waiter.granted.add_done_callback(
            lambda future: self.ends.update([waiter.sequence])
        )

    def cancel(self):
        if self.waiting:
            waiter = self.draw.choice(list(self.waiting.values()))
            waiter.granted.cancel()
            if self.draw.random() < 0.5:
                self.queue.discard(waiter)

    def step(self):
        self.time_s += self.draw.expovariate(20)
        kind = self.draw.random()
        if kind < 0.7:
            self.enqueue()
        elif kind < 0.93:
            granted = sum(_was_granted(each) for each in self.waiting.values())
            expected = self.queue.grant_next()
            now = sum(_was_granted(each) for each in self.waiting.values())
            assert now == granted + expected, (now, granted, expected)
        elif kind < 0.995:
            self.cancel()
        else:
            self.queue.evict_all(lambda: AttemptRefused(1))


def _was_granted(waiter):
    future = waiter.granted
    return future.done() and not future.cancelled() and future.exception() is None


@when(
    "{count:d} random operations are made on a queue of at most 200 calls with seed "
    "{seed:d}"
)
def step_random_operations(context, count, seed):
    async def run():
        context.operations = RandomOperations(seed)
        for _ in range(count):
            context.operations.step()
            assert len(context.operations.queue) <= 200
        await asyncio.sleep(0)
        context.left = context.operations.queue.take_waiters()

    asyncio.run(run())


@then("each call has one end, and the queue holds the others")
def step_check_ends(context):
    operations = context.operations
    assert operations.refused and len(operations.waiting) > 1000
    assert set(operations.ends.values()) == {1}
    open_calls = {
        sequence
        for sequence, waiter in operations.waiting.items()
        if not waiter.granted.done()
    }
    left = {waiter.sequence for waiter in context.left if not waiter.granted.done()}
    assert left == open_calls, left ^ open_calls


@given("a queue that always has calls of priorities {priorities}")
def step_create_backlog(context, priorities):
    context.calls = WaitingCalls()
    context.sequences = itertools.count()
    context.priorities = [int(each) for each in priorities.split(", ")]
    for priority in context.priorities * 3:
        add_call(context, priority)


def add_call(context, priority=0, **values):
    call = WaitingCall(next(context.sequences), priority, work_ms=100.0, **values)
    context.calls.add(call, 0.0)
    return call


@when("{count:d} slots are granted under cost")
def step_grant_backlog(context, count):
    context.granted = []
    for _ in range(count):
        context.granted.append(context.calls.take_next(0.0).priority)
        add_call(context, context.granted[-1])


@then("each priority waits for at most {bound:d} grants")
def step_check_starvation(context, bound):
    for priority in context.priorities:
        grants = [n for n, each in enumerate(context.granted, 1) if each == priority]
        gaps = [after - before for before, after in itertools.pairwise([0, *grants])]
        assert max(gaps) <= bound, (priority, max(gaps))
        assert len(context.granted) - grants[-1] < bound


def count_steps(length):
    """Return the function calls of one enqueueing and one grant at a queue length."""
    operations = RandomOperations(1)
    queue, counts = operations.queue, Counter()

    def enqueue(number):
        needs = CallNeeds(
            priority=number % 4,
            account=f"a{number % 30}",
            route=number % 4,
            reference_ms=0,
            deadline_s=operations.time_s + 10_000,
        )
        queue.enqueue(needs, 8, 1000, length + 1)

    async def run():
        for number in range(length):
            enqueue(number)
        sys.setprofile(lambda frame, event, argument: counts.update([event]))
        try:
            for number in range(40):
                enqueue(number)
                queue.grant_next()
        finally:
            sys.setprofile(None)
        assert len(queue) == length

    asyncio.run(run())
    return counts["call"] + counts["c_call"]


@when("calls are enqueued and granted in queues of {short:d} and of {long:d} calls")
def step_count_steps(context, short, long):
    context.steps = count_steps(short), count_steps(long)


@then("the longer one takes at most {factor:d} times as many steps")
def step_compare_steps(context, factor):
    assert context.steps[1] <= factor * context.steps[0], context.steps


@given("{count:d} calls of account {account} wait under cost")
def step_queue_account(context, count, account):
    context.calls, context.sequences = WaitingCalls(), itertools.count()
    for _ in range(count):
        add_call(context, account=account)
    for _ in range(5):
        context.calls.take_next(0.0)


@when("a call of account {account} arrives")
def step_add_account_call(context, account):
    context.call = add_call(context, account=account)


@then("it is among the next {count:d} calls that get a slot")
def step_check_among_next(context, count):
    assert context.call in [context.calls.take_next(0.0) for _ in range(count)]


@given("calls of {first:d}, {second:d} and {third:d} ms wait under cost")
def step_queue_works(context, first, second, third):
    context.calls = WaitingCalls()
    for number, work_ms in enumerate((first, second, third)):
        call = WaitingCall(number, 0, work_ms=work_ms, work_class=work_ms // 100)
        context.calls.add(call, 0.0)


@when("all get a slot in turn")
def step_grant_all(context):
    context.granted = []
    while (call := context.calls.take_next(0.0)) is not None:
        context.granted.append(call)


@then("they start in the order {works}")
def step_check_works(context, works):
    expected = [int(each) for each in works.split(", ")]
    assert [call.work_ms for call in context.granted] == expected


@given("a call whose objective has become impossible waits under cost")
def step_queue_late(context):
    context.calls, context.sequences = WaitingCalls(), itertools.count()
    context.late = add_call(context, useful_start_s=5.0)


@when("a call of lower priority that can meet its objective arrives")
def step_add_useful(context):
    context.useful = add_call(context, 3, useful_start_s=50.0)


@then("the call of lower priority gets the next slot")
def step_check_useful_first(context):
    assert context.calls.choose_victim(6.0) is context.late
    assert context.calls.take_next(6.0) is context.useful


@then("a full queue evicts the late call first")
def step_check_late_evicted(context):
    add_call(context, 3, useful_start_s=50.0)
    assert context.calls.choose_victim(6.0) is context.late


def make_needs(left_ms=60_000, objective_ms=60_000, **values):
    time_s = now_s()
    needs = CallNeeds(
        priority=0,
        account="",
        route=ROUTE,
        reference_ms=1000,
        deadline_s=time_s + left_ms / 1000,
        objective_s=time_s + objective_ms / 1000,
    )
    return attrs.evolve(needs, **values)


@given("{count:d} calls of {work_ms:d} ms with priority 0 wait under cost")
def step_queue_long_calls(context, count, work_ms):
    async def fill():
        context.queue = CostQueue()
        for _ in range(count):
            context.queue.enqueue(make_needs(reference_ms=work_ms), 1, work_ms, 20)

    context.loop = asyncio.new_event_loop()
    context.loop.run_until_complete(fill())


@when("a short call without an account arrives")
def step_queue_short_call(context):
    async def add():
        needs = make_needs(reference_ms=200, is_short=True)
        context.waiter, _ = context.queue.enqueue(needs, 1, 1000, 20)

    context.loop.run_until_complete(add())


@then("it gets the next slot")
def step_check_short_next(context):
    assert context.queue.grant_next()
    assert _was_granted(context.waiter)
    context.loop.close()


@given(
    "a target with {slots:d} slot under cost, whose calls take {work_ms:d} ms, and "
    "{count:d} calls wait"
)
def step_create_busy_target(context, slots, work_ms, count):
    step_queue_long_calls(context, count, work_ms)
    context.busy = slots, work_ms


@when(
    "a call with {left_ms:d} ms left, {objective_ms:d} of them until its objective, "
    "arrives"
)
def step_add_urgent_call(context, left_ms, objective_ms):
    async def add():
        context.result, context.refusal = "queued", None
        try:
            needs = make_needs(left_ms, objective_ms)
            context.queue.enqueue(needs, *context.busy, 20)
        except QueueRefused as refusal:
            context.result, context.refusal = "refused", refusal

    context.loop.run_until_complete(add())
    context.loop.close()


@then("it is {result}, with the cause {cause}")
def step_check_refused(context, result, cause):
    found = context.refusal.cause if context.refusal else "none"
    assert (context.result, found) == (result, cause), (context.result, found)


@then("a refusal says that the waiting calls will have started after {time_ms:d} ms")
def step_check_retry_after(context, time_ms):
    if context.refusal is None:
        return
    not_run = context.refusal.reply.not_run
    assert not_run.reason == peer_pb2.NOT_RUN_REASON_OVERLOADED
    assert not_run.retry_after_ms == time_ms, not_run


@given(
    "a target of {slots:d} slots under cost, whose calls take {work_ms:d} ms, and "
    "{count:d} calls wait"
)
def step_create_busy_slots(context, slots, work_ms, count):
    step_create_busy_target(context, slots, work_ms, count)
    time_s = now_s()
    context.queue._clock = lambda: time_s


@when(
    "{count:d} calls with {left_ms:d} ms left, {objective_ms:d} of them until their "
    "objective, are refused"
)
def step_refuse_calls(context, count, left_ms, objective_ms):
    needs = make_needs(left_ms, objective_ms)
    context.delays_ms = []

    async def refuse():
        for _ in range(count):
            try:
                context.queue.enqueue(needs, *context.busy, 20)
            except QueueRefused as refusal:
                context.delays_ms.append(refusal.reply.not_run.retry_after_ms)

    context.loop.run_until_complete(refuse())
    context.loop.close()
    assert len(context.delays_ms) == count, len(context.delays_ms)


@then(
    "each of the first {count:d} is told to return {step_ms:d} ms after the one before "
    "it"
)
def step_check_spread(context, count, step_ms):
    delays_ms = context.delays_ms[:count]
    first_ms = delays_ms[0]
    expected = [first_ms + index * step_ms for index in range(count)]
    assert delays_ms == expected, delays_ms


@then(
    "none is told to return before {least_ms:d} ms, when the waiting calls have "
    "started, nor after {most_ms:d} ms"
)
def step_check_delays(context, least_ms, most_ms):
    delays_ms = context.delays_ms
    assert min(delays_ms) == least_ms, delays_ms
    assert max(delays_ms) <= most_ms, delays_ms


@given("a target with {slots:d} slots under {policy}")
def step_create_policy_target(context, slots, policy):
    context.policy = policy
    context.slots = slots


class SlotUsers:
    """Calls that use the slots of a target."""

    def __init__(self, slots, policy):
        self.target = make_target(slots)
        self.settings = attrs.evolve(EffectiveSettings(), queue_policy=policy)
        self.ran = []
        self.errors = []
        self.holding = asyncio.Event()

    async def use(self, number):
        head = peer_pb2.CallHead(route=ROUTE, idempotent=True, account=f"a{number}")
        transmission = make_transmission(60_000)
        try:
            async with hold_slot(self.target, self.settings, transmission, head):
                self.ran.append(number)
                await self.holding.wait()
        except AttemptRefused as error:
            self.errors.append(error)

    async def start(self, count):
        tasks = []
        for number in range(count):
            tasks.append(asyncio.create_task(self.use(number)))
            await asyncio.sleep(0)
        return tasks

    async def finish(self, tasks):
        self.holding.set()
        await asyncio.gather(*tasks, return_exceptions=True)
        assert self.target.running == 0, self.target.running
        assert len(self.target.queue) == 0


@when(
    "{count:d} calls use it, of which one is cancelled as it waits and one as it gets "
    "its slot"
)
def step_cancel_calls(context, count):
    async def run():
        users = SlotUsers(context.slots, context.policy)
        tasks = await users.start(count)
        assert len(users.target.queue) == count - context.slots
        tasks[-1].cancel()
        await asyncio.sleep(0)
        assert users.target.queue.grant_next()
        users.target.running += 1
        # The granted call has not run since its grant.
        tasks[context.slots].cancel()
        await asyncio.sleep(0)
        await users.finish(tasks)
        context.users = users

    asyncio.run(run())


@then("all others run, and all slots are free at the end")
def step_check_others_ran(context):
    assert sorted(context.users.ran) == [0, 1, 3, 4], context.users.ran
    assert not context.users.errors


@when("the queue is emptied while {count:d} calls wait")
def step_empty_queue(context, count):
    async def run():
        users = SlotUsers(context.slots, context.policy)
        tasks = await users.start(context.slots + count)
        users.target.queue.evict_all(
            lambda: AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        )
        await asyncio.sleep(0)
        await users.finish(tasks)
        context.users = users
        context.evicted_count = count

    asyncio.run(run())


@then("each of them gets an error of its own, and all slots are free at the end")
def step_check_own_errors(context):
    errors = context.users.errors
    assert len(errors) == context.evicted_count == len({id(each) for each in errors})


@given("{count:d} calls wait under {policy}")
def step_wait_under(context, count, policy):
    context.loop = asyncio.new_event_loop()

    async def run():
        context.users = SlotUsers(1, policy)
        context.tasks = await context.users.start(1 + count)

    context.loop.run_until_complete(run())


@when("the policy becomes {policy}")
def step_change_policy(context, policy):
    target = context.users.target
    get_queue_policy_by_name(policy).prepare_queue(target)
    assert target.queue.name == policy


@then("all {count:d} get a slot, and a cancelled one leaves the queue")
def step_check_moved(context, count):
    async def run():
        users = context.users
        assert len(users.target.queue) == count
        extra = asyncio.create_task(users.use(count + 1))
        await asyncio.sleep(0)
        extra.cancel()
        with suppress(asyncio.CancelledError):
            await extra
        assert len(users.target.queue) == count
        await users.finish(context.tasks)
        assert sorted(users.ran) == list(range(1 + count)), users.ran
        assert not users.errors

    context.users.settings = attrs.evolve(
        context.users.settings, queue_policy=context.users.target.queue.name
    )
    context.loop.run_until_complete(run())
    context.loop.close()


@given("half of the calls of a route take {first:d} ms and half take {second:d} ms")
def step_create_estimates(context, first, second):
    context.estimates = WorkEstimates()
    for work_ms in [first, second] * 100:
        context.estimates.add(ROUTE, work_ms)


def check_likelihood(context, time_ms, likelihood, reference_ms=0.0):
    found = context.estimates.likelihood(ROUTE, time_ms, reference_ms)
    assert abs(found - likelihood) < 0.05, found


@then("a call of it ends within {time_ms:d} ms with a likelihood of {likelihood:g}")
def step_check_likelihood(context, time_ms, likelihood):
    check_likelihood(context, time_ms, likelihood)


@then(
    "if elsewhere it takes {reference_ms:d} ms, a call ends within {time_ms:d} ms with "
    "a likelihood of {likelihood:g}"
)
def step_check_scaled(context, reference_ms, time_ms, likelihood):
    check_likelihood(context, time_ms, likelihood, reference_ms)


@when("{accounts:d} accounts and {routes:d} routes appear one after the other")
def step_add_many(context, accounts, routes):
    context.turns, context.labels = AccountTurns(), AccountLabels()
    context.label_values = set()
    for number in range(accounts):
        name = f"account-{number}"
        context.turns.add(name)
        context.turns.charge(name, 1000 + number)
        context.turns.remove(name)
        context.label_values.add(context.labels.label(name))
    context.estimates = WorkEstimates()
    for route in range(routes):
        context.estimates.add(route, 100)


@then(
    "at most {idle:d} idle accounts, {routes:d} routes and {labels:d} labels are kept"
)
def step_check_bounds(context, idle, routes, labels):
    found = len(context.turns), len(context.estimates), len(context.label_values)
    assert 0 < found[0] <= idle, found
    assert found[1:] == (routes, labels), found


@when("a document {with_or_without} tenants is decoded")
def step_decode_tenants(context, with_or_without):
    document = {"version": 1, "services": [], "routes": []}
    if with_or_without == "with":
        tenants = [{"name": "t", "api_keys": ["k"], "priority": 1}]
        document["tenants"] = tenants
    snapshot = decode_configuration(json.dumps(document).encode(), {})
    context.tree = SettingsTree()
    context.tree.restore(snapshot)


@then("the queue policy of the fleet is {policy}")
def step_check_queue_policy(context, policy):
    assert context.tree.effective_settings("any").queue_policy == policy
