"""Work estimates.

Keeps a histogram of the work of the calls of each route, which tells how likely a call
ends within a given time.
"""

import math
from array import array
from collections import OrderedDict

import attrs

__all__ = ["LATENCY_MARGIN", "WorkEstimates", "work_class"]

#: Four buckets for each doubling, from 1 ms to 65 s: adjacent times differ by a fifth.
BUCKETS_PER_DOUBLING = 4
BUCKETS = 64
#: Counts are halved at this number, so that older calls count less and less.
MAX_CALLS = 256
#: A target sees the calls of few routes at a time; the least recent ones are dropped.
MAX_ROUTES = 256
#: Fewer calls say nothing of the spread.
MIN_CALLS = 8
#: Without the spread, deadline checks assume that a call takes this multiple of the
#: average latency.
LATENCY_MARGIN = 1.25


def work_class(work_ms: float) -> int:
    """Return a number that increases with the work, equal for similar work."""
    if work_ms <= 1:
        return 0
    return min(BUCKETS - 1, int(math.log2(work_ms) * BUCKETS_PER_DOUBLING))


@attrs.define
class _Histogram:
    counts: array = attrs.field(factory=lambda: array("H", bytes(2 * BUCKETS)))
    calls: int = 0
    total_ms: float = 0.0

    def add(self, work_ms: float) -> None:
        if self.calls >= MAX_CALLS:
            mean_ms = self.mean_ms
            self.counts = array("H", (count // 2 for count in self.counts))
            self.calls = sum(self.counts)
            self.total_ms = mean_ms * self.calls
        self.counts[work_class(work_ms)] += 1
        self.calls += 1
        self.total_ms += work_ms

    @property
    def mean_ms(self) -> float:
        return self.total_ms / self.calls

    def share_within(self, time_ms: float) -> float:
        """Return the share of the calls that took at most a time."""
        if time_ms <= 0:
            return 0.0
        position = math.log2(max(1.0, time_ms)) * BUCKETS_PER_DOUBLING
        bucket = min(BUCKETS - 1, int(position))
        part = min(1.0, position - bucket)
        within = sum(self.counts[:bucket]) + part * self.counts[bucket]
        return within / self.calls

    def quantile_ms(self, share: float) -> float:
        """Return the time within which a share of the calls ended."""
        wanted = share * self.calls
        for bucket, count in enumerate(self.counts):
            if count >= wanted:
                position = bucket + wanted / max(1, count)
                return 2 ** (position / BUCKETS_PER_DOUBLING)
            wanted -= count
        return 2 ** (BUCKETS / BUCKETS_PER_DOUBLING)


class WorkEstimates:
    """Histograms of the work at one place, by the hash of the route.

    A reference, such as the median of other places, brings estimates down that are
    higher: they may come from a failure that is over, and if calls were refused because
    of them, nothing would ever correct them.
    """

    def __init__(self, max_routes: int = MAX_ROUTES) -> None:
        self._max_routes = max_routes
        self._histograms: OrderedDict[int, _Histogram] = OrderedDict()

    def __len__(self) -> int:
        return len(self._histograms)

    def add(self, route: int, work_ms: float) -> None:
        """Add the work of one call."""
        histogram = self._histograms.get(route)
        if histogram is None:
            histogram = self._histograms[route] = _Histogram()
            if len(self._histograms) > self._max_routes:
                self._histograms.popitem(last=False)
        else:
            self._histograms.move_to_end(route)
        histogram.add(work_ms)

    def expected_ms(self, route: int, reference_ms: float = 0.0) -> float:
        """Return the mean work of a route; the reference, or 0, if it is unknown."""
        histogram = self._known(route)
        if histogram is None:
            return reference_ms
        return histogram.mean_ms * _scale(histogram, reference_ms)

    def likelihood(
        self, route: int, time_ms: float, reference_ms: float = 0.0
    ) -> float:
        """Return how likely a call that starts now ends within a time, 0 to 1."""
        histogram = self._known(route)
        if histogram is None:
            is_likely = time_ms > 0 and time_ms >= LATENCY_MARGIN * reference_ms
            return 1.0 if is_likely else 0.0
        return histogram.share_within(time_ms / _scale(histogram, reference_ms))

    def quantile_ms(self, route: int, share: float, reference_ms: float = 0.0) -> float:
        """Return the time within which a call ends with a given likelihood."""
        histogram = self._known(route)
        if histogram is None:
            return LATENCY_MARGIN * reference_ms
        return histogram.quantile_ms(share) * _scale(histogram, reference_ms)

    def _known(self, route: int) -> _Histogram | None:
        histogram = self._histograms.get(route)
        if histogram is None or histogram.calls < MIN_CALLS:
            return None
        return histogram


def _scale(histogram: _Histogram, reference_ms: float) -> float:
    if not reference_ms:
        return 1.0
    return min(1.0, reference_ms / max(histogram.mean_ms, 1e-3))
