import asyncio
import json

import aiohttp
from behave import given, then, when

from laburnumscale import errors
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_platform.topics import TopicLog
from laburnumscale_schema import settings_pb2

DEFAULTS = {"floor_percent": 70, "retry_budget_percent": 20}


def run(context, action):
    """Run an action with a client of its own and return its result or its error."""

    async def with_client():
        async with aiohttp.ClientSession() as session:
            log = TopicLog(f"http://127.0.0.1:{context.store_port}", session)
            try:
                return await action(log)
            except errors.LaburnumscaleError as error:
                return error

    return asyncio.run(with_client())


@given("a store and its client")
def step_store(context):
    context.fleet.start_store()
    context.store_port = context.fleet.log_port


@given("a client of a store that is not there")
def step_no_store(context):
    context.store_port = context.fleet.free_port()


@when('the client appends "{one}" under {first} and "{two}" under {second} to presence')
def step_append(context, one, first, two, second):
    async def append(log):
        await log.append("presence", one.encode(), first)
        await log.append("presence", two.encode(), second)

    assert run(context, append) is None


@when("the client appends records under {count:d} keys to presence")
def step_append_many(context, count):
    async def append(log):
        for number in range(count):
            await log.append("presence", b"x", f"key-{number:04}")

    assert run(context, append) is None


@when("the store drops the records before {offset:d}")
def step_trim(context, offset):
    context.fleet.post_to_store(f"trim/keyed.presence/{offset}")


@when("the store has {faults}")
def step_faults(context, faults):
    context.fleet.post_to_store("faults", faults.encode())


def read(context, offset):
    return run(context, lambda log: log.read("presence", offset))


def shown(batch):
    return [(each.payload.decode(), each.key, each.offset) for each in batch.records]


@then(
    'a read from 0 returns "{one}" under {first} at 0 and "{two}" under {second} at 1'
)
def step_read(context, one, first, two, second):
    batch = read(context, 0)
    assert shown(batch) == [(one, first, 0), (two, second, 1)], batch


@then("a read from {offset:d} returns nothing and leads on at {following:d}")
def step_read_end(context, offset, following):
    batch = read(context, offset)
    assert (shown(batch), batch.next_offset) == ([], following), batch


@then("a read from 0 returns one record")
def step_read_one(context):
    assert len(read(context, 0).records) == 1


@then('the newest records are "{payload}" under {key} at {offset:d}')
def step_newest(context, payload, key, offset):
    batch = run(context, lambda log: log.read_newest("presence"))
    assert shown(batch) == [(payload, key, offset)], batch


@then("there are {count:d} newest records")
def step_newest_count(context, count):
    batch = run(context, lambda log: log.read_newest("presence"))
    assert len(batch.records) == count, len(batch.records)


@then("a read from {offset:d} says that {oldest:d} is the oldest offset")
def step_expired(context, offset, oldest):
    batch = read(context, offset)
    assert (batch.records, batch.oldest_offset) == ((), oldest), batch


@then("an append raises {append} and a read raises {read_error}")
def step_raises(context, append, read_error):
    step_append_raises(context, append)
    found = read(context, 0)
    assert type(found).__name__ == read_error, found


@then("an append raises {append}")
def step_append_raises(context, append):
    found = run(context, lambda log: log.append("presence", b"x", "a"))
    assert type(found).__name__ == append, found


def document(fault=""):
    split = {
        "hostname": "desk.example",
        "path_prefix": "/split/",
        "route_type": "idempotent",
        "timeout_s": 2,
        "target_latency_s": 1,
        "priority": 2,
        "max_attempts": 2,
        "weighted_backends": [
            {"service": "huvo11a", "weight": 90},
            {"service": "wuno96b", "weight": 10},
        ],
    }
    hold = dict(split, path_prefix="/hold/", route_type="non_idempotent")
    del hold["weighted_backends"]
    hold["service"] = "huvo11a"
    services = [{"name": name, "health_path": "/healthz"} for name in ("huvo11a",)]
    value = {"version": 7, "routes": [split, hold], "services": services}
    if fault in ("no version", "no routes"):
        del value[fault.removeprefix("no ")]
    if fault == "an unknown kind":
        hold["route_type"] = "sometimes"
    if fault == "a text as time":
        hold["timeout_s"] = "soon"
    if fault == "no backend at all":
        del hold["service"]
    return [value] if fault == "a list as document" else value


@when("a configuration with version {version:d} is decoded")
def step_decode(context, version):
    payload = json.dumps(document() | {"version": version}).encode()
    context.snapshot = decode_configuration(payload, DEFAULTS)


@when("a configuration with {fault} is decoded")
def step_decode_fault(context, fault):
    try:
        context.snapshot = decode_configuration(
            json.dumps(document(fault)).encode(), DEFAULTS
        )
    except errors.LaburnumscaleError as error:
        context.snapshot = error


@then("the configuration is refused")
def step_refused(context):
    assert isinstance(context.snapshot, errors.LaburnumscaleError), context.snapshot


@then("the tree has revision {revision:d}")
def step_revision(context, revision):
    assert context.snapshot.revision == revision


def find_route(context, place) -> settings_pb2.Route:
    (found,) = [s for s in context.snapshot.places if s.place == f"route:{place}"]
    return found.route


@then("the route of {place} has the parts {one} {first:d} and {two} {second:d}")
def step_parts(context, place, one, first, two, second):
    context.route = find_route(context, place)
    parts = [(each.service, each.weight) for each in context.route.backends]
    assert parts == [(one, first), (two, second)], parts


@then(
    "it may be repeated, within {limit_ms:d} ms, {attempts:d} attempts, objective "
    "{objective_ms:d} ms, rank {rank:d}"
)
def step_route(context, limit_ms, attempts, objective_ms, rank):
    route = context.route
    found = (
        route.idempotent,
        route.time_limit_ms,
        route.attempt_limit,
        route.latency_objective_ms,
        route.priority,
    )
    assert found == (True, limit_ms, attempts, objective_ms, rank), found


@then("the route of {place} may not be repeated")
def step_once(context, place):
    assert not find_route(context, place).idempotent
