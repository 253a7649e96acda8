"""Headers.

Selects the header fields to forward between callers and targets.
"""

from collections.abc import Iterable

from laburnumscale_schema import peer_pb2

__all__ = ["decode_field_value", "end_to_end_headers", "without_fields"]

HOP_BY_HOP = frozenset(
    {
        "connection",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


def decode_field_value(value: str) -> str:
    """Convert a field value from Latin-1 to the encoding with which Sanic sends it.

    :param value: value from a target's response, with one character per byte.
    :returns: the same bytes as UTF-8 text; invalid bytes become surrogate escapes.
    """
    if value.isascii():
        return value
    return value.encode("latin-1").decode("utf-8", "surrogateescape")


def end_to_end_headers(pairs: Iterable[tuple[str, str]]) -> list[peer_pb2.Header]:
    """Return the header fields to forward, without the hop-by-hop fields.

    Fields listed in the Connection header field are hop-by-hop as well.
    """
    lowercased = [(name.lower(), value) for name, value in pairs]
    connection_options = {
        token.strip().lower()
        for name, value in lowercased
        if name == "connection"
        for token in value.split(",")
    }
    excluded = HOP_BY_HOP | connection_options
    return [
        peer_pb2.Header(name=name, value=value)
        for name, value in lowercased
        if name not in excluded
    ]


def without_fields(
    headers: list[peer_pb2.Header], names: frozenset[str]
) -> list[peer_pb2.Header]:
    """Return the header fields whose names are not among ``names``.

    Some servers read ``_`` in a name as ``-``, so fields whose names differ only in
    that are left out as well.
    """
    return [each for each in headers if each.name.replace("_", "-") not in names]
