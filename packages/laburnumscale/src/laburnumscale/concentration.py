"""Concentration.

Sizes the set of endpoints that share the calls that may run only once.

A target that begins to fail loses the first such call that it gets. The fewer targets
get them, the fewer calls are lost; the other targets are tested by calls that may be
repeated. All entries prefer the endpoints in the same order, without a message.
"""

import attrs

from laburnumscale_schema import peer_pb2

__all__ = ["Concentration"]

#: Share of the endpoints before the first report, about what a quarter of the capacity
#: needs.
START_SHARE = 0.4
MIN_SHARE = 0.05
MIN_COUNT = 2  # one of them may fail
#: Change of the share after a report, relative to the deviation of the utilisation.
GAIN = 0.8
MAX_DECREASE = 0.4
#: Factor after a report without a free slot, so that a rising load finds slots soon.
FULL_FACTOR = 1.8
PERCENT = 100


@attrs.define
class Concentration:
    """The number of endpoints of a service in one data centre that an entry prefers.

    It follows the utilisation that the preferred ones report.

    :ivar share: share of the healthy endpoints that are preferred, 0 to 1.
    """

    share: float = START_SHARE

    def count(self, healthy_count: int) -> int:
        """Return how many of the healthy endpoints are preferred."""
        wanted = max(MIN_COUNT, round(self.share * healthy_count))
        return min(healthy_count, wanted)

    def record_report(
        self, report: peer_pb2.LoadReport, slots: int, target_percent: int
    ) -> None:
        """Adapt the share to the load report of a preferred endpoint.

        :param slots: slots of the endpoint.
        :param target_percent: utilisation that the preferred endpoints should have.
        """
        busy = report.running + report.queued
        factor = FULL_FACTOR
        if busy < slots:
            deviation = PERCENT * busy / slots / target_percent - 1
            factor = max(1 - MAX_DECREASE, 1 + GAIN * deviation)
        self.share = min(1.0, max(MIN_SHARE, self.share * factor))
