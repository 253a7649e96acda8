"""Runs daemons of the deploy file beside stand-ins for the store, endpoints and clients.

The stand-ins speak what the users' pages say, and run in the process of the test. Only
the standard library is used.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import resource
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"
MAX_FDS = 4_100
STARTED = []
BOUNDS = {
    "drain_ms": 6000,
    "floor_percent": 70,
    "retry_budget_percent": 20,
    "retry_slack_attempts": 56,
    "announcement_interval_ms": 1500,
    "settings_apply_ms": 2000,
    "memory_limit_mb": 300,
}


class Record:
    """What was sent, answered and run; written to ``record.txt`` at the end."""

    def __init__(self, path):
        self.path = path
        self.started_s = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.started_s:8.3f} {text}")

    def write(self):
        self.path.write_text("\n".join(self.lines) + "\n")


_ports = iter(())


def free_ports(count):
    """Return free ports below the range that the system uses for connections.

    They come from one block for each process, so that two tests seldom meet.
    """
    global _ports
    found = []
    while len(found) < count:
        port = next(_ports, None)
        if port is None:
            start = random.SystemRandom().randrange(100, 320) * 100
            _ports = iter(range(start, start + 100))
        elif _can_bind(port):
            found.append(port)
    return found


def _can_bind(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True


class HttpServer:
    """A minimal HTTP/1.1 server; ``handle`` gets a parsed request and the writer."""

    def __init__(self, port=0):
        self.port = port
        self.server = None
        self.writers = set()

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self):
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                request = await read_request(reader, self.wants_body)
                if request is None:
                    return
                if not await self.handle(request, reader, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        except asyncio.CancelledError:
            raise
        finally:
            self.writers.discard(writer)
            writer.close()

    def wants_body(self, request):
        return True

    async def handle(self, request, reader, writer):
        raise NotImplementedError


class Request:
    def __init__(self, method, target, headers):
        self.method, self.target, self.headers = method, target, headers
        self.body = b""

    def get(self, name, default=""):
        name = name.lower()
        return next((v for n, v in self.headers if n.lower() == name), default)


async def read_head(reader):
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError):
        return None
    first, *lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [tuple(line.split(":", 1)) for line in lines]
    return first, [(name, value.strip()) for name, value in headers]


async def read_body(reader, headers):
    values = {name.lower(): value for name, value in headers}
    if "chunked" in values.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            body += chunk[:-2]
            if not size:
                return body
    return await reader.readexactly(int(values.get("content-length", 0)))


async def read_request(reader, wants_body=lambda request: True):
    parsed = await read_head(reader)
    if parsed is None:
        return None
    first, headers = parsed
    method, target, _ = first.split(" ", 2)
    request = Request(method, target, headers)
    if wants_body(request):
        request.body = await read_body(reader, headers)
    return request


def response(status, body=b"", headers=(), close=False):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if close:
        lines.append("Connection: close")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


class Store(HttpServer):
    """The platform's store: keyed topics with one partition, and an era."""

    def __init__(self):
        super().__init__()
        self.topics = {}
        self.era = 1
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, topic, key, value):
        raw = key.encode()
        self.append(topic, [bytes([len(raw)]) + raw + value])

    def append(self, topic, records):
        stream = self.topics.setdefault(topic, [])
        offset = len(stream)
        stream.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset, len(stream)

    async def handle(self, request, reader, writer):
        self.calls += 1
        path, _, query = request.target.partition("?")
        values = dict(part.split("=", 1) for part in query.split("&") if "=" in part)
        stream = self.topics.setdefault(values.get("topic", ""), [])
        headers = [("Store-Era", str(self.era))]
        status, body = 200, b"{}"
        if path == "/-/log-append":
            records, position = [], 0
            while position < len(request.body):
                (size,) = struct.unpack_from(">I", request.body, position)
                records.append(request.body[position + 4 : position + 4 + size])
                position += 4 + size
            offset, end = self.append(values["topic"], records)
            body = json.dumps({"offset": offset, "end": end}).encode()
        elif path == "/-/log-read":
            start = int(values["from"])
            deadline = time.monotonic() + int(values.get("wait_ms", 0)) / 1000
            while start >= len(stream) and time.monotonic() < deadline:
                try:
                    await asyncio.wait_for(
                        self.changed.wait(), max(0.001, deadline - time.monotonic())
                    )
                except TimeoutError:
                    break
            if start > len(stream):
                status, body = 410, b'{"first":0}'
            else:
                body = struct.pack(">QQ", len(stream), 0)
                body += b"".join(struct.pack(">I", len(r)) + r for r in stream[start:])
        elif path == "/-/log-newest":
            newest = {}
            for offset, record in enumerate(stream):
                key = record[1 : 1 + record[0]].decode()
                value = base64.b64encode(record[1 + record[0] :]).decode()
                newest[key] = {"key": key, "value": value, "offset": offset}
            items = [newest[key] for key in sorted(newest)]
            page = {"items": items, "more": False, "end": len(stream)}
            body = json.dumps(page).encode()
        else:
            status = 404
        writer.write(response(status, body, headers))
        await writer.drain()
        return True


