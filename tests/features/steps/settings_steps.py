import json
import signal
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from behave import given, then, when

from laburnumscale_schema import settings_pb2
from tests.standins.fleet import request, wait_until
from tests.standins.settingsstream import BAD_RECORDS, SettingsStream

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
        own = settings(name) if callable(settings) else settings
        context.fleet.start_daemon(name, names[index % len(names)], **own)


def wait_known(context):
    """Wait until every daemon is ready and knows all the others."""
    context.fleet.wait_ready()
    count = len(context.fleet.daemons)
    for daemon in daemons(context):
        wait_until(
            lambda d=daemon: len(d.status()["members"]) == count,
            f"{daemon.name} knows {count} daemons",
        )


@given("a settings fleet of {count:d} daemons in {data_centres}")
def step_settings_fleet(context, count, data_centres):
    start_fleet(context, count, data_centres)
    wait_known(context)


@given("a settings fleet with {option} {value:d} of {count:d} daemons in {places}")
def step_settings_fleet_with(context, option, value, count, places):
    start_fleet(context, count, places, **{option: value})
    wait_known(context)


@given("a settings fleet whose log is away of {count:d} daemons in {places}")
def step_settings_fleet_away(context, count, places):
    context.fleet.log_port = context.fleet.free_port()
    start_fleet(context, count, places, start_log=False)
    for daemon in daemons(context):
        url = f"http://{daemon.operator_address}/livez"
        wait_until(lambda u=url: request("GET", u).status == 200, "it answers")


@given("a settings fleet whose log only d1 reaches of {count:d} daemons in {places}")
def step_settings_fleet_one_log(context, count, places):
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
    wait_known(context)
    link.faults(forward={"cut": True}, backward={"cut": True})


@given("a settings fleet with links around {daemon} of {count:d} daemons in {places}")
def step_settings_fleet_links(context, daemon, count, places):
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
    wait_known(context)


@when("all ways of {daemon} are {state}")
def step_ways(context, daemon, state):
    fault = {"cut": state == "cut"}
    for name, link in context.fleet.links.items():
        if daemon in name:
            link.faults(forward=fault, backward=fault)


@when("the log loses the reply of the next append")
def step_lose_reply(context):
    context.fleet.set_log_faults(lose_replies=1)


@when("the log holds back the next append")
def step_hold(context):
    context.fleet.set_log_faults(hold_appends=1)


@when("the log lets the held appends take effect")
def step_release(context):
    stream(context).release()


@when("the log fails and stays away")
def step_log_fails(context):
    context.fleet.set_log_faults(down=True)


@when("the log is stopped")
def step_log_stops(context):
    context.fleet.stop(context.fleet.log_process)


@when("the log returns {count:d} records at a time")
def step_read_limit(context, count):
    context.fleet.set_log_faults(read_limit=count)


def seed_addresses(context, seeds):
    ports = [context.fleet.daemon_ports(seed)["peer"] for seed in seeds.split(", ")]
    return [f"127.0.0.1:{port}" for port in ports]


@when("daemon {daemon} is started in {data_centre} with seeds {seeds}")
def step_start_seeded(context, daemon, data_centre, seeds):
    addresses = seed_addresses(context, seeds)
    context.fleet.start_daemon(daemon, data_centre, seed_addresses=addresses)


@when("daemon {daemon} is started in {data_centre} without seeds")
def step_start_bare(context, daemon, data_centre):
    context.fleet.start_daemon(daemon, data_centre)


@when("daemon {daemon} is replaced by one with seeds {seeds}")
def step_replace(context, daemon, seeds):
    old = context.fleet.daemons[daemon]
    context.fleet.stop(old.process, signal.SIGKILL)
    addresses = seed_addresses(context, seeds)
    context.fleet.start_daemon(daemon, old.data_centre, seed_addresses=addresses)


def run_ctl(context, daemon, *arguments):
    done = context.fleet.run_cli(daemon, *arguments)
    context.done = done
    first = done.stdout.split(":")[0].split()
    if first[:1] == ["change"]:
        context.change = first[1]


def settings_path(context, value, name="change"):
    path = context.fleet.directory / f"{name}.jsonc"
    path.write_text(value if isinstance(value, str) else json.dumps(value))
    return str(path)


@given("operator {author} sets {setting} of {service} to {value} at {daemon}")
@when("operator {author} sets {setting} of {service} to {value} at {daemon}")
def step_set(context, author, setting, service, value, daemon):
    file = {"services": {service: {setting: json.loads(value)}}}
    path = settings_path(context, file)
    run_ctl(context, daemon, "publish", "--author", author, path)


