"""Gossip.

Synchronises the membership table of one daemon with those of its peers.
"""

import asyncio
import math
import random
import time
from collections.abc import Awaitable, Callable, Sequence

from laburnumscale.addresses import Address
from laburnumscale.channels import PeerChannels
from laburnumscale.confirmationrequests import ConfirmationRequests
from laburnumscale.datagrams import DatagramSocket
from laburnumscale.departurerecords import DepartureRecords
from laburnumscale.detector import FailureDetector
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.gossipsender import GossipSender
from laburnumscale.localhealth import MAX_WAKEUP_DELAY_S, LocalHealth
from laburnumscale.memberentries import DEAD, is_present, is_unreached
from laburnumscale.members import Members
from laburnumscale.merger import EntryMerger
from laburnumscale.metrics import Metrics
from laburnumscale.peerdiscovery import PeerDiscovery
from laburnumscale.peersampling import sample_peers
from laburnumscale.peertraffic import PeerTraffic
from laburnumscale.platformlog import LogClient
from laburnumscale.presence import PresenceStream
from laburnumscale.supervision import run_supervised
from laburnumscale.suspicions import SuspicionTimers
from laburnumscale.tableexchange import TableExchange
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["Gossip"]

GOSSIP_INTERVAL_S = 0.2
GOSSIP_FANOUT = 2
LEAVE_FANOUT = 8
CLEANUP_INTERVAL_S = 5.0
EXCHANGE_CHECK_INTERVAL_S = 0.5
EXCHANGE_S_PER_DECADE_SQUARED = 4.0
MISMATCHES_BEFORE_EXCHANGE = 3
MAX_PENDING_EXCHANGES = 4
MIN_CONFIRMATION_DELAY_S = 0.01

PING = gossip_pb2.DATAGRAM_KIND_PING
ACK = gossip_pb2.DATAGRAM_KIND_ACK
PING_REQUEST = gossip_pb2.DATAGRAM_KIND_PING_REQUEST
NACK = gossip_pb2.DATAGRAM_KIND_NACK
UPDATES = gossip_pb2.DATAGRAM_KIND_UPDATES
CONFIRMATION_REQUEST = gossip_pb2.DATAGRAM_KIND_CONFIRMATION_REQUEST
CONFIRMATION = gossip_pb2.DATAGRAM_KIND_CONFIRMATION


def min_exchange_interval_s(group_size: int) -> float:
    """Return the minimum interval between table exchanges after digest mismatches.

    It grows with the square of the base-10 logarithm of the group size.
    """
    decades = max(1.0, math.log10(max(1, group_size)))
    return EXCHANGE_S_PER_DECADE_SQUARED * decades * decades


