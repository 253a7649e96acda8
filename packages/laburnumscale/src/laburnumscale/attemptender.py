"""Attempt ender.

Tells guards which attempts this entry has given up, also if the connection that carried
an attempt delivers nothing any more. It answers the load of callers that leave.
"""

import asyncio
from collections import OrderedDict

import attrs
import grpc

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.logs import get_logger
from laburnumscale.pathhealth import PathHealth
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["AttemptEnder"]

#: A guard replies at once. A time-out on the open connection and a request on a new one
#: fit into half a second, after which the work for a caller that has left must have
#: ended.
REPLY_TIMEOUT_S = 0.08
NEW_CONNECTION_TIMEOUT_S = 0.2
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0
MAX_ATTEMPTS_PER_REQUEST = 256
#: Above this number the oldest are left to their deadlines.
MAX_PENDING_ATTEMPTS = 1_024


@attrs.frozen
class _EndedAttempt:
    """An attempt of which a guard is still to be told.

    :ivar deadline: time at which its run ends anyway.
    """

    attempt_id: peer_pb2.AttemptId
    deadline: Deadline


@attrs.define(eq=False)
class _PeerRequests:
    """The attempts of which a guard is still to be told.

    :ivar pending: the attempts, by sequence number.
    :ivar task: sends the requests.
    :ivar added: set when an attempt was added since the last request.
    """

    pending: OrderedDict[int, _EndedAttempt] = attrs.field(factory=OrderedDict)
    task: asyncio.Task | None = None
    added: asyncio.Event = attrs.field(factory=asyncio.Event)

    def add(self, ended: _EndedAttempt) -> None:
        """Add an attempt, and remove the oldest above the limit."""
        self.pending[ended.attempt_id.sequence] = ended
        self.added.set()
        if len(self.pending) > MAX_PENDING_ATTEMPTS:
            self.pending.popitem(last=False)

    async def wait_for_addition(self, timeout_s: float) -> bool:
        """Wait until an attempt was added, for at least ``FIRST_RETRY_S``.

        :returns: whether one was added before the timeout.
        """
        await asyncio.sleep(FIRST_RETRY_S)
        try:
            async with asyncio.timeout(timeout_s - FIRST_RETRY_S):
                await self.added.wait()
        except TimeoutError:
            return False
        return True

    def remove_expired(self) -> int:
        """Remove the attempts whose runs have ended by their deadlines.

        :returns: how many were removed.
        """
        expired = [
            n for n, ended in self.pending.items() if ended.deadline.has_passed()
        ]
        for number in expired:
            del self.pending[number]
        return len(expired)


class AttemptEnder:
    """Ends attempts at their guards, with one task for each guard.

    :ivar requests: what the guards are still to be told, by their peer addresses.
    """

    def __init__(self, channels: PeerChannels, paths: PathHealth) -> None:
        self._channels = channels
        self._paths = paths
        self.requests: dict[str, _PeerRequests] = {}

    def end(
        self, peer_address: str, attempt_id: peer_pb2.AttemptId, deadline: Deadline
    ) -> None:
        """Tell a guard to end an attempt, without waiting for its reply.

        :param deadline: deadline of the attempt.
        """
        requests = self.requests.get(peer_address)
        if requests is None:
            requests = self.requests[peer_address] = _PeerRequests()
            requests.task = asyncio.create_task(self._send(peer_address, requests))
        requests.add(_EndedAttempt(attempt_id, deadline))

    async def _send(self, peer_address: str, requests: _PeerRequests) -> None:
        untold = 0
        retry_s = FIRST_RETRY_S
        try:
            while requests.pending:
                if await self._send_on_any(peer_address, requests):
                    continue
                self._paths.start_check(peer_address)
                has_addition = await requests.wait_for_addition(retry_s)
                retry_s = FIRST_RETRY_S if has_addition else _next_retry_s(retry_s)
                untold += requests.remove_expired()
            if untold:
                get_logger().info(
                    "guard not told of ended attempts",
                    peer_address=peer_address,
                    attempts=untold,
                )
        finally:
            del self.requests[peer_address]

    async def _send_on_any(self, peer_address: str, requests: _PeerRequests) -> bool:
        """Send a request, over a new connection if the open one has no reply."""
        stub = self._channels.guard(peer_address)
        if await self._send_once(stub, requests, REPLY_TIMEOUT_S):
            return True
        timeout_s = NEW_CONNECTION_TIMEOUT_S
        connecting = self._channels.transient_guard(
            peer_address, round(timeout_s * MS_PER_S)
        )
        async with connecting as stub:
            return await self._send_once(stub, requests, timeout_s)

    async def _send_once(
        self, stub: peer_pb2_grpc.GuardStub, requests: _PeerRequests, timeout_s: float
    ) -> bool:
        """Send one request and return whether the guard has replied."""
        requests.added.clear()
        sequences = list(requests.pending)[:MAX_ATTEMPTS_PER_REQUEST]
        message = peer_pb2.EndRequest(
            attempts=[requests.pending[number].attempt_id for number in sequences]
        )
        try:
            with closed_as_unavailable():
                await stub.End(message, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            # An older guard ends its runs with their streams.
            if error.code() != grpc.StatusCode.UNIMPLEMENTED:
                return False
        for number in sequences:
            requests.pending.pop(number, None)
        return True


def _next_retry_s(retry_s: float) -> float:
    return min(2 * retry_s, MAX_RETRY_S)
