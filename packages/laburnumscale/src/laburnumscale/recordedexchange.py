"""Recorded exchange.

Stands in for the HTTP request of a keyed call and buffers its response.
"""

from functools import singledispatch

from multidict import CIMultiDict
from sanic import HTTPResponse

from laburnumscale.failurereplies import not_run_reply, unknown_reply
from laburnumscale.headers import end_to_end_headers
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown
from laburnumscale_schema import peer_pb2

__all__ = ["RecordedExchange"]

MAX_BODY_BYTES = 1024 * 1024


class RecordedExchange:
    """A request without a connection, whose response is kept in memory.

    It has the attributes of a Sanic request that the call runner uses, and also acts
    as the transport of the request and as the stream of the response.

    :param head: the request line and header fields of the call.
    """

    def __init__(self, head: peer_pb2.CallHead) -> None:
        self.method = head.method
        self.headers = CIMultiDict((h.name, h.value) for h in head.headers)
        self.transport = self
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._incomplete = False

    async def respond(
        self, status: int, headers: list[tuple[str, str]], content_type: None
    ) -> "RecordedExchange":
        """Start a streamed response; the returned object is its stream."""
        self._status = status
        self._headers = headers
        return self

    async def send(self, chunk: bytes) -> None:
        """Append a chunk to the body of a streamed response.

        A response that exceeds ``MAX_BODY_BYTES`` counts as incomplete, and nothing of
        it is kept while its target goes on sending.
        """
        if len(self._body) + len(chunk) > MAX_BODY_BYTES:
            self._incomplete = True
            self._body.clear()
        if not self._incomplete:
            self._body += chunk

    async def eof(self) -> None:
        """Do nothing; a buffered response needs no end marker."""

    def abort(self) -> None:
        """Mark a streamed response as incomplete."""
        self._incomplete = True

    def to_reply(
        self, outcome: Outcome, response: HTTPResponse | None
    ) -> peer_pb2.CallReply:
        """Return the reply that is stored for the operation.

        :param outcome: outcome of the call.
        :param response: the response, or None if it was streamed to this object.
        :returns: the response, or the failure; unknown if the response is incomplete.
        """
        if not isinstance(outcome, Answered):
            return _failure_reply(outcome)
        if response is not None:
            self._status = response.status
            self._headers = list(response.headers.items())
            self._body = bytearray(response.body or b"")
        if self._incomplete:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_ANSWER_NOT_KEPT)
        head = peer_pb2.ReplyHead(
            status=self._status, headers=end_to_end_headers(self._headers)
        )
        return peer_pb2.CallReply(head=head, body=bytes(self._body), end=True)


@singledispatch
def _failure_reply(outcome: Outcome) -> peer_pb2.CallReply:
    raise TypeError(type(outcome).__name__)


@_failure_reply.register
def _(outcome: NotRun) -> peer_pb2.CallReply:
    return not_run_reply(outcome.reason, outcome.retry_after_ms)


@_failure_reply.register
def _(outcome: Unknown) -> peer_pb2.CallReply:
    return unknown_reply(outcome.reason)
