"""Memory costs.

States what the process holds for one transfer or connection at most, with all buffers
of the libraries.
"""

__all__ = [
    "BODY_COPIES",
    "CONNECTION_BYTES",
    "ENTRY_RESPONSE_BYTES",
    "ENTRY_UPLOAD_BYTES",
    "FREE_BYTES",
    "GUARD_RESPONSE_BYTES",
    "GUARD_UPLOAD_BYTES",
    "MEMORY_RETRY_AFTER_MS",
    "OBJECT_BYTES",
    "WAITING_RESPONSE_BYTES",
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
#: Python objects around a part of a body or a message: the bytes object, its place in a
#: container and the message that holds it.
OBJECT_BYTES = 256
#: A body in one message exists as the received bytes, in the message, and serialized.
BODY_COPIES = 3
#: Sanic stops reading at 64 KiB, and uvloop reads up to 250 KiB at once. Such a buffer
#: may be full while its former content is being sent in parts of 64 KiB.
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
