"""Faults of the health bench.

Defines the benchmarked services, the injected faults and the random seeds.
"""

import random
from collections.abc import Callable

import attrs

__all__ = ["FAULTS", "HELD_OUT_SEEDS", "SEEDS", "SERVICES", "Fault", "ServiceSpec"]

#: Seeds for tuning. A quarter of all seeds is held out for the final report.
SEEDS = (101, 102, 103, 104, 105, 106)
HELD_OUT_SEEDS = (201, 202)


@attrs.frozen
class ServiceSpec:
    """Size and workload of one service.

    :ivar service: name of the service.
    :ivar deployment: directory in ``examples`` that holds the settings of the service.
    :ivar endpoints: number of targets.
    :ivar work_ms: median processing time of a call.
    :ivar non_idempotent_share: share of calls that are not idempotent, from 0 to 1.
    :ivar max_latency_ms: latency up to which an answered call counts as in time.
    """

    service: str
    deployment: str
    endpoints: int
    work_ms: float
    non_idempotent_share: float
    max_latency_ms: float


SERVICES = (
    ServiceSpec("slot-desk", "bantayog", 16, 20, 0.2, 1000),
    ServiceSpec("proof-vault", "bantayog", 8, 60, 0.0, 3000),
    ServiceSpec("lot-register", "malabar", 25, 20, 0.2, 2000),
    ServiceSpec("test-archive", "malabar", 6, 50, 0.0, 3000),
)


def _choose_one(generator: random.Random, endpoints: int) -> list[int]:
    return [generator.randrange(endpoints)]


def _choose_every_fourth(generator: random.Random, endpoints: int) -> list[int]:
    first = generator.randrange(4)
    return list(range(first, endpoints, 4))


def _choose_all(generator: random.Random, endpoints: int) -> list[int]:
    return list(range(endpoints))


def _choose_none(generator: random.Random, endpoints: int) -> list[int]:
    return []


@attrs.frozen
class Fault:
    """One kind of fault.

    :ivar name: name on the command line and in the results.
    :ivar choose_victims: function that returns the numbers of the targets that fail,
        given a random generator and the number of targets.
    :ivar settings: fault attributes to set on the stand-in targets that fail.
    :ivar rate_factor: multiplier of the normal call rate.
    :ivar breaks_link: whether the link from one entry to one guard is cut.
    :ivar victims_join_late: whether the victims are announced only when the fault
        starts.
    :ivar ejection_expected: whether ejecting a victim is the correct reaction.
    """

    name: str
    choose_victims: Callable[[random.Random, int], list[int]]
    settings: dict
    rate_factor: float = 1.0
    breaks_link: bool = False
    victims_join_late: bool = False
    ejection_expected: bool = True


FAULTS = (
    Fault("gray", _choose_one, {"hang": True}),
    Fault("slow", _choose_one, {"slow_factor": 10}),
    Fault("errors", _choose_one, {"error_percent": 20}),
    Fault("flap-1s", _choose_one, {"hang": True, "flap_period_s": 1.0}),
    Fault("flap-3s", _choose_one, {"hang": True, "flap_period_s": 3.0}),
    Fault("centre-slow", _choose_every_fourth, {"slow_factor": 10}),
    Fault("all-slow", _choose_all, {"slow_factor": 10}),
    Fault("all-errors", _choose_all, {"error_percent": 50}),
    Fault(
        "cold",
        _choose_one,
        {"slow_factor": 10, "fault_for_s": 2.0},
        victims_join_late=True,
        ejection_expected=False,
    ),
    Fault(
        "shed",
        _choose_one,
        {"shed": True, "flap_period_s": 2.0},
        ejection_expected=False,
    ),
    Fault("rush", _choose_none, {}, rate_factor=3.0),
    Fault("cut", _choose_none, {}, breaks_link=True),
)
