import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from laburnumscale_schema import settings_pb2
from tests.standins.fleet import request, wait_until
from tests.standins.settingsstream import INVALID_RECORDS, SettingsStream

ACCEPTED, REFUSED = 0, 1
EXAMPLES = Path(__file__).parents[3] / "examples"


def daemons(context):
    return context.fleet.daemons.values()


def stream(context):
    return SettingsStream(context.fleet.log_port)


def start_fleet(context, count, data_centres, start_log=True, **settings):
    names = data_centres.split(", ")
    if start_log:
        context.fleet.start_log()
    context.base = {}
    for index in range(count):
        name = f"d{index + 1}"
        daemon_settings = settings(name) if callable(settings) else settings
        context.fleet.start_daemon(name, names[index % len(names)], **daemon_settings)


def wait_for_membership(context):
    """Wait until every daemon is ready and knows all the others."""
    context.fleet.wait_ready()
    count = len(context.fleet.daemons)
    for daemon in daemons(context):
        wait_until(
            lambda d=daemon: len(d.status()["members"]) == count,
            f"{daemon.name} knows {count} daemons",
        )


@given("a settings fleet of {count:d} daemons in {data_centres}")
def step_start_fleet(context, count, data_centres):
    start_fleet(context, count, data_centres)
    wait_for_membership(context)


@given("a settings fleet with {option} {value:d} and {count:d} daemons in {places}")
def step_start_fleet_with_setting(context, option, value, count, places):
    start_fleet(context, count, places, **{option: value})
    wait_for_membership(context)


@given("a settings fleet with an unreachable log and {count:d} daemons in {places}")
def step_start_fleet_without_log(context, count, places):
    context.fleet.log_port = context.fleet.free_port()
    start_fleet(context, count, places, start_log=False)
    for daemon in daemons(context):
        url = f"http://{daemon.operator_address}/livez"
        wait_until(
            lambda u=url: request("GET", u).status == 200, "the daemon answers /livez"
        )


@given(
    "a settings fleet with a log reachable by d1 only and {count:d} daemons in {places}"
)
def step_start_fleet_with_log_at_d1(context, count, places):
    fleet = context.fleet
    fleet.start_log()
    link = fleet.link("log", fleet.log_port)
    names = places.split(", ")
    for index in range(count):
        port = fleet.log_port if index == 0 else link.port
        fleet.start_daemon(
            f"d{index + 1}",
            names[index % len(names)],
            log_url=f"http://127.0.0.1:{port}",
        )
    wait_for_membership(context)
    link.faults(forward={"cut": True}, backward={"cut": True})


@given("a settings fleet with links around {daemon} and {count:d} daemons in {places}")
def step_start_fleet_with_links(context, daemon, count, places):
    fleet = context.fleet
    fleet.start_log()
    others = [f"d{n + 1}" for n in range(count) if f"d{n + 1}" != daemon]
    for other in others:
        fleet.link_daemons(daemon, other)
        fleet.link_daemons(other, daemon)
    link = fleet.link(f"{daemon}-log", fleet.log_port)
    names = places.split(", ")
    for index in range(count):
        name = f"d{index + 1}"
        port = link.port if name == daemon else fleet.log_port
        log_url = f"http://127.0.0.1:{port}"
        fleet.start_daemon(name, names[index % len(names)], log_url=log_url)
    wait_for_membership(context)


@when("all links of {daemon} are {state}")
def step_set_links(context, daemon, state):
    fault = {"cut": state == "cut"}
    for name, link in context.fleet.links.items():
        if daemon in name:
            link.faults(forward=fault, backward=fault)


@when("the log loses the reply to the next append")
def step_lose_append_reply(context):
    context.fleet.set_log_faults(lose_replies=1)


@when("the log delays the next append")
def step_delay_append(context):
    context.fleet.set_log_faults(hold_appends=1)


@when("the log applies the delayed appends")
def step_apply_delayed_appends(context):
    stream(context).apply_delayed_appends()


@when("the log fails and stays unreachable")
def step_fail_log(context):
    context.fleet.set_log_faults(down=True)


@when("the log is stopped")
def step_stop_log(context):
    context.fleet.stop(context.fleet.log_process)


@when("the log returns {count:d} records at a time")
def step_limit_log_page(context, count):
    context.fleet.set_log_faults(read_limit=count)


