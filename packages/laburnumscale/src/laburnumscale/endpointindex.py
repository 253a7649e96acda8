"""Endpoint index.

Finds the endpoints of a service, each with the daemon that it is registered with.
"""

import sys
from collections.abc import Callable, Iterable

import attrs

from laburnumscale.memberentries import GONE, SUSPECT, is_present
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointIndex", "EndpointView"]


@attrs.frozen
class EndpointView:
    """An endpoint and the daemon that it is registered with.

    :ivar announced_us: when the target first announced itself to this daemon.
    :ivar verdict_version: increases with each health verdict of the daemon's guard.
    :ivar daemon_draining: the daemon is draining and will leave.
    :ivar suspect: the daemon is suspected to be dead, which is not yet confirmed.
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
    names_limit: bool = False
    daemon_draining: bool = False

    @property
    def precedence(self) -> tuple[int, int, str]:
        """Return the sort key that resolves conflicts over an endpoint.

        If several daemons list the same endpoint, the highest key wins.
        """
        return self.announced_us, self.incarnation, self.daemon


class EndpointIndex:
    """Index from services to daemons; endpoint views are built on demand and cached.

    :param get_member: returns the membership entry of a daemon, or None.
    """

    def __init__(self, get_member: Callable[[str], peer_pb2.Member | None]) -> None:
        self._get_member = get_member
        self._daemons: dict[str, set[str]] = {}
        self._cached_views: dict[str, list[EndpointView]] = {}

    def update(
        self, before: peer_pb2.Member | None, after: peer_pb2.Member | None
    ) -> None:
        """Update the index for a changed membership entry."""
        for service in _listed_services(before):
            self._remove_daemon(service, before.daemon)
        for service in _listed_services(after):
            self._daemons.setdefault(sys.intern(service), set()).add(after.daemon)
            self._cached_views.pop(service, None)

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, one view each."""
        views = self._cached_views.get(service)
        if views is None:
            views = self._build_views(service)
            if service in self._daemons:
                self._cached_views[service] = views
        return views

    def _remove_daemon(self, service: str, daemon: str) -> None:
        self._cached_views.pop(service, None)
        daemons = self._daemons.get(service, set())
        daemons.discard(daemon)
        if not daemons:
            self._daemons.pop(service, None)

    def _build_views(self, service: str) -> list[EndpointView]:
        selected: dict[str, EndpointView] = {}
        for daemon in sorted(self._daemons.get(service, ())):
            for view in _endpoint_views(self._get_member(daemon), service):
                current = selected.get(view.endpoint)
                if current is None or current.precedence < view.precedence:
                    selected[view.endpoint] = view
        return list(selected.values())


def _listed_services(member: peer_pb2.Member | None) -> set[str]:
    if member is None or not is_present(member):
        return set()
    return {endpoint.service for endpoint in member.endpoints if endpoint.state != GONE}


def _endpoint_views(
    member: peer_pb2.Member | None, service: str
) -> Iterable[EndpointView]:
    if member is None or not is_present(member):
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
            names_limit=endpoint.names_limit,
            daemon_draining=member.draining,
        )
