"""Table exchange.

Compares the membership tables of two daemons and sends only the differences.
"""

import time
from collections import defaultdict

import grpc
import xxhash

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import Deadline
from laburnumscale.departures import Departure
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.memberentries import is_present, without_endpoints
from laburnumscale.members import Members
from laburnumscale.merger import EntryMerger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["TableExchange"]

MIN_BUCKET_COUNT = 16
MAX_BUCKET_COUNT = 256
EXCHANGE_TIMEOUT_S = 2.0
MAX_EXCHANGED_SUSPECTS = 64
MAX_EXCHANGED_DEPARTURES = 256
MAX_EXCHANGED_DEAD = 1_024
REPLICATION_TIMEOUT_S = 0.5
#: Time after a start in which a daemon has exchanged tables with several others, even
#: if the log is unavailable at first.
RECENT_START_MS = 15_000


def bucket_index(daemon: str, bucket_count: int) -> int:
    """Return the index of the bucket that a daemon's name falls into."""
    return xxhash.xxh32_intdigest(daemon.encode()) % bucket_count


def bucket_digests(digests: dict[str, int], bucket_count: int) -> list[int]:
    """Return one digest for each bucket.

    :param digests: digests of the entries by daemon.
    """
    sums = [0] * bucket_count
    for daemon, value in digests.items():
        sums[bucket_index(daemon, bucket_count)] ^= value
    return sums


def choose_bucket_count(group_size: int) -> int:
    """Return the number of buckets for a table: a power of two, about its size.

    With more buckets than entries, a comparison would mostly send empty ones.
    """
    power_of_two = 1 << (group_size - 1).bit_length()
    return min(MAX_BUCKET_COUNT, max(MIN_BUCKET_COUNT, power_of_two))


