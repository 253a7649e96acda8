import asyncio
import itertools
import json
import random
from collections import Counter

import attrs
from behave import given, then, when
from hypothesis import given as for_all, settings, strategies

from laburnumscale.addresses import Address
from laburnumscale.callfingerprint import FINGERPRINT_BYTES, call_fingerprint
from laburnumscale.deadlines import Deadline
from laburnumscale.localtarget import LocalTarget
from laburnumscale.metrics import Metrics
from laburnumscale.quarantine import Quarantine
from laburnumscale.suspectcall import SuspectCall
from laburnumscale.suspectqueue import SuspectQueue
from laburnumscale.targetends import TargetEnds
from laburnumscale_schema import peer_pb2
from tests.standins.fleet import PortBlock, wait_until

EXAMPLE_COUNT = 300
CALLER_SERVICE = "x-caller-service"
MAX_EXCHANGED = 64
DATAGRAM_BYTES = 700
HEAD = peer_pb2.CallHead(service="slot-desk", method="GET", path_and_query="/lookup")


def fingerprint_of(name):
    return name.encode().ljust(FINGERPRINT_BYTES, b"-")


@given("the quarantines of {count:d} daemons")
def step_create_quarantines(context, count):
    context.quarantines = [Quarantine(Metrics()) for _ in range(count)]
    context.target_ends = itertools.count(1)


@when("a target ends under call {name} at daemon {number:d}")
def step_target_ends(context, name, number):
    quarantine = context.quarantines[number - 1]
    end = next(context.target_ends)
    quarantine.record_target_end(fingerprint_of(name), end, HEAD)


@when(
    "daemon {number:d} is told of a call under which a target ended, with {left_ms:d} "
    "ms until it expires"
)
def step_merge_expiring(context, number, left_ms):
    context.queue = SuspectQueue()
    quarantine = context.quarantines[number - 1]
    quarantine.on_change(context.queue.add)
    quarantine.merge(
        peer_pb2.SuspectCall(
            fingerprint=fingerprint_of("a"), target_ends=[1], expires_in_ms=left_ms
        )
    )


@then("daemon {number:d} passes {count:d} records on")
def step_check_passed_on(context, number, count):
    batch = context.queue.take_batch(DATAGRAM_BYTES, 2)
    assert len(batch) == count, batch


@when("{count:d} targets end under call {name} at daemon {number:d}")
def step_targets_end(context, count, name, number):
    for _ in range(count):
        step_target_ends(context, name, number)


@when("one target ends under call {name} twice at daemon {number:d}")
def step_same_target_ends(context, name, number):
    end = next(context.target_ends)
    for _ in range(2):
        context.quarantines[number - 1].record_target_end(
            fingerprint_of(name), end, HEAD
        )


@when("a target ends under each of {count:d} other calls at daemon {number:d}")
def step_other_calls(context, count, number):
    for index in range(count):
        step_target_ends(context, f"other-{index}", number)


@when("the daemons tell each other of suspect calls")
def step_exchange(context):
    for _ in range(2):
        for sender, receiver in itertools.permutations(context.quarantines, 2):
            for message in sender.messages(MAX_EXCHANGED):
                receiver.merge(message)


@when("daemon {number:d} gets a good answer to call {name}")
def step_good_answer(context, number, name):
    context.quarantines[number - 1].record_answer(fingerprint_of(name))


@when("an operator releases call {name} at daemon {number:d}")
def step_release(context, name, number):
    assert context.quarantines[number - 1].release(fingerprint_of(name))


@when("the refusal of call {name} runs out")
def step_refusal_runs_out(context, name):
    for quarantine in context.quarantines:
        suspects = quarantine._suspects
        known = suspects[fingerprint_of(name)]
        suspects[known.fingerprint] = attrs.evolve(
            known, refusal_deadline=Deadline.after_ms(0)
        )


@then("no daemon refuses call {name}")
def step_not_refused(context, name):
    for quarantine in context.quarantines:
        assert not quarantine.refused_for_ms(fingerprint_of(name))


