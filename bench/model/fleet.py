"""Model fleet.

Daemons with their real routing, health, slots, retries and budgets, in front of targets
that work for a given time and fail in given episodes.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

import attrs
import numpy as np

from laburnumscale.addresses import Address
from laburnumscale.attemptclient import AttemptClient, AttemptRequest
from laburnumscale.attempttable import AttemptTable
from laburnumscale.calls import CallRunner
from laburnumscale.deadlines import Deadline
from laburnumscale.endpointindex import EndpointListener, EndpointView
from laburnumscale.failurereplies import unknown_reply
from laburnumscale.guard import Guard
from laburnumscale.headernames import HeaderNames
from laburnumscale.health import TargetHealth
from laburnumscale.localtarget import LocalTarget
from laburnumscale.metrics import Metrics
from laburnumscale.recovery import TargetRecovery
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.routing import Router
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.stalls import LoopStalls
from laburnumscale_schema import peer_pb2

__all__ = ["Episode", "ModelFleet", "TargetPlan"]

SERVICE = "slot-desk"
READY = peer_pb2.TARGET_STATE_READY
OK = 200
SERVER_ERROR = 500
HOP_S = 0.0015
#: Time for a verdict to reach the other daemons by gossip.
GOSSIP_DELAY_S = 0.3
LEASE_MS = 10**9


@attrs.frozen
class Episode:
    """A time in which a target fails a share of its calls.

    :ivar kind: ``hang``, ``errors``, ``slow`` or ``drop``, which breaks the connection
        when a call arrives.
    :ivar share: share of the calls that fail, 0 to 1.
    """

    kind: str
    start_s: float
    end_s: float
    share: float


@attrs.frozen
class TargetPlan:
    """A target and what will happen to it.

    :ivar data_centre: where its host is.
    :ivar slots: calls that it runs at a time.
    :ivar speed: its work takes this multiple of the time that a call needs.
    :ivar full_factor: with all slots taken, work takes this multiple of its time.
    :ivar full_from: share of the slots in use from which work takes longer.
    """

    data_centre: str = "makati"
    slots: int = 4
    speed: float = 1.0
    full_factor: float = 1.0
    full_from: float = 0.75
    episodes: tuple[Episode, ...] = ()


@attrs.define(eq=False)
class _Machine:
    """A target's own behaviour.

    :ivar plan: its failures, relative to ``started_at_s``.
    :ivar last_run_at_s: time at which the latest call started, in virtual time.
    :ivar arrivals_at_s: times at which calls arrived, in virtual time.
    :ivar dropped: arrivals whose connection was broken.
    :ivar calls: how often each request has run.
    """

    plan: TargetPlan
    random: np.random.Generator
    started_at_s: float
    calls: dict[str, int] = attrs.field(factory=dict)
    running: int = 0
    last_run_at_s: float = 0.0
    arrivals_at_s: list[float] = attrs.field(factory=list)
    dropped: int = 0

    async def run(self, request_id: str, work_s: float) -> int:
        """Work on a call and return the status of its response.

        :raises ConnectionResetError: the target broke the connection at once.
        """
        loop = asyncio.get_running_loop()
        self.arrivals_at_s.append(loop.time())
        failure = self._failure()
        if failure == "drop":
            self.dropped += 1
            raise ConnectionResetError
        self.calls[request_id] = self.calls.get(request_id, 0) + 1
        self.last_run_at_s = loop.time()
        self.running += 1
        try:
            if failure == "hang":
                await asyncio.Event().wait()
            if failure == "slow":
                work_s *= 8
            await asyncio.sleep(work_s * self.plan.speed * self._slowdown())
        finally:
            self.running -= 1
        return SERVER_ERROR if failure == "errors" else OK

    def _slowdown(self) -> float:
        """Return the factor by which the calls that run now lengthen the work."""
        free_share = self.plan.slots * self.plan.full_from
        over = max(0.0, self.running - free_share)
        return 1 + (self.plan.full_factor - 1) * over / (self.plan.slots - free_share)

    def _failure(self) -> str:
        age_s = asyncio.get_running_loop().time() - self.started_at_s
        for episode in self.plan.episodes:
            active = episode.start_s <= age_s < episode.end_s
            if active and self.random.random() < episode.share:
                return episode.kind
        return ""


class _ModelGuard(Guard):
    """A guard whose target is a machine of the model."""

    machine: _Machine
    work_s: dict[str, float]
    last_at_most_once_at_s: dict[str, float]

    async def _send_to_target(
        self, target, settings, head, body, transmission
    ) -> AsyncIterator[peer_pb2.CallReply]:
        monitor = self._health.monitor_attempt(
            target, settings, head, transmission.deadline
        )
        transmission.attempt.mark_sent(transmission.send_deadline)
        if not head.idempotent:
            now_s = asyncio.get_running_loop().time()
            self.last_at_most_once_at_s[head.endpoint] = now_s
        try:
            async with asyncio.timeout(transmission.deadline.left_s()):
                status = await self.machine.run(
                    head.request_id, self.work_s[head.request_id]
                )
            monitor.record_response(failed=status >= SERVER_ERROR)
            yield peer_pb2.CallReply(
                head=peer_pb2.ReplyHead(status=status),
                end=True,
                load=target.load(head.route),
            )
        except ConnectionResetError:
            monitor.record_connection_failure()
            reason = peer_pb2.UNKNOWN_REASON_CONNECTION_LOST
            yield unknown_reply(reason, target.load(head.route))
        except TimeoutError:
            reason = peer_pb2.UNKNOWN_REASON_DEADLINE
            yield unknown_reply(reason, target.load(head.route))
        finally:
            monitor.end()


class _ModelAttemptClient(AttemptClient):
    """Reaches the guards of the model after the delay of the network."""

    guards: dict[str, Guard]
    accounts: dict[str, str]

    async def _send_to_guard(
        self,
        view: EndpointView,
        request: AttemptRequest,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
    ) -> AsyncIterator[peer_pb2.CallReply]:
        await asyncio.sleep(HOP_S)
        head.guard_time_us = 0
        head.account = self.accounts.get(head.request_id, "")
        async for reply in self.guards[view.daemon].run_attempt(head, body):
            await asyncio.sleep(HOP_S)
            yield reply

    def _end_attempt(self, view, attempt_id, deadline) -> None:
        """Do nothing; the guards of the model end attempts with their streams."""


class _ModelSettler:
    """Settles attempts with the guards of the model."""

    guards: dict[str, Guard]

    async def query_verdict(self, attempt, view, deadline, use_relays):
        await asyncio.sleep(HOP_S)
        return self.guards[view.daemon].attempts.settle(attempt)


class _Directory:
    """The endpoints as the daemons know them, some time after each verdict."""

    def __init__(self) -> None:
        self.targets: dict[str, tuple[LocalTarget, str, str]] = {}
        self._views: dict[str, EndpointView] = {}
        self._listeners: list[EndpointListener] = []

    def add(self, target: LocalTarget, daemon: str, data_centre: str) -> None:
        self.targets[daemon] = target, daemon, data_centre
        self.publish(daemon)

    def count_in(self, data_centre: str) -> int:
        """Return the number of daemons in a data centre."""
        return sum(each == data_centre for _, _, each in self.targets.values())

    def publish_later(self, daemon: str) -> None:
        loop = asyncio.get_running_loop()
        loop.call_later(GOSSIP_DELAY_S, self.publish, daemon)

    def publish(self, daemon: str) -> None:
        target, daemon, data_centre = self.targets[daemon]
        view = EndpointView(
            service=target.service,
            endpoint=target.endpoint,
            slots=target.slots,
            state=target.state,
            ejected=target.ejected,
            daemon=daemon,
            incarnation=1,
            peer_address=daemon,
            data_centre=data_centre,
            verdict_version=target.verdict_version,
            severity_percent=target.severity_percent,
            on_trial=target.on_trial,
        )
        self._views[daemon] = view
        for listener in self._listeners:
            listener(view.service, view.endpoint, view)

    def on_change(self, listener: EndpointListener) -> None:
        self._listeners.append(listener)

    def endpoints(self, service: str) -> list[EndpointView]:
        return list(self._views.values())


class _ModelRecovery(TargetRecovery):
    """Probes that always succeed: health checks of gray failures pass."""

    async def _probe(self, target: LocalTarget, settings: EffectiveSettings) -> bool:
        return True


class ModelFleet:
    """One daemon for each target, each of which takes a share of the callers.

    Must be created on a running event loop.

    :param plans: the targets.
    :param settings: settings of the service.
    :param retry_slack: retries that the fleet may make beyond the budget.
    :ivar work_s: time that each request needs, by its id.
    :ivar last_at_most_once_at_s: when the last call that may run only once arrived,
        by endpoint.
    :ivar targets: the targets as their guards know them.
    :ivar accounts: client account of each request that has one, by its id.
    :ivar runners: the entries, with the data centre of each.
    :ivar metrics: counters of all daemons.
    """

    def __init__(
        self,
        plans: list[TargetPlan],
        settings: EffectiveSettings,
        seed: int,
        retry_slack: int = 64,
    ) -> None:
        self.settings = settings
        self.metrics = Metrics()
        self.work_s: dict[str, float] = {}
        self.accounts: dict[str, str] = {}
        self.machines: list[_Machine] = []
        self.targets: list[LocalTarget] = []
        self.last_at_most_once_at_s: dict[str, float] = {}
        self.runners: list[tuple[CallRunner, str]] = []
        self._directory = _Directory()
        self._guards: dict[str, Guard] = {}
        self._seeds = np.random.SeedSequence(seed).spawn(len(plans))
        feed = SimpleNamespace(
            tree=SimpleNamespace(effective_settings=lambda *place: settings),
            is_stale=lambda: False,
        )
        for index, plan in enumerate(plans):
            self._add_daemon(index, plan, feed)
        for index, plan in enumerate(plans):
            runner = self._build_runner(
                index,
                plan,
                feed,
                lambda: RetryBudget(retry_slack, lambda: len(plans)),
            )
            self.runners.append((runner, plan.data_centre))

    def count_runs(self, request_id: str) -> int:
        """Return how often a request has run at all targets together."""
        return sum(machine.calls.get(request_id, 0) for machine in self.machines)

    def last_arrival_at_s(self) -> float:
        """Return when the latest call arrived at a target, in virtual time."""
        return max(max(each.arrivals_at_s, default=0.0) for each in self.machines)

    def busy_slots(self) -> int:
        """Return the number of calls that run at the targets."""
        return sum(machine.running for machine in self.machines)

    def _add_daemon(self, index: int, plan: TargetPlan, feed) -> None:
        daemon = f"d{index}"
        now_s = asyncio.get_running_loop().time()
        machine = _Machine(plan, np.random.default_rng(self._seeds[index]), now_s)
        self.machines.append(machine)
        target = LocalTarget(
            service=SERVICE,
            endpoint=f"e{index}",
            address=Address("127.0.0.1", 1 + index),
            slots=plan.slots,
            state=READY,
            lease_deadline=Deadline.after_ms(LEASE_MS),
        )
        target.slow_start_at_s = 0.0
        self.targets.append(target)
        self._directory.add(target, daemon, plan.data_centre)
        recovery = _ModelRecovery(
            None, self.metrics, lambda: self._directory.publish_later(daemon)
        )
        health = TargetHealth(recovery, _NoStalls(), self.metrics)
        guard = _ModelGuard(
            peer_pb2.Member(daemon=daemon, data_centre=plan.data_centre),
            SimpleNamespace(get=lambda service, endpoint: target),
            feed,
            health,
            None,
            self.metrics,
            AttemptTable(1),
            HeaderNames(),
        )
        guard.machine, guard.work_s, guard.health = machine, self.work_s, health
        guard.last_at_most_once_at_s = self.last_at_most_once_at_s
        self._guards[daemon] = guard

    def _build_runner(
        self, index: int, plan: TargetPlan, feed, new_budget: Callable[[], RetryBudget]
    ) -> CallRunner:
        own = peer_pb2.Member(
            daemon=f"entry{index}", incarnation=1, data_centre=plan.data_centre
        )
        members = SimpleNamespace(
            own=own,
            endpoints=self._directory.endpoints,
            watch_endpoints=self._directory.endpoints,
            on_endpoint_change=self._directory.on_change,
            group_size=len(self._seeds),
            count_in=self._directory.count_in,
        )
        paths = SimpleNamespace(
            is_broken=lambda address: False,
            on_change=lambda listener: None,
            on_silence=lambda listener: None,
            schedule_check=lambda address: None,
            start_check=lambda address: None,
            recheck=lambda address: None,
        )
        settler = _ModelSettler()
        settler.guards = self._guards
        client = _ModelAttemptClient(members, None, None, settler, paths)
        client.guards = self._guards
        client.accounts = self.accounts
        health = self._guards[f"d{index}"].health
        router = Router(members, feed, paths, health)
        return CallRunner(client, router, self.metrics, new_budget(), HeaderNames())


class _NoStalls(LoopStalls):
    """The event loop of the model never blocks."""

    def total_s(self) -> float:
        """Return 0."""
        return 0.0
