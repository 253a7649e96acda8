"""Health.

Judges the targets beside this daemon by the calls that they run.
"""

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.deadlines import Deadline
from laburnumscale.evidence import Evidence
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.loadtable import Comparison
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.observations import (
    Observation,
    Record,
    compared_limit_s,
    slow_limit_s,
)
from laburnumscale.returning import Returning
from laburnumscale.stalls import LoopStalls
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["TargetHealth"]

EVIDENCE = "evidence"
RISEN = 1.5
US_PER_MS = 1000
REFUSED_RETRY_AFTER_MS = 1000


class TargetHealth:
    """The verdicts of one guard on its targets.

    :param returning: brings ejected targets back.
    :ivar stalls: time that this process lost, which is no target's fault.
    """

    def __init__(
        self, returning: Returning, stalls: LoopStalls, metrics: Metrics
    ) -> None:
        self.stalls = stalls
        self._returning = returning
        self._metrics = metrics
        self._records: dict[tuple[str, str], Record] = {}
        self._doubtful: dict[str, bool] = {}

    @contextmanager
    def admitted(
        self, target: LocalTarget, settings: EffectiveSettings, head: peer_pb2.CallHead
    ) -> Iterator[None]:
        """Admit one attempt until its end.

        :raises AttemptRefused: the target is ejected and the attempt is no floor
            traffic, or the target is on trial and its trial call is running.
        """
        record = self._record(target)
        on_trial = self._admit(record, settings, head)
        if not on_trial:
            yield
            return
        record.trial_running = True
        try:
            yield
        finally:
            record.trial_running = False

    def observe(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        deadline: Deadline,
    ) -> Observation:
        """Observe an attempt that starts now."""
        record = self._record(target)
        self._doubtful[head.service] = head.most_look_bad
        starts_cold = target.is_cold() and not record.ejection_time.doublings
        reference_us = 0 if starts_cold else head.reference_latency_us
        limit_s = slow_limit_s(settings, reference_us, deadline)
        return Observation(self, record, settings, limit_s, reference_us > 0)

    def may_compare(self, service: str) -> bool:
        """Tell whether the latest caller found most targets of a service well."""
        return not self._doubtful.get(service, False)

    def reconsider(
        self, service: str, settings: EffectiveSettings, comparison: Comparison
    ) -> None:
        """Take targets back whose ejection by comparison does not hold any more.

        Most targets look bad, or the median has risen far, so the cause lies
        elsewhere.
        """
        limit_s = compared_limit_s(settings, comparison.median_us)
        for record in self._records.values():
            target = record.target
            if target.service != service or not (target.ejected and record.compared):
                continue
            if comparison.most_look_bad or limit_s > RISEN * record.limit_s:
                self._metrics.count("comparisons_voided", f'service="{service}"')
                record.returning.cancel()
                record.evidence = Evidence()
                target.set_verdict()
                self._told(target, "target returned", reason="comparison voided")

    def judge(
        self, record: Record, settings: EffectiveSettings, cause: str, weight: int = 1
    ) -> None:
        """Take the result of one attempt into account.

        :param cause: why the call was bad; empty for a good one.
        :param weight: the calls for which a bad one counts.
        """
        target = record.target
        bad = bool(cause)
        record.evidence.add(bad, weight)
        labels = f'service="{target.service}",bad="{str(bad).lower()}"'
        self._metrics.count("attempts", labels)
        target.latency_us = int(record.evidence.latency_us)
        if target.ejected:
            target.severity_percent = max(1, record.evidence.severity_percent())
        elif target.on_trial:
            self._judge_trial(record, settings, cause)
        elif bad and self._is_failing(record, settings):
            self._eject(record, settings, cause)

    def _record(self, target: LocalTarget) -> Record:
        key = (target.service, target.endpoint)
        record = self._records.get(key)
        if record is None or record.target is not target:
            if record is not None and record.returning is not None:
                record.returning.cancel()
            self._forget_withdrawn()
            record = Record(target)
            self._records[key] = record
        return record

    def _forget_withdrawn(self) -> None:
        for key, record in list(self._records.items()):
            if record.target.withdrawn:
                del self._records[key]

    def _admit(
        self, record: Record, settings: EffectiveSettings, head: peer_pb2.CallHead
    ) -> bool:
        target = record.target
        if settings.ejection_policy != EVIDENCE or head.floor_traffic:
            return False
        if target.ejected or (target.on_trial and record.trial_running):
            self._metrics.count("refused_ejected", f'service="{target.service}"')
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_EJECTED, REFUSED_RETRY_AFTER_MS
            )
        return target.on_trial

    @staticmethod
    def _is_failing(record: Record, settings: EffectiveSettings) -> bool:
        if settings.ejection_policy != EVIDENCE:
            return False
        return record.evidence.is_against(settings.eject_after)

    def _eject(self, record: Record, settings: EffectiveSettings, cause: str) -> None:
        target = record.target
        was_on_trial = target.on_trial
        severity_percent = max(1, record.evidence.severity_percent())
        target.set_verdict(ejected=True, severity_percent=severity_percent)
        if was_on_trial:
            ejection_ms = record.ejection_time.after_trial_ms()
            self._metrics.count("trials_failed", f'service="{target.service}"')
        else:
            ejection_ms = record.ejection_time.next_ms(settings.ejection_ms)
            self._metrics.count("ejections", f'service="{target.service}"')
        self._told(
            target,
            "target ejected",
            ejection_ms=ejection_ms,
            severity_percent=severity_percent,
            cause=cause,
            compared=record.compared,
            on_trial=was_on_trial,
            running=target.running,
            latency_ms=target.latency_us // US_PER_MS,
        )
        if record.returning is not None:
            record.returning.cancel()
        record.returning = asyncio.create_task(
            self._returning.bring_back(target, settings, ejection_ms)
        )

    def _judge_trial(
        self, record: Record, settings: EffectiveSettings, cause: str
    ) -> None:
        if cause:
            self._eject(record, settings, cause)
            return
        record.evidence.start_again(settings.eject_after)
        record.ejection_time.returned()
        record.target.set_verdict(slow_start=True)
        self._told(record.target, "target returned", reason="trial call served")

    def _told(self, target: LocalTarget, event: str, **details) -> None:
        self._returning.tell()
        names = {"service": target.service, "endpoint": target.endpoint}
        get_logger().info(event, **names, **details)
