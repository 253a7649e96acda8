"""Kept connections.

Callers that keep their connections open and use them whatever the daemon says.
"""

import asyncio
import random
import threading
import time

import attrs

__all__ = ["KeptConnections", "KeptRequest"]

READ_TIMEOUT_S = 20.0
READ_BYTES = 64 * 1024


@attrs.define
class KeptRequest:
    """One request on a kept connection.

    :ivar status: HTTP status; 0 if the connection ended without a complete answer.
    :ivar elapsed_s: time from the last byte of the request to the answer, or to the
        end of the connection.
    :ivar sent: whether the connection was open when the request was written.
    """

    content_id: str
    sent_at_s: float
    status: int = 0
    elapsed_s: float = 0.0
    sent: bool = True
    has_retry_after: bool = False


@attrs.define
class _Connection:
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


class KeptConnections:
    """Connections that each carry a request at the start and one more later.

    :ivar requests: the later requests that were sent and have ended.
    """

    def __init__(self, host: str, port: int, path: str, count: int, seed: int) -> None:
        self.requests: list[KeptRequest] = []
        self._address = host, port
        self._path = path
        self._count = count
        self._random = random.Random(seed)
        self._loop = asyncio.new_event_loop()
        self._connections: list[_Connection] = []
        self._sending: list = []
        threading.Thread(target=self._loop.run_forever, daemon=True).start()

    def open(self) -> None:
        """Open the connections and send a first request on each."""
        self._submit(self._open_all()).result()

    def spread_requests(
        self, first_after_s: float, last_after_s: float, begin_now: bool = False
    ) -> None:
        """Send a request on each connection, at random times within a period.

        :param begin_now: send the first line of each request now, and only the rest at
            the random time.
        """
        for number, connection in enumerate(self._connections):
            delay_s = self._random.uniform(first_after_s, last_after_s)
            content_id = f"kept-{number}"
            self._sending.append(
                self._submit(
                    self._send_later(connection, delay_s, content_id, begin_now)
                )
            )

    def wait(self) -> list[KeptRequest]:
        """Wait until all requests have ended, and return them."""
        for future in self._sending:
            future.result()
        return self.requests

    def close(self) -> None:
        """End the thread of the connections."""
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _submit(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop)

    async def _open_all(self) -> None:
        for number in range(self._count):
            connection = _Connection(*await asyncio.open_connection(*self._address))
            first = await self._exchange(
                connection, f"first-{number}", self._first_line()
            )
            assert first.status == 200, first
            self._connections.append(connection)

    async def _send_later(
        self,
        connection: _Connection,
        delay_s: float,
        content_id: str,
        begin_now: bool,
    ) -> None:
        if begin_now:
            connection.writer.write(self._first_line())
        await asyncio.sleep(delay_s)
        start = b"" if begin_now else self._first_line()
        self.requests.append(await self._exchange(connection, content_id, start))

    def _first_line(self) -> bytes:
        return f"POST {self._path} HTTP/1.1\r\n".encode()

    async def _exchange(
        self, connection: _Connection, content_id: str, start: bytes
    ) -> KeptRequest:
        request = KeptRequest(content_id, time.monotonic())
        writer = connection.writer
        if connection.reader.at_eof() or writer.is_closing():
            request.sent = False
            return request
        host, port = self._address
        writer.write(
            start
            + f"Host: {host}:{port}\r\nX-Content-Id: {content_id}\r\n"
            "Content-Length: 2\r\n\r\n{}".encode()
        )
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._read_answer(connection.reader, request)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            request.status = 0
        request.elapsed_s = time.monotonic() - request.sent_at_s
        return request

    @staticmethod
    async def _read_answer(reader: asyncio.StreamReader, request: KeptRequest) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        await reader.readexactly(int(fields["content-length"]))
        request.status = int(lines[0].split(" ")[1])
        request.has_retry_after = "retry-after" in fields
