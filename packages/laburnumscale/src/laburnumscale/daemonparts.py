"""Daemon parts.

Puts together the parts of each role of a daemon.
"""

import aiohttp
import attrs

from laburnumscale.attemptclient import AttemptClient
from laburnumscale.attemptsettler import AttemptSettler
from laburnumscale.attempttable import AttemptTable
from laburnumscale.callerapi import CallerApi
from laburnumscale.calls import CallRunner
from laburnumscale.channels import PeerChannels
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.gossip import Gossip
from laburnumscale.guard import Guard
from laburnumscale.health import TargetHealth
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.operatorapi import OperatorApi
from laburnumscale.pathhealth import PathHealth
from laburnumscale.platformlog import LogClient
from laburnumscale.platforms import Platform
from laburnumscale.recovery import TargetRecovery
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.routing import Router
from laburnumscale.settingsapi import SettingsApi
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingspublisher import SettingsPublisher
from laburnumscale.settingsreplication import SettingsReplicator
from laburnumscale.settingssource import SettingsSource
from laburnumscale.stalls import LoopStalls
from laburnumscale.targetregistry import TargetRegistry

__all__ = [
    "Core",
    "EntryRole",
    "GuardRole",
    "SettingsRole",
    "build_entry_role",
    "build_gossip",
    "build_guard_role",
    "build_operators",
    "build_settings_role",
]


@attrs.frozen(eq=False)
class Core:
    """What all roles of a daemon share."""

    settings: DaemonSettings
    platform: Platform
    session: aiohttp.ClientSession
    metrics: Metrics
    members: Members
    log: LogClient
    feed: SettingsFeed
    channels: PeerChannels


@attrs.frozen(eq=False)
class GuardRole:
    """The last hop before the targets of this host."""

    targets: TargetRegistry
    stalls: LoopStalls
    health: TargetHealth
    guard: Guard


@attrs.frozen(eq=False)
class SettingsRole:
    """What reads the settings, hands them on and takes changes."""

    replicator: SettingsReplicator
    source: SettingsSource
    publisher: SettingsPublisher


@attrs.frozen(eq=False)
class EntryRole:
    """What answers callers."""

    settler: AttemptSettler
    router: Router
    runner: CallRunner
    key_table: KeyTable
    keyed_calls: KeyedCalls
    entry: CallerApi


def build_gossip(core: Core) -> Gossip:
    """Return the membership of a daemon."""
    feed = core.feed
    return Gossip(
        core.members,
        core.channels,
        core.log,
        core.metrics,
        seeds=core.settings.seed_addresses,
        revision=lambda: feed.tree.revision,
        on_newer_revision=feed.record_peer_revision,
    )


def build_guard_role(core: Core) -> GuardRole:
    """Return the parts that stand before the targets of this host."""
    targets = TargetRegistry(core.settings.daemon, core.members, core.metrics)
    stalls = LoopStalls()
    recovery = TargetRecovery(core.session, core.metrics, targets.publish_endpoints)
    health = TargetHealth(recovery, stalls, core.metrics)
    guard = Guard(
        core.members.own,
        targets,
        core.feed,
        health,
        core.session,
        core.metrics,
        AttemptTable(core.members.own.incarnation),
        core.platform.header_names,
    )
    return GuardRole(targets, stalls, health, guard)


def build_settings_role(core: Core) -> SettingsRole:
    """Return the parts that keep the settings of this daemon in force."""
    settings = core.settings
    seeds = tuple(str(address) for address in settings.seed_addresses)
    replicator = SettingsReplicator(
        core.members, core.feed, core.channels, seeds, core.metrics
    )
    source = core.platform.settings_source(
        core.feed, core.log, core.metrics, replicator.is_designated_reader
    )
    publisher = SettingsPublisher(
        settings.daemon, core.feed, source, replicator, core.log, core.metrics
    )
    return SettingsRole(replicator, source, publisher)


def build_entry_role(core: Core, guard_role: GuardRole) -> EntryRole:
    """Return the parts that answer callers."""
    settings, members, metrics = core.settings, core.members, core.metrics
    guard, names = guard_role.guard, core.platform.header_names
    settler = AttemptSettler(members, guard.attempts, core.channels, metrics)
    paths = PathHealth(core.channels, metrics)
    attempt_client = AttemptClient(members, guard, core.channels, settler, paths)
    router = Router(members, core.feed, paths, guard_role.health)
    budget = RetryBudget(settings.retry_slack_attempts, lambda: members.group_size)
    runner = CallRunner(
        attempt_client, router, metrics, budget, names, settings.caller_service
    )
    key_table = KeyTable(
        settings.daemon, members.own.incarnation, settings.key_life_ms, metrics
    )
    keyed_calls = KeyedCalls(
        members, core.feed, runner, core.channels, key_table, metrics
    )
    entry = CallerApi(
        members,
        core.feed,
        runner,
        keyed_calls,
        key_table,
        metrics,
        names,
        settings.routes_only,
    )
    return EntryRole(settler, router, runner, key_table, keyed_calls, entry)


def build_operators(
    core: Core, guard_role: GuardRole, settings_role: SettingsRole, entry: EntryRole
) -> OperatorApi:
    """Return the interface for operators and for the platform's checks."""
    settings_api = SettingsApi(
        core.feed, settings_role.publisher, core.log, core.members
    )
    return OperatorApi(
        core.members,
        core.feed,
        guard_role.targets,
        entry.router,
        core.metrics,
        settings_api,
    )
