import asyncio
import json
import time
from types import SimpleNamespace

import aiohttp
from behave import given, then, when
from structlog.testing import capture_logs

from laburnumscale import errors
from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.departurereplicator import Replicas
from laburnumscale.localtarget import LocalTarget
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient, Record
from laburnumscale.settingsdocuments import DocumentSource, SettingsDocumentReader
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_platform.heartbeats import heartbeat_app
from laburnumscale_platform.topics import TopicLog
from laburnumscale_schema import peer_pb2, settings_pb2

SETTINGS_DEFAULTS = {"floor_percent": 70, "retry_budget_percent": 20}


def run_with_client(context, action):
    """Run an action with a new log client and return its result or its error."""

    async def call_action():
        async with aiohttp.ClientSession() as session:
            log = TopicLog(f"http://127.0.0.1:{context.store_port}", session)
            try:
                return await action(log)
            except errors.LaburnumscaleError as error:
                return error

    return asyncio.run(call_action())


@given("a store and its client")
def step_start_store(context):
    context.fleet.start_store()
    context.store_port = context.fleet.log_port


@given("a client of a store that is not running")
def step_choose_unused_port(context):
    context.store_port = context.fleet.free_port()


@when(
    'the client appends "{one}" with key {first} and "{two}" with key {second} '
    "to the topic presence"
)
def step_append_two_records(context, one, first, two, second):
    async def append(log):
        await log.append("presence", one.encode(), first)
        await log.append("presence", two.encode(), second)

    assert run_with_client(context, append) is None


def append_numbered(context, text, key, number):
    return run_with_client(
        context, lambda log: log.append("presence", text.encode(), key, number)
    )


@when('the client appends "{text}" with key {key}, numbered {number:d}')
def step_append_numbered(context, text, key, number):
    assert isinstance(append_numbered(context, text, key, number), int)


@when('the client appends "{text}" with key {key}, numbered {number:d}, unanswered')
def step_append_unanswered(context, text, key, number):
    found = append_numbered(context, text, key, number)
    assert isinstance(found, errors.LogUnavailable), found


@then('the newest record of key {key} is "{text}" {delay_ms:d} ms later')
def step_check_newest_later(context, key, text, delay_ms):
    time.sleep(delay_ms / 1000)
    batch = run_with_client(context, lambda log: log.read_newest("presence"))
    assert {each.key: each.payload for each in batch.records}[key] == text.encode()


@when("the client appends one record for each of {count:d} keys to the topic presence")
def step_append_one_per_key(context, count):
    async def append(log):
        for number in range(count):
            await log.append("presence", b"x", f"key-{number:04}")

    assert run_with_client(context, append) is None


@when("the store drops the records before offset {offset:d}")
def step_drop_records(context, offset):
    context.fleet.post_to_store(f"trim/keyed.presence/{offset}")


@when("the store has the faults {faults}")
def step_set_store_faults(context, faults):
    context.fleet.post_to_store("faults", faults.encode())


def read(context, offset):
    return run_with_client(context, lambda log: log.read("presence", offset))


def record_tuples(batch):
    return [(each.payload.decode(), each.key, each.offset) for each in batch.records]


@then(
    'a read from offset 0 returns "{one}" with key {first} at 0 '
    'and "{two}" with key {second} at 1'
)
def step_check_two_records(context, one, first, two, second):
    batch = read(context, 0)
    assert record_tuples(batch) == [(one, first, 0), (two, second, 1)], batch


@then(
    "a read from offset {offset:d} returns no records "
    "and next offset {expected_offset:d}"
)
def step_check_read_at_end(context, offset, expected_offset):
    batch = read(context, offset)
    assert (record_tuples(batch), batch.next_offset) == ([], expected_offset), batch


@then("a read from offset 0 returns one record")
def step_check_record_count(context):
    assert len(read(context, 0).records) == 1


@then('the newest records are "{payload}" with key {key} at offset {offset:d}')
def step_check_newest(context, payload, key, offset):
    batch = run_with_client(context, lambda log: log.read_newest("presence"))
    assert record_tuples(batch) == [(payload, key, offset)], batch


@then("reading the newest records returns {count:d} records")
def step_check_newest_count(context, count):
    batch = run_with_client(context, lambda log: log.read_newest("presence"))
    assert len(batch.records) == count, len(batch.records)


@then("a read from offset {offset:d} reports {oldest:d} as the oldest offset")
def step_check_oldest_offset(context, offset, oldest):
    batch = read(context, offset)
    assert (batch.records, batch.oldest_offset) == ((), oldest), batch


@then("an append raises {append} and a read raises {read_error}")
def step_check_append_and_read_errors(context, append, read_error):
    step_check_append_error(context, append)
    found = read(context, 0)
    assert type(found).__name__ == read_error, found


@then("an append raises {append}")
def step_check_append_error(context, append):
    found = run_with_client(context, lambda log: log.append("presence", b"x", "a"))
    assert type(found).__name__ == append, found


def configuration_document(fault=""):
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
    if fault == "a text as time":
        hold["timeout_s"] = "soon"
    if fault == "no backend at all":
        del hold["service"]
    if fault == "an endless time":
        hold["timeout_s"] = float("inf")
    if fault == "an absurd version":
        value["version"] = 2**70
    return [value] if fault == "a list as document" else value


@when("a configuration with version {version:d} is decoded")
def step_decode_valid(context, version):
    payload = json.dumps(configuration_document() | {"version": version}).encode()
    context.snapshot = decode_configuration(payload, SETTINGS_DEFAULTS)


