from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies

from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import FLOOR_PERCENT, SERVICE, RoutingEntry

STATES = (peer_pb2.TARGET_STATE_READY, peer_pb2.TARGET_STATE_DRAINING)
MEMBER_STATES = (
    peer_pb2.MEMBER_STATE_ALIVE,
    peer_pb2.MEMBER_STATE_ALIVE,
    peer_pb2.MEMBER_STATE_SUSPECT,
    peer_pb2.MEMBER_STATE_DEAD,
)
DAEMONS = 8


_INDEXES = strategies.integers(0, DAEMONS - 1)
_VERDICTS = {
    "ejected": strategies.booleans(),
    "on_trial": strategies.booleans(),
    "severity_percent": strategies.integers(0, 3),
    "verdict_version": strategies.integers(0, 6),
}
_CHANGES = strategies.one_of(
    strategies.tuples(
        strategies.just("merge"),
        _INDEXES,
        strategies.fixed_dictionaries(
            _VERDICTS
            | {
                "state": strategies.sampled_from(STATES),
                "member_state": strategies.sampled_from(MEMBER_STATES),
                "draining": strategies.booleans(),
                "slots": strategies.integers(1, 6),
                "endpoint": _INDEXES.map(lambda index: f"e{index}"),
            }
        ),
    ),
    strategies.tuples(
        strategies.just("report"), _INDEXES, strategies.fixed_dictionaries(_VERDICTS)
    ),
    strategies.tuples(strategies.just("path"), _INDEXES, strategies.just({})),
)


def _apply(entry, kind, index, changes):
    if kind == "merge":
        entry.merge(index, **changes)
    elif kind == "report":
        entry.report(index, **changes)
    else:
        entry.paths.toggle(f"127.0.0.1:{1000 + index}")


def _check_agreement(entry):
    pool = entry.router._pools.get(SERVICE)
    expected = entry.router.selection(SERVICE)
    rest = pool.in_use_unless_healthy(FLOOR_PERCENT)
    in_use = set(pool.healthy.shuffled()) | {each.view.endpoint for each in rest}
    assert in_use == {load.view.endpoint for load in expected.in_use}
    on_trial = {
        name for dc in ("dc0", "dc1") for name in pool.on_trial_in(dc).shuffled()
    }
    assert on_trial == {load.view.endpoint for load in expected.on_trial}
    assert pool.announced_slots == expected.announced_slots
    healthy = {load.view.endpoint for load in expected.in_use if not load.unhealthy}
    assert expected.in_use == [] or set(pool.healthy.shuffled()) <= healthy
    local = set(pool.healthy_in("dc0").shuffled())
    assert local == {
        name
        for name in pool.healthy.shuffled()
        if pool.health(name).view.data_centre == "dc0"
    }
    group = [entry.members.own, *entry.members.peers()]
    for name in ("dc0", "dc1"):
        count = sum(each.data_centre == name for each in group)
        assert entry.members.count_in(name) == count


@then(
    "after {count:d} random changes of endpoints, verdicts and paths the endpoints in "
    "use agree"
)
def step_check_random_changes(context, count):
    @hypothesis_settings(max_examples=150, deadline=None, derandomize=True)
    @for_all(strategies.lists(_CHANGES, min_size=5, max_size=count))
    def check(changes):
        entry = RoutingEntry()
        for kind, index, values in changes:
            _apply(entry, kind, index, values)
            _check_agreement(entry)

    check()


@given(
    "an entry that knows {count:d} endpoints of a service in {data_centres:d} data "
    "centres"
)
def step_create_entry(context, count, data_centres):
    context.entry = RoutingEntry()
    for index in range(count):
        context.entry.merge(index, data_centres)
    context.entry.router.pick(SERVICE, set(), True)


@given("all endpoints of its data centre but {free:d} are full")
def step_fill_endpoints(context, free):
    router = context.entry.router
    views = context.entry.members.endpoints(SERVICE)
    local = [view for view in views if view.data_centre == "dc0"]
    for view in local[free:]:
        for _ in range(view.slots):
            router.load_table.record_start(view)
    context.free_endpoints = {view.endpoint for view in local[:free]}


@when("it chooses endpoints for {count:d} calls and informs their guards")
def step_choose(context, count):
    router = context.entry.router
    context.looks = []
    context.chosen = []
    rate = router.load_table.endpoint_load

    def count_looks(*args, **kwargs):
        context.looks[-1] += 1
        return rate(*args, **kwargs)

    router.load_table.endpoint_load = count_looks
    for _ in range(count):
        context.looks.append(0)
        view = router.pick(SERVICE, set(), True, route=7)
        head = peer_pb2.CallHead(service=SERVICE, endpoint=view.endpoint, route=7)
        router.fill_call_head(head, view)
        context.chosen.append(view)


@then("each choice looked at no more than {count:d} endpoints")
def step_check_looks(context, count):
    assert max(context.looks) <= count, max(context.looks)


@then("at least {count:d} of the choices are free endpoints of its data centre")
def step_check_free(context, count):
    free = sum(view.endpoint in context.free_endpoints for view in context.chosen)
    assert free >= count, free


@when("1 daemon marks its endpoint as ejected")
def step_eject(context):
    context.updated = []
    context.entry.members.on_endpoint_change(
        lambda service, endpoint, view: context.updated.append(endpoint)
    )
    context.entry.merge(5, 6, ejected=True, verdict_version=1)


@then("1 endpoint of the service was updated")
def step_check_updated(context):
    assert context.updated == ["e5"], context.updated


@then("that endpoint is not in use")
def step_check_not_in_use(context):
    in_use = context.entry.router.selection(SERVICE).in_use
    assert "e5" not in {load.view.endpoint for load in in_use}
    assert "e5" not in context.entry.router._pools.get(SERVICE).healthy
