"""Memory costs.

States what the process holds for one transfer or connection at most, with all buffers
of the libraries.
"""

__all__ = [
    "BODY_COPIES",
    "CONNECTION_BYTES",
    "ENTRY_CALL_BYTES",
    "ENTRY_RESPONSE_BYTES",
    "ENTRY_UPLOAD_BYTES",
    "FREE_BYTES",
    "GUARD_CALL_BYTES",
    "GUARD_RESPONSE_BYTES",
    "GUARD_UPLOAD_BYTES",
    "MEMORY_RETRY_AFTER_MS",
    "OBJECT_BYTES",
    "WAITING_RESPONSE_BYTES",
    "entry_head_bytes",
    "expected_answer_bytes",
    "guard_head_bytes",
]

KIB = 1024
#: Uploads take seconds, so that a caller that returns after this time may find room.
MEMORY_RETRY_AFTER_MS = 1000
#: Bodies and buffers up to this size are covered by the share of their connection, so
#: that ordinary requests reserve nothing.
FREE_BYTES = 8 * KIB
#: The objects of an open connection (protocol, task and parser, about 12 KiB) and the
#: copies of a small body.
CONNECTION_BYTES = 24 * KIB
#: Tasks, frames and gRPC objects of a call in progress, beyond the share of its
#: connection.
ENTRY_CALL_BYTES = 28 * KIB
#: The same for an attempt at its guard.
GUARD_CALL_BYTES = 28 * KIB
#: Up to this size, what is kept of a header section is covered by the share of its
#: connection: about 20 fields in 1 KiB.
FREE_HEAD_BYTES = 12 * KIB
#: A header section exists as received, decoded, in a message, and serialized.
HEAD_COPIES = 4
#: Objects for one header field at the entry: its name, its value, their pair and their
#: place in a multidict, and the field of the message to the guard.
ENTRY_FIELD_BYTES = 420
#: The same at the guard: the field of the message, and those of the request to the
#: target.
GUARD_FIELD_BYTES = 420
#: Python objects around a part of a body or a message: the bytes object, its place in a
#: container and the message that holds it.
OBJECT_BYTES = 256
#: A body in one message exists as the received bytes, in the message, and serialized.
#: That holds for the body of a request and for that of a response.
BODY_COPIES = 3
#: Sanic stops reading at 64 KiB, and 64 KiB are read at once, into a buffer that may
#: take twice as much. It may be full while its former content is sent in parts.
ENTRY_UPLOAD_BYTES = 768 * KIB
#: The flow control window of the stream (256 KiB), a message and its body, and the
#: write buffer of the connection to the target.
GUARD_UPLOAD_BYTES = 512 * KIB
#: The flow control window of the stream, the queued replies, and the write buffer of
#: the connection to the caller.
ENTRY_RESPONSE_BYTES = 640 * KIB
#: A response whose messages are not read yet: the window and the first messages.
WAITING_RESPONSE_BYTES = 384 * KIB
#: The read buffer of the connection to the target, and the replies that are kept for
#: streams that attach later or fall behind.
GUARD_RESPONSE_BYTES = 896 * KIB


def entry_head_bytes(size_bytes: int, field_count: int) -> int:
    """Return what an entry keeps of a header section while its call is in progress.

    :param size_bytes: size of the header section.
    :param field_count: number of its fields.
    :returns: 0 if the share of the connection covers it.
    """
    return _head_bytes(size_bytes, field_count, ENTRY_FIELD_BYTES)


def guard_head_bytes(size_bytes: int, field_count: int) -> int:
    """Return what a guard keeps of a header section, as :func:`entry_head_bytes`."""
    return _head_bytes(size_bytes, field_count, GUARD_FIELD_BYTES)


def _head_bytes(size_bytes: int, field_count: int, field_bytes: int) -> int:
    kept_bytes = HEAD_COPIES * size_bytes + field_count * field_bytes
    return kept_bytes if kept_bytes > FREE_HEAD_BYTES else 0


def expected_answer_bytes(average_bytes: float) -> int:
    """Return what an entry keeps of an answer of average size until it is forwarded.

    :returns: 0 if the share of the connection covers it.
    """
    if average_bytes <= FREE_BYTES:
        return 0
    return min(BODY_COPIES * int(average_bytes), WAITING_RESPONSE_BYTES)
