"""Sending.

Sends the request of an attempt to a target, once and before its deadline.
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

from laburnumscale.attempts import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AnswerUnframed

__all__ = [
    "SendOnceRequest",
    "Sending",
    "TargetConnector",
    "check_framed",
    "send_once",
]

SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")
BODILESS_STATUSES = (204, 304)
REUSED_MARK = "laburnumscale_reused"


@attrs.define
class Sending:
    """What is checked at the moment at which a request is written.

    :ivar send_deadline: until when the request may be written.
    :ivar deadline: until when the answer must be there.
    :ivar reused: the connection had carried other attempts before.
    """

    attempt: Attempt
    send_deadline: Deadline
    deadline: Deadline
    reused: bool = False


_current: ContextVar[Sending | None] = ContextVar("sending", default=None)


class SendOnceRequest(aiohttp.ClientRequest):
    """A request that checks its attempt when its connection is there.

    Between the check and the write nothing is awaited. A process that was suspended
    while it connected finds its deadline over here; and the library's own resending
    over a new connection, when a kept-alive one turns out to be closed, fails here.
    """

    async def send(self, conn: Connection) -> aiohttp.ClientResponse:
        """Write the request to a connection.

        :raises AttemptRefused: the attempt was fenced, or its deadline has passed.
        :raises AttemptSentTwice: the attempt was sent before.
        """
        sending = _current.get()
        if sending is not None:
            sending.reused = _is_reused(conn)
            sending.attempt.mark_sent(sending.send_deadline)
        return await super().send(conn)


def _is_reused(conn: Connection) -> bool:
    """Tell whether a connection was sent on before, and mark it as sent on."""
    reused = getattr(conn.protocol, REUSED_MARK, False)
    setattr(conn.protocol, REUSED_MARK, True)
    return reused


class TargetConnection(ResponseHandler):
    """A connection to a target on which a reset never looks like the end of an answer.

    The library takes both for the end of an answer that has no length.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail the answer that is not complete, if the connection was reset."""
        if exc is not None and self._payload is not None and not self._payload.is_eof():
            error = aiohttp.ClientPayloadError(f"the connection was reset: {exc!r}")
            self._payload.set_exception(error)
        super().connection_lost(exc)


class TargetConnector(aiohttp.TCPConnector):
    """Opens connections to targets."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._factory = partial(TargetConnection, loop=asyncio.get_running_loop())


def send_once(
    session: aiohttp.ClientSession, sending: Sending, method: str, url: URL, **options
) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
    """Return the exchange of one attempt with a target.

    :param session: made with ``request_class=SendOnceRequest``.
    :param options: further ones of ``ClientSession.request``.
    """
    return _Exchange(session, sending, method, url, options)


class _Exchange(AbstractAsyncContextManager):
    def __init__(self, session, sending, method, url, options) -> None:
        self._session = session
        self._sending = sending
        self._method = method
        self._url = url
        self._options = options
        self._response: aiohttp.ClientResponse | None = None

    async def __aenter__(self) -> aiohttp.ClientResponse:
        token = _current.set(self._sending)
        try:
            self._response = await self._session.request(
                self._method,
                self._url,
                allow_redirects=False,
                skip_auto_headers=SKIPPED_AUTO_HEADERS,
                **self._options,
            )
        finally:
            _current.reset(token)
        return self._response

    async def __aexit__(self, kind, error, traceback) -> None:
        # Only a connection whose answer was read to its end serves another call.
        if kind is None and self._response.content.at_eof():
            self._response.release()
        else:
            self._response.close()


def check_framed(method: str, response: aiohttp.ClientResponse) -> None:
    """Check that the end of an answer can be told from a lost connection.

    :raises AnswerUnframed: it lasts until the target closes the connection.
    """
    if method == "HEAD" or response.status in BODILESS_STATUSES:
        return
    chunked = "chunked" in response.headers.get("Transfer-Encoding", "").lower()
    if response.content_length is None and not chunked:
        raise AnswerUnframed(str(response.url))
