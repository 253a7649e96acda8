import asyncio
import random
from bisect import bisect_right

from behave import given, then, when

from bench.model.virtualtime import run_in_virtual_time
from laburnumscale.confirmationrequests import ConfirmationRequests
from laburnumscale.deadlines import now_s
from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import gossip_pb2, settings_pb2

APPLY_LIMIT_MS = 2000
RUN_S = 20.0
REPLY_DELAY_S = 0.005
#: Age of the confirmation of a reader that reads the log as lead readers do.
READER_AGE_MS = 700
REPLY = gossip_pb2.DATAGRAM_KIND_CONFIRMATION


def new_feed(revision=1):
    feed = SettingsFeed(Metrics(), apply_limit_ms=APPLY_LIMIT_MS)
    feed.restore(settings_pb2.Snapshot(revision=revision))
    feed.mark_tree_complete()
    return feed


class GrowingLog:
    """A log whose newest revision rises at random times."""

    def __init__(self, rng):
        self._rng = rng
        self.revision = 1
        self._written_at_s = [now_s()]

    async def write_forever(self):
        while True:
            await asyncio.sleep(self._rng.expovariate(2.0))
            self.revision += 1
            self._written_at_s.append(now_s())

    def revision_at(self, at_s):
        return bisect_right(self._written_at_s, at_s)


async def read_forever(feed, log, rng):
    """Read the log; the request and the response take their time."""
    while True:
        await asyncio.sleep(rng.uniform(0.0, 0.7))
        started_at_s = now_s()
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        revision = log.revision
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        feed.restore(settings_pb2.Snapshot(revision=revision))
        feed.confirm_at(started_at_s)
        feed.notify_waiters()


async def deliver(rng, handle):
    """Lose, delay or double a message."""
    if rng.random() < 0.2:
        return
    for _ in range(1 + (rng.random() < 0.2)):
        await asyncio.sleep(rng.uniform(0.0, 0.4))
        handle()


async def ask_forever(feed, readers, rng, check):
    requests = ConfirmationRequests(feed, lambda: list(readers), Metrics())

    async def exchange(request):
        datagram = gossip_pb2.Datagram(sequence=request.sequence)
        reader_feed = readers[request.address]

        def reply():
            reply = ConfirmationRequests(
                reader_feed, lambda: [], Metrics()
            ).handle_request(datagram)
            reply.settings_revision = reader_feed.tree.revision
            tasks.append(asyncio.ensure_future(deliver(rng, lambda: receive(reply))))

        await deliver(rng, reply)

    def receive(reply):
        requests.handle_reply(reply)
        check()
        if reply.settings_revision > feed.tree.revision:
            tasks.append(asyncio.ensure_future(fetch(reply.settings_revision)))

    async def fetch(revision):
        await asyncio.sleep(rng.uniform(0.0, 0.5))
        feed.restore(settings_pb2.Snapshot(revision=revision))
        feed.notify_waiters()
        check()

    tasks = []
    while True:
        await asyncio.sleep(max(0.01, requests.delay_s()))
        request = requests.next_request()
        if request is not None:
            tasks.append(asyncio.ensure_future(exchange(request)))


async def run_fleet(seed):
    """Return how many confirmations were checked, and those that are too young."""
    rng = random.Random(seed)
    log = GrowingLog(rng)
    readers = {name: new_feed() for name in ("r1", "r2")}
    daemons = [new_feed() for _ in range(3)]
    checked, wrong = [], []

    def check():
        for feed in (*readers.values(), *daemons):
            confirmed_at_s = feed.confirmation.confirmed_at_s
            if confirmed_at_s is None:
                continue
            checked.append(confirmed_at_s)
            if log.revision_at(confirmed_at_s) > feed.tree.revision:
                wrong.append((seed, confirmed_at_s, feed.tree.revision))

    tasks = [log.write_forever()]
    tasks += [read_forever(feed, log, rng) for feed in readers.values()]
    tasks += [ask_forever(feed, readers, rng, check) for feed in daemons]
    running = [asyncio.ensure_future(task) for task in tasks]
    await asyncio.sleep(RUN_S)
    failed = [task.exception() for task in running if task.done()]
    assert not failed, failed
    return len(checked), wrong