def seed_addresses(context, seeds):
    ports = [context.fleet.daemon_ports(seed)["peer"] for seed in seeds.split(", ")]
    return [f"127.0.0.1:{port}" for port in ports]


@when("daemon {daemon} is started in {data_centre} with seeds {seeds}")
def step_start_daemon_with_seeds(context, daemon, data_centre, seeds):
    addresses = seed_addresses(context, seeds)
    context.fleet.start_daemon(daemon, data_centre, seed_addresses=addresses)


@when("daemon {daemon} is started in {data_centre} without seeds")
def step_start_daemon_without_seeds(context, daemon, data_centre):
    context.fleet.start_daemon(daemon, data_centre)


@when("daemon {daemon} is replaced by one with seeds {seeds}")
def step_replace_daemon(context, daemon, seeds):
    old = context.fleet.daemons[daemon]
    context.fleet.stop(old.process, signal.SIGKILL)
    addresses = seed_addresses(context, seeds)
    context.fleet.start_daemon(daemon, old.data_centre, seed_addresses=addresses)


def run_ctl(context, daemon, *arguments):
    result = context.fleet.run_cli(daemon, *arguments)
    context.ctl_result = result
    words = result.stdout.split(":")[0].split()
    if words[:1] == ["change"]:
        context.change_id = words[1]


def write_settings_file(context, value, name="change"):
    path = context.fleet.directory / f"{name}.jsonc"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(path)


@given("operator {author} sets {setting} of {service} to {value} at {daemon}")
@when("operator {author} sets {setting} of {service} to {value} at {daemon}")
def step_publish_setting(context, author, setting, service, value, daemon):
    file = {"services": {service: {setting: json.loads(value)}}}
    path = write_settings_file(context, file)
    run_ctl(context, daemon, "publish", "--author", author, path)


@given("operator {author} makes {count:d} changes at {daemon}")
@when("operator {author} makes {count:d} changes at {daemon}")
def step_publish_changes(context, author, count, daemon):
    context.change_count = getattr(context, "change_count", 0)
    for _ in range(count):
        context.change_count += 1
        service = f"service-{context.change_count % 4}"
        file = {"services": {service: {"time_limit_ms": 1000 + context.change_count}}}
        path = write_settings_file(context, file)
        run_ctl(context, daemon, "publish", "--author", author, path)
        assert context.ctl_result.returncode == ACCEPTED, context.ctl_result


@when("operator {author} publishes this settings file at {daemon}")
def step_publish_file(context, author, daemon):
    context.published_path = write_settings_file(context, context.text, "published")
    run_ctl(context, daemon, "publish", "--author", author, context.published_path)


@when('the operator runs "{command}" at {daemon}')
def step_run_ctl(context, command, daemon):
    words = [
        context.published_path if word == "FILE" else word for word in command.split()
    ]
    run_ctl(context, daemon, *words)


@when("the operator settles the change at {daemon}")
def step_settle_change(context, daemon):
    run_ctl(context, daemon, "settle", context.change_id)


@when("the operator cancels the change at {daemon}")
def step_cancel_change(context, daemon):
    run_ctl(context, daemon, "settle", "--cancel", context.change_id)


@then("the operator gets the verdict {verdict} with exit code {code:d}")
def step_check_verdict(context, verdict, code):
    result = context.ctl_result
    assert result.returncode == code, result
    assert f": {verdict}" in result.stdout, result
    if verdict == "undetermined":
        assert f"settle {context.change_id}" in result.stdout, result


@then("the command exits with code {code:d}")
def step_check_exit_code(context, code):
    assert context.ctl_result.returncode == code, context.ctl_result


@then('the command prints "{text}"')
def step_check_output(context, text):
    assert text in context.ctl_result.stdout + context.ctl_result.stderr, (
        context.ctl_result
    )


@then("the settings stream contains the change exactly once")
def step_check_change_is_unique(context):
    ids = [r.change.change_id for r in stream(context).records().values()]
    assert ids.count(context.change_id) == 1, ids


def read_setting(daemon, setting, service):
    url = f"http://{daemon.operator_address}/v1/explain?place=service:{service}"
    reply = request("GET", url, timeout_s=2.0)
    if reply.status != 200:
        return None
    for explained in reply.json()["settings"]:
        if explained["setting"] == setting:
            return json.loads(explained["value_json"])
    return None


