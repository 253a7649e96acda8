"""Attempt ender.

Tells guards which attempts this entry has given up, also if the connection that carried
an attempt delivers nothing any more. It answers the load of callers that leave.
"""

import asyncio

import attrs
import grpc

from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.logs import get_logger
from laburnumscale.pathhealth import PathHealth
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptEnder"]

#: A guard replies at once. Two such times and a check of the path fit into half a
#: second, after which the work for a caller that has left must have ended.
REPLY_TIMEOUT_S = 0.15
RETRY_INTERVAL_S = 0.05
#: After this time the guard is left to end its runs by their deadlines.
GIVE_UP_MS = 2_000
MAX_ATTEMPTS_PER_REQUEST = 256


@attrs.define(eq=False)
class _PeerRequests:
    """The attempts of which a guard is still to be told.

    :ivar pending: the attempts, by sequence number.
    :ivar deadline: until when the guard is told; set by the latest attempt.
    :ivar task: sends the requests.
    """

    pending: dict[int, peer_pb2.AttemptId] = attrs.field(factory=dict)
    deadline: Deadline = attrs.field(factory=lambda: Deadline.after_ms(GIVE_UP_MS))
    task: asyncio.Task | None = None


class AttemptEnder:
    """Ends attempts at their guards, with one task for each guard."""

    def __init__(self, channels: PeerChannels, paths: PathHealth) -> None:
        self._channels = channels
        self._paths = paths
        self._requests: dict[str, _PeerRequests] = {}

    def end(self, peer_address: str, attempt_id: peer_pb2.AttemptId) -> None:
        """Tell a guard to end an attempt, without waiting for its reply."""
        requests = self._requests.get(peer_address)
        if requests is None:
            requests = self._requests[peer_address] = _PeerRequests()
            requests.task = asyncio.create_task(self._send(peer_address, requests))
        requests.pending[attempt_id.sequence] = attempt_id
        requests.deadline = Deadline.after_ms(GIVE_UP_MS)

    async def _send(self, peer_address: str, requests: _PeerRequests) -> None:
        try:
            while requests.pending and not requests.deadline.has_passed():
                if not await self._send_once(peer_address, requests):
                    self._paths.start_check(peer_address)
                    await asyncio.sleep(RETRY_INTERVAL_S)
            if requests.pending:
                get_logger().info(
                    "guard not told of ended attempts",
                    peer_address=peer_address,
                    attempts=len(requests.pending),
                )
        finally:
            del self._requests[peer_address]

    async def _send_once(self, peer_address: str, requests: _PeerRequests) -> bool:
        """Send one request and return whether the guard has replied."""
        sequences = list(requests.pending)[:MAX_ATTEMPTS_PER_REQUEST]
        message = peer_pb2.EndRequest(
            attempts=[requests.pending[number] for number in sequences]
        )
        stub = self._channels.guard(peer_address)
        try:
            await stub.End(message, timeout=REPLY_TIMEOUT_S)
        except grpc.aio.AioRpcError as error:
            # An older guard ends its runs with their streams.
            if error.code() != grpc.StatusCode.UNIMPLEMENTED:
                return False
        for number in sequences:
            requests.pending.pop(number, None)
        return True
