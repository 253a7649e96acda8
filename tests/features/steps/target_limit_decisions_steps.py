import random
from unittest.mock import patch

from behave import given, then, when

from laburnumscale import deadlines, ratelimit, targetlimit, targetnotices
from laburnumscale.endpointindex import EndpointView
from laburnumscale.targetlimit import TargetLimit, parse_rate
from laburnumscale.targetnotices import TargetNotices
from laburnumscale_schema import peer_pb2

START_S = 1000.0
WINDOW_S = 4.0
SEED = 5


class Clock:
    """Time that a test sets."""

    def __init__(self):
        self.now_s = START_S

    def __call__(self):
        return self.now_s


def use_clock(context):
    context.clock = Clock()
    for module in (deadlines, ratelimit, targetlimit, targetnotices):
        patcher = patch.object(module, "now_s", context.clock)
        patcher.start()
        context.add_cleanup(patcher.stop)


def limited_view(verdict_version, names_limit):
    return EndpointView(
        service="slot-desk",
        endpoint="e1",
        slots=5,
        state=peer_pb2.TARGET_STATE_READY,
        ejected=False,
        daemon="d1",
        incarnation=1,
        peer_address="d1:1",
        data_centre="makati",
        verdict_version=verdict_version,
        names_limit=names_limit,
    )


@given("a guard whose target names a limit of {limit:g} calls a second")
def step_create_limit(context, limit):
    use_clock(context)
    context.limit = TargetLimit()
    context.limit.record_response(limit, context.clock.now_s)


@given("a guard that has heard no response of its target")
def step_create_new_limit(context):
    use_clock(context)
    context.limit = TargetLimit()


@when("{rate:d} calls a second arrive at random times for {duration_s:d} s")
def step_send_calls(context, rate, duration_s):
    seeded = random.Random(SEED)
    context.admitted_s, context.retry_after_ms = [], []
    while context.clock.now_s < START_S + duration_s:
        context.clock.now_s += seeded.expovariate(rate)
        if context.limit.try_acquire():
            context.admitted_s.append(context.clock.now_s)
        else:
            context.retry_after_ms.append(context.limit.retry_after_ms())


@then("at most {most:d} calls are admitted in any 4 s")
def step_check_windows(context, most):
    times_s = context.admitted_s
    counts = [sum(e - WINDOW_S < t <= e for t in times_s) for e in times_s]
    assert max(counts) <= most, max(counts)


@then("at least {least:d} calls are admitted")
def step_check_admitted(context, least):
    assert len(context.admitted_s) >= least, len(context.admitted_s)


@then("each refused call is told to return within {retry_ms:d} ms")
def step_check_retry(context, retry_ms):
    assert 0 < max(context.retry_after_ms) <= retry_ms, max(context.retry_after_ms)


@when("a call is admitted after 1 s and refused before it is sent")
def step_release(context):
    context.clock.now_s += 1
    assert context.limit.try_acquire()
    assert not context.limit.try_acquire()
    context.limit.release()


@then("the next call is admitted at once")
def step_check_next(context):
    assert context.limit.try_acquire()


@when("a response names no limit whose request was sent {when} the limit was named")
def step_record_response(context, when):
    named_at_s = context.clock.now_s
    context.clock.now_s += 1
    sent_at_s = named_at_s + (0.5 if when == "after" else -0.5)
    context.limit.record_response(None, sent_at_s)


@when("an entry repeats a limit of {limit:g} calls a second with its attempt")
def step_adopt(context, limit):
    context.limit.adopt(limit)


@then("the limit is still {limit:g} calls a second")
def step_check_limit(context, limit):
    assert context.limit.calls_per_s == limit, context.limit


@then("there is no limit")
def step_check_no_limit(context):
    assert context.limit.calls_per_s is None, context.limit


@given(
    "{count:d} entries that know that a target names a limit of {limit:g} calls a "
    "second"
)
def step_create_entries(context, count, limit):
    use_clock(context)
    random.seed(SEED)
    context.view = limited_view(2, names_limit=True)
    notice = peer_pb2.TargetNotice(calls_per_s=limit)
    report = peer_pb2.LoadReport(verdict_version=2, notice=notice)
    context.entries = [TargetNotices() for _ in range(count)]
    for entry in context.entries:
        entry.record(context.view, report, count)


@when("each of them chooses a target for {rate:d} calls a second for {duration_s:d} s")
def step_choose(context, rate, duration_s):
    context.chosen = 0
    for _ in range(rate * duration_s):
        context.clock.now_s += 1 / rate
        for entry in context.entries:
            if not entry.is_limited(context.view):
                entry.record_start(context.view, len(context.entries))
                context.chosen += 1


@then("they choose the limited target between {least:d} and {most:d} times")
def step_check_chosen(context, least, most):
    assert least <= context.chosen <= most, context.chosen


@when("the guard publishes a later verdict without a limit")
def step_publish_end(context):
    context.view = limited_view(3, names_limit=False)


@then("the entry does not treat the target as limited")
def step_check_not_limited(context):
    assert not context.entries[0].is_limited(context.view)


@then("the entry repeats no limit with its attempts")
def step_check_no_notice(context):
    assert context.entries[0].get(context.view) is None


@then('a response that names "{text}" has the rate {rate}')
def step_check_rate(context, text, rate):
    assert str(parse_rate(text)) == rate, parse_rate(text)


@then('a response that names "" has the rate None')
def step_check_empty_rate(context):
    assert parse_rate("") is None
