import itertools
import json
import threading
import time

from behave import given, then, when

from tests.features.steps.platform_steps import (
    configuration_document,
    route_document,
    send_request,
    start_platform_daemon,
    write_configuration,
)
from tests.standins.fleet import request, wait_until

#: Time after which a confirmed configuration must be in force on every daemon.
IN_FORCE_AFTER_S = 2.0
STATUS_OK = 200
REPORT_TIME_S = 0.5
LOG_READS = 'laburnumscale_log_reads_total{stream="op"}'
FETCHES = "laburnumscale_settings_fetches_total{}"


def read_metric(context, daemon, name):
    """Return the value of a metric of a daemon, or 0 if it has none."""
    address = context.fleet.daemons[daemon].operator_address
    text = request("GET", f"http://{address}/metrics").body.decode()
    values = dict(line.rsplit(" ", 1) for line in text.splitlines())
    return float(values.get(name, 0))


def write_routes(context, version, prefixes):
    document = configuration_document(version)
    document["routes"] += [
        route_document(prefix, "idempotent", "slot-desk") for prefix in prefixes
    ]
    body = json.dumps(document).encode()
    assert context.fleet.post_to_store("put/keyed.op/config", body).status == STATUS_OK


@given(
    "a linked platform fleet of {count:d} daemons in {data_centre}, "
    "with links from {source} to the others and the store"
)
def step_start_fleet_with_links(context, count, data_centre, source):
    context.last_version = 3
    context.fleet.start_store()
    names = [f"d{index + 1}" for index in range(count)]
    for name in names:
        if name != source:
            context.fleet.link_daemons(source, name)
    store_link = context.fleet.link(f"{source}-store", context.fleet.log_port)
    for name in names:
        port = store_link.port if name == source else context.fleet.log_port
        start_platform_daemon(
            context, name, data_centre, log_url=f"http://127.0.0.1:{port}"
        )


@given(
    "a linked platform fleet of {count:d} daemons in {data_centre}, "
    "with links between {source} and the others and to the store"
)
def step_start_fleet_with_links_both_ways(context, count, data_centre, source):
    for index in range(count):
        name = f"d{index + 1}"
        if name != source:
            context.fleet.link_daemons(name, source)
    step_start_fleet_with_links(context, count, data_centre, source)


@when("the operator writes configurations until {daemon} gets them only from its peers")
def step_wait_for_peers(context, daemon):
    versions = itertools.count(context.last_version + 1)

    def is_fed_by_peers():
        reads = read_metric(context, daemon, LOG_READS)
        fetches = read_metric(context, daemon, FETCHES)
        context.last_version = next(versions)
        write_routes(context, context.last_version, [])
        time.sleep(0.5)
        return (
            read_metric(context, daemon, LOG_READS) == reads
            and read_metric(context, daemon, FETCHES) > fetches
        )

    wait_until(is_fed_by_peers, f"{daemon} gets its settings from its peers")


@when("all open connections of {source} to its peers become silent")
def step_silence_connections(context, source):
    for name, link in context.fleet.links.items():
        if name.startswith(f"{source}>"):
            link.faults(forward={"silence": True}, backward={"silence": True})


@when(
    "the operator writes a configuration every {gap_ms:d} ms for {duration_s:d} s, "
    "each with a new route"
)
def step_write_routes(context, gap_ms, duration_s):
    """Write the configurations, and request each route at d4 when it must be in force.

    The responses are checked by a later step.
    """
    written = []
    context.late_responses = []
    ends_at_s = time.monotonic() + duration_s
    while time.monotonic() < ends_at_s or len(context.late_responses) < len(written):
        now_s = time.monotonic()
        if now_s < ends_at_s and (not written or now_s - written[-1] >= gap_ms / 1000):
            context.last_version += 1
            prefixes = [f"added{number}" for number in range(len(written) + 1)]
            write_routes(context, context.last_version, prefixes)
            written.append(time.monotonic())
        checked = len(context.late_responses)
        if checked < len(written) and now_s - written[checked] >= IN_FORCE_AFTER_S:
            response = send_request(context, "GET", f"/added{checked}/a", "d4")
            context.late_responses.append(response.status)
        time.sleep(0.02)


@then("d4 routes each request that is sent 2 s after a route was added")
def step_check_late_responses(context):
    assert set(context.late_responses) == {STATUS_OK}, context.late_responses


@when("the operator adds the route /{prefix}/, which every daemon but d4 has in force")
def step_add_route(context, prefix):
    context.last_version += 1
    write_routes(context, context.last_version, [prefix])
    others = [each for name, each in context.fleet.daemons.items() if name != "d4"]
    wait_until(
        lambda: all(
            each.status()["revision"] == context.last_version for each in others
        ),
        f"revision {context.last_version} is in force",
    )
    # The others have reported the revision to d4 once it is in force everywhere.
    time.sleep(REPORT_TIME_S)


@when(
    "the links of {daemon} are restored {delay_ms:d} ms after a client sent it "
    "{method} {path}"
)
def step_send_and_restore(context, daemon, delay_ms, method, path):
    def restore():
        for name, link in context.fleet.links.items():
            if name.startswith(daemon):
                link.faults(forward={"cut": False}, backward={"cut": False})

    timer = threading.Timer(delay_ms / 1000, restore)
    timer.start()
    send_request(context, method, path, daemon)
    timer.join()


@then("within {limit_s:d} s a {method} {path} to {daemon} gets status {status:d}")
def step_wait_status(context, limit_s, method, path, daemon, status):
    wait_until(
        lambda: send_request(context, method, path, daemon).status == status,
        f"{path} gets status {status}",
        limit_s,
    )


def cut_links(context, is_cut):
    for name, link in context.fleet.links.items():
        if is_cut(name):
            link.faults(forward={"cut": True}, backward={"cut": True})


@when("the links of {source} to its peers are cut")
def step_cut_peer_links(context, source):
    cut_links(context, lambda name: name.startswith(f"{source}>"))


@when("all links between {daemon} and its peers are cut")
def step_cut_links_both_ways(context, daemon):
    cut_links(context, lambda name: daemon in name.split(">") and ">" in name)


@when("the links of {source} to its peers and to the store are cut")
def step_cut_peer_and_store_links(context, source):
    cut_links(context, lambda name: name.startswith((f"{source}>", f"{source}-store")))


@when("the operator moves the route /lookup/ to {service}")
def step_move_route(context, service):
    context.last_version += 1
    write_configuration(context, context.last_version, service)
    context.written_at_s = time.monotonic()


@then(
    "2 s later the GET {path} to {daemon} that {service} answers are none of {count:d}"
)
def step_check_former_service(context, path, daemon, service, count):
    time.sleep(max(0.0, context.written_at_s + IN_FORCE_AFTER_S - time.monotonic()))
    responses = [send_request(context, "GET", path, daemon) for _ in range(count)]
    seen = [(each.status, each.body.decode()) for each in responses]
    assert (STATUS_OK, service) not in seen, seen
