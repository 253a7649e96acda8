"""Path health.

Detects guards, the daemons on the hosts of targets, that this entry cannot reach, even
if other daemons can.
"""

import asyncio
import time
from collections.abc import Callable
from functools import partial

import attrs
import grpc

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.connectioncuts import ConnectionCuts
from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.localhealth import MAX_WAKEUP_DELAY_S
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["PathHealth", "ScheduledCheck"]

CHECK_DELAY_S = 0.1
CHECK_TIMEOUT_S = 0.4
#: Time without a response after which a check is repeated over a new connection: the
#: open one may deliver nothing any more although the peer is reachable.
NEW_CONNECTION_DELAY_S = 0.08
#: The same after a cut: silence is likely then, and a connection that is replaced for
#: no reason costs a connection and one copy of each of its attempts.
NEW_CONNECTION_DELAY_IN_CUT_S = 0.02
#: Time from one check that follows a cut to the next.
CUT_CHECK_INTERVAL_S = 0.02
#: Age of an unanswered attempt from which on a cut is news about its connection.
CUT_CHECK_DELAY_S = 0.02
CHECK_INTERVAL_S = 0.5
MAX_INCONCLUSIVE_CHECKS = 2
#: However many attempts wait for replies of a peer.
MIN_RECHECK_INTERVAL_S = 0.3
MAX_CONFIRMED_PATHS = 256
#: Higher than any revision, so that the reply to a check carries no settings.
FUTURE_REVISION = 2**63


@attrs.frozen(eq=False)
class ScheduledCheck:
    """A check of the path of an attempt, to be cancelled when a reply arrives.

    :ivar sent_at_s: loop time at which the attempt was sent.
    """

    peer_address: str
    sent_at_s: float
    _timer: asyncio.TimerHandle
    _unanswered: dict["ScheduledCheck", None]

    def cancel(self) -> None:
        """Record that the attempt is waited for no more."""
        self._timer.cancel()
        self._unanswered.pop(self, None)


@attrs.define(eq=False)
class _Deliveries:
    """When replies last arrived from a peer.

    :ivar connection: number of the connection that is open to the peer.
    :ivar latest_s: time of the latest reply over any connection.
    :ivar open_latest_s: time of the latest reply over the one that is open.
    """

    connection: int = 0
    latest_s: float = 0.0
    open_latest_s: float = 0.0

    def record(self, connection: int) -> None:
        """Record a reply over a connection."""
        self.latest_s = now_s()
        if connection == self.connection:
            self.open_latest_s = self.latest_s


