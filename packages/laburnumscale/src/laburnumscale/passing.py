"""Passing on.

Passes the answer of a target on to its caller, whole or visibly aborted.
"""

from collections.abc import AsyncIterator

from sanic import HTTPResponse, Request

from laburnumscale.headernames import HeaderNames
from laburnumscale.headers import as_text, end_to_end
from laburnumscale.outcomes import Answered, Outcome, Unknown
from laburnumscale.replies import failure
from laburnumscale_schema import peer_pb2

__all__ = ["pass_on", "whole_response"]


def whole_response(
    reply: peer_pb2.CallReply, request_id: str, names: HeaderNames
) -> HTTPResponse:
    """Return the response for an answer that came in one message."""
    return HTTPResponse(
        reply.body,
        status=reply.head.status,
        headers=_headers(reply.head, request_id, names),
        content_type=None,
    )


async def pass_on(
    request: Request,
    request_id: str,
    first: peer_pb2.CallReply,
    rest: AsyncIterator[peer_pb2.CallReply],
    names: HeaderNames,
) -> Outcome:
    """Stream an answer to the caller; abort the connection if it is cut short.

    :param first: the message with the head of the answer.
    """
    response = await request.respond(
        status=first.head.status,
        headers=_headers(first.head, request_id, names),
        content_type=None,
    )
    if first.body:
        await response.send(first.body)
    async for reply in rest:
        failed = failure(reply)
        if failed is not None:
            request.transport.abort()
            return failed
        if reply.body:
            await response.send(reply.body)
        if reply.end:
            await response.eof()
            return Answered(first.head.status)
    request.transport.abort()
    return Unknown(peer_pb2.UNKNOWN_REASON_CUT_SHORT)


def _headers(
    head: peer_pb2.ReplyHead, request_id: str, names: HeaderNames
) -> list[tuple[str, str]]:
    kept = end_to_end((header.name, header.value) for header in head.headers)
    own = names.request_id.lower()
    pairs = [(h.name, as_text(h.value)) for h in kept if h.name != own]
    return [*pairs, (names.request_id, request_id)]
