import asyncio
import random
from unittest.mock import patch

from behave import given, then, when

from bench.model import VirtualTimeLoop
from laburnumscale.deadlines import Deadline
from laburnumscale.outcomes import NotRun, reason_name
from laburnumscale.quotas import KeeperView, Quota, quota_of
from laburnumscale_schema import peer_pb2, settings_pb2
from tests.standins.quotafleet import (
    ACCOUNT,
    FAULTS,
    QuotaFleet,
    most_over,
    play_history,
)

HISTORY_S = 40
RATES = (0.4, 2, 10, 50, 100)


def run(context, scenario):
    """Run a scenario in virtual time with a fleet of the given size and quota."""

    async def main():
        context.quotas = QuotaFleet(7, context.size, context.quota)
        try:
            return await scenario(context.quotas)
        finally:
            await context.quotas.close()

    loop = VirtualTimeLoop()
    context.add_cleanup(loop.close)
    return loop.run_until_complete(main())


async def send(fleet, calls_per_s, duration_s, entries):
    """Send calls at even intervals and wait for their results."""
    tasks = []
    for _ in range(int(calls_per_s * duration_s)):
        tasks.append(fleet.spawn(fleet.call(fleet.random.choice(entries))))
        await asyncio.sleep(1 / calls_per_s)
    await asyncio.gather(*tasks)


@given("keepers that grant the whole quota in each part of the fleet")
def step_ignore_cuts(context):
    patcher = patch.object(KeeperView, "share", lambda self: 1.0)
    patcher.start()
    context.add_cleanup(patcher.stop)


@when(
    "callers send up to 7 times a random quota, and {faults} happen, with the seeds "
    "{seeds}"
)
def step_play(context, faults, seeds):
    context.histories = []
    for seed in map(int, seeds.split()):
        chance = random.Random(seed)
        rate = chance.choice(RATES)
        quota = Quota(rate, chance.choice([0.5, 1, rate, rate * 4]))
        size, loss = chance.choice([3, 5, 12, 30]), chance.choice([0, 0.05, 0.3])
        kinds = list(FAULTS) if faults == "all" else [faults]

        async def main(seed=seed, size=size, quota=quota, loss=loss, kinds=kinds):
            fleet = QuotaFleet(seed, size, quota, loss=loss)
            await play_history(fleet, HISTORY_S, kinds)
            await fleet.close()
            return fleet

        loop = VirtualTimeLoop()
        fleet = loop.run_until_complete(main())
        loop.close()
        over = most_over(fleet.calls, quota, fleet.tolerance.window_s)
        tolerated = fleet.tolerance.total_calls(quota)
        assert fleet.results["accepted"] > 0, (seed, fleet.results)
        context.histories.append((seed, over, tolerated))


@then("no window has more calls than the quota and its tolerance")
def step_check_windows(context):
    broken = [each for each in context.histories if each[1] > each[2]]
    assert not broken, broken


@then("some window has more calls than the quota and its tolerance")
def step_check_broken(context):
    broken = [each for each in context.histories if each[1] > each[2]]
    assert broken, context.histories


@given(
    "{size:d} daemons and a quota of {rate:g} calls a second with a burst of {burst:g}"
)
def step_set_quota(context, size, rate, burst):
    context.size, context.quota = size, Quota(rate, burst)


@when("callers send as many calls as the quota permits, a tenth of which are not run")
def step_send_permitted(context):
    async def scenario(fleet):
        rate = context.quota.calls_per_s
        # Messages take up to 8 ms more or less, in which calls accrue.
        level = capacity = max(1.0, context.quota.burst_calls - 0.02 * rate)
        tasks = []

        def send_one(entry):
            tasks.append(fleet.spawn(fleet.call(entry, given_back=0.1)))

        for _ in range(20):
            # Steady calls make one entry get calls in advance; then another needs all.
            busy, other = fleet.random.sample(list(fleet.daemons), 2)
            for _ in range(max(1, int(rate))):
                await asyncio.sleep(1 / rate + 0.02 / int(rate + 1))
                level = min(capacity, level + 1) - 1
                send_one(busy)
            calls = int(level)
            level -= calls
            for _ in range(calls):
                send_one(other)
            pause_s = fleet.random.uniform(0.3, 1.0) * capacity / rate
            await asyncio.sleep(pause_s + 0.02)
            level = min(capacity, level + pause_s * rate)
        await asyncio.gather(*tasks)

    run(context, scenario)


