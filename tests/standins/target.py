"""Stand-in for a target.

Answers lookups and holds, keeps a ledger, announces itself, and fails on demand.
"""

import argparse
import asyncio
import hashlib
import json

import aiohttp
from aiohttp import web

from tests.standins.serving import serve, target_parser

__all__ = ["TargetStandIn"]

RENEW_INTERVAL_S = 0.3
LEASE_MS = 1500
HANG_S = 3600.0
DOWNLOAD_CHUNK_BYTES = 64 * 1024


class TargetStandIn:
    """One target: ``/ledger`` lists what was run, ``/faults`` sets failures.

    :ivar cut_after_bytes: reset the next download that has sent so many bytes.
    :ivar drop_calls: so many calls are run, but the connection is reset unanswered.
    """

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.ledger: list[dict] = []
        self.state = "ready"
        self.latency_ms = options.latency_ms
        self.error_percent = 0
        self.announcing = True
        self.cut_after_bytes = 0
        self.hang = False
        self.flap_period_s = 0.0
        self.drop_calls = 0
        self._calls = 0

    def app(self) -> web.Application:
        """Return the application."""
        app = web.Application(client_max_size=1024 * 1024 * 1024)
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/ledger", self.show_ledger)
        app.router.add_post("/faults", self.faults)
        app.router.add_get("/download/{size}", self.download)
        app.router.add_route("*", "/{path:.*}", self.work)
        app.cleanup_ctx.append(self.announce)
        return app

    async def health(self, request: web.Request) -> web.Response:
        """Answer the health check, also while real work fails."""
        return web.Response(text="ok")

    async def show_ledger(self, request: web.Request) -> web.Response:
        """Return everything that was run."""
        return web.json_response(self.ledger)

    async def faults(self, request: web.Request) -> web.Response:
        """Set the failures."""
        for name, value in (await request.json()).items():
            setattr(self, name, value)
        return web.json_response({})

    async def work(self, request: web.Request) -> web.Response:
        """Run a call and note it in the ledger."""
        digest = hashlib.sha256()
        size = 0
        async for chunk in request.content.iter_any():
            digest.update(chunk)
            size += len(chunk)
        self._calls += 1
        content_id = request.headers.get("X-Content-Id", "")
        entry = {
            "method": request.method,
            "path": request.path_qs,
            "content_id": content_id,
            "started_at_s": asyncio.get_running_loop().time(),
            "time_left_ms": int(request.headers.get("X-Request-Timeout-Ms", 0)),
        }
        self.note(entry)
        if self.drop_calls:
            self.drop_calls -= 1
            request.transport.abort()
        try:
            await asyncio.sleep(self._work_s())
        except asyncio.CancelledError:
            entry["cancelled"] = True
            raise
        if self._calls * self.error_percent % 100 < self.error_percent:
            return web.Response(status=500, text="failed")
        return web.json_response(
            {
                "endpoint": self.options.endpoint,
                "content_id": content_id,
                "bytes": size,
                "sha256": digest.hexdigest(),
            }
        )

    def _work_s(self) -> float:
        if not self.hang:
            return self.latency_ms / 1000
        now_s = asyncio.get_running_loop().time()
        flaps = self.flap_period_s > 0
        if flaps and now_s % self.flap_period_s > self.flap_period_s / 2:
            return self.latency_ms / 1000
        return HANG_S

    def note(self, entry: dict) -> None:
        """Put an entry into the ledger, and into its file if it has one."""
        self.ledger.append(entry)
        if self.options.ledger_file:
            with open(self.options.ledger_file, "a") as file:
                file.write(json.dumps(entry) + "\n")

    async def download(self, request: web.Request) -> web.StreamResponse:
        """Stream a body of the wanted size, perhaps cut short."""
        size = int(request.match_info["size"])
        response = web.StreamResponse()
        if "chunked" not in request.query:
            response.content_length = size
        await response.prepare(request)
        sent = 0
        while sent < size:
            if self.cut_after_bytes and sent >= self.cut_after_bytes:
                self.cut_after_bytes = 0
                request.transport.abort()
                break
            chunk = min(DOWNLOAD_CHUNK_BYTES, size - sent)
            if self.cut_after_bytes:
                chunk = min(chunk, self.cut_after_bytes - sent)
            await response.write(bytes([sent // DOWNLOAD_CHUNK_BYTES % 251]) * chunk)
            sent += chunk
        return response

    async def announce(self, app: web.Application):
        """Announce the target to the daemon beside it while it runs."""
        task = asyncio.create_task(self._renew())
        yield
        task.cancel()

    async def _renew(self) -> None:
        options = self.options
        port = options.announced_port or options.port
        url = (
            f"http://{options.daemon}/_laburnumscale/v1/targets/"
            f"{options.service}/{options.endpoint}"
        )
        async with aiohttp.ClientSession() as session:
            while True:
                if self.announcing:
                    body = {
                        "address": f"127.0.0.1:{port}",
                        "slots": options.slots,
                        "state": self.state,
                        "lease_ms": LEASE_MS,
                    }
                    try:
                        async with session.put(url, json=body) as response:
                            await response.read()
                    except aiohttp.ClientError:
                        pass
                await asyncio.sleep(RENEW_INTERVAL_S)


def main() -> None:
    """Run the stand-in."""
    parser = target_parser(__doc__)
    parser.add_argument("--announced-port", type=int, default=0)
    parser.add_argument("--ledger-file", default="", help="survives the process")
    options = parser.parse_args()
    app = TargetStandIn(options).app()
    serve(app, options.port, handler_cancellation=True)


if __name__ == "__main__":
    main()
