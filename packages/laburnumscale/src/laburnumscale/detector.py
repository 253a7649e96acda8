"""Failure detector.

Probes one member after another, directly and by way of others.
"""

import asyncio
import itertools
import random
import time

from laburnumscale.localhealth import LocalHealth
from laburnumscale.memberentries import ALIVE, SUSPECT
from laburnumscale.members import Members
from laburnumscale.messenger import Messenger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["FailureDetector"]

PROBE_INTERVAL_S = 0.5
ACK_TIMEOUT_S = 0.2
INDIRECT_TIMEOUT_S = 0.3
RELAYS = 3
DEAD_PROBE_PERIODS = 2


class FailureDetector:
    """Probes the members of one daemon's table and answers their probes."""

    def __init__(
        self,
        members: Members,
        messenger: Messenger,
        health: LocalHealth,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._messenger = messenger
        self._health = health
        self._metrics = metrics
        self._sequences = itertools.count(1)
        self._acks: dict[int, asyncio.Future[bool]] = {}
        self._round: list[str] = []
        self._relayed: set[asyncio.Task] = set()

    async def probe_forever(self) -> None:
        """Probe a member in each interval, until cancelled."""
        for period in itertools.count():
            interval_s = PROBE_INTERVAL_S * self._health.factor
            started_at_s = time.monotonic()
            probed = self._next()
            if probed is not None:
                await self.probe(probed)
            if period % DEAD_PROBE_PERIODS == 0:
                self._probe_dead()
            left_s = started_at_s + interval_s - time.monotonic()
            await asyncio.sleep(max(0.0, left_s))

    async def probe(self, probed: peer_pb2.Member) -> None:
        """Probe a member, and suspect it if it does not answer."""
        factor = self._health.factor
        sequence = next(self._sequences)
        answer = asyncio.get_running_loop().create_future()
        self._acks[sequence] = answer
        relays = []
        deadline_at_s = time.monotonic() + ACK_TIMEOUT_S * factor
        self.ping(probed, sequence)
        try:
            if not await _answered(answer, ACK_TIMEOUT_S * factor):
                deadline_at_s += INDIRECT_TIMEOUT_S * factor
                relays = self._ask_relays(probed, sequence)
                await _answered(answer, INDIRECT_TIMEOUT_S * factor)
        finally:
            del self._acks[sequence]
        if answer.done():
            self._health.good()
        elif not self._health.is_late(deadline_at_s):
            self._suspect(probed, relays)

    def ping(self, probed: peer_pb2.Member, sequence: int = 0) -> None:
        """Send one ping, with what it must know about itself."""
        ping = gossip_pb2.Datagram(
            kind=gossip_pb2.DATAGRAM_KIND_PING, sequence=sequence, probed=probed.daemon
        )
        told = () if probed.state == ALIVE else (probed,)
        self._messenger.send(probed, ping, told)

    def answer_ping(self, ping: gossip_pb2.Datagram, sender: peer_pb2.Member) -> None:
        """Acknowledge a ping for this daemon."""
        if ping.probed != self._members.own.daemon:
            self._metrics.count("datagrams_misdirected")
            return
        ack = gossip_pb2.Datagram(
            kind=gossip_pb2.DATAGRAM_KIND_ACK, sequence=ping.sequence
        )
        known = self._members.get(sender.daemon)
        told = () if known is None or known.state == ALIVE else (known,)
        if known is not None and known.incarnation > ping.sender_incarnation:
            told = (known,)
        self._messenger.send(sender, ack, told)

    def answer_ping_request(
        self, request: gossip_pb2.Datagram, sender: peer_pb2.Member
    ) -> None:
        """Ping a member for another daemon."""
        task = asyncio.get_running_loop().create_task(self._relay(request, sender))
        self._relayed.add(task)
        task.add_done_callback(self._relayed.discard)

    def take_ack(self, ack: gossip_pb2.Datagram) -> None:
        """Note the answer to a probe."""
        answer = self._acks.get(ack.sequence)
        if answer is not None and not answer.done():
            answer.set_result(True)

    def take_nack(self, nack: gossip_pb2.Datagram) -> None:
        """Note that a third daemon got no answer either, but could tell so."""
        if nack.sequence in self._acks:
            self._metrics.count("probe_nacks")
            self._health.good()

    def _next(self) -> peer_pb2.Member | None:
        while True:
            if not self._round:
                self._round = [member.daemon for member in self._members.peers()]
                random.shuffle(self._round)
            if not self._round:
                return None
            member = self._members.get(self._round.pop())
            if member is not None and member.state in (ALIVE, SUSPECT):
                return member

    def _ask_relays(
        self, probed: peer_pb2.Member, sequence: int
    ) -> list[peer_pb2.Member]:
        others = [
            member
            for member in self._members.peers()
            if member.daemon != probed.daemon and member.state == ALIVE
        ]
        relays = random.sample(others, min(RELAYS, len(others)))
        for relay in relays:
            request = gossip_pb2.Datagram(
                kind=gossip_pb2.DATAGRAM_KIND_PING_REQUEST,
                sequence=sequence,
                probed=probed.daemon,
                probed_address=probed.peer_address,
            )
            self._messenger.send(relay, request)
        self._metrics.count("probes_indirect")
        return relays

    async def _relay(
        self, request: gossip_pb2.Datagram, sender: peer_pb2.Member
    ) -> None:
        probed = peer_pb2.Member(
            daemon=request.probed, peer_address=request.probed_address, state=ALIVE
        )
        sequence = next(self._sequences)
        answer = asyncio.get_running_loop().create_future()
        self._acks[sequence] = answer
        self.ping(self._members.get(request.probed) or probed, sequence)
        answered = await _answered(answer, ACK_TIMEOUT_S)
        del self._acks[sequence]
        kind = (
            gossip_pb2.DATAGRAM_KIND_ACK if answered else gossip_pb2.DATAGRAM_KIND_NACK
        )
        reply = gossip_pb2.Datagram(kind=kind, sequence=request.sequence)
        self._messenger.send(sender, reply)

    def _suspect(self, probed: peer_pb2.Member, relays: list[peer_pb2.Member]) -> None:
        self._metrics.count("probes_failed")
        if relays:
            self._health.bad()
        known = self._members.get(probed.daemon)
        if known is not None and known.state == ALIVE and known == probed:
            self._members.set_state(probed.daemon, SUSPECT)

    def _probe_dead(self) -> None:
        """Try a member that is held to be dead, in case a cut has healed."""
        dead = self._members.dead()
        if dead:
            self.ping(random.choice(dead))


async def _answered(answer: asyncio.Future[bool], limit_s: float) -> bool:
    done, _ = await asyncio.wait((answer,), timeout=limit_s)
    return bool(done)