@then("all calls are accepted")
def step_check_accepted(context):
    results = dict(context.quotas.results)
    assert results and set(results) <= {"accepted", "given_back"}, results


@when("a call is accepted but not run, and repeated 100 ms later through another entry")
def step_repeat(context):
    async def scenario(fleet):
        first, second = (
            (each for each in list(fleet.daemons)[:3] if each != fleet.keeper_name())
            if fleet.keeper_name() in list(fleet.daemons)[:3]
            else list(fleet.daemons)[:2]
        )
        grant = await fleet.daemons[first].client.acquire(
            ACCOUNT, Deadline.after_ms(60_000)
        )
        grant.give_back()
        await asyncio.sleep(0.1)
        await fleet.call(second)

    run(context, scenario)


@when(
    "the keeper is killed and callers send {rate:d} calls a second for {duration_s:d} s"
)
def step_kill(context, rate, duration_s):
    async def scenario(fleet):
        keeper = fleet.keeper_name()
        await send(fleet, rate, 1, list(fleet.daemons))
        fleet.kill(keeper)
        entries = [name for name in fleet.daemons if name != keeper]
        await send(fleet, rate, duration_s, entries)

    run(context, scenario)


@when(
    "the keeper is frozen and callers send {rate:d} calls a second for {duration_s:d} s"
)
def step_freeze(context, rate, duration_s):
    run(context, lambda fleet: freeze_and_send(fleet, 1, rate, duration_s))


@when(
    "the keeper and its backup are frozen and callers send {rate:d} calls a second for "
    "{duration_s:d} s"
)
def step_freeze_both(context, rate, duration_s):
    run(context, lambda fleet: freeze_and_send(fleet, 2, rate, duration_s))


async def freeze_and_send(fleet, count, rate, duration_s):
    frozen = [fleet.keeper_name(), fleet.backup_name()][:count]
    for name in frozen:
        fleet.freeze(name)
    started_at_s = fleet.loop.time()
    entries = [name for name in fleet.daemons if name not in frozen]
    await send(fleet, rate, duration_s, entries)
    fleet.took_s = fleet.loop.time() - started_at_s - duration_s


@when(
    "an entry that does not reach {unreachable} gets {rate:d} calls a second for "
    "{duration_s:d} s"
)
def step_send_by_relay(context, unreachable, rate, duration_s):
    async def scenario(fleet):
        ranked = [fleet.keeper_name(), fleet.backup_name()]
        entry = next(name for name in fleet.daemons if name not in ranked)
        for lost in ranked if "backup" in unreachable else ranked[:1]:
            fleet.blocked.add((entry, lost))
        await send(fleet, rate, duration_s, [entry])

    run(context, scenario)


@then("all calls end as {reason} within {limit_ms:d} ms")
def step_check_undecided(context, reason, limit_ms):
    assert set(context.quotas.results) == {reason}, context.quotas.results
    assert context.quotas.took_s <= limit_ms / 1000, context.quotas.took_s


@then("{low:d} to {high:d} calls are accepted")
def step_check_count(context, low, high):
    results = context.quotas.results
    assert low <= results["accepted"] <= high, results


def name_of_next_keeper(fleet):
    """Return a name for a daemon that joins and becomes the keeper."""
    view = fleet.daemons[fleet.keeper_name()].view
    names = (f"j{index}" for index in range(99))
    return next(name for name in names if view.outranks(name, ACCOUNT))


@when(
    "callers send {rate:d} calls a second and a daemon joins that cannot reach the "
    "keeper"
)
def step_join_apart(context, rate):
    async def scenario(fleet):
        names, former = list(fleet.daemons), fleet.keeper_name()
        joiner = name_of_next_keeper(fleet)
        calls = fleet.spawn(send(fleet, rate, 8, names))
        await asyncio.sleep(2)
        fleet.blocked.add((joiner, former))
        fleet.join(joiner)
        calls_of_joiner = fleet.spawn(send(fleet, rate, 6, [joiner]))
        await asyncio.sleep(2)  # until other daemons have told the former keeper
        fleet.daemons[former].members.merge(fleet.daemons[joiner].members.own)
        await asyncio.gather(calls, calls_of_joiner)
        context.buckets = [
            fleet.daemons[name].keeper.bucket_count for name in (former, joiner)
        ]
        context.over = most_over(fleet.calls, context.quota, 5.0)

    run(context, scenario)


