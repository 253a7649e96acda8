"""Health.

Detects failing targets on this daemon's host from the results of their calls.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.attemptmonitor import (
    AttemptMonitor,
    HealthRecord,
    relative_threshold_s,
    slow_threshold_s,
)
from laburnumscale.callstatistics import CallStatistics
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.loadtable import ServiceBaseline
from laburnumscale.localtarget import NO_DOUBT, LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.recovery import TargetRecovery
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls
from laburnumscale_schema import peer_pb2

__all__ = ["TargetHealth"]

EVIDENCE = "evidence"
MAX_THRESHOLD_GROWTH = 1.5
MAX_DOUBT_MS = 5_000  # targets that fail some of their calls do so for seconds
COLD_LATENCY_FACTOR = 2  # targets are slower for some seconds after their start
US_PER_MS = 1000
EJECTED_RETRY_AFTER_MS = 1000


class TargetHealth:
    """Outlier detection of one guard: ejects failing targets from service.

    :param recovery: returns ejected targets to service.
    :ivar stalls: time for which this process was blocked; it does not count against
        targets.
    """

    def __init__(
        self, recovery: TargetRecovery, stalls: LoopStalls, metrics: Metrics
    ) -> None:
        self.stalls = stalls
        self._recovery = recovery
        self._metrics = metrics
        self._records: dict[tuple[str, str], HealthRecord] = {}
        self._most_look_bad: dict[str, bool] = {}

    @contextmanager
    def admit_attempt(
        self, target: LocalTarget, settings: EffectiveSettings, head: peer_pb2.CallHead
    ) -> Iterator[None]:
        """Admit one attempt for the duration of the context.

        Floor traffic consists of the attempts at unhealthy targets that are in use
        because the healthy ones do not reach the capacity floor.

        :raises AttemptRefused: the target is ejected and the attempt is not floor
            traffic, or the target is on trial and the attempt cannot be its trial call.
        """
        record = self._get_record(target, settings)
        on_trial = self._check_admission(record, settings, head)
        if not on_trial:
            yield
            return
        record.trial_running = True
        try:
            yield
        finally:
            record.trial_running = False

    def monitor_attempt(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        deadline: Deadline,
    ) -> AttemptMonitor:
        """Return a monitor for an attempt that starts now."""
        record = self._get_record(target, settings)
        self._most_look_bad[head.service] = head.most_look_bad
        reference_us = head.reference_latency_us
        if target.is_warming_up() and not record.ejection_backoff.doublings:
            reference_us *= COLD_LATENCY_FACTOR
        threshold_s = slow_threshold_s(settings, reference_us, deadline)
        return AttemptMonitor(
            self,
            record,
            settings,
            head.route,
            threshold_s,
            reference_us > 0,
            head.reference_latency_us,
        )

    def is_comparison_valid(self, service: str) -> bool:
        """Return whether targets of a service may be compared with each other.

        They may not if most of them looked bad to the entry of the latest attempt.
        """
        return not self._most_look_bad.get(service, False)

    def revoke_comparison_ejections(
        self,
        service: str,
        settings: EffectiveSettings,
        route: int,
        baseline: ServiceBaseline,
    ) -> None:
        """Return targets to service whose ejection by comparison is no longer valid.

        If most targets look bad or the median latency of the route has risen far, the
        cause is not the ejected target.

        :param route: hash of the route that the baseline belongs to.
        """
        threshold_s = relative_threshold_s(settings, baseline.median_latency_us)
        for record in self._records.values():
            target = record.target
            if target.service != service or not (
                target.ejected and record.slow_by_comparison
            ):
                continue
            if (
                baseline.most_look_bad
                or record.slow_route == route
                and threshold_s > MAX_THRESHOLD_GROWTH * record.threshold_s
            ):
                self._metrics.count("comparisons_voided", f'service="{service}"')
                record.recovery_task.cancel()
                record.statistics = CallStatistics()
                target.set_verdict()
                self._report_verdict(
                    target, "target returned", reason="comparison voided"
                )

    def record_result(
        self,
        record: HealthRecord,
        settings: EffectiveSettings,
        cause: str,
        weight: int = 1,
    ) -> None:
        """Record the result of one attempt and eject the target if it is failing.

        :param cause: why the call was bad; empty for a good one.
        :param weight: number of calls that a bad call counts as.
        """
        target = record.target
        bad = bool(cause)
        record.statistics.add_result(bad, weight)
        target.record_result(bad)
        labels = f'service="{target.service}",bad="{str(bad).lower()}"'
        self._metrics.count("attempts", labels)
        target.latency_us = int(record.statistics.latency_us)
        needed = settings.return_successes
        has_proved = 0 < needed <= target.successes
        if has_proved or not record.statistics.raises_doubt():
            target.doubt_deadline = NO_DOUBT
        elif bad:
            target.doubt_deadline = Deadline.after_ms(MAX_DOUBT_MS)
        if target.ejected:
            target.severity_percent = max(1, record.statistics.severity_percent())
        elif target.on_trial:
            self._finish_trial(record, settings, cause)
        elif bad and self._is_failing(record, settings):
            self._eject(record, settings, cause)

    def _get_record(
        self, target: LocalTarget, settings: EffectiveSettings
    ) -> HealthRecord:
        key = (target.service, target.endpoint)
        record = self._records.get(key)
        if record is None or record.target is not target:
            if record is not None and record.recovery_task is not None:
                record.recovery_task.cancel()
            self._remove_withdrawn()
            record = HealthRecord(target)
            self._records[key] = record
            target.start_probation(settings.return_successes)
        return record

    def _remove_withdrawn(self) -> None:
        for key, record in list(self._records.items()):
            if record.target.withdrawn:
                del self._records[key]

    def _check_admission(
        self, record: HealthRecord, settings: EffectiveSettings, head: peer_pb2.CallHead
    ) -> bool:
        """Return whether an attempt is the trial call of its target.

        :raises AttemptRefused: the target takes no attempt of this kind now.
        """
        target = record.target
        if settings.ejection_policy != EVIDENCE or head.floor_traffic:
            return False
        if head.avoid_doubt and target.in_doubt and not target.on_trial:
            self._metrics.count("refused_in_doubt", f'service="{target.service}"')
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_IN_DOUBT, EJECTED_RETRY_AFTER_MS
            )
        if target.ejected or (
            target.on_trial and (record.trial_running or _is_lost_if_failed(head))
        ):
            self._metrics.count("refused_ejected", f'service="{target.service}"')
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_EJECTED, EJECTED_RETRY_AFTER_MS
            )
        return target.on_trial

    @staticmethod
    def _is_failing(record: HealthRecord, settings: EffectiveSettings) -> bool:
        if settings.ejection_policy != EVIDENCE:
            return False
        return record.statistics.reaches_threshold(settings.eject_after)

    def _eject(
        self, record: HealthRecord, settings: EffectiveSettings, cause: str
    ) -> None:
        target = record.target
        was_on_trial = target.on_trial
        severity_percent = max(1, record.statistics.severity_percent())
        target.set_verdict(ejected=True, severity_percent=severity_percent)
        if was_on_trial:
            ejection_ms = record.ejection_backoff.after_failed_trial_ms()
            self._metrics.count("trials_failed", f'service="{target.service}"')
        else:
            ejection_ms = record.ejection_backoff.next_ejection_ms(settings.ejection_ms)
            self._metrics.count("ejections", f'service="{target.service}"')
        self._report_verdict(
            target,
            "target ejected",
            ejection_ms=ejection_ms,
            severity_percent=severity_percent,
            cause=cause,
            compared=record.slow_by_comparison,
            on_trial=was_on_trial,
            running=target.running,
            latency_ms=target.latency_us // US_PER_MS,
        )
        if record.recovery_task is not None:
            record.recovery_task.cancel()
        record.recovery_task = asyncio.create_task(
            self._recovery.restore_target(target, settings, ejection_ms)
        )

    def _finish_trial(
        self, record: HealthRecord, settings: EffectiveSettings, cause: str
    ) -> None:
        if cause:
            self._eject(record, settings, cause)
            return
        record.statistics.reset_after_trial(settings.eject_after)
        record.ejection_backoff.record_return()
        record.target.set_verdict(slow_start=True)
        record.target.start_probation(settings.return_successes)
        self._report_verdict(
            record.target, "target returned", reason="trial call served"
        )

    def _report_verdict(self, target: LocalTarget, event: str, **details) -> None:
        """Publish and log a verdict that has changed."""
        self._recovery.on_verdict_change()
        names = {"service": target.service, "endpoint": target.endpoint}
        get_logger().info(event, **names, **details)


def _is_lost_if_failed(head: peer_pb2.CallHead) -> bool:
    """Return whether a failure would lose a call that another target could run.

    It may run only once, or makes its last attempt. A call whose body cannot be sent
    again is not included: its refusal would be final.
    """
    return head.replayable and (head.avoid_doubt or not head.idempotent)
