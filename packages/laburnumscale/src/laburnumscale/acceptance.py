"""Acceptance.

Decides which values of other programs are accepted: those that fit every later use.

A value that is accepted can be logged, sent in a header field, published in a message
of the schema and merged by a peer, so no later step has to fail on it.
"""

import ipaddress
import math
import re
from collections.abc import Callable

from laburnumscale.addresses import Address, parse_ip_port
from laburnumscale.errors import LaburnumscaleError, RequestInvalid
from laburnumscale.memberentries import STATE_RANKS, without_endpoints
from laburnumscale_schema import peer_pb2

__all__ = [
    "MAX_COUNTER",
    "MAX_NAME_BYTES",
    "MAX_SLOTS",
    "MAX_TIME_US",
    "accept_address",
    "accept_count",
    "accept_member",
    "accept_name",
    "accept_number",
    "accept_start_time_ms",
    "accept_text",
    "accept_time_us",
    "parse_decimal",
]

#: An entry whose names are all this long is left to the exchange of tables, as it does
#: not fit into a datagram.
MAX_NAME_BYTES = 255
MAX_TEXT_BYTES = 4_096
MAX_SLOTS = 10_000
#: A quarter of the range of an unsigned field of 64 bits: counters that continue from
#: an accepted value stay within the field.
MAX_COUNTER = 1 << 62
MAX_NUMBER = 1e9
#: Latest time in Unix microseconds, in the year 2255. The bound does not depend on the
#: clock of this host, which may be wrong.
MAX_TIME_US = 1 << 53
US_PER_MS = 1000
#: A decimal number, in ASCII.
DECIMAL = re.compile(
    r"\+?(?:[0-9]{1,18}(?:\.[0-9]{0,18})?|\.[0-9]{1,18})(?:[eE][+-]?[0-9]{1,3})?"
)
TARGET_STATES = frozenset(
    value for value in peer_pb2.TargetState.values() if value != 0
)


def accept_text(where: str, name: str, value: object) -> str:
    """Return a text that is not used, but has the form of one.

    :param where: source of the value, for the error.
    :param name: name of the field, for the error.
    :raises RequestInvalid: it is not a text, cannot be encoded or is too long.
    """
    if not isinstance(value, str):
        raise RequestInvalid(where, f"{name} is not a text")
    try:
        size_bytes = len(value.encode())
    except UnicodeEncodeError:
        raise RequestInvalid(where, f"{name} cannot be encoded") from None
    if size_bytes > MAX_TEXT_BYTES:
        raise RequestInvalid(where, f"{name} has more than {MAX_TEXT_BYTES} bytes")
    return value


def accept_name(where: str, name: str, value: object) -> str:
    """Return the name of an endpoint, a service, a daemon or a data centre.

    It may be sent in a header field, which carries neither control characters nor
    spaces at its ends.

    :param where: source of the value, for the error.
    :param name: name of the field, for the error.
    :raises RequestInvalid: it is not a text, empty, too long or not printable.
    """
    if not isinstance(value, str):
        raise RequestInvalid(where, f"{name} is not a text")
    if not value or value[0] == " " or value[-1] == " " or not value.isprintable():
        raise RequestInvalid(where, f"{name} is empty or not printable")
    if len(value) > MAX_NAME_BYTES or len(value.encode()) > MAX_NAME_BYTES:
        raise RequestInvalid(where, f"{name} has more than {MAX_NAME_BYTES} bytes")
    return value


def accept_count(
    where: str, name: str, value: object, minimum: int = 0, maximum: int = MAX_COUNTER
) -> int:
    """Return an integer within its range; a boolean is not an integer.

    :raises RequestInvalid: it is of another type or out of range.
    """
    if not isinstance(value, int) or isinstance(value, bool):
        raise RequestInvalid(where, f"{name} is not an integer")
    if not minimum <= value <= maximum:
        raise RequestInvalid(where, f"{name} is not within {minimum} to {maximum}")
    return value


