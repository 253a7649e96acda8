"""Daemon.

Builds the parts of a daemon and runs them until a signal stops the process.
"""

import asyncio
import os
import signal
import socket
from collections.abc import Awaitable, Callable, Coroutine

import aiohttp
import attrs

from laburnumscale.attempttable import (
    MAX_CACHED_REPLY_BYTES,
    MAX_REPEATABLE_REPLY_BYTES,
)
from laburnumscale.channels import PeerChannels
from laburnumscale.codeversion import read_code_version
from laburnumscale.daemonparts import (
    EntryRole,
    GuardRole,
    SettingsRole,
    SharedParts,
    build_entry_role,
    build_gossip,
    build_guard_role,
    build_operator_api,
    build_settings_role,
)
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import Deadline
from laburnumscale.departurereplicator import DepartureReplicator
from laburnumscale.draining import EXIT_MARGIN_MS, FLUSH_TIMEOUT_MS, Drain
from laburnumscale.drainstate import DrainState
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.gossip import Gossip
from laburnumscale.keytable import MAX_STORED_BYTES
from laburnumscale.logcalls import CountedLog
from laburnumscale.logconnections import open_log_session
from laburnumscale.logs import get_logger
from laburnumscale.members import Members, new_incarnation
from laburnumscale.memory import MemoryBudget, resident_bytes
from laburnumscale.metrics import Metrics
from laburnumscale.operatorapi import OperatorApi
from laburnumscale.peers import PEER_SERVER_GRACE_S, serve_peers
from laburnumscale.peertraffic import PeerTraffic
from laburnumscale.platforms import get_platform_by_name
from laburnumscale.readerroles import ReaderRoles
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsreloader import SettingsReloader
from laburnumscale.supervision import run_supervised
from laburnumscale.transmission import SendOnceRequest, TargetConnector
from laburnumscale.webserver import Server, serve_app
from laburnumscale_schema import peer_pb2

__all__ = ["Daemon"]

FORCED_EXIT_CODE = 130
SETTINGS_TIMEOUT_MS = 1_000
BYTES_PER_MB = 1_000_000
#: The system takes no more from a target than this unread; on loopback, a response is
#: as fast with it. uvloop would otherwise read up to 250 KiB of each response at once.
TARGET_RECEIVE_BUFFER_BYTES = 64 * 1024
#: aiohttp stops reading a response at twice this size.
TARGET_READ_BUFFER_BYTES = 32 * 1024
KEEP_ALIVE_TIMEOUT_S = 4  # shorter than the idle timeout of common HTTP servers