@then("no daemon sends call {name} to a second target")
def step_no_retry(context, name):
    for quarantine in context.quarantines:
        assert not quarantine.allows_retry(fingerprint_of(name))


@then("all daemons refuse call {name} for at least {limit_ms:d} ms")
def step_all_refuse(context, name, limit_ms):
    for quarantine in context.quarantines:
        refused_for_ms = quarantine.refused_for_ms(fingerprint_of(name))
        assert refused_for_ms >= limit_ms, refused_for_ms


@then("daemon {number:d} refuses call {name}")
def step_refuses(context, number, name):
    assert context.quarantines[number - 1].refused_for_ms(fingerprint_of(name))


@then("the daemons know {count:d} end of a target under call {name}")
def step_known_ends(context, count, name):
    for quarantine in context.quarantines:
        suspects = {each.fingerprint: each for each in quarantine.suspects()}
        assert len(suspects[fingerprint_of(name)].target_ends) == count


@then("daemon {number:d} knows at most {count:d} suspect calls")
def step_bounded(context, number, count):
    assert len(context.quarantines[number - 1].suspects()) <= count


@then(
    "its messages to another daemon hold at most {count:d} calls, call {name} among "
    "them"
)
def step_bounded_messages(context, count, name):
    messages = context.quarantines[0].messages(count)
    assert len(messages) <= count
    assert fingerprint_of(name) in {each.fingerprint for each in messages}


@then("daemons that merge the same records in any order hold the same record")
def step_merge_in_any_order(context):
    record = strategies.builds(
        lambda generation, ends: SuspectCall(
            fingerprint=fingerprint_of("p"),
            generation=generation,
            target_ends=tuple(sorted(ends))[-3:],
            expiry_deadline=Deadline.after_ms(100_000),
            refusal_deadline=Deadline.after_ms(0),
        ),
        strategies.integers(0, 2),
        strategies.sets(strategies.integers(1, 6), max_size=3),
    )

    @settings(max_examples=EXAMPLE_COUNT, deadline=None, derandomize=True)
    @for_all(strategies.lists(record, min_size=1, max_size=6), strategies.randoms())
    def check(records, rng):
        results = set()
        for _ in range(2):
            shuffled = rng.sample(records, len(records))
            quarantine = Quarantine(Metrics())
            for each in shuffled:
                quarantine.merge(each.message())
            known = quarantine._suspects[fingerprint_of("p")]
            results.add((known.generation, known.target_ends))
        assert len(results) == 1, results

    check()


@then("two calls that differ only in their {part} have {relation} fingerprints")
def step_compare_fingerprints(context, part, relation):
    def fingerprint(**changes):
        headers = {
            "X-Caller-Service": "proof-vault",
            "Authorization": "Bearer one",
            "Accept": "text/plain",
            **changes.pop("headers", {}),
        }
        body = changes.pop("body", b"{}")
        fields = {
            "service": "slot-desk",
            "method": "POST",
            "path_and_query": "/hold?a=1",
            "request_id": "r1",
            "time_left_ms": 1000,
            "route": 7,
            **changes,
        }
        head = peer_pb2.CallHead(
            headers=[
                peer_pb2.Header(name=name, value=value)
                for name, value in headers.items()
            ],
            **fields,
        )
        return call_fingerprint(head, body, CALLER_SERVICE)

    other = {
        "request id": {"request_id": "r2"},
        "time left": {"time_left_ms": 900},
        "other header": {"headers": {"Accept": "*/*"}},
        "path": {"path_and_query": "/hold?a=2"},
        "method": {"method": "PUT"},
        "body": {"body": b"{ }"},
        "caller service": {"headers": {"X-Caller-Service": "slot-desk"}},
        "credentials": {"headers": {"Authorization": "Bearer two"}},
        "route": {"route": 8},
    }[part]
    assert (fingerprint() == fingerprint(**other)) == (relation == "equal")


@given("a target address that {behaviour}")
def step_target_address(context, behaviour):
    context.behaviour = behaviour
    context.ports = PortBlock()
    context.add_cleanup(context.ports.close)


@then("the check of the target finds {verdict}")
def step_check_target(context, verdict):
    found = asyncio.run(check_target(context.behaviour, context.ports.ports[0]))
    assert bool(found) == (verdict == "an end"), found


