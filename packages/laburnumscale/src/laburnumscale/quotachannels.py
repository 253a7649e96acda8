"""Quota channels.

Sends the requests of entries and keepers to the keepers of quotas at other daemons.
"""

import grpc

from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale_schema import peer_pb2

__all__ = ["QuotaChannels"]


class QuotaChannels:
    """Requests about quotas over the channels of a daemon."""

    def __init__(self, channels: PeerChannels) -> None:
        self._channels = channels

    async def ask(
        self, address: str, request: peer_pb2.QuotaRequest, timeout_s: float
    ) -> peer_pb2.QuotaReply | None:
        """Return the reply of the daemon at an address, or None if there is none.

        The request may have been handled then, so it is not repeated.
        """
        stub = self._channels.quotas(address)
        try:
            with closed_as_unavailable():
                return await stub.Acquire(request, timeout=timeout_s)
        except grpc.aio.AioRpcError:
            return None
