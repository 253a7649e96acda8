"""Routing.

Picks the endpoint for an attempt.
"""

import random
from collections import Counter

from laburnumscale.members import EndpointView, Members
from laburnumscale_schema import peer_pb2

__all__ = ["Router"]

READY = peer_pb2.TARGET_STATE_READY


class Router:
    """Chooses among the endpoints of a service for one entry."""

    def __init__(self, members: Members) -> None:
        self._members = members
        self._outstanding: Counter[tuple[str, str]] = Counter()

    def pick(self, service: str, tried: set[str]) -> EndpointView | None:
        """Return the less loaded of two random endpoints, or None.

        :param tried: names of endpoints that this call has tried.
        """
        candidates = [
            view
            for view in self._members.endpoints(service)
            if view.state == READY and view.endpoint not in tried
        ]
        if not candidates:
            return None
        first = random.choice(candidates)
        second = random.choice(candidates)
        return min(first, second, key=self._load)

    def started(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint starts."""
        self._outstanding[view.service, view.endpoint] += 1

    def ended(self, view: EndpointView) -> None:
        """Note that an attempt to an endpoint has ended."""
        key = (view.service, view.endpoint)
        self._outstanding[key] -= 1
        if self._outstanding[key] <= 0:
            del self._outstanding[key]

    def _load(self, view: EndpointView) -> float:
        outstanding = self._outstanding[view.service, view.endpoint]
        return outstanding / max(1, view.slots)
