"""Transmission.

Sends the request of an attempt to a target at most once and before its deadline.
"""

import asyncio
from contextlib import AbstractAsyncContextManager
from contextvars import ContextVar
from functools import partial

import aiohttp
import attrs
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from yarl import URL

from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AnswerUnframed

__all__ = [
    "SendOnceRequest",
    "TargetConnector",
    "Transmission",
    "check_framing",
    "send_once",
]

SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
BODILESS_STATUSES = (204, 304)
FIRST_FINAL_STATUS = 200
#: Bytes up to the end of the head of a response, with all interim responses.
MAX_HEAD_BYTES = 64 * 1024
REUSED_ATTRIBUTE = "laburnumscale_reused"


@attrs.define
class Transmission:
    """The sending of one attempt's request to a target.

    :ivar attempt: the attempt whose state is checked before the request is written.
    :ivar send_deadline: time until which the request may be written.
    :ivar deadline: time until which the complete response must arrive.
    :ivar reused: whether the connection carried earlier requests.
    """

    attempt: Attempt
    send_deadline: Deadline
    deadline: Deadline
    reused: bool = False


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
        """
        transmission = _current_transmission.get()
        if transmission is not None:
            transmission.reused = _is_reused(conn)
            transmission.attempt.mark_sent(transmission.send_deadline)
        return await super().send(conn)


def _is_reused(conn: Connection) -> bool:
    """Return whether a connection was used before, and mark it as used."""
    reused = getattr(conn.protocol, REUSED_ATTRIBUTE, False)
    setattr(conn.protocol, REUSED_ATTRIBUTE, True)
    return reused


class TargetConnection(ResponseHandler):
    """A connection to a target that reports a reset as an error.

    For a response without a length, aiohttp treats both a reset and an orderly close
    as the end of the body.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._head_bytes = 0
        self._has_head = False

    def set_response_params(self, **params) -> None:
        """Prepare for the response of the next request."""
        self._head_bytes = 0
        self._has_head = False
        super().set_response_params(**params)

    def data_received(self, data: bytes) -> None:
        """Process received bytes; fail a response whose head does not end.

        The parser limits single lines and fields, but not the number of interim
        responses before the head.
        """
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
            self._response = await self._session.request(
                self._method,
                self._url,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
                **self._options,
            )
        finally:
            _current_transmission.reset(token)
        return self._response

    async def __aexit__(self, kind, error, traceback) -> None:
        # A connection is reused only if its response was read to the end.
        if kind is None and self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


def check_framing(method: str, response: aiohttp.ClientResponse) -> None:
    """Check that a response has a length or is chunked.

    Otherwise the end of the response looks the same as a lost connection.

    :param method: method of the request.
    :raises AnswerUnframed: the response ends when the target closes the connection.
    """
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if response.content_length is None and not chunked:
        raise AnswerUnframed(str(response.url))
