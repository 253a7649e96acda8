"""Attempt monitor.

Rates each attempt at a target as good or bad once it is answered or overdue.
"""

import asyncio
import time
from typing import Protocol

import attrs

from laburnumscale.callstatistics import CallStatistics
from laburnumscale.deadlines import Deadline
from laburnumscale.localtarget import LocalTarget
from laburnumscale.recovery import EjectionBackoff
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls

__all__ = [
    "AttemptMonitor",
    "HealthRecord",
    "HealthTracker",
    "relative_threshold_s",
    "slow_threshold_s",
]

DEADLINE_FRACTION = 0.95
#: Share of the slow threshold after which a call takes unusually long: at a threshold
#: of four times the median, about one healthy call in ten.
LATE_SHARE = 0.5
MIN_TIMER_S = 0.005
MS_PER_S = 1000
US_PER_S = 1_000_000
US_PER_MS = 1000


@attrs.define(eq=False)
class HealthRecord:
    """Health data of one target, kept by its guard.

    :ivar answered_at_s: monotonic time of its last answer.
    :ivar slow_by_comparison: its last bad call was slow compared with other targets.
    :ivar slow_route: hash of the route of that call.
    :ivar threshold_s: latency from which that call counted as slow.
    :ivar recovery_task: task that returns the target to service after an ejection.
    """

    target: LocalTarget
    statistics: CallStatistics = attrs.field(factory=CallStatistics)
    ejection_backoff: EjectionBackoff = attrs.field(factory=EjectionBackoff)
    trial_running: bool = False
    answered_at_s: float = 0.0
    slow_by_comparison: bool = False
    slow_route: int = 0
    threshold_s: float = 0.0
    recovery_task: asyncio.Task | None = None


class HealthTracker(Protocol):
    """Interface to which an attempt monitor reports results."""

    stalls: LoopStalls

    def is_comparison_valid(self, service: str) -> bool:
        """Return whether targets of a service may be compared with each other."""

    def record_result(
        self,
        record: HealthRecord,
        settings: EffectiveSettings,
        cause: str,
        weight: int = 1,
    ) -> None:
        """Record the result of one attempt.

        :param cause: why the call was bad; empty for a good one.
        :param weight: number of calls that a bad call counts as.
        """


