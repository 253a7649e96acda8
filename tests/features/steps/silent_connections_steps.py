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


@attrs.define
class SentCall:
    """A call of the load.

    :ivar sent_s: time of its sending, from the start of the load.
    :ivar took_s: its latency.
    """

    sent_s: float
    status: int = 0
    took_s: float = math.inf


async def send_call(session, url, number, call, started_at_s):
    method, path = ("GET", "/lookup/a") if number % 2 else ("POST", "/hold/a")
    headers = {
        "Host": HOST,
        "X-Attempt-Id": uuid.uuid4().hex[:16],
        "X-Deadline-Ms": "1900",
    }
    try:
        async with session.request(
            method, url + path, headers=headers, data=b"{}" if number % 2 == 0 else None
        ) as response:
            await response.read()
            call.status = response.status
    except (aiohttp.ClientError, TimeoutError):
        call.status = 0
    call.took_s = now_s() - started_at_s - call.sent_s


async def send_load(context, url, rate_per_s, cut_s, cut):
    calls, tasks = [], []
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(timeout=timeout, connector=connector) as session:
        started_at_s = now_s()
        is_cut = False
        for number in range(round(LOAD_S * rate_per_s)):
            due_s = number / rate_per_s
            await asyncio.sleep(max(0.0, started_at_s + due_s - now_s()))
            if due_s >= cut_s and not is_cut:
                is_cut = True
                await asyncio.to_thread(cut)
                context.cut_s = now_s() - started_at_s
            call = SentCall(now_s() - started_at_s)
            calls.append(call)
            tasks.append(
                asyncio.ensure_future(
                    send_call(session, url, number, call, started_at_s)
                )
            )
        await asyncio.gather(*tasks)
    return calls


@when(
    "clients of {daemon} send lookups and holds at {rate_per_s:d} a second, "
    "and its connections to peers fall silent after {cut_s:d} s"
)
def step_send_load(context, daemon, rate_per_s, cut_s):
    def cut():
        for name, link in context.fleet.links.items():
            if name.startswith(f"{daemon}>"):
                link.faults(forward={"silence": True}, backward={"silence": True})

    url = context.fleet.daemons[daemon].callers
    calls = asyncio.run(send_load(context, url, rate_per_s, cut_s, cut))
    context.before = [c for c in calls if c.sent_s < context.cut_s - IN_FLIGHT_S]
    context.after = [c for c in calls if c.sent_s >= context.cut_s - IN_FLIGHT_S]


@then("at most 1 in {share:d} calls after the cut is not answered with 200")
def step_check_failures(context, share):
    statuses = Counter(call.status for call in context.after)
    failed = statuses.total() - statuses[STATUS_OK]
    assert failed <= statuses.total() / share, statuses


@then(
    "the slowest call after the cut takes at most {limit_ms:d} ms longer than the "
    "slowest before"
)
def step_check_slowest(context, limit_ms):
    before_s = max(call.took_s for call in context.before)
    after_s = max(call.took_s for call in context.after)
    assert after_s - before_s <= limit_ms / 1000, (before_s, after_s)


@then(
    "the median of the calls in the second after the cut is at most {limit_ms:d} ms "
    "longer"
)
def step_check_median(context, limit_ms):
    before_s = median(call.took_s for call in context.before)
    after_s = median(c.took_s for c in context.after if c.sent_s < context.cut_s + 1)
    assert after_s - before_s <= limit_ms / 1000, (before_s, after_s)


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
