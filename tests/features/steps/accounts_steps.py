import asyncio
import contextlib
import json
import random
from types import SimpleNamespace

from behave import given, then, when
from multidict import CIMultiDict
from sanic.response import text

from laburnumscale.accounts import AccountTable, account_place, digest_key
from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.headernames import HeaderNames
from laburnumscale.keyedcalls import KeyedCalls
from laburnumscale.keytable import KeyTable
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, NotRun, reason_name
from laburnumscale.publishing import read_edits
from laburnumscale.routelookup import RouteLookup
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsfile import read_settings_file
from laburnumscale.settingstree import EffectiveSettings, SettingsTree
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_schema import peer_pb2, settings_pb2
from tests.features.steps.keyed_routes_steps import new_members
from tests.features.steps.platform_steps import HOST, configuration_document

KEYS = ("k1", "k2", "k3")
NAMES = HeaderNames(account_key="X-Key", account="X-Tenant")
NO_KEY = "none"
ROUTE_PRIORITY = 3


class AccountSettings:
    """Accounts and routes that are published to a feed, as changes or snapshots."""

    def __init__(self):
        self.accounts = {"acme": ["k1", "k2"], "bravo": ["k3"]}
        self.priorities = {}
        self.required = True
        self.feed = SettingsFeed(Metrics())
        self.lookup = RouteLookup(self.feed, routes_only=True)
        self.restore()
        self.feed.mark_tree_complete()

    def account(self, name):
        digests = [digest_key(key) for key in self.accounts[name]]
        return settings_pb2.ClientAccount(
            name=name, key_digests=digests, priority=self.priorities.get(name)
        )

    def snapshot(self, revision):
        snapshot = settings_pb2.Snapshot(revision=revision)

        def add(place):
            return snapshot.places.add(place=place, revision=revision)

        if self.required:
            add("fleet").settings.require_account_key = True
        for prefix in ("/lookup/", "/open/"):
            route = add(f"route:{HOST}{prefix}").route
            route.host, route.path_prefix, route.service = HOST, prefix, "slot-desk"
            route.public = prefix == "/open/"
            route.priority = ROUTE_PRIORITY
        for name in self.accounts:
            add(str(account_place(name))).account.CopyFrom(self.account(name))
        return snapshot

    def restore(self):
        assert self.feed.restore(self.snapshot(self.feed.tree.revision + 1))
        self.feed.confirm_at(now_s())
        self.feed.notify_waiters()

    def change(self, *names):
        """Publish accounts in one change, and remove those that are gone."""
        tree = self.feed.tree
        change = settings_pb2.Change(
            change_id=f"c{tree.revision}", author="t", read_revision=tree.revision
        )
        for name in names:
            place = str(account_place(name))
            edit = change.edits.add(
                place=place, based_on_revision=tree.place_revision(place)
            )
            if name in self.accounts:
                edit.account.CopyFrom(self.account(name))
            else:
                edit.removal.SetInParent()
        record = settings_pb2.SettingsRecord(change=change)
        assert self.feed.apply_record(tree.revision, record.SerializeToString())
        self.feed.confirm_at(now_s())

    def find(self, path, key):
        key = "" if key == NO_KEY else key
        return asyncio.run(self.lookup.find(HOST, path, 20, key))

    def owners(self):
        return [describe(self.find("/lookup/1", key)) for key in KEYS]


def describe(found):
    if isinstance(found, NotRun):
        return reason_name(found).replace("_", " ")
    return found.account.name if found.account is not None else "none"


@given("the accounts acme with keys k1, k2 and bravo with key k3")
def step_create_accounts(context):
    context.settings = AccountSettings()


@given("the routes /lookup/ and, without account, /open/")
def step_check_routes(context):
    assert context.settings.feed.tree.route(HOST, "/open/1").public


@when("a request for {path} has the key {key}")
def step_find(context, path, key):
    context.found = context.settings.find(path, key)


@then("its account is {account}")
def step_check_account(context, account):
    assert describe(context.found) == account, context.found


