import random
from types import SimpleNamespace
from unittest.mock import patch

from behave import given, then, when

from laburnumscale import latencyreports, loadtable
from laburnumscale.targetlimit import TargetLimit
from laburnumscale_schema import peer_pb2
from tests.features.steps.target_limit_decisions_steps import SEED, use_clock
from tests.standins.routingentry import SERVICE, RoutingEntry

ROUTE = 7
LIMITED = "e0"
US_PER_MS = 1000
LATENCY_US = 5_000


class LimitedService:
    """A service one of whose targets names a limit, and all entries of its fleet.

    Each daemon but one has a target beside it. Calls take no time: their latencies,
    which grow with the number of their target, are only reported.

    :ivar admitted_s: times at which the limited target got a call.
    :ivar refused: calls that its guard refused because of the limit.
    """

    def __init__(self, clock, count, limit, limited_latency_us, data_centres=1) -> None:
        self.clock = clock
        self.limit = TargetLimit()
        self.limit.record_response(limit, clock.now_s)
        self.entries = [RoutingEntry() for _ in range(count)]
        for entry in self.entries:
            for index in range(count - 1):
                entry.merge(index, data_centres)
        self.admitted_s = []
        self.refused = 0
        self._limited_latency_us = limited_latency_us

    def call(self, entry) -> None:
        """Make one call: until a target answers it."""
        tried = set()
        while (
            view := entry.router.pick(SERVICE, tried, True, route=ROUTE)
        ) is not None:
            tried.add(view.endpoint)
            head = peer_pb2.CallHead(service=SERVICE, route=ROUTE)
            entry.router.fill_call_head(head, view)
            attempt = entry.router.start_attempt(view, ROUTE)
            reply = self._run(view)
            attempt.record_reply(reply)
            attempt.record_end()
            if not reply.HasField("not_run"):
                return

    def _run(self, view):
        if view.endpoint != LIMITED:
            latency_ms = (3 + int(view.endpoint[1:])) * random.uniform(0.8, 1.2)
            latency_us = int(latency_ms * US_PER_MS)
            return peer_pb2.CallReply(load=peer_pb2.LoadReport(latency_us=latency_us))
        notice = peer_pb2.TargetNotice(calls_per_s=self.limit.calls_per_s)
        load = peer_pb2.LoadReport(latency_us=self._limited_latency_us, notice=notice)
        if self.limit.try_acquire():
            self.admitted_s.append(self.clock.now_s)
            return peer_pb2.CallReply(load=load)
        self.refused += 1
        not_run = peer_pb2.NotRunReply(
            reason=peer_pb2.NOT_RUN_REASON_OVERLOADED,
            retry_after_ms=self.limit.retry_after_ms(),
        )
        return peer_pb2.CallReply(load=load, not_run=not_run)


@given(
    "{count:d} entries whose service has a target with a limit of {limit:g} calls a "
    "second and a latency of {latency_ms:d} ms"
)
def step_create_service(context, count, limit, latency_ms):
    create_service(context, count, limit, latency_ms * US_PER_MS)


@given(
    "{count:d} entries in {data_centres:d} data centres whose service has a target "
    "with a limit of {limit:g} calls a second"
)
def step_create_spread_service(context, count, data_centres, limit):
    create_service(context, count, limit, LATENCY_US, data_centres)


def create_service(context, count, limit, latency_us, data_centres=1):
    use_clock(context)
    time = SimpleNamespace(monotonic=context.clock)
    for module in (latencyreports, loadtable):
        patcher = patch.object(module, "time", time)
        patcher.start()
        context.add_cleanup(patcher.stop)
    random.seed(SEED)
    context.service = LimitedService(
        context.clock, count, limit, latency_us, data_centres
    )


@when("each entry has {rate:d} calls a second at random times for {duration_s:d} s")
def step_call(context, rate, duration_s):
    call_at_rate(context, context.service.entries, rate, duration_s)


@when(
    "each of the {count:d} entries near it has {rate:d} calls a second at random times "
    "for {duration_s:d} s"
)
def step_call_nearby(context, count, rate, duration_s):
    call_at_rate(context, context.service.entries[:count], rate, duration_s)


def call_at_rate(context, entries, rate, duration_s):
    seeded = random.Random(SEED)
    context.started_at_s = context.clock.now_s
    while context.clock.now_s < context.started_at_s + duration_s:
        context.clock.now_s += seeded.expovariate(rate * len(entries))
        context.service.call(seeded.choice(entries))
    context.admitted_s = context.service.admitted_s


@then("they chose the limited target at least {least:d} times")
def step_check_chosen(context, least):
    chosen = len(context.service.admitted_s) + context.service.refused
    assert chosen >= least, chosen


@then("its guard refused at most {most:d} calls")
def step_check_refused(context, most):
    assert context.service.refused <= most, context.service.refused
