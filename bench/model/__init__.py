"""Model.

Runs the decision code of a fleet in one process and in virtual time.
"""

from bench.model.fleet import SERVICE, Episode, ModelFleet, TargetPlan
from bench.model.load import LoadResult, RouteLoad, play_load, run_call
from bench.model.virtualtime import VirtualTimeLoop, run_in_virtual_time

__all__ = [
    "SERVICE",
    "Episode",
    "LoadResult",
    "ModelFleet",
    "RouteLoad",
    "TargetPlan",
    "VirtualTimeLoop",
    "play_load",
    "run_call",
    "run_in_virtual_time",
]
