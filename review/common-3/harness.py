"""Harness for the cases of the third review.

Starts daemons with the command and the template of the deploy file, and stand-ins for
the store, the endpoints and the clients, all on loopback addresses. The stand-ins use
the standard library only.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
BOUNDS = {
    "drain_s": 2,
    "grace_s": 6,
    "config_apply_s": 2,
    "budget_ratio": 0.2,
    "retry_slack": 56,
    "floor_share": 0.7,
    "stable_window_s": 3,
}


def free_port():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Record:
    """The file record.txt, which lists what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.start:8.3f} {text}\n")
        self.file.flush()


async def read_head(reader):
    """Return the start line and the fields (lower case) of a message; None at EOF."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if fields.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            if size == 0:
                while (await reader.readuntil(b"\r\n")) != b"\r\n":
                    pass
                return body
            body += await reader.readexactly(size)
            await reader.readexactly(2)
    length = int(fields.get("content-length", 0))
    return await reader.readexactly(length) if length else b""


class Store:
    """The platform's store, as far as the daemons use it (PROTOCOL.md)."""

    def __init__(self):
        self.topics = {}
        self.epochs = {}
        self.era = 1
        self.down = False
        self.changed = asyncio.Event()
        self.port = 0
        self.writers = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def set_down(self, down):
        self.down = down
        if down:
            for writer in list(self.writers):
                writer.transport.abort()

    def come_back(self, topic, count):
        """Come back from a copy that has only so many records of a topic."""
        del self.topics.setdefault(topic, [])[count:]
        self.epochs.clear()
        self.era += 1
        self.set_down(False)

    def put(self, topic, key, value):
        self._append(topic, [bytes([len(key)]) + key.encode() + value])

    def _append(self, topic, records):
        kept = self.topics.setdefault(topic, [])
        offset = len(kept)
        kept.extend(records)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    async def _serve(self, reader, writer):
        if self.down:
            writer.transport.abort()
            return
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                status, kind, answer = await self._answer(head[0], body)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\n"
                    f"Store-Era: {self.era}\r\n"
                    f"Content-Length: {len(answer)}\r\n\r\n".encode()
                    + answer
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        path, _, query = target.partition("?")
        args = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        topic = args.get("topic", "")
        if path == "/-/log-append":
            records, position = [], 0
            while position < len(body):
                (size,) = struct.unpack_from(">I", body, position)
                records.append(body[position + 4 : position + 4 + size])
                position += 4 + size
            if "producer" in args:
                key, epoch = (topic, args["producer"]), int(args["epoch"])
                if epoch < self.epochs.get(key, 0):
                    return 409, "application/json", b'{"why":"fenced"}'
                self.epochs[key] = epoch
            offset = self._append(topic, records)
            end = len(self.topics[topic])
            answer = json.dumps({"offset": offset, "end": end}).encode()
            return 200, "application/json", answer
        kept = self.topics.setdefault(topic, [])
        if path == "/-/log-read":
            start = int(args["from"])
            if start > len(kept):
                return 410, "application/json", b'{"first":0}'
            deadline = time.monotonic() + int(args.get("wait_ms", 0)) / 1000
            while start >= len(kept) and time.monotonic() < deadline:
                try:
                    async with asyncio.timeout(deadline - time.monotonic()):
                        await self.changed.wait()
                except TimeoutError:
                    break
            answer = struct.pack(">QQ", len(kept), 0)
            answer += b"".join(struct.pack(">I", len(r)) + r for r in kept[start:])
            return 200, "application/octet-stream", answer
        if path == "/-/log-newest":
            newest = {}
            for offset, record in enumerate(kept):
                key = record[1 : 1 + record[0]].decode()
                value = base64.b64encode(record[1 + record[0] :]).decode()
                newest[key] = {"key": key, "value": value, "offset": offset}
            items = [newest[key] for key in sorted(newest)]
            answer = {"items": items, "more": False, "end": len(kept)}
            return 200, "application/json", json.dumps(answer).encode()
        return 404, "application/json", b"{}"