@given("operator {author} makes {count:d} changes at {daemon}")
@when("operator {author} makes {count:d} changes at {daemon}")
def step_changes(context, author, count, daemon):
    context.made = getattr(context, "made", 0)
    for _ in range(count):
        context.made += 1
        service = f"service-{context.made % 4}"
        file = {"services": {service: {"time_limit_ms": 1000 + context.made}}}
        path = settings_path(context, file)
        run_ctl(context, daemon, "publish", "--author", author, path)
        assert context.done.returncode == ACCEPTED, context.done


@when("operator {author} publishes this settings file at {daemon}")
def step_publish_file(context, author, daemon):
    context.file = settings_path(context, context.text, "published")
    run_ctl(context, daemon, "publish", "--author", author, context.file)


@when('the operator runs "{command}" at {daemon}')
def step_run(context, command, daemon):
    words = [context.file if word == "FILE" else word for word in command.split()]
    run_ctl(context, daemon, *words)


@when("the operator settles the change at {daemon}")
def step_settle(context, daemon):
    run_ctl(context, daemon, "settle", context.change)


@when("the operator cancels the change at {daemon}")
def step_cancel(context, daemon):
    run_ctl(context, daemon, "settle", "--cancel", context.change)


@then("the operator is told {verdict} with exit code {code:d}")
def step_told(context, verdict, code):
    done = context.done
    assert done.returncode == code, done
    assert f": {verdict}" in done.stdout, done
    if verdict == "undetermined":
        assert f"settle {context.change}" in done.stdout, done


@then("its exit code in the settings test is {code:d}")
def step_code(context, code):
    assert context.done.returncode == code, context.done


@then('the operator reads "{text}"')
def step_reads(context, text):
    assert text in context.done.stdout + context.done.stderr, context.done


@then("the settings stream holds the change once")
def step_once(context):
    ids = [r.change.change_id for r in stream(context).records().values()]
    assert ids.count(context.change) == 1, ids


def setting_at(daemon, setting, service):
    url = f"http://{daemon.operator_address}/v1/explain?place=service:{service}"
    reply = request("GET", url, timeout_s=2.0)
    if reply.status != 200:
        return None
    for explained in reply.json()["settings"]:
        if explained["setting"] == setting:
            return json.loads(explained["value_json"])
    return None


@then("every daemon has {setting} of {service} at {value}")
def step_everywhere(context, setting, service, value):
    step_everywhere_within(context, 10, setting, service, value)


@then("within {limit_s:d} s every daemon has {setting} of {service} at {value}")
def step_everywhere_within(context, limit_s, setting, service, value):
    wanted = json.loads(value)
    deadline_s = time.monotonic() + limit_s
    for daemon in daemons(context):
        wait_until(
            lambda d=daemon: setting_at(d, setting, service) == wanted,
            f"{setting} is {value} at {daemon.name}",
            deadline_s - time.monotonic(),
        )


def held(daemon):
    url = f"http://{daemon.operator_address}/v1/status"
    reply = request("GET", url, timeout_s=2.0)
    if reply.status != 200:
        return None
    value = reply.json()
    return value["has_settings"], value["revision"], value["settings_digest"]


@then("within {limit_s:d} s all daemons hold the same settings as {daemon}")
def step_same(context, limit_s, daemon):
    made = getattr(context, "made", 0)

    def same():
        all_held = {held(each) for each in daemons(context)}
        return len(all_held) == 1 and all_held.pop()[0]

    wait_until(same, "one revision and digest everywhere", limit_s)
    service = f"service-{made % 4}"
    for each in daemons(context):
        value = setting_at(each, "time_limit_ms", service)
        assert value == 1000 + made, (each.name, value, made)


@then("the first settings that {daemon} puts in force have the revision of {other}")
def step_first_in_force(context, daemon, other):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/readyz"
    wait_until(lambda: request("GET", url).status == 200, f"{daemon} is ready")
    lines = (context.fleet.directory / f"{daemon}.log").read_text().splitlines()
    [first] = [json.loads(line) for line in lines if "settings in force" in line]
    assert first["revision"] == context.fleet.daemons[other].status()["revision"]


class Sampler(threading.Thread):
    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.samples = {}
        self.falls = []
        self.done = threading.Event()

    def run(self):
        while not self.done.wait(0.02):
            for daemon in list(self.fleet.daemons.values()):
                self.sample(daemon)

    def sample(self, daemon):
        url = f"http://{daemon.operator_address}/v1/status"
        reply = request("GET", url, timeout_s=0.3)
        if reply.status != 200:
            return
        value = reply.json()
        if not value["has_settings"]:
            return
        seen = self.samples.setdefault(daemon.name, [0])
        if value["revision"] < seen[-1]:
            self.falls.append((daemon.name, seen[-1], value["revision"]))
        seen.append(value["revision"])


