"""Channels.

Manages the gRPC channels to other daemons.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from typing import Any, TypeVar

import attrs
import grpc

from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.peertraffic import CountedChannel, PeerTraffic
from laburnumscale_schema import peer_pb2_grpc

__all__ = ["FLOW_CONTROL_OPTIONS", "PeerChannels", "closed_as_unavailable"]

READY = grpc.ChannelConnectivity.READY
#: The calls on a retired channel end by their own deadlines. This bounds the time for
#: which a channel is kept if one of them has none.
RETIRED_CHANNEL_GRACE_S = 3_600.0
FAILED_STATES = (
    grpc.ChannelConnectivity.TRANSIENT_FAILURE,
    grpc.ChannelConnectivity.SHUTDOWN,
)
#: Bytes of a stream that may be on their way. gRPC would otherwise derive the window
#: from the bandwidth and the round-trip time, and use megabytes on a busy host. Each
#: stream may hold this much unread; it fills a link of 100 Mbit/s over 20 ms.
FLOW_CONTROL_OPTIONS = (
    ("grpc.http2.bdp_probe", 0),
    ("grpc.http2.lookahead_bytes", 256 * 1024),
)
#: The name is that of the option; gRPC gives up connecting after this time, too.
CONNECT_TIMEOUT_OPTION = "grpc.min_reconnect_backoff_ms"
MIN_CONNECT_TIMEOUT_MS = 200
CHANNEL_OPTIONS = (
    *FLOW_CONTROL_OPTIONS,
    ("grpc.enable_http_proxy", 0),
    ("grpc.enable_retries", 0),  # each call is sent once; only the entry retries
    ("grpc.use_local_subchannel_pool", 1),  # a new channel opens its own connection
    ("grpc.initial_reconnect_backoff_ms", 50),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


Stub = TypeVar("Stub")


@attrs.define(eq=False)
class _OpenChannel:
    """A channel and its stubs, by their kind and the announced address of the peer."""

    channel: grpc.aio.Channel
    stubs: dict[tuple[type, str], Any] = attrs.field(factory=dict)


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
        self._channels: dict[str, _OpenChannel] = {}
        self._closing_tasks: set[asyncio.Task] = set()

    def guard(self, address: str) -> peer_pb2_grpc.GuardStub:
        """Return the stub for sending attempts to the guard of a daemon."""
        return self._get_stub(address, peer_pb2_grpc.GuardStub)

    def peer(self, address: str) -> peer_pb2_grpc.PeerStub:
        """Return the stub for membership exchanges and settings."""
        return self._get_stub(address, peer_pb2_grpc.PeerStub)

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

    async def is_refused(self, address: str) -> bool:
        """Return whether the host of a peer refuses connections to its address.

        No process listens there then. A host that cannot be reached refuses nothing.
        """
        host, _, port = self.overrides.get(address, address).rpartition(":")
        try:
            async with asyncio.timeout(MIN_CONNECT_TIMEOUT_MS / MS_PER_S):
                _, writer = await asyncio.open_connection(host, int(port))
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        writer.close()
        return False

    def operation_keys(self, address: str) -> peer_pb2_grpc.OperationKeysStub:
        """Return the stub for calls with operation keys."""
        return self._get_stub(address, peer_pb2_grpc.OperationKeysStub)

    def quotas(self, address: str) -> peer_pb2_grpc.QuotasStub:
        """Return the stub for requests to the keepers of quotas."""
        return self._get_stub(address, peer_pb2_grpc.QuotasStub)

    @asynccontextmanager
    async def transient_peer(
        self,
        address: str,
        new_connection: bool = False,
        connect_timeout_ms: int = MIN_CONNECT_TIMEOUT_MS,
    ) -> AsyncIterator[peer_pb2_grpc.PeerStub]:
        """Yield a stub for infrequent requests.

        An open channel to the address is used if there is one; otherwise, a new one is
        opened and closed after use.

        :param new_connection: do not use a channel that is open.
        :param connect_timeout_ms: time in which a new connection must be established.
        """
        resolved_address = self.overrides.get(address, address)
        if resolved_address in self._channels and not new_connection:
            yield self.peer(address)
            return
        async with _open(resolved_address, connect_timeout_ms) as channel:
            yield peer_pb2_grpc.PeerStub(self._counted(channel, address))

    @asynccontextmanager
    async def transient_guard(
        self, address: str, connect_timeout_ms: int
    ) -> AsyncIterator[peer_pb2_grpc.GuardStub]:
        """Yield a stub for requests to a guard over a connection of their own.

        :param connect_timeout_ms: time in which the connection must be established.
        """
        resolved_address = self.overrides.get(address, address)
        async with _open(resolved_address, connect_timeout_ms) as channel:
            yield peer_pb2_grpc.GuardStub(self._counted(channel, address))

    def replace_channel(self, address: str) -> None:
        """Make the next calls to an address open a new connection.

        A connection can stop delivering data for good while new connections work.
        Calls in progress keep the old connection for ``RETIRED_CHANNEL_GRACE_S``,
        because their replies may still arrive.
        """
        opened = self._channels.pop(self.overrides.get(address, address), None)
        if opened is not None:
            task = asyncio.create_task(opened.channel.close(RETIRED_CHANNEL_GRACE_S))
            self._closing_tasks.add(task)
            task.add_done_callback(self._closing_tasks.discard)

    async def close_channel(self, address: str) -> None:
        """Close the channel to an address that no member uses any more."""
        opened = self._channels.pop(self.overrides.get(address, address), None)
        if opened is not None:
            await opened.channel.close()

    async def close(self) -> None:
        """Close all channels."""
        for task in self._closing_tasks:
            task.cancel()
        for opened in self._channels.values():
            await opened.channel.close()

    def _get_stub(self, address: str, kind: type[Stub]) -> Stub:
        """Return the stub of a kind; it is kept as long as its channel."""
        opened = self._get_open_channel(address)
        key = (kind, address)
        if key not in opened.stubs:
            opened.stubs[key] = kind(self._counted(opened.channel, address))
        return opened.stubs[key]

    def _counted(
        self, channel: grpc.aio.Channel, address: str
    ) -> grpc.aio.Channel | CountedChannel:
        if self._traffic is None:
            return channel
        return CountedChannel(channel, address, self._traffic)

    def _get_channel(self, address: str) -> grpc.aio.Channel:
        return self._get_open_channel(address).channel

    def _get_open_channel(self, address: str) -> _OpenChannel:
        address = self.overrides.get(address, address)
        opened = self._channels.get(address)
        if opened is None:
            opened = self._channels[address] = _OpenChannel(_open(address))
        return opened


@contextmanager
def closed_as_unavailable() -> Iterator[None]:
    """Raise an error of the RPC if its channel is closed.

    gRPC cancels the calls on a channel that is closed, as if the task were cancelled
    that awaits them.

    :raises grpc.aio.AioRpcError: the channel was closed; the call may have run.
    """
    try:
        yield
    except asyncio.CancelledError:
        task = asyncio.current_task()
        if task is None or task.cancelling():
            raise
        empty = grpc.aio.Metadata()
        raise grpc.aio.AioRpcError(
            grpc.StatusCode.UNAVAILABLE, empty, empty, "the channel was closed"
        ) from None


def _open(
    address: str, connect_timeout_ms: int = MIN_CONNECT_TIMEOUT_MS
) -> grpc.aio.Channel:
    options = (*CHANNEL_OPTIONS, (CONNECT_TIMEOUT_OPTION, connect_timeout_ms))
    return grpc.aio.insecure_channel(address, options=options)
