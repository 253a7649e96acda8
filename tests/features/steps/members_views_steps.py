import asyncio
import random
from collections import Counter
from functools import reduce

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies

from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.memberentries import (
    ALIVE,
    DEAD,
    GONE,
    LEFT,
    SUSPECT,
    identity,
    includes,
    merge_entries,
    merge_with_canonical,
    without_endpoints,
)
from laburnumscale.members import Members
from laburnumscale.merger import EntryMerger
from laburnumscale.metrics import Metrics
from laburnumscale.peersampling import sample_peers, shuffled_probe_order
from laburnumscale.tableexchange import TableExchange
from laburnumscale.updatequeue import UpdateQueue, send_limit
from laburnumscale_schema import gossip_pb2, peer_pb2

EXAMPLE_COUNT = 300
GROUP_SIZE = 40
FILLER_COUNT = 40
ENDPOINTS = ("e1", "e2", "e3")
ACTIONS = ("announce", "withdraw", "refute", "drain", "restart")
CLAIMABLE_STATES = (ALIVE, SUSPECT, DEAD)


def new_member(name="d1", incarnation=1, address="127.0.0.1:1"):
    return peer_pb2.Member(
        daemon=name,
        incarnation=incarnation,
        version=1,
        peer_address=address,
        data_centre="makati",
        state=ALIVE,
    )


