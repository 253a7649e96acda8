"""Target ablation.

Prints what callers get with and without each way to spare them failing or slow targets.
"""

import argparse
import logging
import random
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from functools import partial

import attrs
import numpy as np
import structlog

from bench.model import (
    SERVICE,
    Episode,
    LoadResult,
    ModelFleet,
    RouteLoad,
    TargetPlan,
    play_load,
    run_in_virtual_time,
)
from laburnumscale.settingstree import EffectiveSettings

DATA_CENTRES = ("makati", "pasig", "cebu", "davao")
#: Demand of the entries of a data centre, relative to the others.
DEMAND = {"makati": 1.8, "pasig": 1.0, "cebu": 0.7, "davao": 0.5}
TARGETS = 64
SLOTS = 8
DROP_SHARE = 0.85
DROP_CYCLE_S = 9.0
DROP_S = 3.0
DURATION_S = 14.0
IDLE_PERIOD_S = 2.0
MS_PER_S = 1000
WORK_SIGMA = 0.5


@attrs.frozen
class RoutePlan:
    """A route of the second deployment of docs/design/hard-load.md.

    :ivar share: share of all calls.
    :ivar work_ms: mean work at a target of average speed.
    :ivar worth: worth of an answer within the objective.
    :ivar late_worth: worth of a later answer.
    """

    name: str
    share: float
    idempotent: bool
    work_ms: float
    objective_ms: int
    deadline_ms: int
    worth: float
    late_worth: float


ROUTES = (
    RoutePlan("lookups", 0.2, True, 811, 4210, 15_100, 1.0, 0.1),
    RoutePlan("orders", 0.6, False, 1067, 4272, 25_100, 2.0, 0.2),
    RoutePlan("queries", 0.2, True, 2027, 6497, 40_100, 1.0, 0.1),
)
BASE = EffectiveSettings(
    attempt_limit=3, time_limit_ms=40_000, slots=SLOTS, floor_percent=70
)
#: The settings that are compared, by their names on the command line.
VARIANTS: dict[str, dict] = {
    "before": {},
    "return 1": {"return_successes": 1},
    "return 2": {"return_successes": 2},
    "few": {"concentration_percent": 75},
    "few, return 1": {"concentration_percent": 75, "return_successes": 1},
    "limit": {"learn_concurrency": True},
    "all": {
        "concentration_percent": 75,
        "return_successes": 1,
        "learn_concurrency": True,
    },
}


def plan_targets(
    seed: int, drops: bool, uneven: bool, duration_s: float
) -> list[TargetPlan]:
    """Return the targets of a play.

    :param drops: each breaks connections for a third of the time.
    :param uneven: speeds differ by up to four times, and half of the targets slow down
        when they are nearly full.
    """
    generator = np.random.default_rng(seed)
    plans = []
    for index in range(TARGETS):
        phase_s = generator.uniform(0, DROP_CYCLE_S)
        starts_s = np.arange(phase_s - DROP_CYCLE_S, 2 * duration_s, DROP_CYCLE_S)
        episodes = tuple(
            Episode("drop", start_s, start_s + DROP_S, DROP_SHARE)
            for start_s in starts_s
        )
        plans.append(
            TargetPlan(
                DATA_CENTRES[index % len(DATA_CENTRES)],
                SLOTS,
                speed=float(2 ** generator.uniform(-1, 1)) if uneven else 1.0,
                full_factor=3.0 if uneven and index % 2 else 1.0,
                episodes=episodes if drops else (),
            )
        )
    return plans


def build_routes(utilisation: float, plans: Iterable[TargetPlan]) -> list[RouteLoad]:
    """Return routes that use a share of the capacity of all targets.

    The capacity is what is left while some of them drop calls, without slowdowns.
    """
    dropping = any(plan.episodes for plan in plans)
    available_share = 1 - DROP_SHARE * DROP_S / DROP_CYCLE_S if dropping else 1.0
    slots_per_s = (
        available_share * sum(plan.slots / plan.speed for plan in plans) * MS_PER_S
    )
    mean_ms = sum(route.share * route.work_ms for route in ROUTES)
    calls_per_s = utilisation * slots_per_s / mean_ms
    return [
        RouteLoad(
            route.name,
            calls_per_s * route.share,
            route.idempotent,
            route.work_ms / np.exp(WORK_SIGMA**2 / 2),
            route.objective_ms,
            route.deadline_ms,
            work_sigma=WORK_SIGMA,
            late_worth=route.late_worth / route.worth,
        )
        for route in ROUTES
    ]


