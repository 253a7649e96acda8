"""Recorded exchange.

Takes the place of a caller's connection where an answer has to be kept.
"""

from functools import singledispatch

from multidict import CIMultiDict
from sanic import HTTPResponse

from laburnumscale.failurereplies import not_run_reply, unknown_reply
from laburnumscale.headers import end_to_end
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown
from laburnumscale_schema import peer_pb2

__all__ = ["RecordedExchange"]

ANSWER_LIMIT_BYTES = 1024 * 1024


class RecordedExchange:
    """A request without a connection, whose answer is recorded.

    It has the attributes of a request that the call runner uses, and is its own
    transport and stream.
    """

    def __init__(self, head: peer_pb2.CallHead) -> None:
        self.method = head.method
        self.headers = CIMultiDict((h.name, h.value) for h in head.headers)
        self.transport = self
        self._status = 0
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        self._aborted = False

    async def respond(
        self, status: int, headers: list[tuple[str, str]], content_type: None
    ) -> "RecordedExchange":
        """Begin a streamed answer."""
        self._status = status
        self._headers = headers
        return self

    async def send(self, chunk: bytes) -> None:
        """Take a part of a streamed answer."""
        if len(self._body) + len(chunk) > ANSWER_LIMIT_BYTES:
            self._aborted = True
            return
        self._body += chunk

    async def eof(self) -> None:
        """End a streamed answer."""

    def abort(self) -> None:
        """Note that a streamed answer was cut short."""
        self._aborted = True

    def reply(
        self, outcome: Outcome, response: HTTPResponse | None
    ) -> peer_pb2.CallReply:
        """Return what is kept of the answer.

        :param response: the answer, or None if it was streamed to this object.
        """
        if not isinstance(outcome, Answered):
            return _outcome_reply(outcome)
        if response is not None:
            self._status = response.status
            self._headers = list(response.headers.items())
            self._body = bytearray(response.body or b"")
        if self._aborted:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_ANSWER_NOT_KEPT)
        head = peer_pb2.ReplyHead(
            status=self._status, headers=end_to_end(self._headers)
        )
        return peer_pb2.CallReply(head=head, body=bytes(self._body), end=True)


@singledispatch
def _outcome_reply(outcome: Outcome) -> peer_pb2.CallReply:
    raise TypeError(type(outcome).__name__)


@_outcome_reply.register
def _(outcome: NotRun) -> peer_pb2.CallReply:
    return not_run_reply(outcome.reason, outcome.retry_after_ms)


@_outcome_reply.register
def _(outcome: Unknown) -> peer_pb2.CallReply:
    return unknown_reply(outcome.reason)
