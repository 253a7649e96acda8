"""Routing.

Picks the endpoint for each attempt, and records the replies for later choices.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from laburnumscale.consecutiveerrors import ConsecutiveErrors
from laburnumscale.ejection import Selection, count_announced_slots, select_endpoints
from laburnumscale.health import TargetHealth
from laburnumscale.loadtable import EndpointLoad, LoadTable, OutstandingAttempt
from laburnumscale.members import EndpointView, Members
from laburnumscale.pathhealth import PathHealth
from laburnumscale.policies import RoutingPolicy, get_policy_by_name
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.targetnotices import TargetNotices
from laburnumscale_schema import peer_pb2

__all__ = ["RoutedAttempt", "Router", "eligible", "selection_to_dict"]

READY = peer_pb2.TARGET_STATE_READY
EVIDENCE = "evidence"
CONSECUTIVE_ERRORS = "consecutive-errors"
BYTES_PER_MIB = 1024 * 1024
US_PER_MS = 1000


@attrs.define(eq=False)
class RoutedAttempt:
    """One attempt at an endpoint, from its start to its end.

    :ivar route: hash of the route of the call.
    :ivar path_timer: starts a check of the path unless a reply arrives in time; None
        if the endpoint is on this daemon's host.
    """

    router: "Router"
    view: EndpointView
    route: int
    outstanding: OutstandingAttempt
    path_timer: asyncio.TimerHandle | None

    def record_reply(self, reply: peer_pb2.CallReply) -> None:
        """Record the first reply."""
        self._cancel_timer()
        self.router.record_reply(self.view, self.route, reply)

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
        self._consecutive_errors = ConsecutiveErrors()

    def pick(
        self,
        service: str,
        tried: set[str],
        idempotent: bool,
        reserve_trial: Callable[[], bool] = lambda: False,
        route: int = 0,
        avoid_doubt: bool = False,
        answer_bytes: float = 0.0,
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
        """
        settings = self._settings(service)
        selection = self.selection(service, route)
        loads = [load for load in selection.in_use if load.view.endpoint not in tried]
        trial = self._pick_trial(selection) if idempotent and not tried else None
        if trial is not None and reserve_trial():
            return trial.view
        loads = eligible(loads, selection, idempotent)
        if not loads:
            return None
        loads = [load for load in loads if not load.is_limited] or loads
        if avoid_doubt:
            loads = [load for load in loads if not load.in_doubt] or loads
        remote_cost_us = (
            answer_bytes / BYTES_PER_MIB * settings.remote_ms_per_mib * US_PER_MS
        )
        policy = self._policy(settings)
        return policy.choose(loads, self._own_data_centre(), remote_cost_us).view

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

    def fill_call_head(self, head: peer_pb2.CallHead, view: EndpointView) -> None:
        """Set the fields of a call head that its guard needs to rate the target.

        Also returns targets on this daemon's host to service if the current baseline
        no longer justifies their ejection.
        """
        views = self._members.endpoints(view.service)
        load = self.load_table.endpoint_load(view)
        head.floor_traffic = load.ejected or self._kept_by_floor(load)
        baseline = self.load_table.baseline(view.service, views, head.route)
        head.reference_latency_us = baseline.median_latency_us
        head.most_look_bad = baseline.most_look_bad
        notice = self._notices.get(view)
        if notice is not None:
            head.notice.CopyFrom(notice)
        settings = self._settings(view.service)
        self._health.revoke_comparison_ejections(
            view.service, settings, head.route, baseline
        )

    def start_attempt(self, view: EndpointView, route: int = 0) -> RoutedAttempt:
        """Record the start of an attempt at an endpoint.

        :param route: hash of the route of the call.
        """
        outstanding = self.load_table.record_start(view, route)
        self._notices.record_start(view, self._members.group_size)
        timer = None
        if view.daemon != self._members.own.daemon:
            timer = self._paths.schedule_check(view.peer_address)
        return RoutedAttempt(self, view, route, outstanding, timer)

    def record_reply(
        self, view: EndpointView, route: int, reply: peer_pb2.CallReply
    ) -> None:
        """Record the first reply of an attempt."""
        if self._settings(view.service).ejection_policy == CONSECUTIVE_ERRORS:
            self._consecutive_errors.record_reply(view, reply)
        if reply.HasField("load"):
            self.load_table.record_report(view, route, reply.load)
            self._notices.record(view, reply.load, self._members.group_size)
        elif _is_path_failure(reply) and view.daemon != self._members.own.daemon:
            self._paths.start_check(view.peer_address)

    def _kept_by_floor(self, load: EndpointLoad) -> bool:
        """Return whether the floor keeps an endpoint on trial in use."""
        if not load.on_trial:
            return False
        in_use = self.selection(load.view.service).in_use
        return any(kept.view is load.view for kept in in_use)

    def _pick_trial(self, selection: Selection) -> EndpointLoad | None:
        """Return a random endpoint on trial, or None.

        Each endpoint on trial that is idle gets an even share of the calls. Only
        endpoints in the entry's own data centre get trial calls: the size of the
        answer is not known in advance, and traffic between data centres is expensive.
        """
        own = self._own_data_centre()
        idle = [
            load
            for load in selection.on_trial
            if load.view.data_centre == own
            and not self.load_table.count_outstanding(load.view)
        ]
        in_use = [load for load in selection.in_use if load.view.data_centre == own]
        share = len(idle) / max(1, len(idle) + len(in_use))
        return random.choice(idle) if random.random() < share else None

    def _endpoint_load(self, view: EndpointView, route: int) -> EndpointLoad:
        return self.load_table.endpoint_load(
            view,
            self._paths.is_broken(view.peer_address),
            route,
            self._notices.is_limited(view),
        )

    def _policy(self, settings: EffectiveSettings) -> RoutingPolicy:
        name = settings.routing_policy
        if name not in self._policies:
            self._policies[name] = get_policy_by_name(name)
        return self._policies[name]

    def _settings(self, service: str) -> EffectiveSettings:
        return self._feed.tree.effective_settings(service, self._own_data_centre())

    def _own_data_centre(self) -> str:
        return self._members.own.data_centre


def eligible(
    loads: list[EndpointLoad], selection: Selection, idempotent: bool
) -> list[EndpointLoad]:
    """Return the endpoints among ``loads`` that a call may go to.

    Unhealthy endpoints that stay in use because of the floor serve calls only when
    the healthy ones are full. A call that may run only once waits for a healthy
    endpoint instead, if there is one: a failing target could leave the outcome of the
    call unknown, and no further attempt could correct that.
    """
    healthy = [load for load in loads if not load.unhealthy]
    if healthy:
        return healthy
    if not idempotent and any(not load.unhealthy for load in selection.in_use):
        return []
    return loads


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
