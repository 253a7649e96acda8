"""Daemon.

Puts the parts together and runs them until a signal ends the process.
"""

import asyncio
import os
import signal

import aiohttp

from laburnumscale.announcements import announcement_app
from laburnumscale.calls import CallRunner
from laburnumscale.channels import PeerChannels
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import Deadline
from laburnumscale.entry import Entry
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
from laburnumscale.platformlog import PlatformLog
from laburnumscale.returning import Returning
from laburnumscale.routing import Router
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.stalls import LoopStalls
from laburnumscale.targets import LocalTargets
from laburnumscale.webserver import serve_app
from laburnumscale_schema import peer_pb2

__all__ = ["Daemon"]

EXIT_AT_ONCE = 130


class Daemon:
    """One daemon with its four roles."""

    def __init__(self, settings: DaemonSettings) -> None:
        self.settings = settings
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave gracefully."""
        self._handle_signals()
        timeout = aiohttp.ClientTimeout(total=None)
        connector = aiohttp.TCPConnector(limit=0, limit_per_host=0)
        async with aiohttp.ClientSession(
            connector=connector,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
        ) as session:
            await self._run_parts(session)

    async def _run_parts(self, session: aiohttp.ClientSession) -> None:
        settings = self.settings
        metrics = Metrics()
        members = Members(self._own_member())
        log = PlatformLog(settings.log_url, session)
        feed = SettingsFeed(log, metrics)
        targets = LocalTargets(settings.daemon, members, metrics)
        stalls = LoopStalls()
        returning = Returning(session, metrics, targets.tell)
        health = TargetHealth(returning, stalls, metrics)
        guard = Guard(
            settings.daemon,
            settings.data_centre,
            targets,
            feed,
            health,
            session,
            metrics,
        )
        channels = PeerChannels(settings.peer_address_overrides)
        gossip = Gossip(
            members,
            channels,
            log,
            metrics,
            seeds=settings.seed_addresses,
            revision=lambda: feed.tree.revision,
        )
        await gossip.join()
        router = Router(members, feed, PathHealth(channels, metrics), health)
        runner = CallRunner(members, guard, channels, router)
        key_table = KeyTable(
            settings.daemon, members.own.incarnation, settings.key_life_ms, metrics
        )
        keyed_calls = KeyedCalls(members, feed, runner, channels, key_table, metrics)
        entry = Entry(members, feed, runner, keyed_calls, key_table, metrics)
        peer_server = await serve_peers(
            settings.peer_address, guard, gossip.exchange.answer, feed, keyed_calls
        )
        await gossip.start(settings.peer_address)
        servers = [
            await serve_app(
                entry.app(settings.body_limit_bytes), settings.caller_address
            ),
            await serve_app(
                Operators(
                    members, feed, targets, router, metrics, settings.isolation_ms
                ).app(),
                settings.operator_address,
            ),
            await serve_app(
                announcement_app(settings.daemon, targets), settings.target_address
            ),
        ]
        tasks = [
            asyncio.create_task(part)
            for part in (
                feed.tail(),
                stalls.watch(),
                targets.watch_leases(),
                key_table.forget_expired(),
            )
        ]
        get_logger().info("daemon started", incarnation=members.own.incarnation)
        await self._stopping.wait()
        get_logger().info("daemon draining")
        members.set_draining()
        await keyed_calls.hand_over(Deadline.after_ms(settings.drain_ms))
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for server in servers:
            server.close()
            await server.wait_closed()
        await peer_server.stop(settings.drain_ms / 1000)
        await gossip.leave()
        await channels.close()
        get_logger().info("daemon stopped")

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
