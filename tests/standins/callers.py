"""Callers.

Sends calls to the daemons of a fleet under load and keeps what they were told.
"""

import asyncio
import random
import threading
import time
from collections import Counter

import aiohttp
import attrs

from tests.standins.history import CallRecord

__all__ = ["Callers"]

NOT_SENT = "not_sent"
LEFT = "left"
CALLER_LIMIT_S = 20.0


@attrs.frozen
class Plan:
    """What the callers send.

    :ivar urls: base URLs of the daemons.
    :ivar hold_percent: share of calls that may run no more than once.
    :ivar leave_percent: share of callers that leave before they are answered.
    :ivar rate_per_s: calls a second of all callers, answered or not; 0 for each
        caller to send its next call after the last one was answered.
    """

    urls: tuple[str, ...]
    seed: int
    service: str = "slot-desk"
    callers: int = 8
    hold_percent: int = 50
    leave_percent: int = 0
    rate_per_s: float = 0
    think_s: float = 0.01


class Callers:
    """Callers on a thread of their own.

    :ivar records: one for each call. ``not_sent`` stands for a refused connection; a
        lookup may have been sent before, as the HTTP client resends those by itself.
    :ivar waits_s: for each outcome, how long each caller waited for it.
    """

    def __init__(self, **plan) -> None:
        self.plan = Plan(**plan)
        self.records: list[CallRecord] = []
        self.statuses: Counter[tuple[str, int, str]] = Counter()
        self.waits_s: dict[str, list[float]] = {}
        self.without_retry_after = 0
        self._random = random.Random(self.plan.seed)
        self._stop = threading.Event()
        self._numbers = iter(range(10**9))
        # A scenario that fails does not stop its callers; they must not keep behave.
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run()), daemon=True
        )

    def start(self) -> None:
        """Start to send."""
        self._thread.start()

    def stop(self) -> None:
        """Stop to send and wait for the answers."""
        self._stop.set()
        self._thread.join()

    def outcomes(self) -> Counter[str]:
        """Return how many calls had each outcome, without those never sent."""
        return Counter(
            record.outcome for record in self.records if record.outcome != NOT_SENT
        )

    async def _run(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            if self.plan.rate_per_s:
                await self._send_at_rate(session)
                return
            await asyncio.gather(
                *(self._caller(session) for _ in range(self.plan.callers))
            )

    async def _send_at_rate(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.TaskGroup() as group:
            next_at_s = time.monotonic()
            while not self._stop.is_set():
                group.create_task(self._call(session))
                next_at_s += 1 / self.plan.rate_per_s
                await asyncio.sleep(max(0.0, next_at_s - time.monotonic()))

    async def _caller(self, session: aiohttp.ClientSession) -> None:
        while not self._stop.is_set():
            await self._call(session)
            await asyncio.sleep(self.plan.think_s)

    async def _call(self, session: aiohttp.ClientSession) -> None:
        content_id = f"{self.plan.seed}-{next(self._numbers)}"
        holds = self._random.uniform(0, 100) < self.plan.hold_percent
        leaves = self._random.uniform(0, 100) < self.plan.leave_percent
        limit_s = self._random.uniform(0.0, 0.1) if leaves else CALLER_LIMIT_S
        url = self._random.choice(self.plan.urls)
        started_at_s = time.monotonic()
        try:
            async with asyncio.timeout(limit_s):
                record = await self._exchange(session, url, holds, content_id)
        except TimeoutError:
            record = CallRecord(content_id, not holds, LEFT if leaves else "hung")
        self.records.append(record)
        waited_s = time.monotonic() - started_at_s
        self.waits_s.setdefault(record.outcome, []).append(waited_s)

    async def _exchange(
        self, session: aiohttp.ClientSession, url: str, holds: bool, content_id: str
    ) -> CallRecord:
        method, path = ("POST", "hold") if holds else ("GET", "lookup")
        headers = {"X-Content-Id": content_id}
        body = b"{}" if holds else None
        try:
            async with session.request(
                method, f"{url}/{self.plan.service}/{path}", headers=headers, data=body
            ) as response:
                answer = await response.json(content_type=None)
        except aiohttp.ClientConnectorError:
            return CallRecord(content_id, not holds, NOT_SENT)
        except (aiohttp.ClientError, ValueError) as error:
            self.statuses["broken", 0, repr(error)] += 1
            return CallRecord(content_id, not holds, "broken")
        if response.status == 200:
            return CallRecord(content_id, not holds, "answered", answer["content_id"])
        outcome = answer["outcome"]
        self.statuses[outcome, response.status, answer["reason"]] += 1
        if outcome == "not_run" and "Retry-After" not in response.headers:
            self.without_retry_after += 1
        return CallRecord(content_id, not holds, outcome)
