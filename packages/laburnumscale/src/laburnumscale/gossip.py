"""Gossip.

Keeps the membership table of one daemon in step with those of the others.
"""

import asyncio
import math
import random
import time
from collections.abc import Callable, Sequence

from laburnumscale.addresses import Address
from laburnumscale.channels import PeerChannels
from laburnumscale.claims import Claims
from laburnumscale.datagrams import DatagramSocket
from laburnumscale.detector import FailureDetector
from laburnumscale.localhealth import LATE_LIMIT_S, LocalHealth
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import DEAD, is_present
from laburnumscale.members import Members
from laburnumscale.messenger import Messenger
from laburnumscale.metrics import Metrics
from laburnumscale.peerdiscovery import PeerDiscovery
from laburnumscale.platformlog import LogClient
from laburnumscale.presence import PresenceStream
from laburnumscale.suspicions import Suspicions
from laburnumscale.tableexchange import TableExchange
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["Gossip"]

SPREAD_INTERVAL_S = 0.2
SPREAD_FANOUT = 2
LEAVE_FANOUT = 8
FORGET_INTERVAL_S = 5.0
EXCHANGE_CHECK_S = 0.5
EXCHANGE_S_PER_DECADE_SQUARED = 4.0
MISMATCHES_BEFORE_EXCHANGE = 3
HIGHEST_WANTED_EXCHANGES = 4

PING = gossip_pb2.DATAGRAM_KIND_PING
ACK = gossip_pb2.DATAGRAM_KIND_ACK
PING_REQUEST = gossip_pb2.DATAGRAM_KIND_PING_REQUEST
NACK = gossip_pb2.DATAGRAM_KIND_NACK
UPDATES = gossip_pb2.DATAGRAM_KIND_UPDATES


def exchange_interval_s(group_size: int) -> float:
    """Return the least time between exchanges over differing digests."""
    decades = max(1.0, math.log10(max(1, group_size)))
    return EXCHANGE_S_PER_DECADE_SQUARED * decades * decades


