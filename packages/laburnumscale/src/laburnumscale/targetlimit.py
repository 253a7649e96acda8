"""Target limit.

Keeps the calls of all daemons within the rate that a target in need names in its
responses. It is kept by the target's guard, which every call passes: limits of the
entries would add up to a multiple of the rate.
"""

import math

import attrs

from laburnumscale.acceptance import parse_decimal
from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.ratelimit import RateLimiter

__all__ = ["MIN_CALLS_PER_S", "TargetLimit", "parse_rate"]

#: Calls of this time may come at once, and at least one.
MAX_BURST_S = 0.25
#: Without any call, no response could end the limit.
MIN_CALLS_PER_S = 0.25
MIN_RETRY_AFTER_MS = 100


def parse_rate(text: str) -> float | None:
    """Return a rate in calls a second, or None if the text names none."""
    return parse_decimal(text.strip())


@attrs.define
class TargetLimit:
    """The limit of one target, whose token bucket is empty at first.

    :ivar calls_per_s: the rate that the target names; None if it names none.
    :ivar has_response: whether the target has responded to this guard.
    """

    calls_per_s: float | None = None
    has_response: bool = False
    _named_at_s: float = 0.0
    _calls: RateLimiter | None = None

    def record_response(self, calls_per_s: float | None, sent_at_s: float) -> None:
        """Record the rate in a response.

        A response that names none ends the limit only if its request was sent after the
        latest response that named one: responses may arrive in another order.

        :param sent_at_s: time since boot at which the request was sent.
        """
        self.has_response = True
        if calls_per_s is None and sent_at_s < self._named_at_s:
            return
        if calls_per_s is not None:
            self._named_at_s = now_s()
        self._set(calls_per_s)

    def adopt(self, calls_per_s: float) -> bool:
        """Take over a rate that an entry was told, until the target responds.

        :returns: whether it was taken over.
        """
        if self.has_response or self.calls_per_s is not None:
            return False
        self._set(calls_per_s)
        return True

    def try_acquire(self) -> bool:
        """Use up one call, and return whether the limit allows it."""
        return self._calls is None or self._calls.try_acquire()

    def release(self) -> None:
        """Give back a call that was not sent."""
        if self._calls is not None:
            self._calls.release()

    def retry_after_ms(self) -> int:
        """Return the time until the limit allows a call, in milliseconds."""
        wait_s = 0.0 if self._calls is None else self._calls.next_token_s()
        return max(MIN_RETRY_AFTER_MS, math.ceil(wait_s * MS_PER_S))

    def _set(self, calls_per_s: float | None) -> None:
        self.calls_per_s = calls_per_s
        if calls_per_s is None:
            self._calls = None
            return
        rate_per_s = max(MIN_CALLS_PER_S, calls_per_s)
        max_burst = max(1.0, rate_per_s * MAX_BURST_S)
        if self._calls is None:
            self._calls = RateLimiter(rate_per_s, max_burst, tokens=0.0)
        else:
            self._calls.change_rate(rate_per_s, max_burst)
