"""Daemon parts.

Builds the parts of a daemon, grouped by its roles.
"""

import aiohttp
import attrs

from laburnumscale.accountsapi import AccountsApi
from laburnumscale.attemptclient import AttemptClient
from laburnumscale.attemptsettler import AttemptSettler
from laburnumscale.attempttable import AttemptTable
from laburnumscale.callerapi import CallerApi
from laburnumscale.calls import CallRunner
from laburnumscale.channels import PeerChannels
from laburnumscale.confirmationrequests import ConfirmationRequests
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.drainstate import DrainState
from laburnumscale.fleetnotices import FleetNotices
from laburnumscale.gossip import Gossip
from laburnumscale.guard import Guard
from laburnumscale.health import TargetHealth
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.members import Members
from laburnumscale.memory import MemoryBudget
from laburnumscale.metrics import Metrics
from laburnumscale.operatorapi import OperatorApi
from laburnumscale.pathhealth import PathHealth
from laburnumscale.platformlog import LogClient
from laburnumscale.platforms import Platform
from laburnumscale.processends import ProcessEnds
from laburnumscale.quarantineapi import QuarantineApi
from laburnumscale.quotachannels import QuotaChannels
from laburnumscale.quotas import (
    KeeperView,
    Quota,
    QuotaClient,
    QuotaKeeper,
    QuotaService,
    QuotaTolerance,
    quota_of,
)
from laburnumscale.readerroles import ReaderRoles
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
    "EntryRole",
    "GuardRole",
    "SettingsRole",
    "SharedParts",
    "build_entry_role",
    "build_gossip",
    "build_guard_role",
    "build_operator_api",
    "build_settings_role",
]


@attrs.frozen(eq=False)
class SharedParts:
    """The parts that all roles of a daemon share."""

    settings: DaemonSettings
    platform: Platform
    session: aiohttp.ClientSession
    metrics: Metrics
    members: Members
    log: LogClient
    feed: SettingsFeed
    channels: PeerChannels
    drain_state: DrainState
    notices: FleetNotices
    roles: ReaderRoles
    memory: MemoryBudget


@attrs.frozen(eq=False)
class GuardRole:
    """The parts that forward attempts to the targets on this host."""

    targets: TargetRegistry
    stalls: LoopStalls
    health: TargetHealth
    guard: Guard


@attrs.frozen(eq=False)
class SettingsRole:
    """The parts that read, replicate and publish settings."""

    replicator: SettingsReplicator
    source: SettingsSource
    publisher: SettingsPublisher


@attrs.frozen(eq=False)
class EntryRole:
    """The parts that serve callers."""

    settler: AttemptSettler
    router: Router
    runner: CallRunner
    key_table: KeyTable
    keyed_calls: KeyedCalls
    caller_api: CallerApi
    quotas: QuotaService


def build_gossip(shared: SharedParts) -> Gossip:
    """Build the group membership of a daemon."""
    feed = shared.feed
    gossip = Gossip(
        shared.members,
        shared.channels,
        shared.log,
        shared.metrics,
        seeds=shared.settings.seed_addresses,
        revision=lambda: feed.tree.revision,
        on_revision=feed.record_datagram_revision,
        notices=shared.notices,
    )
    gossip.confirmations = ConfirmationRequests(
        feed, shared.roles.sources, shared.metrics
    )
    return gossip


def build_guard_role(shared: SharedParts) -> GuardRole:
    """Build the parts that forward attempts to the targets on this host."""
    targets = TargetRegistry(
        shared.settings.daemon,
        shared.members,
        shared.metrics,
        shared.notices.departures,
    )
    stalls = LoopStalls()
    recovery = TargetRecovery(shared.session, shared.metrics, targets.publish_endpoints)
    health = TargetHealth(recovery, stalls, shared.metrics)
    guard = Guard(
        shared.members.own,
        targets,
        shared.feed,
        health,
        shared.session,
        shared.metrics,
        AttemptTable(shared.members.own.incarnation),
        shared.platform.header_names,
    )
    guard.answer_limit_bytes = shared.settings.answer_limit_bytes
    guard.memory = shared.memory
    guard.drain_state = shared.drain_state
    guard.quarantine = shared.notices.quarantine
    return GuardRole(targets, stalls, health, guard)


