"""Channels.

Manages the gRPC channels to other daemons.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import grpc

from laburnumscale.deadlines import Deadline
from laburnumscale.peertraffic import CountedChannel, PeerTraffic
from laburnumscale_schema import peer_pb2_grpc

__all__ = ["PeerChannels"]

READY = grpc.ChannelConnectivity.READY
#: Longer than the calls of the current services take.
RETIRED_CHANNEL_GRACE_S = 10.0
FAILED_STATES = (
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
)
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),  # each call is sent once; only the entry retries
    ("grpc.use_local_subchannel_pool", 1),  # a new channel opens its own connection
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.min_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


class PeerChannels:
    """One channel per peer address, opened on first use.

    :param traffic: counts the bytes of the messages; None to count nothing.
    :ivar overrides: maps announced peer addresses to the addresses to connect to.
    """

    def __init__(
        self, overrides: Mapping[str, str], traffic: PeerTraffic | None = None
    ) -> None:
        self.overrides = overrides
        self._traffic = traffic
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._closing_tasks: set[asyncio.Task] = set()

    def guard(self, address: str) -> peer_pb2_grpc.GuardStub:
        """Return the stub for sending attempts to the guard of a daemon."""
        return peer_pb2_grpc.GuardStub(self._get_counted_channel(address))

    def peer(self, address: str) -> peer_pb2_grpc.PeerStub:
        """Return the stub for membership exchanges and settings."""
        return peer_pb2_grpc.PeerStub(self._get_counted_channel(address))

    async def connect(self, address: str, deadline: Deadline) -> bool:
        """Wait until a peer is connected.

        :param deadline: how long to wait.
        :returns: whether the peer is connected; if not, no request was sent.
        """
        channel = self._get_channel(address)
        try:
            async with asyncio.timeout(deadline.left_s()):
                while (state := channel.get_state(try_to_connect=True)) != READY:
                    if state in FAILED_STATES:
                        return False
                    await channel.wait_for_state_change(state)
        except TimeoutError:
            return False
        return True

    def operation_keys(self, address: str) -> peer_pb2_grpc.OperationKeysStub:
        """Return the stub for calls with operation keys."""
        channel = self._get_counted_channel(address)
        return peer_pb2_grpc.OperationKeysStub(channel)

    @asynccontextmanager
    async def transient_peer(
        self, address: str, new_connection: bool = False
    ) -> AsyncIterator[peer_pb2_grpc.PeerStub]:
        """Yield a stub for infrequent requests.

        An open channel to the address is used if there is one; otherwise, a new one is
        opened and closed after use.

        :param new_connection: do not use a channel that is open.
        """
        resolved_address = self.overrides.get(address, address)
        if resolved_address in self._channels and not new_connection:
            yield self.peer(address)
            return
        async with grpc.aio.insecure_channel(
            resolved_address, options=CHANNEL_OPTIONS
        ) as channel:
            yield peer_pb2_grpc.PeerStub(self._counted(channel, address))

    def replace_channel(self, address: str) -> None:
        """Make the next calls to an address open a new connection.

        A connection can stop delivering data for good while new connections work.
        Calls in progress keep the old connection for ``RETIRED_CHANNEL_GRACE_S``,
        because their replies may still arrive.
        """
        channel = self._channels.pop(self.overrides.get(address, address), None)
        if channel is not None:
            task = asyncio.create_task(channel.close(RETIRED_CHANNEL_GRACE_S))
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)

    async def close_channel(self, address: str) -> None:
        """Close the channel to an address that no member uses any more."""
        channel = self._channels.pop(self.overrides.get(address, address), None)
        if channel is not None:
            await channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for task in self._closing_tasks:
            task.cancel()
        for channel in self._channels.values():
            await channel.close()

    def _get_counted_channel(self, address: str) -> grpc.aio.Channel | CountedChannel:
        return self._counted(self._get_channel(address), address)

    def _counted(
        self, channel: grpc.aio.Channel, address: str
    ) -> grpc.aio.Channel | CountedChannel:
        if self._traffic is None:
            return channel
        return CountedChannel(channel, address, self._traffic)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        address = self.overrides.get(address, address)
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        return channel
