"""Datagrams.

Sends and receives the gossip messages of one daemon over UDP.
"""

import asyncio
from collections import OrderedDict
from collections.abc import Callable, Mapping

from google.protobuf.message import DecodeError

from laburnumscale.acceptance import accept_address, accept_name, accept_time_us
from laburnumscale.addresses import Address, parse_ip_port
from laburnumscale.errors import AddressInvalid, DatagramInvalid, LaburnumscaleError
from laburnumscale.metrics import Metrics
from laburnumscale.peertraffic import PeerTraffic
from laburnumscale.rejectionlog import RejectionLog
from laburnumscale_schema import gossip_pb2

__all__ = ["MAX_DATAGRAM_BYTES", "DatagramSocket"]

MAX_DATAGRAM_BYTES = 1_200
IP_AND_UDP_HEADER_BYTES = 28
MAX_CACHED_ADDRESSES = 4_096


class DatagramSocket(asyncio.DatagramProtocol):
    """Sends and receives gossip datagrams on the peer address.

    :param overrides: maps announced peer addresses to the addresses to send to.
    """

    def __init__(
        self, overrides: Mapping[str, str], metrics: Metrics, traffic: PeerTraffic
    ) -> None:
        self._traffic = traffic
        self._overrides = overrides
        self._metrics = metrics
        self._rejections = RejectionLog("datagram", "datagram rejected", metrics)
        self._transport: asyncio.DatagramTransport | None = None
        self._on_datagram: Callable[[gossip_pb2.Datagram], None] | None = None
        self._resolved_addresses: OrderedDict[str, Address] = OrderedDict()

    async def open(
        self, address: Address, on_datagram: Callable[[gossip_pb2.Datagram], None]
    ) -> None:
        """Bind the socket to an address.

        :param on_datagram: called with each valid datagram.
        """
        self._on_datagram = on_datagram
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(address.host, address.port)
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, address: str, datagram: gossip_pb2.Datagram) -> int:
        """Send a datagram to an announced address.

        :returns: size in bytes including IP and UDP headers, or 0 if it was not sent.
        """
        if self._transport is None or self._transport.is_closing():
            return 0
        try:
            destination = self._resolve(address)
        except AddressInvalid:
            self._metrics.count("datagrams_unaddressed")
            return 0
        payload = datagram.SerializeToString()
        try:
            self._transport.sendto(payload, (destination.host, destination.port))
        except OSError:
            self._metrics.count("datagram_errors")
            return 0
        size_bytes = len(payload) + IP_AND_UDP_HEADER_BYTES
        self._metrics.count("datagrams_sent")
        self._metrics.count("datagram_bytes_sent", amount=size_bytes)
        self._traffic.count("gossip", "sent", address, size_bytes)
        return size_bytes

    def _resolve(self, address: str) -> Address:
        """Return the override of an announced address, or else the address itself.

        Results are kept in a bounded cache.
        """
        resolved = self._resolved_addresses.get(address)
        if resolved is None:
            text = self._overrides.get(address, address)
            resolved = parse_ip_port("datagram", "peer_address", text)
            self._resolved_addresses[address] = resolved
            if len(self._resolved_addresses) > MAX_CACHED_ADDRESSES:
                self._resolved_addresses.popitem(last=False)
        return resolved

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Decode a datagram and pass it to the callback."""
        self._metrics.count("datagrams_received")
        received_bytes = len(data) + IP_AND_UDP_HEADER_BYTES
        self._metrics.count("datagram_bytes_received", amount=received_bytes)
        try:
            datagram = _decode(data, source)
        except DatagramInvalid as error:
            self._metrics.count("datagrams_invalid")
            self._rejections.record(source[0], error)
            return
        self._on_datagram(datagram)

    def error_received(self, error: OSError) -> None:
        """Count a network error; probes detect unreachable members."""
        self._metrics.count("datagram_errors")


def _decode(data: bytes, source: tuple[str, int]) -> gossip_pb2.Datagram:
    peer = f"{source[0]}:{source[1]}"
    try:
        datagram = gossip_pb2.Datagram.FromString(data)
    except DecodeError as error:
        raise DatagramInvalid(peer, str(error)) from error
    try:
        accept_name(peer, "sender", datagram.sender)
        accept_address(peer, "sender_address", datagram.sender_address)
        accept_time_us(peer, "sender_incarnation", datagram.sender_incarnation)
    except LaburnumscaleError as error:
        raise DatagramInvalid(peer, str(error)) from error
    if not datagram.kind:
        raise DatagramInvalid(peer, "kind is missing")
    return datagram
