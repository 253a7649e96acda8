"""Settings replication.

Replicates the settings between daemons and confirms which daemons hold a revision.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Iterator
from functools import partial

import grpc

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.peerpushes import PeerPushes
from laburnumscale.readerroles import ReaderRoles
from laburnumscale.settingscontacts import SettingsContact
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsfetch import (
    HEDGE_DELAY_S,
    MAX_CONCURRENT_FETCHES,
    fetch_from_any,
)
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["SettingsReplicator"]

PUSH_FANOUT = 3
PULL_INTERVAL_S = 2.0
#: Interval of polls while the readers of the log confirm the settings; such a poll only
#: detects peers with other settings at the same revision.
CONFIRMED_PULL_INTERVAL_MS = 20_000
#: Interval of requests while this daemon is behind or has no settings.
CATCH_UP_INTERVAL_S = 0.3
MAX_BOOTSTRAP_PEERS = 6
MIN_BOOTSTRAP_REPLIES = 2
MAX_PEERS_PER_FETCH = 8
RPC_TIMEOUT_S = 2.0
#: A push to an idle peer takes milliseconds. It mostly announces a revision; one that
#: gets no reply must not keep the peer from hearing of the next ones.
PUSH_TIMEOUT_S = 0.5
#: First time limit of a fetch. Peers are asked in turn at shorter intervals, so that
#: requests without a reply never delay the next one. It doubles while no peer
#: delivers, because the link may be slow.
FIRST_FETCH_TIMEOUT_S = MAX_CONCURRENT_FETCHES * HEDGE_DELAY_S
#: On a link with a long queue, a connection takes longer than the default allows.
CONNECT_TIMEOUT_MS = 1_000
MAX_CONFIRM_PEERS_PER_DATA_CENTRE = 2
CONFIRM_RETRY_DELAY_S = 0.1
LEFT = peer_pb2.MEMBER_STATE_LEFT


class SettingsReplicator:
    """Pushes new revisions to some peers, and polls others for newer ones.

    :param seed_addresses: peer addresses that are polled while no member is known.
    :param roles: selects the peers to which connections stay open.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        channels: PeerChannels,
        seed_addresses: tuple[str, ...],
        metrics: Metrics,
        roles: ReaderRoles,
    ) -> None:
        self._members = members
        self._feed = feed
        self._channels = channels
        self._roles = roles
        self._fetch_timeout_s = FIRST_FETCH_TIMEOUT_S
        self._next_confirmed_poll = Deadline(0.0)
        self._seeds = seed_addresses
        self._metrics = metrics

    async def pull_forever(self) -> None:
        """Poll one peer after another for newer settings, until cancelled."""
        while True:
            await self._wait_for_newer_peer()
            if not self._feed.has_tree:
                if self._feed.log_failed:
                    await self._bootstrap_from_peers()
                continue
            if self._is_poll_due():
                delay_ms = CONFIRMED_PULL_INTERVAL_MS * random.uniform(0.5, 1.0)
                self._next_confirmed_poll = Deadline.after_ms(delay_ms)
                await self._fetch_from_peers()

    async def push_forever(self) -> None:
        """Push each new revision to some peers, until cancelled.

        A partner that has not replied to the previous push is left out, so each
        revision is pushed to others at once.
        """
        pushed_revision = self._feed.tree.revision
        pushes = PeerPushes()
        try:
            while True:
                await self._feed.wait_for_newer_revision(pushed_revision)
                message = self._feed.reply_after(pushed_revision)
                message.ClearField("snapshot")
                message.sender_address = self._members.own.peer_address
                pushed_revision = message.held.revision
                for address in self._sample_partners(pushes):
                    pushes.start(address, partial(self._push, message=message))
        finally:
            pushes.cancel()

    def _sample_partners(self, pushes: PeerPushes) -> list[str]:
        """Return the addresses of the partners to push the next revision to."""
        addresses = [partner.peer_address for partner in self._roles.partners()]
        free = [address for address in addresses if not pushes.is_busy(address)]
        return random.sample(free, min(PUSH_FANOUT, len(free)))

    async def confirm_replication(
        self, revision: int, deadline: Deadline
    ) -> tuple[list[peer_pb2.Member], bool]:
        """Push a revision to peers until enough daemons hold it.

        :param revision: the revision to replicate.
        :param deadline: time until which peers are tried.
        :returns: the daemons that are known to hold the revision, and whether they are
            enough.
        """
        holders = {self._members.own.daemon: self._members.own}
        while not self._is_enough(holders):
            if deadline.has_passed():
                return list(holders.values()), False
            peers = self._sample_unconfirmed_peers(holders)
            checks = [self._replicate_to(peer, revision) for peer in peers]
            confirmed = await asyncio.gather(*checks)
            holders.update(
                (peer.daemon, peer)
                for peer, holds in zip(peers, confirmed, strict=True)
                if holds
            )
            if not any(confirmed):
                await asyncio.sleep(CONFIRM_RETRY_DELAY_S)
        return list(holders.values()), True

    def _is_enough(self, holders: dict[str, peer_pb2.Member]) -> bool:
        """Return whether the holders are enough for the size of the fleet.

        They must be in two data centres, or be two daemons if the fleet has only one
        data centre; a fleet of one daemon needs only that daemon. Members that are
        suspected or declared dead count towards the size of the fleet, because a
        daemon that is partitioned from all others must not treat itself as the whole
        fleet.
        """
        fleet = [member for member in self._members.all() if member.state != LEFT]
        if len({member.data_centre for member in fleet}) > 1:
            return len({m.data_centre for m in holders.values()}) > 1
        return len(holders) >= min(2, len(fleet))

    def _sample_unconfirmed_peers(
        self, holders: dict[str, peer_pb2.Member]
    ) -> list[peer_pb2.Member]:
        by_data_centre: dict[str, list[peer_pb2.Member]] = {}
        for peer in self._members.peers():
            if peer.daemon not in holders:
                by_data_centre.setdefault(peer.data_centre, []).append(peer)
        return [
            peer
            for peers in by_data_centre.values()
            for peer in random.sample(
                peers, min(MAX_CONFIRM_PEERS_PER_DATA_CENTRE, len(peers))
            )
        ]

    async def _replicate_to(self, peer: peer_pb2.Member, revision: int) -> bool:
        known_revision = revision - 1
        for _ in range(2):
            message = self._feed.reply_after(known_revision)
            message.sender_address = self._members.own.peer_address
            held = await self._push(peer.peer_address, message, RPC_TIMEOUT_S)
            if held is None:
                return False
            if held.revision >= revision:
                return held.has_tree and not self._has_digest_mismatch(held)
            known_revision = held.revision
        return False

    def _has_digest_mismatch(self, held: peer_pb2.SettingsHeld) -> bool:
        tree = self._feed.tree
        is_mismatch = held.revision == tree.revision and held.digest != tree.digest
        if is_mismatch:
            self._metrics.count("settings_digest_mismatches")
        return is_mismatch

    async def _push(
        self,
        address: str,
        message: peer_pb2.SettingsReply,
        timeout_s: float = PUSH_TIMEOUT_S,
    ) -> peer_pb2.SettingsHeld | None:
        self._metrics.count("settings_pushes")
        started_at_s = now_s()
        try:
            with closed_as_unavailable():
                async with self._stub(address) as stub:
                    held = await stub.PushSettings(message, timeout=timeout_s)
        except grpc.RpcError as error:
            self._metrics.count("settings_push_failures")
            self._handle_failure("push", address, error, started_at_s)
            return None
        if held.has_tree:
            self._feed.contacts.record(SettingsContact.PUSH_REPLY)
            self._feed.record_held_by_peer(held, started_at_s)
        self._feed.record_peer_revision(held.revision, address)
        return held

    async def _fetch_whole_tree(self, address: str) -> peer_pb2.SettingsReply | None:
        return await self._send_fetch(
            address, peer_pb2.SettingsRequest(whole_tree=True), RPC_TIMEOUT_S
        )

    async def _send_fetch(
        self,
        address: str,
        request: peer_pb2.SettingsRequest,
        timeout_s: float,
        new_connection: bool = False,
    ) -> peer_pb2.SettingsReply | None:
        self._metrics.count("settings_fetches")
        started_at_s = now_s()
        try:
            with closed_as_unavailable():
                async with self._stub(address, new_connection) as stub:
                    reply = await stub.FetchSettings(request, timeout=timeout_s)
        except grpc.RpcError as error:
            self._metrics.count("settings_fetch_failures")
            self._handle_failure("fetch", address, error, started_at_s)
            return None
        if not reply.held.has_tree:
            return None
        self._feed.record_held_by_peer(reply.held, started_at_s)
        return reply

    def _handle_failure(
        self, request: str, address: str, error: grpc.RpcError, started_at_s: float
    ) -> None:
        """Log a request that failed, and replace its connection if no reply came.

        :param request: ``fetch`` or ``push``.
        """
        get_logger().info(
            f"settings {request} failed",
            peer_address=address,
            reason=error.code().name,
            elapsed_ms=round((now_s() - started_at_s) * MS_PER_S),
            revision=self._feed.tree.revision,
            wanted_revision=self._feed.lag.wanted_revision,
        )
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._replace_connection(address)

    @contextlib.asynccontextmanager
    async def _stub(
        self, address: str, new_connection: bool = False
    ) -> AsyncIterator[peer_pb2_grpc.PeerStub]:
        """Yield the stub of a peer; only connections to partners stay open.

        :param new_connection: do not use the connection that is open.
        """
        partners = self._roles.partners()
        is_partner = any(address == each.peer_address for each in partners)
        if is_partner and not new_connection:
            yield self._channels.peer(address)
            return
        connecting = self._channels.transient_peer(
            address, new_connection, CONNECT_TIMEOUT_MS
        )
        async with connecting as stub:
            yield stub

    async def _fetch_from_peers(self) -> None:
        """Get the newest reported settings from one peer, or poll one if none is newer.

        The connections of requests without a reply are replaced: they may have been
        opened to an earlier process of the peer that was gone without closing them.
        """
        wanted_revision = self._feed.lag.wanted_revision

        async def fetch(address: str, new_connection: bool) -> bool:
            reply = await self._fetch_newer(address, new_connection)
            return reply is not None and self._feed.tree.revision >= wanted_revision

        for address in await fetch_from_any(self._fetch_candidates(), fetch):
            self._replace_connection(address)
        if self._feed.tree.revision >= wanted_revision:
            self._fetch_timeout_s = FIRST_FETCH_TIMEOUT_S
        else:
            self._fetch_timeout_s = min(RPC_TIMEOUT_S, 2 * self._fetch_timeout_s)

    def _fetch_candidates(self) -> Iterator[str]:
        """Yield the peers to ask: those that reported newer settings come first."""
        asked: set[str] = set()
        while len(asked) < MAX_PEERS_PER_FETCH:
            address = self._choose_address(asked)
            if not address:
                return
            asked.add(address)
            yield address

    def _replace_connection(self, address: str) -> None:
        get_logger().info("settings connection replaced", peer_address=address)
        self._channels.replace_channel(address)

    async def _fetch_newer(
        self, address: str, new_connection: bool = False
    ) -> peer_pb2.SettingsReply | None:
        revision = self._feed.tree.revision
        request = peer_pb2.SettingsRequest(after_revision=revision)
        reply = await self._send_fetch(
            address, request, self._fetch_timeout_s, new_connection
        )
        if reply is not None:
            self._feed.contacts.record(SettingsContact.FETCH)
            self._feed.apply_reply(reply)
            self._feed.notify_waiters()
        return reply

    async def _bootstrap_from_peers(self) -> None:
        """Load the highest revision of several peers while the log is unavailable."""
        addresses = self._known_addresses()
        polled = random.sample(addresses, min(MAX_BOOTSTRAP_PEERS, len(addresses)))
        replies = await asyncio.gather(*(self._fetch_whole_tree(a) for a in polled))
        usable = [reply for reply in replies if reply is not None]
        if len(usable) < max(1, min(MIN_BOOTSTRAP_REPLIES, len(addresses))):
            return
        usable.sort(key=lambda reply: reply.held.revision)
        for reply in usable:
            self._feed.apply_reply(reply)
        if self._feed.tree.revision >= usable[-1].held.revision:
            self._feed.mark_tree_complete()
            self._feed.contacts.record(SettingsContact.FETCH)
            self._feed.notify_waiters()

    async def _wait_for_newer_peer(self) -> None:
        """Wait until a peer has newer settings, at most for one poll interval."""
        is_current = self._feed.has_tree and not self._feed.lag.is_behind
        interval_s = PULL_INTERVAL_S if is_current else CATCH_UP_INTERVAL_S
        try:
            async with asyncio.timeout(interval_s * random.uniform(0.5, 1.0)):
                await self._feed.newer_peer_found.wait()
        except TimeoutError:
            return
        self._feed.newer_peer_found.clear()

    def _is_poll_due(self) -> bool:
        is_confirmed = self._feed.confirmation.is_valid()
        if self._feed.lag.is_behind or not is_confirmed:
            return True
        return self._next_confirmed_poll.has_passed()

    def _choose_address(self, excluded: set[str]) -> str:
        """Return the peer to ask next, or an empty string if there is none.

        :param excluded: addresses that were asked already.
        """
        latest_reporters = reversed(self._feed.lag.reporters)
        reporter = next((each for each in latest_reporters if each not in excluded), "")
        if reporter:
            return reporter
        partners = {peer.peer_address for peer in self._roles.partners()} - excluded
        addresses = partners or set(self._known_addresses()) - excluded
        return random.choice(sorted(addresses)) if addresses else ""

    def _known_addresses(self) -> list[str]:
        known = {peer.peer_address for peer in self._members.peers()}
        known.update(self._seeds)
        known.discard(self._members.own.peer_address)
        return sorted(known)