@then("every daemon has {setting} {value} for {service}")
def step_check_setting(context, setting, service, value):
    step_check_setting_within(context, 10, setting, service, value)


@then("within {limit_s:d} s every daemon has {setting} {value} for {service}")
def step_check_setting_within(context, limit_s, setting, service, value):
    expected = json.loads(value)
    deadline_s = time.monotonic() + limit_s
    for daemon in daemons(context):
        wait_until(
            lambda d=daemon: read_setting(d, setting, service) == expected,
            f"{setting} is {value} at {daemon.name}",
            deadline_s - time.monotonic(),
        )


def read_tree_version(daemon):
    url = f"http://{daemon.operator_address}/v1/status"
    reply = request("GET", url, timeout_s=2.0)
    if reply.status != 200:
        return None
    value = reply.json()
    return value["has_settings"], value["revision"], value["settings_digest"]


@then("within {limit_s:d} s all daemons hold the same settings as {daemon}")
def step_check_same_settings(context, limit_s, daemon):
    change_count = getattr(context, "change_count", 0)

    def all_daemons_agree():
        tree_versions = {read_tree_version(each) for each in daemons(context)}
        return len(tree_versions) == 1 and tree_versions.pop()[0]

    wait_until(
        all_daemons_agree, "all daemons have the same revision and digest", limit_s
    )
    service = f"service-{change_count % 4}"
    for each in daemons(context):
        value = read_setting(each, "time_limit_ms", service)
        assert value == 1000 + change_count, (each.name, value, change_count)


@then("the first settings that {daemon} applies have the revision of {other}")
def step_check_first_revision(context, daemon, other):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/readyz"
    wait_until(lambda: request("GET", url).status == 200, f"{daemon} is ready")
    lines = (context.fleet.directory / f"{daemon}.log").read_text().splitlines()
    [first] = [json.loads(line) for line in lines if "settings in force" in line]
    assert first["revision"] == context.fleet.daemons[other].status()["revision"]


