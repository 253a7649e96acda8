import asyncio
import math
import uuid
from collections import Counter
from statistics import median

import aiohttp
import attrs
from behave import then, when

from laburnumscale.deadlines import now_s
from tests.features.steps.platform_steps import HOST

LOAD_S = 6.0
CALL_TIMEOUT_S = 5.0
#: Calls that were sent so shortly before the cut may be in flight when it comes.
IN_FLIGHT_S = 0.2
STATUS_OK = 200


SMALL_BYTES = 1_000
LARGE_BYTES = 1_000_000  # too large to be sent again


@attrs.frozen
class CallKind:
    """A kind of calls.

    :ivar path: path of the request, which names the route.
    :ivar size_bytes: size of the body of the request; None to send a GET.
    """

    path: str
    size_bytes: int | None = None


LOOKUP = CallKind("/lookup/a")
HOLD = CallKind("/hold/a", 2)
SMALL_LOOKUP = CallKind("/lookup/small", SMALL_BYTES)
SMALL_HOLD = CallKind("/hold/small", SMALL_BYTES)
LARGE_LOOKUP = CallKind("/lookup/large", LARGE_BYTES)
LARGE_HOLD = CallKind("/hold/large", LARGE_BYTES)
DOWNLOAD = CallKind(f"/proof/large?bytes={LARGE_BYTES}")
ALL_SIZES = (
    *(SMALL_LOOKUP, SMALL_HOLD, LARGE_LOOKUP),
    *(SMALL_LOOKUP, SMALL_HOLD, LARGE_HOLD),
    *(SMALL_LOOKUP, SMALL_HOLD, DOWNLOAD),
    SMALL_LOOKUP,
)


@attrs.define
class SentCall:
    """A call of the load.

    :ivar daemon: daemon of its client.
    :ivar attempt_id: its ID, which its targets record.
    :ivar sent_s: time of its sending, from the start of the load.
    :ivar status: HTTP status; 0 without a complete answer.
    :ivar took_s: its latency.
    """

    daemon: str
    kind: CallKind
    sent_s: float
    attempt_id: str = attrs.field(factory=lambda: uuid.uuid4().hex[:16])
    status: int = 0
    took_s: float = math.inf
    answer: bytes = b""

    def describe(self):
        """Return what became of the call, for the message of a failed check."""
        return (
            f"{self.kind.path} of {self.daemon} {self.attempt_id}: {self.status} "
            f"sent at {self.sent_s:.3f} s, took {self.took_s * 1000:.0f} ms, "
            f"{self.answer[:200]!r}"
        )


async def send_call(session, url, call, started_at_s):
    headers = {
        "Host": HOST,
        "X-Attempt-Id": call.attempt_id,
        "X-Deadline-Ms": "1900",
    }
    size_bytes = call.kind.size_bytes
    method = "GET" if size_bytes is None else "POST"
    body = None if size_bytes is None else b"x" * size_bytes
    try:
        async with session.request(
            method, url + call.kind.path, headers=headers, data=body
        ) as response:
            call.answer = await response.read()
            call.status = response.status
    except (aiohttp.ClientError, TimeoutError) as error:
        call.answer = repr(error).encode()
    call.took_s = now_s() - started_at_s - call.sent_s


