import asyncio

import aiohttp
from behave import given, then, when
from hypothesis import given as for_all, settings as hypothesis_settings, strategies

from laburnumscale.errors import LaburnumscaleError, LogReplyOutdated
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient, LogReader
from laburnumscale.presence import PresenceStream
from laburnumscale_platform.topics import TopicLog
from laburnumscale_schema import peer_pb2
from tests.features.steps.platform_messages_steps import run_with_client
from tests.standins.keyedlog import KeyedLog

EXAMPLES = 300
TOPIC = "presence"


class _SwitchedLog(LogClient):
    """A client whose session exists only during a read."""

    def __init__(self, url):
        self.url = url
        self.session = None

    async def append(self, stream, payload, key="", number=0):
        log = TopicLog(self.url, self.session)
        return await log.append(stream, payload, key, number)

    async def read(self, stream, offset, wait_ms=0):
        return await TopicLog(self.url, self.session).read(stream, offset, wait_ms)

    async def read_newest(self, stream):
        return await TopicLog(self.url, self.session).read_newest(stream)


def read_keys(context):
    """Return the keys of the records of the next read, or its error."""

    async def read():
        async with aiohttp.ClientSession() as context.log.session:
            try:
                batch = await context.reader.read()
            except LaburnumscaleError as error:
                return error
            return [record.key for record in batch.records]

    return asyncio.run(read())


def append_keys(context, keys):
    async def append(log):
        for key in keys.split(", "):
            await log.append(TOPIC, key.encode(), key)

    assert run_with_client(context, append) is None


@given("a reader of the topic presence that has read records of {keys}")
def step_create_reader(context, keys):
    context.log = _SwitchedLog(f"http://127.0.0.1:{context.store_port}")
    context.reader = LogReader(context.log, TOPIC)
    append_keys(context, keys)
    assert read_keys(context) == keys.split(", ")


@when("the client appends records of {keys}")
def step_append(context, keys):
    append_keys(context, keys)


@when("the store comes back without the last {count:d} records of the topic {topic}")
def step_come_back(context, count, topic):
    context.fleet.post_to_store(f"return/keyed.{topic}/{count}")


@then("the reader reads records of {keys}")
def step_check_read(context, keys):
    read = read_keys(context)
    assert read == keys.split(", "), read


@when("a response of the previous era arrives")
def step_receive_outdated(context):
    batch = Batch((), 0, 1, era=1)

    async def read(*arguments):
        return batch

    context.log.read = read
    context.log.read_newest = read


@then("the reader reports that it is outdated")
def step_check_outdated(context):
    assert isinstance(read_keys(context), LogReplyOutdated)


@given("a daemon that has written its presence record")
def step_announce(context):
    context.log = _SwitchedLog(f"http://127.0.0.1:{context.store_port}")
    own = peer_pb2.Member(daemon="d1", incarnation=1, peer_address="127.0.0.1:1")
    context.presence = PresenceStream(context.log, Members(own), Metrics())
    assert use_presence(context, "read", "announce", "read") is False


@then("the daemon finds its record lost until it has written it again")
def step_check_lost(context):
    assert use_presence(context, "read") is True
    assert use_presence(context, "announce", "read") is False


def use_presence(context, *methods):
    """Call methods of the presence stream and return whether its record is lost."""

    async def use():
        async with aiohttp.ClientSession() as context.log.session:
            for method in methods:
                await getattr(context.presence, method)()
        return context.presence.is_announcement_lost()

    return asyncio.run(use())


_ACTIONS = strategies.one_of(
    strategies.tuples(
        strategies.just("append"), strategies.sampled_from(["a", "b", "c"])
    ),
    strategies.tuples(strategies.just("return"), strategies.integers(1, 4)),
    strategies.tuples(strategies.just("drop"), strategies.integers(1, 3)),
    strategies.tuples(strategies.just("read"), strategies.just(0)),
)


async def run_actions(actions):
    log = KeyedLog()
    reader = LogReader(log, TOPIC)
    held = {}
    written = 0
    for action, argument in [*actions, ("read", 0)]:
        if action == "append":
            written += 1
            await log.append(TOPIC, str(written).encode(), argument)
        elif action == "return":
            log.come_back(argument)
        elif action == "drop":
            log.drop_first(argument)
        else:
            batch = await reader.read()
            held.update((record.key, record.payload) for record in batch.records)
    newest = log.newest()
    assert {key: held.get(key) for key in newest} == newest


@then(
    "after random appends, returns and dropped records a reader holds what the log "
    "holds"
)
def step_check_random_returns(context):
    @hypothesis_settings(max_examples=EXAMPLES, deadline=None, derandomize=True)
    @for_all(strategies.lists(_ACTIONS, max_size=30))
    def check(actions):
        asyncio.run(run_actions(actions))

    check()