def build_settings_role(shared: SharedParts) -> SettingsRole:
    """Build the parts that read, replicate and publish settings."""
    settings = shared.settings
    seeds = tuple(str(address) for address in settings.seed_addresses)
    replicator = SettingsReplicator(
        shared.members,
        shared.feed,
        shared.channels,
        seeds,
        shared.metrics,
        shared.roles,
    )
    source = shared.platform.settings_source(
        shared.feed, shared.log, shared.metrics, shared.roles
    )
    publisher = SettingsPublisher(
        settings.daemon, shared.feed, source, replicator, shared.log, shared.metrics
    )
    return SettingsRole(replicator, source, publisher)


def build_entry_role(shared: SharedParts, guard_role: GuardRole) -> EntryRole:
    """Build the parts that serve callers."""
    settings, members, metrics = shared.settings, shared.members, shared.metrics
    guard, header_names = guard_role.guard, shared.platform.header_names
    settler = AttemptSettler(members, guard.attempts, shared.channels, metrics)
    path_health = PathHealth(shared.channels, metrics)
    attempt_client = AttemptClient(
        members, guard, shared.channels, settler, path_health, shared.memory
    )
    router = Router(members, shared.feed, path_health, guard_role.health)
    retry_budget = RetryBudget(
        settings.retry_slack_attempts, lambda: members.fleet_size
    )
    runner = CallRunner(
        attempt_client,
        router,
        metrics,
        retry_budget,
        header_names,
        settings.caller_service,
    )
    runner.memory = shared.memory
    runner.drain_state = shared.drain_state
    runner.quarantine = shared.notices.quarantine
    key_table = KeyTable(
        settings.daemon, members.own.incarnation, settings.key_life_ms, metrics
    )
    keyed_calls = KeyedCalls(
        members,
        shared.feed,
        runner,
        shared.channels,
        key_table,
        metrics,
        header_names.account_fields(),
    )
    quotas, quota_client = _build_quotas(shared)
    keyed_calls.memory = shared.memory
    caller_api = CallerApi(
        members,
        shared.feed,
        runner,
        keyed_calls,
        key_table,
        metrics,
        header_names,
        settings.routes_only,
    )
    caller_api.quotas = quota_client
    caller_api.stall_ms = settings.transfer_stall_ms
    return EntryRole(
        settler, router, runner, key_table, keyed_calls, caller_api, quotas
    )


def _build_quotas(shared: SharedParts) -> tuple[QuotaService, QuotaClient]:
    """Build the keeper of quotas and the client that entries ask for decisions."""
    settings, feed, metrics = shared.settings, shared.feed, shared.metrics

    def find_quota(account: str) -> Quota | None:
        return quota_of(feed.tree.accounts.get(account))

    def revision() -> int:
        return feed.tree.revision

    tolerance = QuotaTolerance.from_ms(
        settings.quota_window_ms,
        settings.quota_over_percent,
        settings.quota_slack_calls,
    )
    view = KeeperView(shared.members)
    keeper = QuotaKeeper(view, find_quota, tolerance, metrics, revision)
    ask = QuotaChannels(shared.channels).ask
    has_ended = ProcessEnds(shared.members, shared.channels).has_ended
    service = QuotaService(keeper, view, ask, has_ended)
    client = QuotaClient(service, ask, find_quota, metrics, revision)
    return service, client


def build_operator_api(
    shared: SharedParts,
    guard_role: GuardRole,
    settings_role: SettingsRole,
    entry_role: EntryRole,
) -> OperatorApi:
    """Build the HTTP interface for operators, readiness checks and metrics."""
    settings_api = SettingsApi(
        shared.feed, settings_role.publisher, shared.log, shared.members
    )
    return OperatorApi(
        shared.members,
        shared.feed,
        guard_role.targets,
        entry_role.router,
        shared.metrics,
        settings_api,
        QuarantineApi(shared.notices.quarantine),
        AccountsApi(
            shared.feed,
            entry_role.caller_api.account_calls,
            entry_role.caller_api.quotas.describe,
        ),
    )
