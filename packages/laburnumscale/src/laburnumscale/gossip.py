"""Gossip.

Tells the other daemons what this one knows of the membership.
"""

import asyncio
import random

import grpc
from google.protobuf.message import DecodeError

from laburnumscale.channels import PeerChannels
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import PlatformLog, sleep_until_retry
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import peer_pb2

__all__ = ["Gossip"]

PRESENCE_STREAM = "presence"
PRESENCE_WAIT_MS = 1000
EXCHANGE_INTERVAL_S = 0.25
EXCHANGE_TIMEOUT_S = 1.0


class Gossip:
    """Exchanges membership tables with peers picked at random."""

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        channels: PeerChannels,
        log: PlatformLog,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._feed = feed
        self._channels = channels
        self._log = log
        self._metrics = metrics

    async def follow_presence(self) -> None:
        """Announce this daemon in the log and read who else is there."""
        attempt = 0
        offset = 0
        announced = False
        while True:
            try:
                if not announced:
                    payload = self._members.own.SerializeToString()
                    await self._log.append(PRESENCE_STREAM, payload)
                    announced = True
                batch = await self._log.read(PRESENCE_STREAM, offset, PRESENCE_WAIT_MS)
            except LaburnumscaleError:
                self._metrics.count("presence_failures")
                await sleep_until_retry(attempt)
                attempt += 1
                continue
            attempt = 0
            for record in batch.records:
                offset = record.offset + 1
                self._merge_presence(record.payload)

    async def exchange_forever(self) -> None:
        """Exchange tables with one random peer after another."""
        while True:
            await asyncio.sleep(EXCHANGE_INTERVAL_S)
            peers = self._members.peers()
            if peers:
                await self.exchange(random.choice(peers).peer_address)

    async def exchange(self, address: str) -> None:
        """Exchange membership tables, and fetch newer settings."""
        table = peer_pb2.MemberTable(
            sender=self._members.own.daemon,
            settings_revision=self._feed.tree.revision,
            members=self._members.all(),
        )
        stub = self._channels.peer(address)
        try:
            reply = await stub.ExchangeMembers(table, timeout=EXCHANGE_TIMEOUT_S)
        except grpc.RpcError:
            self._metrics.count("exchange_failures")
            return
        for member in reply.members:
            self._members.merge(member)

    def _merge_presence(self, payload: bytes) -> None:
        try:
            self._members.merge(peer_pb2.Member.FromString(payload))
        except DecodeError:
            self._metrics.count("presence_records_invalid")
