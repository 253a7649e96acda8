"""Fleet of processes.

Starts daemons and stand-ins on free ports, and stops them.
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

__all__ = ["DaemonProcess", "Fleet", "Response", "TargetProcess", "wait_until"]

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.05
TERM_TIMEOUT_S = 20.0
MIN_PORT = 10_000
MAX_PORT = 32_000
PORTS_PER_BLOCK = 500
PORT_ROLES = ("caller", "operator", "peer", "target")


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s=WAIT_TIMEOUT_S
) -> float:
    """Wait for a condition and return how long it took, in seconds.

    :param description: what is waited for, for the error message.
    :raises AssertionError: if the condition does not hold in time.
    """
    started_at_s = time.monotonic()
    while not condition():
        waited_s = time.monotonic() - started_at_s
        assert waited_s < timeout_s, (
            f"condition not met within {timeout_s} s: {description}"
        )
        time.sleep(POLL_INTERVAL_S)
    return time.monotonic() - started_at_s


@attrs.frozen
class Response:
    """An HTTP response; ``status`` is 0 if the connection failed."""

    status: int
    headers: dict
    body: bytes

    def json(self) -> dict:
        """Return the body as JSON."""
        return json.loads(self.body)


def request(method: str, url: str, body=None, headers=None, timeout_s=30.0) -> Response:
    """Send one HTTP request without a proxy and return its response."""
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    prepared = urllib.request.Request(
        url, data=body, method=method, headers=headers or {}
    )
    try:
        with opener.open(prepared, timeout=timeout_s) as response:
            return Response(response.status, dict(response.headers), response.read())
    except urllib.error.HTTPError as error:
        return Response(error.code, dict(error.headers), error.read())
    except (OSError, urllib.error.URLError, ValueError):
        return Response(0, {}, b"")
    except Exception as error:  # http.client raises various exceptions for cut bodies
        return Response(0, {}, repr(error).encode())


@attrs.define(eq=False)
class TargetProcess:
    """A running stand-in for a target."""

    service: str
    endpoint: str
    port: int
    process: subprocess.Popen
    arguments: list[str] = attrs.field(factory=list)
    kind: str = "target"

    def ledger(self) -> list[dict]:
        """Return the calls that the target has run."""
        return request("GET", f"http://127.0.0.1:{self.port}/ledger").json()

    def faults(self, **faults) -> None:
        """Set faults of the target by name."""
        body = json.dumps(faults).encode()
        request("POST", f"http://127.0.0.1:{self.port}/faults", body)


def can_bind(port: int) -> bool:
    """Return whether a port is free."""
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class PortBlock:
    """A block of ports below the range that the system uses for outgoing connections.

    The first port of the block stays bound, so that no other test uses the block.
    """

    def __init__(self) -> None:
        starts = list(range(MIN_PORT, MAX_PORT, PORTS_PER_BLOCK))
        random.SystemRandom().shuffle(starts)
        for start in starts:
            self._reservation = socket.socket()
            try:
                self._reservation.bind(("127.0.0.1", start))
            except OSError:
                self._reservation.close()
                continue
            self.ports = range(start + 1, start + PORTS_PER_BLOCK)
            return
        raise AssertionError("no free block of ports")

    def close(self) -> None:
        """Release the block."""
        self._reservation.close()


@attrs.define(eq=False)
class Link:
    """A running link that injects faults into the connections to a port."""

    name: str
    port: int
    control_port: int

    def faults(self, **directions: dict) -> dict:
        """Set the faults of ``forward`` and ``backward``; return byte counts."""
        url = f"http://127.0.0.1:{self.control_port}/faults/{self.name}"
        return request("POST", url, json.dumps(directions).encode()).json()


@attrs.define(eq=False)
class DaemonProcess:
    """A running daemon."""

    name: str
    data_centre: str
    ports: dict[str, int]
    settings_path: Path
    process: subprocess.Popen

    @property
    def operator_address(self) -> str:
        """Return the address for operators."""
        return f"127.0.0.1:{self.ports['operator']}"

    @property
    def callers(self) -> str:
        """Return the base URL for callers."""
        return f"http://127.0.0.1:{self.ports['caller']}"

    def call(self, path: str, method="GET", body=None, headers=None) -> Response:
        """Send a call as a caller does."""
        return request(method, self.callers + path, body, headers)

    def status(self) -> dict:
        """Return the daemon's view of the fleet."""
        return request("GET", f"http://{self.operator_address}/v1/status").json()

    def is_ready(self) -> bool:
        """Return whether the daemon is ready."""
        return request("GET", f"http://{self.operator_address}/readyz").status == 200

    def endpoints(self, service: str) -> dict[str, str]:
        """Return the state of each endpoint of a service."""
        return {
            endpoint["endpoint"]: endpoint["state"]
            for member in self.status()["members"]
            for endpoint in member.get("endpoints", [])
            if endpoint["service"] == service
        }


