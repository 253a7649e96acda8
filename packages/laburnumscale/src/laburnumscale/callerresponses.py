"""Caller responses.

Forwards the response of a target to the caller. A response that is cut short ends with
an aborted connection, so that the caller can detect it.
"""

from collections.abc import AsyncIterator

from sanic import HTTPResponse, Request

from laburnumscale.failurereplies import failure_outcome
from laburnumscale.headernames import HeaderNames
from laburnumscale.headers import decode_field_value, end_to_end_headers
from laburnumscale.outcomes import Answered, Outcome, Unknown
from laburnumscale_schema import peer_pb2

__all__ = ["buffered_response", "stream_response"]


def buffered_response(
    reply: peer_pb2.CallReply, request_id: str, names: HeaderNames
) -> HTTPResponse:
    """Return the response for an answer received in one message."""
    return HTTPResponse(
        reply.body,
        status=reply.head.status,
        headers=_headers(reply.head, request_id, names),
        content_type=None,
    )


async def stream_response(
    request: Request,
    request_id: str,
    first: peer_pb2.CallReply,
    rest: AsyncIterator[peer_pb2.CallReply],
    names: HeaderNames,
) -> Outcome:
    """Stream a response to the caller; abort the connection if it is cut short.

    :param first: the reply message with the status and header fields.
    :param rest: the reply messages that follow.
    :param names: the names of the header fields used with callers.
    :returns: the outcome of the call.
    """
    response = await request.respond(
        status=first.head.status,
        headers=_headers(first.head, request_id, names),
        content_type=None,
    )
    if first.body:
        await response.send(first.body)
    async for reply in rest:
        failure = failure_outcome(reply)
        if failure is not None:
            request.transport.abort()
            return failure
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
    forwarded = end_to_end_headers(
        (header.name, header.value) for header in head.headers
    )
    own = names.request_id.lower()
    pairs = [(h.name, decode_field_value(h.value)) for h in forwarded if h.name != own]
    return [*pairs, (names.request_id, request_id)]
