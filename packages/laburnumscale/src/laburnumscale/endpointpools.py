"""Endpoint pools.

Keeps the pools of the services that one entry calls up to date.
"""

from collections import OrderedDict
from collections.abc import Callable

from laburnumscale.endpointpool import EndpointPool
from laburnumscale.loadtable import EndpointHealth
from laburnumscale.members import EndpointView, Members

__all__ = ["EndpointPools"]

#: Services whose endpoints are kept sorted. An entry serves the callers of one host,
#: which call few services; the least recently used pools are dropped.
MAX_POOLS = 256


class EndpointPools:
    """The endpoint pools by service.

    A pool is filled when its service is first called. From then on, each change of an
    endpoint, of its guard's verdict or of the path to it updates its pool.

    :param rate: returns the health of an endpoint.
    """

    def __init__(
        self, members: Members, rate: Callable[[EndpointView], EndpointHealth]
    ) -> None:
        self._members = members
        self._rate = rate
        self._pools: OrderedDict[str, EndpointPool] = OrderedDict()
        members.on_endpoint_change(self._set_view)

    def get(self, service: str) -> EndpointPool:
        """Return the pool of a service."""
        pool = self._pools.get(service)
        if pool is None:
            pool = EndpointPool(self._rate)
            for view in self._members.watch_endpoints(service):
                pool.set_view(view)
            self._pools[service] = pool
            if len(self._pools) > MAX_POOLS:
                self._pools.popitem(last=False)
        self._pools.move_to_end(service)
        return pool

    def refresh(self, service: str, endpoint: str) -> None:
        """Rate an endpoint again."""
        pool = self._pools.get(service)
        if pool is not None:
            pool.refresh(endpoint)

    def refresh_path(self, peer_address: str) -> None:
        """Rate all endpoints behind a path again."""
        for pool in self._pools.values():
            pool.refresh_path(peer_address)

    def _set_view(self, service: str, endpoint: str, view: EndpointView | None) -> None:
        pool = self._pools.get(service)
        if pool is None:
            return
        if view is None:
            pool.remove(endpoint)
        else:
            pool.set_view(view)