class PathHealth:
    """The state of the network paths from this entry to guards.

    A path is checked only when an attempt gets no reply in time or its connection
    fails, so healthy paths cause no extra traffic. The check calls the guard's
    daemon, not the target. A connection over which replies arrive is neither broken nor
    silent, even if the check itself is late: it may wait behind a download, or for the
    processor of the peer. When open connections to several peers were found silent
    within a moment, the paths of the other unanswered attempts are checked at once.
    """

    def __init__(self, channels: PeerChannels, metrics: Metrics) -> None:
        self._channels = channels
        self._metrics = metrics
        self._broken: set[str] = set()
        self._checks: dict[str, asyncio.Task] = {}
        self._confirmed_at_s: dict[str, float] = {}
        self._deliveries: dict[str, _Deliveries] = {}
        self._cuts = ConnectionCuts()
        self._cut_task: asyncio.Task | None = None
        self._unanswered: dict[ScheduledCheck, None] = {}
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

    def watch_deliveries(self, peer_address: str) -> Callable[[], None]:
        """Return the function to call for each reply over the connection now open."""
        deliveries = self._deliveries.setdefault(peer_address, _Deliveries())
        return partial(deliveries.record, deliveries.connection)

    def record_replacement(self, peer_address: str) -> None:
        """Record that the next attempts use another connection."""
        self._deliveries.setdefault(peer_address, _Deliveries()).connection += 1

    def schedule_check(self, peer_address: str) -> ScheduledCheck:
        """Schedule a check of the path in case an attempt gets no reply."""
        loop = asyncio.get_running_loop()
        timer = loop.call_later(CHECK_DELAY_S, self.start_check, peer_address)
        check = ScheduledCheck(peer_address, loop.time(), timer, self._unanswered)
        self._unanswered[check] = None
        return check

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
                self._open_another(peer_address)
                await asyncio.sleep(CHECK_INTERVAL_S)
            self._record_confirmed(peer_address)
            if peer_address in self._broken:
                self._set_recovered(peer_address)
                self._notify_replaced(peer_address)
        finally:
            del self._checks[peer_address]

    async def _check_others(self) -> None:
        """Check the paths of unanswered attempts, one at a time, after a cut."""
        try:
            while self._cuts.is_suspected:
                peer_address = self._next_doubtful()
                if peer_address is not None:
                    self._metrics.count("path_checks_after_cut")
                    self.start_check(peer_address)
                await asyncio.sleep(CUT_CHECK_INTERVAL_S)
        finally:
            self._cut_task = None

    def _next_doubtful(self) -> str | None:
        """Return the peer with the oldest unanswered attempt that a cut concerns."""
        latest_s = asyncio.get_running_loop().time() - CUT_CHECK_DELAY_S
        for check in self._unanswered:
            if check.sent_at_s > latest_s:
                return None
            address = check.peer_address
            if self._cuts.is_doubtful(address) and address not in self._checks:
                return address
        return None

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
        deliveries = self._deliveries.setdefault(peer_address, _Deliveries())
        started_at_s, sent_at_s = time.monotonic(), now_s()
        deadline = Deadline.after_ms(CHECK_TIMEOUT_S * MS_PER_S)
        try:
            is_doubtful = self._cuts.is_doubtful(peer_address)
            delay_s = (
                NEW_CONNECTION_DELAY_IN_CUT_S if is_doubtful else NEW_CONNECTION_DELAY_S
            )
            await asyncio.wait(checks, timeout=delay_s)
            if _has_response(checks[0]):
                self._cuts.record_delivery(peer_address)
                return True
            connecting = self._channels.transient_peer(
                peer_address, True, round(CHECK_TIMEOUT_S * MS_PER_S)
            )
            async with connecting as stub:
                checks.append(self._start_request(stub))
                is_reachable = await _wait_for_any(checks, deadline)
            is_late = _late_s(started_at_s) >= MAX_WAKEUP_DELAY_S
            open_delivers = (
                _has_response(checks[0]) or deliveries.open_latest_s > sent_at_s
            )
            if is_reachable and not (is_late or open_delivers):
                self._replace_connection(peer_address)
            elif open_delivers:
                self._cuts.record_delivery(peer_address)
            return is_reachable or deliveries.latest_s > sent_at_s
        finally:
            for check in checks:
                check.cancel()

    def _start_request(self, stub: peer_pb2_grpc.PeerStub) -> asyncio.Task[bool]:
        return asyncio.create_task(_is_answered(stub))

    def _replace_connection(self, peer_address: str) -> None:
        self._metrics.count("connections_replaced")
        get_logger().info("silent connection replaced", peer_address=peer_address)
        self._open_another(peer_address)
        self._notify_replaced(peer_address)
        self._record_silence(peer_address)

    def _open_another(self, peer_address: str) -> None:
        self._channels.replace_channel(peer_address)
        self.record_replacement(peer_address)

    def _record_silence(self, peer_address: str) -> None:
        was_suspected = self._cuts.is_suspected
        self._cuts.record_silence(peer_address)
        if not self._cuts.is_suspected:
            return
        if not was_suspected:
            get_logger().info("connections cut", peer_address=peer_address)
        if self._cut_task is None:
            self._cut_task = asyncio.create_task(self._check_others())

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