@then("both have granted calls, within the quota and its tolerance")
def step_check_both(context):
    assert context.buckets == [1, 1], context.buckets
    tolerated = context.quotas.tolerance.total_calls(context.quota)
    assert 0 < context.over <= tolerated, (context.over, tolerated)


async def use_up_twice(context, fleet, change):
    """Use up the burst, change the keeper, and try to use up another burst."""
    names = [name for name in fleet.daemons if name != fleet.keeper_name()]
    await asyncio.gather(*(fleet.call(names[0]) for _ in range(70)))
    fleet.results.clear()
    pause = change()
    if pause is not None:
        await pause
    await asyncio.sleep(fleet.gossip_s)
    accrued = context.quota.calls_per_s * fleet.gossip_s
    await asyncio.gather(*(fleet.call(names[0]) for _ in range(70)))
    context.beyond = fleet.results["accepted"] - accrued
    keeper = fleet.daemons[names[0]].view.rank(ACCOUNT)[0]
    context.keeper = fleet.daemons[keeper].keeper.describe(ACCOUNT)


@when("callers use up the burst and a daemon joins that becomes the keeper")
def step_join(context):
    async def scenario(fleet):
        joiner = name_of_next_keeper(fleet)
        await use_up_twice(context, fleet, lambda: fleet.join(joiner))
        assert fleet.keeper_name() == joiner

    run(context, scenario)


@when("callers use up the burst and the keeper drains")
def step_drain(context):
    async def scenario(fleet):
        keeper = fleet.keeper_name()
        await use_up_twice(context, fleet, lambda: fleet.drain(keeper))
        assert fleet.keeper_name() != keeper

    run(context, scenario)


@when("callers use up the burst and the keeper {event} for {pause_s:g} s")
def step_pause(context, event, pause_s):
    async def pause(fleet):
        keeper = fleet.keeper_name()
        begin, end = {
            "is frozen": (fleet.freeze, fleet.thaw),
            "is killed": (fleet.kill, fleet.restart),
        }[event]
        begin(keeper)
        await asyncio.sleep(pause_s)
        end(keeper)

    run(context, lambda fleet: use_up_twice(context, fleet, lambda: pause(fleet)))


@when("a call is given back while its entry waits {wait_ms:d} ms for another one")
def step_give_back_meanwhile(context, wait_ms):
    async def scenario(fleet):
        keeper = fleet.keeper_name()
        entry = next(name for name in fleet.daemons if name != keeper)
        client, deadline = fleet.daemons[entry].client, Deadline.after_ms(60_000)
        grant = await client.acquire(ACCOUNT, deadline)
        ask = fleet._ask

        async def ask_slowly(*args):
            await asyncio.sleep(wait_ms / 1000)
            return await ask(*args)

        with patch.object(fleet, "_ask", ask_slowly):
            waiting = fleet.spawn(client.acquire(ACCOUNT, deadline))
            await asyncio.sleep(0.01)
            grant.give_back()
            await waiting
            await asyncio.sleep(1)
        context.level = fleet.daemons[keeper].keeper.describe(ACCOUNT)["level_calls"]

    run(context, scenario)


@then("the keeper has {low:g} to {high:g} calls left")
def step_check_level(context, low, high):
    assert low <= context.level <= high, context.level


@when("the keeper is replaced while it is frozen, and gets a call as it continues")
def step_call_as_it_continues(context):
    async def scenario(fleet):
        former = fleet.keeper_name()
        others = [name for name in fleet.daemons if name != former]
        await fleet.call(former)
        fleet.freeze(former)
        await send(fleet, context.quota.calls_per_s, 8, others)
        # It has not heard yet that it was replaced, nor the others that it is back.
        fleet.daemons[former].stopped = ""
        request = peer_pb2.QuotaRequest(account=ACCOUNT, wanted_calls=1, entry=former)
        reply = await fleet.daemons[former].service.acquire(request)
        context.verdict = reply.verdict

    run(context, scenario)


