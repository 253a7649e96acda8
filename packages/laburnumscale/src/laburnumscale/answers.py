"""Answers.

Turns the answer of a target into the replies that go to the entry.
"""

from collections.abc import AsyncIterator

import aiohttp

from laburnumscale.localtarget import LocalTarget
from laburnumscale.sending import check_framed
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["SMALL_BODY_BYTES", "answer_replies"]

#: A body up to this size goes in one message with its head.
SMALL_BODY_BYTES = 64 * 1024
CHUNK_BYTES = 64 * 1024


async def answer_replies(
    target: LocalTarget,
    settings: EffectiveSettings,
    method: str,
    response: aiohttp.ClientResponse,
) -> AsyncIterator[peer_pb2.CallReply]:
    """Yield the replies for an answer, the last one with the load of the target.

    :param method: of the request that is answered.
    :raises AnswerUnframed: the end of the answer cannot be told.
    """
    if not settings.close_ends_answer:
        check_framed(method, response)
    reply_head = _reply_head(response)
    length = response.content_length
    if length is not None and length <= SMALL_BODY_BYTES:
        whole = await response.read()
        yield peer_pb2.CallReply(
            head=reply_head, body=whole, end=True, load=target.load()
        )
        return
    # The head goes with the first bytes: until then, a failure can be retried.
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        yield peer_pb2.CallReply(head=reply_head, body=chunk)
        reply_head = None
    yield peer_pb2.CallReply(head=reply_head, end=True, load=target.load())


def _reply_head(response: aiohttp.ClientResponse) -> peer_pb2.ReplyHead:
    return peer_pb2.ReplyHead(
        status=response.status,
        headers=[
            peer_pb2.Header(name=name.decode("latin-1"), value=value.decode("latin-1"))
            for name, value in response.raw_headers
        ],
    )