class Daemon:
    """A daemon with its four roles: gossip, guard, settings and entry.

    :param settings_path: settings file, reloaded when it changes; empty for none.
    :ivar settings: the settings that were in effect at the start.
    """

    def __init__(self, settings: DaemonSettings, settings_path: str = "") -> None:
        self.settings = settings
        self._reloader = SettingsReloader(settings, settings_path)
        self._stop_requested = asyncio.Event()
        self._drain_state = DrainState()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        self._handle_signals()
        timeout = aiohttp.ClientTimeout(total=None)
        connector = TargetConnector(
            limit=0,
            keepalive_timeout=KEEP_ALIVE_TIMEOUT_S,
            socket_factory=_open_target_socket,
        )
        target_session = aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            request_class=SendOnceRequest,
            read_bufsize=TARGET_READ_BUFFER_BYTES,
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        async with target_session, open_log_session() as log_session:
            await self._run_until_stopped(target_session, log_session)

    async def _run_until_stopped(
        self, target_session: aiohttp.ClientSession, log_session: aiohttp.ClientSession
    ) -> None:
        shared = self._build_shared_parts(target_session, log_session)
        gossip = build_gossip(shared)
        await gossip.join()
        own = shared.members.own
        get_logger().info(
            "daemon started",
            incarnation=own.incarnation,
            peer_address=own.peer_address,
            members=shared.members.group_size,
            fleet_known=shared.members.fleet_known,
            fleet_size=shared.members.fleet_size,
            **attrs.asdict(read_code_version()),
        )
        guard_role = build_guard_role(shared)
        settings_role = build_settings_role(shared)
        entry_role = build_entry_role(shared, guard_role)
        gossip.on_probe_result(entry_role.quotas.view.record_probe)
        async with serve_peers(
            shared.settings.peer_address,
            guard_role.guard,
            entry_role.settler,
            shared.members,
            gossip.exchange.handle_request,
            shared.feed,
            entry_role.keyed_calls,
            entry_role.quotas,
        ) as peer_server:
            await gossip.start(shared.settings.peer_address)
            tasks = self._start_background_tasks(
                shared, guard_role, settings_role, entry_role
            )
            servers = await self._serve_until_stopped(
                shared, guard_role, settings_role, entry_role, gossip
            )
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            await gossip.leave()
            flush_deadline = Deadline.after_ms(FLUSH_TIMEOUT_MS)
            await asyncio.gather(
                *(server.close(flush_deadline) for server in servers),
                peer_server.stop(PEER_SERVER_GRACE_S),
            )
        await shared.channels.close()
        get_logger().info("daemon stopped")

    async def _serve_until_stopped(
        self,
        shared: SharedParts,
        guard_role: GuardRole,
        settings_role: SettingsRole,
        entry_role: EntryRole,
        gossip: Gossip,
    ) -> list[Server]:
        """Accept calls until a stop is requested, then drain.

        :returns: the servers that still listen, those for callers and peers excepted.
        """
        self._reloader.on_change(entry_role.runner.apply_settings)
        await self._wait_unless_stopped(
            shared.feed.wait_for_tree(Deadline.after_ms(SETTINGS_TIMEOUT_MS))
        )
        shared.memory.set_own_bytes(_own_memory_bytes())
        caller_server = await serve_app(
            entry_role.caller_api.app(shared.settings.body_limit_bytes),
            shared.settings.caller_address,
            "caller_address",
        )
        operator_api = build_operator_api(shared, guard_role, settings_role, entry_role)
        replicator = DepartureReplicator(
            shared.members, gossip.exchange, gossip.departure_records
        )
        servers = await self._start_servers(
            shared, guard_role, operator_api, replicator
        )
        shared.members.serving = True
        get_logger().info("daemon accepts calls", has_settings=shared.feed.has_tree)
        await self._stop_requested.wait()
        get_logger().info("daemon draining")
        drain = Drain(
            self._drain_state,
            shared.members,
            guard_role.guard,
            entry_role.runner,
            gossip.exchange.exchange,
            entry_role.keyed_calls.hand_over,
            caller_server,
        )
        await drain.run()
        return servers

    def _build_shared_parts(
        self, target_session: aiohttp.ClientSession, log_session: aiohttp.ClientSession
    ) -> SharedParts:
        settings = self.settings
        platform = get_platform_by_name(settings.platform, settings)
        metrics = Metrics()
        members = Members(self._build_own_member())
        traffic = PeerTraffic(members, metrics)
        return SharedParts(
            settings=settings,
            platform=platform,
            session=target_session,
            metrics=metrics,
            members=members,
            log=CountedLog(platform.log(log_session), metrics),
            feed=SettingsFeed(
                metrics, settings.isolation_ms, settings.settings_apply_ms
            ),
            channels=PeerChannels(settings.peer_address_overrides, traffic),
            drain_state=self._drain_state,
            notices=FleetNotices.create(metrics),
            roles=ReaderRoles(members),
            memory=MemoryBudget(
                settings.memory_limit_mb * BYTES_PER_MB, _own_memory_bytes(), metrics
            ),
        )

    def _start_background_tasks(
        self,
        shared: SharedParts,
        guard_role: GuardRole,
        settings_role: SettingsRole,
        entry_role: EntryRole,
    ) -> list[asyncio.Task]:
        """Start the tasks that run until the daemon stops.

        None of them ends the daemon: one that fails is started again.
        """
        parts: dict[str, Callable[[], Awaitable[None]]] = {
            "settings file": self._reloader.watch,
            "settings source": settings_role.source.run,
            "settings pull": settings_role.replicator.pull_forever,
            "settings push": settings_role.replicator.push_forever,
            "stalls": guard_role.stalls.watch,
            "target leases": guard_role.targets.watch_leases,
            "attempts": lambda: guard_role.guard.prune_attempts(shared.members),
            "orphaned runs": lambda: guard_role.guard.runs.watch_orphans(
                shared.members
            ),
            "quotas": entry_role.quotas.watch,
            "operation keys": entry_role.key_table.delete_expired_records,
        }
        return [
            asyncio.create_task(run_supervised(part, run, shared.metrics), name=part)
            for part, run in parts.items()
        ]

    async def _start_servers(
        self,
        shared: SharedParts,
        guard_role: GuardRole,
        operator_api: OperatorApi,
        replicator: DepartureReplicator,
    ) -> list[Server]:
        """Start all servers except those for callers and for peers."""
        settings, platform = shared.settings, shared.platform
        apps = (
            (operator_api.app(), settings.operator_address, "operator_address"),
            (
                platform.target_app(
                    guard_role.targets,
                    shared.feed,
                    replicator.replicate,
                    shared.metrics,
                ),
                settings.target_address,
                "target_address",
            ),
            (
                operator_api.readiness_app(platform.readiness_path),
                settings.readiness_address,
                "readiness_address",
            ),
            (operator_api.metrics_app(), settings.metrics_address, "metrics_address"),
        )
        return [
            await serve_app(app, address, option)
            for app, address, option in apps
            if address is not None
        ]

    async def _wait_unless_stopped(self, awaitable: Coroutine) -> None:
        """Wait for an awaitable, but cancel it if a stop is requested first."""
        tasks = [
            asyncio.create_task(awaitable),
            asyncio.create_task(self._stop_requested.wait()),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def _build_own_member(self) -> peer_pb2.Member:
        return peer_pb2.Member(
            daemon=self.settings.daemon,
            incarnation=new_incarnation(),
            version=1,
            peer_address=str(self.settings.peer_address),
            data_centre=self.settings.data_centre,
            state=peer_pb2.MEMBER_STATE_ALIVE,
        )

    def _handle_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._handle_stop_signal)
        loop.add_signal_handler(signal.SIGHUP, self._reloader.reload)

    def _handle_stop_signal(self) -> None:
        """Request a graceful stop; exit at once on a second signal."""
        if self._stop_requested.is_set():
            os._exit(FORCED_EXIT_CODE)
        self._request_stop()

    def _request_stop(self) -> None:
        """Request the stop and begin the drain, even during startup."""
        drain_ms = max(0, self.settings.drain_ms - EXIT_MARGIN_MS)
        self._drain_state.begin(Deadline.after_ms(drain_ms))
        self._stop_requested.set()


def _own_memory_bytes() -> int:
    """Return what the process needs for itself, with its caches of replies.

    These have limits of their own and are filled by ordinary calls.
    """
    return (
        resident_bytes()
        + MAX_CACHED_REPLY_BYTES
        + MAX_REPEATABLE_REPLY_BYTES
        + MAX_STORED_BYTES
    )


def _open_target_socket(address_info: tuple) -> socket.socket:
    """Return a socket for an entry of :func:`socket.getaddrinfo`."""
    family, kind, protocol, *_ = address_info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, TARGET_RECEIVE_BUFFER_BYTES)
    return opened
