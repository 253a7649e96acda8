"""Load generator of the health bench.

Sends the calls of one service as a Poisson process and records their results.
"""

import asyncio
import random
import time

import aiohttp
import attrs

__all__ = ["CallResult", "ServiceLoad"]

MS_PER_S = 1000
CALL_TIMEOUT_S = 6.0


@attrs.frozen
class CallResult:
    """Result of one call.

    :ivar started_at_s: Unix time at which the call was sent.
    :ivar status: HTTP status, 0 if no response was received.
    :ivar elapsed_ms: time until the response was read or the call failed.
    :ivar work_ms: processing time that the target reported, 0 if it did not answer.
    """

    started_at_s: float
    status: int
    elapsed_ms: float
    work_ms: float


class ServiceLoad:
    """Load generator for one service.

    :ivar results: results of the finished calls.
    """

    def __init__(
        self, session: aiohttp.ClientSession, entry_urls: list[str], seed: int
    ) -> None:
        self.results: list[CallResult] = []
        self._session = session
        self._entry_urls = entry_urls
        self._random = random.Random(seed)
        self._calls: set[asyncio.Task] = set()

    async def run(
        self,
        service: str,
        rate_per_s: float,
        non_idempotent_share: float,
        until_s: float,
    ) -> None:
        """Send calls until a given time, then wait until all of them have ended.

        :param service: name of the service.
        :param rate_per_s: mean call rate.
        :param non_idempotent_share: share of calls that are sent as POST, from 0 to 1.
        :param until_s: Unix time at which to stop sending.
        """
        next_s = time.time()
        while (next_s := next_s + self._random.expovariate(rate_per_s)) < until_s:
            await asyncio.sleep(max(0.0, next_s - time.time()))
            method = "POST" if self._random.random() < non_idempotent_share else "GET"
            url = f"{self._random.choice(self._entry_urls)}/{service}/work"
            task = asyncio.create_task(self._call(method, url))
            self._calls.add(task)
            task.add_done_callback(self._calls.discard)
        if self._calls:
            await asyncio.wait(self._calls)

    async def _call(self, method: str, url: str) -> None:
        started_at_s = time.time()
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        status, work_ms = 0, 0.0
        try:
            async with self._session.request(method, url, timeout=timeout) as response:
                await response.read()
                status = response.status
                work_ms = float(response.headers.get("X-Work-Ms", 0))
        except (aiohttp.ClientError, TimeoutError):
            pass
        elapsed_ms = (time.time() - started_at_s) * MS_PER_S
        self.results.append(CallResult(started_at_s, status, elapsed_ms, work_ms))