class RevisionSampler(threading.Thread):
    """Polls the settings revision of each daemon and records decreases."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.revisions = {}
        self.decreases = []
        self.stopped = threading.Event()

    def run(self):
        while not self.stopped.wait(0.02):
            for daemon in list(self.fleet.daemons.values()):
                self.record_revision(daemon)

    def record_revision(self, daemon):
        url = f"http://{daemon.operator_address}/v1/status"
        reply = request("GET", url, timeout_s=0.3)
        if reply.status != 200:
            return
        value = reply.json()
        if not value["has_settings"]:
            return
        seen = self.revisions.setdefault(daemon.name, [0])
        if value["revision"] < seen[-1]:
            self.decreases.append((daemon.name, seen[-1], value["revision"]))
        seen.append(value["revision"])


@given("the revisions of all daemons are sampled")
def step_sample_revisions(context):
    context.sampler = RevisionSampler(context.fleet)
    context.sampler.start()


@then("no daemon's revision has decreased")
def step_check_no_decrease(context):
    # A daemon that has just started may not have been sampled yet.
    names = set(context.fleet.daemons)
    wait_until(
        lambda: set(context.sampler.revisions) >= names, "a sample of each daemon"
    )
    context.sampler.stopped.set()
    context.sampler.join()
    assert set(context.sampler.revisions) == set(context.fleet.daemons)
    assert not context.sampler.decreases, context.sampler.decreases
    for name in context.fleet.daemons:
        check_logged_revisions(context.fleet.directory / f"{name}.log")


def check_logged_revisions(path):
    """Check that a restarted daemon never applies an older revision than before."""
    highest = 0
    applied = False
    for line in path.read_text().splitlines():
        event = json.loads(line) if line.startswith("{") else {}
        if event.get("event") == "daemon started":
            applied = False
        applied = applied or event.get("event") == "settings in force"
        if applied and "revision" in event:
            assert event["revision"] >= highest, (path.name, line, highest)
            highest = event["revision"]
    assert applied, f"{path.name}: no settings were applied after the last start"


def publish_concurrently(context, count, service_name):
    fleet = context.fleet
    file = {"services": {service_name(n): {"slots": 4} for n in range(count)}}
    result = fleet.run_cli("d1", "publish", write_settings_file(context, file))
    assert result.returncode == ACCEPTED, result
    revision = fleet.daemons["d1"].status()["revision"]
    wait_for_revision(context, revision)

    def publish(number):
        value = {"services": {service_name(number): {"time_limit_ms": 701 + number}}}
        path = write_settings_file(context, value, f"operator{number}")
        daemon = f"d{number % len(fleet.daemons) + 1}"
        options = ("--author", f"operator{number}", "--based-on", str(revision))
        return fleet.run_cli(daemon, "publish", "--json", *options, path)

    with ThreadPoolExecutor(count) as pool:
        context.ctl_results = list(pool.map(publish, range(count)))
    context.outcomes = [json.loads(result.stdout) for result in context.ctl_results]


def wait_for_revision(context, revision):
    wait_until(
        lambda: all(d.status()["revision"] >= revision for d in daemons(context)),
        f"every daemon has revision {revision}",
    )


@when("{count:d} operators set time_limit_ms of slot-desk concurrently")
def step_change_same_place(context, count):
    publish_concurrently(context, count, lambda number: "slot-desk")


@when("{count:d} operators set time_limit_ms of a service of their own concurrently")
def step_change_different_places(context, count):
    publish_concurrently(context, count, lambda number: f"service-{number}")


@then("exactly one change is accepted, and its value applies at every daemon")
def step_check_one_accepted(context):
    codes = [result.returncode for result in context.ctl_results]
    assert sorted(codes) == [ACCEPTED] + [REFUSED] * (len(codes) - 1), (
        context.ctl_results
    )
    context.accepted_index = codes.index(ACCEPTED)
    value = str(701 + context.accepted_index)
    step_check_setting_within(context, 10, "time_limit_ms", "slot-desk", value)


@then("the other changes are refused and name the winning change")
def step_check_refused(context):
    winner = context.outcomes[context.accepted_index]
    for outcome in context.outcomes:
        if outcome is not winner:
            assert outcome["winning_change_id"] == winner["change_id"], outcome
            assert outcome["winning_author"] == winner["author"], outcome


@then("the audit trail contains the accepted and the refused changes")
def step_check_audit_trail(context):
    options = ("--json", "--place", "service:slot-desk")
    trail = json.loads(context.fleet.run_cli("d2", "history", *options).stdout)
    assert trail["complete"]
    found = {
        entry["outcome"]["change_id"]: entry["outcome"]["verdict"]
        for entry in trail["entries"]
    }
    for outcome in context.outcomes:
        assert found[outcome["change_id"]] == outcome["verdict"], (found, outcome)


@then("all changes are accepted, and their values apply at every daemon")
def step_check_all_accepted(context):
    assert {result.returncode for result in context.ctl_results} == {ACCEPTED}, (
        context.ctl_results
    )
    for number in range(len(context.ctl_results)):
        service, value = f"service-{number}", str(701 + number)
        step_check_setting_within(context, 10, "time_limit_ms", service, value)


@then("explain {place} --data-centre {data_centre} at {daemon} shows")
def step_check_explanation(context, place, data_centre, daemon):
    options = ("explain", "--json", place, "--data-centre", data_centre)
    explanation = json.loads(context.fleet.run_cli(daemon, *options).stdout)
    found = {
        setting["setting"]: (setting["value_json"], setting["place"])
        for setting in explanation["settings"]
    }
    for row in context.table:
        assert found[row["setting"]] == (row["value"], row["place"]), (row, found)


@then("the last entry of the history of {place} at {daemon} removes {setting} {value}")
def step_check_last_removal(context, place, daemon, setting, value):
    options = ("history", "--json", "--limit", "1", "--place", place)
    trail = json.loads(context.fleet.run_cli(daemon, *options).stdout)
    [edit] = trail["entries"][0]["edits"]
    assert edit["before"]["settings"][setting] == json.loads(value), edit
    assert "after" not in edit, edit
    text = context.fleet.run_cli(daemon, *options[:1], *options[2:]).stdout
    assert f"before: {setting}={value}" in text and "after:  not set" in text, text


@then("{daemon} answers {status:d} to these changes of author {author} with a reason")
def step_check_rejected_changes(context, daemon, status, author):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/v1/changes"
    for row in context.table:
        edits = json.loads(row["edits"])
        change = {"change_id": row["change id"], "author": author, "edits": edits}
        reply = request("POST", url, json.dumps(change).encode())
        assert reply.status == status, (row, reply)
        assert row["reason"] in reply.json()["error"], (row, reply)


@given("every daemon of the settings fleet knows its targets")
def step_wait_for_targets(context):
    context.fleet.wait_ready()


@then('within {limit_s:d} s /readyz of {daemon} contains "{text}"')
def step_check_readyz(context, limit_s, daemon, text):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/readyz"
    wait_until(lambda: text in request("GET", url).body.decode(), text, limit_s)


@then("the response of the stale daemon has a Retry-After header")
def step_check_retry_after(context):
    assert int(context.reply.headers["Retry-After"]) > 0, context.reply


@when("the settings stream contains {count:d} snapshots of the current tree")
def step_wait_for_snapshots(context, count):
    change_offsets = [0] + [
        offset
        for offset, record in stream(context).records().items()
        if record.HasField("change")
    ]

    def has_snapshots():
        revisions = stream(context).snapshot_revisions().values()
        lowest = max(change_offsets[-1] + 1, stream(context).oldest_offset())
        return sum(revision >= lowest for revision in revisions) >= count

    wait_until(has_snapshots, f"the log has {count} snapshots")


@when("retention drops all records before the last snapshot")
def step_drop_before_last_snapshot(context):
    stream(context).drop_before(max(stream(context).snapshot_revisions()))


@when("retention drops {count:d} records")
def step_drop_records(context, count):
    stream(context).drop_before(count)


def read_places(daemon):
    url = f"http://{daemon.operator_address}/v1/settings"
    reply = request("GET", url, timeout_s=2.0)
    return reply.json().get("places") if reply.status == 200 else None


@when("all daemons are killed and {daemon} is started alone in {data_centre}")
def step_start_only_daemon(context, daemon, data_centre):
    context.places_of_d1 = read_places(context.fleet.daemons["d1"])
    for each in daemons(context):
        context.fleet.stop(each.process, signal.SIGKILL)
    context.fleet.daemons.clear()
    context.fleet.start_daemon(daemon, data_centre)


@then("within {limit_s:d} s {daemon} holds the whole tree that d1 held")
def step_check_whole_tree(context, limit_s, daemon):
    only_daemon = context.fleet.daemons[daemon]
    wait_until(
        lambda: read_places(only_daemon) is not None, "the daemon has settings", limit_s
    )
    assert read_places(only_daemon) == context.places_of_d1, (
        read_places(only_daemon),
        context.places_of_d1,
    )
    assert len(context.places_of_d1) > 2


@when("the snapshots of d1 and d2 are appended concurrently")
def step_append_snapshots(context):
    context.snapshot_records = [build_snapshot_record(d) for d in daemons(context)]
    with ThreadPoolExecutor() as pool:
        list(pool.map(stream(context).append, context.snapshot_records))


@when("the older snapshot is appended again")
def step_append_older_snapshot(context):
    stream(context).append(context.snapshot_records[0])


def build_snapshot_record(daemon):
    """Return the snapshot record that a daemon would append to the stream."""
    snapshot = SettingsStream.fetch_snapshot(daemon)
    return settings_pb2.SettingsRecord(snapshot=snapshot).SerializeToString()


@when("these invalid records are appended to the settings stream")
def step_append_invalid_records(context):
    for row in context.table:
        stream(context).append(INVALID_RECORDS[row["record"]])


@then("the count of invalid settings records at {daemon} is {count:d}")
def step_check_invalid_record_count(context, daemon, count):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/metrics"
    expected = f"laburnumscale_settings_records_invalid_total{{}} {count}\n"
    text = request("GET", url).body.decode()
    assert expected in text, text


@then("all daemons of the settings fleet are running")
def step_check_daemons_run(context):
    for daemon in daemons(context):
        assert daemon.process.poll() is None, daemon.name


@then('examples/embed_settings.py prints "{text}"')
def step_check_embedded_example(context, text):
    example = str(EXAMPLES / "embed_settings.py")
    url = f"http://127.0.0.1:{context.fleet.log_port}"
    process = context.fleet.start("embedded", example, url, "slot-desk")
    assert process.wait(30) == 0
    output = (context.fleet.directory / "embedded.log").read_text()
    assert text in output, output
