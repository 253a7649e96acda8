"""Stand-in for an endpoint of the platform.

Answers requests by the platform's protocol, sends heartbeats, and fails on demand.
"""

import argparse
import asyncio
import itertools
import time

import aiohttp
from aiohttp import web

from tests.standins.serving import serve, target_parser
from tests.standins.streams import abort

__all__ = ["EndpointStandIn"]

BEAT_INTERVAL_S = 0.3


class EndpointStandIn:
    """One endpoint: ``/ledger`` lists what was run, ``/faults`` sets failures.

    :ivar shed: every request is turned away as not run.
    :ivar reset: so many requests have their connection reset before they are run.
    :ivar error: so many requests are answered with status 500.
    :ivar wrong_id: so many answers carry the id of another request.
    :ivar open_ended: answers have no length and end with their connection.
    :ivar cut: so many of these are reset instead.
    :ivar instance: the endpoint's own id, as its requests must expect it.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger: list[dict] = []
        self.state = "ready"
        self.beating = True
        self.latency_ms = options.latency_ms
        self.shed = False
        self.reset = 0
        self.error = 0
        self.wrong_id = 0
        self.open_ended = False
        self.cut = 0
        self.instance = options.endpoint
        self.born = int(time.time() * 1000)
        self._sequence = itertools.count(1)

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/ledger", self.show_ledger)
        app.router.add_get("/healthz", self.health)
        app.router.add_post("/faults", self.faults)
        app.router.add_route("*", "/{path:.*}", self.work)
        app.cleanup_ctx.append(self.beat)
        return app

    async def show_ledger(self, request: web.Request) -> web.Response:
        """Return everything that was run."""
        return web.json_response(self.ledger)

    async def health(self, request: web.Request) -> web.Response:
        """Answer the health check, also while real work fails."""
        return web.Response(headers={"X-Instance-Id": self.instance})

    async def faults(self, request: web.Request) -> web.Response:
        """Set the failures."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def work(self, request: web.Request) -> web.StreamResponse:
        """Run a request and note it in the ledger."""
        headers = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}
        if request.headers.get("X-Expected-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        if self.shed:
            return web.Response(status=503, headers=headers | {"X-Not-Executed": "1"})
        if self.reset:
            self.reset -= 1
            abort(request)
            return web.Response()
        body = await request.read()
        self.ledger.append(
            {
                "id": headers["X-Attempt-Id"],
                "path": request.path_qs,
                "method": request.method,
                "bytes": len(body),
                "caller_service": request.headers.get("X-Caller-Service"),
                "deadline_ms": int(request.headers.get("X-Deadline-Ms", 0)),
            }
        )
        await asyncio.sleep(self.latency_ms / 1000)
        headers["X-Response-Stamp"] = f"stamp-of-{self.instance}"
        if self.error:
            self.error -= 1
            return web.Response(status=500, text="failed", headers=headers)
        if self.wrong_id:
            self.wrong_id -= 1
            headers["X-Attempt-Id"] = "another"
        if self.open_ended:
            return await self._open_ended(request, headers)
        return web.Response(text=self.options.service, headers=headers)

    async def _open_ended(self, request: web.Request, headers) -> web.StreamResponse:
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["HTTP/1.1 200 OK", *lines, "Connection: close", "", ""])
        request.transport.write(head.encode() + b"first half,")
        await asyncio.sleep(0.05)
        if self.cut:
            self.cut -= 1
            abort(request)
        else:
            request.transport.write(b"second half")
            request.transport.close()
        return web.Response()

    async def beat(self, app: web.Application):
        """Send heartbeats to the daemon beside the endpoint while it runs."""
        task = asyncio.create_task(self._beat())
        yield
        task.cancel()

    async def _beat(self) -> None:
        options = self.options
        url = f"http://{options.daemon}/-/rpc"
        query = {"call": "instances.heartbeat", "of": options.endpoint}
        async with aiohttp.ClientSession() as session:
            while True:
                if self.beating:
                    body = self._report()
                    try:
                        async with session.post(url, params=query, json=body) as reply:
                            await reply.read()
                    except aiohttp.ClientError:
                        pass
                await asyncio.sleep(BEAT_INTERVAL_S)

    def _report(self) -> dict:
        options = self.options
        return {
            "address": f"127.0.0.1:{options.port}",
            "born": self.born,
            "info": {
                "service": options.service,
                "version": "v1",
                "zone": "makati",
                "slots": options.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self._sequence),
                "cold_left_s": 0,
            },
        }


def main() -> None:
    """Run the stand-in."""
    options = target_parser(__doc__).parse_args()
    app = EndpointStandIn(options).app()
    serve(app, options.port, handler_cancellation=True)


if __name__ == "__main__":
    main()