@given("the revisions of all daemons are sampled")
def step_sample(context):
    context.sampler = Sampler(context.fleet)
    context.sampler.start()


@then("no daemon's revision has gone down")
def step_no_fall(context):
    # A daemon that has just started may not have had its turn yet.
    names = set(context.fleet.daemons)
    wait_until(lambda: set(context.sampler.samples) >= names, "a sample of each daemon")
    context.sampler.done.set()
    context.sampler.join()
    assert set(context.sampler.samples) == set(context.fleet.daemons)
    assert not context.sampler.falls, context.sampler.falls
    for name in context.fleet.daemons:
        check_log_lines(context.fleet.directory / f"{name}.log")


def check_log_lines(path):
    """Check that what a start put in force is not older than any start before."""
    highest = 0
    in_force = False
    for line in path.read_text().splitlines():
        event = json.loads(line) if line.startswith("{") else {}
        if event.get("event") == "daemon started":
            in_force = False
        in_force = in_force or event.get("event") == "settings in force"
        if in_force and "revision" in event:
            assert event["revision"] >= highest, (path.name, line, highest)
            highest = event["revision"]
    assert in_force, f"{path.name}: the last start put no settings in force"


def race(context, count, service_of):
    fleet = context.fleet
    file = {"services": {service_of(n): {"slots": 4} for n in range(count)}}
    done = fleet.run_cli("d1", "publish", settings_path(context, file))
    assert done.returncode == ACCEPTED, done
    revision = fleet.daemons["d1"].status()["revision"]
    step_same_revision(context, revision)

    def publish(number):
        value = {"services": {service_of(number): {"time_limit_ms": 701 + number}}}
        path = settings_path(context, value, f"operator{number}")
        daemon = f"d{number % len(fleet.daemons) + 1}"
        options = ("--author", f"operator{number}", "--based-on", str(revision))
        return fleet.run_cli(daemon, "publish", "--json", *options, path)

    with ThreadPoolExecutor(count) as pool:
        context.told = list(pool.map(publish, range(count)))
    context.outcomes = [json.loads(done.stdout) for done in context.told]


def step_same_revision(context, revision):
    wait_until(
        lambda: all(d.status()["revision"] >= revision for d in daemons(context)),
        f"revision {revision} everywhere",
    )


@when("{count:d} operators set time_limit_ms of slot-desk at once")
def step_race_same(context, count):
    race(context, count, lambda number: "slot-desk")


@when("{count:d} operators set time_limit_ms of a service of their own at once")
def step_race_apart(context, count):
    race(context, count, lambda number: f"service-{number}")


@then("exactly one of them is told accepted, and its value is in force everywhere")
def step_one_winner(context):
    codes = [done.returncode for done in context.told]
    assert sorted(codes) == [ACCEPTED] + [REFUSED] * (len(codes) - 1), context.told
    context.winner = codes.index(ACCEPTED)
    value = str(701 + context.winner)
    step_everywhere_within(context, 10, "time_limit_ms", "slot-desk", value)


@then("the others are told refused and the name of the winning change")
def step_losers(context):
    winner = context.outcomes[context.winner]
    for outcome in context.outcomes:
        if outcome is not winner:
            assert outcome["winning_change_id"] == winner["change_id"], outcome
            assert outcome["winning_author"] == winner["author"], outcome


@then("the audit trail holds the winner and the losers")
def step_audit(context):
    options = ("--json", "--place", "service:slot-desk")
    trail = json.loads(context.fleet.run_cli("d2", "history", *options).stdout)
    assert trail["complete"]
    found = {
        entry["outcome"]["change_id"]: entry["outcome"]["verdict"]
        for entry in trail["entries"]
    }
    for outcome in context.outcomes:
        assert found[outcome["change_id"]] == outcome["verdict"], (found, outcome)


@then("all of them are told accepted, and their values are in force everywhere")
def step_all_win(context):
    assert {done.returncode for done in context.told} == {ACCEPTED}, context.told
    for number in range(len(context.told)):
        service, value = f"service-{number}", str(701 + number)
        step_everywhere_within(context, 10, "time_limit_ms", service, value)


@then("explain {place} --data-centre {data_centre} at {daemon} says")
def step_explain(context, place, data_centre, daemon):
    options = ("explain", "--json", place, "--data-centre", data_centre)
    explanation = json.loads(context.fleet.run_cli(daemon, *options).stdout)
    found = {
        setting["setting"]: (setting["value_json"], setting["place"])
        for setting in explanation["settings"]
    }
    for row in context.table:
        assert found[row["setting"]] == (row["value"], row["place"]), (row, found)


