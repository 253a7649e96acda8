"""Target limit.

The rate that a target in need names in its responses, for the calls of all daemons
together.
"""

import math

import attrs

from laburnumscale.deadlines import now_s

__all__ = ["TargetLimit", "parse_rate"]


def parse_rate(text: str) -> float | None:
    """Return a rate in calls a second, or None if the text names none."""
    try:
        calls_per_s = float(text)
    except ValueError:
        return None
    return calls_per_s if math.isfinite(calls_per_s) and calls_per_s >= 0 else None


@attrs.define
class TargetLimit:
    """The limit of one target, as its guard knows it.

    :ivar calls_per_s: the rate that the latest response names; None if it names none.
    """

    calls_per_s: float | None = None
    _named_at_s: float = 0.0

    def record_response(self, calls_per_s: float | None, sent_at_s: float) -> bool:
        """Record the rate in a response.

        A response that names none ends the limit only if its request was sent after the
        latest response that named one: responses may arrive in another order.

        :param sent_at_s: time since boot at which the request was sent.
        :returns: whether the limit has changed.
        """
        if calls_per_s is None and sent_at_s < self._named_at_s:
            return False
        if calls_per_s is not None:
            self._named_at_s = now_s()
        has_changed = calls_per_s != self.calls_per_s
        self.calls_per_s = calls_per_s
        return has_changed
