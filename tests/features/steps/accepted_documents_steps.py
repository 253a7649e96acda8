import asyncio
import json

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies

from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient, Record
from laburnumscale.settingsdocuments import DocumentSource, SettingsDocumentReader
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_platform.names import translate_service_name

HOST = "desk.example"


def route(prefix, to, **fields):
    return {
        "name": f"r-{prefix}",
        "hostname": HOST,
        "path_prefix": f"/{prefix}/",
        "route_type": "idempotent",
        "timeout_s": 2,
        "target_latency_s": 1,
        "priority": 1,
        "service": to,
        "max_attempts": 2,
    } | fields


def document(version, hold_service, lookup=None, service=None, limits=None, routes=()):
    names = ("slot-desk", "slot-desk-2")
    return {
        "version": version,
        "routes": [
            route("lookup", "slot-desk", **(lookup or {})),
            route("hold", hold_service, route_type="non_idempotent"),
            *routes,
        ],
        "services": [
            *({"name": name, "health_path": "/healthz"} for name in names),
            {"name": "third", "health_path": "/healthz"} | (service or {}),
        ],
        "limits": limits or {},
    }


class DocumentLog(LogClient):
    """A log with documents under the key of the configuration."""

    def __init__(self):
        self.records = []

    def write(self, payload):
        self.records.append(Record(len(self.records), payload, "config"))

    async def read(self, stream, offset, wait_ms=0):
        return Batch(tuple(self.records[offset:]), 0, len(self.records))

    async def read_newest(self, stream):
        return Batch(tuple(self.records[-1:]), 0, len(self.records))


class Reader:
    """A daemon's feed and the reader that fills it."""

    def __init__(self):
        self.metrics = Metrics()
        self.feed = SettingsFeed(self.metrics, 1000)
        self.log = DocumentLog()

        def decode(payload, on_adjustment):
            return decode_configuration(payload, {"floor_percent": 70}, on_adjustment)

        source = DocumentSource("op", "config", decode)
        self.reader = SettingsDocumentReader(
            self.feed, self.log, self.metrics, source, role=None
        )

    def read(self, payload):
        self.log.write(payload)
        asyncio.run(self.reader.read(0))

    def write(self, value):
        """Read a document; numbers beyond the range of floats stay as written."""
        self.read(json.dumps(value).replace("Infinity", "1e999").encode())


@given("a daemon that holds version 7, in which holds go to slot-desk")
def step_create_reader(context):
    context.reader = Reader()
    context.reader.write(document(7, "slot-desk"))
    assert context.reader.feed.tree.revision == 7


@when(
    "version 9 moves holds to slot-desk-2, and its route of lookups has {field} {value}"
)
def step_write_route(context, field, value):
    fields = {field: json.loads(value)}
    if field == "weighted_backends":
        fields["service"] = None
    context.reader.write(document(9, "slot-desk-2", lookup=fields))


@when("version 9 moves holds to slot-desk-2, and has {part} with {field} {value}")
def step_write_part(context, part, field, value):
    name = "service" if part == "services" else part
    fields = {name: {field: json.loads(value)}}
    context.reader.write(document(9, "slot-desk-2", **fields))


@when(
    "version 9 moves holds to slot-desk-2, and has {count:d} further routes in 256 KiB"
)
def step_write_large(context, count):
    routes = [route(f"further-{number}", "slot-desk") for number in range(count)]
    value = document(9, "slot-desk-2", routes=routes)
    assert 200 * 1024 < len(json.dumps(value)) < 256 * 1024, len(json.dumps(value))
    context.reader.write(value)


@when('the bytes "{text}" are written in place of a document')
def step_write_bytes(context, text):
    context.reader.read(text.encode())


@then("version {version:d} is in force and holds go to {service}")
def step_check_in_force(context, version, service):
    tree = context.reader.feed.tree
    assert tree.revision == version, tree.revision
    assert tree.route(HOST, "/hold/1").service == service


@then("lookups have the {setting} {used}")
def step_check_setting(context, setting, used):
    found = context.reader.feed.tree.route(HOST, "/lookup/1")
    if setting == "backends":
        value = ", ".join(f"{each.service} {each.weight}" for each in found.backends)
    elif used == "unset":
        value = "set" if found.HasField(setting) else "unset"
    else:
        value = str(getattr(found, setting))
    assert value == used, value


@then("the daemon has reported the adjustment: {reported}")
def step_check_reported(context, reported):
    problems = context.reader.feed.problems.describe()
    counted = context.reader.metrics.counters["settings_values_adjusted", ""]
    assert len(problems) == counted == (reported == "yes"), problems


@then("a peer that receives its tree holds version {version:d}")
def step_check_peer(context, version):
    check_peer(context.reader, version)


def check_peer(reader, version):
    """Check that a peer takes over the tree of a daemon."""
    peer = SettingsFeed(Metrics(), 1000)
    peer.apply_reply(reader.feed.whole_tree_reply())
    assert peer.tree.revision == version, peer.tree.revision


NUMBERS = strategies.integers(-(2**70), 2**70) | strategies.floats(
    allow_nan=False, allow_infinity=False
)
NAMES = strategies.text(min_size=1, max_size=300)
LOOKUPS = strategies.fixed_dictionaries(
    {
        "timeout_s": NUMBERS,
        "target_latency_s": NUMBERS,
        "max_attempts": NUMBERS,
        "priority": NUMBERS,
        "service": NAMES,
        "name": NAMES,
    }
)
BACKENDS = strategies.lists(
    strategies.fixed_dictionaries({"service": NAMES, "weight": NUMBERS}), max_size=3
)


@then("this holds for {count:d} drawn documents with valid fields")
def step_check_drawn(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True)
    @for_all(LOOKUPS, BACKENDS, NAMES, NUMBERS)
    def check(lookup, backends, name, connections):
        reader = Reader()
        service = {"name": name, "max_connections": connections}
        fields = lookup | {"weighted_backends": backends}
        reader.write(document(9, "slot-desk-2", lookup=fields, service=service))
        assert reader.feed.tree.revision == 9
        assert reader.feed.has_service(translate_service_name(name))
        check_peer(reader, 9)

    check()


@then("its status reports that newer settings are not in force")
def step_check_problem(context):
    (problem,) = context.reader.feed.problems.describe()
    assert "offset 1" in problem, problem


@then("the counter of invalid records is {count:d}")
def step_check_counter(context, count):
    assert context.reader.metrics.counters["settings_records_invalid", ""] == count


@then("its status reports no problem of the settings")
def step_check_no_problem(context):
    assert context.reader.feed.problems.describe() == []


@then("the service {name} is called {translated} in the settings")
def step_check_translation(context, name, translated):
    assert translate_service_name(name) == translated, translate_service_name(name)
