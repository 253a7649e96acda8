"""Path health.

Detects guards, the daemons on the hosts of targets, that this entry cannot reach, even
if other daemons can.
"""

import asyncio
import time
from collections.abc import Callable

import grpc

from laburnumscale.channels import PeerChannels
from laburnumscale.localhealth import MAX_WAKEUP_DELAY_S
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["PathHealth"]

CHECK_DELAY_S = 0.15
CHECK_TIMEOUT_S = 0.4
CHECK_INTERVAL_S = 0.5
MAX_INCONCLUSIVE_CHECKS = 2
#: Higher than any revision, so that the reply to a check carries no settings.
FUTURE_REVISION = 2**63


class PathHealth:
    """The state of the network paths from this entry to guards.

    A path is checked only when an attempt gets no reply in time or its connection
    fails, so healthy paths cause no extra traffic. The check calls the guard's
    daemon, not the target.
    """

    def __init__(self, channels: PeerChannels, metrics: Metrics) -> None:
        self._channels = channels
        self._metrics = metrics
        self._broken: set[str] = set()
        self._checks: dict[str, asyncio.Task] = {}
        self._listeners: list[Callable[[str], None]] = []

    def on_change(self, listener: Callable[[str], None]) -> None:
        """Register a function that is called with the address of a changed path."""
        self._listeners.append(listener)

    def is_broken(self, peer_address: str) -> bool:
        """Return whether the guard at an address is unreachable."""
        return peer_address in self._broken

    def schedule_check(self, peer_address: str) -> asyncio.TimerHandle:
        """Schedule a check of the path in case an attempt gets no reply.

        :returns: the timer, to be cancelled when a reply arrives.
        """
        loop = asyncio.get_running_loop()
        return loop.call_later(CHECK_DELAY_S, self.start_check, peer_address)

    def start_check(self, peer_address: str) -> None:
        """Check a path now, unless a check is already running."""
        if peer_address not in self._checks:
            task = asyncio.create_task(self._check(peer_address))
            self._checks[peer_address] = task

    async def _check(self, peer_address: str) -> None:
        try:
            while not await self._is_reachable(peer_address):
                self._set_broken(peer_address)
                self._channels.replace_channel(peer_address)
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._set_recovered(peer_address)
        finally:
            del self._checks[peer_address]

    async def _is_reachable(self, peer_address: str) -> bool:
        """Check a path, up to ``MAX_INCONCLUSIVE_CHECKS`` times more if this is late.

        A check whose timeout expired while this process was not scheduled says nothing
        about the path: its reply may have been waiting.
        """
        for _ in range(1 + MAX_INCONCLUSIVE_CHECKS):
            started_at_s = time.monotonic()
            if await self._send_check(peer_address):
                return True
            late_s = time.monotonic() - started_at_s - CHECK_TIMEOUT_S
            if late_s < MAX_WAKEUP_DELAY_S:
                return False
        return False

    async def _send_check(self, peer_address: str) -> bool:
        self._metrics.count("path_checks")
        request = peer_pb2.SettingsRequest(after_revision=FUTURE_REVISION)
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
            self._notify(peer_address)

    def _set_recovered(self, peer_address: str) -> None:
        if peer_address in self._broken:
            self._broken.discard(peer_address)
            get_logger().info("path recovered", peer_address=peer_address)
            self._notify(peer_address)

    def _notify(self, peer_address: str) -> None:
        for listener in self._listeners:
            listener(peer_address)
