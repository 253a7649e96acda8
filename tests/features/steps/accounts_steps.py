import asyncio
import json
import random
from types import SimpleNamespace

from behave import given, then, when
from multidict import CIMultiDict
from sanic.response import text

from laburnumscale.accounts import AccountTable, account_place, digest_key
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
from laburnumscale.settingsconfirmation import SettingsConfirmation
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingsfile import read_settings_file
from laburnumscale.settingstree import EffectiveSettings, SettingsTree
from laburnumscale_platform.configuration import decode_configuration
from laburnumscale_schema import peer_pb2, settings_pb2
from tests.features.steps.keyed_routes_steps import new_members
from tests.features.steps.platform_steps import HOST, configuration_document

FIELDS = HeaderNames(account_key="X-Key", account="X-Tenant").account_fields()
ROUTE_PRIORITY = 3
SECRET = "secret"
PEER = "127.0.0.1:1"


def parse_accounts(accounts):
    words = [each.split() for each in accounts.split("; ") if accounts != "none"]
    return {name: keys for name, *keys in words}


class AccountFeed:
    """A feed to which accounts are published, as changes or snapshots."""

    def __init__(self, accounts):
        self.priorities = {}
        self.feed = SettingsFeed(Metrics())
        self.tree = self.feed.tree
        self.lookup = RouteLookup(self.feed, routes_only=True)
        self.accounts = accounts
        self.publish(accounts, "a snapshot")
        self.feed.mark_tree_complete()

    def publish(self, accounts, way):
        changed = {*self.accounts, *accounts}
        self.accounts = accounts
        if way == "a change":
            self.change(changed)
        else:
            assert self.feed.restore(self.snapshot(self.tree.revision + 1))
        self.feed.confirm_at(now_s())
        self.feed.notify_waiters()

    def account(self, name):
        digests = [digest_key(key) for key in self.accounts[name]]
        return settings_pb2.ClientAccount(
            name=name, key_digests=digests, priority=self.priorities.get(name)
        )

    def snapshot(self, revision):
        snapshot = settings_pb2.Snapshot(revision=revision)

        def add(place):
            return snapshot.places.add(place=place, revision=revision)

        add("fleet").settings.require_account_key = True
        add("service:slot-desk").settings.SetInParent()
        for prefix in ("/lookup/", "/open/"):
            route = add(f"route:{HOST}{prefix}").route
            route.host, route.path_prefix, route.service = HOST, prefix, "slot-desk"
            route.public = prefix == "/open/"
            route.priority = ROUTE_PRIORITY
        for name in self.accounts:
            add(str(account_place(name))).account.CopyFrom(self.account(name))
        return snapshot

    def change(self, names):
        revision = self.tree.revision
        change = settings_pb2.Change(
            change_id=f"c{revision}", author="t", read_revision=revision
        )
        for name in names:
            place = str(account_place(name))
            based_on = self.tree.place_revision(place)
            edit = change.edits.add(place=place, based_on_revision=based_on)
            if name in self.accounts:
                edit.account.CopyFrom(self.account(name))
            else:
                edit.removal.SetInParent()
        record = settings_pb2.SettingsRecord(change=change)
        assert self.feed.apply_record(revision, record.SerializeToString())

    def find(self, path, key):
        key = "" if key == "none" else key
        return asyncio.run(self.lookup.find(HOST, path, 20, key))


def describe(found):
    if isinstance(found, NotRun):
        return reason_name(found).replace("_", " ")
    return found.account.name if found.account is not None else "none"


@given("the accounts {accounts}, and the routes /lookup/ and, public, /open/")
def step_create_accounts(context, accounts):
    context.published = AccountFeed(parse_accounts(accounts))


@when("the accounts become {accounts}, by {way}")
def step_publish(context, accounts, way):
    context.published.publish(parse_accounts(accounts), way)


@when("a request for {path} has the key {key}")
def step_find(context, path, key):
    context.found = context.published.find(path, key)


@then("its account is {account}")
def step_check_account(context, account):
    assert describe(context.found) == account, context.found


@then("the keys {keys} identify {owners}")
def step_check_owners(context, keys, owners):
    find = context.published.find
    found = [describe(find("/lookup/1", key)) for key in keys.split(", ")]
    assert found == owners.split(", "), found


@then("the settings have {count:d} problems")
def step_check_problem_count(context, count):
    assert len(context.published.feed.describe_problems()) == count


@then("the settings have 1 problem of acme and bravo")
def step_check_problem(context):
    (problem,) = context.published.feed.describe_problems()
    assert "acme, bravo" in problem and "k1" not in problem, problem


@when("{count:d} random changes give and take {key_count:d} keys of {names:d} accounts")
def step_change_randomly(context, count, key_count, names):
    generator = random.Random(count)
    keys = [f"k{index}" for index in range(key_count)]
    published = context.published
    for _ in range(count):
        accounts = dict(published.accounts)
        for index in generator.sample(range(names), 2):
            accounts[f"a{index}"] = generator.sample(keys, generator.randrange(4))
            if generator.random() < 0.2:
                del accounts[f"a{index}"]
        published.publish(accounts, generator.choice(("a change", "a snapshot")))
        check_index(published.tree, keys)


@then("each key identified the account that a new index finds")
def step_check_random_changes(context):
    assert context.published.tree.revision > 1


def check_index(tree, keys):
    expected = AccountTable()
    expected.replace(tree.places)
    for digest in map(digest_key, keys):
        assert tree.accounts.find(digest) == expected.find(digest)
    assert tree.accounts.count == expected.count
    assert sorted(tree.accounts.shared_keys()) == sorted(expected.shared_keys())


