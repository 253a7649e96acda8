"""Addresses.

IP numbers with ports, as the settings write them.
"""

import ipaddress

import attrs

from laburnumscale.errors import AddressInvalid, AddressNotLoopback

__all__ = ["Address", "get_address_opt", "get_loopback_address_opt"]

HIGHEST_PORT = 65535


@attrs.frozen
class Address:
    """An IP number and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"


def get_address_opt(where: str, option: str, value: str) -> Address:
    """Parse ``IP:PORT``.

    :param where: file and line, for the error.
    :param option: name of the setting, for the error.
    :raises AddressInvalid: the value has another form.
    """
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise AddressInvalid(where, option, value) from None
    if not port.isdecimal() or int(port) > HIGHEST_PORT:
        raise AddressInvalid(where, option, value)
    return Address(host, int(port))


def get_loopback_address_opt(where: str, option: str, value: str) -> Address:
    """Parse ``IP:PORT`` of the loopback range.

    :raises AddressInvalid: the value has another form.
    :raises AddressNotLoopback: the IP number is reachable from other hosts.
    """
    address = get_address_opt(where, option, value)
    if not ipaddress.ip_address(address.host).is_loopback:
        raise AddressNotLoopback(where, option, value)
    return address
