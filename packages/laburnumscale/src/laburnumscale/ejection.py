"""Ejection.

Selects the endpoints of a service that take calls. Unhealthy endpoints are excluded,
the worst ones first, but a minimum of capacity, the floor, always stays in use.
"""

import math

import attrs

from laburnumscale.loadtable import EndpointHealth, EndpointLoad
from laburnumscale_schema import peer_pb2

__all__ = [
    "Selection",
    "count_announced_slots",
    "select_endpoints",
    "severity",
]

PERCENT = 100
READY = peer_pb2.TARGET_STATE_READY
DRAINING = peer_pb2.TARGET_STATE_DRAINING


@attrs.frozen
class Selection:
    """The endpoints of a service that take calls.

    :ivar in_use: healthy endpoints, and the unhealthy ones that are needed to reach
        the floor.
    :ivar on_trial: endpoints that return to service if a trial call succeeds.
    :ivar announced_slots: slots of all endpoints that are not draining.
    :ivar floor_slots: slots that must stay in use even if endpoints are unhealthy.
    :ivar in_use_slots: slots of the endpoints in use.
    """

    in_use: list[EndpointLoad]
    on_trial: list[EndpointLoad]
    announced_slots: int
    floor_slots: int
    in_use_slots: int


def select_endpoints(loads: list[EndpointLoad], floor_percent: int) -> Selection:
    """Select the healthy endpoints, and unhealthy ones as needed for the floor.

    :param loads: all endpoints of the service, including those that have lapsed and
        are not confirmed gone.
    :param floor_percent: share of the announced slots that stays in use, in percent.
    """
    reachable = [load for load in loads if load.view.state == READY]
    ready = [load for load in reachable if not load.view.daemon_draining]
    announced_slots = count_announced_slots(loads)
    floor_slots = math.ceil(announced_slots * floor_percent / PERCENT)
    in_use = [load for load in ready if not load.unhealthy]
    slots = sum(load.view.slots for load in in_use)
    for load in sorted((load for load in ready if load.unhealthy), key=severity):
        if slots >= floor_slots:
            break
        in_use.append(load)
        slots += load.view.slots
    if not in_use:
        # A draining daemon still accepts calls for a while; without any other
        # endpoint, that is better than refusing the call.
        in_use = [load for load in reachable if load.view.daemon_draining]
    on_trial = [load for load in ready if load.on_trial and not load.path_broken]
    return Selection(in_use, on_trial, announced_slots, floor_slots, slots)


def count_announced_slots(loads: list[EndpointLoad]) -> int:
    """Return the slots of all endpoints that are not draining."""
    return sum(
        load.view.slots
        for load in loads
        if load.view.state != DRAINING and not load.view.daemon_draining
    )


def severity(load: EndpointHealth) -> tuple[bool, bool, int, str]:
    """Return a sort key that puts the least unhealthy endpoint first."""
    return (
        load.path_broken,
        load.ejected,
        load.severity_percent,
        load.view.endpoint,
    )