@when("the accounts are {state} and a request for {path} has the key {key}")
def step_find_in_state(context, state, path, key):
    feed = context.published.feed
    feed.log_failed = True
    if "unconfirmed" in state:
        feed.confirmation = SettingsConfirmation()
    if "behind" in state:
        feed.record_peer_revision(feed.tree.revision + 1, PEER)
    context.found = context.published.find(path, key)


@when("a request with the key {key} waits while a newer version gives {key} to bravo")
def step_find_while_waiting(context, key):
    published = context.published

    async def find():
        published.feed.record_peer_revision(published.tree.revision + 1, PEER)
        lookup = published.lookup.find(HOST, "/lookup/1", 500, key)
        waiting = asyncio.create_task(lookup)
        await asyncio.sleep(0.02)
        assert not waiting.done()
        published.publish({"bravo": [key]}, "a snapshot")
        return await waiting

    context.found = asyncio.run(find())


@when("acme has the priority {priority:d}")
def step_set_priority(context, priority):
    context.published.priorities["acme"] = priority
    context.published.publish(context.published.accounts, "a change")


@then("calls with the keys k1, k3 have the priorities {first:d}, {second:d}")
def step_check_priorities(context, first, second):
    found = [context.published.find("/lookup/1", key) for key in ("k1", "k3")]
    assert [each.priority for each in found] == [first, second], found


class Holder:
    """A holder of operation keys, which keeps the messages and answers the calls."""

    caller_service = "slot-desk"

    def __init__(self, feed):
        self.members = new_members("d1", 1)
        self.messages, self.calls = [], []
        self.table = KeyTable("d1", 1, 60_000, Metrics())
        self.keyed_calls = KeyedCalls(
            self.members, feed, self, None, self.table, Metrics(), FIELDS
        )

    async def run(self, call):
        self.calls.append(call)
        return Answered(200), text("answer")

    def operation_keys(self, address):
        return SimpleNamespace(Run=lambda message, **options: self.receive(message))

    async def receive(self, message):
        self.messages.append(message.SerializeToString())
        received = peer_pb2.KeyedCall.FromString(self.messages[-1])
        return await self.keyed_calls.run_or_relay(received)


def new_call(account):
    fields = [("X-Key", SECRET), ("x_key", SECRET), ("Accept", "a/b")]
    return Call(
        request=SimpleNamespace(method="GET", headers=CIMultiDict(fields)),
        request_id="r1",
        service="slot-desk",
        path_and_query="/lookup/1",
        settings=EffectiveSettings(require_account_key=True),
        idempotent=True,
        deadline=Deadline.after_ms(2000),
        body=b"",
        account=account,
        priority=7,
    )


@when("accounts {names} send the same call with one operation key")
def step_send_keyed_calls(context, names):
    feed = context.published.feed
    context.holder = Holder(feed)
    members, table = new_members("d2", 2), KeyTable("d2", 1, 60_000, Metrics())
    members.merge(context.holder.members.own)
    entry = KeyedCalls(
        members, feed, Holder(feed), context.holder, table, Metrics(), FIELDS
    )
    (key,) = context.holder.table.mint(1)
    context.replies = [
        asyncio.run(entry.run_at_holder(new_call(name), str(key)))
        for name in names.replace(" and", ",").split(", ")
    ]


@then("it is run once, for acme with its priority")
def step_check_holder_call(context):
    (call,) = context.holder.calls
    assert (call.account, call.priority) == ("acme", 7), call


@then("the replies are 200, 200 and {reason}")
def step_check_replies(context, reason):
    first, second, third = context.replies
    assert (first.head.status, second.head.status) == (200, 200), context.replies
    assert reason_name(NotRun(third.not_run.reason)) == reason, third


@then("no message to the holder contains an account key")
def step_check_messages(context):
    assert len(context.holder.messages) == len(context.replies)
    assert not any(SECRET.encode() in each for each in context.holder.messages)


@when("a document has the tenants {tenants}")
def step_decode(context, tenants):
    document = configuration_document(3)
    if tenants != "nothing":
        document["tenants"] = json.loads(tenants)
    payload = json.dumps(document).encode()
    context.reports = []
    tree = SettingsTree()
    try:
        tree.restore(decode_configuration(payload, {}, context.reports.append))
    except LaburnumscaleError:
        context.decoded = "invalid"
        return
    found = [f"{each.name}: {len(each.key_digests)}" for each in tree.accounts]
    context.decoded = ", ".join(found) or "none"
    if not tree.requires_account_key:
        context.decoded = "not required"


@then("its accounts are {accounts}, and the reports name {reported}")
def step_check_decoded(context, accounts, reported):
    assert context.decoded == accounts, context.decoded
    reports = [str(each) for each in context.reports]
    assert bool(reports) == (reported != "nothing"), reports
    assert all(f"{reported} is" in each for each in reports), reports
    assert SECRET not in str(reports), reports


@when("a settings file has the accounts {section}")
def step_read_file(context, section):
    path = context.fleet.directory / "accounts.jsonc"
    path.write_text(f'{{"accounts": {section}}}', encoding="utf-8")
    try:
        (edit,) = read_edits(read_settings_file(str(path)))
    except LaburnumscaleError as error:
        assert SECRET not in str(error), error
        line = str(error).removeprefix(f"{path}:").partition(":")[0]
        context.result = f"is invalid in line {line}"
        return
    assert SECRET.encode() not in edit.SerializeToString()
    verb = "removes" if edit.HasField("removal") else "sets"
    context.result = f"{verb} {edit.place}"


@then("its change {result}")
def step_check_file(context, result):
    assert context.result == result, context.result