class AttemptMonitor:
    """Monitors one attempt and reports its result once it is answered or overdue.

    :param route: hash of the route of the call.
    :param threshold_s: latency from which the attempt counts as slow.
    :param threshold_is_relative: the threshold was derived from the latencies of the
        service's other targets.
    :param reference_us: median latency of the route at the service's targets; 0 if it
        is not known.
    """

    def __init__(
        self,
        tracker: HealthTracker,
        record: HealthRecord,
        settings: EffectiveSettings,
        route: int,
        threshold_s: float,
        threshold_is_relative: bool,
        reference_us: int = 0,
    ) -> None:
        self._route = route
        self._reference_us = reference_us
        self._running = record.target.running
        self._phase = record.target.concurrency.phase
        self._threshold_is_relative = threshold_is_relative
        self._tracker = tracker
        self._record = record
        self._settings = settings
        self._started_at_s = time.monotonic()
        self._stalls_at_start_s = tracker.stalls.total_s()
        self._threshold_s = threshold_s
        self._result_recorded = False
        self._overdue_at_s = 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._threshold_s, self._handle_overdue)
        self._is_late = False
        late_s = self._threshold_s * LATE_SHARE
        self._late_timer = loop.call_later(late_s, self._handle_late)

    def record_response(self, failed: bool) -> None:
        """Record that the head of the response has arrived.

        :param failed: it is a server error.
        """
        self._timer.cancel()
        self._end_late()
        elapsed_s = self._elapsed_s()
        self._record.answered_at_s = time.monotonic()
        self._add_latency(elapsed_s, failed)
        self._record_concurrency(elapsed_s, failed)
        slow = elapsed_s > self._threshold_s and not failed
        cause = "server error" if failed else "slow" if slow else ""
        self._record_result(cause, slow)

    def _record_concurrency(self, elapsed_s: float, failed: bool) -> None:
        target = self._record.target
        if not self._settings.learn_concurrency:
            target.concurrency.clear()
        elif self._reference_us and not failed:
            target.concurrency.add(
                self._running,
                elapsed_s * US_PER_S,
                target.slots,
                self._phase,
                self._route,
                self._reference_us,
            )

    def record_connection_failure(self, reused: bool = False) -> None:
        """Record that the connection failed or that the response was cut short.

        :param reused: the connection had carried other attempts, so the target may
            just have closed it as idle.
        """
        weight = 1 if reused else self._settings.break_weight
        self._record_result("broken connection", weight=weight)

    def discard(self) -> None:
        """Exclude the attempt from the statistics; the target has not run it."""
        self._result_recorded = True

    def end(self) -> None:
        """Stop monitoring at the end of the attempt.

        An attempt that is abandoned before it is overdue is not counted. One that is
        abandoned long after that is counted again if the target has answered nothing
        in the meantime.
        """
        self._timer.cancel()
        self._end_late()
        waited_s = self._elapsed_s() - self._overdue_at_s
        if self._overdue_at_s and waited_s > self._threshold_s / 2:
            self._recount_if_unresponsive()
            self._timer.cancel()

    def _elapsed_s(self) -> float:
        stalled_s = self._tracker.stalls.total_s() - self._stalls_at_start_s
        return time.monotonic() - self._started_at_s - stalled_s

    def _handle_late(self) -> None:
        """Put the target in doubt before the call counts as slow."""
        self._is_late = True
        self._record.target.late_calls += 1

    def _end_late(self) -> None:
        self._late_timer.cancel()
        if self._is_late:
            self._is_late = False
            self._record.target.late_calls -= 1

    def _add_latency(self, latency_s: float, failed: bool = False) -> None:
        """Add a latency to the averages; a server error says little about its route."""
        latency_us = latency_s * US_PER_S
        self._record.statistics.add_latency(latency_us)
        if not failed:
            self._record.target.record_latency(self._route, latency_us)

    def _handle_overdue(self) -> None:
        left_s = self._threshold_s - self._elapsed_s()
        if left_s > MIN_TIMER_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left_s, self._handle_overdue)
            return
        self._overdue_at_s = self._elapsed_s()
        self._add_latency(self._threshold_s)
        self._record_result("overdue", slow=True)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._threshold_s, self._recount_if_unresponsive)

    def _recount_if_unresponsive(self) -> None:
        """Count the attempt again if the target has answered nothing since it began."""
        if self._record.answered_at_s < self._started_at_s:
            self._result_recorded = False
            self._handle_overdue()

    def _record_result(self, cause: str, slow: bool = False, weight: int = 1) -> None:
        if self._result_recorded:
            return
        self._result_recorded = True
        service = self._record.target.service
        if (
            slow
            and self._threshold_is_relative
            and not self._tracker.is_comparison_valid(service)
        ):
            return
        if cause:
            self._record.slow_by_comparison = slow and self._threshold_is_relative
            self._record.slow_route = self._route
            self._record.threshold_s = self._threshold_s
        self._tracker.record_result(self._record, self._settings, cause, weight)


def slow_threshold_s(
    settings: EffectiveSettings, reference_us: int, deadline: Deadline
) -> float:
    """Return the latency from which an attempt counts as slow.

    Without a reference latency, this is a little less than the time left until the
    attempt's deadline, but at least half of the time limit per allowed attempt.
    """
    if not (reference_us and settings.slow_factor):
        min_threshold_s = settings.time_limit_ms / MS_PER_S / settings.attempt_limit / 2
        return max(min_threshold_s, deadline.left_s() * DEADLINE_FRACTION)
    return relative_threshold_s(settings, reference_us)


def relative_threshold_s(settings: EffectiveSettings, reference_us: int) -> float:
    """Return the latency from which an attempt is slow compared with the median.

    :param reference_us: median latency of the route at the service's targets.
    """
    slow_us = settings.slow_factor * reference_us
    excess_us = reference_us + settings.slow_excess_ms * US_PER_MS
    return max(slow_us, excess_us) / US_PER_S
