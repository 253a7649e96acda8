"""Failure detector.

Probes the members in turn, directly and, if that fails, through other members.
"""

import asyncio
import itertools
import random
import time
from collections.abc import Callable

from laburnumscale.gossipsender import GossipSender
from laburnumscale.localhealth import LocalHealth
from laburnumscale.memberentries import ALIVE, SUSPECT
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.peersampling import shuffled_probe_order
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["FailureDetector"]

PROBE_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.3
MAX_RELAYS = 3
PROBES_PER_DEAD_PROBE = 2


class FailureDetector:
    """Probes the members of one daemon's table and replies to their probes.

    :ivar on_probe_result: called with whether a probe was acknowledged.
    """

    def __init__(
        self,
        members: Members,
        gossip_sender: GossipSender,
        health: LocalHealth,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._gossip_sender = gossip_sender
        self._health = health
        self._metrics = metrics
        self._sequences = itertools.count(1)
        self._acks: dict[int, asyncio.Future[bool]] = {}
        self._probe_order: list[str] = []
        self._relay_tasks: set[asyncio.Task] = set()
        self.on_probe_result: Callable[[bool], None] = lambda is_acked: None

    async def probe_forever(self) -> None:
        """Probe one member per interval until cancelled.

        Every ``PROBES_PER_DEAD_PROBE`` intervals a dead member is pinged as well.
        """
        for period in itertools.count():
            interval_s = PROBE_INTERVAL_S * self._health.timeout_multiplier
            started_at_s = time.monotonic()
            probed = self._next_member()
            if probed is not None:
                await self.probe(probed)
            if period % PROBES_PER_DEAD_PROBE == 0:
                self._probe_dead()
            remaining_s = started_at_s + interval_s - time.monotonic()
            await asyncio.sleep(max(0.0, remaining_s))

    async def probe(self, probed: peer_pb2.Member) -> None:
        """Probe a member and mark it as suspect if no ack arrives in time.

        A timeout that expired while the event loop was paused is not counted against
        the member.
        """
        timeout_multiplier = self._health.timeout_multiplier
        sequence = next(self._sequences)
        ack_future = asyncio.get_running_loop().create_future()
        self._acks[sequence] = ack_future
        relays = []
        deadline_at_s = time.monotonic() + ACK_TIMEOUT_S * timeout_multiplier
        self.ping(probed, sequence)
        try:
            if not await _wait_for_ack(ack_future, ACK_TIMEOUT_S * timeout_multiplier):
                deadline_at_s += INDIRECT_TIMEOUT_S * timeout_multiplier
                relays = self._request_indirect_probes(probed, sequence)
                await _wait_for_ack(ack_future, INDIRECT_TIMEOUT_S * timeout_multiplier)
        finally:
            del self._acks[sequence]
        if ack_future.done():
            self._health.record_success()
            self.on_probe_result(True)
        elif not self._health.detect_late_wakeup(deadline_at_s):
            self.on_probe_result(False)
            self._record_failed_probe(probed, relays)

    def ping(self, probed: peer_pb2.Member, sequence: int = 0) -> None:
        """Send a ping.

        If the entry is not in the state ALIVE, the ping carries it so that the member
        can refute it.

        :param probed: entry of the member to ping.
        :param sequence: number that the ack repeats, or 0 if no ack is awaited.
        """
        ping = gossip_pb2.Datagram(
            kind=gossip_pb2.DATAGRAM_KIND_PING, sequence=sequence, probed=probed.daemon
        )
        required_updates = () if probed.state == ALIVE else (probed,)
        self._gossip_sender.send(probed, ping, required_updates)

    def handle_ping(self, ping: gossip_pb2.Datagram, sender: peer_pb2.Member) -> None:
        """Acknowledge a ping that is meant for this daemon.

        If this daemon does not consider the sender alive or knows a newer
        incarnation of it, the ack carries the sender's entry.
        """
        if ping.probed != self._members.own.daemon:
            self._metrics.count("datagrams_misdirected")
            return
        ack = gossip_pb2.Datagram(
            kind=gossip_pb2.DATAGRAM_KIND_ACK, sequence=ping.sequence
        )
        known = self._members.get(sender.daemon)
        required_updates = () if known is None or known.state == ALIVE else (known,)
        if known is not None and known.incarnation > ping.sender_incarnation:
            required_updates = (known,)
        self._gossip_sender.send(sender, ack, required_updates)

    def handle_ping_request(
        self, request: gossip_pb2.Datagram, sender: peer_pb2.Member
    ) -> None:
        """Ping a member on behalf of another daemon."""
        task = asyncio.get_running_loop().create_task(
            self._probe_for_sender(request, sender)
        )
        self._relay_tasks.add(task)
        task.add_done_callback(self._relay_tasks.discard)

    def handle_ack(self, ack: gossip_pb2.Datagram) -> None:
        """Complete the probe that an ack belongs to."""
        ack_future = self._acks.get(ack.sequence)
        if ack_future is not None and not ack_future.done():
            ack_future.set_result(True)

    def handle_nack(self, nack: gossip_pb2.Datagram) -> None:
        """Record that a relay received no ack from the probed member either.

        The nack shows that the network of this daemon works, so it counts as a
        success for the local health score.
        """
        if nack.sequence in self._acks:
            self._metrics.count("probe_nacks")
            self._health.record_success()

    def _next_member(self) -> peer_pb2.Member | None:
        while True:
            if not self._probe_order:
                self._probe_order = shuffled_probe_order(self._members)
            if not self._probe_order:
                return None
            member = self._members.get(self._probe_order.pop())
            if member is not None and member.state in (ALIVE, SUSPECT):
                return member

    def _request_indirect_probes(
        self, probed: peer_pb2.Member, sequence: int
    ) -> list[peer_pb2.Member]:
        others = [
            member
            for member in self._members.peers()
            if member.daemon != probed.daemon and member.state == ALIVE
        ]
        relays = random.sample(others, min(MAX_RELAYS, len(others)))
        for relay in relays:
            request = gossip_pb2.Datagram(
                kind=gossip_pb2.DATAGRAM_KIND_PING_REQUEST,
                sequence=sequence,
                probed=probed.daemon,
                probed_address=probed.peer_address,
            )
            self._gossip_sender.send(relay, request)
        self._metrics.count("probes_indirect")
        return relays

    async def _probe_for_sender(
        self, request: gossip_pb2.Datagram, sender: peer_pb2.Member
    ) -> None:
        probed = peer_pb2.Member(
            daemon=request.probed, peer_address=request.probed_address, state=ALIVE
        )
        sequence = next(self._sequences)
        ack_future = asyncio.get_running_loop().create_future()
        self._acks[sequence] = ack_future
        self.ping(self._members.get(request.probed) or probed, sequence)
        is_acked = await _wait_for_ack(ack_future, ACK_TIMEOUT_S)
        del self._acks[sequence]
        kind = (
            gossip_pb2.DATAGRAM_KIND_ACK if is_acked else gossip_pb2.DATAGRAM_KIND_NACK
        )
        reply = gossip_pb2.Datagram(kind=kind, sequence=request.sequence)
        self._gossip_sender.send(sender, reply)

    def _record_failed_probe(
        self, probed: peer_pb2.Member, relays: list[peer_pb2.Member]
    ) -> None:
        self._metrics.count("probes_failed")
        if relays:
            self._health.record_failure()
        known = self._members.get(probed.daemon)
        if known is not None and known.state == ALIVE and known == probed:
            self._members.set_state(probed.daemon, SUSPECT)

    def _probe_dead(self) -> None:
        """Ping a random dead member, in case a network partition has healed."""
        dead = self._members.dead()
        if dead:
            self.ping(random.choice(dead))


async def _wait_for_ack(ack_future: asyncio.Future[bool], timeout_s: float) -> bool:
    done, _ = await asyncio.wait((ack_future,), timeout=timeout_s)
    return bool(done)
