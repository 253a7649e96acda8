"""Members.

The membership table: what this daemon knows of all daemons and their endpoints.
"""

import time
from collections import Counter
from collections.abc import Callable

import attrs

from laburnumscale.acceptance import MAX_TIME_US
from laburnumscale.deadlines import Deadline
from laburnumscale.endpointindex import (
    EndpointIndex,
    EndpointListener,
    EndpointView,
)
from laburnumscale.errors import DaemonNameTaken
from laburnumscale.logs import get_logger
from laburnumscale.memberdeltas import (
    assign_endpoint_versions,
    compute_delta,
    without_removed_endpoints,
)
from laburnumscale.memberentries import (
    DEAD,
    LEFT,
    digest,
    identity,
    includes,
    is_present,
    is_unreached,
    merge_entries,
    merge_with_canonical,
    unreached_entry,
    without_endpoints,
)
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointView", "EntryChange", "Members", "new_incarnation"]

GONE_RETENTION_MS = 3_600_000
MAX_GONE_MEMBERS = 4_096
DIGEST_MODULUS = 1 << 64


def new_incarnation() -> int:
    """Return the incarnation of a daemon that starts now, in µs of Unix time."""
    return time.time_ns() // 1000


@attrs.frozen
class EntryChange:
    """A change of the membership table.

    :ivar before: the entry before the change, or None for a new daemon.
    :ivar after: the entry after the change.
    """

    before: peer_pb2.Member | None
    after: peer_pb2.Member


