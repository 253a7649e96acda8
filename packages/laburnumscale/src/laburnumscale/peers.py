"""Peers.

The gRPC server for the other daemons.
"""

from collections.abc import AsyncIterator, Callable

import grpc

from laburnumscale.addresses import Address
from laburnumscale.guard import Guard
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import peer_pb2, peer_pb2_grpc, settings_pb2

__all__ = ["serve_peers"]

SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


class _GuardServicer(peer_pb2_grpc.GuardServicer):
    def __init__(self, guard: Guard) -> None:
        self._guard = guard

    async def Call(  # noqa: N802
        self, request: peer_pb2.CallRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[peer_pb2.CallReply]:
        async for reply in self._guard.call(request.head, request.body):
            yield reply

    async def Upload(  # noqa: N802
        self,
        requests: AsyncIterator[peer_pb2.CallRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[peer_pb2.CallReply]:
        first = await anext(requests)
        body = _upload_body(first.body, requests)
        async for reply in self._guard.call(first.head, body):
            yield reply


async def _upload_body(
    first: bytes, requests: AsyncIterator[peer_pb2.CallRequest]
) -> AsyncIterator[bytes]:
    if first:
        yield first
    async for request in requests:
        if request.body:
            yield request.body
        if request.end:
            break


MemberAnswer = Callable[[peer_pb2.MemberTable], peer_pb2.MemberTable]


class _PeerServicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, answer_members: MemberAnswer, feed: SettingsFeed) -> None:
        self._answer_members = answer_members
        self._feed = feed

    async def ExchangeMembers(  # noqa: N802
        self, request: peer_pb2.MemberTable, context: grpc.aio.ServicerContext
    ) -> peer_pb2.MemberTable:
        return self._answer_members(request)

    async def FetchSettings(  # noqa: N802
        self, request: peer_pb2.SettingsRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.SettingsReply:
        snapshot = settings_pb2.Snapshot()
        if self._feed.tree.revision > request.after_revision:
            snapshot = self._feed.tree.snapshot()
        return peer_pb2.SettingsReply(snapshot=snapshot)


class _OperationKeysServicer(peer_pb2_grpc.OperationKeysServicer):
    def __init__(self, keyed_calls: KeyedCalls) -> None:
        self._keyed_calls = keyed_calls

    async def Run(  # noqa: N802
        self, request: peer_pb2.KeyedCall, context: grpc.aio.ServicerContext
    ) -> peer_pb2.CallReply:
        return await self._keyed_calls.run_here(request)

    async def HandOver(  # noqa: N802
        self, request: peer_pb2.KeyHandOver, context: grpc.aio.ServicerContext
    ) -> peer_pb2.KeyHandOverReply:
        self._keyed_calls.adopt(request)
        return peer_pb2.KeyHandOverReply()


async def serve_peers(
    address: Address,
    guard: Guard,
    answer_members: MemberAnswer,
    feed: SettingsFeed,
    keyed_calls: KeyedCalls,
) -> grpc.aio.Server:
    """Start the gRPC server for the other daemons.

    :param answer_members: answers a step of an exchange of membership tables.
    """
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_GuardServicer_to_server(_GuardServicer(guard), server)
    peer_pb2_grpc.add_PeerServicer_to_server(
        _PeerServicer(answer_members, feed), server
    )
    peer_pb2_grpc.add_OperationKeysServicer_to_server(
        _OperationKeysServicer(keyed_calls), server
    )
    server.add_insecure_port(str(address))
    await server.start()
    return server