def accept_number(where: str, name: str, value: object) -> float:
    """Return a number from 0 to ``MAX_NUMBER``.

    :raises RequestInvalid: it is of another type, infinite, no number or out of range.
    """
    if not isinstance(value, int | float) or isinstance(value, bool):
        raise RequestInvalid(where, f"{name} is not a number")
    if not 0 <= value <= MAX_NUMBER:  # NaN compares false
        raise RequestInvalid(where, f"{name} is not within 0 to {MAX_NUMBER:g}")
    return float(value)


def accept_start_time_ms(where: str, name: str, value: object) -> int:
    """Return a time in Unix milliseconds that a clock may show; 0 if it is unknown.

    :raises RequestInvalid: it is no integer, or no such time.
    """
    return accept_count(where, name, value, 0, MAX_TIME_US // US_PER_MS)


def accept_time_us(where: str, name: str, value: int) -> int:
    """Return a time in Unix microseconds that a clock may show.

    :raises RequestInvalid: it is no such time.
    """
    return accept_count(where, name, value, 0, MAX_TIME_US)


def accept_address(where: str, name: str, value: object) -> Address:
    """Return an address to which a connection can be opened.

    :raises LaburnumscaleError: it is not ``IP:PORT``, or names no single host.
    """
    text = accept_name(where, name, value)
    address = parse_ip_port(where, name, text)
    ip = ipaddress.ip_address(address.host)
    if ip.is_unspecified or ip.is_multicast:
        raise RequestInvalid(where, f"{name} does not name a host")
    return address


def accept_member(
    entry: peer_pb2.Member,
    on_rejection: Callable[[str, LaburnumscaleError], None] = lambda where, error: None,
) -> peer_pb2.Member:
    """Return a membership entry without the endpoints that cannot be used.

    :param entry: as received from a peer or the platform's log.
    :param on_rejection: called with the source and the reason for each such endpoint.
    :raises LaburnumscaleError: the entry itself cannot be used.
    """
    where = f'entry of daemon "{accept_name("entry", "daemon", entry.daemon)}"'
    accept_time_us(where, "incarnation", entry.incarnation)
    accept_count(where, "version", entry.version)
    accept_time_us(where, "record_number", entry.record_number)
    accept_count(where, "endpoints_version", entry.endpoints_version)
    accept_address(where, "peer_address", entry.peer_address)
    if entry.data_centre:
        accept_name(where, "data_centre", entry.data_centre)
    if entry.state not in STATE_RANKS:
        raise RequestInvalid(where, f"state {entry.state} is unknown")
    for home in entry.key_homes:
        accept_name(where, "key_homes", home.daemon)
    usable = []
    for endpoint in entry.endpoints:
        try:
            _check_endpoint(where, endpoint)
            usable.append(endpoint)
        except LaburnumscaleError as error:
            on_rejection(where, error)
    if len(usable) == len(entry.endpoints):
        return entry
    accepted = without_endpoints(entry)
    accepted.endpoints_version = entry.endpoints_version
    accepted.endpoints.extend(usable)
    return accepted


def _check_endpoint(where: str, endpoint: peer_pb2.Endpoint) -> None:
    accept_name(where, "service", endpoint.service)
    accept_name(where, "endpoint", endpoint.endpoint)
    accept_count(where, "slots", endpoint.slots, 0, MAX_SLOTS)
    accept_time_us(where, "announced_us", endpoint.announced_us)
    accept_count(where, "version of the endpoint", endpoint.version)
    if endpoint.state not in TARGET_STATES:
        raise RequestInvalid(where, f"state {endpoint.state} is unknown")


def parse_decimal(text: str) -> float | None:
    """Return a decimal number that is not negative, or None if a text is none."""
    if not DECIMAL.fullmatch(text):
        return None
    value = float(text)
    return min(value, MAX_NUMBER) if math.isfinite(value) else MAX_NUMBER
