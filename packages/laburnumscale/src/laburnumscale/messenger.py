"""Messenger.

Sends the datagrams of the gossip, with as much news as fits and is affordable.
"""

import time
from collections.abc import Callable, Iterable

from laburnumscale.datagrams import DATAGRAM_LIMIT_BYTES, DatagramSocket
from laburnumscale.memberentries import without_endpoints
from laburnumscale.members import Members
from laburnumscale.updatequeue import UpdateQueue
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["Messenger"]

BYTES_PER_S = 3_000
HIGHEST_BURST_BYTES = 24_000


class Messenger:
    """Fills in the sender and the news, and keeps to a rate of bytes.

    Probes always go out; news wait when the rate is used up.

    :param revision: returns the settings revision of this daemon.
    """

    def __init__(
        self, members: Members, socket: DatagramSocket, revision: Callable[[], int]
    ) -> None:
        self._members = members
        self._socket = socket
        self._revision = revision
        self._credit_bytes = float(HIGHEST_BURST_BYTES)
        self._credit_at_s = time.monotonic()
        self.queue = UpdateQueue()
        members.on_change(self.queue.add)

    def send(
        self,
        to: peer_pb2.Member,
        datagram: gossip_pb2.Datagram,
        told: Iterable[peer_pb2.Member] = (),
    ) -> None:
        """Send a datagram to a member.

        :param told: news that this member must hear in any case.
        """
        own = self._members.own
        datagram.sender = own.daemon
        datagram.sender_incarnation = own.incarnation
        datagram.sender_address = own.peer_address
        datagram.settings_revision = self._revision()
        datagram.table_digest = self._members.table_digest
        for member in told:
            datagram.updates.append(_claim(member))
        room_bytes = DATAGRAM_LIMIT_BYTES - datagram.ByteSize()
        room_bytes = min(room_bytes, self._credit())
        updates = self.queue.take_batch(room_bytes, self._members.group_size)
        datagram.updates.extend(updates)
        self._credit_bytes -= self._socket.send(to.peer_address, datagram)

    def can_spread(self) -> bool:
        """Tell whether there is fresh news and it is affordable to send it at once."""
        return self.queue.has_urgent() and self._credit() >= DATAGRAM_LIMIT_BYTES

    def _credit(self) -> int:
        now_s = time.monotonic()
        earned_bytes = (now_s - self._credit_at_s) * BYTES_PER_S
        self._credit_at_s = now_s
        self._credit_bytes = min(HIGHEST_BURST_BYTES, self._credit_bytes + earned_bytes)
        return max(0, int(self._credit_bytes))


def _claim(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return what a member must hear about itself; what it keeps is left out."""
    claim = without_endpoints(member)
    claim.ClearField("key_homes")
    return claim
