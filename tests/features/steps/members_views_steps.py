import random
from collections import Counter
from functools import reduce

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies

from laburnumscale.memberentries import (
    ALIVE,
    DEAD,
    GONE,
    LEFT,
    SUSPECT,
    identity,
    includes,
    merge_entries,
    merge_update,
    without_endpoints,
)
from laburnumscale.members import Members
from laburnumscale.updatequeue import UpdateQueue, send_limit
from laburnumscale_schema import gossip_pb2, peer_pb2

EXAMPLES = 300
GROUP_SIZE = 40
FILLERS = 40
ENDPOINTS = ("e1", "e2", "e3")
ACTIONS = ("announce", "withdraw", "refute", "drain", "restart")
JUDGEMENTS = (ALIVE, SUSPECT, DEAD)


def new_member(name="d1", incarnation=1, address="127.0.0.1:1"):
    return peer_pb2.Member(
        daemon=name,
        incarnation=incarnation,
        version=1,
        peer_address=address,
        data_centre="makati",
        state=ALIVE,
    )


class History:
    """Entries that others may hold of one daemon, over several processes of it."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.own = Members(new_member())
        self.entries = [self.full()]
        self.own.on_change(self.heard)

    def full(self):
        copy = peer_pb2.Member()
        copy.CopyFrom(self.own.own)
        return copy

    def heard(self, news):
        self.entries.append(news)
        judged = without_endpoints(news)
        judged.state = self.random.choice(JUDGEMENTS)
        self.entries.append(judged)
        if self.random.random() < 0.5:
            self.entries.append(self.full())

    def act(self, action):
        own = self.own
        listed = {each.endpoint: each for each in own.own.endpoints}
        endpoint = self.random.choice(ENDPOINTS)
        if action == "announce":
            slots = self.random.randint(1, 9)
            listed[endpoint] = peer_pb2.Endpoint(
                service="slot-desk", endpoint=endpoint, slots=slots
            )
            own.set_endpoints([_fresh(each) for each in listed.values()])
        elif action == "withdraw":
            listed.pop(endpoint, None)
            own.set_endpoints([_fresh(each) for each in listed.values()])
        elif action == "refute":
            claim = without_endpoints(own.own)
            claim.state = SUSPECT
            own.merge(claim)
        elif action == "drain":
            own.set_draining()
        else:
            self.own = Members(new_member(incarnation=own.own.incarnation + 1))
            self.entries.append(self.full())
            self.own.on_change(self.heard)


def _fresh(endpoint):
    copy = peer_pb2.Endpoint()
    copy.CopyFrom(endpoint)
    return copy


def histories():
    return strategies.builds(
        _history,
        strategies.integers(min_value=0, max_value=2**32),
        strategies.lists(strategies.sampled_from(ACTIONS), max_size=12),
    )


def _history(seed, actions):
    history = History(seed)
    for action in actions:
        history.act(action)
    return history


def joined(entries):
    return reduce(merge_entries, entries)


def canonical(entry):
    return merge_entries(entry, entry)


@when("entries from {count:d} random histories of a daemon are joined in two orders")
def step_orders(context, count):
    context.checked = 0

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        entries = history.entries
        first, second, third = (shuffler.choice(entries) for _ in range(3))
        assert merge_entries(first, second) == merge_entries(second, first)
        nested = merge_entries(first, merge_entries(second, third))
        assert merge_entries(merge_entries(first, second), third) == nested
        assert merge_update(canonical(first), second) == merge_entries(first, second)
        if includes(first, second):
            assert merge_entries(first, second) == canonical(first)
        assert merge_entries(canonical(first), first) == canonical(first)
        shuffled = list(entries)
        shuffler.shuffle(shuffled)
        assert canonical(joined(shuffled)) == canonical(joined(entries))
        context.checked += 1

    check()


@then("joining was commutative, associative and idempotent")
def step_checked(context):
    print(f"checked {context.checked} histories")
    assert context.checked >= EXAMPLES, context.checked


@when("{count:d} random histories end with a full entry that comes first or last")
def step_full(context, count):
    context.checked = 0

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        entries = [*history.entries, history.full()]
        shuffler.shuffle(entries)
        view = joined(entries)
        assert identity(view) == identity(history.own.own)
        wanted = sorted(history.own.own.endpoints, key=lambda each: each.endpoint)
        assert [each for each in view.endpoints if each.state != GONE] == wanted
        context.checked += 1

    check()


@then("every joined view has the endpoints of the daemon")
def step_full_checked(context):
    assert context.checked >= EXAMPLES, context.checked


@when("a table hears random entries of a daemon after its last word")
def step_late(context):
    context.tables = []

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        table = Members(new_member("observer", address="127.0.0.1:2"))
        history.own.set_left()
        table.merge(history.full())
        late = list(history.entries)
        shuffler.shuffle(late)
        for entry in late:
            table.merge(entry)
        context.tables.append(table)

    check()


@then("the daemon stays gone in the table")
def step_stays_gone(context):
    assert len(context.tables) >= EXAMPLES
    for table in context.tables:
        assert table.get("d1").state == LEFT
        assert not table.endpoints("slot-desk")


@when("random queues of updates are emptied by datagrams of {limit:d} bytes")
def step_queues(context, limit):
    context.sizes = []
    context.limit_bytes = limit

    @settings(max_examples=EXAMPLES, derandomize=True, deadline=None, database=None)
    @for_all(strategies.lists(histories(), min_size=1, max_size=8))
    def check(several):
        queue = UpdateQueue()
        wanted = {(f"filler{index}", "") for index in range(FILLERS)}
        for name, _ in sorted(wanted):
            queue.add(new_member(name))
        for index, history in enumerate(several):
            news = without_endpoints(history.full())
            news.daemon = f"d{index}"
            news.endpoints.extend(history.own.own.endpoints)
            queue.add(news)
            wanted |= {(news.daemon, each.endpoint) for each in news.endpoints}
            if not news.endpoints:
                wanted.add((news.daemon, ""))
        sent = Counter()
        while updates := queue.take_batch(limit, GROUP_SIZE):
            context.sizes.append(gossip_pb2.Datagram(updates=updates).ByteSize())
            for update in updates:
                names = [each.endpoint for each in update.endpoints] or [""]
                sent.update((update.daemon, name) for name in names)
        assert sent == dict.fromkeys(wanted, send_limit(GROUP_SIZE)), sent

    check()


@then("no datagram was larger and each update went out as often as it should")
def step_queue_sizes(context):
    assert context.sizes
    assert max(context.sizes) <= context.limit_bytes, max(context.sizes)


@given("a queue with an entry of {size:d} bytes and {count:d} small ones")
def step_large_entry(context, size, count):
    large = new_member("large")
    while large.ByteSize() < size:
        large.key_homes.add(daemon=f"d{len(large.key_homes)}", incarnation=1)
    context.queue = UpdateQueue()
    context.queue.add(large)
    for index in range(count):
        context.queue.add(new_member(f"d{index}"))


@when("the queue is emptied by datagrams of {limit:d} bytes")
def step_empty(context, limit):
    context.sent = Counter()
    while updates := context.queue.take_batch(limit, GROUP_SIZE):
        context.sent.update(update.daemon for update in updates)


@then("the {count:d} small entries went out as often as they should")
def step_small_sent(context, count):
    names = [f"d{index}" for index in range(count)]
    wanted = dict.fromkeys(names, send_limit(GROUP_SIZE))
    assert context.sent == wanted, context.sent
