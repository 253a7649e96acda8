"""Load callers.

Sends concurrent calls to the daemons of a fleet and records the outcome of each.
"""

import asyncio
import random
import threading
import time
from collections import Counter
from functools import partial

import aiohttp
import attrs

from tests.standins.history import CallRecord

__all__ = ["Callers"]

NOT_SENT = "not_sent"
DISCONNECTED = "left"
CALL_TIMEOUT_S = 20.0


@attrs.define
class ConnectionUse:
    """The connection that a call was sent on.

    :ivar is_new: whether it was opened for the call.
    :ivar ready_at_s: monotonic time at which the call got it; 0 if it got none.
    """

    is_new: bool = False
    ready_at_s: float = 0.0

    def __str__(self) -> str:
        kind = "new" if self.is_new else "kept"
        return f"{kind} connection, {time.monotonic() - self.ready_at_s:.3f} s before"


def trace_connections() -> aiohttp.TraceConfig:
    """Return a trace that fills in the ``ConnectionUse`` of each call."""

    async def record(is_new, session, context, parameters):
        use = context.trace_request_ctx
        use.is_new, use.ready_at_s = is_new, time.monotonic()

    trace = aiohttp.TraceConfig()
    trace.on_connection_create_end.append(partial(record, True))
    trace.on_connection_reuseconn.append(partial(record, False))
    return trace


@attrs.frozen
class LoadPlan:
    """Parameters of the load.

    :ivar urls: base URLs of the daemons.
    :ivar seed: seed of the random choices.
    :ivar service: service that is called.
    :ivar caller_count: number of concurrent callers if ``rate_per_s`` is 0.
    :ivar hold_percent: percentage of calls that are holds, which must run at most
        once; the others are lookups.
    :ivar disconnect_percent: percentage of calls whose caller disconnects before the
        answer arrives.
    :ivar rate_per_s: calls per second of all callers together, sent without waiting
        for answers; 0 if each caller sends its next call after the previous answer.
    :ivar think_s: pause in seconds of a caller between two calls.
    """

    urls: tuple[str, ...]
    seed: int
    service: str = "slot-desk"
    caller_count: int = 8
    hold_percent: int = 50
    disconnect_percent: int = 0
    rate_per_s: float = 0
    think_s: float = 0.01


class Callers:
    """Concurrent callers that run on a separate thread.

    :ivar plan: parameters of the load.
    :ivar records: one record per call. ``not_sent`` is the outcome of a refused
        connection; a lookup may have been sent before, as the HTTP client resends
        lookups on its own.
    :ivar failure_counts: number of failed calls by outcome, HTTP status and reason.
    :ivar latencies_s: latencies of the calls in seconds, by outcome.
    :ivar refusals_without_retry_after: number of ``not_run`` responses that lack a
        ``Retry-After`` header.
    """

    def __init__(self, **plan) -> None:
        self.plan = LoadPlan(**plan)
        self.records: list[CallRecord] = []
        self.failure_counts: Counter[tuple[str, int, str]] = Counter()
        self.latencies_s: dict[str, list[float]] = {}
        self.refusals_without_retry_after = 0
        self._random = random.Random(self.plan.seed)
        self._stop = threading.Event()
        self._call_numbers = iter(range(10**9))
        # A daemon thread: a failed scenario does not stop its callers, and they must
        # not keep behave from exiting.
        self._thread = threading.Thread(
            target=lambda: asyncio.run(self._run()), daemon=True
        )

    def start(self) -> None:
        """Start sending calls."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending calls and wait for outstanding answers."""
        self._stop.set()
        self._thread.join()

    def outcomes(self) -> Counter[str]:
        """Return the number of calls by outcome, except those never sent."""
        return Counter(
            record.outcome for record in self.records if record.outcome != NOT_SENT
        )

    async def _run(self) -> None:
        connector = aiohttp.TCPConnector(limit=0)
        traces = [trace_connections()]
        async with aiohttp.ClientSession(
            connector=connector, trace_configs=traces
        ) as session:
            if self.plan.rate_per_s:
                await self._send_at_rate(session)
                return
            await asyncio.gather(
                *(self._call_repeatedly(session) for _ in range(self.plan.caller_count))
            )

    async def _send_at_rate(self, session: aiohttp.ClientSession) -> None:
        async with asyncio.TaskGroup() as group:
            next_at_s = time.monotonic()
            while not self._stop.is_set():
                group.create_task(self._make_call(session))
                next_at_s += 1 / self.plan.rate_per_s
                await asyncio.sleep(max(0.0, next_at_s - time.monotonic()))

    async def _call_repeatedly(self, session: aiohttp.ClientSession) -> None:
        while not self._stop.is_set():
            await self._make_call(session)
            await asyncio.sleep(self.plan.think_s)

    async def _make_call(self, session: aiohttp.ClientSession) -> None:
        content_id = f"{self.plan.seed}-{next(self._call_numbers)}"
        is_hold = self._random.uniform(0, 100) < self.plan.hold_percent
        disconnects = self._random.uniform(0, 100) < self.plan.disconnect_percent
        timeout_s = self._random.uniform(0.0, 0.1) if disconnects else CALL_TIMEOUT_S
        url = self._random.choice(self.plan.urls)
        started_at_s = time.monotonic()
        try:
            async with asyncio.timeout(timeout_s):
                record = await self._send(session, url, is_hold, content_id)
        except TimeoutError:
            record = CallRecord(
                content_id, not is_hold, DISCONNECTED if disconnects else "hung"
            )
        self.records.append(record)
        latency_s = time.monotonic() - started_at_s
        self.latencies_s.setdefault(record.outcome, []).append(latency_s)

    async def _send(
        self, session: aiohttp.ClientSession, url: str, is_hold: bool, content_id: str
    ) -> CallRecord:
        method, path = ("POST", "hold") if is_hold else ("GET", "lookup")
        headers = {"X-Content-Id": content_id}
        body = b"{}" if is_hold else None
        connection = ConnectionUse()
        try:
            async with session.request(
                method,
                f"{url}/{self.plan.service}/{path}",
                headers=headers,
                data=body,
                trace_request_ctx=connection,
            ) as response:
                answer = await response.json(content_type=None)
        except aiohttp.ClientConnectorError:
            return CallRecord(content_id, not is_hold, NOT_SENT)
        except (aiohttp.ClientError, ValueError) as error:
            reason = f"{error!r} on a {connection}"
            self.failure_counts["broken", 0, reason] += 1
            return CallRecord(content_id, not is_hold, "broken")
        if response.status == 200:
            return CallRecord(content_id, not is_hold, "answered", answer["content_id"])
        outcome = answer["outcome"]
        self.failure_counts[outcome, response.status, answer["reason"]] += 1
        if outcome == "not_run" and "Retry-After" not in response.headers:
            self.refusals_without_retry_after += 1
        return CallRecord(content_id, not is_hold, outcome)
