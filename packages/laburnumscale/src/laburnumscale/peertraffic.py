"""Peer traffic.

Counts the bytes that a daemon exchanges with its peers, by purpose and by whether the
peer is in the daemon's own data centre.
"""

from collections.abc import Callable
from functools import partial

import grpc
from google.protobuf.message import Message

from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["CountedChannel", "PeerTraffic"]

#: Purpose of the requests and of the replies of each method. Replies to a call are
#: classified by their content.
PURPOSES = {
    "Call": ("call", ""),
    "Upload": ("call", ""),
    "Settle": ("settlement", "settlement"),
    "End": ("settlement", "settlement"),
    "ExchangeMembers": ("membership", "membership"),
    "FetchSettings": ("settings", "settings"),
    "PushSettings": ("settings", "settings"),
    "Run": ("operation key", "operation key"),
    "HandOver": ("operation key", "operation key"),
    "Acquire": ("quota", "quota"),
}
MAX_CACHED_ADDRESSES = 4_096


class PeerTraffic:
    """The byte counters of one daemon.

    A request and its reply are both counted by the daemon that sends the request, so
    the sum over the fleet counts every message once. Framing is not included.
    """

    def __init__(self, members: Members, metrics: Metrics) -> None:
        self._members = members
        self._metrics = metrics
        self._is_local: dict[str, bool] = {}

    def count(
        self, purpose: str, direction: str, address: str, size_bytes: int
    ) -> None:
        """Count the bytes of one message.

        :param direction: ``sent`` or ``received``.
        :param address: announced address of the peer.
        """
        local = str(self._is_in_own_data_centre(address)).lower()
        labels = (
            f'purpose="{purpose}",direction="{direction}",same_data_centre="{local}"'
        )
        self._metrics.count("peer_bytes", labels, size_bytes)

    def _is_in_own_data_centre(self, address: str) -> bool:
        known = self._is_local.get(address)
        if known is not None:
            return known
        data_centre = self._members.data_centre_at(address)
        if not data_centre:
            return False
        if len(self._is_local) >= MAX_CACHED_ADDRESSES:
            self._is_local.clear()
        is_local = data_centre == self._members.own.data_centre
        self._is_local[address] = is_local
        return is_local


class CountedChannel:
    """A gRPC channel whose messages are counted.

    :param address: announced address of the peer.
    """

    def __init__(
        self, channel: grpc.aio.Channel, address: str, traffic: PeerTraffic
    ) -> None:
        self._channel = channel
        self._address = address
        self._traffic = traffic

    def unary_unary(self, method: str, **options) -> Callable:
        """Return a counted method with one request and one reply."""
        return self._channel.unary_unary(method, **self._count(method, options))

    def unary_stream(self, method: str, **options) -> Callable:
        """Return a counted method with one request and a stream of replies."""
        return self._channel.unary_stream(method, **self._count(method, options))

    def stream_stream(self, method: str, **options) -> Callable:
        """Return a counted method with streams of requests and replies."""
        return self._channel.stream_stream(method, **self._count(method, options))

    def _count(self, method: str, options: dict) -> dict:
        sent, received = PURPOSES[method.rpartition("/")[2]]
        return options | {
            "request_serializer": partial(
                self._serialize, sent, options["request_serializer"]
            ),
            "response_deserializer": partial(
                self._deserialize, received, options["response_deserializer"]
            ),
        }

    def _serialize(
        self, purpose: str, serialize: Callable[[Message], bytes], message: Message
    ) -> bytes:
        payload = serialize(message)
        self._traffic.count(purpose, "sent", self._address, len(payload))
        return payload

    def _deserialize(
        self, purpose: str, deserialize: Callable[[bytes], Message], payload: bytes
    ) -> Message:
        message = deserialize(payload)
        purpose = purpose or _reply_purpose(message)
        self._traffic.count(purpose, "received", self._address, len(payload))
        return message


def _reply_purpose(reply: peer_pb2.CallReply) -> str:
    return "refusal" if reply.HasField("not_run") else "answer"