class Gossip:
    """Group membership of one daemon: joining, probing, dissemination and leaving.

    :param log: platform log through which daemons discover each other, or None to
        use only the seed addresses.
    :param seeds: addresses of daemons that may already be running.
    :param revision: returns the settings revision of this daemon.
    :param on_revision: called with the settings revision that a datagram reports and
        the peer address of the daemon that has it.
    :param notices: what daemons tell each other beside the membership.
    :ivar departure_records: writes departures of targets to the log.
    :ivar confirmations: decides when to ask which reader of the log whether the
        settings are the newest; None for a daemon without settings.
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
        on_revision: Callable[[int, str], None] = lambda revision, address: None,
        notices: FleetNotices | None = None,
    ) -> None:
        self._notices = FleetNotices.create(metrics) if notices is None else notices
        self.confirmations: ConfirmationRequests | None = None
        self._members = members
        self._channels = channels
        self._metrics = metrics
        self._revision = revision
        self._on_revision = on_revision
        self._health = LocalHealth()
        traffic = PeerTraffic(members, metrics)
        self._socket = DatagramSocket(channels.overrides, metrics, traffic)
        self._gossip_sender = GossipSender(
            members, self._socket, revision, self._notices
        )
        self._suspicions = SuspicionTimers(members, self._health, metrics)
        self._detector = FailureDetector(
            members, self._gossip_sender, self._health, metrics
        )
        self._merger = EntryMerger(members, self._detector.ping, metrics)
        self.exchange = TableExchange(
            members, self._merger, channels, metrics, self._notices
        )
        presence = None
        if log is not None:
            presence = PresenceStream(log, members, metrics, self._notices.departures)
        self._discovery = PeerDiscovery(
            members, presence, self.exchange, metrics, seeds
        )
        self.departure_records = DepartureRecords(members, presence, metrics)
        self._counted_refutations = 0
        self._name_taken_counted = False
        self._mismatched_addresses: list[str] = []
        self._pending_exchanges: dict[str, None] = {}
        self._tasks: list[asyncio.Task] = []

    @property
    def last_contact_at_s(self) -> float:
        """Return the monotonic time of the last datagram from a peer, or 0."""
        return self._health.last_datagram_at_s

    def on_probe_result(self, listener: Callable[[bool], None]) -> None:
        """Register a function that is called with whether a probe was acked."""
        self._detector.on_probe_result = listener

    async def join(self) -> None:
        """Discover the other daemons and determine the incarnation of this one."""
        await self._discovery.join()

    async def start(self, address: Address) -> None:
        """Open the datagram socket and start the background tasks.

        :param address: address on which to receive datagrams.
        """
        await self._socket.open(address, self._handle_datagram)
        for peer in random.sample(self._members.peers(), len(self._members.peers())):
            self._schedule_exchange(peer.peer_address)
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "failure detector": self._detector.probe_forever,
            "membership updates": self._run_periodic_work,
            "table exchange": self._exchange_forever,
            "peer discovery": self._discovery.discover_forever,
            "departure records": self.departure_records.write_forever,
            "settings confirmation": self._confirm_settings_forever,
        }
        self._tasks.extend(
            asyncio.create_task(run_supervised(part, run, self._metrics), name=part)
            for part, run in parts.items()
        )

    async def leave(self) -> None:
        """Stop the background tasks and notify several peers that this daemon left."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._members.set_left()
        for peer in self._sample_peers(LEAVE_FANOUT):
            leave_update = gossip_pb2.Datagram(kind=UPDATES)
            self._gossip_sender.send(peer, leave_update, [self._members.own])
        self._socket.close()

    async def _run_periodic_work(self) -> None:
        cleanup_at_s = time.monotonic() + CLEANUP_INTERVAL_S
        while True:
            expected_at_s = time.monotonic() + GOSSIP_INTERVAL_S
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            pause_s = time.monotonic() - expected_at_s
            if pause_s > MAX_WAKEUP_DELAY_S:
                self._metrics.count("loop_pauses")
                self._health.record_failure()
                self._suspicions.extend_deadlines(pause_s)
            self._suspicions.declare_expired_dead()
            self._send_updates()
            self._count_own_events()
            if time.monotonic() > cleanup_at_s:
                cleanup_at_s = time.monotonic() + CLEANUP_INTERVAL_S
                self._merger.remove_expired_timestamps()
                for address in self._members.remove_gone_members():
                    await self._channels.close_channel(address)

    def _count_own_events(self) -> None:
        """Count refuted suspicions of this daemon and a conflict over its name."""
        new_refutations = self._members.refutations - self._counted_refutations
        if new_refutations:
            self._metrics.count("suspicions_refuted", amount=new_refutations)
            self._counted_refutations += new_refutations
        if self._members.name_taken is not None and not self._name_taken_counted:
            self._name_taken_counted = True
            self._metrics.count("daemon_name_taken")

    def _send_updates(self) -> None:
        for peer in sample_peers(self._members, GOSSIP_FANOUT):
            if self._gossip_sender.can_send_updates():
                self._gossip_sender.send(peer, gossip_pb2.Datagram(kind=UPDATES))

    async def _exchange_forever(self) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_CHECK_INTERVAL_S * random.uniform(0.5, 1.5))
            address = self._next_exchange_address()
            if address is not None:
                await self.exchange.exchange(address)

    async def _confirm_settings_forever(self) -> None:
        """Ask the readers of the log whether the settings are the newest."""
        confirmations = self.confirmations
        while confirmations is not None:
            await asyncio.sleep(max(MIN_CONFIRMATION_DELAY_S, confirmations.delay_s()))
            request = confirmations.next_request()
            if request is not None:
                datagram = gossip_pb2.Datagram(
                    kind=CONFIRMATION_REQUEST, sequence=request.sequence
                )
                self._gossip_sender.send_bare(request.address, datagram)

    def _handle_confirmation(self, datagram: gossip_pb2.Datagram) -> None:
        if self.confirmations is None:
            return
        if datagram.kind == CONFIRMATION:
            self.confirmations.handle_reply(datagram)
            return
        reply = self.confirmations.handle_request(datagram)
        self._gossip_sender.send_bare(datagram.sender_address, reply)

    def _next_exchange_address(self) -> str | None:
        if self._pending_exchanges:
            address, _ = self._pending_exchanges.popitem()
            return address
        elapsed_s = time.monotonic() - self.exchange.last_started_at_s
        min_interval_s = min_exchange_interval_s(self._members.group_size)
        if (
            len(self._mismatched_addresses) < MISMATCHES_BEFORE_EXCHANGE
            or elapsed_s < min_interval_s
        ):
            return None
        address = self._mismatched_addresses[-1]
        self._mismatched_addresses.clear()
        return address

    def _sample_peers(self, count: int) -> list[peer_pb2.Member]:
        peers = self._members.peers()
        return random.sample(peers, min(count, len(peers)))

    def _schedule_exchange(self, address: str) -> None:
        if len(self._pending_exchanges) < MAX_PENDING_EXCHANGES:
            self._pending_exchanges[address] = None

    def _handle_datagram(self, datagram: gossip_pb2.Datagram) -> None:
        self._health.record_datagram()
        for update in datagram.updates:
            self._merge_update(update)
        self._notices.merge(datagram)
        sender = self._resolve_sender(datagram)
        self._on_revision(datagram.settings_revision, datagram.sender_address)
        if datagram.kind in (CONFIRMATION_REQUEST, CONFIRMATION):
            self._handle_confirmation(datagram)
            return
        self._compare_digests(datagram)
        if datagram.kind == PING:
            self._detector.handle_ping(datagram, sender)
        elif datagram.kind == PING_REQUEST:
            self._detector.handle_ping_request(datagram, sender)
        elif datagram.kind == ACK:
            self._detector.handle_ack(datagram)
        elif datagram.kind == NACK:
            self._detector.handle_nack(datagram)

    def _merge_update(self, update: peer_pb2.Member) -> None:
        change = self._merger.merge_update(update)
        if change is None or not is_present(change.after):
            return
        if change.before is None or change.before.state == DEAD:
            self._schedule_exchange(change.after.peer_address)

    def _resolve_sender(self, datagram: gossip_pb2.Datagram) -> peer_pb2.Member:
        known = self._members.get(datagram.sender)
        is_known = known is not None and not is_unreached(known)
        if is_known and known.incarnation == datagram.sender_incarnation:
            self._merger.record_contact(datagram.sender)
            return known
        if not is_known or known.incarnation < datagram.sender_incarnation:
            self._schedule_exchange(datagram.sender_address)
        return peer_pb2.Member(
            daemon=datagram.sender,
            incarnation=datagram.sender_incarnation,
            peer_address=datagram.sender_address,
        )

    def _compare_digests(self, datagram: gossip_pb2.Datagram) -> None:
        if datagram.table_digest == self._members.table_digest:
            self._mismatched_addresses.clear()
        elif len(self._mismatched_addresses) < MISMATCHES_BEFORE_EXCHANGE:
            self._mismatched_addresses.append(datagram.sender_address)
