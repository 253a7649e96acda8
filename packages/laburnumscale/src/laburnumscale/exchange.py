"""Table exchange.

Compares the membership tables of two daemons and sends only what differs.
"""

import time
from collections import defaultdict

import grpc
import xxhash

from laburnumscale.channels import PeerChannels
from laburnumscale.claims import Claims
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.views import is_listed
from laburnumscale_schema import peer_pb2

__all__ = ["TableExchange"]

BUCKETS = 256
EXCHANGE_TIMEOUT_S = 2.0


def bucket(daemon: str) -> int:
    """Return the bucket of a daemon's name."""
    return xxhash.xxh32_intdigest(daemon.encode()) % BUCKETS


def bucket_digests(digests: dict[str, int]) -> list[int]:
    """Return one digest for each bucket."""
    sums = [0] * BUCKETS
    for daemon, value in digests.items():
        sums[bucket(daemon)] ^= value
    return sums


class TableExchange:
    """Both sides of the exchange of membership tables.

    :ivar done_at_s: monotonic time of the last exchange that this daemon began.
    """

    def __init__(
        self,
        members: Members,
        claims: Claims,
        channels: PeerChannels,
        metrics: Metrics,
    ) -> None:
        self.done_at_s = 0.0
        self._members = members
        self._claims = claims
        self._channels = channels
        self._metrics = metrics

    async def exchange(self, address: str, announced: bool = True) -> bool:
        """Exchange tables with the daemon at an address.

        :param announced: whether the other one may learn of this daemon.
        :returns: whether it answered.
        """
        self.done_at_s = time.monotonic()
        self._metrics.count("exchanges")
        try:
            async with self._channels.transient_peer(address) as stub:
                await self._exchange(stub, announced)
        except grpc.RpcError:
            self._metrics.count("exchange_failures")
            return False
        return True

    def answer(self, request: peer_pb2.MemberTable) -> peer_pb2.MemberTable:
        """Answer one step of an exchange."""
        reply = self._answer(request)
        self._count_bytes(reply, request)
        return reply

    def _answer(self, request: peer_pb2.MemberTable) -> peer_pb2.MemberTable:
        reply = peer_pb2.MemberTable(sender=self._members.own.daemon)
        if request.bucket_digests:
            self._add_differing(reply, list(request.bucket_digests))
            known = self._members.get(request.sender)
            if known is not None:
                reply.members.append(known)
            return reply
        for member in request.members:
            self._claims.hear_from_table(member)
        names = set(request.wanted)
        names.update(each.daemon for each in request.members if self._is_gone(each))
        reply.members.extend(self._entries(names))
        return reply

    async def _exchange(self, stub, announced: bool) -> None:
        own = self._members.own
        first = peer_pb2.MemberTable(sender=own.daemon)
        first.bucket_digests.extend(bucket_digests(self._members.digests()))
        reply = await stub.ExchangeMembers(first, timeout=EXCHANGE_TIMEOUT_S)
        self._count_bytes(first, reply)
        self._hear(reply)
        second = self._second(reply, announced)
        if second.members or second.wanted:
            reply = await stub.ExchangeMembers(second, timeout=EXCHANGE_TIMEOUT_S)
            self._count_bytes(second, reply)
            self._hear(reply)

    def _second(
        self, reply: peer_pb2.MemberTable, announced: bool
    ) -> peer_pb2.MemberTable:
        theirs = {each.daemon: each.digest for each in reply.digests}
        ours = self._members.digests()
        buckets = set(reply.differing_buckets)
        names = set(theirs) | {each for each in ours if bucket(each) in buckets}
        differing = {each for each in names if theirs.get(each) != ours.get(each)}
        own = self._members.own.daemon
        second = peer_pb2.MemberTable(sender=own)
        second.wanted.extend(sorted(differing & theirs.keys() - {own}))
        told = differing if announced else differing - {own}
        second.members.extend(self._entries(told))
        return second

    def _hear(self, reply: peer_pb2.MemberTable) -> None:
        for member in reply.members:
            self._claims.hear_from_table(member)

    def _add_differing(self, reply: peer_pb2.MemberTable, theirs: list[int]) -> None:
        digests = self._members.digests()
        ours = bucket_digests(digests)
        buckets = defaultdict(list)
        for daemon, value in digests.items():
            entry = peer_pb2.MemberDigest(daemon=daemon, digest=value)
            buckets[bucket(daemon)].append(entry)
        differing = [
            index
            for index in range(BUCKETS)
            if index >= len(theirs) or ours[index] != theirs[index]
        ]
        reply.differing_buckets.extend(differing)
        for index in differing:
            reply.digests.extend(buckets[index])

    def _entries(self, names: set[str]) -> list[peer_pb2.Member]:
        entries = (self._members.get(daemon) for daemon in sorted(names))
        return [entry for entry in entries if entry is not None]

    def _is_gone(self, member: peer_pb2.Member) -> bool:
        known = self._members.get(member.daemon)
        return known is not None and not is_listed(known)

    def _count_bytes(
        self, sent: peer_pb2.MemberTable, received: peer_pb2.MemberTable
    ) -> None:
        self._metrics.count("exchange_bytes_sent", amount=sent.ByteSize())
        self._metrics.count("exchange_bytes_received", amount=received.ByteSize())
