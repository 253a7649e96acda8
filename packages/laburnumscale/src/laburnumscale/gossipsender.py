"""Gossip sender.

Sends gossip datagrams with piggybacked updates, within a byte rate limit.
"""

import time
from collections.abc import Callable, Iterable

from google.protobuf.message import Message

from laburnumscale.datagrams import MAX_DATAGRAM_BYTES, DatagramSocket
from laburnumscale.departurequeue import DepartureQueue
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.memberentries import without_endpoints
from laburnumscale.members import Members
from laburnumscale.suspectqueue import SuspectQueue
from laburnumscale.updatequeue import FIELD_OVERHEAD_BYTES, UpdateQueue
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["GossipSender"]

SEND_RATE_BYTES_PER_S = 3_000
MAX_BURST_BYTES = 24_000
MAX_SUSPECT_BYTES = 700  # half of a datagram; the rest is for membership updates
MAX_DEPARTURE_BYTES = 400  # about ten departures


class GossipSender:
    """Fills in the common fields of datagrams and limits the rate of updates.

    Probes are always sent; queued updates wait while the byte budget is exhausted.

    :param revision: returns the settings revision of this daemon.
    """

    def __init__(
        self,
        members: Members,
        socket: DatagramSocket,
        revision: Callable[[], int],
        notices: FleetNotices,
    ) -> None:
        self._members = members
        self._socket = socket
        self._revision = revision
        self._budget_bytes = float(MAX_BURST_BYTES)
        self._refilled_at_s = time.monotonic()
        self.queue = UpdateQueue()
        members.on_change(self.queue.add)
        self._suspects = SuspectQueue()
        notices.quarantine.on_change(self._suspects.add)
        self._departures = DepartureQueue()
        notices.departures.on_change(self._departures.add)

    def send(
        self,
        recipient: peer_pb2.Member,
        datagram: gossip_pb2.Datagram,
        required_updates: Iterable[peer_pb2.Member] = (),
    ) -> None:
        """Send a datagram to a member.

        :param required_updates: entries to include regardless of the byte budget.
        """
        own = self._members.own
        datagram.sender = own.daemon
        datagram.sender_incarnation = own.incarnation
        datagram.sender_address = own.peer_address
        datagram.settings_revision = self._revision()
        datagram.table_digest = self._members.table_digest
        for member in required_updates:
            datagram.updates.append(_liveness_update(member))
        available_bytes = MAX_DATAGRAM_BYTES - datagram.ByteSize()
        available_bytes = min(available_bytes, self._refill_budget())
        departures = self._departures.take_batch(
            min(available_bytes, MAX_DEPARTURE_BYTES), self._members.group_size
        )
        datagram.departures.extend(departures)
        available_bytes -= _size_bytes(departures)
        suspects = self._suspects.take_batch(
            min(available_bytes, MAX_SUSPECT_BYTES), self._members.group_size
        )
        datagram.suspect_calls.extend(suspects)
        available_bytes -= _size_bytes(suspects)
        updates = self.queue.take_batch(available_bytes, self._members.group_size)
        datagram.updates.extend(updates)
        self._budget_bytes -= self._socket.send(recipient.peer_address, datagram)

    def send_bare(self, address: str, datagram: gossip_pb2.Datagram) -> None:
        """Send a datagram that carries no updates and no digest of the table."""
        own = self._members.own
        datagram.sender = own.daemon
        datagram.sender_incarnation = own.incarnation
        datagram.sender_address = own.peer_address
        datagram.settings_revision = self._revision()
        self._refill_budget()
        self._budget_bytes -= self._socket.send(address, datagram)

    def can_send_updates(self) -> bool:
        """Return whether urgent updates are queued and the budget allows a datagram."""
        has_updates = (
            self.queue.has_urgent() or len(self._suspects) + len(self._departures) > 0
        )
        return has_updates and self._refill_budget() >= MAX_DATAGRAM_BYTES

    def _refill_budget(self) -> int:
        now_s = time.monotonic()
        refill_bytes = (now_s - self._refilled_at_s) * SEND_RATE_BYTES_PER_S
        self._refilled_at_s = now_s
        self._budget_bytes = min(MAX_BURST_BYTES, self._budget_bytes + refill_bytes)
        return max(0, int(self._budget_bytes))


def _size_bytes(messages: Iterable[Message]) -> int:
    return sum(each.ByteSize() + FIELD_OVERHEAD_BYTES for each in messages)


def _liveness_update(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return an entry without its endpoints and key homes.

    These are left out because the member that the entry describes already has them.
    """
    update = without_endpoints(member)
    update.ClearField("key_homes")
    return update