@when("the settings have no account")
def step_remove_all(context):
    context.settings.accounts = {}
    context.settings.restore()


@when("the settings require no key")
def step_require_no_key(context):
    context.settings.required = False
    context.settings.restore()


@when("acme has the keys k2")
def step_remove_key(context):
    context.settings.accounts["acme"] = ["k2"]
    context.settings.change("acme")


@when("acme has no key")
def step_remove_last_key(context):
    context.settings.accounts["acme"] = []
    context.settings.change("acme")


@when("acme is removed")
def step_remove_account(context):
    del context.settings.accounts["acme"]
    context.settings.change("acme")


@when("key k1 moves from acme to bravo")
def step_move_key(context):
    context.settings.accounts = {"acme": ["k2"], "bravo": ["k3", "k1"]}
    context.settings.change("bravo", "acme")


@when("bravo has the keys k1, k3")
def step_share_key(context):
    step_set_keys(context, "k1, k3", "a change")


@when("bravo has the keys {keys}, by {way}")
def step_set_keys(context, keys, way):
    context.settings.accounts["bravo"] = keys.split(", ")
    if way == "a change":
        context.settings.change("bravo")
    else:
        context.settings.restore()


@then("the keys k1, k2, k3 identify {accounts}")
def step_check_owners(context, accounts):
    owners = context.settings.owners()
    assert owners == accounts.split(", "), owners


@then("the problems with the settings name acme and bravo, and no key")
def step_check_problems(context):
    (problem,) = context.settings.feed.describe_problems()
    assert "acme, bravo" in problem, problem
    assert not any(key in problem for key in KEYS), problem


@then("there are no problems with the settings")
def step_check_no_problems(context):
    assert context.settings.feed.describe_problems() == []


@when("{count:d} random changes give and take {keys:d} keys of {names:d} accounts")
def step_change_randomly(context, count, keys, names):
    generator = random.Random(count)
    settings = context.settings
    context.keys = [f"k{index}" for index in range(keys)]
    for _ in range(count):
        chosen = [f"a{index}" for index in generator.sample(range(names), 2)]
        for name in chosen:
            settings.accounts.pop(name, None)
            if generator.random() < 0.8:
                size = generator.randrange(4)
                settings.accounts[name] = generator.sample(context.keys, size)
        if generator.random() < 0.2:
            settings.restore()
        else:
            settings.change(*chosen)
        check_index(settings.feed.tree, context.keys)


def check_index(tree, keys):
    """Compare the index of a tree with one that is built from nothing."""
    expected = AccountTable()
    expected.replace(tree.places)
    for digest in map(digest_key, keys):
        assert tree.accounts.find(digest) == expected.find(digest)
    assert tree.accounts.count == expected.count
    shared = sorted(tree.accounts.shared_keys())
    assert shared == sorted(expected.shared_keys()), shared


@then("each key identifies the account that a new tree finds")
def step_check_new_tree(context):
    tree = SettingsTree()
    tree.restore(context.settings.feed.tree.snapshot())
    check_index(tree, context.keys)


@when("the settings are {state} and a request for {path} has the key {key}")
def step_find_in_state(context, state, path, key):
    feed = context.settings.feed
    if "unconfirmed" in state:
        feed.confirmation = _expired(feed)
    if "behind" in state:
        feed.record_peer_revision(feed.tree.revision + 1, "127.0.0.1:1")
    feed.log_failed = True
    context.found = context.settings.find(path, key)


def _expired(feed):
    """Return a confirmation that is too old to be valid."""
    confirmation = type(feed.confirmation)(feed.confirmation.apply_limit_ms)
    confirmation.record(now_s() - 60)
    return confirmation


@when("a request with the key k4 waits while a newer version gives k4 to bravo")
def step_find_while_waiting(context):
    settings = context.settings

    async def find():
        feed = settings.feed
        feed.record_peer_revision(feed.tree.revision + 1, "127.0.0.1:1")
        waiting = asyncio.create_task(
            settings.lookup.find(HOST, "/lookup/1", 500, "k4")
        )
        await asyncio.sleep(0.02)
        assert not waiting.done()
        settings.accounts["bravo"].append("k4")
        settings.restore()
        return await waiting

    context.found = asyncio.run(find())


