"""Call fingerprint.

Identifies a call by what it asks for and by whom, so that its repeats are recognised
although each has a request id of its own.
"""

import hashlib
from collections.abc import AsyncIterator, Iterable

from laburnumscale_schema import peer_pb2

__all__ = ["FINGERPRINT_BYTES", "call_fingerprint"]

FINGERPRINT_BYTES = 16
AUTHORIZATION = "authorization"
CONTENT_LENGTH = "content-length"


def call_fingerprint(
    head: peer_pb2.CallHead,
    body: bytes | AsyncIterator[bytes],
    caller_service_header: str = "",
) -> bytes:
    """Return the digest of a call's service, route, method, path, caller and body.

    The caller is the service on whose behalf the call is made and the credentials of
    the request. A body that is streamed is not read ahead: only its declared length
    belongs to the digest.

    :param head: head of the call with the header fields for the target.
    :param caller_service_header: name of the field with the caller's service, or empty.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    parts = [
        head.service,
        f"{head.route:08x}",
        head.method,
        head.path_and_query,
        *_header_values(head.headers, caller_service_header),
        *_header_values(head.headers, AUTHORIZATION),
    ]
    streamed = not isinstance(body, bytes)
    if streamed:
        parts += _header_values(head.headers, CONTENT_LENGTH)
    for part in parts:
        encoded = part.encode(errors="surrogateescape")
        digest.update(len(encoded).to_bytes(4) + encoded)
    if not streamed:
        digest.update(body)
    return digest.digest()


def _header_values(headers: Iterable[peer_pb2.Header], name: str) -> list[str]:
    """Return the values of a field, and an empty one as the end of the list."""
    lower = name.lower()
    values = [header.value for header in headers if header.name.lower() == lower]
    return [*values, ""]
