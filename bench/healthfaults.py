"""Faults of the health bench.

Which faults are caused in which services, laid down by seeds.
"""

import random
from collections.abc import Callable

import attrs

__all__ = ["FAULTS", "HELD_BACK_SEEDS", "SEEDS", "SERVICES", "Fault", "ServiceShape"]

#: Seeds for tuning, and a quarter that is reported only at the end.
SEEDS = (101, 102, 103, 104, 105, 106)
HELD_BACK_SEEDS = (201, 202)


@attrs.frozen
class ServiceShape:
    """Size and work of one service.

    :ivar write_share: share of calls that are not idempotent.
    :ivar in_time_ms: a later answer counts as late.
    """

    service: str
    deployment: str
    endpoints: int
    work_ms: float
    write_share: float
    in_time_ms: float


SERVICES = (
    ServiceShape("slot-desk", "bantayog", 16, 20, 0.2, 1000),
    ServiceShape("proof-vault", "bantayog", 8, 60, 0.0, 3000),
    ServiceShape("lot-register", "malabar", 25, 20, 0.2, 2000),
    ServiceShape("test-archive", "malabar", 6, 50, 0.0, 3000),
)


def _one(generator: random.Random, endpoints: int) -> list[int]:
    return [generator.randrange(endpoints)]


def _every_fourth(generator: random.Random, endpoints: int) -> list[int]:
    first = generator.randrange(4)
    return list(range(first, endpoints, 4))


def _all(generator: random.Random, endpoints: int) -> list[int]:
    return list(range(endpoints))


def _none(generator: random.Random, endpoints: int) -> list[int]:
    return []


@attrs.frozen
class Fault:
    """One kind of fault.

    :ivar victims: chooses the targets that fail, by their numbers.
    :ivar settings: failures of the stand-ins.
    :ivar rate_factor: multiple of the usual rate of calls.
    :ivar cuts_path: the way from one entry to one guard is cut.
    :ivar late: the victims are announced only when the fault begins.
    :ivar ill: whether an ejection of a victim is right.
    """

    name: str
    victims: Callable[[random.Random, int], list[int]]
    settings: dict
    rate_factor: float = 1.0
    cuts_path: bool = False
    late: bool = False
    ill: bool = True


FAULTS = (
    Fault("gray", _one, {"hang": True}),
    Fault("slow", _one, {"slow_factor": 10}),
    Fault("errors", _one, {"error_percent": 20}),
    Fault("flap-1s", _one, {"hang": True, "flap_period_s": 1.0}),
    Fault("flap-3s", _one, {"hang": True, "flap_period_s": 3.0}),
    Fault("centre-slow", _every_fourth, {"slow_factor": 10}),
    Fault("all-slow", _all, {"slow_factor": 10}),
    Fault("all-errors", _all, {"error_percent": 50}),
    Fault("cold", _one, {"slow_factor": 10, "fault_for_s": 2.0}, late=True, ill=False),
    Fault("shed", _one, {"shed": True, "flap_period_s": 2.0}, ill=False),
    Fault("rush", _none, {}, rate_factor=3.0),
    Fault("cut", _none, {}, cuts_path=True),
)