async def send_load(context, sources, kinds, rate_per_s, cuts_s, cut):
    """Send calls of the kinds in turn, at a rate at each of the daemons.

    :param cuts_s: times of the cuts, from the start of the load.
    """
    calls, tasks = [], []
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        started_at_s = now_s()
        waiting_s = list(cuts_s)
        context.cuts_s = []
        for number in range(round(LOAD_S * rate_per_s * len(sources))):
            due_s = number / (rate_per_s * len(sources))
            await asyncio.sleep(max(0.0, started_at_s + due_s - now_s()))
            if waiting_s and due_s >= waiting_s[0]:
                del waiting_s[0]
                await asyncio.to_thread(cut)
                context.cuts_s.append(now_s() - started_at_s)
            daemon = sources[number % len(sources)]
            kind = kinds[number // len(sources) % len(kinds)]
            call = SentCall(daemon, kind, now_s() - started_at_s)
            calls.append(call)
            url = context.fleet.daemons[daemon].callers
            sending = send_call(session, url, call, started_at_s)
            tasks.append(asyncio.ensure_future(sending))
        await asyncio.gather(*tasks)
    return calls


def silence_links(context, is_cut):
    for name, link in context.fleet.links.items():
        if is_cut(name):
            link.faults(forward={"silence": True}, backward={"silence": True})


def sort_calls(context, calls):
    context.cut_s = context.cuts_s[0]
    context.before = [c for c in calls if c.sent_s < context.cut_s - IN_FLIGHT_S]
    context.after = [c for c in calls if c.sent_s >= context.cut_s - IN_FLIGHT_S]


@when(
    "clients of {daemon} send lookups and holds at {rate_per_s:d} a second, "
    "and its connections to peers fall silent after {cut_s:d} s"
)
def step_send_load(context, daemon, rate_per_s, cut_s):
    def cut():
        silence_links(context, lambda name: name.startswith(f"{daemon}>"))

    loading = send_load(context, [daemon], (HOLD, LOOKUP), rate_per_s, [cut_s], cut)
    sort_calls(context, asyncio.run(loading))


@when(
    "clients of {daemon} send lookups and holds at {rate_per_s:d} a second, "
    "and its connections to peers fall silent after {first_s:d} s and again after "
    "{second_s:d} s"
)
def step_send_load_with_two_cuts(context, daemon, rate_per_s, first_s, second_s):
    def cut():
        silence_links(context, lambda name: name.startswith(f"{daemon}>"))

    cuts_s = [first_s, second_s]
    loading = send_load(context, [daemon], (HOLD, LOOKUP), rate_per_s, cuts_s, cut)
    sort_calls(context, asyncio.run(loading))


@when(
    "clients of each daemon send calls of all sizes at {rate_per_s:d} a second, "
    "and the connections from and to {daemon} fall silent after {cut_s:d} s"
)
def step_send_load_of_all_sizes(context, daemon, rate_per_s, cut_s):
    def cut():
        silence_links(context, lambda name: daemon in name.split(">")[:2])

    sources = list(context.fleet.daemons)
    loading = send_load(context, sources, ALL_SIZES, rate_per_s, [cut_s], cut)
    sort_calls(context, asyncio.run(loading))


@then("at most 1 in {share:d} calls after the cut is not answered with 200")
def step_check_failures(context, share):
    statuses = Counter(call.status for call in context.after)
    failed = statuses.total() - statuses[STATUS_OK]
    descriptions = [c.describe() for c in context.after if c.status != STATUS_OK]
    assert failed <= statuses.total() / share, (
        f"{statuses}, cuts at {context.cuts_s} s\n" + "\n".join(descriptions)
    )


@then(
    "the slowest call after the cut takes at most {limit_ms:d} ms longer than the "
    "slowest before"
)
def step_check_slowest(context, limit_ms):
    before_s = max(call.took_s for call in context.before)
    late = [c for c in context.after if c.took_s - before_s > limit_ms / 1000]
    assert not late, (
        f"cuts at {context.cuts_s} s, slowest before it {before_s * 1000:.0f} ms\n"
        + "\n".join(call.describe() for call in late)
    )


@then(
    "the median of the calls in the second after the cut is at most {limit_ms:d} ms "
    "longer"
)
def step_check_median(context, limit_ms):
    before_s = median(call.took_s for call in context.before)
    for cut_s in context.cuts_s:
        soon = [c for c in context.after if cut_s - IN_FLIGHT_S <= c.sent_s < cut_s + 1]
        after_s = median(call.took_s for call in soon)
        assert after_s - before_s <= limit_ms / 1000, (cut_s, before_s, after_s)


def of_kind(calls, kind):
    return [call for call in calls if call.kind == kind]


@then(
    "the slowest call of each size after the cut takes at most {limit_ms:d} ms longer "
    "than the slowest before"
)
def step_check_slowest_of_each(context, limit_ms):
    late = []
    for kind in dict.fromkeys(ALL_SIZES):
        before_s = max(call.took_s for call in of_kind(context.before, kind))
        late += [
            f"{call.describe()} after {before_s * 1000:.0f} ms"
            for call in of_kind(context.after, kind)
            if call.took_s - before_s > limit_ms / 1000
        ]
    assert not late, f"cut at {context.cut_s:.3f} s\n" + "\n".join(late)


@then(
    "the median of the calls of each size in the second after the cut is at most "
    "{limit_ms:d} ms longer"
)
def step_check_median_of_each(context, limit_ms):
    soon = [call for call in context.after if call.sent_s < context.cut_s + 1]
    late = {}
    for kind in dict.fromkeys(ALL_SIZES):
        before_s = median(call.took_s for call in of_kind(context.before, kind))
        after_s = median(call.took_s for call in of_kind(soon, kind))
        if after_s - before_s > limit_ms / 1000:
            late[kind.path] = (before_s, after_s)
    assert not late, late


@then("no hold has run twice")
def step_check_holds(context):
    runs = Counter(
        entry["id"]
        for target in context.fleet.targets.values()
        for entry in target.ledger()
        if entry["method"] == "POST"
    )
    twice = {name: count for name, count in runs.items() if count > 1}
    assert not twice, twice
