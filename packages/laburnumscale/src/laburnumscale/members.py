"""Members.

What this daemon knows of the other daemons and of the endpoints beside them.
"""

import time

import attrs

from laburnumscale_schema import peer_pb2

__all__ = ["EndpointView", "Members", "new_incarnation"]

ALIVE = peer_pb2.MEMBER_STATE_ALIVE
SUSPECT = peer_pb2.MEMBER_STATE_SUSPECT
LEFT = peer_pb2.MEMBER_STATE_LEFT


def new_incarnation() -> int:
    """Return the incarnation of a daemon that starts now."""
    return time.time_ns() // 1000


@attrs.frozen
class EndpointView:
    """An endpoint together with the daemon that guards it."""

    service: str
    endpoint: str
    slots: int
    state: int
    ejected: bool
    daemon: str
    incarnation: int
    peer_address: str
    data_centre: str
    verdict_version: int = 0
    severity_percent: int = 0
    on_trial: bool = False


class Members:
    """The membership table of one daemon."""

    def __init__(self, own: peer_pb2.Member) -> None:
        self.own = own
        self._table: dict[str, peer_pb2.Member] = {own.daemon: own}
        self._by_service: dict[str, list[EndpointView]] | None = None

    def get(self, daemon: str) -> peer_pb2.Member | None:
        """Return the entry of a daemon, or None."""
        return self._table.get(daemon)

    def all(self) -> list[peer_pb2.Member]:
        """Return the entries of all daemons, this one included."""
        return list(self._table.values())

    def peers(self) -> list[peer_pb2.Member]:
        """Return the other daemons that are not known to be gone."""
        return [
            member
            for member in self._table.values()
            if member.daemon != self.own.daemon and member.state in (ALIVE, SUSPECT)
        ]

    def merge(self, heard: peer_pb2.Member) -> bool:
        """Take an entry that is newer than the known one.

        :returns: whether the table changed.
        """
        known = self._table.get(heard.daemon)
        if heard.daemon == self.own.daemon:
            return False
        if known is not None and (heard.incarnation, heard.version) <= (
            known.incarnation,
            known.version,
        ):
            return False
        self._table[heard.daemon] = heard
        self._by_service = None
        return True

    def set_endpoints(self, endpoints: list[peer_pb2.Endpoint]) -> None:
        """Replace the endpoints of this daemon."""
        del self.own.endpoints[:]
        self.own.endpoints.extend(endpoints)
        self._own_changed()

    def set_draining(self) -> None:
        """Say that this daemon is about to leave."""
        self.own.draining = True
        self._own_changed()

    def set_left(self) -> None:
        """Say that this daemon has left."""
        self.own.state = LEFT
        self._own_changed()

    def set_key_homes(self, homes: list[peer_pb2.KeyHolder]) -> None:
        """Say whose operation keys this daemon has taken over."""
        del self.own.key_homes[:]
        self.own.key_homes.extend(homes)
        self._own_changed()

    def key_holder(self, daemon: str, incarnation: int) -> peer_pb2.Member | None:
        """Return the daemon that took over the operation keys of another, or None."""
        wanted = peer_pb2.KeyHolder(daemon=daemon, incarnation=incarnation)
        for member in self._table.values():
            if wanted in member.key_homes and member.state in (ALIVE, SUSPECT):
                return member
        return None

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service."""
        if self._by_service is None:
            self._by_service = self._index()
        return self._by_service.get(service, [])

    def _own_changed(self) -> None:
        self.own.version += 1
        self._by_service = None

    def _index(self) -> dict[str, list[EndpointView]]:
        index: dict[str, list[EndpointView]] = {}
        for member in self._table.values():
            if member.state not in (ALIVE, SUSPECT):
                continue
            for endpoint in member.endpoints:
                view = EndpointView(
                    service=endpoint.service,
                    endpoint=endpoint.endpoint,
                    slots=endpoint.slots,
                    state=endpoint.state,
                    ejected=endpoint.ejected,
                    daemon=member.daemon,
                    incarnation=member.incarnation,
                    peer_address=member.peer_address,
                    data_centre=member.data_centre,
                    verdict_version=endpoint.verdict_version,
                    severity_percent=endpoint.severity_percent,
                    on_trial=endpoint.on_trial,
                )
                index.setdefault(endpoint.service, []).append(view)
        return index
