"""Addresses.

Parses and formats IP addresses with ports.
"""

import ipaddress
import re

import attrs

from laburnumscale.errors import AddressInvalid, AddressNotLoopback

__all__ = ["Address", "parse_ip_port", "parse_loopback_ip_port"]

MAX_PORT = 65535
PORT = re.compile("[1-9][0-9]{0,4}")


@attrs.frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def parse_ip_port(where: str, option: str, value: str) -> Address:
    """Parse ``IP:PORT``.

    :param where: source of the value, such as a file and line, for the error.
    :param option: name of the setting or field, for the error.
    :raises AddressInvalid: the value does not have this form.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise AddressInvalid(where, option, value) from None
    if not PORT.fullmatch(port) or int(port) > MAX_PORT:
        raise AddressInvalid(where, option, value)
    return Address(host, int(port))


def parse_loopback_ip_port(where: str, option: str, value: str) -> Address:
    """Parse ``IP:PORT`` with a loopback address.

    :param where: source of the value, such as a file and line, for the error.
    :param option: name of the setting or field, for the error.
    :raises AddressInvalid: the value does not have this form.
    :raises AddressNotLoopback: the IP address is reachable from other hosts.
    """
    address = parse_ip_port(where, option, value)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise AddressNotLoopback(where, option, value)
    return address
