"""Load of the health bench.

Sends the calls of one service at Poisson times and notes what became of them.
"""

import asyncio
import random
import time

import aiohttp
import attrs

__all__ = ["CallResult", "ServiceLoad"]

MS_PER_S = 1000
GIVEN_UP_S = 6.0


@attrs.frozen
class CallResult:
    """One call of a caller.

    :ivar at_s: wall-clock time of its start.
    :ivar status: HTTP status, 0 for none.
    :ivar work_ms: time that the target took, 0 if it did not answer.
    """

    at_s: float
    status: int
    elapsed_ms: float
    work_ms: float


class ServiceLoad:
    """The callers of one service."""

    def __init__(
        self, session: aiohttp.ClientSession, entries: list[str], seed: int
    ) -> None:
        self.results: list[CallResult] = []
        self._session = session
        self._entries = entries
        self._random = random.Random(seed)
        self._calls: set[asyncio.Task] = set()

    async def run(
        self, service: str, rate_per_s: float, write_share: float, until_s: float
    ) -> None:
        """Send calls until a wall-clock time, then wait for their ends."""
        next_s = time.time()
        while (next_s := next_s + self._random.expovariate(rate_per_s)) < until_s:
            await asyncio.sleep(max(0.0, next_s - time.time()))
            method = "POST" if self._random.random() < write_share else "GET"
            url = f"{self._random.choice(self._entries)}/{service}/work"
            task = asyncio.create_task(self._call(method, url))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        if self._calls:
            await asyncio.wait(self._calls)

    async def _call(self, method: str, url: str) -> None:
        at_s = time.time()
        timeout = aiohttp.ClientTimeout(total=GIVEN_UP_S)
        status, work_ms = 0, 0.0
        try:
            async with self._session.request(method, url, timeout=timeout) as response:
                await response.read()
                status = response.status
                work_ms = float(response.headers.get("X-Work-Ms", 0))
        except (aiohttp.ClientError, TimeoutError):
            pass
        elapsed_ms = (time.time() - at_s) * MS_PER_S
        self.results.append(CallResult(at_s, status, elapsed_ms, work_ms))
