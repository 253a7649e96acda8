"""Overload.

Plays a surge of one client account through the model with each queue policy, and prints
what callers get by kind of call and by account.
"""

import argparse
import logging
import random
from collections import defaultdict
from collections.abc import Iterable

import attrs
import structlog

from bench.model import (
    LoadResult,
    ModelFleet,
    RouteLoad,
    TargetPlan,
    play_load,
    run_in_virtual_time,
)
from laburnumscale.settingstree import EffectiveSettings

__all__ = ["KINDS", "POLICIES", "build_load", "main", "play", "sum_results"]

TARGETS = 6
SLOTS = 8
#: Targets differ in speed by a factor of two.
SPEEDS = (1.0, 1.4, 2.0)
QUEUE_LIMIT = 12
DURATION_S = 40
ACCOUNTS = 12
#: Shares of the load by account: one large one, two of middle size, and small ones.
LARGE_SHARE = 0.25
MIDDLE_SHARE = 0.12
SURGING = "a2"
SURGES = ((8.0, 16.0, 5.0), (24.0, 32.0, 5.0))
#: The kinds of calls of the first deployment of docs/design/hard-load.md.
KINDS = (
    RouteLoad("lookup", 0, True, 928, 4_256, 15_200, worth=1.5, late_worth=0.15),
    RouteLoad("publish", 0, False, 1_173, 8_307, 25_200, worth=1.5, late_worth=0.23),
    RouteLoad("download", 0, True, 747, 2_835, 21_400, worth=2.9, late_worth=0.12),
)
#: Queue policies; ``arrival`` is ``priority`` with equal priorities.
POLICIES = ("arrival", "priority", "cost")


def build_load(demand: float, by_priority: bool) -> list[RouteLoad]:
    """Return the calls of all accounts.

    :param demand: load without surges, as a multiple of the capacity.
    :param by_priority: whether accounts differ in priority: 0, 1 and 2 in turn.
    """
    work_ms = sum(kind.work_ms for kind in KINDS) / len(KINDS)
    slots = sum(SLOTS / SPEEDS[index % len(SPEEDS)] for index in range(TARGETS))
    calls_per_s = demand * slots / (work_ms / 1000)
    small_share = (1 - LARGE_SHARE - 2 * MIDDLE_SHARE) / (ACCOUNTS - 3)
    shares = [LARGE_SHARE, MIDDLE_SHARE, MIDDLE_SHARE]
    shares += [small_share] * (ACCOUNTS - len(shares))
    return [
        attrs.evolve(
            kind,
            calls_per_s=calls_per_s * share / len(KINDS),
            account=f"a{index}",
            priority=index % 3 if by_priority else 0,
            surges=SURGES if f"a{index}" == SURGING else (),
            comes_back=True,
        )
        for index, share in enumerate(shares)
        for kind in KINDS
    ]


def play(
    policy: str, demand: float, seed: int, duration_s: float = DURATION_S
) -> dict[str, LoadResult]:
    """Play the load with a policy and return the results by account and kind."""
    settings = EffectiveSettings(
        attempt_limit=2,
        queue_limit=QUEUE_LIMIT,
        queue_policy="cost" if policy == "cost" else "priority",
    )
    plans = [
        TargetPlan(slots=SLOTS, speed=SPEEDS[index % len(SPEEDS)])
        for index in range(TARGETS)
    ]
    routes = build_load(demand, by_priority=policy != "arrival")

    async def run():
        fleet = ModelFleet(plans, settings, seed)
        return await play_load(fleet, routes, duration_s, seed)

    random.seed(seed)
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.CRITICAL)
    )
    try:
        return run_in_virtual_time(run)
    finally:
        structlog.reset_defaults()


def sum_results(results: Iterable[LoadResult]) -> LoadResult:
    """Return the sum of results."""
    total = LoadResult()
    for result in results:
        for name in (
            "calls",
            "in_time",
            "late",
            "refused",
            "failed",
            "worth",
            "ran_twice",
            "false_refusals",
        ):
            setattr(total, name, getattr(total, name) + getattr(result, name))
    return total


def group(results: dict[str, LoadResult], position: int) -> dict[str, LoadResult]:
    """Return the sums by account (position 0) or by kind (1)."""
    groups = defaultdict(list)
    for key, result in results.items():
        groups[key.split("/")[position]].append(result)
    return {name: sum_results(each) for name, each in groups.items()}


def format_cell(total: LoadResult) -> str:
    """Return the shares in time, late, not run and failed, and the worth of a call."""
    calls = max(1, total.calls)
    shares = (total.in_time, total.late, total.refused, total.failed)
    text = " ".join(f"{each / calls:.3f}" for each in shares)
    return f"{text}; {total.worth_share:.3f}"


def main() -> None:
    """Print a table for each seed and one of the sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--demand", type=float, default=1.0)
    parser.add_argument("--seeds", type=int, nargs="+", default=[1, 2, 3])
    parser.add_argument("--policies", nargs="+", default=POLICIES)
    options = parser.parse_args()
    played = {
        (policy, seed): play(policy, options.demand, seed)
        for policy in options.policies
        for seed in options.seeds
    }
    for seed in options.seeds:
        cells = (
            f"{policy} {sum_results(played[policy, seed].values()).worth_share:.3f}"
            for policy in options.policies
        )
        print(f"seed {seed}: worth a call: {', '.join(cells)}")
    print(f"| calls | {' | '.join(options.policies)} |")
    print(f"| --- |{' --- |' * len(options.policies)}")
    for position in (1, 0):
        groups = {
            policy: _sum_seeds(
                group(played[policy, seed], position) for seed in options.seeds
            )
            for policy in options.policies
        }
        for name in groups[options.policies[0]]:
            cells = (format_cell(groups[policy][name]) for policy in options.policies)
            print(f"| {name} | {' | '.join(cells)} |")
    totals = (
        sum_results(
            result for seed in options.seeds for result in played[policy, seed].values()
        )
        for policy in options.policies
    )
    print(f"| all | {' | '.join(format_cell(total) for total in totals)} |")


def _sum_seeds(
    groups: Iterable[dict[str, LoadResult]],
) -> dict[str, LoadResult]:
    by_name = defaultdict(list)
    for each in groups:
        for name, result in each.items():
            by_name[name].append(result)
    return {name: sum_results(results) for name, results in by_name.items()}


if __name__ == "__main__":
    main()
