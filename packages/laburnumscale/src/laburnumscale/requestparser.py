"""Request parser.

Reads the requests of a connection one after the other.
"""

import re

from sanic.exceptions import BadRequest
from sanic.http import Http, Stage
from sanic.http.http1 import HTTP_CONTINUE

__all__ = ["RequestParser"]

MAX_CHUNK_HEAD_BYTES = 64
MAX_TRAILER_BYTES = 16 * 1024
LAST_CHUNK_SIZE = re.compile(rb"0+(?:;[^\r\n]*)?")
#: Fields according to RFC 9112, each after the end of the preceding line.
TRAILER_SECTION = re.compile(
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)*"
)


class RequestParser(Http):
    """A parser that also accepts trailer sections, and reads no request too early."""

    __slots__ = ()

    async def http1_request_header(self) -> None:
        """Read the next header section once the preceding response has been sent.

        A caller that sends requests ahead and reads no response would otherwise get
        its calls run, and their answers kept.
        """
        if not self.protocol.has_sent_responses():
            self.stage = Stage.IDLE  # the connection waits for its caller
            await self.protocol.wait_until_sent()
            self.stage = Stage.REQUEST
        await super().http1_request_header()
        self.upgrade_websocket = False  # Sanic would drop the timeouts

    async def read(self) -> bytes | None:
        """Return the next bytes of a body, or None at its end.

        :raises BadRequest: the body is malformed.
        """
        if self.request_body == "chunked" and not self.request_bytes_left:
            if self.expecting_continue:
                self.expecting_continue = False
                await self._send(HTTP_CONTINUE)
            size_line_end = await self._receive_last_chunk()
            if size_line_end:
                await self._discard_trailer_section(size_line_end)
                return None
        return await super().read()

    async def _receive_last_chunk(self) -> int:
        """Receive the size line of a chunk and return its end if it is the last one.

        :returns: 0 for another chunk, and for one that is malformed.
        """
        while (end := self.recv_buffer.find(b"\r\n", 3)) == -1:
            if len(self.recv_buffer) > MAX_CHUNK_HEAD_BYTES:
                return 0
            await self._receive_more()
        is_last = LAST_CHUNK_SIZE.fullmatch(self.recv_buffer, 2, end)
        return end if is_last else 0

    async def _discard_trailer_section(self, size_line_end: int) -> None:
        """Read the end of a body; targets get no trailer fields (RFC 9110, 6.5.1).

        :raises BadRequest: the trailer section is malformed or too long.
        """
        del self.recv_buffer[:size_line_end]
        while (end := self.recv_buffer.find(b"\r\n\r\n")) == -1:
            if len(self.recv_buffer) > MAX_TRAILER_BYTES:
                break
            await self._receive_more()
        self.request_body = None
        is_complete = 0 <= end <= MAX_TRAILER_BYTES
        if not (is_complete and TRAILER_SECTION.fullmatch(self.recv_buffer, 0, end)):
            self.keep_alive = False
            raise BadRequest("Bad trailer section")
        del self.recv_buffer[: end + 4]
