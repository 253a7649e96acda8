"""Fleet of processes.

Starts daemons and stand-ins on free ports and ends what it started.
"""

import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path

import attrs

__all__ = ["DaemonProcess", "Fleet", "Reply", "TargetProcess", "wait_until"]

WAIT_LIMIT_S = 30.0
POLL_INTERVAL_S = 0.05
TERM_LIMIT_S = 20.0
LOWEST_PORT = 10_000
HIGHEST_PORT = 32_000
BLOCK_PORTS = 500
ROLES = ("caller", "operator", "peer", "target")


def wait_until(condition: Callable[[], bool], what: str, limit_s=WAIT_LIMIT_S) -> float:
    """Wait for a condition and return the seconds that it took."""
    started_at_s = time.monotonic()
    while not condition():
        waited_s = time.monotonic() - started_at_s
        assert waited_s < limit_s, f"waited {limit_s} s in vain: {what}"
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at_s


@attrs.frozen
class Reply:
    """An HTTP answer; ``status`` 0 stands for a broken connection."""

    status: int
    headers: dict
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)


def request(method: str, url: str, body=None, headers=None, timeout_s=30.0) -> Reply:
    """Send one HTTP request without any proxy."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    wanted = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with opener.open(wanted, timeout=timeout_s) as response:
            return Reply(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Reply(error.code, dict(error.headers), error.read())
    except (OSError, urllib.error.URLError, ValueError):
        return Reply(0, {}, b"")
    except Exception as error:  # http.client raises several kinds for cut bodies
        return Reply(0, {}, repr(error).encode())


@attrs.define(eq=False)
class TargetProcess:
    """A target that was started."""

    service: str
    endpoint: str
    port: int
    process: subprocess.Popen
    arguments: list[str] = attrs.field(factory=list)

    def ledger(self) -> list[dict]:
        """Return what the target has run."""
        return request("GET", f"http://127.0.0.1:{self.port}/ledger").json()

    def faults(self, **faults) -> None:
        """Set failures of the target."""
        body = json.dumps(faults).encode()
        request("POST", f"http://127.0.0.1:{self.port}/faults", body)


def can_bind(port: int) -> bool:
    """Tell whether a port is free."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class PortBlock:
    """A block of ports below the system's range for outgoing connections.

    The first port of the block stays bound, so that no other test takes the block.
    """

    def __init__(self) -> None:
        starts = list(range(LOWEST_PORT, HIGHEST_PORT, BLOCK_PORTS))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            self._lock = socket.socket()
            try:
                self._lock.bind(("127.0.0.1", start))
            except OSError:
                self._lock.close()
                continue
            self.ports = range(start + 1, start + BLOCK_PORTS)
            return
        raise AssertionError("no block of ports is free")

    def close(self) -> None:
        """Give the block back."""
        self._lock.close()


@attrs.define(eq=False)
class Link:
    """A fault-injecting link that was started."""

    name: str
    port: int
    control_port: int

    def faults(self, **directions: dict) -> dict:
        """Set the faults of ``forward`` and ``backward``; return passed bytes."""
        url = f"http://127.0.0.1:{self.control_port}/faults/{self.name}"
        return request("POST", url, json.dumps(directions).encode()).json()


@attrs.define(eq=False)
class DaemonProcess:
    """A daemon that was started."""

    name: str
    data_centre: str
    ports: dict[str, int]
    settings_path: Path
    process: subprocess.Popen

    @property
    def operator(self) -> str:
        """Return the address for operators."""
        return f"127.0.0.1:{self.ports['operator']}"

    @property
    def callers(self) -> str:
        """Return the base URL for callers."""
        return f"http://127.0.0.1:{self.ports['caller']}"

    def call(self, path: str, method="GET", body=None, headers=None) -> Reply:
        """Send a call of a caller."""
        return request(method, self.callers + path, body, headers)

    def status(self) -> dict:
        """Return the daemon's view of the fleet."""
        return request("GET", f"http://{self.operator}/v1/status").json()

    def ready(self) -> bool:
        """Tell whether the daemon is ready."""
        return request("GET", f"http://{self.operator}/readyz").status == 200

    def endpoints(self, service: str) -> dict[str, str]:
        """Return the state of each endpoint of a service."""
        return {
            endpoint["endpoint"]: endpoint["state"]
            for member in self.status()["members"]
            for endpoint in member.get("endpoints", [])
            if endpoint["service"] == service
        }


