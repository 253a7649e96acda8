"""Daemon.

Puts the parts together and runs them until a signal ends the process.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine

import aiohttp

from laburnumscale.channels import PeerChannels
from laburnumscale.daemonparts import (
    Core,
    EntryRole,
    GuardRole,
    SettingsRole,
    build_entry_role,
    build_gossip,
    build_guard_role,
    build_operators,
    build_settings_role,
)
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import Deadline
from laburnumscale.draining import EXIT_MARGIN_MS, FLUSH_TIMEOUT_MS, Drain
from laburnumscale.errors import PartFailed
from laburnumscale.logs import get_logger
from laburnumscale.members import Members, new_incarnation
from laburnumscale.metrics import Metrics
from laburnumscale.operatorapi import OperatorApi
from laburnumscale.peers import serve_peers
from laburnumscale.platforms import get_platform_by_name
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsreloader import SettingsReloader
from laburnumscale.transmission import SendOnceRequest, TargetConnector
from laburnumscale.webserver import Server, serve_app
from laburnumscale_schema import peer_pb2

__all__ = ["Daemon"]

EXIT_AT_ONCE = 130
STARTING_MS = 1_000
KEEP_ALIVE_S = 4  # less than the idle limit of common HTTP servers
PEER_GRACE_S = 0.2  # peers ask again elsewhere


class Daemon:
    """One daemon with its four roles.

    :param settings_path: file that is read again when it has changed; empty for none.
    """

    def __init__(self, settings: DaemonSettings, settings_path: str = "") -> None:
        self.settings = settings
        self._reloading = SettingsReloader(settings, settings_path)
        self._stopping = asyncio.Event()
        self._drain_deadline = Deadline.after_ms(0)
        self._failed: PartFailed | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        self._handle_signals()
        timeout = aiohttp.ClientTimeout(total=None)
        connector = TargetConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            request_class=SendOnceRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            await self._run_parts(session)

    async def _run_parts(self, session: aiohttp.ClientSession) -> None:
        core = self._core(session)
        gossip = build_gossip(core)
        await gossip.join()
        get_logger().info("daemon started", incarnation=core.members.own.incarnation)
        guard_role = build_guard_role(core)
        settings_role = build_settings_role(core)
        entry_role = build_entry_role(core, guard_role)
        peer_server = await serve_peers(
            core.settings.peer_address,
            guard_role.guard,
            entry_role.settler,
            core.members,
            gossip.exchange.handle_request,
            core.feed,
            entry_role.keyed_calls,
        )
        await gossip.start(core.settings.peer_address)
        self._reloading.on_change(entry_role.runner.apply_settings)
        tasks = self._start_parts(core, guard_role, settings_role, entry_role)
        await self._until_stopped(
            core.feed.wait_for_tree(Deadline.after_ms(STARTING_MS))
        )
        callers = await serve_app(
            entry_role.entry.app(core.settings.body_limit_bytes),
            core.settings.caller_address,
            "caller_address",
        )
        operators = build_operators(core, guard_role, settings_role, entry_role)
        servers = await self._serve(core, guard_role, operators)
        core.members.serving = True
        get_logger().info("daemon serves callers", has_settings=core.feed.has_tree)
        await self._stopping.wait()
        get_logger().info("daemon draining")
        drain = Drain(
            core.members,
            guard_role.guard,
            entry_role.runner,
            gossip.exchange.exchange,
            entry_role.keyed_calls.hand_over,
            callers,
        )
        await drain.run(self._drain_deadline)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await gossip.leave()
        await asyncio.gather(
            *(server.close(Deadline.after_ms(FLUSH_TIMEOUT_MS)) for server in servers),
            peer_server.stop(PEER_GRACE_S),
        )
        await core.channels.close()
        get_logger().info("daemon stopped")
        if self._failed is not None:
            raise self._failed

    def _core(self, session: aiohttp.ClientSession) -> Core:
        settings = self.settings
        platform = get_platform_by_name(settings.platform, settings)
        metrics = Metrics()
        return Core(
            settings=settings,
            platform=platform,
            session=session,
            metrics=metrics,
            members=Members(self._own_member()),
            log=platform.log(session),
            feed=SettingsFeed(metrics, settings.isolation_ms),
            channels=PeerChannels(settings.peer_address_overrides),
        )

    def _start_parts(
        self,
        core: Core,
        guard_role: GuardRole,
        settings_role: SettingsRole,
        entry_role: EntryRole,
    ) -> list[asyncio.Task]:
        """Start what runs all the time."""
        parts = (
            self._reloading.watch(),
            settings_role.source.run(),
            settings_role.replicator.pull_forever(),
            settings_role.replicator.push_forever(),
            guard_role.stalls.watch(),
            guard_role.targets.watch_leases(),
            guard_role.guard.forget_gone_entries(core.members),
            entry_role.key_table.delete_expired_records(),
        )
        return [self._start_part(part) for part in parts]

    async def _serve(
        self, core: Core, guard_role: GuardRole, operators: OperatorApi
    ) -> list[Server]:
        """Start the servers that are not for callers."""
        settings, platform = core.settings, core.platform
        apps = (
            (operators.app(), settings.operator_address, "operator_address"),
            (
                platform.target_app(guard_role.targets, core.feed),
                settings.target_address,
                "target_address",
            ),
            (
                operators.readiness_app(platform.readiness_path),
                settings.readiness_address,
                "readiness_address",
            ),
            (operators.metrics_app(), settings.metrics_address, "metrics_address"),
        )
        return [
            await serve_app(app, address, option)
            for app, address, option in apps
            if address is not None
        ]

    async def _until_stopped(self, awaitable: Coroutine) -> None:
        """Wait for the end of an awaitable, or for a signal that ends the process."""
        tasks = [
            asyncio.create_task(awaitable),
            asyncio.create_task(self._stopping.wait()),
        ]
        await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in tasks:
            task.cancel()

    def _start_part(self, part: Coroutine) -> asyncio.Task:
        task = asyncio.create_task(part, name=part.__qualname__)
        task.add_done_callback(self._part_ended)
        return task

    def _part_ended(self, task: asyncio.Task) -> None:
        """End the daemon if a part of it failed: half a daemon misleads callers."""
        if task.cancelled() or task.exception() is None:
            return
        error = PartFailed(task.get_name(), repr(task.exception()))
        get_logger().error("part failed", reason=str(error))
        self._failed = error
        self._begin_to_stop()

    def _own_member(self) -> peer_pb2.Member:
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
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop)
        loop.add_signal_handler(signal.SIGHUP, self._reloading.reload)

    def _stop(self) -> None:
        if self._stopping.is_set():
            os._exit(EXIT_AT_ONCE)
        self._begin_to_stop()

    def _begin_to_stop(self) -> None:
        """Let the time of the drain begin, also for a daemon that still starts."""
        drain_ms = max(0, self.settings.drain_ms - EXIT_MARGIN_MS)
        self._drain_deadline = Deadline.after_ms(drain_ms)
        self._stopping.set()
