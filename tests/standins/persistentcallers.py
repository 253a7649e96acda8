"""Persistent callers.

Callers that keep their connections open, go on using them whatever the daemon says and
connect again only when they end.
"""

import asyncio
import json
import random
import threading
import time

import attrs

__all__ = ["CallerRequest", "PersistentCallers"]

READ_TIMEOUT_S = 30.0
RECONNECT_INTERVAL_S = 0.02
KEYS_PATH = "/_laburnumscale/v1/operation-keys"
STATUS_OK = 200


@attrs.define
class CallerRequest:
    """One request and what its caller saw.

    :ivar key: operation key; empty for none.
    :ivar daemon: name of the daemon that the request was sent to.
    :ivar status: HTTP status; 0 if the connection ended without a complete answer.
    :ivar outcome: outcome of a problem document; empty for any other answer.
    :ivar elapsed_s: time from the last byte of the request to the answer, or to the
        end of the connection.
    """

    content_id: str
    key: str
    daemon: str
    sent_at_s: float = 0.0
    status: int = 0
    outcome: str = ""
    body: bytes = b""
    elapsed_s: float = 0.0
    has_retry_after: bool = False

    @property
    def is_answered(self) -> bool:
        """Return whether the caller received the answer of a target."""
        return self.status == STATUS_OK


@attrs.define(eq=False)
class _Connection:
    """The kept connection of one caller to one daemon."""

    daemon: str
    port: int
    reader: asyncio.StreamReader | None = None
    writer: asyncio.StreamWriter | None = None

    async def open(self) -> None:
        """Connect, and try again until the daemon listens."""
        while True:
            try:
                streams = await asyncio.open_connection("127.0.0.1", self.port)
            except OSError:
                await asyncio.sleep(RECONNECT_INTERVAL_S)
                continue
            self.reader, self.writer = streams
            return

    def is_open(self) -> bool:
        """Return whether the connection is not known to have ended."""
        if self.writer is None:
            return False
        return not (self.reader.at_eof() or self.writer.is_closing())

    async def exchange(self, request: CallerRequest, method: str, path: str) -> None:
        """Send a request and record what comes back."""
        if not self.is_open():
            await self.open()
        key = f"Idempotency-Key: {request.key}\r\n" if request.key else ""
        request.sent_at_s = time.monotonic()
        self.writer.write(
            f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{self.port}\r\n{key}"
            f"X-Content-Id: {request.content_id}\r\nContent-Length: 2\r\n\r\n{{}}"
            "".encode()
        )
        try:
            async with asyncio.timeout(READ_TIMEOUT_S):
                await self._read_answer(request)
        except (OSError, EOFError, ValueError):
            request.status = 0
            self.writer.close()
            self.writer = None
        request.elapsed_s = time.monotonic() - request.sent_at_s

    async def _read_answer(self, request: CallerRequest) -> None:
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode().lower()
        lines = head.split("\r\n")
        fields = dict(line.split(": ", 1) for line in lines[1:] if ": " in line)
        request.body = await self.reader.readexactly(int(fields["content-length"]))
        request.status = int(lines[0].split(" ")[1])
        request.has_retry_after = "retry-after" in fields
        if "problem" in fields.get("content-type", ""):
            request.outcome = json.loads(request.body)["outcome"]


class PersistentCallers:
    """Callers that send holds one after the other, each to one daemon.

    :param ports: port for callers of each daemon, by name.
    :param services: services that the callers call in turn.
    :param keyed_count: number of further callers that use operation keys. They send
        each request, to any daemon, until it is not refused, and then once more.
    :ivar requests: all requests that have ended.
    """

    def __init__(
        self,
        ports: dict[str, int],
        services: list[str],
        count_per_daemon: int,
        keyed_count: int,
        max_pause_s: float,
        seed: int,
    ) -> None:
        self.requests: list[CallerRequest] = []
        self._ports = ports
        self._services = services
        self._count = count_per_daemon
        self._keyed_count = keyed_count
        self._max_pause_s = max_pause_s
        self._seed = seed
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run()), daemon=True
        )

    def start(self) -> None:
        """Start sending requests."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending requests and wait for those in progress."""
        self._stop.set()
        self._thread.join()

    async def _run(self) -> None:
        tasks = [
            self._send_holds(daemon, number)
            for daemon in self._ports
            for number in range(self._count)
        ]
        tasks += [self._send_keyed_holds(number) for number in range(self._keyed_count)]
        await asyncio.gather(*tasks)

    async def _pause(self, choices: random.Random) -> None:
        await asyncio.sleep(choices.uniform(0, self._max_pause_s))

    async def _send_holds(self, daemon: str, number: int) -> None:
        choices = random.Random(f"{self._seed} {daemon} {number}")
        connection = _Connection(daemon, self._ports[daemon])
        sequence = 0
        while not self._stop.is_set():
            await self._pause(choices)
            sequence += 1
            request = CallerRequest(f"{daemon}-{number}-{sequence}", "", daemon)
            service = self._services[(number + sequence) % len(self._services)]
            await connection.exchange(request, "POST", f"/{service}/hold")
            self.requests.append(request)

    async def _send_keyed_holds(self, number: int) -> None:
        choices = random.Random(f"{self._seed} keyed {number}")
        connections = [_Connection(*each) for each in self._ports.items()]
        sequence = 0
        while not self._stop.is_set():
            sequence += 1
            minting = CallerRequest("", "", "")
            await choices.choice(connections).exchange(minting, "POST", KEYS_PATH)
            if not minting.is_answered:
                await self._pause(choices)
                continue
            [key] = json.loads(minting.body)["keys"]
            for _ in range(2):
                await self._send_until_final(
                    choices, connections, f"keyed-{number}-{sequence}", key
                )

    async def _send_until_final(
        self,
        choices: random.Random,
        connections: list[_Connection],
        content_id: str,
        key: str,
    ) -> None:
        """Send a keyed request until a daemon answers it or states its outcome."""
        is_final = False
        while not is_final:
            connection = choices.choice(connections)
            request = CallerRequest(content_id, key, connection.daemon)
            await connection.exchange(request, "POST", f"/{self._services[0]}/hold")
            self.requests.append(request)
            is_final = request.status != 0 and request.outcome != "not_run"
            await self._pause(choices)
