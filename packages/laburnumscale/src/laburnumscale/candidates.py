"""Candidates.

Finds the endpoints that an attempt of a call may go to, without looking at all of them.
"""

import random
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

import attrs

from laburnumscale.concentration import Concentration
from laburnumscale.endpointindex import EndpointView
from laburnumscale.endpointpool import EndpointPool, SampledSet
from laburnumscale.loadtable import EndpointHealth, EndpointLoad

__all__ = [
    "Candidates",
    "concentrate",
    "eligible",
    "find_candidates",
    "rank_load",
    "sample_best",
]

#: Endpoints that one concentrated call chooses from, and those that it may skip, so
#: that its cost does not grow with the service.
MAX_CONCENTRATED = 16
MAX_SKIPPED = 16


@attrs.frozen(eq=False)
class Candidates:
    """The endpoints that an attempt may go to; both iterators can be read once.

    :ivar anywhere: yields all of them, in random order.
    :ivar local: yields those in the data centre of the entry, in random order.
    """

    anywhere: Iterator[EndpointView]
    local: Iterator[EndpointView]


def find_candidates(
    pool: EndpointPool,
    floor_percent: int,
    data_centre: str,
    tried: set[str],
    idempotent: bool,
) -> Candidates:
    """Return the endpoints of a service that an attempt may go to.

    :param data_centre: data centre of the entry.
    :param tried: names of the endpoints that the call has tried.
    :param idempotent: whether the call may run more than once.
    """
    if len(pool.healthy) > sum(name in pool.healthy for name in tried):
        return Candidates(
            _untried_views(pool, pool.healthy, tried),
            _untried_views(pool, pool.healthy_in(data_centre), tried),
        )
    in_use = pool.in_use_unless_healthy(floor_percent)
    untried = [each for each in in_use if each.view.endpoint not in tried]
    if pool.healthy and not idempotent:
        untried = []
    found = eligible(untried, in_use, idempotent)
    return Candidates(
        (each.view for each in found),
        (each.view for each in found if each.view.data_centre == data_centre),
    )


def concentrate(
    pool: EndpointPool,
    names: SampledSet,
    tried: set[str],
    concentration: Concentration,
    is_good: Callable[[EndpointView], bool],
) -> Iterator[EndpointView]:
    """Yield the endpoints that share the calls that may run only once.

    They are the first ones in an order that is the same at every entry, without those
    that are known to be unsuitable.

    :param names: healthy endpoints of the pool.
    :param tried: names of the endpoints that the call has tried.
    :param is_good: whether an endpoint is suitable for the call.
    """
    ordered = names.ordered()
    count = concentration.count(len(ordered))
    if count > MAX_CONCENTRATED:
        first = (ordered[position] for position in _draw_positions(count))
    else:
        first = islice(ordered, count + MAX_SKIPPED)
    views = (pool.health(name).view for _, name in first if name not in tried)
    found = list(islice((view for view in views if is_good(view)), count))
    random.shuffle(found)
    return iter(found)


def eligible(
    untried: list[EndpointHealth], in_use: list[EndpointHealth], idempotent: bool
) -> list[EndpointHealth]:
    """Return the untried endpoints that a call may go to.

    Unhealthy endpoints that stay in use because of the floor serve calls only when
    the healthy ones are full. A call that may run only once waits for a healthy
    endpoint instead, if there is one: a failing target could leave the outcome of the
    call unknown, and no further attempt could correct that.
    """
    healthy = [each for each in untried if not each.unhealthy]
    if healthy:
        return healthy
    if not idempotent and any(not each.unhealthy for each in in_use):
        return []
    return untried


def rank_load(load: EndpointLoad, avoid_doubt: bool) -> tuple[bool, bool]:
    """Return a sort key that puts the endpoints that a call prefers first.

    :param avoid_doubt: prefer endpoints whose latest calls have not failed.
    """
    return load.is_limited, avoid_doubt and load.in_doubt


def sample_best(
    loads: Iterable[EndpointLoad],
    rank: Callable[[EndpointLoad], tuple[bool, bool]],
    count: int,
    max_sampled: int,
) -> list[EndpointLoad]:
    """Return up to ``count`` endpoints of the best rank among the sampled ones.

    :param loads: endpoints in random order.
    :param max_sampled: endpoints to look at.
    """
    by_rank: dict[tuple[bool, bool], list[EndpointLoad]] = {}
    for load in islice(loads, max_sampled):
        key = rank(load)
        by_rank.setdefault(key, []).append(load)
        if not any(key) and len(by_rank[key]) == count:
            break
    return by_rank[min(by_rank)][:count] if by_rank else []


def _draw_positions(count: int) -> list[int]:
    return random.sample(range(count), MAX_CONCENTRATED)


def _untried_views(
    pool: EndpointPool, names: SampledSet, tried: set[str]
) -> Iterator[EndpointView]:
    return (pool.health(name).view for name in names.shuffled() if name not in tried)
