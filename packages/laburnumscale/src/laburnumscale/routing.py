"""Routing.

Picks the endpoint for an attempt and learns from its reply.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from laburnumscale.consecutiveerrors import ConsecutiveErrors
from laburnumscale.ejection import Selection, count_announced, select
from laburnumscale.health import TargetHealth
from laburnumscale.loadtable import EndpointLoad, LoadTable
from laburnumscale.members import EndpointView, Members
from laburnumscale.pathhealth import PathHealth
from laburnumscale.policies import RoutingPolicy, get_policy_by_name
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["RoutedAttempt", "Router", "eligible", "selection_dict"]

READY = peer_pb2.TARGET_STATE_READY
EVIDENCE = "evidence"
CONSECUTIVE_ERRORS = "consecutive-errors"


@attrs.define(eq=False)
class RoutedAttempt:
    """One attempt at an endpoint, from its start to its end."""

    router: "Router"
    view: EndpointView
    path_timer: asyncio.TimerHandle | None

    def replied(self, reply: peer_pb2.CallReply) -> None:
        """Learn from the first reply."""
        self._cancel_timer()
        self.router.learn(self.view, reply)

    def ended(self) -> None:
        """Note that the attempt has ended."""
        self._cancel_timer()
        self.router.loads.ended(self.view)

    def _cancel_timer(self) -> None:
        if self.path_timer is not None:
            self.path_timer.cancel()


class Router:
    """Chooses among the endpoints of a service for one entry."""

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        paths: PathHealth,
        health: TargetHealth,
    ) -> None:
        self._health = health
        self.loads = LoadTable()
        self._members = members
        self._feed = feed
        self._paths = paths
        self._policies: dict[str, RoutingPolicy] = {}
        self._consecutive = ConsecutiveErrors()

    def pick(
        self,
        service: str,
        tried: set[str],
        idempotent: bool,
        reserve_trial: Callable[[], bool] = lambda: False,
    ) -> EndpointView | None:
        """Return the endpoint for the next attempt, or None.

        :param tried: names of endpoints that this call has tried.
        :param idempotent: whether the call may run more than once.
        :param reserve_trial: asked before the call becomes the trial of an endpoint;
            tells whether it can be tried elsewhere after a failure, and reserves that.
        """
        settings = self._settings(service)
        selection = self.selection(service)
        loads = [load for load in selection.in_use if load.view.endpoint not in tried]
        trial = self._trial(selection) if idempotent and not tried else None
        if trial is not None and reserve_trial():
            return trial.view
        loads = eligible(loads, selection, idempotent)
        if not loads:
            return None
        return self._policy(settings).choose(loads, self._own_data_centre()).view

    def selection(self, service: str) -> Selection:
        """Return which endpoints of a service take calls of this entry."""
        settings = self._settings(service)
        loads = [self._load(view) for view in self._members.endpoints(service)]
        if settings.ejection_policy == EVIDENCE:
            return select(loads, settings.floor_percent)
        announced_slots = count_announced(loads)
        loads = [
            load
            for load in loads
            if load.view.state == READY and not load.view.daemon_draining
        ]
        if settings.ejection_policy == CONSECUTIVE_ERRORS:
            loads = self._consecutive.in_use(loads)
        slots = sum(load.view.slots for load in loads)
        return Selection(loads, [], announced_slots, 0, slots)

    def mark(self, head: peer_pb2.CallHead, view: EndpointView) -> None:
        """Tell the guard what it needs for its verdict and for the floor."""
        views = self._members.endpoints(view.service)
        load = self.loads.load(view)
        head.floor_traffic = load.ejected or self._kept_by_floor(load)
        comparison = self.loads.comparison(view.service, views)
        head.reference_latency_us = comparison.median_us
        head.most_look_bad = comparison.most_look_bad
        settings = self._settings(view.service)
        self._health.revoke_comparison_ejections(view.service, settings, comparison)

    def started(self, view: EndpointView) -> RoutedAttempt:
        """Note that an attempt to an endpoint starts."""
        self.loads.started(view)
        timer = None
        if view.daemon != self._members.own.daemon:
            timer = self._paths.watch(view.peer_address)
        return RoutedAttempt(self, view, timer)

    def learn(self, view: EndpointView, reply: peer_pb2.CallReply) -> None:
        """Learn from the first reply of an attempt."""
        if self._settings(view.service).ejection_policy == CONSECUTIVE_ERRORS:
            self._consecutive.observe(view, reply)
        if reply.HasField("load"):
            self.loads.heard(view, reply.load)
        elif _is_path_failure(reply) and view.daemon != self._members.own.daemon:
            self._paths.suspect(view.peer_address)

    def _kept_by_floor(self, load: EndpointLoad) -> bool:
        """Tell whether the floor keeps an endpoint on trial in use."""
        if not load.on_trial:
            return False
        in_use = self.selection(load.view.service).in_use
        return any(kept.view is load.view for kept in in_use)

    def _trial(self, selection: Selection) -> EndpointLoad | None:
        """Return an endpoint on trial for its even share of the calls.

        Entries try the endpoints of their own data centre: an answer of any size may
        come back, and bytes between data centres are dear.
        """
        own = self._own_data_centre()
        idle = [
            load
            for load in selection.on_trial
            if load.view.data_centre == own and not self.loads.outstanding(load.view)
        ]
        in_use = [load for load in selection.in_use if load.view.data_centre == own]
        share = len(idle) / max(1, len(idle) + len(in_use))
        return random.choice(idle) if random.random() < share else None

    def _load(self, view: EndpointView) -> EndpointLoad:
        return self.loads.load(view, self._paths.is_broken(view.peer_address))

    def _policy(self, settings: EffectiveSettings) -> RoutingPolicy:
        name = settings.routing_policy
        if name not in self._policies:
            self._policies[name] = get_policy_by_name(name)
        return self._policies[name]

    def _settings(self, service: str) -> EffectiveSettings:
        return self._feed.tree.effective(service, self._own_data_centre())

    def _own_data_centre(self) -> str:
        return self._members.own.data_centre


def eligible(
    loads: list[EndpointLoad], selection: Selection, idempotent: bool
) -> list[EndpointLoad]:
    """Return the endpoints among ``loads`` that a call may go to.

    What the floor keeps in use is capacity for when the others are full. A call that
    may run only once rather waits for one of the others, if there is one: a failing
    target would leave its outcome unknown, and another attempt could not make up
    for that.
    """
    standing = [load for load in loads if not load.left_out]
    if standing:
        return standing
    if not idempotent and any(not load.left_out for load in selection.in_use):
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


def selection_dict(selection: Selection) -> dict:
    """Return a selection as operators see it."""
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