class Daemon:
    """One daemon, started with the command of the deploy file."""

    def __init__(self, fleet, name, service, zone="makati", overrides=None):
        self.fleet, self.name, self.service, self.zone = fleet, name, service, zone
        ports = free_ports(5)
        self.caller, self.ready, self.control, self.peer, self.operator = ports
        self.overrides = overrides or {}
        self.process = None

    def settings(self):
        values = {
            "platform": "laburnumscale_platform",
            "daemon": self.name,
            "data_centre": self.zone,
            "caller_service": self.service,
            "caller_address": f"127.0.0.1:{self.caller}",
            "readiness_address": f"127.0.0.1:{self.ready}",
            "target_address": f"127.0.0.1:{self.control}",
            "peer_address": f"127.0.0.1:{self.peer}",
            "operator_address": f"127.0.0.1:{self.operator}",
            "log_url": f"http://127.0.0.1:{self.fleet.store.port}",
            "seed_addresses": [],
            "log_format": "json",
            "routes_only": True,
            **BOUNDS,
            **self.fleet.extra_settings,
        }
        if self.overrides:
            values["peer_address_overrides"] = self.overrides
        return values

    async def start(self):
        path = self.fleet.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings()))
        environment = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self.fleet.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "python3", "-P", "-m", "laburnumscaled", str(path),
            cwd=ROOT, env=environment, stdout=log, stderr=log,
        )
        log.close()
        STARTED.append(self.process)
        self.fleet.record.add(f"daemon {self.name} started, pid {self.process.pid}")

    async def wait_ready(self, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/-/readyz", timeout_s=1)
        return answer.status == 200

    def send_signal(self, number):
        self.fleet.record.add(f"daemon {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def resident_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        line = next((l for l in status.splitlines() if l.startswith("VmRSS")), "x 0")
        return int(line.split()[1]) * 1024 / 1e6

    def log_text(self):
        return (self.fleet.folder / f"{self.name}.log").read_text(errors="replace")


class Answer:
    def __init__(self, status=0, headers=(), body=b"", error=""):
        self.status, self.headers, self.body, self.error = status, headers, body, error

    def get(self, name, default=""):
        name = name.lower()
        return next((v for n, v in self.headers if n.lower() == name), default)

    def __str__(self):
        return f"{self.status} {self.error} {self.body[:60]!r}"


async def call(
    port, method, target, headers=(), body=None, timeout_s=10.0, raw=None, host=HOST
):
    """Send one request on a new connection and return the answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 22)
            if raw is None:
                lines = [f"{method} {target} HTTP/1.1", f"Host: {host}"]
                lines += [f"{name}: {value}" for name, value in headers]
                if body is not None:
                    lines.append(f"Content-Length: {len(body)}")
                raw = "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")
            writer.write(raw)
            return await read_answer(reader, method)
    except TimeoutError:
        return Answer(error="timeout")
    except (OSError, asyncio.IncompleteReadError, ValueError) as error:
        return Answer(error=repr(error))
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader, method="GET"):
    while True:
        parsed = await read_head(reader)
        if parsed is None:
            return Answer(error="closed")
        first, headers = parsed
        status = int(first.split(" ")[1])
        if status >= 200:
            break
    if method == "HEAD" or status in (204, 304):
        return Answer(status, headers)
    return Answer(status, headers, await read_body(reader, headers))


class Endpoint(HttpServer):
    """An endpoint beside a daemon, as a sound server behaves unless told otherwise."""

    def __init__(self, fleet, daemon, name, service, slots=5):
        super().__init__()
        self.fleet, self.daemon, self.name, self.service = fleet, daemon, name, service
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.beats = True
        self.latency_s = 0.05
        self.runs = []
        self.behave = None
        self.extra_headers = []
        self.task = None
        self.acks = []

    async def start(self):
        await super().start()
        self.task = asyncio.create_task(self._beat_forever())

    async def stop(self):
        if self.task is not None:
            self.task.cancel()
        await super().stop()

    def beat_body(self, state=None):
        self.sequence += 1
        return {
            "address": f"127.0.0.1:{self.port}",
            "born": self.born,
            "info": {"service": self.service, "version": "v1", "zone": "makati", "slots": self.slots},
            "status": {"state": state or self.state, "sequence": self.sequence, "cold_left_s": 0},
        }

    async def beat(self, body=None):
        answer = await call(
            self.daemon.control, "POST", f"/-/rpc?call=instances.heartbeat&of={self.name}",
            [("Content-Type", "application/json")],
            json.dumps(body or self.beat_body()).encode(), timeout_s=1,
        )
        return answer

    async def deregister(self):
        return await call(
            self.daemon.control, "POST", f"/-/rpc?call=instances.deregister&of={self.name}",
            [("Content-Type", "application/json")],
            json.dumps({"born": self.born}).encode(), timeout_s=1,
        )

    async def _beat_forever(self):
        while True:
            if self.beats:
                await self.beat()
            await asyncio.sleep(1.5)

    async def handle(self, request, reader, writer):
        if request.target == "/healthz":
            writer.write(response(200, b"", [("X-Instance-Id", self.name)]))
            await writer.drain()
            return True
        identity = request.get("X-Attempt-Id")
        echo = [("X-Attempt-Id", identity)]
        expected = request.get("X-Expected-Instance")
        if expected and expected != self.name:
            writer.write(response(421, b"", echo + [("X-Not-Executed", "1")]))
            await writer.drain()
            return True
        if self.behave is not None:
            done = await self.behave(self, request, reader, writer)
            if done is not None:
                return done
        self.run(request)
        await asyncio.sleep(self.latency_s)
        stamp = [("X-Response-Stamp", f"{self.name}.{identity}")]
        writer.write(response(200, f"{self.name}:{identity}".encode(), echo + stamp + self.extra_headers))
        await writer.drain()
        return True

    def run(self, request):
        self.runs.append((time.monotonic(), request))
        self.fleet.record.add(
            f"endpoint {self.name} runs {request.method} {request.target} "
            f"id {request.get('X-Attempt-Id')} caller {request.get('X-Caller-Service')} "
            f"deadline {request.get('X-Deadline-Ms')} body {len(request.body)}"
        )


def configuration(version=1, routes=None, services=None, **extra):
    """Return a document of the operator with one idempotent and one unsafe route."""
    services = services or ["huvo11a"]
    routes = routes or [
        route("r-a", "/lohu930/", "idempotent", services[0]),
        route("r-b", "/pufi791/", "non_idempotent", services[0]),
        route("r-c", "/pule252/", "download", services[0]),
    ]
    return json.dumps(
        {
            "version": version,
            "routes": routes,
            "services": [
                {"name": each, "health_path": "/healthz", "max_connections": 330,
                 "protocol": "h1", "tls": False}
                for each in services
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 67108864,
                       "header_timeout_s": 3, "idle_timeout_s": 15},
            **extra,
        }
    ).encode()


def route(name, prefix, kind, service, timeout_s=4, attempts=2, priority=1):
    return {
        "name": name, "hostname": HOST, "path_prefix": prefix, "route_type": kind,
        "timeout_s": timeout_s, "target_latency_s": 1, "priority": priority,
        "service": service, "max_attempts": attempts,
    }


class Fleet:
    """The store, some daemons, and the endpoints beside them."""

    def __init__(self, record, services=("huvo11a",) * 3, extra_settings=None):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="laburnum-review-"))
        self.store = Store()
        self.extra_settings = extra_settings or {}
        self.services = services
        self.daemons = []
        self.endpoints = []

    async def start(self, document=None, prepare=None):
        await self.store.start()
        document = document or configuration(services=sorted(set(self.services)))
        self.store.put("keyed.op", "config", document)
        for number, service in enumerate(self.services):
            daemon = Daemon(self, f"sidecar-makati-{number + 1}", service)
            self.daemons.append(daemon)
        if prepare is not None:
            await prepare(self.daemons)
        for daemon in self.daemons:
            await daemon.start()
        for number, daemon in enumerate(self.daemons):
            endpoint = Endpoint(self, daemon, f"i-{number + 1:08x}", daemon.service)
            self.endpoints.append(endpoint)
            await endpoint.start()
        ready = await asyncio.gather(*(each.wait_ready() for each in self.daemons))
        for daemon, is_ready in zip(self.daemons, ready):
            if not is_ready:
                reason = daemon.log_text()[-500:]
                raise RuntimeError(f"{daemon.name} is not ready: {reason}")
        await asyncio.sleep(2.5)

    async def stop(self, keep=False):
        for daemon in self.daemons:
            if daemon.process is not None and daemon.process.returncode is None:
                daemon.process.send_signal(signal.SIGCONT)
                daemon.process.kill()
                await daemon.process.wait()
        for endpoint in self.endpoints:
            await endpoint.stop()
        await self.store.stop()
        if not keep:
            shutil.rmtree(self.folder, ignore_errors=True)


def _end_all(*_):
    """End all processes that were started, and this one."""
    for process in STARTED:
        if process.returncode is None:
            process.kill()
    os._exit(2)


def main(case, folder, limit_s=115):
    """Run a case and exit with 1 if it saw its rule broken, 0 if not, 2 if it failed.

    :param case: gets the record and whether to make trouble; returns whether the rule
        held.
    """
    record = Record(pathlib.Path(folder) / "record.txt")
    # The machines of the site files have so many descriptors; daemons inherit the limit.
    _, highest = resource.getrlimit(resource.RLIMIT_NOFILE)
    if highest != resource.RLIM_INFINITY and highest < MAX_FDS:
        print(f"exit 2: a process may open {highest} descriptors, {MAX_FDS} are needed")
        sys.exit(2)
    resource.setrlimit(resource.RLIMIT_NOFILE, (MAX_FDS, highest))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {trouble}")

    signal.signal(signal.SIGTERM, _end_all)

    async def limited():
        async with asyncio.timeout(limit_s):
            return await case(record, trouble)

    try:
        held = asyncio.run(limited())
        code = 0 if held else 1
    except Exception as error:
        record.add(f"could not run: {error!r}")
        code = 2
    record.add(f"exit {code}")
    record.write()
    print(f"exit {code}: {record.lines[-2]}")
    sys.exit(code)
