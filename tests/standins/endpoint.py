"""Stand-in for an endpoint of the platform.

Responds to requests by the platform's protocol, sends heartbeats and injects faults.
"""

import argparse
import asyncio
import itertools
import time

import aiohttp
from aiohttp import web

from tests.standins.crashing import CrashingRequests
from tests.standins.serving import serve, target_parser
from tests.standins.streams import abort

__all__ = ["EndpointStandIn"]

HEARTBEAT_INTERVAL_S = 0.3
#: Fields about client accounts, and a name that some servers take for one of them.
ACCOUNT_FIELDS = ("X-Key", "X-Tenant", "X_Tenant")


class EndpointStandIn:
    """One endpoint: ``/ledger`` lists the requests it ran, ``/faults`` sets its faults.

    The parameter ``bytes`` of a request sets the size of its answer.

    :ivar state: state that the heartbeats report.
    :ivar beating: whether heartbeats are sent.
    :ivar shed: whether every request is rejected with 503 and marked as not run.
    :ivar reset: number of requests whose connection is reset before they are run.
    :ivar error: number of requests that get status 500 after they were run.
    :ivar wrong_id: number of responses that carry the id of another request.
    :ivar open_ended: whether responses have no length and end with their connection.
    :ivar cut: number of open-ended responses that are reset before their second half.
    :ivar limit: limit of requests a second that responses name; empty for none.
    :ivar leaving: whether responses say that the endpoint leaves.
    :ivar arrivals_s: Unix times at which requests arrived, rejected ones included.
    :ivar instance: id that the X-Expected-Instance field of a request must contain.
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
        self.limit = ""
        self.leaving = False
        self.arrivals_s: list[float] = []
        self.instance = options.endpoint
        self.born = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._crashing_requests = CrashingRequests(options)

    def app(self) -> web.Application:
        """Return the web application with its routes and the heartbeat task."""
        app = web.Application(client_max_size=64 * 1024 * 1024)
        app.router.add_get("/ledger", self.show_ledger)
        app.router.add_get("/arrivals", self.show_arrivals)
        app.router.add_get("/healthz", self.show_health)
        app.router.add_post("/faults", self.set_faults)
        app.router.add_route("*", "/{path:.*}", self.handle_request)
        app.cleanup_ctx.append(self.run_heartbeats)
        return app

    async def show_ledger(self, request: web.Request) -> web.Response:
        """Return the requests that were run, oldest first."""
        return web.json_response(self.ledger)

    async def show_arrivals(self, request: web.Request) -> web.Response:
        """Return the times at which requests arrived, and the time of this response."""
        return web.json_response({"arrivals_s": self.arrivals_s, "now_s": time.time()})

    async def show_health(self, request: web.Request) -> web.Response:
        """Respond to the health check, also while requests fail."""
        return web.Response(headers={"X-Instance-Id": self.instance})

    async def set_faults(self, request: web.Request) -> web.Response:
        """Set the attributes that the JSON body names."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def handle_request(self, request: web.Request) -> web.StreamResponse:
        """Run a request and record it in the ledger, or fail as the faults say."""
        self.arrivals_s.append(time.time())
        headers = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", "")}
        if self.limit:
            headers["Server-Limit"] = self.limit
        if self.leaving:
            headers["Server-Leaving"] = "1"
        if request.headers.get("X-Expected-Instance") != self.instance:
            return web.Response(status=421, headers=headers)
        await self._crashing_requests.admit(request)
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
                "target": request.raw_path,
                "method": request.method,
                "bytes": len(body),
                "caller_service": request.headers.get("X-Caller-Service"),
                "account_fields": {
                    name: request.headers[name]
                    for name in ACCOUNT_FIELDS
                    if name in request.headers
                },
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
            return await self._send_open_ended(request, headers)
        text = "x" * int(request.query.get("bytes", 0)) or self.options.service
        return web.Response(text=text, headers=headers)

    async def _send_open_ended(
        self, request: web.Request, headers
    ) -> web.StreamResponse:
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

    async def run_heartbeats(self, app: web.Application):
        """Send heartbeats to the endpoint's daemon while the application runs."""
        task = asyncio.create_task(self._send_heartbeats())
        yield
        task.cancel()

    async def _send_heartbeats(self) -> None:
        options = self.options
        url = f"http://{options.daemon}/-/rpc"
        query = {"call": "instances.heartbeat", "of": options.endpoint}
        async with aiohttp.ClientSession() as session:
            while True:
                if self.beating:
                    body = self._heartbeat_body()
                    try:
                        async with session.post(url, params=query, json=body) as reply:
                            await reply.read()
                    except aiohttp.ClientError:
                        pass
                await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    def _heartbeat_body(self) -> dict:
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
    """Run the stand-in until the process is stopped."""
    options = target_parser(__doc__).parse_args()
    app = EndpointStandIn(options).app()
    serve(app, options.port, handler_cancellation=True)


if __name__ == "__main__":
    main()