def configuration_payload(fault):
    if fault == "deep nesting":
        return b"[" * 100_000
    return json.dumps(configuration_document(fault)).encode()


@when("a configuration with {fault} is decoded")
def step_decode_invalid(context, fault):
    try:
        context.snapshot = decode_configuration(
            configuration_payload(fault), SETTINGS_DEFAULTS
        )
    except errors.LaburnumscaleError as error:
        context.snapshot = error


@then("decoding the configuration fails")
def step_check_decoding_failed(context):
    assert isinstance(context.snapshot, errors.LaburnumscaleError), context.snapshot


@then("the snapshot has revision {revision:d}")
def step_check_revision(context, revision):
    assert context.snapshot.revision == revision


def find_route_settings(context, place) -> settings_pb2.Route:
    (found,) = [s for s in context.snapshot.places if s.place == f"route:{place}"]
    return found.route


@then(
    "the route of {place} has the backends {one} with weight {first:d} "
    "and {two} with weight {second:d}"
)
def step_check_backends(context, place, one, first, two, second):
    context.route = find_route_settings(context, place)
    weights = [(each.service, each.weight) for each in context.route.backends]
    assert weights == [(one, first), (two, second)], weights


@then(
    "that route is idempotent with time limit {limit_ms:d} ms, {attempts:d} attempts, "
    "latency objective {objective_ms:d} ms and priority {expected_priority:d}"
)
def step_check_route_settings(
    context, limit_ms, attempts, objective_ms, expected_priority
):
    route = context.route
    found = (
        route.idempotent,
        route.time_limit_ms,
        route.attempt_limit,
        route.latency_objective_ms,
        route.priority,
    )
    assert found == (True, limit_ms, attempts, objective_ms, expected_priority), found


@then("the route of {place} is not idempotent")
def step_check_not_idempotent(context, place):
    assert not find_route_settings(context, place).idempotent


class _OneDocumentLog(LogClient):
    """A log whose newest record under the configuration key can be replaced."""

    def __init__(self, payload):
        self.records = [Record(0, payload, "config")]

    async def read(self, stream, offset, wait_ms=0):
        return Batch(tuple(self.records[offset:]), 0, len(self.records))

    async def read_newest(self, stream):
        return Batch(tuple(self.records[-1:]), 0, len(self.records))


def read_documents(context):
    async def read():
        source = DocumentSource(
            "op",
            "config",
            lambda payload, on_adjustment: decode_configuration(
                payload, SETTINGS_DEFAULTS, on_adjustment
            ),
        )
        reader = SettingsDocumentReader(
            context.feed, context.log, Metrics(), source, role=None
        )
        with capture_logs() as context.log_lines:
            await reader.read(0)

    asyncio.run(read())


@given("a daemon that has applied a configuration with version 7")
def step_apply_configuration(context):
    context.feed = SettingsFeed(Metrics(), 1000)
    context.log = _OneDocumentLog(configuration_payload(""))
    read_documents(context)
    assert context.feed.tree.revision == 7


@when("it reads a configuration with {fault}")
def step_read_invalid_configuration(context, fault):
    context.log.records.append(Record(1, configuration_payload(fault), "config"))
    read_documents(context)


@then("its settings still have revision {revision:d}")
def step_check_feed_revision(context, revision):
    assert context.feed.tree.revision == revision, context.feed.tree.revision


@then("its log names the document and the reason")
def step_check_skip_logged(context):
    (line,) = context.log_lines
    assert line["event"] == "settings document skipped", line
    assert "offset 1" in line["reason"], line


@given("a target registry")
def step_create_registry(context):
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    context.members = Members(own)
    context.registry = TargetRegistry("d1", context.members, Metrics())


class AnyService:
    """A settings feed without settings: any service may be configured."""

    def may_have_service(self, service):
        return True

    def has_service(self, service):
        return False


ANY_SERVICE = AnyService()


async def replicate(departure):
    """Let the log remember a departure, but no other daemon."""
    return Replicas(confirmed=0, is_recorded=True)


def handle_heartbeat(
    name,
    registry,
    services=ANY_SERVICE,
    service="slot-desk",
    slots=5,
):
    """Return the status of the response to a heartbeat.

    :param name: name of the daemon; sanic refuses two applications of the same name.
    """
    app = heartbeat_app(name, registry, 1500, services, replicate, Metrics())
    info = {"service": service, "version": "v1", "zone": "makati", "slots": slots}
    status = {"state": "ready", "sequence": 1, "cold_left_s": 0}
    value = {"address": "127.0.0.1:9", "info": info, "status": status}
    (route,) = app.router.routes
    request = SimpleNamespace(
        get_args=lambda errors: {"call": "instances.heartbeat", "of": "i-1"},
        body=json.dumps(value).encode(),
        ip="127.0.0.1",
    )
    return asyncio.run(route.handler(request)).status


@when("a heartbeat with {slots:d} slots is handled")
def step_handle_heartbeat(context, slots):
    context.heartbeat_status = handle_heartbeat(
        f"slots{slots}", context.registry, slots=slots
    )


@then("its status is {status:d}")
def step_check_heartbeat_status(context, status):
    assert context.heartbeat_status == status, context.heartbeat_status


@then("the endpoints can still be published")
def step_check_published(context):
    context.registry.announce(
        LocalTarget(
            "slot-desk",
            "i-2",
            Address("127.0.0.1", 10),
            5,
            peer_pb2.TARGET_STATE_READY,
            Deadline.after_ms(1000),
        )
    )
    listed = [each.endpoint for each in context.members.own.endpoints]
    assert "i-2" in listed, listed
