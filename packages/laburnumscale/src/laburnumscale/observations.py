"""Observations.

Watches single attempts at targets and judges each as soon as it is answered or late.
"""

import asyncio
import time
from typing import Protocol

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.evidence import Evidence
from laburnumscale.localtarget import LocalTarget
from laburnumscale.returning import EjectionTime
from laburnumscale.stalls import LoopStalls
from laburnumscale.tree import EffectiveSettings

__all__ = ["Judge", "Observation", "Record", "compared_limit_s", "slow_limit_s"]

DEADLINE_SHARE = 0.95
LEAST_WAIT_S = 0.005
MS_PER_S = 1000
US_PER_S = 1_000_000
US_PER_MS = 1000


@attrs.define(eq=False)
class Record:
    """What the guard knows of the health of one target.

    :ivar answered_at_s: monotonic time of its last answer.
    :ivar compared: its last bad call was slow compared with other targets.
    :ivar limit_s: time from which that call was slow.
    """

    target: LocalTarget
    evidence: Evidence = attrs.field(factory=Evidence)
    ejection_time: EjectionTime = attrs.field(factory=EjectionTime)
    trial_running: bool = False
    answered_at_s: float = 0.0
    compared: bool = False
    limit_s: float = 0.0
    returning: asyncio.Task | None = None


class Judge(Protocol):
    """What an observation needs of the guard's health."""

    stalls: LoopStalls

    def may_compare(self, service: str) -> bool:
        """Tell whether targets of a service may be compared with each other."""

    def judge(
        self, record: Record, settings: EffectiveSettings, cause: str, weight: int = 1
    ) -> None:
        """Take the result of one attempt into account.

        :param cause: why the call was bad; empty for a good one.
        :param weight: the calls for which a bad one counts.
        """


class Observation:
    """One attempt, judged as soon as it is answered or overdue.

    :param limit_s: time from which the attempt is slow.
    :param compared: this time comes from the service's other targets.
    """

    def __init__(
        self,
        judge: Judge,
        record: Record,
        settings: EffectiveSettings,
        limit_s: float,
        compared: bool,
    ) -> None:
        self._compared = compared
        self._judging = judge
        self._record = record
        self._settings = settings
        self._started_at_s = time.monotonic()
        self._stalled_before_s = judge.stalls.total_s()
        self._limit_s = limit_s
        self._judged = False
        self._overdue_at_s = 0.0
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._limit_s, self._overdue)

    def answered(self, failed: bool) -> None:
        """Note the head of the answer.

        :param failed: it is a server error.
        """
        self._timer.cancel()
        elapsed_s = self._elapsed_s()
        self._record.answered_at_s = time.monotonic()
        self._record.evidence.add_latency(elapsed_s * US_PER_S)
        slow = elapsed_s > self._limit_s and not failed
        cause = "server error" if failed else "slow" if slow else ""
        self._judge(cause, slow)

    def broke(self, reused: bool = False) -> None:
        """Note that the connection failed, or that the answer was cut short.

        :param reused: the connection had carried other attempts, so the target may
            just have closed it as idle.
        """
        weight = 1 if reused else self._settings.break_weight
        self._judge("broken connection", weight=weight)

    def forget(self) -> None:
        """Leave the attempt out, as the target has not run it."""
        self._judged = True

    def end(self) -> None:
        """Note the end of the attempt.

        Given up before it was overdue, it says nothing about the target; given up
        long after that, it counts again.
        """
        self._timer.cancel()
        waited_s = self._elapsed_s() - self._overdue_at_s
        if self._overdue_at_s and waited_s > self._limit_s / 2:
            self._silent()
            self._timer.cancel()

    def _elapsed_s(self) -> float:
        stalled_s = self._judging.stalls.total_s() - self._stalled_before_s
        return time.monotonic() - self._started_at_s - stalled_s

    def _overdue(self) -> None:
        left_s = self._limit_s - self._elapsed_s()
        if left_s > LEAST_WAIT_S:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(left_s, self._overdue)
            return
        self._overdue_at_s = self._elapsed_s()
        self._record.evidence.add_latency(self._limit_s * US_PER_S)
        self._judge("overdue", slow=True)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._limit_s, self._silent)

    def _silent(self) -> None:
        """Count the attempt again if the target has answered nothing at all."""
        if self._record.answered_at_s < self._started_at_s:
            self._judged = False
            self._overdue()

    def _judge(self, cause: str, slow: bool = False, weight: int = 1) -> None:
        if self._judged:
            return
        self._judged = True
        service = self._record.target.service
        if slow and self._compared and not self._judging.may_compare(service):
            return
        if cause:
            self._record.compared = slow and self._compared
            self._record.limit_s = self._limit_s
        self._judging.judge(self._record, self._settings, cause, weight)


def slow_limit_s(
    settings: EffectiveSettings, reference_us: int, deadline: Deadline
) -> float:
    """Return the time from which an attempt counts as slow.

    Without a reference that is the attempt's own deadline, unless it is much
    shorter than the service's time limit.
    """
    if not (reference_us and settings.slow_factor):
        shortest_s = settings.time_limit_ms / MS_PER_S / settings.attempt_limit / 2
        return max(shortest_s, deadline.left_s() * DEADLINE_SHARE)
    return compared_limit_s(settings, reference_us)


def compared_limit_s(settings: EffectiveSettings, reference_us: int) -> float:
    """Return the time from which an attempt is slow compared with the median."""
    slow_us = settings.slow_factor * reference_us
    excess_us = reference_us + settings.slow_excess_ms * US_PER_MS
    return max(slow_us, excess_us) / US_PER_S