@when("all daemons drain and {count:d} calls are sent")
def step_drain_all(context, count):
    async def scenario(fleet):
        for name in fleet.daemons:
            fleet.drain(name)
        await asyncio.sleep(1)
        await asyncio.gather(*(fleet.call("d0") for _ in range(count)))

    run(context, scenario)


@then("at most {count:d} calls of a second burst are accepted")
def step_check_burst(context, count):
    assert context.beyond <= count, context.beyond


@then(
    "at most {count:d} calls of a second burst are accepted, and the new daemon is the "
    "keeper"
)
def step_check_join(context, count):
    assert context.beyond <= count, context.beyond
    assert context.keeper, "the new daemon has the bucket"


@when(
    "callers send {rate:d} calls a second for {duration_s:d} s, and after {after_s:d} "
    "s the quota becomes {lower:d}"
)
def step_lower(context, rate, duration_s, after_s, lower):
    async def scenario(fleet):
        names = list(fleet.daemons)
        await send(fleet, rate, after_s, names)
        fleet.quota = Quota(lower, lower)
        fleet.changed_at_s = fleet.loop.time()
        await send(fleet, rate, duration_s - after_s, names)

    run(context, scenario)


@then("a second after the change at most {count:d} call a second is accepted")
def step_check_lower(context, count):
    since_s = context.quotas.changed_at_s + 1
    late = [sent for sent, _, _ in context.quotas.calls if sent >= since_s]
    assert 1 <= len(late) <= 1 + 6 * count, late


@when(
    "the keeper knows no quota and has revision {held:d}, and an entry with revision "
    "{known:d} asks"
)
def step_ask_without_quota(context, held, known):
    async def scenario(fleet):
        keeper = fleet.daemons[fleet.keeper_name()].keeper
        keeper._find_quota, keeper._revision = lambda account: None, lambda: held
        request = peer_pb2.QuotaRequest(account=ACCOUNT, settings_revision=known)
        context.verdict = keeper.acquire(request).verdict

    run(context, scenario)


@then("the verdict is {verdict}")
def step_check_verdict(context, verdict):
    name = f"QUOTA_VERDICT_{verdict.upper()}"
    assert context.verdict == peer_pb2.QuotaVerdict.Value(name), context.verdict


@when("{count:d} calls are sent at once")
def step_send_at_once(context, count):
    async def scenario(fleet):
        names = list(fleet.daemons)
        deadline = Deadline.after_ms(60_000)
        context.results = await asyncio.gather(
            *(
                fleet.daemons[names[0]].client.acquire(ACCOUNT, deadline)
                for _ in range(count)
            )
        )

    run(context, scenario)


@then("{accepted:d} are accepted, and the others return after {delays} ms")
def step_check_delays(context, accepted, delays):
    refused = [each for each in context.results if isinstance(each, NotRun)]
    assert len(context.results) - len(refused) == accepted, context.results
    assert {reason_name(each) for each in refused} == {"over_quota"}, refused
    found = sorted(each.retry_after_ms for each in refused)
    expected = list(map(int, delays.split()))
    assert len(found) == len(expected)
    assert all(abs(a - b) <= 20 for a, b in zip(found, expected, strict=True)), found


@given("an account with the smallest rate and a burst of 1")
def step_smallest_rate(context):
    account = settings_pb2.ClientAccount(calls_per_s=5e-324, burst_calls=1)
    context.size, context.quota = 3, quota_of(account)


@then("{accepted:d} is accepted, and the others return after a day")
def step_check_day(context, accepted):
    refused = [each for each in context.results if isinstance(each, NotRun)]
    assert len(context.results) - len(refused) == accepted, context.results
    assert {reason_name(each) for each in refused} == {"over_quota"}, refused
    delays = [each.retry_after_ms for each in refused]
    assert all(86_400_000 <= each < 86_405_000 for each in delays), delays


@when(
    "an entry that is not the keeper gets {rate:d} calls a second for {duration_s:d} s"
)
def step_send_to_one(context, rate, duration_s):
    async def scenario(fleet):
        entry = next(name for name in fleet.daemons if name != fleet.keeper_name())
        await send(fleet, rate, duration_s, [entry])

    run(context, scenario)


@then("they took at most {count:d} messages")
def step_check_messages(context, count):
    assert context.quotas.messages <= count, context.quotas.messages
