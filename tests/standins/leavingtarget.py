"""Leaving target.

A target in the process of a test whose processes leave, and whose heartbeats come late.
"""

import asyncio
import itertools
import json
import time
from random import Random

import aiohttp
import attrs
from aiohttp import web

__all__ = ["Arrival", "LeavingTarget", "TargetRun"]

SERVICE = "slot-desk"
HEARTBEAT_INTERVAL_S = 0.5
LATENCY_S = 0.2
CALL_TIMEOUT = aiohttp.ClientTimeout(total=1.0)
MAX_LEAVE_ATTEMPTS = 6
SERVES_S = (4.0, 10.0)
LIVES_S = (1.0, 8.0)
LATE_S = (0.2, 8.0)
LATE_COUNT = 3
STATUS_OK = 200


@attrs.frozen
class Arrival:
    """A request that reached a target.

    :ivar request_id: as its client sent it.
    :ivar run: the process of the target that ran it.
    """

    request_id: str
    at_s: float
    run: "TargetRun"


@attrs.define(eq=False)
class TargetRun:
    """One process of a target.

    :ivar acknowledged_at_s: when its daemon acknowledged that it leaves; 0 if not yet.
    """

    born_ms: int
    numbers: itertools.count = attrs.field(factory=lambda: itertools.count(1))
    acknowledged_at_s: float = 0.0


class LeavingTarget:
    """A target beside one daemon whose processes start, leave and start again.

    :param daemon_port: port at which the daemon takes messages of targets.
    :ivar arrivals: the requests that have reached it, oldest first.
    """

    def __init__(self, name: str, port: int, daemon_port: int, chance: Random) -> None:
        self.name = name
        self.arrivals: list[Arrival] = []
        self._port = port
        self._url = f"http://127.0.0.1:{daemon_port}/-/rpc"
        self._chance = chance
        self._run = TargetRun(0)
        self._late: set[asyncio.Task] = set()

    async def live(self, session: aiohttp.ClientSession) -> None:
        """Run one process after the other until cancelled."""
        while True:
            self._run = TargetRun(round(time.time() * 1000))
            runner = await self._serve()
            try:
                await self._beat(session, self._chance.uniform(*LIVES_S))
                await self._leave(session)
                await asyncio.sleep(self._chance.uniform(*SERVES_S))
            finally:
                await runner.cleanup()
            await asyncio.sleep(0.2)

    async def _serve(self) -> web.AppRunner:
        app = web.Application()
        app.router.add_get("/healthz", self._show_health)
        app.router.add_route("*", "/{path:.*}", self._handle)
        runner = web.AppRunner(app, shutdown_timeout=0, access_log=None)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", self._port).start()
        return runner

    async def _show_health(self, request: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.name})

    async def _handle(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Attempt-Id", "")
        headers = {"X-Attempt-Id": request_id}
        if request.headers.get("X-Expected-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        self.arrivals.append(Arrival(request_id, time.monotonic(), self._run))
        await request.read()
        await asyncio.sleep(LATENCY_S)
        headers["X-Response-Stamp"] = f"stamp-of-{self.name}"
        return web.Response(text=SERVICE, headers=headers)

    async def _beat(self, session: aiohttp.ClientSession, duration_s: float) -> None:
        end_s = time.monotonic() + duration_s
        while time.monotonic() < end_s:
            await self._post(session, "heartbeat", self._heartbeat("ready"))
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)
        for _ in range(LATE_COUNT):
            late = self._post_late(session, self._heartbeat("ready"))
            self._late.add(asyncio.create_task(late))

    async def _leave(self, session: aiohttp.ClientSession) -> None:
        """Send that this process leaves until that is acknowledged, or some times."""
        drains = self._chance.random() < 0.5
        for _ in range(MAX_LEAVE_ATTEMPTS):
            call, body = "deregister", {"born": self._run.born_ms}
            if drains:
                call, body = "heartbeat", self._heartbeat("draining")
            if await self._post(session, call, body) == STATUS_OK:
                self._run.acknowledged_at_s = time.monotonic()
                return
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat(self, state: str) -> dict:
        return {
            "address": f"127.0.0.1:{self._port}",
            "born": self._run.born_ms,
            "info": {"service": SERVICE, "zone": "makati", "slots": 8},
            "status": {"state": state, "sequence": next(self._run.numbers)},
        }

    async def _post_late(self, session: aiohttp.ClientSession, body: dict) -> None:
        await asyncio.sleep(self._chance.uniform(*LATE_S))
        await self._post(session, "heartbeat", body)

    async def _post(self, session: aiohttp.ClientSession, call: str, body: dict) -> int:
        """Send a message to the daemon; return the status of its response, or 0."""
        query = {"call": f"instances.{call}", "of": self.name}
        try:
            async with session.post(
                self._url, params=query, data=json.dumps(body), timeout=CALL_TIMEOUT
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 0
