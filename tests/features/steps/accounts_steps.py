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
from laburnumscale_schema import settings_pb2
from tests.features.steps.keyed_routes_steps import Channels, Runner, new_members
from tests.features.steps.platform_steps import HOST, configuration_document

FIELDS = HeaderNames(account_key="X-Key", account="X-Tenant").account_fields()
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
        self.publish(accounts, "a snapshot")
        self.feed.mark_tree_complete()

    def publish(self, accounts, way):
        self.accounts = accounts
        wanted = self.snapshot(self.tree.revision + 1)
        if way == "a change":
            self.change({state.place: state for state in wanted.places})
        else:
            assert self.feed.restore(wanted)
        self.feed.confirm_at(now_s())
        self.feed.notify_waiters()

    def snapshot(self, revision):
        snapshot = settings_pb2.Snapshot(revision=revision)

        def add(place):
            return snapshot.places.add(place=place, revision=revision)

        add("fleet").settings.require_account_key = True
        add("service:slot-desk").settings.SetInParent()
        for prefix in ("/lookup/", "/open/"):
            route = add(f"route:{HOST}{prefix}").route
            route.host, route.path_prefix, route.service = HOST, prefix, "slot-desk"
            route.public, route.priority = prefix == "/open/", 3
        for name, keys in self.accounts.items():
            account = add(str(account_place(name))).account
            account.name = name
            account.key_digests.extend(map(digest_key, keys))
            if name in self.priorities:
                account.priority = self.priorities[name]
        return snapshot

    def change(self, wanted):
        revision = self.tree.revision
        change = settings_pb2.Change(
            change_id=f"c{revision}", author="t", read_revision=revision
        )
        for place in {*self.tree.places, *wanted}:
            if place.startswith("account:"):
                based_on = self.tree.place_revision(place)
                edit = change.edits.add(place=place, based_on_revision=based_on)
                if place in wanted:
                    edit.account.CopyFrom(wanted[place].account)
                else:
                    edit.removal.SetInParent()
        record = settings_pb2.SettingsRecord(change=change)
        assert self.feed.apply_record(revision, record.SerializeToString())

    def find(self, key, path="/lookup/1"):
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
    context.found = context.published.find(key, path)


@then("its account is {account}")
def step_check_account(context, account):
    assert describe(context.found) == account, context.found


@then("the keys {keys} identify {owners}")
def step_check_owners(context, keys, owners):
    found = [describe(context.published.find(key)) for key in keys.split(", ")]
    assert found == owners.split(", "), found


@then("the settings have {count:d} problems of {names}")
def step_check_problems(context, count, names):
    problems = context.published.feed.describe_problems()
    assert len(problems) == count, problems
    assert all(names in each and "k1" not in each for each in problems), problems


@then("after each of {count:d} random changes of {size:d} accounts the index is right")
def step_change_randomly(context, count, size):
    generator = random.Random(count)
    keys = [f"k{index}" for index in range(size + 1)]
    published = context.published
    for _ in range(count):
        accounts = dict(published.accounts)
        for index in generator.sample(range(size), 2):
            accounts[f"a{index}"] = generator.sample(keys, generator.randrange(4))
            if generator.random() < 0.2:
                del accounts[f"a{index}"]
        published.publish(accounts, generator.choice(("a change", "a snapshot")))
        held, expected = published.tree.accounts, AccountTable()
        expected.replace(published.tree.places)
        for digest in map(digest_key, keys):
            assert held.find(digest) == expected.find(digest)
        assert held.count == expected.count == len(accounts)
        assert sorted(held.shared_keys()) == sorted(expected.shared_keys())


@when("the accounts are {state} and a request has the key {key}")
def step_find_in_state(context, state, key):
    feed = context.published.feed
    feed.log_failed = True
    if "unconfirmed" in state:
        feed.confirmation = SettingsConfirmation()
    if "behind" in state:
        feed.record_peer_revision(feed.tree.revision + 1, PEER)
    context.found = context.published.find(key)


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


@then("with priority {priority:d} of acme, the keys k1, k3 give calls {expected}")
def step_check_priorities(context, priority, expected):
    context.published.priorities["acme"] = priority
    context.published.publish(context.published.accounts, "a change")
    found = [str(context.published.find(key).priority) for key in ("k1", "k3")]
    assert found == expected.split(", "), found


class AnsweringRunner(Runner):
    """A call runner that answers all calls, and keeps them."""

    async def run(self, call):
        await super().run(call)
        return Answered(200), text("answer")


class RecordedHolder(KeyedCalls):
    """A holder of operation keys that keeps the messages of other daemons."""

    messages = ()

    async def run_or_relay(self, message):
        self.messages = [*self.messages, message.SerializeToString()]
        return await super().run_or_relay(message)


@when("accounts {names} send the same call with one operation key")
def step_send_keyed_calls(context, names):
    context.is_relaying, context.runner = False, AnsweringRunner()
    holder, entry = (
        RecordedHolder(
            new_members(name, port),
            context.published.feed,
            context.runner,
            Channels(context, is_cut=False),
            KeyTable(name, 1, 60_000, Metrics()),
            Metrics(),
            FIELDS,
        )
        for name, port in (("d1", 1), ("d2", 2))
    )
    context.holder = holder
    entry._members.merge(holder._members.own)
    (key,) = holder._table.mint(1)
    fields = [("X-Key", SECRET), ("x_key", SECRET), ("Accept", "a/b")]
    context.replies = [
        asyncio.run(entry.run_at_holder(call, str(key)))
        for call in (
            Call(
                request=SimpleNamespace(method="GET", headers=CIMultiDict(fields)),
                request_id="r1",
                service="slot-desk",
                path_and_query="/lookup/1",
                settings=EffectiveSettings(require_account_key=True),
                idempotent=True,
                deadline=Deadline.after_ms(2000),
                body=b"",
                account=name,
                priority=7,
            )
            for name in names.split(", ")
        )
    ]


@then("it is run once, for acme with its priority, and gets 200, 200 and {reason}")
def step_check_keyed_calls(context, reason):
    (call,) = context.runner.calls
    assert (call.account, call.priority) == ("acme", 7), call
    *answered, refused = context.replies
    assert [each.head.status for each in answered] == [200, 200], answered
    assert reason_name(NotRun(refused.not_run.reason)) == reason, refused
    assert len(context.holder.messages) == len(context.replies)
    assert not any(SECRET.encode() in each for each in context.holder.messages)


@when("a document has the tenants {tenants}")
def step_decode(context, tenants):
    document = configuration_document(3)
    if tenants != "nothing":
        document["tenants"] = json.loads(tenants.replace("10^400", str(10**400)))
    payload = json.dumps(document).encode()
    context.reports, tree = [], SettingsTree()
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


@then("a settings file with the accounts {section} gives a change that {result}")
def step_read_file(context, section, result):
    path = context.fleet.directory / "accounts.jsonc"
    path.write_text(f'{{"accounts": {section}}}', encoding="utf-8")
    try:
        (edit,) = read_edits(read_settings_file(str(path)))
    except LaburnumscaleError as error:
        assert SECRET not in str(error), error
        line = str(error).removeprefix(f"{path}:").partition(":")[0]
        assert result == f"is invalid in line {line}", error
        return
    assert SECRET.encode() not in edit.SerializeToString()
    verb = "removes" if edit.HasField("removal") else "sets"
    assert result == f"{verb} {edit.place}", edit
