"""Transmission.

Sends the request of an attempt to a target at most once and before its deadline.
"""

import asyncio
from collections import deque
from contextlib import AbstractAsyncContextManager
from contextvars import ContextVar
from functools import partial

import aiohttp
import attrs
from aiohttp import StreamReader
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.http import HttpProcessingError, RawResponseMessage
from yarl import URL

from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AnswerUnframed, ConnectionUnsuitable
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale_schema import peer_pb2

__all__ = [
    "SendOnceRequest",
    "TargetConnector",
    "Transmission",
    "check_framing",
    "has_body",
    "send_once",
]

SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
BODILESS_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200
#: Bytes up to the end of the head of a response, with all interim responses.
MAX_HEAD_BYTES = 64 * 1024
#: Rejected bytes that the error of a response quotes.
MAX_ERROR_CHARACTERS = 200
#: Requests whose extra responses are recognized on a connection.
MAX_EARLIER_REQUESTS = 32
#: Extra responses that are skipped before one response, and their total size.
MAX_EXTRA_RESPONSES = 4
MAX_EXTRA_BYTES = 1024 * 1024
#: Connections that are tried if a request must not be sent on those that are kept.
MAX_TRIED_CONNECTIONS = 4


@attrs.define
class Transmission:
    """The sending of one attempt's request to a target.

    :ivar attempt: the attempt whose state is checked before the request is written.
    :ivar send_deadline: time until which the request may be written.
    :ivar deadline: time until which the complete response must arrive.
    :ivar path_and_query: request target; if empty, that of the URL.
    :ivar request_id: ID that the response repeats; empty if targets repeat none.
    :ivar id_header: header field in which they repeat it.
    :ivar reused: whether the connection carried earlier requests.
    :ivar skipped: number of extra responses that were skipped.
    """

    attempt: Attempt
    send_deadline: Deadline
    deadline: Deadline
    path_and_query: str = ""
    request_id: str = ""
    id_header: str = ""
    reused: bool = False
    skipped: int = 0


_current_transmission: ContextVar[Transmission | None] = ContextVar(
    "transmission", default=None
)


class SendOnceRequest(aiohttp.ClientRequest):
    """A request that checks its attempt once a connection is available.

    Nothing is awaited between the check and the write. The check rejects a request
    whose deadline passed while the process was suspended during connection setup. It
    also stops aiohttp from resending a request on a new connection after a kept-alive
    connection turns out to be closed.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request to a connection.

        :raises AttemptRefused: the attempt was fenced, or its deadline has passed.
        :raises AttemptSentTwice: the attempt was already sent.
        :raises ConnectionUnsuitable: the request must be sent on another connection.
        """
        transmission = _current_transmission.get()
        if transmission is not None:
            conn.protocol.begin(transmission)
            transmission.attempt.mark_sent(transmission.send_deadline)
            self.url = _ExactUrl(self.url, transmission.path_and_query)
        return await super().send(conn)


class _ExactUrl:
    """A URL with a request target that is sent byte for byte.

    yarl drops an empty query.
    """

    def __init__(self, url: URL, path_and_query: str) -> None:
        self._url = url
        self.raw_path_qs = path_and_query or url.raw_path_qs

    def __getattr__(self, name: str):
        return getattr(self._url, name)


