"""Routing policies.

Implements the load balancing policies, which are looked up by name.
"""

import random
from abc import ABC, abstractmethod
from collections.abc import Iterable

from laburnumscale.loadtable import EndpointLoad

__all__ = ["CHOICES", "SPILLOVER_UTILISATION", "RoutingPolicy", "get_policy_by_name"]

CHOICES = 2  # random endpoints that are compared
SPILLOVER_UTILISATION = 1.0  # below 1, an endpoint has a free slot
#: When all local slots are taken, calls go to another data centre only if the local
#: cost exceeds the remote cost by this factor.
REMOTE_COST_FACTOR = 1.25
#: Smaller differences are within the noise of averages over a short time.
MAX_LOCAL_LATENCY_FACTOR = 3.0
SETUP_DELAY_US = 20_000
HOLDING_COST_SCALE_US = 50_000
DEFAULT_POLICY = "two-choices"


class RoutingPolicy(ABC):
    """Chooses among the endpoints of a service.

    :cvar name: the value of the setting that selects this policy.
    :cvar needs_all: whether it compares all endpoints instead of a random sample.
    """

    name: str
    needs_all = False

    @abstractmethod
    def choose(
        self,
        loads: list[EndpointLoad],
        local: Iterable[EndpointLoad],
        remote_cost_us: float = 0.0,
    ) -> EndpointLoad:
        """Return one of the endpoints.

        :param loads: at least one endpoint; a random sample unless ``needs_all``.
        :param local: endpoints in the data centre of the entry, in random order.
        :param remote_cost_us: waiting time in microseconds that is as bad as fetching
            the answer from another data centre.
        """


class TwoChoices(RoutingPolicy):
    """Power of two choices: the cheaper of two random endpoints, local ones first.

    Calls leave the local data centre when its endpoints are full, or when they are
    several times as slow as others. While slots are free, load alone does not move
    calls to another data centre, because traffic between data centres is expensive.
    Calls with large answers wait longer for a slot in their own.

    A target that names a limit gets the calls that its limit allows, up to an even
    share of all, although others are faster: its latency is known from few calls, and
    a slow one would keep the next ones away.
    """

    name = "two-choices"

    def choose(
        self,
        loads: list[EndpointLoad],
        local: Iterable[EndpointLoad],
        remote_cost_us: float = 0.0,
    ) -> EndpointLoad:
        best = min(_random_pair(loads), key=self.cost)
        max_latency_us = MAX_LOCAL_LATENCY_FACTOR * best.latency_us
        free: list[EndpointLoad] = []
        full: list[EndpointLoad] = []
        for load in local:
            if load.latency_us <= max_latency_us:
                is_free = load.utilisation < SPILLOVER_UTILISATION
                is_first = not free and not full
                if is_first and is_free and load.is_due and not load.unhealthy:
                    return load
                (free if is_free else full).append(load)
            if len(free) == CHOICES:
                break
        if free:
            return min(free, key=self.cost)
        if not full:
            return best
        best_local = min(full[:CHOICES], key=self.cost)
        max_cost = REMOTE_COST_FACTOR * self.cost(best) + remote_cost_us
        return best_local if self.cost(best_local) <= max_cost else best

    @staticmethod
    def cost(load: EndpointLoad) -> float:
        """Return the expected time of one more call, in microseconds."""
        if load.path_broken:
            return float("inf")
        return (load.in_system + 1) / max(1, load.open_slots) * load.latency_us


class HoldingCost(TwoChoices):
    """Two choices by a holding cost that grows with the time in the system.

    The cost of a call that stays for a time T is T plus T squared divided by a time
    scale. A target in its slow start adds a set-up delay to T.
    """

    name = "holding-cost"

    @staticmethod
    def cost(load: EndpointLoad) -> float:
        """Return the expected holding cost of one more call, in microseconds."""
        if load.path_broken:
            return float("inf")
        waiting = max(0.0, load.in_system + 1 - load.open_slots)
        time_in_system_us = load.latency_us * (1 + waiting / max(1, load.open_slots))
        if load.open_slots < load.view.slots:
            time_in_system_us += SETUP_DELAY_US
        return (
            time_in_system_us
            + time_in_system_us**2 / HOLDING_COST_SCALE_US
            + load.in_system
        )


class RoundRobin(RoutingPolicy):
    """Takes the endpoints in turn, in the order of their names."""

    name = "round-robin"
    needs_all = True

    def __init__(self) -> None:
        self._last: dict[str, str] = {}

    def choose(
        self,
        loads: list[EndpointLoad],
        local: Iterable[EndpointLoad],
        remote_cost_us: float = 0.0,
    ) -> EndpointLoad:
        service = loads[0].view.service
        ordered = sorted(loads, key=lambda load: load.view.endpoint)
        last = self._last.get(service, "")
        later = [load for load in ordered if load.view.endpoint > last]
        chosen = (later or ordered)[0]
        self._last[service] = chosen.view.endpoint
        return chosen


class LeastRequests(RoutingPolicy):
    """The endpoint with fewer calls of two random ones, in any data centre."""

    name = "least-requests"

    def choose(
        self,
        loads: list[EndpointLoad],
        local: Iterable[EndpointLoad],
        remote_cost_us: float = 0.0,
    ) -> EndpointLoad:
        return min(_random_pair(loads), key=lambda load: load.in_system)


def _random_pair(loads: list[EndpointLoad]) -> list[EndpointLoad]:
    return random.sample(loads, min(CHOICES, len(loads)))


_POLICIES = {
    policy.name: policy
    for policy in (TwoChoices, HoldingCost, RoundRobin, LeastRequests)
}


def get_policy_by_name(name: str) -> RoutingPolicy:
    """Return a new instance of the policy with this name.

    A newer daemon may have accepted a name that this version does not know; such a
    name gives the default policy.
    """
    return _POLICIES.get(name, _POLICIES[DEFAULT_POLICY])()