class TableExchange:
    """Client and server side of the exchange of membership tables.

    Daemons also tell each other of suspect calls and of departures of targets, so that
    one that has just started knows them.

    :ivar last_started_at_s: monotonic time at which this daemon last started an
        exchange, in seconds; 0 for never.
    """

    def __init__(
        self,
        members: Members,
        merger: EntryMerger,
        channels: PeerChannels,
        metrics: Metrics,
        notices: FleetNotices,
    ) -> None:
        self._notices = notices
        self._recent_start = Deadline.after_ms(RECENT_START_MS)
        self.last_started_at_s = 0.0
        self._members = members
        self._merger = merger
        self._channels = channels
        self._metrics = metrics

    async def exchange(self, address: str, announce_self: bool = True) -> bool:
        """Exchange tables with the daemon at an address.

        :param announce_self: whether to send this daemon's own entry.
        :returns: whether the exchange succeeded.
        """
        self.last_started_at_s = time.monotonic()
        self._metrics.count("exchanges")
        try:
            with closed_as_unavailable():
                async with self._channels.transient_peer(address) as stub:
                    await self._run_exchange(stub, announce_self)
        except (grpc.RpcError, grpc.aio.UsageError):
            # The latter if the channel was replaced between the two requests.
            self._metrics.count("exchange_failures")
            return False
        return True

    async def replicate(self, address: str, departure: Departure) -> bool:
        """Ask the daemon at an address to remember a departure.

        :returns: whether it confirmed that.
        """
        message = peer_pb2.MemberTable(sender=self._members.own.daemon)
        message.departures.append(departure.message())
        try:
            with closed_as_unavailable():
                async with self._channels.transient_peer(address) as stub:
                    await stub.ExchangeMembers(message, timeout=REPLICATION_TIMEOUT_S)
        except (grpc.RpcError, grpc.aio.UsageError):
            self._metrics.count("departures_not_replicated")
            return False
        return True

    def handle_request(self, request: peer_pb2.MemberTable) -> peer_pb2.MemberTable:
        """Process one request of an exchange and return the reply."""
        reply = self._process_request(request)
        self._count_bytes(reply, request)
        return reply

    def _process_request(self, request: peer_pb2.MemberTable) -> peer_pb2.MemberTable:
        reply = peer_pb2.MemberTable(sender=self._members.own.daemon)
        if request.bucket_digests:
            reply.suspect_calls.extend(self._suspect_messages())
            if request.wants_departures:
                reply.departures.extend(
                    self._notices.departures.messages(MAX_EXCHANGED_DEPARTURES)
                )
            if request.wants_dead_members:
                self._add_dead_members(reply)
        self._notices.merge(request)
        if request.bucket_digests:
            self._add_differing_digests(reply, list(request.bucket_digests))
            known = self._members.get(request.sender)
            if known is not None:
                reply.members.append(known)
            return reply
        for member in request.members:
            self._merger.merge_table_entry(member)
        names = set(request.wanted)
        names.update(each.daemon for each in request.members if self._is_gone(each))
        reply.members.extend(self._known_entries(names))
        return reply

    async def _run_exchange(self, stub, announce_self: bool) -> None:
        own = self._members.own
        digest_request = peer_pb2.MemberTable(sender=own.daemon)
        bucket_count = choose_bucket_count(self._members.group_size)
        digest_request.bucket_digests.extend(
            bucket_digests(self._members.digests(), bucket_count)
        )
        digest_request.suspect_calls.extend(self._suspect_messages())
        is_recent_start = not self._recent_start.has_passed()
        digest_request.wants_departures = is_recent_start
        digest_request.wants_dead_members = (
            is_recent_start or not self._members.fleet_known
        )
        reply = await stub.ExchangeMembers(digest_request, timeout=EXCHANGE_TIMEOUT_S)
        self._count_bytes(digest_request, reply)
        self._notices.merge(reply)
        self._merge_members(reply)
        self._compare_fleet(reply)
        entry_request = self._build_entry_request(reply, announce_self, bucket_count)
        if entry_request.members or entry_request.wanted:
            reply = await stub.ExchangeMembers(
                entry_request, timeout=EXCHANGE_TIMEOUT_S
            )
            self._count_bytes(entry_request, reply)
            self._merge_members(reply)

    def _build_entry_request(
        self, reply: peer_pb2.MemberTable, announce_self: bool, bucket_count: int
    ) -> peer_pb2.MemberTable:
        peer_digests = {each.daemon: each.digest for each in reply.digests}
        own_digests = self._members.digests()
        buckets = set(reply.differing_buckets)
        names = set(peer_digests) | {
            each for each in own_digests if bucket_index(each, bucket_count) in buckets
        }
        differing = {
            each for each in names if peer_digests.get(each) != own_digests.get(each)
        }
        own_name = self._members.own.daemon
        entry_request = peer_pb2.MemberTable(sender=own_name)
        entry_request.wanted.extend(
            sorted(differing & peer_digests.keys() - {own_name})
        )
        names_to_send = differing if announce_self else differing - {own_name}
        entry_request.members.extend(self._known_entries(names_to_send))
        return entry_request

    def _merge_members(self, reply: peer_pb2.MemberTable) -> None:
        for member in reply.members:
            self._merger.merge_table_entry(member)

    def _add_dead_members(self, reply: peer_pb2.MemberTable) -> None:
        """Add the dead members to a reply, and whether it thus lists the whole fleet.

        A daemon that has started recently may list others that were lost long ago, as
        it knows them from their records.
        """
        dead = self._members.dead()
        reply.members.extend(
            without_endpoints(member) for member in dead[:MAX_EXCHANGED_DEAD]
        )
        reply.lists_fleet = (
            self._members.fleet_known
            and self._recent_start.has_passed()
            and len(dead) <= MAX_EXCHANGED_DEAD
        )

    def _compare_fleet(self, reply: peer_pb2.MemberTable) -> None:
        """Take over which daemons the fleet has, from a peer that lists all of them."""
        if not reply.lists_fleet:
            return
        listed = {each.daemon for each in (*reply.digests, *reply.members)}
        self._members.forget_unreached(listed)
        self._members.fleet_known = True

    def _suspect_messages(self) -> list[peer_pb2.SuspectCall]:
        return self._notices.quarantine.messages(MAX_EXCHANGED_SUSPECTS)

    def _add_differing_digests(
        self, reply: peer_pb2.MemberTable, peer_digests: list[int]
    ) -> None:
        digests = self._members.digests()
        bucket_count = len(peer_digests)
        own_digests = bucket_digests(digests, bucket_count)
        buckets = defaultdict(list)
        for daemon, value in digests.items():
            entry = peer_pb2.MemberDigest(daemon=daemon, digest=value)
            buckets[bucket_index(daemon, bucket_count)].append(entry)
        differing = [
            index
            for index in range(bucket_count)
            if own_digests[index] != peer_digests[index]
        ]
        reply.differing_buckets.extend(differing)
        for index in differing:
            reply.digests.extend(buckets[index])

    def _known_entries(self, names: set[str]) -> list[peer_pb2.Member]:
        entries = (self._members.get(daemon) for daemon in sorted(names))
        return [entry for entry in entries if entry is not None]

    def _is_gone(self, member: peer_pb2.Member) -> bool:
        known = self._members.get(member.daemon)
        return known is not None and not is_present(known)

    def _count_bytes(
        self, sent: peer_pb2.MemberTable, received: peer_pb2.MemberTable
    ) -> None:
        self._metrics.count("exchange_bytes_sent", amount=sent.ByteSize())
        self._metrics.count("exchange_bytes_received", amount=received.ByteSize())
