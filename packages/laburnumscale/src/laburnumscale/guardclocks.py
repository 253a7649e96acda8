"""Guard clocks.

Estimates the clocks of guards, so that a guard can compute the age of a message.
"""

from collections import OrderedDict

import attrs

from laburnumscale.deadlines import now_s
from laburnumscale.members import EndpointView

__all__ = ["GuardClocks", "boottime_us"]

MAX_DRIFT_PPM = 500
MAX_GUARDS = 4096
US_PER_S = 1_000_000


def boottime_us() -> int:
    """Return the microseconds since the host booted, including time suspended."""
    return int(now_s() * US_PER_S)


@attrs.define
class _ClockSample:
    """An upper bound on the offset of the own clock from a guard's clock.

    :ivar incarnation: incarnation of the guard.
    :ivar offset_us: own clock at receipt minus the guard's clock at sending, in
        microseconds.
    :ivar sampled_at_us: own clock at receipt, in microseconds.
    """

    incarnation: int
    offset_us: int
    sampled_at_us: int


class GuardClocks:
    """Estimates of the clocks of guards, taken from the times in their replies.

    An estimate lags behind the guard's clock by the network delay of the fastest reply.
    The age that a guard computes for a message is therefore never too low, and too high
    only by that delay. The clocks need not be synchronised, but their rates may differ
    by at most ``MAX_DRIFT_PPM``.
    """

    def __init__(self) -> None:
        self._samples: OrderedDict[str, _ClockSample] = OrderedDict()

    def record_sample(self, view: EndpointView, guard_time_us: int) -> None:
        """Update the estimate of a guard's clock from one of its replies.

        :param view: the endpoint whose guard sent the reply.
        :param guard_time_us: the guard's clock at sending; 0 if the reply has none.
        """
        if not guard_time_us:
            return
        now_us = boottime_us()
        offset_us = now_us - guard_time_us
        known = self._samples.get(view.daemon)
        if known is not None and known.incarnation == view.incarnation:
            drift_us = (now_us - known.sampled_at_us) * MAX_DRIFT_PPM // US_PER_S
            if known.offset_us + drift_us < offset_us:
                return
        self._samples[view.daemon] = _ClockSample(view.incarnation, offset_us, now_us)
        self._samples.move_to_end(view.daemon)
        if len(self._samples) > MAX_GUARDS:
            self._samples.popitem(last=False)

    def estimate_us(self, view: EndpointView) -> int:
        """Return a lower bound of the current time on a guard's clock.

        :param view: an endpoint of the guard.
        :returns: microseconds, or 0 if no reply of this incarnation has been received.
        """
        known = self._samples.get(view.daemon)
        if known is None or known.incarnation != view.incarnation:
            return 0
        now_us = boottime_us()
        drift_us = (now_us - known.sampled_at_us) * MAX_DRIFT_PPM // US_PER_S
        return max(1, now_us - known.offset_us - drift_us)
