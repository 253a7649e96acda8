"""Member server.

The gRPC server of a process that takes part in the membership protocol only.
"""

import grpc

from laburnumscale.addresses import Address
from laburnumscale.gossip import Gossip
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["serve_members"]


class _MemberServicer(peer_pb2_grpc.PeerServicer):
    def __init__(self, gossip: Gossip) -> None:
        self._gossip = gossip

    async def ExchangeMembers(  # noqa: N802
        self, request: peer_pb2.MemberTable, context: grpc.aio.ServicerContext
    ) -> peer_pb2.MemberTable:
        return self._gossip.exchange.handle_request(request)


async def serve_members(address: Address, gossip: Gossip) -> grpc.aio.Server:
    """Start a gRPC server that handles exchanges of membership tables.

    :param address: address to listen on.
    """
    server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
    peer_pb2_grpc.add_PeerServicer_to_server(_MemberServicer(gossip), server)
    server.add_insecure_port(str(address))
    await server.start()
    return server
