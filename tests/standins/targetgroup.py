"""Stand-in for a group of targets.

Runs many targets in one process, each on its own port, and injects timed faults.
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
WORK_TIME_SIGMA = 0.25


@attrs.define(eq=False)
class GroupedTarget:
    """One target of the group.

    :ivar work_ms: median processing time of a call.
    :ivar probe_ms: response time of a health check.
    :ivar connect_ms: additional processing time of the first call of a connection.
    :ivar hang: calls are never answered, while health checks are.
    :ivar slow_factor: multiplier of the processing time of calls.
    :ivar error_percent: percentage of calls that are answered with status 500.
    :ivar shed: calls are answered with status 503 and not run.
    :ivar flap_period_s: period of intermittent faults, which are active in its first
        half; 0 for permanent faults.
    :ivar fault_for_s: time after which the faults end, 0 for never.
    :ivar fault_at_s: Unix time at which the faults were set.
    :ivar call_times_s: Unix times at which calls were received.
    :ivar connections: ids of the transports that have sent a call.
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
    call_times_s: list[float] = attrs.field(factory=list)
    connections: set[int] = attrs.field(factory=set)

    def set_faults(self, faults: dict) -> None:
        """Set the fault attributes by name, starting now."""
        for name, value in faults.items():
            setattr(self, name, value)
        self.fault_at_s = time.time()

    def faults_active(self) -> bool:
        """Return whether the faults affect calls at present."""
        fault_age_s = time.time() - self.fault_at_s
        if self.fault_for_s and fault_age_s > self.fault_for_s:
            return False
        if not self.flap_period_s:
            return True
        phase_s = fault_age_s % self.flap_period_s
        return phase_s < self.flap_period_s / 2


class TargetGroup:
    """The targets of one process and the HTTP interface that controls them."""

    def __init__(self, seed: int) -> None:
        self.targets: dict[int, GroupedTarget] = {}
        self._random = random.Random(seed)
        self._session: aiohttp.ClientSession | None = None
        self._runner: web.AppRunner | None = None
        self._tasks: dict[int, tuple[asyncio.Task, web.TCPSite]] = {}

    def control_app(self) -> web.Application:
        """Return the web application that controls the targets."""
        app = web.Application()
        app.router.add_get("/healthz", self.health)
        app.router.add_post("/targets", self.add_targets)
        app.router.add_post("/faults", self.update_faults)
        app.router.add_post("/remove", self.remove_targets)
        app.on_startup.append(self._start_target_server)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Answer a health check of the process."""
        return web.Response(text="ok")

    async def add_targets(self, request: web.Request) -> web.Response:
        """Start the targets that the request describes."""
        for attributes in await request.json():
            target = GroupedTarget(**attributes)
            self.targets[target.port] = target
            site = web.TCPSite(self._runner, "127.0.0.1", target.port)
            await site.start()
            task = asyncio.create_task(self._renew_announcement(target))
            self._tasks[target.port] = (task, site)
        return web.json_response({})

    async def update_faults(self, request: web.Request) -> web.Response:
        """Set the faults of targets, by port."""
        for port, faults in (await request.json()).items():
            self.targets[int(port)].set_faults(faults)
        return web.json_response({})

    async def remove_targets(self, request: web.Request) -> web.Response:
        """Stop targets and return the times of their calls, by endpoint."""
        call_times = {}
        for port in await request.json():
            target = self.targets.pop(port)
            task, site = self._tasks.pop(port)
            task.cancel()
            await self._session.delete(_announcement_url(target))
            await site.stop()
            call_times[target.endpoint] = target.call_times_s
        return web.json_response(call_times)

    async def handle_target_request(self, request: web.Request) -> web.Response:
        """Answer a call or a health check of the target at the local port."""
        port = request.transport.get_extra_info("sockname")[1]
        target = self.targets.get(port)
        if target is None:
            request.transport.abort()
            return web.Response()
        if request.path == "/healthz":
            await asyncio.sleep(target.probe_ms / MS_PER_S)
            return web.Response(text="ok")
        await request.read()
        target.call_times_s.append(time.time())
        return await self._handle_call(target, request)

    async def _handle_call(
        self, target: GroupedTarget, request: web.Request
    ) -> web.Response:
        work_ms = target.work_ms * self._random.lognormvariate(0, WORK_TIME_SIGMA)
        if id(request.transport) not in target.connections:
            target.connections.add(id(request.transport))
            work_ms += target.connect_ms
        if target.faults_active():
            if target.shed:
                return web.Response(status=503)
            if target.hang:
                await asyncio.sleep(3600)
            work_ms *= target.slow_factor
        await asyncio.sleep(work_ms / MS_PER_S)
        failed = self._random.random() * 100 < target.error_percent
        status = 500 if failed and target.faults_active() else 200
        return web.Response(status=status, headers={"X-Work-Ms": f"{work_ms:.3f}"})

    async def _start_target_server(self, app: web.Application) -> None:
        target_app = web.Application()
        target_app.router.add_route("*", "/{path:.*}", self.handle_target_request)
        self._runner = web.AppRunner(target_app, shutdown_timeout=0)
        await self._runner.setup()
        self._session = aiohttp.ClientSession()

    async def _renew_announcement(self, target: GroupedTarget) -> None:
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
    """Run the stand-in until it is stopped."""
    parser = port_parser(__doc__)
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    serve(TargetGroup(options.seed).control_app(), options.port)


if __name__ == "__main__":
    main()
