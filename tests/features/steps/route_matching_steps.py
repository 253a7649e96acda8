import time

from behave import given, then
from hypothesis import given as for_all, settings, strategies

from laburnumscale.settingstree import SettingsTree
from laburnumscale_schema import settings_pb2

HOST = "desk.example"
SEGMENTS = strategies.sampled_from(("", "a", "b", "ab", ".", "%2f"))
PATHS = strategies.lists(SEGMENTS, max_size=6).map(lambda parts: "/" + "/".join(parts))
PREFIXES = PATHS.map(lambda path: path + "/")


def build_tree(prefixes, host=HOST):
    snapshot = settings_pb2.Snapshot(revision=1)
    for prefix in prefixes:
        state = snapshot.places.add(place=f"route:{host}{prefix}", revision=1)
        state.route.host, state.route.path_prefix = host, prefix
        state.route.service = "slot-desk"
    tree = SettingsTree()
    tree.restore(snapshot)
    return tree


@given("routes for {prefixes} and {last}")
def step_create_routes(context, prefixes, last):
    context.tree = build_tree([*prefixes.split(", "), last])


@then("the path {path} is routed by {prefix}")
def step_check_route(context, path, prefix):
    found = context.tree.route(HOST, path)
    assert (found.path_prefix if found else "none") == prefix, found


@then("this holds for {count:d} drawn sets of routes and paths")
def step_check_drawn(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True)
    @for_all(strategies.sets(PREFIXES, max_size=6), PATHS)
    def check(prefixes, path):
        matching = [prefix for prefix in prefixes if path.startswith(prefix)]
        expected = max(matching, key=len, default=None)
        found = build_tree(prefixes).route(HOST, path)
        assert (found.path_prefix if found else None) == expected

    check()


@then("a path of {count:d} slashes is routed within {limit_ms:d} ms")
def step_check_time(context, count, limit_ms):
    path = "/slots" + "/" * count
    started_at_s = time.process_time()
    assert context.tree.route(HOST, path).path_prefix == "/slots/"
    elapsed_ms = (time.process_time() - started_at_s) * 1000
    assert elapsed_ms < limit_ms, elapsed_ms


@then("endpoint {endpoint} has received the request target {target}")
def step_check_target(context, endpoint, target):
    (entry,) = [
        each
        for each in context.fleet.targets[endpoint].ledger()
        if each["id"] == context.attempt_id
    ]
    assert entry["target"] == target, entry