class DaemonHistory:
    """Entries of one daemon that its peers may hold, across restarts of the daemon."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.table = Members(new_member())
        self.entries = [self.full_entry()]
        self.table.on_change(self.record_update)

    def full_entry(self):
        copy = peer_pb2.Member()
        copy.CopyFrom(self.table.own)
        return copy

    def record_update(self, update):
        self.entries.append(update)
        claimed = without_endpoints(update)
        claimed.state = self.random.choice(CLAIMABLE_STATES)
        self.entries.append(claimed)
        if self.random.random() < 0.5:
            self.entries.append(self.full_entry())

    def apply(self, action):
        table = self.table
        listed = {each.endpoint: each for each in table.own.endpoints}
        endpoint = self.random.choice(ENDPOINTS)
        if action == "announce":
            slots = self.random.randint(1, 9)
            listed[endpoint] = peer_pb2.Endpoint(
                service="slot-desk", endpoint=endpoint, slots=slots
            )
            table.set_endpoints([_copy_endpoint(each) for each in listed.values()])
        elif action == "withdraw":
            listed.pop(endpoint, None)
            table.set_endpoints([_copy_endpoint(each) for each in listed.values()])
        elif action == "refute":
            claim = without_endpoints(table.own)
            claim.state = SUSPECT
            table.merge(claim)
        elif action == "drain":
            table.set_draining()
        else:
            self.table = Members(new_member(incarnation=table.own.incarnation + 1))
            self.entries.append(self.full_entry())
            self.table.on_change(self.record_update)


def _copy_endpoint(endpoint):
    copy = peer_pb2.Endpoint()
    copy.CopyFrom(endpoint)
    return copy


def histories():
    return strategies.builds(
        _build_history,
        strategies.integers(min_value=0, max_value=2**32),
        strategies.lists(strategies.sampled_from(ACTIONS), max_size=12),
    )


def _build_history(seed, actions):
    history = DaemonHistory(seed)
    for action in actions:
        history.apply(action)
    return history


def merge_all(entries):
    return reduce(merge_entries, entries)


def canonical(entry):
    return merge_entries(entry, entry)


@when("entries from {count:d} random histories of a daemon are merged in two orders")
def step_merge_in_two_orders(context, count):
    context.checked_count = 0

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        entries = history.entries
        first, second, third = (shuffler.choice(entries) for _ in range(3))
        assert merge_entries(first, second) == merge_entries(second, first)
        nested = merge_entries(first, merge_entries(second, third))
        assert merge_entries(merge_entries(first, second), third) == nested
        assert merge_with_canonical(canonical(first), second) == merge_entries(
            first, second
        )
        if includes(first, second):
            assert merge_entries(first, second) == canonical(first)
        assert merge_entries(canonical(first), first) == canonical(first)
        shuffled = list(entries)
        shuffler.shuffle(shuffled)
        assert canonical(merge_all(shuffled)) == canonical(merge_all(entries))
        context.checked_count += 1

    check()


@then("merging was commutative, associative and idempotent")
def step_check_merge_properties(context):
    print(f"checked {context.checked_count} histories")
    assert context.checked_count >= EXAMPLE_COUNT, context.checked_count


@when("{count:d} random histories and their last full entry are merged in random order")
def step_merge_with_full_entry(context, count):
    context.checked_count = 0

    @settings(max_examples=count, derandomize=True, deadline=None, database=None)
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        entries = [*history.entries, history.full_entry()]
        shuffler.shuffle(entries)
        view = merge_all(entries)
        assert identity(view) == identity(history.table.own)
        expected = sorted(history.table.own.endpoints, key=lambda each: each.endpoint)
        assert [each for each in view.endpoints if each.state != GONE] == expected
        context.checked_count += 1

    check()


@then("every merged view has the endpoints of the daemon")
def step_check_endpoints(context):
    assert context.checked_count >= EXAMPLE_COUNT, context.checked_count


@when("a table that lists a daemon as left merges random entries of it")
def step_merge_after_leave(context):
    context.tables = []

    @settings(
        max_examples=EXAMPLE_COUNT, derandomize=True, deadline=None, database=None
    )
    @for_all(histories(), strategies.randoms(use_true_random=False))
    def check(history, shuffler):
        table = Members(new_member("observer", address="127.0.0.1:2"))
        history.table.set_left()
        table.merge(history.full_entry())
        late_entries = list(history.entries)
        shuffler.shuffle(late_entries)
        for entry in late_entries:
            table.merge(entry)
        context.tables.append(table)

    check()


@then("the daemon stays listed as left in the table")
def step_check_left_in_table(context):
    assert len(context.tables) >= EXAMPLE_COUNT
    for table in context.tables:
        assert table.get("d1").state == LEFT
        assert not table.endpoints("slot-desk")


@when("random queues of updates are drained into datagrams of at most {limit:d} bytes")
def step_drain_random_queues(context, limit):
    context.sizes_bytes = []
    context.limit_bytes = limit

    @settings(
        max_examples=EXAMPLE_COUNT, derandomize=True, deadline=None, database=None
    )
    @for_all(strategies.lists(histories(), min_size=1, max_size=8))
    def check(member_histories):
        queue = UpdateQueue()
        expected = {(f"filler{index}", "") for index in range(FILLER_COUNT)}
        for name, _ in sorted(expected):
            queue.add(new_member(name))
        for index, history in enumerate(member_histories):
            entry = without_endpoints(history.full_entry())
            entry.daemon = f"d{index}"
            entry.endpoints.extend(history.table.own.endpoints)
            queue.add(entry)
            expected |= {(entry.daemon, each.endpoint) for each in entry.endpoints}
            if not entry.endpoints:
                expected.add((entry.daemon, ""))
        sent = Counter()
        while updates := queue.take_batch(limit, GROUP_SIZE):
            context.sizes_bytes.append(gossip_pb2.Datagram(updates=updates).ByteSize())
            for update in updates:
                names = [each.endpoint for each in update.endpoints] or [""]
                sent.update((update.daemon, name) for name in names)
        assert sent == dict.fromkeys(expected, send_limit(GROUP_SIZE)), sent

    check()


@then("no datagram was larger and each update was sent as often as required")
def step_check_datagram_sizes(context):
    assert context.sizes_bytes
    assert max(context.sizes_bytes) <= context.limit_bytes, max(context.sizes_bytes)


@given("a queue with an entry of {size:d} bytes and {count:d} small ones")
def step_queue_large_entry(context, size, count):
    large = new_member("large")
    while large.ByteSize() < size:
        large.key_homes.add(daemon=f"d{len(large.key_homes)}", incarnation=1)
    context.queue = UpdateQueue()
    context.queue.add(large)
    for index in range(count):
        context.queue.add(new_member(f"d{index}"))


@when("the queue is drained into datagrams of at most {limit:d} bytes")
def step_drain_queue(context, limit):
    context.sent_counts = Counter()
    while updates := context.queue.take_batch(limit, GROUP_SIZE):
        context.sent_counts.update(update.daemon for update in updates)


@then("the {count:d} small entries were sent as often as required")
def step_check_small_entries_sent(context, count):
    names = [f"d{index}" for index in range(count)]
    expected = dict.fromkeys(names, send_limit(GROUP_SIZE))
    assert context.sent_counts == expected, context.sent_counts


def add_peers(members, count, data_centre, first=0):
    for index in range(first, first + count):
        peer = new_member(f"{data_centre}-{index}", address=f"127.0.0.1:{1000 + index}")
        peer.data_centre = data_centre
        members.merge(peer)


@given("a daemon with {local:d} peers in its data centre and {remote:d} in others")
def step_create_sampled_table(context, local, remote):
    context.member_table = Members(new_member("own"))
    add_peers(context.member_table, local, "makati")
    add_peers(context.member_table, remote // 2, "pasig", first=100)
    add_peers(context.member_table, remote - remote // 2, "quezon", first=200)


@when("it samples {count:d} peers for gossip {times:d} times")
def step_sample_peers(context, count, times):
    random.seed(1)
    context.samples = [sample_peers(context.member_table, count) for _ in range(times)]


@then("between {low:d} and {high:d} percent of them are in other data centres")
def step_check_remote_share(context, low, high):
    sampled = [peer for sample in context.samples for peer in sample]
    remote = sum(peer.data_centre != "makati" for peer in sampled)
    assert low <= 100 * remote / len(sampled) <= high, remote / len(sampled)


@then("each sample has {count:d} different peers")
def step_check_sample_sizes(context, count):
    sizes = {len({peer.daemon for peer in sample}) for sample in context.samples}
    assert sizes == {count}, sizes


@then("a round of probes covers all {count:d} peers")
def step_check_all_probed(context, count):
    assert len(set(shuffled_probe_order(context.member_table))) == count


@then("each round of probes covers its {local:d} peers and {remote:d} others")
def step_check_probe_round(context, local, remote):
    for _ in range(50):
        names = shuffled_probe_order(context.member_table)
        local_names = {name for name in names if name.startswith("makati")}
        assert len(local_names) == local, names
        assert len(names) - local in (remote, remote + 1), names


@given("two tables of {count:d} members that differ in one entry")
def step_create_tables(context, count):
    context.tables = [Members(new_member("own-a")), Members(new_member("own-b"))]
    for table in context.tables:
        add_peers(table, count - 2, "pasig")
        table.merge(new_member("own-b" if table is context.tables[0] else "own-a"))
    add_peers(context.tables[1], 1, "quezon", first=9000)


@when("the first daemon exchanges tables with the second")
def step_exchange_tables(context):
    first, second = (
        TableExchange(
            table,
            EntryMerger(table, lambda peer: None, Metrics()),
            None,
            Metrics(),
            FleetNotices.create(Metrics()),
        )
        for table in context.tables
    )
    context.exchange_requests = []

    class Stub:
        async def ExchangeMembers(self, request, **options):  # noqa: N802
            context.exchange_requests.append(request)
            return second.handle_request(request)

    asyncio.run(first._run_exchange(Stub(), announce_self=True))


@then("both tables are equal")
def step_check_tables_equal(context):
    digests = [table.digests() for table in context.tables]
    assert digests[0] == digests[1]


@then("the first request has {count:d} digests")
def step_check_digest_count(context, count):
    assert len(context.exchange_requests[0].bucket_digests) == count
