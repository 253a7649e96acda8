"""Endpoint pool.

Keeps the endpoints of one service sorted by their health, so that choosing one of them
takes the same time however many there are. It answers the load of services with
hundreds of endpoints, of which each entry calls a few a second.
"""

import bisect
import math
import random
import zlib
from collections.abc import Callable, Iterator
from itertools import islice

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.ejection import DRAINING, PERCENT, READY, severity
from laburnumscale.endpointindex import EndpointView
from laburnumscale.loadtable import EndpointHealth

__all__ = ["EndpointPool", "SampledSet"]

#: Time for which the guard of a draining daemon is taken to accept calls after the
#: entry has heard of the drain. The notice period is longer, but the news takes time.
NOTICE_MS = 1_500


class SampledSet:
    """A set of names from which random members can be taken in constant time."""

    def __init__(self) -> None:
        self._names: list[str] = []
        self._positions: dict[str, int] = {}
        self._ordered: list[tuple[int, str]] | None = None

    def __len__(self) -> int:
        return len(self._names)

    def __contains__(self, name: str) -> bool:
        return name in self._positions

    def add(self, name: str) -> None:
        """Add a name that the set does not contain."""
        self._positions[name] = len(self._names)
        self._names.append(name)
        if self._ordered is not None:
            bisect.insort(self._ordered, _preference(name))

    def remove(self, name: str) -> None:
        """Remove a name that the set contains."""
        position = self._positions.pop(name)
        last = self._names.pop()
        if last != name:
            self._names[position] = last
            self._positions[last] = position
        if self._ordered is not None:
            del self._ordered[bisect.bisect_left(self._ordered, _preference(name))]

    def shuffled(self) -> Iterator[str]:
        """Yield all names in random order; the work is done as they are taken."""
        moved: dict[int, int] = {}
        for index in range(len(self._names)):
            drawn = random.randrange(index, len(self._names))
            yield self._names[moved.get(drawn, drawn)]
            moved[drawn] = moved.get(index, index)

    def ordered(self) -> list[tuple[int, str]]:
        """Return all names in an order that is the same at every entry.

        The first call sorts the names; the order is then kept up to date.
        """
        if self._ordered is None:
            self._ordered = sorted(_preference(name) for name in self._names)
        return self._ordered


def _preference(name: str) -> tuple[int, str]:
    return zlib.crc32(name.encode()), name


@attrs.define(eq=False)
class _Group:
    """The endpoints in one state, also by data centre."""

    names: SampledSet = attrs.field(factory=SampledSet)
    by_data_centre: dict[str, SampledSet] = attrs.field(factory=dict)
    slots: int = 0

    def add(self, health: EndpointHealth) -> None:
        view = health.view
        self.names.add(view.endpoint)
        local = self.by_data_centre.setdefault(view.data_centre, SampledSet())
        local.add(view.endpoint)
        self.slots += view.slots

    def remove(self, health: EndpointHealth) -> None:
        view = health.view
        self.names.remove(view.endpoint)
        local = self.by_data_centre[view.data_centre]
        local.remove(view.endpoint)
        if not local:
            del self.by_data_centre[view.data_centre]
        self.slots -= view.slots

    def local(self, data_centre: str) -> SampledSet:
        return self.by_data_centre.get(data_centre) or SampledSet()