async def check_target(behaviour, port):
    address = Address("127.0.0.1", port)
    state = peer_pb2.TARGET_STATE_READY
    if behaviour == "refuses while it drains":
        state = peer_pb2.TARGET_STATE_DRAINING
    target = LocalTarget(
        "slot-desk", "e1", address, 5, state, Deadline.after_ms(10_000)
    )
    server = None

    async def handle(reader, writer):
        if behaviour == "accepts and closes at first":
            server.close()
            writer.close()
            return
        await reader.read(1)
        writer.close()

    if behaviour.startswith("accepts"):
        server = await asyncio.start_server(handle, address.host, address.port)
    ends = TargetEnds()
    first, second = await asyncio.gather(ends.find_end(target), ends.find_end(target))
    assert first == second
    if server is not None:
        server.close()
    return first


@given("a queue of suspect calls with {count:d} calls")
def step_queue(context, count):
    context.queue = SuspectQueue()
    quarantine = Quarantine(Metrics())
    quarantine.on_change(context.queue.add)
    for index in range(count):
        quarantine.record_target_end(
            fingerprint_of(f"call-{index}"), random.getrandbits(60), HEAD
        )


@when("a call under which {count:d} targets ended is added to the queue")
def step_add_harmful_call(context, count):
    quarantine = Quarantine(Metrics())
    quarantine.on_change(context.queue.add)
    for end in range(count):
        quarantine.record_target_end(fingerprint_of("harmful"), end + 1, HEAD)


@then("it is in the next {count:d} datagrams of {limit_bytes:d} bytes")
def step_harmful_call_first(context, count, limit_bytes):
    for _ in range(count):
        batch = context.queue.take_batch(limit_bytes, group_size=99)
        assert fingerprint_of("harmful") in {each.fingerprint for each in batch}


@when("datagrams for a group of {count:d} daemons are filled until the queue is empty")
def step_fill_datagrams(context, count):
    context.batches = []
    while len(context.queue):
        context.batches.append(context.queue.take_batch(DATAGRAM_BYTES, count))


@then(
    "each call was sent {count:d} times and no datagram holds more than {limit:d} "
    "bytes of calls"
)
def step_check_batches(context, count, limit):
    sends = Counter(each.fingerprint for batch in context.batches for each in batch)
    assert set(sends.values()) == {count}, sends
    for batch in context.batches:
        assert sum(each.ByteSize() for each in batch) <= limit


@given('two targets of {service} beside {daemon} end on "{text}"')
def step_start_ending_targets(context, service, daemon, text):
    path = context.fleet.directory / "arrivals.jsonl"
    for endpoint in ("e1", "e2"):
        context.fleet.start_target(
            service, endpoint, daemon, crash_on=text, arrivals_file=path
        )


def shown_calls(context, daemon):
    completed = context.fleet.run_cli(daemon, "quarantine", "--json")
    assert completed.returncode == 0, completed
    return json.loads(completed.stdout)["calls"]


@then(
    "within {limit_s:d} s the quarantines of {daemons} show {count:d} end of a target "
    "for {path}"
)
def step_shown_everywhere(context, limit_s, daemons, count, path):
    expected = [(path, count)]

    def is_shown(daemon):
        calls = shown_calls(context, daemon)
        context.shown = calls
        return [(each["path"], each["target_ends"]) for each in calls] == expected

    wait_until(
        lambda: all(is_shown(daemon) for daemon in daemons.split(", ")),
        "all daemons show the call",
        limit_s,
    )


@when("an operator releases that call at {daemon}")
def step_release_by_command(context, daemon):
    fingerprint = context.shown[0]["fingerprint"]
    completed = context.fleet.run_cli(daemon, "release", fingerprint)
    assert completed.returncode == 0, completed


@then("within {limit_s:d} s the quarantines of {daemons} show no call")
def step_none_shown(context, limit_s, daemons):
    wait_until(
        lambda: not any(shown_calls(context, each) for each in daemons.split(", ")),
        "no daemon shows a call",
        limit_s,
    )
