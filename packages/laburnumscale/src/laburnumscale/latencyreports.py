"""Latency reports.

Stores the latencies that guards have reported for each route and endpoint, and the
median over the endpoints of a route.
"""

import statistics
import time
from collections import OrderedDict

import attrs

__all__ = ["EndpointKey", "LatencyReports"]

EndpointKey = tuple[str, str, int]
RouteKey = tuple[str, int]

LATENCY_HALF_LIFE_S = 1.0
MAX_LATENCY_AGE_S = 10.0
MIN_COMPARED_ENDPOINTS = 2
DEFAULT_LATENCY_US = 10_000
#: Routes whose latencies are stored. An entry serves the callers of one host, which use
#: few routes; the least recently used ones are dropped.
MAX_ROUTES = 256


@attrs.define
class _RouteReports:
    """The reports for one route.

    :ivar reports: latency in microseconds and monotonic time of the latest report, by
        endpoint.
    :ivar median_us: the latest median, 0 before the first one.
    """

    reports: dict[EndpointKey, tuple[int, float]] = attrs.field(factory=dict)
    median_us: int = 0


class LatencyReports:
    """The reported latencies by route.

    A route is identified by its service and the hash of its host and path prefix.
    """

    def __init__(self) -> None:
        self._routes: OrderedDict[RouteKey, _RouteReports] = OrderedDict()

    def record(self, route: RouteKey, endpoint: EndpointKey, latency_us: int) -> None:
        """Store a reported latency, unless the endpoint knows none for the route."""
        if not latency_us:
            return
        known = self._routes.setdefault(route, _RouteReports())
        known.reports[endpoint] = latency_us, time.monotonic()
        self._routes.move_to_end(route)
        if len(self._routes) > MAX_ROUTES:
            self._routes.popitem(last=False)

    def compute_median_us(self, route: RouteKey) -> int:
        """Return the median of the recent latencies, 0 if too few are known."""
        known = self._routes.get(route)
        if known is None:
            return 0
        oldest_s = time.monotonic() - MAX_LATENCY_AGE_S
        known.reports = {
            key: report for key, report in known.reports.items() if report[1] > oldest_s
        }
        if not known.reports:
            return 0
        latencies_us = [latency_us for latency_us, _ in known.reports.values()]
        known.median_us = int(statistics.median_low(latencies_us))
        return known.median_us if len(latencies_us) >= MIN_COMPARED_ENDPOINTS else 0

    def last_median_us(self, route: RouteKey) -> int:
        """Return the median that was computed last, or a default."""
        known = self._routes.get(route)
        return known.median_us if known and known.median_us else DEFAULT_LATENCY_US

    def estimate_us(self, route: RouteKey, endpoint: EndpointKey) -> int:
        """Return the latency of an endpoint, which decays to the median as it ages.

        An endpoint that was slow once thus gets calls again, and their replies show
        its current latency.
        """
        median_us = self.last_median_us(route)
        known = self._routes.get(route)
        if known is None or endpoint not in known.reports:
            return median_us
        reported_us, received_at_s = known.reports[endpoint]
        weight = 0.5 ** ((time.monotonic() - received_at_s) / LATENCY_HALF_LIFE_S)
        return int(median_us + weight * (reported_us - median_us))
