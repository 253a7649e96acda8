"""Routing.

Picks the endpoint for each attempt, and records the replies for later choices.
"""

import random
import sys
from collections.abc import Callable
from itertools import islice

import attrs

from laburnumscale.candidates import (
    Candidates,
    concentrate,
    eligible,
    find_candidates,
    rank_load,
    sample_best,
)
from laburnumscale.concentration import Concentration
from laburnumscale.consecutiveerrors import ConsecutiveErrors
from laburnumscale.ejection import Selection, count_announced_slots, select_endpoints
from laburnumscale.endpointpool import EndpointPool
from laburnumscale.endpointpools import EndpointPools
from laburnumscale.health import TargetHealth
from laburnumscale.loadtable import (
    EndpointHealth,
    EndpointLoad,
    LoadTable,
    OutstandingAttempt,
)
from laburnumscale.members import EndpointView, Members
from laburnumscale.pathhealth import PathHealth, ScheduledCheck
from laburnumscale.policies import (
    CHOICES,
    SPILLOVER_UTILISATION,
    RoutingPolicy,
    get_policy_by_name,
)
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.targetnotices import TargetNotices
from laburnumscale_schema import peer_pb2

__all__ = ["RoutedAttempt", "Router", "selection_to_dict"]

READY = peer_pb2.TARGET_STATE_READY
EVIDENCE = "evidence"
CONSECUTIVE_ERRORS = "consecutive-errors"
BYTES_PER_MIB = 1024 * 1024
US_PER_MS = 1000
#: Endpoints that one choice looks at, so that its cost does not grow with the service.
MAX_SAMPLED_ENDPOINTS = 16
#: Calls are concentrated only if their objective is at least this multiple
#: of the usual latency, as calls at busy targets take longer or wait.
MIN_OBJECTIVE_FACTOR = 2
#: With more of the endpoints needed, calls choose among all of them: the choice by load
#: is then worth more than the few endpoints that are left out.
MAX_CONCENTRATED_SHARE = 0.8


@attrs.define(eq=False)
class RoutedAttempt:
    """One attempt at an endpoint, from its start to its end.

    :ivar route: hash of the route of the call.
    :ivar path_timer: starts a check of the path unless a reply arrives in time; None
        if the endpoint is on this daemon's host.
    :ivar at_most_once: whether the call must not run more than once.
    """

    router: "Router"
    view: EndpointView
    route: int
    outstanding: OutstandingAttempt
    path_timer: ScheduledCheck | None
    at_most_once: bool = False

    def record_reply(self, reply: peer_pb2.CallReply) -> None:
        """Record the first reply."""
        self._cancel_timer()
        self.router.record_reply(self.view, self.route, reply)
        if self.at_most_once and reply.HasField("load"):
            self.router.adapt_concentration(self.view, reply.load)

    def record_end(self) -> None:
        """Record the end of the attempt."""
        self._cancel_timer()
        self.router.load_table.record_end(self.view, self.outstanding)

    def _cancel_timer(self) -> None:
        if self.path_timer is not None:
            self.path_timer.cancel()


