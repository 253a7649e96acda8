"""Peers.

The gRPC server that handles the requests of other daemons.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, asynccontextmanager

import grpc

from laburnumscale.addresses import Address
from laburnumscale.attemptsettler import AttemptSettler
from laburnumscale.channels import FLOW_CONTROL_OPTIONS
from laburnumscale.errors import AddressInUse, BodyIncomplete, HandOverRefused
from laburnumscale.guard import Guard
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.members import Members
from laburnumscale.quotas import QuotaService
from laburnumscale.settingscontacts import SettingsContact
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["PEER_SERVER_GRACE_S", "serve_peers"]

PEER_SERVER_GRACE_S = 0.2  # peers retry their requests at other daemons
MAX_MESSAGE_BYTES = 64 * 1024 * 1024
MAX_CONCURRENT_STREAMS = 4096
SERVER_OPTIONS = (
    *FLOW_CONTROL_OPTIONS,
    ("grpc.so_reuseport", 0),
    ("grpc.max_concurrent_streams", MAX_CONCURRENT_STREAMS),
    ("grpc.max_receive_message_length", MAX_MESSAGE_BYTES),
)


class _GuardServicer(peer_pb2_grpc.GuardServicer):
    def __init__(self, guard: Guard, settler: AttemptSettler) -> None:
        self._guard = guard
        self._settler = settler

    async def Call(  # noqa: N802
        self, request: peer_pb2.CallRequest, context: grpc.aio.ServicerContext
    ) -> AsyncIterator[peer_pb2.CallReply]:
        replies = self._guard.serve_attempt(request.head, request.body)
        async with aclosing(replies):
            async for reply in replies:
                yield reply

    async def Upload(  # noqa: N802
        self,
        requests: AsyncIterator[peer_pb2.CallRequest],
        context: grpc.aio.ServicerContext,
    ) -> AsyncIterator[peer_pb2.CallReply]:
        first = await anext(requests)
        body = _upload_body(first, requests)
        replies = self._guard.serve_attempt(first.head, body)
        async with aclosing(replies):
            async for reply in replies:
                yield reply

    async def Settle(  # noqa: N802
        self, request: peer_pb2.SettleRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.SettleReply:
        return await self._settler.handle_settle_request(request)

    async def End(  # noqa: N802
        self, request: peer_pb2.EndRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.EndReply:
        for attempt_id in request.attempts:
            self._guard.attempts.cancel(attempt_id)
        return peer_pb2.EndReply()


async def _upload_body(
    first: peer_pb2.CallRequest, requests: AsyncIterator[peer_pb2.CallRequest]
) -> AsyncIterator[bytes]:
    if first.body:
        yield first.body
    async for request in requests:
        if request.body:
            yield request.body
        if request.end:
            return
    raise BodyIncomplete(
        first.head.request_id, "the stream ended without an end message"
    )


ExchangeHandler = Callable[[peer_pb2.MemberTable], peer_pb2.MemberTable]


class _PeerServicer(peer_pb2_grpc.PeerServicer):
    def __init__(
        self, members: Members, handle_exchange: ExchangeHandler, feed: SettingsFeed
    ) -> None:
        self._members = members
        self._handle_exchange = handle_exchange
        self._feed = feed

    async def ExchangeMembers(  # noqa: N802
        self, request: peer_pb2.MemberTable, context: grpc.aio.ServicerContext
    ) -> peer_pb2.MemberTable:
        return self._handle_exchange(request)

    async def FetchSettings(  # noqa: N802
        self, request: peer_pb2.SettingsRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.SettingsReply:
        if request.whole_tree:
            return self._feed.whole_tree_reply()
        return self._feed.reply_after(request.after_revision)

    async def PushSettings(  # noqa: N802
        self, request: peer_pb2.SettingsReply, context: grpc.aio.ServicerContext
    ) -> peer_pb2.SettingsHeld:
        self._feed.apply_reply(request)
        if request.held.has_tree:
            self._feed.contacts.record(SettingsContact.PUSH)
        self._feed.notify_waiters()
        self._feed.record_peer_revision(request.held.revision, request.sender_address)
        return self._feed.held()


class _OperationKeysServicer(peer_pb2_grpc.OperationKeysServicer):
    def __init__(self, keyed_calls: KeyedCalls) -> None:
        self._keyed_calls = keyed_calls

    async def Run(  # noqa: N802
        self, request: peer_pb2.KeyedCall, context: grpc.aio.ServicerContext
    ) -> peer_pb2.CallReply:
        return await self._keyed_calls.run_or_relay(request)

    async def HandOver(  # noqa: N802
        self, request: peer_pb2.KeyHandOver, context: grpc.aio.ServicerContext
    ) -> peer_pb2.KeyHandOverReply:
        try:
            self._keyed_calls.accept_hand_over(request)
        except HandOverRefused as error:
            await context.abort(grpc.StatusCode.FAILED_PRECONDITION, str(error))
        return peer_pb2.KeyHandOverReply()


class _QuotasServicer(peer_pb2_grpc.QuotasServicer):
    def __init__(self, service: QuotaService) -> None:
        self._service = service

    async def Acquire(  # noqa: N802
        self, request: peer_pb2.QuotaRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.QuotaReply:
        return await self._service.acquire(request)


@asynccontextmanager
async def serve_peers(
    address: Address,
    guard: Guard,
    settler: AttemptSettler,
    members: Members,
    handle_exchange: ExchangeHandler,
    feed: SettingsFeed,
    keyed_calls: KeyedCalls,
    quotas: QuotaService | None = None,
) -> AsyncIterator[grpc.aio.Server]:
    """Handle the requests of other daemons while the context lasts.

    Requests that are in progress at its end get a grace time, also if the start of
    the daemon fails: otherwise the server cancels them, and gRPC logs each one.

    :param address: address to listen on.
    :param handle_exchange: handles one request of a membership table exchange and
        returns the reply.
    :param quotas: the keeper of quotas; None for a server that keeps none.
    :raises AddressInUse: the server cannot listen on the address.
    """
    server = grpc.aio.server(options=SERVER_OPTIONS)
    peer_pb2_grpc.add_GuardServicer_to_server(_GuardServicer(guard, settler), server)
    peer_pb2_grpc.add_PeerServicer_to_server(
        _PeerServicer(members, handle_exchange, feed), server
    )
    peer_pb2_grpc.add_OperationKeysServicer_to_server(
        _OperationKeysServicer(keyed_calls), server
    )
    if quotas is not None:
        peer_pb2_grpc.add_QuotasServicer_to_server(_QuotasServicer(quotas), server)
    try:
        server.add_insecure_port(str(address))
    except RuntimeError as error:
        raise AddressInUse(
            "peer_address", str(address), "address already in use"
        ) from error
    await server.start()
    try:
        yield server
    finally:
        await server.stop(PEER_SERVER_GRACE_S)
