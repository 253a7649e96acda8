"""Endpoint index.

Finds the endpoints of a service, each with the daemon that it is registered with.
"""

import sys
from collections.abc import Callable, Iterable

import attrs

from laburnumscale.memberentries import GONE, SUSPECT, is_present
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointIndex", "EndpointListener", "EndpointView"]


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


EndpointListener = Callable[[str, str, EndpointView | None], None]


@attrs.define(eq=False)
class _ServiceViews:
    """The views of the endpoints of one service.

    :ivar by_daemon: the listed endpoints by daemon and name.
    :ivar daemons: the daemons that list an endpoint, by its name.
    :ivar selected: one view of each endpoint, by its name.
    """

    by_daemon: dict[str, dict[str, EndpointView]] = attrs.field(factory=dict)
    daemons: dict[str, set[str]] = attrs.field(factory=dict)
    selected: dict[str, EndpointView] = attrs.field(factory=dict)

    def replace(self, daemon: str, views: dict[str, EndpointView]) -> list[str]:
        """Replace the views of a daemon.

        :returns: the names of the endpoints whose selected view has changed.
        """
        before = self.by_daemon.pop(daemon, {})
        if views:
            self.by_daemon[daemon] = views
        changed = [
            endpoint
            for endpoint in before.keys() | views.keys()
            if before.get(endpoint) != views.get(endpoint)
        ]
        for endpoint in before.keys() - views.keys():
            self.daemons[endpoint].discard(daemon)
        for endpoint in views:
            self.daemons.setdefault(endpoint, set()).add(daemon)
        return [endpoint for endpoint in changed if self._select(endpoint)]

    def _select(self, endpoint: str) -> bool:
        """Select the view of an endpoint and return whether it has changed."""
        listed = [self.by_daemon[daemon][endpoint] for daemon in self.daemons[endpoint]]
        before = self.selected.get(endpoint)
        if not listed:
            del self.daemons[endpoint]
            del self.selected[endpoint]
            return True
        self.selected[endpoint] = max(listed, key=lambda view: view.precedence)
        return self.selected[endpoint] != before


class EndpointIndex:
    """Index from services to endpoints.

    The views of a service are built when it is first used. From then on, a changed
    membership entry updates only the views of its own endpoints.

    :param get_member: returns the membership entry of a daemon, or None.
    """

    def __init__(self, get_member: Callable[[str], peer_pb2.Member | None]) -> None:
        self._get_member = get_member
        self._daemons: dict[str, set[str]] = {}
        self._services: dict[str, _ServiceViews] = {}
        self._listeners: list[EndpointListener] = []

    def on_change(self, listener: EndpointListener) -> None:
        """Register a function that is called for each changed endpoint.

        It gets the service, the name of the endpoint, and its view or None. Only the
        endpoints of services that are used or watched are reported.
        """
        self._listeners.append(listener)

    def update(
        self, before: peer_pb2.Member | None, after: peer_pb2.Member | None
    ) -> None:
        """Update the index for a changed membership entry."""
        removed = _listed_services(before)
        listed = _listed_services(after)
        for service in removed - listed:
            self._remove_daemon(service, before.daemon)
            self._replace_views(service, before.daemon, None)
        for service in listed:
            self._daemons.setdefault(sys.intern(service), set()).add(after.daemon)
            self._replace_views(service, after.daemon, after)

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, one view each."""
        if service not in self._services and service not in self._daemons:
            return []
        return list(self._get_views(service).selected.values())

    def endpoint(self, service: str, endpoint: str) -> EndpointView | None:
        """Return the view of one endpoint, or None."""
        if service not in self._services and service not in self._daemons:
            return None
        return self._get_views(service).selected.get(endpoint)

    def watch(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, and report all changes of them later."""
        return list(self._get_views(service).selected.values())

    def _remove_daemon(self, service: str, daemon: str) -> None:
        daemons = self._daemons.get(service, set())
        daemons.discard(daemon)
        if not daemons:
            self._daemons.pop(service, None)

    def _get_views(self, service: str) -> _ServiceViews:
        views = self._services.get(service)
        if views is None:
            views = _ServiceViews()
            for daemon in self._daemons.get(service, ()):
                views.replace(daemon, _list_views(self._get_member(daemon), service))
            self._services[service] = views
        return views

    def _replace_views(
        self, service: str, daemon: str, member: peer_pb2.Member | None
    ) -> None:
        views = self._services.get(service)
        if views is None:
            return
        for endpoint in views.replace(daemon, _list_views(member, service)):
            for listener in self._listeners:
                listener(service, endpoint, views.selected.get(endpoint))


def _list_views(
    member: peer_pb2.Member | None, service: str
) -> dict[str, EndpointView]:
    """Return the views of the endpoints of a service that a member lists, by name."""
    return {view.endpoint: view for view in _endpoint_views(member, service)}


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