@when("acme has the priority {priority:d}")
def step_set_priority(context, priority):
    context.settings.priorities["acme"] = priority
    context.settings.change("acme")


@then(
    "a call for {path} has the priority {first:d} with the key k1, and {second:d} with "
    "the key k3"
)
def step_check_priorities(context, path, first, second):
    priorities = [context.settings.find(path, key).priority for key in ("k1", "k3")]
    assert priorities == [first, second], priorities


def new_call(account="", required=True, fields=()):
    return Call(
        request=SimpleNamespace(method="GET", headers=CIMultiDict(fields)),
        request_id="r1",
        service="slot-desk",
        path_and_query="/lookup/1",
        settings=EffectiveSettings(require_account_key=required),
        idempotent=True,
        deadline=Deadline.after_ms(2000),
        body=b"",
        account=account,
        priority=0 if account == "acme" else ROUTE_PRIORITY,
    )


KINDS = {
    "of account acme": {"account": "acme"},
    "of a public route": {},
    "in a fleet without keys": {"required": False},
}


@when("a call {kind} has the header fields {fields}")
def step_create_call(context, kind, fields):
    pairs = [field.split(": ") for field in fields.split(", ")]
    context.call = new_call(fields=pairs, **KINDS[kind])


class HeadRecorder:
    """An attempt client and router that keep the heads of attempts."""

    def __init__(self):
        self.heads = []
        self.load_table = SimpleNamespace(has_queue=lambda view: False)

    def pick(self, *args, **options):
        view = SimpleNamespace(endpoint="e1", daemon="d1")
        return None if self.heads else view

    def start_attempt(self, view, route):
        return SimpleNamespace(record_reply=None, record_end=lambda: None)

    def fill_call_head(self, head, view):
        self.heads.append(head)

    def send(self, view, request):
        raise ConnectionAbortedError


def field_set(headers):
    return {(header.name, header.value) for header in headers}


def parse_fields(text):
    pairs = (field.split(": ") for field in text.split(", "))
    return {(name.lower(), value) for name, value in pairs}


@then("its target gets {fields}")
def step_check_target_fields(context, fields):
    recorder = HeadRecorder()
    budget = SimpleNamespace(add_call=lambda service, percent: None)
    runner = CallRunner(recorder, recorder, Metrics(), budget, NAMES)
    with contextlib.suppress(ConnectionAbortedError):
        asyncio.run(runner.run(context.call))
    (head,) = recorder.heads
    headers = {(name.lower(), value) for name, value in field_set(head.headers)}
    assert headers == parse_fields(fields), headers
    assert head.account == context.call.account, head.account


@then("the holder of its operation key gets {fields} without the account")
def step_check_holder_fields(context, fields):
    headers = context.call.forwarded_headers(NAMES.account_fields())
    expected = parse_fields(fields)
    if context.call.account:
        expected.discard(("x-tenant", context.call.account))
    assert field_set(headers) == expected, headers


class Holder:
    """A peer that holds operation keys; keeps the messages and the calls it runs."""

    caller_service = "slot-desk"

    def __init__(self, members, feed):
        self.messages = []
        self.calls = []
        self.table = KeyTable(members.own.daemon, 1, 60_000, Metrics())
        self.keyed_calls = KeyedCalls(
            members, feed, self, None, self.table, Metrics(), NAMES.account_fields()
        )

    async def run(self, call):
        """Answer a call, as a call runner does."""
        self.calls.append(call)
        return Answered(200), text("answer for acme")

    def operation_keys(self, address):
        return SimpleNamespace(Run=lambda message, **options: self.receive(message))

    async def receive(self, message):
        self.messages.append(message.SerializeToString())
        received = peer_pb2.KeyedCall.FromString(self.messages[-1])
        return await self.keyed_calls.run_or_relay(received)


