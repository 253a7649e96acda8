"""Channels.

The gRPC channels to other daemons.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import grpc

from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2_grpc

__all__ = ["PeerChannels"]

READY = grpc.ChannelConnectivity.READY
RETIRED_KEPT_S = 10.0  # longer than calls of the present services take
FAILED = (grpc.ChannelConnectivity.TRANSIENT_FAILURE, grpc.ChannelConnectivity.SHUTDOWN)
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),  # a call goes out once; only the entry retries
    ("grpc.use_local_subchannel_pool", 1),  # a renewed channel connects anew
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


class PeerChannels:
    """One channel for each peer address, opened on first use.

    :param overrides: addresses at which announced addresses are reached.
    """

    def __init__(self, overrides: Mapping[str, str]) -> None:
        self.overrides = overrides
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._retired: set[asyncio.Task] = set()

    def guard(self, address: str) -> peer_pb2_grpc.GuardStub:
        """Return the stub for calls to the targets beside a daemon."""
        return peer_pb2_grpc.GuardStub(self._channel(address))

    def peer(self, address: str) -> peer_pb2_grpc.PeerStub:
        """Return the stub for membership and settings."""
        return peer_pb2_grpc.PeerStub(self._channel(address))

    async def connect(self, address: str, deadline: Deadline) -> bool:
        """Wait for the connection to a peer.

        :returns: False if it failed or took too long; then nothing was sent.
        """
        channel = self._channel(address)
        try:
            async with asyncio.timeout(deadline.left_s()):
                while (state := channel.get_state(try_to_connect=True)) != READY:
                    if state in FAILED:
                        return False
                    await channel.wait_for_state_change(state)
        except TimeoutError:
            return False
        return True

    def operation_keys(self, address: str) -> peer_pb2_grpc.OperationKeysStub:
        """Return the stub for calls with operation keys."""
        return peer_pb2_grpc.OperationKeysStub(self._channel(address))

    @asynccontextmanager
    async def transient_peer(
        self, address: str
    ) -> AsyncIterator[peer_pb2_grpc.PeerStub]:
        """Give a stub for rare questions, over a channel that is closed after use."""
        reached = self.overrides.get(address, address)
        if reached in self._channels:
            yield self.peer(address)
            return
        async with grpc.aio.insecure_channel(
            reached, options=CHANNEL_OPTIONS
        ) as channel:
            yield peer_pb2_grpc.PeerStub(channel)

    def renew(self, address: str) -> None:
        """Let the next calls to an address open a connection of their own.

        A connection can go silent for good while new ones work. Calls that are under
        way keep the old one for a while, as its answers may still come.
        """
        channel = self._channels.pop(self.overrides.get(address, address), None)
        if channel is not None:
            task = asyncio.create_task(channel.close(RETIRED_KEPT_S))
            self._retired.add(task)
            task.add_done_callback(self._retired.discard)

    async def forget(self, address: str) -> None:
        """Close the channel to an address at which nobody is left."""
        channel = self._channels.pop(self.overrides.get(address, address), None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for task in self._retired:
            task.cancel()
        for channel in self._channels.values():
            await channel.close()

    def _channel(self, address: str) -> grpc.aio.Channel:
        address = self.overrides.get(address, address)
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        return channel
