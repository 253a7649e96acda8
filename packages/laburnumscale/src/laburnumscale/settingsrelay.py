"""Settings relay.

Hands the settings on between daemons, and tells which daemons hold a revision.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator

import grpc
import xxhash

from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["SettingsRelay"]

TAILERS_PER_DATA_CENTRE = 3
PARTNERS = 6
PUSH_FANOUT = 3
PULL_INTERVAL_S = 2.0
START_INTERVAL_S = 0.3
START_PEERS = 6
START_ANSWERS = 2
RPC_TIMEOUT_S = 2.0
ROLES_MS = 3000
CONFIRM_PEERS_PER_DATA_CENTRE = 2
CONFIRM_INTERVAL_S = 0.1
LEFT = peer_pb2.MEMBER_STATE_LEFT


def _rank(*names: str) -> int:
    return xxhash.xxh64_intdigest("\0".join(names).encode())


class SettingsRelay:
    """Pushes new revisions to some peers, and asks some for newer ones.

    :param seed_addresses: peer addresses that are asked while no member is known.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        channels: PeerChannels,
        seed_addresses: tuple[str, ...],
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._feed = feed
        self._channels = channels
        self._seeds = seed_addresses
        self._metrics = metrics
        self._last_failed = False
        self._roles_until = Deadline(0.0)
        self._tails = True
        self._partners: list[peer_pb2.Member] = []

    def is_tailer(self) -> bool:
        """Tell whether this daemon is one of its data centre's that read the log."""
        self._renew_roles()
        return self._tails

    def _renew_roles(self) -> None:
        """Work out the roles again, but not for each use: it goes over all members."""
        if self._roles_until.has_passed():
            self._tails = self._is_among_lowest()
            self._partners = self._nearest_peers()
            self._roles_until = Deadline.after_ms(ROLES_MS)

    def _is_among_lowest(self) -> bool:
        own = self._members.own
        lower = sum(
            member.data_centre == own.data_centre
            and _rank(member.daemon) < _rank(own.daemon)
            for member in self._members.peers()
        )
        return lower < TAILERS_PER_DATA_CENTRE

    async def pull_forever(self) -> None:
        """Ask one peer after another for newer settings."""
        while True:
            await self._wait_for_hint()
            if not self._feed.has_tree:
                if self._feed.log_failed:
                    await self._start_from_peers()
                continue
            address = self._feed.newer_peer_address or self._pick_address()
            self._feed.newer_peer_address = ""
            if address:
                self._last_failed = await self._fetch(address) is None

    async def push_forever(self) -> None:
        """Push each new revision to some peers."""
        pushed_revision = self._feed.tree.revision
        while True:
            await self._feed.wait_for_newer_revision(pushed_revision)
            message = self._feed.reply_after(pushed_revision)
            message.ClearField("snapshot")
            pushed_revision = message.held.revision
            self._renew_roles()
            partners = self._partners
            chosen = random.sample(partners, min(PUSH_FANOUT, len(partners)))
            await asyncio.gather(
                *(self._push(peer.peer_address, message) for peer in chosen)
            )

    async def confirm(
        self, revision: int, deadline: Deadline
    ) -> tuple[list[peer_pb2.Member], bool]:
        """Hand a revision to peers until enough daemons hold it.

        :returns: the daemons that are known to hold it, and whether they are enough.
        """
        holders = {self._members.own.daemon: self._members.own}
        while not self._is_enough(holders):
            if deadline.has_passed():
                return list(holders.values()), False
            peers = self._unconfirmed(holders)
            checks = [self._hand_over(peer, revision) for peer in peers]
            held = await asyncio.gather(*checks)
            holders.update(
                (peer.daemon, peer)
                for peer, holds in zip(peers, held, strict=True)
                if holds
            )
            if not any(held):
                await asyncio.sleep(CONFIRM_INTERVAL_S)
        return list(holders.values()), True

    def _is_enough(self, holders: dict[str, peer_pb2.Member]) -> bool:
        """Tell whether holders are in two data centres, if the fleet has two.

        Daemons that are thought dead count for the size of the fleet: one that is
        cut off from all others must not take itself for the whole fleet.
        """
        fleet = [member for member in self._members.all() if member.state != LEFT]
        if len({member.data_centre for member in fleet}) > 1:
            return len({m.data_centre for m in holders.values()}) > 1
        return len(holders) >= min(2, len(fleet))

    def _unconfirmed(
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
                peers, min(CONFIRM_PEERS_PER_DATA_CENTRE, len(peers))
            )
        ]

    async def _hand_over(self, peer: peer_pb2.Member, revision: int) -> bool:
        known_revision = revision - 1
        for _ in range(2):
            message = self._feed.reply_after(known_revision)
            held = await self._push(peer.peer_address, message)
            if held is None:
                return False
            if held.revision >= revision:
                return held.has_tree and not self._differs(held)
            known_revision = held.revision
        return False

    def _differs(self, held: peer_pb2.SettingsHeld) -> bool:
        tree = self._feed.tree
        differs = held.revision == tree.revision and held.digest != tree.digest
        if differs:
            self._metrics.count("settings_digest_mismatches")
        return differs

    async def _push(
        self, address: str, message: peer_pb2.SettingsReply
    ) -> peer_pb2.SettingsHeld | None:
        self._metrics.count("settings_pushes")
        message.sender_address = self._members.own.peer_address
        try:
            async with self._stub(address) as stub:
                held = await stub.PushSettings(message, timeout=RPC_TIMEOUT_S)
        except grpc.RpcError:
            self._metrics.count("settings_push_failures")
            return None
        if held.has_tree:
            self._feed.record_contact(from_peer=True)
        self._feed.record_peer_revision(held.revision, address)
        return held

    async def _ask_whole(self, address: str) -> peer_pb2.SettingsReply | None:
        return await self._ask(address, peer_pb2.SettingsRequest(whole_tree=True))

    async def _ask(
        self, address: str, request: peer_pb2.SettingsRequest
    ) -> peer_pb2.SettingsReply | None:
        self._metrics.count("settings_fetches")
        try:
            async with self._stub(address) as stub:
                reply = await stub.FetchSettings(request, timeout=RPC_TIMEOUT_S)
        except grpc.RpcError:
            self._metrics.count("settings_fetch_failures")
            return None
        return reply if reply.held.has_tree else None

    @contextlib.asynccontextmanager
    async def _stub(self, address: str) -> AsyncIterator[peer_pb2_grpc.PeerStub]:
        """Return the stub of a peer; only partners keep their connection."""
        if any(address == partner.peer_address for partner in self._partners):
            yield self._channels.peer(address)
            return
        async with self._channels.transient_peer(address) as stub:
            yield stub

    async def _fetch(self, address: str) -> peer_pb2.SettingsReply | None:
        revision = self._feed.tree.revision
        request = peer_pb2.SettingsRequest(after_revision=revision)
        reply = await self._ask(address, request)
        if reply is not None:
            self._feed.record_contact(from_peer=True)
            self._feed.apply_reply(reply)
            self._feed.notify_waiters()
        return reply

    async def _start_from_peers(self) -> None:
        """Take the highest revision of several peers while the log is away."""
        addresses = self._addresses()
        asked = random.sample(addresses, min(START_PEERS, len(addresses)))
        replies = await asyncio.gather(*(self._ask_whole(a) for a in asked))
        answers = [reply for reply in replies if reply is not None]
        if len(answers) < max(1, min(START_ANSWERS, len(addresses))):
            return
        answers.sort(key=lambda reply: reply.held.revision)
        for reply in answers:
            self._feed.apply_reply(reply)
        if self._feed.tree.revision >= answers[-1].held.revision:
            self._feed.mark_tree_complete()
            self._feed.record_contact(from_peer=True)
            self._feed.notify_waiters()

    async def _wait_for_hint(self) -> None:
        interval_s = PULL_INTERVAL_S if self._feed.has_tree else START_INTERVAL_S
        try:
            async with asyncio.timeout(interval_s * random.uniform(0.5, 1.0)):
                await self._feed.newer_peer_found.wait()
        except TimeoutError:
            return
        self._feed.newer_peer_found.clear()

    def _pick_address(self) -> str:
        self._renew_roles()
        partners = [peer.peer_address for peer in self._partners]
        if self._last_failed or not partners:
            partners = self._addresses()
        return random.choice(partners) if partners else ""

    def _nearest_peers(self) -> list[peer_pb2.Member]:
        """Return the few peers with which this daemon keeps connections.

        The lowest hashes of the two names give each daemon other partners, so that
        all daemons together form a random graph.
        """
        own = self._members.own.daemon
        peers = self._members.peers()
        return sorted(peers, key=lambda peer: _rank(own, peer.daemon))[:PARTNERS]

    def _addresses(self) -> list[str]:
        known = {peer.peer_address for peer in self._members.peers()}
        known.update(self._seeds)
        known.discard(self._members.own.peer_address)
        return sorted(known)