class Fleet:
    """Processes of one test; ``close`` stops them all.

    :ivar cleanups: what ``close`` does before it kills the processes.
    """

    def __init__(self, directory: str | None = None) -> None:
        self.cleanups = contextlib.ExitStack()
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
        self._port_block = PortBlock()
        self._ports = iter(self._port_block.ports)

    def free_port(self) -> int:
        """Return a port that is free and that was not returned before."""
        for port in self._ports:
            if can_bind(port):
                return port
        raise AssertionError("no free port left in the block")

    def start(self, name: str, *arguments: str) -> subprocess.Popen:
        """Start a Python program with the interpreter of this process.

        :param name: name of the log file, without its suffix.
        :param arguments: arguments of the interpreter.
        """
        with (self.directory / f"{name}.log").open("ab") as output:
            process = subprocess.Popen(
                [sys.executable, *arguments], stdout=output, stderr=output
            )
        self.processes.append(process)
        return process

    def start_log(self) -> None:
        """Start the stand-in for the log and wait until it answers."""
        self.log_port = self.log_port or self.free_port()
        port = str(self.log_port)
        self.log_process = self.start("log", "-m", "tests.standins.log", "--port", port)
        url = f"http://127.0.0.1:{self.log_port}/streams/settings"
        wait_until(lambda: request("GET", url).status == 200, "the log answers")

    def start_store(self) -> None:
        """Start the stand-in for the platform's store, instead of the log."""
        self.log_port = self.log_port or self.free_port()
        port = str(self.log_port)
        self.start("store", "-m", "tests.standins.store", "--port", port)
        url = f"http://127.0.0.1:{self.log_port}/counts"
        wait_until(lambda: request("GET", url).status == 200, "the store answers")

    def post_to_store(self, path: str, body: bytes = b"") -> Response:
        """Send a POST request to the test interface of the store."""
        return request("POST", f"http://127.0.0.1:{self.log_port}/{path}", body)

    def set_log_faults(self, **faults) -> None:
        """Set faults of the log by name."""
        url = f"http://127.0.0.1:{self.log_port}/faults"
        request("POST", url, json.dumps(faults).encode())

    def daemon_ports(self, name: str) -> dict[str, int]:
        """Return the ports of a daemon by role, even before it is started."""
        if name not in self._daemon_ports:
            self._daemon_ports[name] = {role: self.free_port() for role in PORT_ROLES}
        return self._daemon_ports[name]

    def link(self, name: str, to_port: int) -> Link:
        """Start a link that forwards to a port and return it."""
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
        """Start a link for the connections from one daemon to another.

        Must be called before the source is started. The link is named
        ``source>destination``.
        """
        name = f"{source}>{destination}"
        return self.link(name, self.daemon_ports(destination)["peer"])

    def _peer_address_overrides(self, source: str) -> dict[str, str]:
        overrides = {}
        for name, link in self.links.items():
            link_source, separator, destination = name.partition(">")
            if separator and link_source == source:
                announced_address = (
                    f"127.0.0.1:{self.daemon_ports(destination)['peer']}"
                )
                overrides[announced_address] = f"127.0.0.1:{link.port}"
        return overrides

    def start_daemon(self, name: str, data_centre: str, **settings) -> DaemonProcess:
        """Start a daemon, or restart it on the same ports."""
        ports = self.daemon_ports(name)
        path = self.directory / f"{name}.jsonc"
        value = {
            "daemon": name,
            "data_centre": data_centre,
            "log_url": f"http://127.0.0.1:{self.log_port}",
            **{f"{role}_address": f"127.0.0.1:{ports[role]}" for role in PORT_ROLES},
            "peer_address_overrides": self._peer_address_overrides(name),
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
        """Start a target that announces itself to a daemon.

        :param kind: name of the module of the stand-in.
        :param options: command line options of the stand-in.
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
        target = TargetProcess(service, endpoint, port, process, arguments, kind)
        self.targets[endpoint] = target
        return target

    def restart_target(self, endpoint: str) -> TargetProcess:
        """Restart a target that has exited, with the same options and port."""
        old = self.targets[endpoint]
        module = f"tests.standins.{old.kind}"
        process = self.start(endpoint, "-m", module, *old.arguments)
        self.targets[endpoint] = attrs.evolve(old, process=process)
        return self.targets[endpoint]

    def wait_ready(self) -> None:
        """Wait until all daemons are ready and know all targets."""
        expected = {(t.service, t.endpoint) for t in self.targets.values()}

        def is_up_to_date(daemon: DaemonProcess) -> bool:
            if not daemon.is_ready():
                return False
            known = {
                (endpoint["service"], endpoint["endpoint"])
                for member in daemon.status()["members"]
                for endpoint in member.get("endpoints", [])
            }
            return expected <= known

        for daemon in self.daemons.values():
            wait_until(lambda d=daemon: is_up_to_date(d), f"{daemon.name} is ready")

    def run_cli(self, daemon: str, *arguments: str) -> subprocess.CompletedProcess:
        """Run the operators' command line tool against a daemon."""
        command = [sys.executable, "-m", "laburnumscalectl"]
        command += ["--daemon", self.daemons[daemon].operator_address, *arguments]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=60, check=False
        )

    def stop(self, process: subprocess.Popen, signal_number=signal.SIGTERM) -> int:
        """Send a signal to a process, wait until it exits and return its exit code."""
        process.send_signal(signal_number)
        return process.wait(TERM_TIMEOUT_S)

    def close(self) -> None:
        """Kill all processes that were started and release the ports."""
        self.cleanups.close()
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.kill(process.pid, signal.SIGCONT) if process.poll() is None else None
                process.kill()
        for process in self.processes:
            process.wait()
        self._port_block.close()
        self._scratch.cleanup()