class Fleet:
    """Processes of one test; ``close`` ends them all."""

    def __init__(self, directory: str | None = None) -> None:
        self._scratch = tempfile.TemporaryDirectory()
        self.directory = Path(directory or self._scratch.name)
        self.processes: list[subprocess.Popen] = []
        self.daemons: dict[str, DaemonProcess] = {}
        self.targets: dict[str, TargetProcess] = {}
        self.links: dict[str, Link] = {}
        self.log_port = 0
        self.log_process: subprocess.Popen | None = None
        self._daemon_ports: dict[str, dict[str, int]] = {}
        self._control_port = 0
        self._block = PortBlock()
        self._ports = iter(self._block.ports)

    def free_port(self) -> int:
        """Return a port that no one uses and that was not returned before."""
        for port in self._ports:
            if can_bind(port):
                return port
        raise AssertionError("the block of ports is used up")

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python program of this environment."""
        with (self.directory / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments], stdout=output, stderr=output
            )
        self.processes.append(process)
        return process

    def start_log(self) -> None:
        """Start the stand-in for the log."""
        self.log_port = self.log_port or self.free_port()
        port = str(self.log_port)
        self.log_process = self.start("log", "-m", "tests.standins.log", "--port", port)
        url = f"http://127.0.0.1:{self.log_port}/streams/settings"
        wait_until(lambda: request("GET", url).status == 200, "the log answers")

    def start_store(self) -> None:
        """Start the stand-in for the platform's store in place of the log."""
        self.log_port = self.log_port or self.free_port()
        port = str(self.log_port)
        self.start("store", "-m", "tests.standins.store", "--port", port)
        url = f"http://127.0.0.1:{self.log_port}/counts"
        wait_until(lambda: request("GET", url).status == 200, "the store answers")

    def store(self, path: str, body: bytes = b"") -> Reply:
        """Send a request to the store's test interface."""
        return request("POST", f"http://127.0.0.1:{self.log_port}/{path}", body)

    def log_faults(self, **faults) -> None:
        """Set failures of the log."""
        url = f"http://127.0.0.1:{self.log_port}/faults"
        request("POST", url, json.dumps(faults).encode())

    def daemon_ports(self, name: str) -> dict[str, int]:
        """Return the ports of a daemon, also before it is started."""
        if name not in self._daemon_ports:
            self._daemon_ports[name] = {role: self.free_port() for role in ROLES}
        return self._daemon_ports[name]

    def link(self, name: str, to_port: int) -> Link:
        """Start a link to a port and return it."""
        if not self._control_port:
            self._control_port = self.free_port()
            control = ("--port", str(self._control_port))
            self.start("links", "-m", "tests.standins.link", *control)
            url = f"http://127.0.0.1:{self._control_port}/healthz"
            wait_until(lambda: request("GET", url).status == 200, "the links answer")
        link = Link(name, self.free_port(), self._control_port)
        url = f"http://127.0.0.1:{self._control_port}/links/{name}"
        body = json.dumps({"port": link.port, "to_port": to_port}).encode()
        assert request("POST", url, body).status == 200, name
        self.links[name] = link
        return link

    def link_daemons(self, source: str, destination: str) -> Link:
        """Put a link on the way from one daemon to another.

        Call it before the source is started; the link is named ``source>destination``.
        """
        name = f"{source}>{destination}"
        return self.link(name, self.daemon_ports(destination)["peer"])

    def _overrides(self, source: str) -> dict[str, str]:
        overrides = {}
        for name, link in self.links.items():
            link_source, separator, destination = name.partition(">")
            if separator and link_source == source:
                announced = f"127.0.0.1:{self.daemon_ports(destination)['peer']}"
                overrides[announced] = f"127.0.0.1:{link.port}"
        return overrides

    def start_daemon(self, name: str, data_centre: str, **settings) -> DaemonProcess:
        """Start a daemon, or start it again on the same ports."""
        ports = self.daemon_ports(name)
        path = self.directory / f"{name}.jsonc"
        value = {
            "daemon": name,
            "data_centre": data_centre,
            "log_url": f"http://127.0.0.1:{self.log_port}",
            **{f"{role}_address": f"127.0.0.1:{ports[role]}" for role in ROLES},
            "peer_address_overrides": self._overrides(name),
            **settings,
        }
        path.write_text(json.dumps(value, indent=2))
        process = self.start(name, "-m", "laburnumscaled", str(path))
        daemon = DaemonProcess(name, data_centre, ports, path, process)
        self.daemons[name] = daemon
        return daemon

    def start_target(
        self,
        service: str,
        endpoint: str,
        daemon: str,
        kind: str = "target",
        **options,
    ) -> TargetProcess:
        """Start a target beside a daemon.

        :param kind: module of the stand-in.
        """
        port = self.free_port()
        values = {
            "port": port,
            "daemon": f"127.0.0.1:{self.daemons[daemon].ports['target']}",
            "service": service,
            "endpoint": endpoint,
            **options,
        }
        arguments = [
            part
            for name, value in values.items()
            for part in (f"--{name.replace('_', '-')}", str(value))
        ]
        process = self.start(endpoint, "-m", f"tests.standins.{kind}", *arguments)
        target = TargetProcess(service, endpoint, port, process, arguments)
        self.targets[endpoint] = target
        return target

    def restart_target(self, endpoint: str) -> TargetProcess:
        """Start a target again that has ended, with its old options and port."""
        old = self.targets[endpoint]
        process = self.start(endpoint, "-m", "tests.standins.target", *old.arguments)
        self.targets[endpoint] = attrs.evolve(old, process=process)
        return self.targets[endpoint]

    def wait_ready(self) -> None:
        """Wait until all daemons are ready and know all targets as ready."""
        wanted = {(t.service, t.endpoint) for t in self.targets.values()}

        def settled(daemon: DaemonProcess) -> bool:
            if not daemon.ready():
                return False
            known = {
                (endpoint["service"], endpoint["endpoint"])
                for member in daemon.status()["members"]
                for endpoint in member.get("endpoints", [])
            }
            return wanted <= known

        for daemon in self.daemons.values():
            wait_until(lambda d=daemon: settled(d), f"{daemon.name} is ready")

    def ctl(self, daemon: str, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command line against a daemon."""
        command = [sys.executable, "-m", "laburnumscalectl"]
        command += ["--daemon", self.daemons[daemon].operator, *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def stop(self, process: subprocess.Popen, number=signal.SIGTERM) -> int:
        """Send a signal to a process, wait for its end and return its exit code."""
        process.send_signal(number)
        return process.wait(TERM_LIMIT_S)

    def close(self) -> None:
        """End all processes that were started."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT) if process.poll() is None else None
                process.kill()
        for process in self.processes:
            process.wait()
        self._block.close()
        self._scratch.cleanup()
