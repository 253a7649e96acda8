import asyncio

from behave import given, then, when

from laburnumscale.deadlines import Deadline
from laburnumscale.metrics import Metrics
from laburnumscale.peerdiscovery import PeerDiscovery
from laburnumscale.presence import STREAM, PresenceStream
from laburnumscale.quotas import KeeperView, Quota, QuotaKeeper, QuotaTolerance
from laburnumscale.retrybudget import RetryBudget
from laburnumscale_schema import peer_pb2
from tests.standins.daemonparts import DaemonParts, new_member
from tests.standins.keyedlog import KeyedLog

DEAD = peer_pb2.MEMBER_STATE_DEAD
LEFT = peer_pb2.MEMBER_STATE_LEFT
QUOTA = Quota(100, 100)
ACCOUNT = "acme"
SHARE_AGE_S = 60.0


class StartedDaemon(DaemonParts):
    """A daemon that finds out which daemons the fleet has, and keeps a quota."""

    def __init__(self, name, log):
        super().__init__(name, port_of(name), log)
        metrics = Metrics()
        self.now_s = 1_000.0
        self.discovery = PeerDiscovery(
            self.members, self.presence, self.exchange, metrics, ()
        )
        self.view = KeeperView(self.members, lambda: self.now_s)
        self.keeper = QuotaKeeper(
            self.view,
            lambda account: QUOTA,
            QuotaTolerance(5.0, 10, 20),
            metrics,
            clock=lambda: self.now_s,
        )

    def share(self):
        """Return the share of each quota, computed anew."""
        self.now_s += SHARE_AGE_S
        return self.view.share()


def port_of(name):
    return int(name[1:])


def new_entry(name):
    return new_member(name, port_of(name))


def append_record(context, name):
    payload = new_entry(name).SerializeToString()
    asyncio.run(context.log.append(STREAM, payload, name))


def start(context, name, peer=None):
    daemon = StartedDaemon(name, context.log)
    daemon.channels.peer = peer
    context.started[name] = daemon
    asyncio.run(daemon.discovery.join())


@given("no presence records")
def step_create_log(context):
    context.log = KeyedLog()
    context.started = {}


@given("presence records of {names}")
def step_create_records(context, names):
    step_create_log(context)
    for name in names.split(", "):
        append_record(context, name)


@given("{count:d} presence records")
def step_create_many_records(context, count):
    step_create_records(context, ", ".join(f"d{index + 1}" for index in range(count)))


@given("a log that does not respond")
def step_stop_log(context):
    context.log.down = True


@given("{name} has known a fleet of {names} for an hour")
def step_create_settled(context, name, names):
    daemon = StartedDaemon(name, KeyedLog())
    context.started[name] = daemon
    for other in names.split(", "):
        daemon.members.merge(new_entry(other))
    daemon.members.fleet_known = True
    daemon.exchange._recent_start = Deadline(0.0)


@given("{name} has declared {names} dead")
def step_declare_dead(context, name, names):
    for other in names.split(", "):
        context.started[name].members.set_state(other, DEAD)


@given("{name} has just started without records")
def step_create_recent(context, name):
    daemon = StartedDaemon(name, KeyedLog())
    daemon.members.fleet_known = True
    context.started[name] = daemon


@when("{name} starts and reaches nobody")
def step_start_alone(context, name):
    start(context, name)


@when("{name} starts and exchanges tables with {peer}")
def step_start_with_peer(context, name, peer):
    start(context, name, context.started[peer])
    address = context.started[peer].members.own.peer_address
    asyncio.run(context.started[name].exchange.exchange(address))


@when("{name} reaches {names}")
def step_reach(context, name, names):
    for other in names.split(", "):
        context.started[name].members.merge(new_entry(other))


@when("the log responds and {name} reads its records")
def step_read_later(context, name):
    context.log.down = False
    asyncio.run(context.started[name].presence.read())


@when("{name} reads all records again")
def step_read_again(context, name):
    presence = context.started[name].presence
    presence._reader.restart_from_newest()
    asyncio.run(presence.read())


@when("{name} leaves")
def step_leave(context, name):
    for daemon in context.started.values():
        left = peer_pb2.Member()
        left.CopyFrom(daemon.members.get(name))
        left.state = LEFT
        daemon.members.merge(left)


@when("{name} reads a record of a later process of {other}")
def step_read_later_process(context, name, other):
    daemon = context.started[name]
    append_record(context, other)
    daemon.presence = PresenceStream(context.log, daemon.members, Metrics())
    asyncio.run(daemon.presence.read())


@then("{name} may grant {share:g} of each quota, and expects {count:d} daemons")
def step_check_share(context, name, share, count):
    daemon = context.started[name]
    assert daemon.share() == share, daemon.share()
    assert daemon.members.fleet_size == count, daemon.members.fleet_size


def acquire(context, name, count=1):
    request = peer_pb2.QuotaRequest(account=ACCOUNT, wanted_calls=count)
    return context.started[name].keeper.acquire(request)


@then("{name} grants no calls")
def step_check_no_grant(context, name):
    reply = acquire(context, name)
    assert reply.verdict == peer_pb2.QUOTA_VERDICT_NOT_KEEPER, reply


@then("{name} grants calls")
def step_check_grant(context, name):
    reply = acquire(context, name)
    assert reply.verdict == peer_pb2.QUOTA_VERDICT_GRANTED, reply


@then(
    "{name} may retry {count:d} calls of a service at once with a slack of {slack:d} "
    "retries"
)
def step_check_retries(context, name, count, slack):
    members = context.started[name].members
    budget = RetryBudget(slack, lambda: members.fleet_size)
    retries = 0
    while budget.acquire_retry("slot-desk"):
        retries += 1
    assert retries == count, retries


@when("{duration_s:d} s have passed")
def step_pass_time(context, duration_s):
    for daemon in context.started.values():
        for _ in range(duration_s):
            daemon.now_s += 1
            daemon.keeper.tick()


@then("{name} decides on {count:d} calls as {first}, and then as {second}")
def step_check_decisions(context, name, count, first, second):
    replies = [acquire(context, name, count) for _ in range(2)]
    verdicts = [
        peer_pb2.QuotaVerdict.Name(each.verdict).removeprefix("QUOTA_VERDICT_").lower()
        for each in replies
    ]
    assert verdicts == [first, second], verdicts