def render(template, fields):
    """Fill in a template of settings, as DEPLOY.md tells."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = look_up(match[1])
        return "" if value is None else match[2].replace("{{.}}", str(value))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(look_up(m[1])), text)


class Machine:
    """One machine: a daemon, and the addresses that the platform gives to it."""

    def __init__(self, fleet, name, zone, service, memory_mb):
        self.fleet, self.name, self.zone, self.service = fleet, name, zone, service
        self.memory_mb = memory_mb
        self.outbound, self.readiness, self.control = (free_port() for _ in range(3))
        self.peer, self.operator, self.app = (free_port() for _ in range(3))
        self.process = None
        self.log_path = os.path.join(fleet.folder, f"{name}.log")

    async def start(self):
        with open(os.path.join(ROOT, "deploy", "daemon.jsonc")) as file:
            template = file.read()
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "service": self.service,
            "ip": "127.0.0.1",
            "listen": {
                "outbound": f"127.0.0.1:{self.outbound}",
                "readiness": f"127.0.0.1:{self.readiness}",
                "control": f"127.0.0.1:{self.control}",
            },
            "port_range": {"0": self.peer, "1": self.operator},
            "platform": {"address": f"127.0.0.1:{self.fleet.store.port}"},
            "bounds": BOUNDS,
            "heartbeat_s": 1.5,
            "limits": {"memory_mb": self.memory_mb},
        }
        path = os.path.join(self.fleet.folder, f"{self.name}.jsonc")
        with open(path, "w") as file:
            file.write(render(template, fields))
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-P",
                "-m",
                "laburnumscaled",
                path,
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": os.path.join(ROOT, "target", "deps"),
                    "LABURNUMSCALE_SETTINGS": path,
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self.fleet.record(f"{self.name} started")

    def send_signal(self, number):
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /-/readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            async with asyncio.timeout(1):
                head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head[0] + " "
        except (OSError, TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if await self.is_ready():
                return
            await asyncio.sleep(0.1)
        raise Unrunnable(f"{self.name} is not ready after {limit_s} s")

    def memory_peak_mb(self):
        """Return the highest resident memory of the process, in MB of 1,000,000."""
        with open(f"/proc/{self.process.pid}/status") as file:
            for line in file:
                if line.startswith("VmHWM:"):
                    return int(line.split()[1]) * 1024 / 1e6
        return 0


class Unrunnable(Exception):
    """The case could not run."""


class Endpoint:
    """An endpoint beside a machine. ``handle`` runs the requests that it gets."""

    def __init__(self, machine, instance, handle, slots=5):
        self.machine, self.instance, self.handle = machine, instance, handle
        self.slots = slots
        self.state = "ready"
        self.beating = True
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.ran = []
        self.writers = set()
        self.server = None
        self.task = None

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.machine.app, limit=1 << 20
        )
        self.task = asyncio.create_task(self._beat())

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await self.handle(self, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def crash(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def announce(self):
        """Send a heartbeat and return the status of the answer; 0 without one."""
        body = {
            "address": f"127.0.0.1:{self.machine.app}",
            "born": self.born,
            "info": {
                "service": self.machine.service,
                "version": "v1",
                "zone": self.machine.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": next(self.sequence),
                "cold_left_s": 0,
            },
        }
        return await self.call("instances.heartbeat", body)

    async def call(self, call, body):
        payload = json.dumps(body).encode()
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self.machine.control
                )
                writer.write(
                    f"POST /-/rpc?call={call}&of={self.instance} HTTP/1.1\r\n"
                    f"Host: x\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(payload)}\r\n\r\n".encode()
                    + payload
                )
                head = await read_head(reader)
                writer.close()
                return int(head[0].split()[1]) if head else 0
        except (OSError, TimeoutError):
            return 0

    async def _beat(self):
        while True:
            if self.beating:
                await self.announce()
            await asyncio.sleep(0.75)


class Fleet:
    """The machines of a small deployment, with their store."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="case-")
        self.store = Store()
        self.machines = []
        self.endpoints = []

    async def add_machine(self, name, zone, service, memory_mb=300):
        machine = Machine(self, name, zone, service, memory_mb)
        self.machines.append(machine)
        await machine.start()
        return machine

    def configure(self, version, routes, services, **more):
        """Write a configuration as the operator does."""
        document = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": each, "health_path": "/healthz", "max_connections": 330}
                for each in services
            ],
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 67108864,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
            },
            **more,
        }
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        self.record(f"configuration {version} is acknowledged")

    async def close(self):
        for machine in self.machines:
            process = machine.process
            if process is not None and process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(name, prefix, route_type, service, timeout_s=4, **more):
    return {
        "name": name,
        "hostname": "desk.example",
        "path_prefix": prefix,
        "route_type": route_type,
        "timeout_s": timeout_s,
        "target_latency_s": 1,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


def answer_bytes(fields, body, status=200, more="", stamp="stamp"):
    """Return a complete answer of an endpoint to a request."""
    return (
        f"HTTP/1.1 {status} X\r\nX-Attempt-Id: {fields.get('x-attempt-id', '')}\r\n"
        f"X-Response-Stamp: {stamp}\r\nContent-Length: {len(body)}\r\n{more}\r\n"
    ).encode() + body


class Client:
    """A client's connection to the outbound address of its machine."""

    _ids = itertools.count(1)

    def __init__(self, machine):
        self.machine = machine
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.machine.outbound, limit=1 << 22
        )

    @classmethod
    def new_id(cls):
        return f"{next(cls._ids):016x}"

    @staticmethod
    def head(method, path, attempt, deadline_ms, more=""):
        return (
            f"{method} {path} HTTP/1.1\r\nHost: desk.example\r\n"
            f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline_ms}\r\n{more}\r\n"
        ).encode()

    async def read_answer(self, limit_s):
        """Return status, fields and body; status 0 if the connection ended."""
        try:
            async with asyncio.timeout(limit_s):
                head = await read_head(self.reader)
                if head is None:
                    return 0, {}, b""
                body = await read_body(self.reader, head[1])
                return int(head[0].split()[1]), head[1], body
        except (ConnectionError, asyncio.IncompleteReadError):
            return 0, {}, b""
        except TimeoutError:
            return -1, {}, b""

    def close(self):
        if self.writer is not None:
            self.writer.close()


