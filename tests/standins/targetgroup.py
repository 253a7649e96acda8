"""Stand-in for a group of targets.

Runs many targets in one process, each on a port of its own, with timed failures.
"""

import asyncio
import random
import time

import aiohttp
import attrs
from aiohttp import web

from tests.standins.serving import port_parser, serve

__all__ = ["GroupedTarget", "TargetGroup"]

RENEW_INTERVAL_S = 0.5
LEASE_MS = 5000
MS_PER_S = 1000
SPREAD = 0.25


@attrs.define(eq=False)
class GroupedTarget:
    """One target of the group.

    :ivar hang: real work is never answered, health checks are.
    :ivar slow_factor: real work takes so many times longer.
    :ivar error_percent: share of the work that is answered with status 500.
    :ivar shed: work is answered with status 503 and not run.
    :ivar flap_period_s: the failures come and go with this period, 0 for always.
    :ivar fault_for_s: the failures end after this time, 0 for never.
    """

    service: str
    endpoint: str
    daemon: str
    port: int
    work_ms: float
    probe_ms: float = 25.0
    connect_ms: float = 1.0
    hang: bool = False
    slow_factor: float = 1.0
    error_percent: float = 0.0
    shed: bool = False
    flap_period_s: float = 0.0
    fault_for_s: float = 0.0
    fault_at_s: float = attrs.field(factory=time.time)
    started_at_s: list[float] = attrs.field(factory=list)
    connections: set[int] = attrs.field(factory=set)

    def set(self, faults: dict) -> None:
        """Set failures that start now."""
        for name, value in faults.items():
            setattr(self, name, value)
        self.fault_at_s = time.time()

    def failing(self) -> bool:
        """Tell whether the failures are in their bad half period."""
        failing_for_s = time.time() - self.fault_at_s
        if self.fault_for_s and failing_for_s > self.fault_for_s:
            return False
        if not self.flap_period_s:
            return True
        phase_s = failing_for_s % self.flap_period_s
        return phase_s < self.flap_period_s / 2


class TargetGroup:
    """The targets of one process and their control interface."""

    def __init__(self, seed: int) -> None:
        self.targets: dict[int, GroupedTarget] = {}
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: dict[int, tuple[asyncio.Task, web.TCPSite]] = {}

    def control(self) -> web.Application:
        """Return the control application."""
        app = web.Application()
        app.router.add_get("/healthz", self.health)
        app.router.add_post("/targets", self.add)
        app.router.add_post("/faults", self.faults)
        app.router.add_post("/remove", self.remove)
        app.on_startup.append(self._start)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Tell that the process answers."""
        return web.Response(text="ok")

    async def add(self, request: web.Request) -> web.Response:
        """Start targets."""
        for value in await request.json():
            target = GroupedTarget(**value)
            self.targets[target.port] = target
            site = web.TCPSite(self._runner, "127.0.0.1", target.port)
            await site.start()
            task = asyncio.create_task(self._announce(target))
            self._tasks[target.port] = (task, site)
        return web.json_response({})

    async def faults(self, request: web.Request) -> web.Response:
        """Set the failures of targets, by port."""
        for port, faults in (await request.json()).items():
            self.targets[int(port)].set(faults)
        return web.json_response({})

    async def remove(self, request: web.Request) -> web.Response:
        """End targets and return when their work started, by endpoint."""
        started = {}
        for port in await request.json():
            target = self.targets.pop(port)
            task, site = self._tasks.pop(port)
            task.cancel()
            await self._session.delete(_announcement_url(target))
            await site.stop()
            started[target.endpoint] = target.started_at_s
        return web.json_response(started)

    async def work(self, request: web.Request) -> web.Response:
        """Run a call or a health check of the target at this port."""
        port = request.transport.get_extra_info("sockname")[1]
        target = self.targets.get(port)
        if target is None:
            request.transport.abort()
            return web.Response()
        if request.path == "/healthz":
            await asyncio.sleep(target.probe_ms / MS_PER_S)
            return web.Response(text="ok")
        await request.read()
        target.started_at_s.append(time.time())
        return await self._run(target, request)

    async def _run(self, target: GroupedTarget, request: web.Request) -> web.Response:
        work_ms = target.work_ms * self._random.lognormvariate(0, SPREAD)
        if id(request.transport) not in target.connections:
            target.connections.add(id(request.transport))
            work_ms += target.connect_ms
        if target.failing():
            if target.shed:
                return web.Response(status=503)
            if target.hang:
                await asyncio.sleep(3600)
            work_ms *= target.slow_factor
        await asyncio.sleep(work_ms / MS_PER_S)
        failed = self._random.random() * 100 < target.error_percent
        status = 500 if failed and target.failing() else 200
        return web.Response(status=status, headers={"X-Work-Ms": f"{work_ms:.3f}"})

    async def _start(self, app: web.Application) -> None:
        work = web.Application()
        work.router.add_route("*", "/{path:.*}", self.work)
        self._runner = web.AppRunner(work, shutdown_timeout=0)
        await self._runner.setup()
        self._session = aiohttp.ClientSession()

    async def _announce(self, target: GroupedTarget) -> None:
        body = {
            "address": f"127.0.0.1:{target.port}",
            "slots": 5,
            "state": "ready",
            "lease_ms": LEASE_MS,
        }
        while True:
            try:
                async with self._session.put(
                    _announcement_url(target), json=body
                ) as response:
                    await response.read()
            except aiohttp.ClientError:
                pass
            await asyncio.sleep(RENEW_INTERVAL_S)


def _announcement_url(target: GroupedTarget) -> str:
    return (
        f"http://{target.daemon}/_laburnumscale/v1/targets/"
        f"{target.service}/{target.endpoint}"
    )


def main() -> None:
    """Run the group."""
    parser = port_parser(__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    serve(TargetGroup(options.seed).control(), options.port)


if __name__ == "__main__":
    main()
