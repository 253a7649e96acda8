"""Load of the model.

Sends the calls of several routes to a model fleet and records what their callers get.
"""

import asyncio
import itertools
from types import SimpleNamespace

import attrs
import numpy as np

from bench.model.fleet import SERVER_ERROR, SERVICE, ModelFleet
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline
from laburnumscale.outcomes import Answered, NotRun, Outcome

__all__ = ["LoadResult", "RouteLoad", "play_load", "run_call"]

MS_PER_S = 1000
#: Callers honour ``Retry-After`` up to this share of their remaining time.
PATIENCE_SHARE = 1 / 3


@attrs.frozen
class RouteLoad:
    """The calls of one route.

    :ivar calls_per_s: mean rate of a Poisson process.
    :ivar work_ms: median of the lognormal work.
    :ivar work_sigma: spread of the work, as the deviation of its logarithm.
    :ivar worth: worth of an answer within the objective.
    :ivar late_worth: worth of an answer after the objective.
    :ivar account: client account of the callers; empty if none.
    :ivar surges: times in seconds in which the rate is a multiple of ``calls_per_s``:
        start, end and factor of each.
    :ivar comes_back: whether callers repeat a call that was not run after its
        ``Retry-After``, if that is at most a third of their remaining time.
    """

    name: str
    calls_per_s: float
    idempotent: bool
    work_ms: float
    objective_ms: int
    deadline_ms: int
    work_sigma: float = 0.5
    priority: int = 0
    late_worth: float = 0.3
    worth: float = 1.0
    account: str = ""
    surges: tuple[tuple[float, float, float], ...] = ()
    comes_back: bool = False

    @property
    def key(self) -> str:
        """Return the key of the results: the name, after the account if any."""
        return f"{self.account}/{self.name}" if self.account else self.name

    def surge_factor(self, age_s: float) -> float:
        """Return the multiple of the rate at a time since the start."""
        factors = [factor for start, end, factor in self.surges if start <= age_s < end]
        return max(factors, default=1.0)


@attrs.define
class LoadResult:
    """What the callers of one route got.

    :ivar in_time: answers within the objective.
    :ivar refusal_ms: how long each refused call waited for its refusal.
    :ivar ran_twice: calls that may run only once and ran more often.
    :ivar false_refusals: calls reported as not run that had run.
    """

    calls: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    worth: float = 0.0
    refusal_ms: list[float] = attrs.field(factory=list)
    ran_twice: int = 0
    false_refusals: int = 0

    @property
    def worth_share(self) -> float:
        """Return the worth earned for each call."""
        return self.worth / max(1, self.calls)


async def play_load(
    fleet: ModelFleet,
    routes: list[RouteLoad],
    duration_s: float,
    seed: int,
    demand: dict[str, float] | None = None,
) -> dict[str, LoadResult]:
    """Send the calls of all routes and return the results by the keys of routes.

    :param demand: calls of an entry in each data centre, relative to the others; the
        same in all by default.
    """
    random = np.random.default_rng(seed)
    shares = None
    if demand is not None:
        weights = np.array([demand.get(place, 1.0) for _, place in fleet.runners])
        shares = weights / weights.sum()
    results = {route.key: LoadResult() for route in routes}
    numbers = itertools.count(1)
    async with asyncio.TaskGroup() as group:
        for route in routes:
            arrivals = _send_calls(
                group,
                fleet,
                route,
                results[route.key],
                duration_s,
                random,
                numbers,
                shares,
            )
            group.create_task(arrivals)
    return results


async def _send_calls(
    group: asyncio.TaskGroup,
    fleet: ModelFleet,
    route: RouteLoad,
    result: LoadResult,
    duration_s: float,
    random: np.random.Generator,
    numbers: itertools.count,
    shares: np.ndarray | None,
) -> None:
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    end_at_s = started_at_s + duration_s
    max_factor = max([1.0, *(factor for _, _, factor in route.surges)])
    while True:
        await asyncio.sleep(random.exponential(1 / (max_factor * route.calls_per_s)))
        if loop.time() >= end_at_s:
            return
        factor = route.surge_factor(loop.time() - started_at_s)
        if factor < max_factor and random.random() >= factor / max_factor:
            continue
        request_id = f"call-{next(numbers)}"
        work_ms = route.work_ms * random.lognormal(0.0, route.work_sigma)
        fleet.work_s[request_id] = work_ms / MS_PER_S
        if route.account:
            fleet.accounts[request_id] = route.account
        runner, _ = fleet.runners[random.choice(len(fleet.runners), p=shares)]
        group.create_task(run_call(fleet, route, request_id, result, runner))


async def run_call(
    fleet: ModelFleet,
    route: RouteLoad,
    request_id: str,
    result: LoadResult,
    runner: CallRunner | None = None,
) -> None:
    """Send one call and record what its caller gets.

    :param runner: the entry that receives it; the first one by default.
    """
    runner = runner or fleet.runners[0][0]
    loop = asyncio.get_running_loop()
    started_at_s = loop.time()
    deadline = Deadline.after_ms(route.deadline_ms)
    objective = Deadline.after_ms(route.objective_ms)
    outcome = await _send(fleet, route, request_id, runner, deadline, objective)
    while route.comes_back and isinstance(outcome, NotRun):
        pause_ms = outcome.retry_after_ms
        if not 0 < pause_ms <= PATIENCE_SHARE * deadline.left_ms():
            break
        await asyncio.sleep(pause_ms / MS_PER_S)
        outcome = await _send(fleet, route, request_id, runner, deadline, objective)
    elapsed_ms = (loop.time() - started_at_s) * MS_PER_S
    _record(route, result, outcome, elapsed_ms, fleet.count_runs(request_id))


async def _send(
    fleet: ModelFleet,
    route: RouteLoad,
    request_id: str,
    runner: CallRunner,
    deadline: Deadline,
    objective: Deadline,
) -> Outcome:
    call = Call(
        request=SimpleNamespace(method="GET", headers={}),
        request_id=request_id,
        service=SERVICE,
        path_and_query="/",
        settings=fleet.settings,
        idempotent=route.idempotent,
        deadline=deadline,
        body=b"",
        route=route.name,
        priority=route.priority,
        objective=objective,
    )
    outcome, _ = await runner.run(call)
    return outcome


def _record(
    route: RouteLoad,
    result: LoadResult,
    outcome: Outcome,
    elapsed_ms: float,
    runs: int,
) -> None:
    result.calls += 1
    result.ran_twice += not route.idempotent and runs > 1
    if isinstance(outcome, NotRun):
        result.refused += 1
        result.refusal_ms.append(elapsed_ms)
        result.false_refusals += not route.idempotent and runs > 0
    elif not isinstance(outcome, Answered) or outcome.status >= SERVER_ERROR:
        result.failed += 1
    elif elapsed_ms <= route.objective_ms:
        result.in_time += 1
        result.worth += route.worth
    else:
        result.late += 1
        result.worth += route.late_worth
