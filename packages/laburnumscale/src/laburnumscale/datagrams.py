"""Datagrams.

The UDP socket of one daemon and the messages that pass through it.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Mapping

from google.protobuf.message import DecodeError

from laburnumscale.addresses import Address, get_address_opt
from laburnumscale.errors import AddressInvalid, DatagramInvalid
from laburnumscale.metrics import Metrics
from laburnumscale_schema import gossip_pb2

__all__ = ["DATAGRAM_LIMIT_BYTES", "DatagramSocket"]

DATAGRAM_LIMIT_BYTES = 1_200
IP_AND_UDP_HEADER_BYTES = 28
HIGHEST_CACHED_ADDRESSES = 4_096


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives datagrams at the peer address.

    :param overrides: addresses at which announced addresses are reached.
    """

    def __init__(self, overrides: Mapping[str, str], metrics: Metrics) -> None:
        self._overrides = overrides
        self._metrics = metrics
        self._transport: asyncio.DatagramTransport | None = None
        self._receive: Callable[[gossip_pb2.Datagram], None] | None = None
        self._reached: OrderedDict[str, Address] = OrderedDict()

    async def open(
        self, address: Address, receive: Callable[[gossip_pb2.Datagram], None]
    ) -> None:
        """Listen at an address.

        :param receive: called with each valid datagram.
        """
        self._receive = receive
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, datagram: gossip_pb2.Datagram) -> int:
        """Send a datagram to an announced address.

        :returns: the bytes that it takes on the network, headers included.
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        try:
            to = self._resolve(address)
        except AddressInvalid:
            self._metrics.count("datagrams_unaddressed")
            return 0
        payload = datagram.SerializeToString()
        try:
            self._transport.sendto(payload, (to.host, to.port))
        except OSError:
            self._metrics.count("datagram_errors")
            return 0
        size_bytes = len(payload) + IP_AND_UDP_HEADER_BYTES
        self._metrics.count("datagrams_sent")
        self._metrics.count("datagram_bytes_sent", amount=size_bytes)
        return size_bytes

    def _resolve(self, address: str) -> Address:
        """Return where an announced address is reached, from a bounded cache."""
        reached = self._reached.get(address)
        if reached is None:
            text = self._overrides.get(address, address)
            reached = get_address_opt("datagram", "peer_address", text)
            self._reached[address] = reached
            if len(self._reached) > HIGHEST_CACHED_ADDRESSES:
                self._reached.popitem(last=False)
        return reached

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Decode a datagram and hand it on."""
        self._metrics.count("datagrams_received")
        received_bytes = len(data) + IP_AND_UDP_HEADER_BYTES
        self._metrics.count("datagram_bytes_received", amount=received_bytes)
        try:
            datagram = _decode(data, source)
        except DatagramInvalid:
            self._metrics.count("datagrams_invalid")
            return
        self._receive(datagram)

    def error_received(self, error: OSError) -> None:
        """Count what the network reports; probes find out who is away."""
        self._metrics.count("datagram_errors")


def _decode(data: bytes, source: tuple[str, int]) -> gossip_pb2.Datagram:
    where = f"{source[0]}:{source[1]}"
    try:
        datagram = gossip_pb2.Datagram.FromString(data)
    except DecodeError as error:
        raise DatagramInvalid(where, str(error)) from error
    if not (datagram.kind and datagram.sender and datagram.sender_address):
        raise DatagramInvalid(where, "kind, sender or sender_address is missing")
    if any(not (each.daemon and each.peer_address) for each in datagram.updates):
        raise DatagramInvalid(where, "an update names no daemon or address")
    return datagram