@then("the last entry of the history of {place} at {daemon} removes {setting} {value}")
def step_removed(context, place, daemon, setting, value):
    options = ("history", "--json", "--limit", "1", "--place", place)
    trail = json.loads(context.fleet.run_cli(daemon, *options).stdout)
    [edit] = trail["entries"][0]["edits"]
    assert edit["before"]["settings"][setting] == json.loads(value), edit
    assert "after" not in edit, edit
    text = context.fleet.run_cli(daemon, *options[:1], *options[2:]).stdout
    assert f"before: {setting}={value}" in text and "after:  not set" in text, text


@then("{daemon} answers {status:d} to these changes of author {author}, and says why")
def step_answers(context, daemon, status, author):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/v1/changes"
    for row in context.table:
        edits = json.loads(row["edits"])
        change = {"change_id": row["change id"], "author": author, "edits": edits}
        reply = request("POST", url, json.dumps(change).encode())
        assert reply.status == status, (row, reply)
        assert row["reason"] in reply.json()["error"], (row, reply)


@given("every daemon of the settings fleet knows its targets")
def step_know_targets(context):
    context.fleet.wait_ready()


@then('within {limit_s:d} s readyz of {daemon} says "{text}"')
def step_readyz(context, limit_s, daemon, text):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/readyz"
    wait_until(lambda: text in request("GET", url).body.decode(), text, limit_s)


@then("the answer of the stale daemon says when to come back")
def step_retry_after(context):
    assert int(context.reply.headers["Retry-After"]) > 0, context.reply


@when("the settings stream holds {count:d} snapshots of the present tree")
def step_snapshots(context, count):
    made = [0] + [
        offset
        for offset, record in stream(context).records().items()
        if record.HasField("change")
    ]

    def enough():
        revisions = stream(context).snapshot_revisions().values()
        lowest = max(made[-1] + 1, stream(context).oldest())
        return sum(revision >= lowest for revision in revisions) >= count

    wait_until(enough, f"{count} snapshots are in the log")


@when("retention drops all records before the last snapshot")
def step_drop(context):
    stream(context).drop(max(stream(context).snapshot_revisions()))


@when("retention drops {count:d} records")
def step_drop_count(context, count):
    stream(context).drop(count)


def places(daemon):
    url = f"http://{daemon.operator_address}/v1/settings"
    reply = request("GET", url, timeout_s=2.0)
    return reply.json().get("places") if reply.status == 200 else None


@when("all daemons are ended and {daemon} is started alone in {data_centre}")
def step_start_alone(context, daemon, data_centre):
    context.places = places(context.fleet.daemons["d1"])
    for each in daemons(context):
        context.fleet.stop(each.process, signal.SIGKILL)
    context.fleet.daemons.clear()
    context.fleet.start_daemon(daemon, data_centre)


@then("within {limit_s:d} s {daemon} holds the whole tree that d1 held")
def step_whole_tree(context, limit_s, daemon):
    alone = context.fleet.daemons[daemon]
    wait_until(lambda: places(alone) is not None, "it has settings", limit_s)
    assert places(alone) == context.places, (places(alone), context.places)
    assert len(context.places) > 2


@when("d1 and d2 append the snapshots that they hold at once")
def step_append_snapshots(context):
    context.snapshots = [snapshot_record(d) for d in daemons(context)]
    with ThreadPoolExecutor() as pool:
        list(pool.map(stream(context).append, context.snapshots))


@when("the older snapshot is appended once more")
def step_append_old(context):
    stream(context).append(context.snapshots[0])


def snapshot_record(daemon):
    """Return the record that a daemon would write, as a peer hands it over."""
    snapshot = SettingsStream.snapshot_of(daemon)
    return settings_pb2.SettingsRecord(snapshot=snapshot).SerializeToString()


@when("these bad records are appended to the settings stream")
def step_bad_records(context):
    for row in context.table:
        stream(context).append(BAD_RECORDS[row["record"]])


@then("the count of invalid settings records at {daemon} is {count:d}")
def step_counted(context, daemon, count):
    url = f"http://{context.fleet.daemons[daemon].operator_address}/metrics"
    wanted = f"laburnumscale_settings_records_invalid_total{{}} {count}\n"
    text = request("GET", url).body.decode()
    assert wanted in text, text


@then("all daemons of the settings fleet are alive")
def step_alive(context):
    for daemon in daemons(context):
        assert daemon.process.poll() is None, daemon.name


@then('examples/embed_settings.py prints "{text}"')
def step_embedded(context, text):
    example = str(EXAMPLES / "embed_settings.py")
    url = f"http://127.0.0.1:{context.fleet.log_port}"
    process = context.fleet.start("embedded", example, url, "slot-desk")
    assert process.wait(30) == 0
    output = (context.fleet.directory / "embedded.log").read_text()
    assert text in output, output