def run_case(case, folder):
    """Run a case and exit with 1 if its rule was broken, 0 if it held, 2 otherwise."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(folder, "record.txt"))

    async def run():
        fleet = Fleet(record)
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await fleet.store.start()
        try:
            async with asyncio.timeout(115):
                return await case(fleet, record, trouble)
        finally:
            for each in fleet.endpoints:
                record(f"{each.instance} ran {len(each.ran)} requests: {each.ran}")
            await fleet.close()

    try:
        broken = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        print(f"could not run: {error!r}")
        sys.exit(2)
    record("RULE BROKEN" if broken else "rule held")
    print("RULE BROKEN" if broken else "rule held")
    sys.exit(1 if broken else 0)


async def answer_plainly(endpoint, reader, writer, work_s=0.03, size=10):
    """Run requests as a sound endpoint does, one after the other on a connection."""
    while (head := await read_head(reader)) is not None:
        line, fields = head
        if line.startswith("GET /healthz"):
            instance = endpoint.instance.encode()
            writer.write(
                b"HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % instance
            )
            continue
        await read_body(reader, fields)
        endpoint.ran.append(fields.get("x-attempt-id"))
        await asyncio.sleep(work_s)
        writer.write(answer_bytes(fields, b"x" * size))
        await writer.drain()


async def start_fleet(fleet, count, routes, handle, memory_mb=300, service="slot-desk"):
    """Start machines with an endpoint each, and wait until all know all of them."""
    fleet.configure(1, routes, [service])
    for number in range(count):
        zone = ("makati", "pasig")[number % 2]
        await fleet.add_machine(f"sidecar-{number + 1}", zone, service, memory_mb)
    for machine in fleet.machines:
        await machine.wait_ready()
    for number, machine in enumerate(fleet.machines):
        endpoint = Endpoint(machine, f"i-{number + 1}", handle)
        await endpoint.start()
        fleet.endpoints.append(endpoint)
    await asyncio.sleep(3)

