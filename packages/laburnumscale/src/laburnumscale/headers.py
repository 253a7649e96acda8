"""Headers.

Which header fields are passed on between callers and targets.
"""

from collections.abc import Iterable

from laburnumscale_schema import peer_pb2

__all__ = ["as_text", "end_to_end"]

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


def as_text(value: str) -> str:
    """Return a field value of a target, one character a byte, as Sanic sends it."""
    if value.isascii():
        return value
    return value.encode("latin-1").decode("utf-8", "surrogateescape")


def end_to_end(pairs: Iterable[tuple[str, str]]) -> list[peer_pb2.Header]:
    """Return the header fields that are meant for the other end."""
    kept = [(name.lower(), value) for name, value in pairs]
    named_by_connection = {
        token.strip().lower()
        for name, value in kept
        if name == "connection"
        for token in value.split(",")
    }
    dropped = HOP_BY_HOP | named_by_connection
    return [
        peer_pb2.Header(name=name, value=value)
        for name, value in kept
        if name not in dropped
    ]