class EndpointPool:
    """The endpoints of one service, grouped by their health.

    Equivalent to :func:`laburnumscale.ejection.select_endpoints`, but a change of one
    endpoint updates only that endpoint.

    :param rate: returns the health of an endpoint.
    :ivar ejected_count: endpoints that their guards have ejected.
    :ivar announced_slots: slots of all endpoints that are not draining.
    """

    def __init__(self, rate: Callable[[EndpointView], EndpointHealth]) -> None:
        self.ejected_count = 0
        self.announced_slots = 0
        self._rate = rate
        self._health: dict[str, EndpointHealth] = {}
        self._by_path: dict[str, set[str]] = {}
        self._healthy = _Group()
        self._unhealthy = _Group()
        self._on_trial = _Group()
        self._leaving = _Group()
        self._notice_deadlines: dict[str, Deadline] = {}
        self._kept: tuple[int, list[EndpointHealth]] | None = None

    def __len__(self) -> int:
        return len(self._health)

    def health(self, endpoint: str) -> EndpointHealth | None:
        """Return the health of an endpoint, or None if the service does not list it."""
        return self._health.get(endpoint)

    def set_view(self, view: EndpointView) -> None:
        """Add an endpoint, or replace its view."""
        self._replace(view.endpoint, self._rate(view))

    def remove(self, endpoint: str) -> None:
        """Remove an endpoint."""
        self._replace(endpoint, None)

    def refresh(self, endpoint: str) -> None:
        """Rate an endpoint again after its guard or its path was heard of."""
        known = self._health.get(endpoint)
        if known is not None:
            self._replace(endpoint, self._rate(known.view))

    def refresh_path(self, peer_address: str) -> None:
        """Rate the endpoints behind a path again."""
        for endpoint in list(self._by_path.get(peer_address, ())):
            self.refresh(endpoint)

    @property
    def healthy(self) -> SampledSet:
        """Return the names of the healthy endpoints in use."""
        return self._healthy.names

    def healthy_in(self, data_centre: str) -> SampledSet:
        """Return the names of the healthy endpoints of a data centre."""
        return self._healthy.local(data_centre)

    def on_trial_in(self, data_centre: str) -> SampledSet:
        """Return the names of the endpoints on trial in a data centre."""
        return self._on_trial.local(data_centre)

    def in_notice(self, data_centre: str, max_sampled: int) -> Iterator[EndpointView]:
        """Yield endpoints of a data centre whose draining daemon accepts calls.

        They come in random order, without those that are unhealthy.

        :param max_sampled: endpoints beside draining daemons to look at.
        """
        names = self._leaving.local(data_centre).shuffled()
        for name in islice(names, max_sampled):
            health = self._health[name]
            if not health.unhealthy and not self._notice_deadlines[name].has_passed():
                yield health.view

    def end_notice(self, endpoint: str) -> None:
        """Record that the daemon of an endpoint accepts no more calls."""
        if endpoint in self._notice_deadlines:
            self._notice_deadlines[endpoint] = Deadline.after_ms(0)

    def kept_by_floor(self, floor_percent: int) -> list[EndpointHealth]:
        """Return the unhealthy endpoints in use, the least unhealthy ones first.

        :param floor_percent: share of the announced slots that stays in use, in
            percent.
        """
        if self._kept is None or self._kept[0] != floor_percent:
            self._kept = floor_percent, self._find_kept(floor_percent)
        return self._kept[1]

    def in_use_unless_healthy(self, floor_percent: int) -> list[EndpointHealth]:
        """Return the endpoints in use besides the healthy ones.

        If no other endpoint is in use, these are the endpoints whose daemon is
        draining: it still accepts calls for a while.
        """
        kept = self.kept_by_floor(floor_percent)
        if kept or self.healthy:
            return kept
        return [self._health[name] for name in self._leaving.names.shuffled()]

    def _find_kept(self, floor_percent: int) -> list[EndpointHealth]:
        floor_slots = math.ceil(self.announced_slots * floor_percent / PERCENT)
        slots = self._healthy.slots
        if slots >= floor_slots:
            return []
        kept = []
        unhealthy = [self._health[name] for name in self._unhealthy.names.shuffled()]
        for health in sorted(unhealthy, key=severity):
            if slots >= floor_slots:
                break
            kept.append(health)
            slots += health.view.slots
        return kept

    def _replace(self, endpoint: str, health: EndpointHealth | None) -> None:
        before = self._health.get(endpoint)
        if before == health:
            return
        self._kept = None
        if before is not None:
            self._remove(before)
        if health is not None:
            self._add(health)
        if health is None or not health.view.daemon_draining:
            self._notice_deadlines.pop(endpoint, None)
        elif endpoint not in self._notice_deadlines:
            self._notice_deadlines[endpoint] = Deadline.after_ms(NOTICE_MS)

    def _add(self, health: EndpointHealth) -> None:
        view = health.view
        self._health[view.endpoint] = health
        self._by_path.setdefault(view.peer_address, set()).add(view.endpoint)
        self.ejected_count += health.ejected
        self.announced_slots += _announced_slots(view)
        for group in self._groups(health):
            group.add(health)

    def _remove(self, health: EndpointHealth) -> None:
        view = health.view
        del self._health[view.endpoint]
        names = self._by_path[view.peer_address]
        names.discard(view.endpoint)
        if not names:
            del self._by_path[view.peer_address]
        self.ejected_count -= health.ejected
        self.announced_slots -= _announced_slots(view)
        for group in self._groups(health):
            group.remove(health)

    def _groups(self, health: EndpointHealth) -> Iterator[_Group]:
        """Yield the groups that an endpoint belongs to."""
        view = health.view
        if view.state != READY:
            return
        if view.daemon_draining:
            yield self._leaving
            return
        yield self._unhealthy if health.unhealthy else self._healthy
        if health.on_trial and not health.path_broken:
            yield self._on_trial


def _announced_slots(view: EndpointView) -> int:
    leaves = view.state == DRAINING or view.daemon_draining
    return 0 if leaves else view.slots
