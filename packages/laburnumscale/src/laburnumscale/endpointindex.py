"""Endpoint index.

Finds the endpoints of a service, and the daemon that each of them stands beside.
"""

import sys
from collections.abc import Callable, Iterable

import attrs

from laburnumscale.views import GONE, SUSPECT, is_listed
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointIndex", "EndpointView"]


@attrs.frozen
class EndpointView:
    """An endpoint together with the daemon that guards it.

    :ivar announced_us: when the target announced itself beside this daemon.
    :ivar verdict_version: grows with each verdict of the guard.
    :ivar daemon_draining: the daemon is about to leave.
    :ivar suspect: the daemon is suspected to be dead, and not yet confirmed so.
    """

    service: str
    endpoint: str
    slots: int
    state: int
    ejected: bool
    daemon: str
    incarnation: int
    peer_address: str
    data_centre: str
    announced_us: int = 0
    suspect: bool = False
    verdict_version: int = 0
    severity_percent: int = 0
    on_trial: bool = False
    daemon_draining: bool = False

    @property
    def claim(self) -> tuple[int, int, str]:
        """Return what decides between daemons that list the same endpoint."""
        return self.announced_us, self.incarnation, self.daemon


class EndpointIndex:
    """The daemons beside each service, and views made when they are asked for.

    :param get: returns the entry of a daemon.
    """

    def __init__(self, get: Callable[[str], peer_pb2.Member | None]) -> None:
        self._get = get
        self._daemons: dict[str, set[str]] = {}
        self._views: dict[str, list[EndpointView]] = {}

    def update(
        self, before: peer_pb2.Member | None, after: peer_pb2.Member | None
    ) -> None:
        """Take the change of one member into account."""
        for service in _services(before):
            self._discard(service, before.daemon)
        for service in _services(after):
            self._daemons.setdefault(sys.intern(service), set()).add(after.daemon)
            self._views.pop(service, None)

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return one view for each endpoint of a service."""
        views = self._views.get(service)
        if views is None:
            views = self._build(service)
            if service in self._daemons:
                self._views[service] = views
        return views

    def _discard(self, service: str, daemon: str) -> None:
        self._views.pop(service, None)
        daemons = self._daemons.get(service, set())
        daemons.discard(daemon)
        if not daemons:
            self._daemons.pop(service, None)

    def _build(self, service: str) -> list[EndpointView]:
        newest: dict[str, EndpointView] = {}
        for daemon in sorted(self._daemons.get(service, ())):
            for view in _views(self._get(daemon), service):
                other = newest.get(view.endpoint)
                if other is None or other.claim < view.claim:
                    newest[view.endpoint] = view
        return list(newest.values())


def _services(member: peer_pb2.Member | None) -> set[str]:
    if member is None or not is_listed(member):
        return set()
    return {endpoint.service for endpoint in member.endpoints if endpoint.state != GONE}


def _views(member: peer_pb2.Member | None, service: str) -> Iterable[EndpointView]:
    if member is None or not is_listed(member):
        return
    for endpoint in member.endpoints:
        if endpoint.service != service or endpoint.state == GONE:
            continue
        yield EndpointView(
            service=sys.intern(endpoint.service),
            endpoint=endpoint.endpoint,
            slots=endpoint.slots,
            state=endpoint.state,
            ejected=endpoint.ejected,
            daemon=sys.intern(member.daemon),
            incarnation=member.incarnation,
            peer_address=sys.intern(member.peer_address),
            data_centre=sys.intern(member.data_centre),
            announced_us=endpoint.announced_us,
            suspect=member.state == SUSPECT,
            verdict_version=endpoint.verdict_version,
            severity_percent=endpoint.severity_percent,
            on_trial=endpoint.on_trial,
            daemon_draining=member.draining,
        )