@attrs.frozen
class Play:
    """The results of one play.

    :ivar results: what callers got, by route.
    :ivar doubtful: attempts that were refused as in doubt.
    :ivar idle_shares: share of the sound targets without a call, for each period.
    """

    results: dict[str, LoadResult]
    doubtful: int
    idle_shares: list[float]


def measure_idle_shares(fleet: ModelFleet, duration_s: float) -> list[float]:
    """Return the share of the sound targets that got no call, for each period.

    The first periods are left out, as entries know little then.
    """
    shares = []
    for start_s in np.arange(2 * IDLE_PERIOD_S, duration_s, IDLE_PERIOD_S):
        end_s = start_s + IDLE_PERIOD_S
        sound = [
            machine
            for machine in fleet.machines
            if not any(
                episode.start_s < end_s and start_s < episode.end_s
                for episode in machine.plan.episodes
            )
        ]
        idle = [
            machine
            for machine in sound
            if not any(
                start_s <= at_s - machine.started_at_s < end_s
                for at_s in machine.arrivals_at_s
            )
        ]
        shares.append(len(idle) / max(1, len(sound)))
    return shares


def play(
    changes: dict,
    utilisation: float,
    seed: int,
    drops: bool,
    uneven: bool,
    duration_s: float = DURATION_S,
) -> Play:
    """Play one load."""
    plans = plan_targets(seed, drops, uneven, duration_s)
    routes = build_routes(utilisation, plans)
    settings = attrs.evolve(BASE, **changes)
    fleets = []

    async def run():
        fleet = ModelFleet(plans, settings, seed, retry_slack=194)
        fleets.append(fleet)
        return await play_load(fleet, routes, duration_s, seed, DEMAND)

    random.seed(seed)
    results = run_in_virtual_time(run)
    counters = fleets[0].metrics.counters
    label = f'service="{SERVICE}"'
    return Play(
        results,
        int(counters.get(("refused_in_doubt", label), 0)),
        measure_idle_shares(fleets[0], duration_s),
    )


def total_worth(plays: list[Play]) -> float:
    """Return the worth that callers got, as a share of the most that they could get."""
    worth = most_worth = 0.0
    for route in ROUTES:
        results = [played.results[route.name] for played in plays]
        worth += route.worth * sum(result.worth for result in results)
        most_worth += route.worth * sum(result.calls for result in results)
    return worth / most_worth


def format_row(name: str, utilisation: float, plays: list[Play]) -> str:
    """Return one row of the table, with the sums over several plays."""
    cells = []
    for route in ROUTES:
        results = [played.results[route.name] for played in plays]
        calls = sum(result.calls for result in results)
        served = sum(result.in_time + result.late for result in results)
        in_time = sum(result.in_time for result in results)
        cells.append(f"{served / calls:.3f} / {in_time / calls:.3f}")
        if not route.idempotent:
            lost = sum(result.failed for result in results)
            cells.append(f"{lost} of {calls}")
    every = [result for played in plays for result in played.results.values()]
    idle_shares = [share for played in plays for share in played.idle_shares]
    cells += [
        str(sum(result.refused for result in every)),
        str(sum(played.doubtful for played in plays)),
        f"{total_worth(plays):.4f}",
        f"{np.mean(idle_shares):.2f} / {max(idle_shares):.2f}",
        str(sum(result.ran_twice + result.false_refusals for result in every)),
    ]
    return f"| {name} | {utilisation:.2f} | {' | '.join(cells)} |"


def main() -> None:
    """Play the chosen variants at each load."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("variants", nargs="*", help=", ".join(VARIANTS))
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--loads", type=float, nargs="+", default=[0.25, 0.9])
    parser.add_argument("--even", action="store_true", help="targets of equal speed")
    parser.add_argument("--duration", type=float, default=DURATION_S, help="seconds")
    parser.add_argument("--no-drops", action="store_true")
    parser.add_argument("--workers", type=int, default=2)
    options = parser.parse_args()
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    columns = ["changes", "load"]
    for route in ROUTES:
        columns.append(f"{route.name} served / in time")
        if not route.idempotent:
            columns.append("lost")
    columns += [
        "refused",
        "refused in doubt",
        "worth",
        "idle, mean / most",
        "ran wrongly",
    ]
    print(f"| {' | '.join(columns)} |")
    with ProcessPoolExecutor(options.workers) as pool:
        for utilisation in options.loads:
            for name in options.variants or VARIANTS:
                play_seed = partial(
                    play,
                    VARIANTS[name],
                    utilisation,
                    drops=not options.no_drops,
                    uneven=not options.even,
                    duration_s=options.duration,
                )
                plays = list(pool.map(play_seed, options.seeds))
                print(format_row(name, utilisation, plays), flush=True)


if __name__ == "__main__":
    main()