class TargetConnection(ResponseHandler):
    """A connection to a target, which may send more than the responses it owes.

    It reports a reset as an error: for a response without a length, aiohttp treats
    both a reset and an orderly close as the end of the body. It skips extra responses
    to earlier requests, which are recognized by their ID, and is not used again then.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_bytes = 0
        self._has_head = False
        self._transmission: Transmission | None = None
        self._is_used = False
        self._is_skipping = False
        self._id_header = ""
        self._earlier_ids: deque[str] = deque(maxlen=MAX_EARLIER_REQUESTS)

    def begin(self, transmission: Transmission) -> None:
        """Prepare for the request of a transmission.

        :raises ConnectionUnsuitable: the connection carried the request before, so an
            extra response to it could not be told from that to the new attempt.
        """
        if transmission.request_id and transmission.request_id in self._earlier_ids:
            raise ConnectionUnsuitable(transmission.request_id)
        transmission.reused = self._is_used
        self._is_used = True
        self._id_header = transmission.id_header
        self._transmission = transmission

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        """Return the next response, after the extra ones to earlier requests."""
        left_bytes = MAX_EXTRA_BYTES
        for _ in range(MAX_EXTRA_RESPONSES):
            message, payload = await super().read()
            if not self._is_extra(message):
                return message, payload
            self.force_close()
            self._is_skipping = True  # the next response is due
            while not payload.at_eof():
                left_bytes -= len(await payload.readany())
                if left_bytes < 0:
                    return message, payload
            self._is_skipping = False
            if self._transmission is not None:
                self._transmission.skipped += 1
            self._head_bytes = 0
            self._has_head = False
        return await super().read()

    def _is_extra(self, message: RawResponseMessage) -> bool:
        """Return whether a response repeats the ID of an earlier request."""
        return (
            message.code >= FIRST_FINAL_STATUS
            and message.headers.get(self._id_header) in self._earlier_ids
        )

    def set_response_params(self, **params) -> None:
        """Prepare for the response of the next request."""
        self._head_bytes = 0
        self._has_head = False
        if self._transmission is not None and self._transmission.request_id:
            self._earlier_ids.append(self._transmission.request_id)
        self._transmission = None
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; fail a response whose head does not end.

        The parser limits single lines and fields, but not the number of interim
        responses before the head. Bytes while no response is due belong to no request,
        so the connection ends.
        """
        if data and self._is_idle():  # aiohttp passes no data to resume the parser
            self.transport.abort()
            return
        super().data_received(data)
        if self._has_head:
            return
        self._head_bytes += len(data)
        self._has_head = any(
            message.code >= FIRST_FINAL_STATUS for (message, _), _ in self._buffer
        )
        if not self._has_head and self._head_bytes > MAX_HEAD_BYTES:
            reason = f"no response within {MAX_HEAD_BYTES} bytes"
            self.set_exception(aiohttp.ServerDisconnectedError(reason))
            self.transport.abort()

    def set_exception(self, exc: BaseException, *causes: BaseException) -> None:
        """Fail the response, without the bytes that the parser has rejected.

        Its errors quote them, and they are freed only by the garbage collection. Many
        responses that are no HTTP would fill the memory until then.
        """
        if isinstance(exc, HttpProcessingError):
            message = exc.message[:MAX_ERROR_CHARACTERS]
            exc = HttpProcessingError(code=exc.code, message=message)
            causes = ()
        super().set_exception(exc, *causes)

    def _is_idle(self) -> bool:
        """Return whether the response to the last request is complete."""
        return (
            self._has_head
            and not self._is_skipping
            and not self._buffer
            and self._payload is not None
            and self._payload.is_eof()
        )

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete response if the connection was reset."""
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            error = aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}")
            self._payload.set_exception(error)
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Opens connections of type ``TargetConnection``."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = partial(TargetConnection, loop=asyncio.get_running_loop())


def send_once(
    session: aiohttp.ClientSession,
    transmission: Transmission,
    method: str,
    url: URL,
    **options,
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Return a context manager that sends a request and gives the response.

    :param session: a session created with ``request_class=SendOnceRequest``.
    :param transmission: the attempt and its deadlines.
    :param options: further arguments of ``ClientSession.request``.
    """
    return _Exchange(session, transmission, method, url, options)


class _Exchange(AbstractAsyncContextManager):
    def __init__(self, session, transmission, method, url, options) -> None:
        self._session = session
        self._transmission = transmission
        self._method = method
        self._url = url
        self._options = options
        self._response: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        token = _current_transmission.set(self._transmission)
        try:
            self._response = await self._request()
        finally:
            _current_transmission.reset(token)
        return self._response

    async def _request(self) -> aiohttp.ClientResponse:
        """Send the request on a connection that is suitable for it.

        :raises AttemptRefused: there was none.
        """
        tried = 1
        while True:
            try:
                return await self._session.request(
                    self._method,
                    self._url,
                    allow_redirects=False,
                    skip_auto_headers=SKIPPED_AUTO_HEADERS,
                    **self._options,
                )
            except ConnectionUnsuitable:
                if tried >= MAX_TRIED_CONNECTIONS:
                    reason = peer_pb2.NOT_RUN_REASON_NOT_CONNECTED
                    raise AttemptRefused(reason) from None
                tried += 1

    async def __aexit__(self, kind, error, traceback) -> None:
        # A connection is reused only if its response was read to the end.
        if kind is None and self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


def has_body(method: str, response: aiohttp.ClientResponse) -> bool:
    """Return whether a response to a request with this method has a body."""
    return method != "HEAD" and response.status not in BODILESS_STATUSES


def check_framing(method: str, response: aiohttp.ClientResponse) -> None:
    """Check that a response has a length or is chunked.

    Otherwise the end of the response looks the same as a lost connection.

    :param method: method of the request.
    :raises AnswerUnframed: the response ends when the target closes the connection.
    """
    if not has_body(method, response):
        return
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if response.content_length is None and not chunked:
        raise AnswerUnframed(str(response.url))
