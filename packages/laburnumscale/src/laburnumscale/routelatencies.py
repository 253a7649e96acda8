"""Route latencies.

Keeps the average latency of the calls of each route at one target. Routes of a service
can differ in their work by orders of magnitude, so an average over all of them says
little about any single call.
"""

from collections import OrderedDict

import attrs
import xxhash

__all__ = ["RouteLatencies", "hash_route"]

#: Weight of a new latency once several are known; the first ones count equally.
MIN_WEIGHT = 0.2
#: A target sees the calls of few routes at a time; the least recent ones are dropped.
MAX_ROUTES = 256


def hash_route(route: str) -> int:
    """Return the hash by which daemons refer to a route, 0 for calls without one."""
    return xxhash.xxh32_intdigest(route.encode()) if route else 0


@attrs.define
class _Average:
    count: int = 0
    latency_us: float = 0.0

    def add(self, latency_us: float) -> None:
        self.count += 1
        weight = max(MIN_WEIGHT, 1 / self.count)
        self.latency_us += weight * (latency_us - self.latency_us)


class RouteLatencies:
    """The average latencies at one target, by the hash of the route."""

    def __init__(self) -> None:
        self._averages: OrderedDict[int, _Average] = OrderedDict()

    def add(self, route: int, latency_us: float) -> None:
        """Add the latency of one call."""
        average = self._averages.setdefault(route, _Average())
        average.add(latency_us)
        self._averages.move_to_end(route)
        if len(self._averages) > MAX_ROUTES:
            self._averages.popitem(last=False)

    def average_us(self, route: int) -> int:
        """Return the average latency of a route in microseconds, 0 if unknown."""
        average = self._averages.get(route)
        return int(average.latency_us) if average is not None else 0
