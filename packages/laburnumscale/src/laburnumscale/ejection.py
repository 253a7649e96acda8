"""Ejection.

Leaves the worst endpoints of a service out, down to its floor.
"""

import math

import attrs

from laburnumscale.loadtable import EndpointLoad
from laburnumscale_schema import peer_pb2

__all__ = ["Selection", "count_announced", "select"]

PERCENT = 100
READY = peer_pb2.TARGET_STATE_READY
DRAINING = peer_pb2.TARGET_STATE_DRAINING


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


def select(loads: list[EndpointLoad], floor_percent: int) -> Selection:
    """Leave out the worst endpoints and stop at the floor.

    :param loads: all endpoints of the service, also those that have lapsed and are
        not confirmed gone.
    """
    reachable = [load for load in loads if load.view.state == READY]
    ready = [load for load in reachable if not load.view.daemon_draining]
    announced_slots = count_announced(loads)
    floor_slots = math.ceil(announced_slots * floor_percent / PERCENT)
    in_use = [load for load in ready if not load.left_out]
    slots = sum(load.view.slots for load in in_use)
    for load in sorted((load for load in ready if load.left_out), key=_badness):
        if slots >= floor_slots:
            break
        in_use.append(load)
        slots += load.view.slots
    if not in_use:
        # A daemon that drains still serves for a while; that is better than nothing.
        in_use = [load for load in reachable if load.view.daemon_draining]
    on_trial = [load for load in ready if load.on_trial and not load.path_broken]
    return Selection(in_use, on_trial, announced_slots, floor_slots, slots)


def count_announced(loads: list[EndpointLoad]) -> int:
    """Return the slots of all endpoints that are not leaving."""
    return sum(
        load.view.slots
        for load in loads
        if load.view.state != DRAINING and not load.view.daemon_draining
    )


def _badness(load: EndpointLoad) -> tuple[bool, bool, int, str]:
    return (
        load.path_broken,
        load.ejected,
        load.severity_percent,
        load.view.endpoint,
    )
