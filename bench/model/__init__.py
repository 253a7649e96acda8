"""Model.

Runs the decision code of a fleet in one process and in virtual time.
"""

from bench.model.fleet import Episode, ModelFleet, TargetPlan
from bench.model.load import LoadResult, RouteLoad, play_load
from bench.model.virtualtime import run_in_virtual_time

__all__ = [
    "Episode",
    "LoadResult",
    "ModelFleet",
    "RouteLoad",
    "TargetPlan",
    "play_load",
    "run_in_virtual_time",
]
