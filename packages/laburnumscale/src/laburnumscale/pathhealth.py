"""Path health.

Detects guards, the daemons on the hosts of targets, that this entry cannot reach, even
if other daemons can.
"""

import asyncio
import time
from collections.abc import Callable

import grpc

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.localhealth import MAX_WAKEUP_DELAY_S
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["PathHealth"]

CHECK_DELAY_S = 0.1
CHECK_TIMEOUT_S = 0.4
#: Time without a response after which a check is repeated over a new connection: the
#: open one may deliver nothing any more although the peer is reachable.
NEW_CONNECTION_DELAY_S = 0.08
CHECK_INTERVAL_S = 0.5
MAX_INCONCLUSIVE_CHECKS = 2
#: However many attempts wait for replies of a peer.
MIN_RECHECK_INTERVAL_S = 0.3
MAX_CONFIRMED_PATHS = 256
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
        self._confirmed_at_s: dict[str, float] = {}
        self._listeners: list[Callable[[str], None]] = []
        self._silence_listeners: list[Callable[[str], None]] = []

    def on_silence(self, listener: Callable[[str], None]) -> None:
        """Register a function that is called when a connection was replaced.

        It gets the address of the peer, which responds over the new connection. What
        was sent over the former one may not have arrived.
        """
        self._silence_listeners.append(listener)

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

    def recheck(self, peer_address: str) -> None:
        """Check a path, unless a check has found it to work a moment ago."""
        if now_s() - self._confirmed_at_s.get(peer_address, 0) > MIN_RECHECK_INTERVAL_S:
            self.start_check(peer_address)

    def _record_confirmed(self, peer_address: str) -> None:
        if len(self._confirmed_at_s) >= MAX_CONFIRMED_PATHS:
            self._confirmed_at_s.clear()
        self._confirmed_at_s[peer_address] = now_s()

    async def _check(self, peer_address: str) -> None:
        try:
            while not await self._is_reachable(peer_address):
                self._set_broken(peer_address)
                self._channels.replace_channel(peer_address)
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._record_confirmed(peer_address)
            if peer_address in self._broken:
                self._set_recovered(peer_address)
                self._notify_replaced(peer_address)
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
            if _late_s(started_at_s) < MAX_WAKEUP_DELAY_S:
                return False
        return False

    async def _send_check(self, peer_address: str) -> bool:
        """Return whether a peer responds, over the open connection or a new one.

        The open connection is replaced if only the new one delivers.
        """
        self._metrics.count("path_checks")
        checks = [self._start_request(self._channels.peer(peer_address))]
        started_at_s = time.monotonic()
        deadline = Deadline.after_ms(CHECK_TIMEOUT_S * MS_PER_S)
        try:
            await asyncio.wait(checks, timeout=NEW_CONNECTION_DELAY_S)
            if _has_response(checks[0]):
                return True
            connecting = self._channels.transient_peer(
                peer_address, True, round(CHECK_TIMEOUT_S * MS_PER_S)
            )
            async with connecting as stub:
                checks.append(self._start_request(stub))
                is_reachable = await _wait_for_any(checks, deadline)
            is_late = _late_s(started_at_s) >= MAX_WAKEUP_DELAY_S
            if is_reachable and not (is_late or _has_response(checks[0])):
                self._replace_connection(peer_address)
            return is_reachable
        finally:
            for check in checks:
                check.cancel()

    def _start_request(self, stub: peer_pb2_grpc.PeerStub) -> asyncio.Task[bool]:
        return asyncio.create_task(_is_answered(stub))

    def _replace_connection(self, peer_address: str) -> None:
        self._metrics.count("connections_replaced")
        get_logger().info("silent connection replaced", peer_address=peer_address)
        self._channels.replace_channel(peer_address)
        self._notify_replaced(peer_address)

    def _set_broken(self, peer_address: str) -> None:
        if peer_address not in self._broken:
            self._broken.add(peer_address)
            self._metrics.count("paths_broken")
            get_logger().info("path broken", peer_address=peer_address)
            self._notify(peer_address)

    def _set_recovered(self, peer_address: str) -> None:
        self._broken.discard(peer_address)
        get_logger().info("path recovered", peer_address=peer_address)
        self._notify(peer_address)

    def _notify_replaced(self, peer_address: str) -> None:
        for listener in self._silence_listeners:
            listener(peer_address)

    def _notify(self, peer_address: str) -> None:
        for listener in self._listeners:
            listener(peer_address)


async def _is_answered(stub: peer_pb2_grpc.PeerStub) -> bool:
    """Return whether a peer responds to a request that changes nothing."""
    request = peer_pb2.SettingsRequest(after_revision=FUTURE_REVISION)
    try:
        with closed_as_unavailable():
            await stub.FetchSettings(request, timeout=CHECK_TIMEOUT_S)
    except grpc.RpcError:
        return False
    return True


def _late_s(started_at_s: float) -> float:
    """Return for how long a check has lasted beyond its timeout, in seconds."""
    return time.monotonic() - started_at_s - CHECK_TIMEOUT_S


def _has_response(check: asyncio.Task[bool]) -> bool:
    return check.done() and check.result()


async def _wait_for_any(checks: list[asyncio.Task[bool]], deadline: Deadline) -> bool:
    """Wait until a check has a response, all have failed, or the deadline."""
    pending = {check for check in checks if not check.done()}
    while pending and not deadline.has_passed():
        done, pending = await asyncio.wait(
            pending, timeout=deadline.left_s(), return_when=asyncio.FIRST_COMPLETED
        )
        if any(check.result() for check in done):
            return True
    return False
