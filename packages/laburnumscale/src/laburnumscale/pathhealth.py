"""Path health.

Finds the guards that this entry cannot reach, though others perhaps can.
"""

import asyncio

import grpc

from laburnumscale.channels import PeerChannels
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["PathHealth"]

SILENCE_S = 0.15
CHECK_TIMEOUT_S = 0.4
CHECK_INTERVAL_S = 0.5
NO_REVISION = 2**63


class PathHealth:
    """This entry's verdicts on its paths to guards.

    A path is checked only when an attempt stays without a reply, so that healthy
    paths cost nothing. The check asks the guard's daemon, not the target.
    """

    def __init__(self, channels: PeerChannels, metrics: Metrics) -> None:
        self._channels = channels
        self._metrics = metrics
        self._broken: set[str] = set()
        self._checks: dict[str, asyncio.Task] = {}

    def is_broken(self, peer_address: str) -> bool:
        """Tell whether a guard cannot be reached."""
        return peer_address in self._broken

    def watch(self, peer_address: str) -> asyncio.TimerHandle:
        """Check the path if an attempt stays without a reply.

        :returns: the timer to cancel when a reply comes.
        """
        loop = asyncio.get_running_loop()
        return loop.call_later(SILENCE_S, self.suspect, peer_address)

    def suspect(self, peer_address: str) -> None:
        """Check a path now, unless that is under way."""
        if peer_address not in self._checks:
            task = asyncio.create_task(self._check(peer_address))
            self._checks[peer_address] = task

    async def _check(self, peer_address: str) -> None:
        try:
            while not await self._reaches(peer_address):
                self._set_broken(peer_address)
                self._channels.renew(peer_address)
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._set_whole(peer_address)
        finally:
            del self._checks[peer_address]

    async def _reaches(self, peer_address: str) -> bool:
        self._metrics.count("path_checks")
        request = peer_pb2.SettingsRequest(after_revision=NO_REVISION)
        stub = self._channels.peer(peer_address)
        try:
            await stub.FetchSettings(request, timeout=CHECK_TIMEOUT_S)
        except grpc.RpcError:
            return False
        return True

    def _set_broken(self, peer_address: str) -> None:
        if peer_address not in self._broken:
            self._broken.add(peer_address)
            self._metrics.count("paths_broken")
            get_logger().info("path broken", peer_address=peer_address)

    def _set_whole(self, peer_address: str) -> None:
        if peer_address in self._broken:
            self._broken.discard(peer_address)
            get_logger().info("path whole", peer_address=peer_address)