class Gossip:
    """The membership of one daemon: joining, probing, spreading, leaving.

    :param log: where daemons find each other, or None if seeds do.
    :param seeds: addresses of daemons that may be there already.
    :param revision: returns the settings revision of this daemon.
    :param heard_revision: called with a newer revision and the peer address of
        the daemon that has it.
    """

    def __init__(
        self,
        members: Members,
        channels: PeerChannels,
        log: LogClient | None,
        metrics: Metrics,
        *,
        seeds: Sequence[Address] = (),
        revision: Callable[[], int] = lambda: 0,
        heard_revision: Callable[[int, str], None] = lambda revision, address: None,
    ) -> None:
        self._members = members
        self._channels = channels
        self._metrics = metrics
        self._revision = revision
        self._heard_revision = heard_revision
        self._health = LocalHealth()
        self._socket = DatagramSocket(channels.overrides, metrics)
        self._messenger = Messenger(members, self._socket, revision)
        self._suspicions = Suspicions(members, self._health, metrics)
        self._detector = FailureDetector(
            members, self._messenger, self._health, metrics
        )
        self._claims = Claims(members, self._detector.ping, metrics)
        self.exchange = TableExchange(members, self._claims, channels, metrics)
        presence = None if log is None else PresenceStream(log, members, metrics)
        self._joining = PeerDiscovery(members, presence, self.exchange, metrics, seeds)
        self._refuted = 0
        self._name_taken = False
        self._mismatches: list[str] = []
        self._wanted: dict[str, None] = {}
        self._tasks: list[asyncio.Task] = []

    @property
    def contact_at_s(self) -> float:
        """Return the monotonic time of the last datagram from a peer, 0 for none."""
        return self._health.heard_at_s

    async def join(self) -> None:
        """Learn who is there, and settle the incarnation of this daemon."""
        await self._joining.join()

    async def start(self, address: Address) -> None:
        """Take part from now on.

        :param address: where datagrams arrive.
        """
        await self._socket.open(address, self._receive)
        for peer in random.sample(self._members.peers(), len(self._members.peers())):
            self._want_exchange(peer.peer_address)
        for part in (
            self._detector.probe_forever(),
            self._spread_forever(),
            self._exchange_forever(),
            self._joining.discover_forever(),
        ):
            task = asyncio.create_task(part, name=part.__qualname__)
            task.add_done_callback(self._part_ended)
            self._tasks.append(task)

    async def leave(self) -> None:
        """Tell several peers that this daemon has left, and stop."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._members.set_left()
        for peer in self._sample(LEAVE_FANOUT):
            farewell = gossip_pb2.Datagram(kind=UPDATES)
            self._messenger.send(peer, farewell, [self._members.own])
        self._socket.close()

    def _part_ended(self, task: asyncio.Task) -> None:
        if task.cancelled() or task.exception() is None:
            return
        self._metrics.count("membership_part_failures")
        reason = repr(task.exception())
        get_logger().error(
            "membership part failed", part=task.get_name(), reason=reason
        )

    async def _spread_forever(self) -> None:
        forget_at_s = time.monotonic() + FORGET_INTERVAL_S
        while True:
            expected_at_s = time.monotonic() + SPREAD_INTERVAL_S
            await asyncio.sleep(SPREAD_INTERVAL_S)
            late_s = time.monotonic() - expected_at_s
            if late_s > LATE_LIMIT_S:
                self._metrics.count("loop_pauses")
                self._health.bad()
                self._suspicions.postpone(late_s)
            self._suspicions.expire()
            self._spread()
            self._count_own()
            if time.monotonic() > forget_at_s:
                forget_at_s = time.monotonic() + FORGET_INTERVAL_S
                self._claims.forget_old()
                for address in self._members.remove_gone_members():
                    await self._channels.forget(address)

    def _count_own(self) -> None:
        """Count what others said of this daemon."""
        refuted = self._members.refutations - self._refuted
        if refuted:
            self._metrics.count("suspicions_refuted", amount=refuted)
            self._refuted += refuted
        if self._members.name_taken is not None and not self._name_taken:
            self._name_taken = True
            self._metrics.count("daemon_name_taken")

    def _spread(self) -> None:
        for peer in self._sample(SPREAD_FANOUT):
            if self._messenger.can_spread():
                self._messenger.send(peer, gossip_pb2.Datagram(kind=UPDATES))

    async def _exchange_forever(self) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_CHECK_S * random.uniform(0.5, 1.5))
            address = self._next_exchange()
            if address is not None:
                await self.exchange.exchange(address)

    def _next_exchange(self) -> str | None:
        if self._wanted:
            address, _ = self._wanted.popitem()
            return address
        age_s = time.monotonic() - self.exchange.last_started_at_s
        least_s = exchange_interval_s(self._members.group_size)
        if len(self._mismatches) < MISMATCHES_BEFORE_EXCHANGE or age_s < least_s:
            return None
        address = self._mismatches[-1]
        self._mismatches.clear()
        return address

    def _sample(self, count: int) -> list[peer_pb2.Member]:
        peers = self._members.peers()
        return random.sample(peers, min(count, len(peers)))

    def _want_exchange(self, address: str) -> None:
        if len(self._wanted) < HIGHEST_WANTED_EXCHANGES:
            self._wanted[address] = None

    def _receive(self, datagram: gossip_pb2.Datagram) -> None:
        self._health.heard()
        for update in datagram.updates:
            self._hear(update)
        sender = self._sender(datagram)
        self._compare(datagram)
        if datagram.kind == PING:
            self._detector.answer_ping(datagram, sender)
        elif datagram.kind == PING_REQUEST:
            self._detector.answer_ping_request(datagram, sender)
        elif datagram.kind == ACK:
            self._detector.take_ack(datagram)
        elif datagram.kind == NACK:
            self._detector.take_nack(datagram)

    def _hear(self, update: peer_pb2.Member) -> None:
        merge = self._claims.hear(update)
        if merge is None or not is_present(merge.after):
            return
        if merge.before is None or merge.before.state == DEAD:
            self._want_exchange(merge.after.peer_address)

    def _sender(self, datagram: gossip_pb2.Datagram) -> peer_pb2.Member:
        known = self._members.get(datagram.sender)
        if known is not None and known.incarnation == datagram.sender_incarnation:
            self._claims.heard_from(datagram.sender)
            return known
        if known is None or known.incarnation < datagram.sender_incarnation:
            self._want_exchange(datagram.sender_address)
        return peer_pb2.Member(
            daemon=datagram.sender,
            incarnation=datagram.sender_incarnation,
            peer_address=datagram.sender_address,
        )

    def _compare(self, datagram: gossip_pb2.Datagram) -> None:
        if datagram.settings_revision > self._revision():
            self._heard_revision(datagram.settings_revision, datagram.sender_address)
        if datagram.table_digest == self._members.table_digest:
            self._mismatches.clear()
        elif len(self._mismatches) < MISMATCHES_BEFORE_EXCHANGE:
            self._mismatches.append(datagram.sender_address)