class Router:
    """Chooses among the endpoints of a service for the calls of one entry.

    The entry of a call is the daemon that received it from the caller. The guard is
    the daemon on the host of the target.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        paths: PathHealth,
        health: TargetHealth,
    ) -> None:
        self._health = health
        self.load_table = LoadTable()
        self._notices = TargetNotices()
        self._members = members
        self._feed = feed
        self._paths = paths
        self._policies: dict[str, RoutingPolicy] = {}
        self._concentrations: dict[str, Concentration] = {}
        self._consecutive_errors = ConsecutiveErrors()
        self._pools = EndpointPools(members, self._rate)
        self.load_table.on_change(self._pools.refresh)
        paths.on_change(self._pools.refresh_path)

    def pick(
        self,
        service: str,
        tried: set[str],
        idempotent: bool,
        reserve_trial: Callable[[], bool] = lambda: False,
        route: int = 0,
        avoid_doubt: bool = False,
        answer_bytes: float = 0.0,
        objective_left_ms: int = 0,
    ) -> EndpointView | None:
        """Return the endpoint for the next attempt, or None.

        :param tried: names of endpoints that this call has tried.
        :param idempotent: whether the call may run more than once.
        :param reserve_trial: called before the call becomes the trial of an endpoint;
            reserves a retry for the case that the trial fails, and returns whether
            it could.
        :param route: hash of the route of the call.
        :param avoid_doubt: prefer endpoints whose latest calls have not failed.
        :param answer_bytes: expected size of the answer, 0 if unknown.
        :param objective_left_ms: time left until the latency objective of the call, 0
            if it has none.
        """
        settings = self._settings(service)
        policy = self._policy(settings)
        if settings.ejection_policy == EVIDENCE and not policy.needs_all:
            pool = self._pools.get(service)
            if idempotent and not tried:
                trial = self._pick_trial(pool, settings)
                if trial is not None and reserve_trial():
                    return trial
            data_centre = self._own_data_centre()
            floor = settings.floor_percent
            found = None
            if (
                settings.concentration_percent
                and not idempotent
                and self._has_slack(service, pool, route, objective_left_ms)
            ):
                found = self._concentrate(service, pool, tried, route, avoid_doubt)
            found = found or find_candidates(
                pool, floor, data_centre, tried, idempotent
            )
        else:
            found = self._find_in_selection(service, tried, idempotent)
        return self._choose(policy, settings, found, route, avoid_doubt, answer_bytes)

    def _has_slack(
        self, service: str, pool: EndpointPool, route: int, objective_left_ms: int
    ) -> bool:
        """Return whether a call may take longer than usual at a busy target."""
        median_us = self.load_table.baseline(service, pool, route).median_latency_us
        return (
            not objective_left_ms
            or MIN_OBJECTIVE_FACTOR * median_us <= objective_left_ms * US_PER_MS
        )

    def _concentrate(
        self,
        service: str,
        pool: EndpointPool,
        tried: set[str],
        route: int,
        avoid_doubt: bool,
    ) -> Candidates | None:
        """Return the endpoints that share the calls that may run only once.

        The result is None if none of them is suitable for the call.
        """

        def is_good(view: EndpointView) -> bool:
            return not any(rank_load(self._endpoint_load(view, route), avoid_doubt))

        concentration = self._concentrations.setdefault(service, Concentration())
        if concentration.share > MAX_CONCENTRATED_SHARE:
            return None
        local = pool.healthy_in(self._own_data_centre())
        anywhere, near = (
            list(concentrate(pool, names, tried, concentration, is_good))
            for names in (pool.healthy, local)
        )
        if not (anywhere or near):
            return None
        return Candidates(iter(anywhere or near), iter(near))

    def pick_leaving(
        self, service: str, tried: set[str], avoid_doubt: bool = False
    ) -> EndpointView | None:
        """Return an endpoint that may have a free slot although its daemon drains.

        The guard of such a daemon accepts calls during its notice period, and its
        target is idle, as entries that have heard of the drain use others. Only
        endpoints in the entry's own data centre are returned.

        :param tried: names of endpoints that the call has tried.
        :param avoid_doubt: whether an endpoint would refuse the call while in doubt.
        """
        pool = self._pools.get(service)
        for view in pool.in_notice(self._own_data_centre(), MAX_SAMPLED_ENDPOINTS):
            load = self._endpoint_load(view, route=0)
            is_full = load.utilisation >= SPILLOVER_UTILISATION
            refuses = load.is_limited or (avoid_doubt and load.in_doubt)
            if not (is_full or refuses or view.endpoint in tried):
                return view
        return None

    def _choose(
        self,
        policy: RoutingPolicy,
        settings: EffectiveSettings,
        found: Candidates,
        route: int,
        avoid_doubt: bool,
        answer_bytes: float,
    ) -> EndpointView | None:
        """Return the endpoint that a policy chooses, or None if there is none."""

        def rank(load: EndpointLoad) -> tuple[bool, bool]:
            return rank_load(load, avoid_doubt)

        count = sys.maxsize if policy.needs_all else CHOICES
        max_sampled = sys.maxsize if policy.needs_all else MAX_SAMPLED_ENDPOINTS
        anywhere = (self._endpoint_load(view, route) for view in found.anywhere)
        loads = sample_best(anywhere, rank, count, max_sampled)
        if not loads:
            return None
        local = (
            self._endpoint_load(view, route)
            for view in islice(found.local, MAX_SAMPLED_ENDPOINTS)
        )
        preferred = (load for load in local if rank(load) <= rank(loads[0]))
        remote_cost_us = (
            answer_bytes / BYTES_PER_MIB * settings.remote_ms_per_mib * US_PER_MS
        )
        return policy.choose(loads, preferred, remote_cost_us).view

    def _find_in_selection(
        self, service: str, tried: set[str], idempotent: bool
    ) -> Candidates:
        """Return the endpoints that an attempt may go to, after rating all of them."""
        in_use = self.selection(service).in_use
        untried = [load for load in in_use if load.view.endpoint not in tried]
        found = eligible(untried, in_use, idempotent)
        views = [load.view for load in random.sample(found, len(found))]
        own = self._own_data_centre()
        return Candidates(
            iter(views), (view for view in views if view.data_centre == own)
        )

    def selection(self, service: str, route: int = 0) -> Selection:
        """Return the endpoints of a service that take calls of this entry."""
        settings = self._settings(service)
        loads = [
            self._endpoint_load(view, route)
            for view in self._members.endpoints(service)
        ]
        if settings.ejection_policy == EVIDENCE:
            return select_endpoints(loads, settings.floor_percent)
        announced_slots = count_announced_slots(loads)
        loads = [
            load
            for load in loads
            if load.view.state == READY and not load.view.daemon_draining
        ]
        if settings.ejection_policy == CONSECUTIVE_ERRORS:
            loads = self._consecutive_errors.exclude_ejected(loads)
        slots = sum(load.view.slots for load in loads)
        return Selection(loads, [], announced_slots, 0, slots)

    def median_latency_us(self, service: str, route: int) -> int:
        """Return the median latency of a route; 0 if too few are known."""
        listed = self._pools.get(service)
        return self.load_table.baseline(service, listed, route).median_latency_us

    def fill_call_head(self, head: peer_pb2.CallHead, view: EndpointView) -> None:
        """Set the fields of a call head that its guard needs to rate the target.

        Also returns targets on this daemon's host to service if the current baseline
        no longer justifies their ejection.
        """
        settings = self._settings(view.service)
        pool = self._pools.get(view.service)
        head.floor_traffic = self._is_floor_traffic(pool, settings, view)
        baseline = self.load_table.baseline(view.service, pool, head.route)
        head.reference_latency_us = baseline.median_latency_us
        head.most_look_bad = baseline.most_look_bad
        notice = self._notices.get(view)
        if notice is not None:
            head.notice.CopyFrom(notice)
        self._health.revoke_comparison_ejections(
            view.service, settings, head.route, baseline
        )

    def start_attempt(
        self, view: EndpointView, route: int = 0, at_most_once: bool = False
    ) -> RoutedAttempt:
        """Record the start of an attempt at an endpoint.

        :param route: hash of the route of the call.
        :param at_most_once: whether the call must not run more than once.
        """
        outstanding = self.load_table.record_start(view, route)
        self._notices.record_start(view, self._count_sharers(view))
        timer = None
        if view.daemon != self._members.own.daemon:
            timer = self._paths.schedule_check(view.peer_address)
        return RoutedAttempt(self, view, route, outstanding, timer, at_most_once)

    def record_reply(
        self, view: EndpointView, route: int, reply: peer_pb2.CallReply
    ) -> None:
        """Record the first reply of an attempt."""
        if self._settings(view.service).ejection_policy == CONSECUTIVE_ERRORS:
            self._consecutive_errors.record_reply(view, reply)
        if _is_draining(reply):
            self._pools.get(view.service).end_notice(view.endpoint)
        if reply.HasField("load"):
            self.load_table.record_report(view, route, reply.load)
            sharers = self._count_sharers(view)
            self._notices.record(view, reply.load, sharers)
            if _is_overloaded(reply):
                retry_after_ms = reply.not_run.retry_after_ms
                self._notices.record_refusal(view, retry_after_ms, sharers)
        elif _is_path_failure(reply) and view.daemon != self._members.own.daemon:
            self._paths.start_check(view.peer_address)

    def adapt_concentration(
        self, view: EndpointView, report: peer_pb2.LoadReport
    ) -> None:
        """Adapt the number of endpoints that share the calls that may run only once.

        Endpoints in doubt refuse these calls, so their load says nothing.

        :param report: load of an endpoint that was sent such a call.
        """
        concentration = self._concentrations.get(view.service)
        percent = self._settings(view.service).concentration_percent
        if concentration is not None and percent and not report.in_doubt:
            slots = min(view.slots, report.open_slots or view.slots)
            concentration.record_report(report, slots, percent)

    def _is_floor_traffic(
        self, pool: EndpointPool, settings: EffectiveSettings, view: EndpointView
    ) -> bool:
        """Return whether an endpoint gets calls only because of the floor."""
        health = self.load_table.endpoint_health(view)
        if health.ejected or not health.on_trial:
            return health.ejected
        kept = pool.kept_by_floor(settings.floor_percent)
        return any(each.view.endpoint == view.endpoint for each in kept)

    def _pick_trial(
        self, pool: EndpointPool, settings: EffectiveSettings
    ) -> EndpointView | None:
        """Return a random endpoint on trial, or None.

        Each endpoint on trial that is idle gets an even share of the calls. Only
        endpoints in the entry's own data centre get trial calls: the size of the
        answer is not known in advance, and traffic between data centres is expensive.
        """
        own = self._own_data_centre()
        on_trial = pool.on_trial_in(own)
        if not on_trial:
            return None
        sampled = islice(on_trial.shuffled(), MAX_SAMPLED_ENDPOINTS)
        views = [pool.health(name).view for name in sampled]
        idle = [view for view in views if not self.load_table.count_outstanding(view)]
        kept = pool.kept_by_floor(settings.floor_percent)
        local_kept = sum(each.view.data_centre == own for each in kept)
        in_use = len(pool.healthy_in(own)) + local_kept
        share = len(idle) / max(1, len(idle) + in_use)
        return random.choice(idle) if random.random() < share else None

    def _rate(self, view: EndpointView) -> EndpointHealth:
        broken = self._paths.is_broken(view.peer_address)
        return self.load_table.endpoint_health(view, broken)

    def _endpoint_load(self, view: EndpointView, route: int) -> EndpointLoad:
        return self.load_table.endpoint_load(
            view,
            self._paths.is_broken(view.peer_address),
            route,
            self._notices.is_limited(view),
            self._notices.is_due(view),
        )

    def _count_sharers(self, view: EndpointView) -> int:
        """Return the number of entries that share the limit of a target with this one.

        While targets of their own data centre have free slots, entries send no calls
        to others, so those near a target share its limit among themselves.
        """
        if view.data_centre != self._own_data_centre():
            return self._members.group_size
        return self._members.count_in(view.data_centre)

    def _policy(self, settings: EffectiveSettings) -> RoutingPolicy:
        name = settings.routing_policy
        if name not in self._policies:
            self._policies[name] = get_policy_by_name(name)
        return self._policies[name]

    def _settings(self, service: str) -> EffectiveSettings:
        return self._feed.tree.effective_settings(service, self._own_data_centre())

    def _own_data_centre(self) -> str:
        return self._members.own.data_centre


def _is_draining(reply: peer_pb2.CallReply) -> bool:
    reason = peer_pb2.NOT_RUN_REASON_DRAINING
    return reply.HasField("not_run") and reply.not_run.reason == reason


def _is_overloaded(reply: peer_pb2.CallReply) -> bool:
    reason = peer_pb2.NOT_RUN_REASON_OVERLOADED
    return reply.HasField("not_run") and reply.not_run.reason == reason


def _is_path_failure(reply: peer_pb2.CallReply) -> bool:
    if reply.HasField("not_run"):
        return reply.not_run.reason == peer_pb2.NOT_RUN_REASON_NOT_CONNECTED
    if reply.HasField("unknown"):
        return reply.unknown.reason in (
            peer_pb2.UNKNOWN_REASON_CONNECTION_LOST,
            peer_pb2.UNKNOWN_REASON_DEADLINE,
        )
    return False


def selection_to_dict(selection: Selection) -> dict:
    """Return a selection in the form that the operator interface shows."""
    endpoints = [
        {
            "endpoint": load.view.endpoint,
            "slots": load.view.slots,
            "ejected": load.ejected,
            "severity_percent": load.severity_percent,
            "on_trial": load.on_trial,
            "path_broken": load.path_broken,
        }
        for load in selection.in_use
    ]
    return {
        "announced_slots": selection.announced_slots,
        "floor_slots": selection.floor_slots,
        "in_use_slots": selection.in_use_slots,
        "in_use": endpoints,
        "on_trial": [load.view.endpoint for load in selection.on_trial],
    }
