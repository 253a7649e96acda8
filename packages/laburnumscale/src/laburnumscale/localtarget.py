"""Local target.

The state of one target on the daemon's own host.
"""

import itertools
import time

import attrs

from laburnumscale.addresses import Address
from laburnumscale.concurrencylimit import ConcurrencyLimit
from laburnumscale.costqueue import CostQueue
from laburnumscale.deadlines import Deadline
from laburnumscale.routelatencies import RouteLatencies
from laburnumscale.slotqueue import SlotQueue
from laburnumscale.targetlimit import TargetLimit
from laburnumscale_schema import peer_pb2

__all__ = ["NO_DOUBT", "LocalTarget"]

NO_DOUBT = Deadline(0.0)

#: One more slot opens after each step, about half the duration of a call in the known
#: workloads.
SLOW_START_STEP_S = 0.2
WARM_UP_S = 3.0
MAX_PROBATION_MS = 5_000  # as long as a bad call keeps a target in doubt
SLOT_TIME_WEIGHT = 0.1

#: Source of the verdict versions, which increase throughout the process.
VERDICT_VERSIONS = itertools.count(1)


@attrs.define(eq=False)
class LocalTarget:
    """One target on the daemon's own host.

    :ivar lease_deadline: when the announcement lapses.
    :ivar late_deadline: until when an announcement that looks outdated may be late.
    :ivar announced_us: Unix time of its registration here, in microseconds; later
        than its registration at any other daemon.
    :ivar started_at_unix_ms: start time of its process; 0 if its announcements lack
        it.
    :ivar sequence: number of its latest announcement; 0 if announcements are not
        numbered.
    :ivar drained_by_operator: an operator drains it; its own announcements do not
        undo that.
    :ivar withdrawn: it was removed, or replaced by a new registration.
    :ivar running: number of calls that hold a slot.
    :ivar queue: calls that wait for a slot.
    :ivar latency_us: average latency of its calls; 0 before the first one.
    :ivar route_latencies: average latency of the calls of each route.
    :ivar limit: the rate of calls that the target names.
    :ivar says_leaving: whether it has said in a response that it leaves.
    :ivar concurrency: how many calls it can run at a time, as its guard has learned.
    :ivar slot_time_us: average time for which a call holds a slot; 0 before the
        first one.
    :ivar late_calls: number of its running calls that take unusually long.
    :ivar doubt_deadline: until when its latest bad calls leave it in doubt.
    :ivar successes_needed: calls in a row that it must answer before it is out of doubt
        after its start or an ejection.
    :ivar successes: calls that it has answered in a row since then.
    :ivar probation_deadline: until when it is in doubt for lack of successes.
    :ivar severity_percent: ratio of bad calls while it is ejected, in percent.
    :ivar verdict_version: increases with each verdict of the guard.
    :ivar on_trial: it returns from an ejection and takes one call at a time.
    :ivar slow_start_at_s: monotonic time at which it started, or returned to
        service.
    """

    service: str
    endpoint: str
    address: Address
    slots: int
    state: int
    lease_deadline: Deadline
    late_deadline: Deadline = NO_DOUBT
    announced_us: int = 0
    started_at_unix_ms: int = 0
    sequence: int = 0
    drained_by_operator: bool = False
    withdrawn: bool = False
    running: int = 0
    latency_us: int = 0
    route_latencies: RouteLatencies = attrs.field(factory=RouteLatencies)
    limit: TargetLimit = attrs.field(factory=TargetLimit)
    says_leaving: bool = False
    concurrency: ConcurrencyLimit = attrs.field(factory=ConcurrencyLimit)
    slot_time_us: float = 0.0
    late_calls: int = 0
    doubt_deadline: Deadline = NO_DOUBT
    successes_needed: int = 0
    successes: int = 0
    probation_deadline: Deadline = NO_DOUBT
    ejected: bool = False
    severity_percent: int = 0
    verdict_version: int = attrs.field(factory=VERDICT_VERSIONS.__next__)
    on_trial: bool = False
    slow_start_at_s: float = attrs.field(factory=time.monotonic)
    queue: SlotQueue | CostQueue = attrs.field(factory=SlotQueue)

    def message(self) -> peer_pb2.Endpoint:
        """Return the endpoint as it is published to other daemons."""
        return peer_pb2.Endpoint(
            service=self.service,
            endpoint=self.endpoint,
            slots=self.slots,
            state=self.state,
            announced_us=self.announced_us,
            ejected=self.ejected,
            verdict_version=self.verdict_version,
            severity_percent=self.severity_percent,
            on_trial=self.on_trial,
            names_limit=self.limit.calls_per_s is not None,
        )

    def notice(self) -> peer_pb2.TargetNotice | None:
        """Return what the target says of itself in its responses; None if nothing."""
        if self.limit.calls_per_s is None and not self.says_leaving:
            return None
        return peer_pb2.TargetNotice(
            started_at_unix_ms=self.started_at_unix_ms,
            calls_per_s=self.limit.calls_per_s,
            leaving=self.says_leaving,
        )

    def load(self, route: int = 0) -> peer_pb2.LoadReport:
        """Return the load report that is attached to replies.

        :param route: hash of the route whose latency is reported.
        """
        return peer_pb2.LoadReport(
            running=self.running,
            queued=len(self.queue),
            ejected=self.ejected,
            latency_us=self.route_latencies.average_us(route),
            verdict_version=self.verdict_version,
            severity_percent=self.severity_percent,
            on_trial=self.on_trial,
            in_doubt=self.in_doubt,
            open_slots=self.open_slots(),
            notice=self.notice(),
        )

    @property
    def in_doubt(self) -> bool:
        """Return whether calls that may run only once avoid the target.

        Some of its latest calls failed or take unusually long, or too few have been
        answered since its start or an ejection.
        """
        return (
            self.late_calls > 0
            or not self.doubt_deadline.has_passed()
            or self.on_probation
        )

    @property
    def on_probation(self) -> bool:
        """Return whether it has answered too few calls since its start or return."""
        return (
            self.successes < self.successes_needed
            and not self.probation_deadline.has_passed()
        )

    def start_probation(self, successes_needed: int) -> None:
        """Keep the target in doubt until it has answered some calls in a row.

        The time is limited: the target may get no call that shows that it works.
        """
        self.successes_needed = successes_needed
        self.successes = 0
        self.probation_deadline = Deadline.after_ms(MAX_PROBATION_MS)

    def record_result(self, bad: bool) -> None:
        """Count the calls that were answered in a row."""
        self.successes = 0 if bad else self.successes + 1

    def open_slots(self) -> int:
        """Return the number of open slots, which increases during a slow start."""
        elapsed_s = time.monotonic() - self.slow_start_at_s
        return min(self.usable_slots, 1 + int(elapsed_s / SLOW_START_STEP_S))

    @property
    def usable_slots(self) -> int:
        """Return how many calls it can run at a time without losing throughput."""
        return min(self.slots, self.concurrency.limit or self.slots)

    def record_rate(self, calls_per_s: float | None, sent_at_s: float) -> bool:
        """Record the rate that a response names, or that it names none.

        :param sent_at_s: time since boot at which the request was sent.
        :returns: whether the target began or ended to name a limit.
        """
        named_before = self.limit.calls_per_s is not None
        self.limit.record_response(calls_per_s, sent_at_s)
        has_changed = named_before != (self.limit.calls_per_s is not None)
        if has_changed:
            self.verdict_version = next(VERDICT_VERSIONS)
        return has_changed

    def is_warming_up(self) -> bool:
        """Return whether the target started or returned to service recently."""
        return time.monotonic() - self.slow_start_at_s < WARM_UP_S

    def record_latency(self, route: int, latency_us: float) -> None:
        """Record the latency of a call of a route."""
        self.route_latencies.add(route, latency_us)
        self.queue.record_work(route, latency_us)

    def record_slot_time(self, slot_time_us: float) -> None:
        """Record for how long a call held its slot."""
        if not self.slot_time_us:
            self.slot_time_us = slot_time_us
        self.slot_time_us += SLOT_TIME_WEIGHT * (slot_time_us - self.slot_time_us)

    def set_verdict(
        self,
        ejected: bool = False,
        severity_percent: int = 0,
        on_trial: bool = False,
        slow_start: bool = False,
    ) -> None:
        """Replace the verdict of the guard.

        :param slow_start: open the slots one by one again; a trial always does.
        """
        self.ejected = ejected
        self.severity_percent = severity_percent
        self.on_trial = on_trial
        self.verdict_version = next(VERDICT_VERSIONS)
        if slow_start or on_trial:
            self.slow_start_at_s = time.monotonic()
