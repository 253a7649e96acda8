"""Guard clocks.

Estimates the clocks of guards, so that a guard can tell the age of a message.
"""

from collections import OrderedDict

import attrs

from laburnumscale.deadlines import now_s
from laburnumscale.members import EndpointView

__all__ = ["GuardClocks", "clock_us"]

HIGHEST_DRIFT_PPM = 500
HIGHEST_GUARDS = 4096
US_PER_S = 1_000_000


def clock_us() -> int:
    """Return the clock of this host in microseconds; it goes on while suspended."""
    return int(now_s() * US_PER_S)


@attrs.define
class _Estimate:
    """How far the clock of this process is ahead of a guard's, at most.

    :ivar ahead_us: own clock at receipt minus the guard's clock at sending.
    :ivar heard_at_us: own clock when this was heard.
    """

    incarnation: int
    ahead_us: int
    heard_at_us: int


class GuardClocks:
    """The clocks of guards as their replies showed them.

    The estimate of a guard's clock is behind the true one by the delay of the fastest
    reply. So the age that a guard computes for a message is never too small, and too
    large only by that delay. No clocks are synchronised; only their rates are trusted.
    """

    def __init__(self) -> None:
        self._estimates: OrderedDict[str, _Estimate] = OrderedDict()

    def heard(self, view: EndpointView, guard_time_us: int) -> None:
        """Take the clock in a reply of the guard of an endpoint into account."""
        if not guard_time_us:
            return
        now_us = clock_us()
        ahead_us = now_us - guard_time_us
        known = self._estimates.get(view.daemon)
        if known is not None and known.incarnation == view.incarnation:
            drift_us = (now_us - known.heard_at_us) * HIGHEST_DRIFT_PPM // US_PER_S
            if known.ahead_us + drift_us < ahead_us:
                return
        self._estimates[view.daemon] = _Estimate(view.incarnation, ahead_us, now_us)
        self._estimates.move_to_end(view.daemon)
        if len(self._estimates) > HIGHEST_GUARDS:
            self._estimates.popitem(last=False)

    def time_us(self, view: EndpointView) -> int:
        """Return the clock of a guard now, never ahead of it; 0 if it is unknown."""
        known = self._estimates.get(view.daemon)
        if known is None or known.incarnation != view.incarnation:
            return 0
        now_us = clock_us()
        drift_us = (now_us - known.heard_at_us) * HIGHEST_DRIFT_PPM // US_PER_S
        return max(1, now_us - known.ahead_us - drift_us)
