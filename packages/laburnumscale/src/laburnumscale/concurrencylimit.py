"""Concurrency limit.

Learns how many calls a target can run at a time before more of them lower its
throughput.
"""

import math
import time

import attrs

__all__ = ["ConcurrencyLimit"]

#: Calls that are compared at each limit. If work differs by half of its mean, the
#: ratio of two throughputs then has a deviation of about a fifth.
MIN_CALLS = 12
#: A lower limit is kept if it raises the throughput by a quarter. With an even latency
#: it falls by a quarter at the first step.
MIN_GAIN = math.log(1.25)
#: Time until a limit is questioned again; it doubles each time that it is confirmed.
HOLD_S = 30.0
MAX_HOLD_S = 240.0
STEP_SHARE = 4
MAX_ROUTES = 256


@attrs.define
class ConcurrencyLimit:
    """The number of calls that a target gets at a time, found by trying others.

    Only calls that start with all allowed slots taken are compared, so a target that is
    never full is not touched. The throughput at a limit is the limit divided by the
    usual latency of these calls, relative to the median of their route.

    :ivar limit: calls that the target gets at a time; None for all of its slots.
    :ivar phase: changes with the limit, so that calls from before can be told apart.
    """

    limit: int | None = None
    phase: int = 0
    _base: tuple[int, float] | None = None
    _direction: int = -1
    _count: int = 0
    _log_sum: float = 0.0
    _hold_s: float = HOLD_S
    _held_until_s: float = 0.0
    _references: dict[int, float] = attrs.field(factory=dict)

    def add(
        self,
        level: int,
        latency_us: float,
        slots: int,
        phase: int,
        route: int = 0,
        reference_us: float = 1.0,
    ) -> None:
        """Add a completed call.

        :param level: calls that ran at the target when it started, with itself.
        :param slots: slots of the target.
        :param phase: value of ``phase`` when the call started.
        :param route: hash of the route of the call.
        :param reference_us: median latency of the route at the service's targets. The
            first one counts for all calls that are compared: it rises while other
            targets fill up, which would look like a higher throughput here.
        """
        current = min(self.limit or slots, slots)
        is_comparable = phase == self.phase and level >= current and latency_us > 0
        if not is_comparable or time.monotonic() < self._held_until_s:
            return
        if len(self._references) < MAX_ROUTES:
            self._references.setdefault(route, reference_us)
        reference_us = self._references.get(route, reference_us)
        self._count += 1
        self._log_sum += math.log(latency_us / reference_us)
        if self._count >= MIN_CALLS:
            throughput = math.log(current) - self._log_sum / self._count
            self._compare(current, throughput, slots)

    def clear(self) -> None:
        """Forget the limit, as the settings no longer ask for one."""
        if self.limit is None:
            return
        self.limit, self._base = None, None
        self.phase += 1
        self._count, self._log_sum = 0, 0.0
        self._hold_s, self._held_until_s = HOLD_S, 0.0
        self._references.clear()

    def _compare(self, current: int, throughput: float, slots: int) -> None:
        """Choose the next limit after the throughput at one was measured."""
        if self._base is None:
            self._direction = -1 if current == slots else 1
            self._base = current, throughput
        else:
            base_limit, base = self._base
            gain = throughput - base
            if gain <= (MIN_GAIN if self._direction < 0 else 0.0):
                self._hold(base_limit, slots)
                return
            self._hold_s = HOLD_S
            self._base = current, throughput
        following = self._next_limit(current, slots)
        if following == current:
            self._hold(current, slots)
        else:
            self._set(following, slots)

    def _next_limit(self, current: int, slots: int) -> int:
        if self._direction > 0:
            return min(slots, current + 1)
        return max(1, current - max(1, current // STEP_SHARE))

    def _hold(self, limit: int, slots: int) -> None:
        """Keep a limit for some time."""
        self._set(limit, slots)
        self._base = None
        self._references.clear()
        self._held_until_s = time.monotonic() + self._hold_s
        self._hold_s = min(MAX_HOLD_S, 2 * self._hold_s)

    def _set(self, limit: int, slots: int) -> None:
        self.limit = limit if limit < slots else None
        self.phase += 1
        self._count, self._log_sum = 0, 0.0
