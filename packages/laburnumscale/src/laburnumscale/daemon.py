"""Daemon.

Puts the parts together and runs them until a signal ends the process.
"""

import asyncio
import os
import signal
from collections.abc import Coroutine

import aiohttp

from laburnumscale.attempting import Attempter
from laburnumscale.attempts import AttemptTable
from laburnumscale.calls import CallRunner
from laburnumscale.channels import PeerChannels
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import Deadline
from laburnumscale.draining import FLUSH_LIMIT_MS, Drain
from laburnumscale.entry import Entry
from laburnumscale.errors import PartFailed
from laburnumscale.gossip import Gossip
from laburnumscale.guard import Guard
from laburnumscale.health import TargetHealth
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.logs import get_logger
from laburnumscale.members import Members, new_incarnation
from laburnumscale.metrics import Metrics
from laburnumscale.operators import Operators
from laburnumscale.pathhealth import PathHealth
from laburnumscale.peers import serve_peers
from laburnumscale.platforms import get_platform_by_name
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.returning import Returning
from laburnumscale.routing import Router
from laburnumscale.sending import SendOnceRequest
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsoperators import SettingsOperators
from laburnumscale.settingspublisher import SettingsPublisher
from laburnumscale.settingsrelay import SettingsRelay
from laburnumscale.settling import Settler
from laburnumscale.stalls import LoopStalls
from laburnumscale.targets import LocalTargets
from laburnumscale.webserver import serve_app
from laburnumscale_schema import peer_pb2

__all__ = ["Daemon"]

EXIT_AT_ONCE = 130
STARTING_MS = 1_000
KEEP_ALIVE_S = 4  # less than the idle limit of common HTTP servers
PEER_GRACE_S = 0.5


class Daemon:
    """One daemon with its four roles."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self._stopping = asyncio.Event()
        self._failed: PartFailed | None = None

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        self._handle_signals()
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            request_class=SendOnceRequest,
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            await self._run_parts(session)

    async def _run_parts(self, session: aiohttp.ClientSession) -> None:
        settings = self.settings
        platform = get_platform_by_name(settings.platform, settings)
        names = platform.header_names
        metrics = Metrics()
        members = Members(self._own_member())
        log = platform.log(session)
        feed = SettingsFeed(metrics, settings.isolation_ms)
        channels = PeerChannels(settings.peer_address_overrides)
        gossip = Gossip(
            members,
            channels,
            log,
            metrics,
            seeds=settings.seed_addresses,
            revision=lambda: feed.tree.revision,
            heard_revision=feed.hear,
        )
        await gossip.join()
        get_logger().info("daemon started", incarnation=members.own.incarnation)
        targets = LocalTargets(settings.daemon, members, metrics)
        stalls = LoopStalls()
        returning = Returning(session, metrics, targets.tell)
        health = TargetHealth(returning, stalls, metrics)
        guard = Guard(
            members.own,
            targets,
            feed,
            health,
            session,
            metrics,
            AttemptTable(members.own.incarnation),
            names,
        )
        seeds = tuple(str(address) for address in settings.seed_addresses)
        relay = SettingsRelay(members, feed, channels, seeds, metrics)
        source = platform.settings_source(feed, log, metrics, relay.is_tailer)
        publisher = SettingsPublisher(
            settings.daemon, feed, source, relay, log, metrics
        )
        settler = Settler(members, guard.attempts, channels, metrics)
        attempter = Attempter(members, guard, channels, settler)
        router = Router(members, feed, PathHealth(channels, metrics), health)
        budget = RetryBudget(settings.retry_slack_attempts, lambda: members.group_size)
        runner = CallRunner(
            attempter, router, metrics, budget, names, settings.caller_service
        )
        key_table = KeyTable(
            settings.daemon, members.own.incarnation, settings.key_life_ms, metrics
        )
        keyed_calls = KeyedCalls(members, feed, runner, channels, key_table, metrics)
        entry = Entry(
            members,
            feed,
            runner,
            keyed_calls,
            key_table,
            metrics,
            names,
            settings.routes_only,
        )
        peer_server = await serve_peers(
            settings.peer_address,
            guard,
            settler,
            members,
            gossip.exchange.answer,
            feed,
            keyed_calls,
        )
        await gossip.start(settings.peer_address)
        tasks = [
            self._start_part(part)
            for part in (
                source.run(),
                relay.pull_forever(),
                relay.push_forever(),
                stalls.watch(),
                targets.watch_leases(),
                guard.forget_gone_entries(members),
                key_table.forget_expired(),
            )
        ]
        await self._until_stopped(feed.wait_tree(Deadline.after_ms(STARTING_MS)))
        callers = await serve_app(
            entry.app(settings.body_limit_bytes),
            settings.caller_address,
            "caller_address",
        )
        operators = Operators(
            members,
            feed,
            targets,
            router,
            metrics,
            SettingsOperators(feed, publisher, log, members),
        )
        servers = [
            await serve_app(app, address, option)
            for app, address, option in (
                (operators.app(), settings.operator_address, "operator_address"),
                (
                    platform.target_app(targets),
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
            if address is not None
        ]
        members.serving = True
        get_logger().info("daemon serves callers", has_settings=feed.has_tree)
        await self._stopping.wait()
        get_logger().info("daemon draining")
        drain = Drain(
            members,
            guard,
            runner,
            gossip.exchange.exchange,
            keyed_calls.hand_over,
            callers,
        )
        await drain.run(settings.drain_ms)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in servers:
            await server.close(Deadline.after_ms(FLUSH_LIMIT_MS))
        await gossip.leave()
        await peer_server.stop(PEER_GRACE_S)
        await channels.close()
        get_logger().info("daemon stopped")
        if self._failed is not None:
            raise self._failed

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
        self._stopping.set()

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

    def _stop(self) -> None:
        if self._stopping.is_set():
            os._exit(EXIT_AT_ONCE)
        self._stopping.set()
