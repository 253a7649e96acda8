"""Ejection.

Leaves the worst endpoints of a service out, down to its floor.
"""

import math
import time

import attrs

from laburnumscale.loadtable import EndpointLoad
from laburnumscale.members import EndpointView, Members
from laburnumscale_schema import peer_pb2

__all__ = ["AnnouncedSlots", "Selection", "select"]

PERCENT = 100
LAPSE_HOLD_S = 10.0
READY = peer_pb2.TARGET_STATE_READY
DRAINING = peer_pb2.TARGET_STATE_DRAINING
ALIVE = peer_pb2.MEMBER_STATE_ALIVE
SUSPECT = peer_pb2.MEMBER_STATE_SUSPECT


@attrs.frozen
class Selection:
    """The endpoints of a service that take calls.

    :ivar in_use: endpoints in service, with those that the floor keeps.
    :ivar on_trial: endpoints that take a trial call.
    """

    in_use: list[EndpointLoad]
    on_trial: list[EndpointLoad]
    announced_slots: int
    floor_slots: int
    in_use_slots: int


class AnnouncedSlots:
    """Counts the announced slots of services that are not leaving.

    An endpoint that vanishes without having drained, while its daemon is there,
    has lapsed: it still counts for a while.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._seen: dict[str, list[EndpointView]] = {}
        self._lapsed: dict[str, dict[str, tuple[float, EndpointView]]] = {}

    def count(self, service: str) -> int:
        """Return the slots of all endpoints of a service that are not leaving."""
        views = self._members.endpoints(service)
        seen = self._seen.get(service, [])
        if views is not seen:
            self._note_lapsed(service, seen, views)
            self._seen[service] = views
        now_s = time.monotonic()
        lapsed = self._lapsed.get(service, {})
        for endpoint in [e for e, (until_s, _) in lapsed.items() if until_s < now_s]:
            del lapsed[endpoint]
        present = sum(view.slots for view in views if view.state != DRAINING)
        return present + sum(view.slots for _, view in lapsed.values())

    def _note_lapsed(
        self, service: str, seen: list[EndpointView], views: list[EndpointView]
    ) -> None:
        names = {view.endpoint for view in views}
        lapsed = self._lapsed.setdefault(service, {})
        for name in names & lapsed.keys():
            del lapsed[name]
        until_s = time.monotonic() + LAPSE_HOLD_S
        for view in seen:
            if view.endpoint not in names and self._has_lapsed(view):
                lapsed[view.endpoint] = (until_s, view)

    def _has_lapsed(self, view: EndpointView) -> bool:
        if view.state == DRAINING:
            return False
        member = self._members.get(view.daemon)
        return member is not None and member.state in (ALIVE, SUSPECT)


def select(
    loads: list[EndpointLoad], announced_slots: int, floor_percent: int
) -> Selection:
    """Leave out the worst endpoints and stop at the floor.

    :param loads: all endpoints of the service.
    :param announced_slots: slots of which the floor is a share.
    """
    ready = [load for load in loads if load.view.state == READY]
    floor_slots = math.ceil(announced_slots * floor_percent / PERCENT)
    in_use = [load for load in ready if not load.left_out]
    slots = sum(load.view.slots for load in in_use)
    for load in sorted((load for load in ready if load.left_out), key=_badness):
        if slots >= floor_slots:
            break
        in_use.append(load)
        slots += load.view.slots
    on_trial = [load for load in ready if load.on_trial and not load.path_broken]
    return Selection(in_use, on_trial, announced_slots, floor_slots, slots)


def _badness(load: EndpointLoad) -> tuple[bool, bool, int, str]:
    return (
        load.path_broken,
        load.ejected,
        load.severity_percent,
        load.view.endpoint,
    )
