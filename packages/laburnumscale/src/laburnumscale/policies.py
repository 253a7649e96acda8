"""Routing policies.

The ways to choose an endpoint, looked up by name.
"""

import random
from abc import ABC, abstractmethod

from laburnumscale.loadtable import EndpointLoad

__all__ = ["RoutingPolicy", "get_policy_by_name"]

SPILL_UTILISATION = 1.0  # below that a slot is free
#: With all slots taken, a queue in another data centre must be shorter by this factor.
REMOTE_COST_FACTOR = 1.25
HIGHEST_LOCAL_FACTOR = 3.0  # less is the noise of short averages
SETUP_DELAY_US = 20_000
HOLDING_SCALE_US = 50_000
DEFAULT_POLICY = "two-choices"


class RoutingPolicy(ABC):
    """Chooses among the endpoints of a service.

    :cvar name: the name in the settings.
    """

    name: str

    @abstractmethod
    def choose(self, loads: list[EndpointLoad], data_centre: str) -> EndpointLoad:
        """Return one of the endpoints.

        :param loads: at least one endpoint.
        :param data_centre: where the caller's entry stands.
        """


class TwoChoices(RoutingPolicy):
    """The cheaper of two random endpoints, those of the own data centre first.

    The own data centre is left when its endpoints are full, or when they take several
    times as long as others do. Load alone is no reason while slots are free: bytes
    between data centres are dear.
    """

    name = "two-choices"

    def choose(self, loads: list[EndpointLoad], data_centre: str) -> EndpointLoad:
        best = self._cheaper(loads)
        slowest_us = HIGHEST_LOCAL_FACTOR * best.latency_us
        local = [
            load
            for load in loads
            if load.view.data_centre == data_centre and load.latency_us <= slowest_us
        ]
        free = [load for load in local if load.utilisation < SPILL_UTILISATION]
        if free:
            return self._cheaper(free)
        if not local:
            return best
        near = self._cheaper(local)
        highest_cost = REMOTE_COST_FACTOR * self.cost(best)
        return near if self.cost(near) <= highest_cost else best

    def _cheaper(self, loads: list[EndpointLoad]) -> EndpointLoad:
        pair = random.sample(loads, min(2, len(loads)))
        return min(pair, key=self.cost)

    @staticmethod
    def cost(load: EndpointLoad) -> float:
        """Return the time that a further call takes, in microseconds."""
        if load.path_broken:
            return float("inf")
        return (load.in_system + 1) / max(1, load.open_slots) * load.latency_us


class HoldingCost(TwoChoices):
    """Two choices by a holding cost that grows with the time in the system.

    The cost of a call that stays for T is T plus T squared over a time scale, and a
    target in its slow start adds a set-up delay.
    """

    name = "holding-cost"

    @staticmethod
    def cost(load: EndpointLoad) -> float:
        """Return the expected holding cost of a further call, in microseconds."""
        if load.path_broken:
            return float("inf")
        waiting = max(0.0, load.in_system + 1 - load.open_slots)
        stay_us = load.latency_us * (1 + waiting / max(1, load.open_slots))
        if load.open_slots < load.view.slots:
            stay_us += SETUP_DELAY_US
        return stay_us + stay_us**2 / HOLDING_SCALE_US + load.in_system


class RoundRobin(RoutingPolicy):
    """One endpoint after the other."""

    name = "round-robin"

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(self, loads: list[EndpointLoad], data_centre: str) -> EndpointLoad:
        service = loads[0].view.service
        ordered = sorted(loads, key=lambda load: load.view.endpoint)
        last = self._last.get(service, "")
        later = [load for load in ordered if load.view.endpoint > last]
        chosen = (later or ordered)[0]
        self._last[service] = chosen.view.endpoint
        return chosen


class LeastRequests(RoutingPolicy):
    """The less loaded of two random endpoints, wherever they stand."""

    name = "least-requests"

    def choose(self, loads: list[EndpointLoad], data_centre: str) -> EndpointLoad:
        pair = random.sample(loads, min(2, len(loads)))
        return min(pair, key=lambda load: load.in_system)


_POLICIES = {
    policy.name: policy
    for policy in (TwoChoices, HoldingCost, RoundRobin, LeastRequests)
}


def get_policy_by_name(name: str) -> RoutingPolicy:
    """Return a new instance of the policy with this name.

    An unknown name, as a newer daemon may have accepted it, gives the default.
    """
    return _POLICIES.get(name, _POLICIES[DEFAULT_POLICY])()
