"""Target responses.

Converts the HTTP response of a target into the reply messages sent to the entry.
"""

from collections.abc import AsyncIterator, Awaitable, Callable

import aiohttp

from laburnumscale.errors import AnswerTooLarge
from laburnumscale.localtarget import LocalTarget
from laburnumscale.memory import BODY_COPIES, FREE_BYTES
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.transmission import check_framing, has_body
from laburnumscale_schema import peer_pb2

__all__ = ["MAX_SINGLE_MESSAGE_BODY_BYTES", "iter_replies"]

#: A body of known length up to this size is sent in one message with its head.
MAX_SINGLE_MESSAGE_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


async def iter_replies(
    target: LocalTarget,
    settings: EffectiveSettings,
    head: peer_pb2.CallHead,
    response: aiohttp.ClientResponse,
    limit_bytes: int,
    wait_for_room: Callable[..., Awaitable[None]] | None = None,
) -> AsyncIterator[peer_pb2.CallReply]:
    """Yield the reply messages for a response.

    The last message carries the load of the target.

    :param head: head of the call.
    :param limit_bytes: maximum size of the body.
    :param wait_for_room: waits until there is room for a body that is not small, of
        several messages unless it gets what the body takes.
    :raises AnswerTooLarge: the body is larger, or has no end.
    :raises AnswerUnframed: the response has neither a length nor chunks, and the
        settings do not accept the end of the connection as the end of the response.
    """
    if not settings.close_ends_answer:
        check_framing(head.method, response)
    reply_head = _reply_head(response)
    length = response.content_length
    # Without a body, the length is that of the body which GET would give.
    is_held = length is not None and has_body(head.method, response)
    if is_held and length > limit_bytes:
        raise AnswerTooLarge(str(response.url), limit_bytes)
    if length is not None and length <= MAX_SINGLE_MESSAGE_BODY_BYTES:
        if wait_for_room is not None and is_held and length > FREE_BYTES:
            await wait_for_room(BODY_COPIES * length)
        payload = await response.read()
        yield peer_pb2.CallReply(
            head=reply_head, body=payload, end=True, load=target.load(head.route)
        )
        return
    # The head is sent with the first chunk: until then, a failure can be retried.
    first = await response.content.read(FREE_BYTES)
    if response.content.at_eof() and len(first) <= limit_bytes:
        yield peer_pb2.CallReply(
            head=reply_head, body=first, end=True, load=target.load(head.route)
        )
        return
    if wait_for_room is not None:
        await wait_for_room()
    received_bytes = 0
    async for chunk in _iter_chunks(first, response.content):
        received_bytes += len(chunk)
        if received_bytes > limit_bytes:
            raise AnswerTooLarge(str(response.url), limit_bytes)
        yield peer_pb2.CallReply(head=reply_head, body=chunk)
        reply_head = None
    yield peer_pb2.CallReply(head=reply_head, end=True, load=target.load(head.route))


async def _iter_chunks(
    first: bytes, content: aiohttp.StreamReader
) -> AsyncIterator[bytes]:
    yield first
    async for chunk in content.iter_chunked(CHUNK_BYTES):
        yield chunk


def _reply_head(response: aiohttp.ClientResponse) -> peer_pb2.ReplyHead:
    return peer_pb2.ReplyHead(
        status=response.status,
        headers=[
            peer_pb2.Header(name=name.decode("latin-1"), value=value.decode("latin-1"))
            for name, value in response.raw_headers
        ],
    )