class Members:
    """The membership table of one daemon.

    Only the daemon's own entry is modified in place; others are replaced.

    :ivar own: the entry of this daemon.
    :ivar name_taken: the error to report once another process uses this daemon's name.
    :ivar refutations: number of refuted reports that this daemon is not alive.
    :ivar incarnation_frozen: the incarnation is kept until this process ends.
    :ivar serving: this daemon has joined and accepts calls.
    :ivar fleet_known: this daemon has read the records of the others, or was told of
        them; without that, it may take its part of a partitioned fleet for the whole.
    """

    def __init__(self, own: peer_pb2.Member) -> None:
        self.own = own
        self.name_taken: DaemonNameTaken | None = None
        self.refutations = 0
        self.incarnation_frozen = False
        self.serving = False
        self.fleet_known = False
        self._table: dict[str, peer_pb2.Member] = {own.daemon: own}
        self._digests: dict[str, int] = {own.daemon: digest(own)}
        self._table_digest = self._digests[own.daemon]
        self._peers: dict[str, peer_pb2.Member] = {}
        self._peer_counts: Counter[str] = Counter()
        self._dead: dict[str, peer_pb2.Member] = {}
        self._gone_deadlines: dict[str, Deadline] = {}
        self._key_holders: dict[tuple[str, int], str] = {}
        self._index = EndpointIndex(self.get)
        self._listeners: list[Callable[[peer_pb2.Member], None]] = []

    def on_change(self, listener: Callable[[peer_pb2.Member], None]) -> None:
        """Register a function that is called with the changed part of an entry."""
        self._listeners.append(listener)

    def get(self, daemon: str) -> peer_pb2.Member | None:
        """Return the entry of a daemon, or None."""
        return self._table.get(daemon)

    def all(self) -> list[peer_pb2.Member]:
        """Return all entries, including this daemon's, without removed endpoints."""
        return [without_removed_endpoints(member) for member in self._table.values()]

    def peers(self) -> list[peer_pb2.Member]:
        """Return the entries of the other daemons that are alive or suspected."""
        return list(self._peers.values())

    def data_centre_at(self, peer_address: str) -> str:
        """Return the data centre of the daemon at an address, or an empty string."""
        found = (
            member.data_centre
            for member in self._peers.values()
            if member.peer_address == peer_address
        )
        return next(found, "")

    @property
    def group_size(self) -> int:
        """Return the number of daemons alive or suspected, including this one."""
        return len(self._peers) + 1

    @property
    def fleet_size(self) -> int:
        """Return the number of daemons that this one has to expect, itself included.

        These are the group, and those that may live on the other side of a partition.
        """
        return self.group_size + len(self._dead)

    def count_in(self, data_centre: str) -> int:
        """Return the number of daemons of the group in a data centre."""
        is_own = data_centre == self.own.data_centre
        return self._peer_counts[data_centre] + is_own

    def dead(self) -> list[peer_pb2.Member]:
        """Return the entries of the daemons that were declared dead and may return."""
        return list(self._dead.values())

    def record_unreached(self, recorded: peer_pb2.Member) -> None:
        """Add a daemon that is on record, unless its process is known already.

        A later process of a daemon that is gone counts as well: it may have started on
        the other side of a partition.
        """
        known = self._table.get(recorded.daemon)
        if known is None or (
            not is_present(known) and identity(recorded) > identity(known)
        ):
            self._store(known, unreached_entry(recorded))

    def forget_unreached(self, listed: set[str]) -> None:
        """Forget the daemons on record that a peer which knows the fleet does not list.

        Their machines were lost, or they were removed from the fleet.

        :param listed: daemons that the peer lists as present or dead.
        """
        for member in self.dead():
            if is_unreached(member) and member.daemon not in listed:
                self._remove_gone(member.daemon)

    @property
    def table_digest(self) -> int:
        """Return the digest of the whole table."""
        return self._table_digest

    def digests(self) -> dict[str, int]:
        """Return the digests of the entries by daemon, without those that are 0."""
        return {daemon: value for daemon, value in self._digests.items() if value}

    def freeze_incarnation(self) -> None:
        """Keep the current incarnation until this process ends."""
        self.incarnation_frozen = True

    def merge(self, received: peer_pb2.Member) -> EntryChange | None:
        """Merge a received entry into the table.

        :returns: the change, or None if the table did not change; always None for
            an entry of this daemon.
        """
        if received.daemon == self.own.daemon:
            self._handle_own_entry(received)
            return None
        known = self._table.get(received.daemon)
        if known is not None and includes(known, received):
            return None
        merged = (
            merge_entries(received, received)
            if known is None
            else merge_with_canonical(known, received)
        )
        if merged == known:
            return None
        self._store(known, merged)
        if known is not None or is_present(merged):
            self._notify(compute_delta(known, received, merged))
        return EntryChange(known, merged)

    def set_state(self, daemon: str, state: int) -> None:
        """Set the state of another daemon without changing its version."""
        known = self._table.get(daemon)
        if known is not None:
            update = without_endpoints(known)
            update.state = state
            self.merge(update)

    def set_endpoints(self, endpoints: list[peer_pb2.Endpoint]) -> None:
        """Replace the endpoints of this daemon and notify listeners of the changes."""
        delta = assign_endpoint_versions(self.own, endpoints)
        if delta.endpoints:
            self._replace_own_endpoints(endpoints)
            self._notify(delta)

    def set_draining(self) -> None:
        """Mark this daemon as draining, before it leaves."""
        self._change_own(draining=True)

    def set_left(self) -> None:
        """Mark this daemon as having left."""
        self._change_own(state=LEFT)

    def set_key_homes(self, homes: list[peer_pb2.KeyHolder]) -> None:
        """Set the daemons whose operation keys this daemon has taken over."""
        before = self._copy_own()
        del self.own.key_homes[:]
        self.own.key_homes.extend(homes)
        self._update_key_holders(before, self.own)
        self._change_own()

    def key_holder(self, daemon: str, incarnation: int) -> peer_pb2.Member | None:
        """Return the daemon that took over the operation keys of another, or None.

        :param incarnation: the incarnation of the daemon that had the keys before.
        """
        holder = self._key_holders.get((daemon, incarnation))
        return self._table.get(holder) if holder is not None else None

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, each with the daemon that lists it."""
        return self._index.endpoints(service)

    def endpoint(self, service: str, endpoint: str) -> EndpointView | None:
        """Return one endpoint with the daemon that lists it, or None."""
        return self._index.endpoint(service, endpoint)

    def watch_endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, and report all changes of them later."""
        return self._index.watch(service)

    def on_endpoint_change(self, listener: EndpointListener) -> None:
        """Register a function that is called for each change of a watched endpoint.

        It gets the service, the name of the endpoint, and its view or None.
        """
        self._index.on_change(listener)

    def remove_gone_members(self) -> list[str]:
        """Remove expired entries of gone members, and the oldest above the limit.

        :returns: peer addresses that no remaining entry uses.
        """
        removed_addresses = set()
        for daemon, deadline in list(self._gone_deadlines.items()):
            too_many = len(self._gone_deadlines) > MAX_GONE_MEMBERS
            if not (deadline.has_passed() or too_many):
                break
            removed_addresses.add(self._remove_gone(daemon).peer_address)
        if not removed_addresses:
            return []
        return sorted(
            removed_addresses - {each.peer_address for each in self._table.values()}
        )

    def _remove_gone(self, daemon: str) -> peer_pb2.Member:
        """Remove the entry of a gone member and return it."""
        del self._gone_deadlines[daemon]
        del self._digests[daemon]
        self._dead.pop(daemon, None)
        return self._table.pop(daemon)

    def _handle_own_entry(self, received: peer_pb2.Member) -> None:
        if identity(received) > identity(self.own):
            self._handle_name_conflict(received)
        elif identity(received) == identity(self.own):
            self._refute(received)

    def _handle_name_conflict(self, received: peer_pb2.Member) -> None:
        if not self.incarnation_frozen:
            if received.incarnation < MAX_TIME_US:
                self._change_own(incarnation=received.incarnation + 1)
        elif self.name_taken is None and is_present(received):
            self.name_taken = DaemonNameTaken(
                self.own.daemon,
                self.own.incarnation,
                received.incarnation,
                received.peer_address,
            )
            get_logger().error("daemon name taken", reason=str(self.name_taken))

    def _refute(self, received: peer_pb2.Member) -> None:
        if received.version < self.own.version or received.state == self.own.state:
            return
        self.refutations += 1
        self._change_own(version=received.version)

    def _change_own(self, **fields: int | bool) -> None:
        before = self._copy_own()
        for name, value in fields.items():
            setattr(self.own, name, value)
        self.own.version += 1
        self._store(before, self.own)
        self._notify(without_endpoints(self.own))

    def _copy_own(self) -> peer_pb2.Member:
        copy = peer_pb2.Member()
        copy.CopyFrom(self.own)
        return copy

    def _replace_own_endpoints(self, endpoints: list[peer_pb2.Endpoint]) -> None:
        before = self._copy_own()
        del self.own.endpoints[:]
        self.own.endpoints.extend(endpoints)
        self._store(before, self.own)

    def _store(self, before: peer_pb2.Member | None, after: peer_pb2.Member) -> None:
        daemon = after.daemon
        self._table[daemon] = after
        old_digest = self._digests.get(daemon, 0)
        self._digests[daemon] = digest(after)
        change = self._digests[daemon] - old_digest
        self._table_digest = (self._table_digest + change) % DIGEST_MODULUS
        self._update_key_holders(before, after)
        self._index.update(before, after)
        self._gone_deadlines.pop(daemon, None)
        self._dead.pop(daemon, None)
        known = self._peers.get(daemon)
        if known is not None:
            self._peer_counts[known.data_centre] -= 1
        if is_present(after) and daemon != self.own.daemon:
            self._peers[daemon] = after
            self._peer_counts[after.data_centre] += 1
        else:
            self._peers.pop(daemon, None)
        if not is_present(after):
            self._gone_deadlines[daemon] = Deadline.after_ms(GONE_RETENTION_MS)
        if after.state == DEAD:
            self._dead[daemon] = after

    def _update_key_holders(
        self, before: peer_pb2.Member | None, after: peer_pb2.Member
    ) -> None:
        for home in before.key_homes if before is not None else ():
            self._key_holders.pop((home.daemon, home.incarnation), None)
        for home in after.key_homes if is_present(after) else ():
            self._key_holders[home.daemon, home.incarnation] = after.daemon

    def _notify(self, delta: peer_pb2.Member) -> None:
        for listener in self._listeners:
            listener(delta)