@when("accounts acme and bravo send the same call with one operation key")
def step_send_keyed_calls(context):
    feed = context.settings.feed
    feed.tree.places["service:slot-desk"] = settings_pb2.PlaceState()
    holder_members, entry_members = new_members("d1", 1), new_members("d2", 2)
    entry_members.merge(holder_members.own)
    context.holder = Holder(holder_members, feed)
    table = KeyTable("d2", 1, 60_000, Metrics())
    entry = KeyedCalls(
        entry_members,
        feed,
        SimpleNamespace(caller_service="slot-desk"),
        context.holder,
        table,
        Metrics(),
        NAMES.account_fields(),
    )
    (key,) = context.holder.table.mint(1)
    context.replies = [
        asyncio.run(entry.run_at_holder(call, str(key)))
        for call in (
            new_call("acme", fields=[("X-Key", "secret-1"), ("x_key", "secret-2")]),
            new_call("bravo", fields=[("x-key", "secret-3")]),
        )
    ]


@then("the call of acme is run for acme with its priority")
def step_check_holder_call(context):
    (call,) = context.holder.calls
    assert (call.account, call.priority) == ("acme", 0), call


@then("the call of bravo is refused as {reason}")
def step_check_second_reply(context, reason):
    not_run = context.replies[1].not_run
    assert reason_name(NotRun(not_run.reason)) == reason, context.replies


@then("no message to the holder contains an account key")
def step_check_messages(context):
    assert len(context.holder.messages) == len(context.replies)
    assert not any(b"secret" in each for each in context.holder.messages)


def decode(tenants):
    document = configuration_document(3)
    if tenants != "nothing":
        document["tenants"] = json.loads(tenants)
    reports = []
    snapshot = decode_configuration(json.dumps(document).encode(), {}, reports.append)
    tree = SettingsTree()
    tree.restore(snapshot)
    return tree, [str(each) for each in reports]


@when("the document has the tenant {tenant}")
def step_decode_tenant(context, tenant):
    context.tree, context.reports = decode(f"[{tenant}]")


@then("the settings have {account}, and the reports name {reported}")
def step_check_decoded(context, account, reported):
    found = list(context.tree.accounts)
    texts = [
        f"{each.name} with {len(each.key_digests)} key"
        + ("s" if len(each.key_digests) != 1 else "")
        for each in found
    ]
    assert texts == ([] if account == "no account" else [account]), found
    for each in found:
        assert context.tree.accounts.get(each.name) == each, found
    if reported == "nothing":
        assert context.reports == [], context.reports
    else:
        assert len(context.reports) >= 1, context.reports
        assert all(f"{reported} is" in each for each in context.reports)
    assert "secret" not in str(context.reports)


@when("the document has {tenants} as its tenants")
def step_decode_tenants(context, tenants):
    try:
        tree, _ = decode(tenants)
        context.required = "required" if tree.requires_account_key else "not required"
    except LaburnumscaleError:
        context.required = "invalid"


@then("keys are {required}")
def step_check_required(context, required):
    assert context.required == required, context.required


@when("a settings file has the accounts {section}")
def step_read_file(context, section):
    path = context.fleet.directory / "accounts.jsonc"
    path.write_text(f'{{"accounts": {section}}}', encoding="utf-8")
    try:
        (context.edit,) = read_edits(read_settings_file(str(path)))
        context.result = f"edits {context.edit.place} with "
        context.result += f"{len(context.edit.account.key_digests)} digest"
        if context.edit.HasField("removal"):
            context.result = f"removes {context.edit.place}"
    except LaburnumscaleError as error:
        assert "k1" not in str(error), error
        line = str(error).removeprefix(f"{path}:").partition(":")[0]
        context.edit, context.result = None, f"is invalid in line {line}"


@then("its change {result}")
def step_check_file(context, result):
    assert context.result == result, context.result
    if context.edit is not None:
        assert b"k1" not in context.edit.SerializeToString()