@given("a log whose revision rises at random, with readers that read it late")
@given("daemons that ask the readers by datagrams that are lost, delayed and doubled")
def step_describe_fleet(context):
    """The fleet is created by the step that runs it, once for each seed."""


@then(
    "no daemon takes settings for the newest of a time when newer ones existed, "
    "with seeds {first:d} to {last:d}"
)
def step_run_fleets(context, first, last):
    for seed in range(first, last + 1):
        checked, wrong = run_in_virtual_time(lambda seed=seed: run_fleet(seed))
        assert checked > 0, seed
        assert not wrong, wrong[:3]


@given("a daemon with {count:d} readers, of which only the last replies")
def step_one_replies(context, count):
    context.readers = [f"r{index}" for index in range(count)]
    context.reply_ages_ms = {context.readers[-1]: lambda: READER_AGE_MS}


@given("a daemon with {count:d} readers whose own confirmations grow old")
def step_readers_grow_old(context, count):
    context.readers = [f"r{index}" for index in range(count)]

    def age_ms():
        return round((now_s() - context.started_at_s) * 1000) + READER_AGE_MS

    context.reply_ages_ms = dict.fromkeys(context.readers, age_ms)


def run_daemon(context, duration_s):
    """Run a daemon; record its requests and its valid samples in the context."""

    async def run():
        context.started_at_s = now_s()
        feed = new_feed()
        feed.confirm_at(now_s())
        requests = ConfirmationRequests(feed, lambda: context.readers, Metrics())
        context.requests, context.valid = [], []

        def reply(request, age_ms):
            requests.handle_reply(
                gossip_pb2.Datagram(
                    kind=REPLY,
                    sequence=request.sequence,
                    sender_address=request.address,
                    settings_revision=1,
                    confirmed_age_ms=age_ms,
                )
            )

        while now_s() - context.started_at_s < duration_s:
            await asyncio.sleep(max(0.01, min(0.1, requests.delay_s())))
            context.valid.append(feed.confirmation.is_valid())
            request = requests.next_request()
            if request is None:
                continue
            context.requests.append(now_s())
            age_ms = context.reply_ages_ms.get(request.address)
            if age_ms is not None:
                loop = asyncio.get_running_loop()
                loop.call_later(REPLY_DELAY_S, reply, request, age_ms())

    run_in_virtual_time(run)


@then("its confirmation is valid for {duration_s:d} s without interruption")
def step_check_valid(context, duration_s):
    run_daemon(context, duration_s)
    assert context.valid, "no sample"
    assert all(context.valid), context.valid.index(False)


@then("it sends at most {limit:d} requests a second")
def step_check_rate(context, limit):
    run_daemon(context, RUN_S)
    assert 0 < len(context.requests) <= limit * RUN_S, len(context.requests)


@then("its confirmation is not renewed")
def step_check_not_renewed(context):
    assert context.valid[-1] is False, context.valid[-5:]


@when("it gets a confirmation with an unknown number, one without an age and one twice")
def step_unasked_replies(context):
    async def run():
        feed = new_feed()
        requests = ConfirmationRequests(feed, lambda: context.readers, Metrics())
        unknown = gossip_pb2.Datagram(sequence=77, confirmed_age_ms=0)
        requests.handle_reply(unknown)
        request = requests.next_request()
        requests.handle_reply(gossip_pb2.Datagram(sequence=request.sequence))
        await asyncio.sleep(1.0)
        request = requests.next_request()
        late = gossip_pb2.Datagram(sequence=request.sequence, confirmed_age_ms=5000)
        requests.handle_reply(late)
        late.confirmed_age_ms = 0
        requests.handle_reply(late)
        context.valid = [feed.confirmation.is_valid()]

    run_in_virtual_time(run)
