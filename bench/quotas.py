"""Quotas.

Measures the messages and the processor time that quotas cost a daemon, for small and
large fleets: ``python -m bench.quotas``.
"""

import argparse
import asyncio
import random
import time
import tracemalloc

import attrs
import grpc

from bench.model import VirtualTimeLoop
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.quotachannels import QuotaChannels
from laburnumscale.quotas import (
    KeeperView,
    Quota,
    QuotaClient,
    QuotaKeeper,
    QuotaService,
    QuotaTolerance,
)
from laburnumscale_schema import peer_pb2, peer_pb2_grpc

__all__ = ["QuotaCosts", "main", "measure"]

TOLERANCE = QuotaTolerance(5.0, 10, 20)
US_PER_S = 1_000_000
#: Quotas are usually 1.6 times the usual demand of an account.
HEADROOM = 1.6
REQUESTS = 3_000


@attrs.frozen
class QuotaCosts:
    """Costs for one size of the fleet; the names contain the units.

    :ivar decision_us: entry, per call, without sending messages.
    :ivar keeper_us: keeper, per request.
    :ivar rank_us: ranking of one account that is not cached.
    """

    daemons: int
    accounts: int
    calls_per_s: float
    messages_per_call: float
    decision_us: float
    keeper_us: float
    rank_us: float

    def core_percent(self, message_us: float) -> float:
        """Return the share of a core, with the messages sent and received."""
        per_call = self.decision_us + self.messages_per_call * (
            self.keeper_us + message_us
        )
        return self.calls_per_s * per_call / US_PER_S * 100


def _new_members(count: int) -> Members:
    entries = [
        peer_pb2.Member(
            daemon=f"d{index}",
            incarnation=1,
            version=1,
            peer_address=f"d{index}",
            state=peer_pb2.MEMBER_STATE_ALIVE,
        )
        for index in range(count)
    ]
    members = Members(entries[0])
    for entry in entries[1:]:
        members.merge(entry)
    return members


async def _never_ended(daemon: str, incarnation: int, address: str) -> bool:
    return False


async def _measure_decisions(
    daemons: int, accounts: int, calls_per_s: float, duration_s: float
) -> QuotaCosts:
    loop = asyncio.get_running_loop()
    members, metrics = _new_members(daemons), Metrics()
    view = KeeperView(members, loop.time)
    view.started_at_s -= 3_600
    rate = HEADROOM * daemons * calls_per_s / accounts
    quota = Quota(rate, 2 * rate)
    keeper = QuotaKeeper(view, lambda name: quota, TOLERANCE, metrics, clock=loop.time)
    # The keepers at other daemons: one that considers itself the keeper of all.
    other_view = KeeperView(_new_members(1), loop.time)
    other_view.started_at_s -= 3_600
    other = QuotaKeeper(
        other_view, lambda name: quota, TOLERANCE, metrics, clock=loop.time
    )
    requests = []

    async def ask(address, request, timeout_s):
        requests.append(request)
        await asyncio.sleep(0.001)
        started_at_s = time.process_time()
        other.tick()
        reply = other.acquire(request)
        asked.append(time.process_time() - started_at_s)
        return reply

    asked: list[float] = []
    service = QuotaService(keeper, view, ask, _never_ended, loop.time)
    client = QuotaClient(service, ask, lambda name: quota, metrics, clock=loop.time)
    names = [f"account-{index}" for index in range(accounts)]
    started_at_s = time.process_time()
    for name in names[:100]:
        view.rank(name)
    rank_s = (time.process_time() - started_at_s) / min(100, accounts)
    for name in names:  # an entry that has run for some minutes
        view.rank(name)
    ticks = loop.create_task(service.watch())
    generator, calls = random.Random(1), 0
    end_s = loop.time() + duration_s
    started_at_s = time.process_time()
    tasks = set()
    while loop.time() < end_s:
        await asyncio.sleep(generator.expovariate(calls_per_s))
        name = generator.choice(names)
        task = loop.create_task(client.acquire(name, Deadline.after_ms(60_000)))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        calls += 1
    await asyncio.gather(*tasks)
    total_s = time.process_time() - started_at_s - sum(asked)
    ticks.cancel()
    return QuotaCosts(
        daemons=daemons,
        accounts=accounts,
        calls_per_s=calls_per_s,
        messages_per_call=round(len(requests) / calls, 3),
        decision_us=round(total_s / calls * US_PER_S, 1),
        keeper_us=round(sum(asked) / max(1, len(asked)) * US_PER_S, 1),
        rank_us=round(rank_s * US_PER_S, 1),
    )


def measure(
    daemons: int, accounts: int, calls_per_s: float, duration_s: float = 60.0
) -> QuotaCosts:
    """Return the costs of an entry in a fleet of a size, in virtual time."""
    loop = VirtualTimeLoop()
    try:
        return loop.run_until_complete(
            _measure_decisions(daemons, accounts, calls_per_s, duration_s)
        )
    finally:
        loop.close()


def _measure_memory(daemons: int, accounts: int) -> dict[str, int]:
    """Return the bytes of the membership, of all rankings, and of one bucket."""
    members = _new_members(daemons)
    alone = KeeperView(_new_members(1))
    quota = Quota(1.0, 1.0)
    keeper = QuotaKeeper(alone, lambda name: quota, TOLERANCE, Metrics())
    tracemalloc.start()
    view = KeeperView(members)
    view_bytes, _ = tracemalloc.get_traced_memory()
    for index in range(accounts):
        view.rank(f"account-{index}")
    ranked_bytes, _ = tracemalloc.get_traced_memory()
    for index in range(REQUESTS):
        keeper.acquire(peer_pb2.QuotaRequest(account=f"a{index}", wanted_calls=1))
    all_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {
        "view_bytes": view_bytes,
        "rankings_bytes": ranked_bytes - view_bytes,
        "bucket_bytes": (all_bytes - ranked_bytes) // keeper.bucket_count,
    }


class _Servicer(peer_pb2_grpc.QuotasServicer):
    async def Acquire(self, request, context):  # noqa: N802
        return peer_pb2.QuotaReply(granted_calls=1, expires_in_ms=500, grant_epoch=1)


async def _measure_message_us() -> float:
    """Return the processor time of one request and its reply, at both daemons."""
    server = grpc.aio.server()
    peer_pb2_grpc.add_QuotasServicer_to_server(_Servicer(), server)
    port = server.add_insecure_port("127.0.0.1:0")
    await server.start()
    channels = PeerChannels({})
    ask = QuotaChannels(channels).ask
    request = peer_pb2.QuotaRequest(account="account-1", wanted_calls=1, entry="d1")
    for _ in range(100):
        assert await ask(f"127.0.0.1:{port}", request, 1.0)
    started_at_s = time.process_time()
    for _ in range(REQUESTS):
        await ask(f"127.0.0.1:{port}", request, 1.0)
    message_us = (time.process_time() - started_at_s) / REQUESTS * US_PER_S
    await channels.close()
    await server.stop(None)
    return round(message_us, 1)


def main() -> None:
    """Print the costs as a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--duration-s", type=float, default=60.0)
    options = parser.parse_args()
    message_us = asyncio.run(_measure_message_us())
    print(_measure_memory(1_900, 100_000))
    print(f"a message and its reply: {message_us} us at both daemons together")
    for daemons, accounts, calls_per_s in (
        (10, 10, 20),
        (76, 74, 5),
        (76, 74, 63),
        (300, 30_000, 63),
        (1_900, 200, 63),
        (1_900, 190_000, 63),
    ):
        costs = measure(daemons, accounts, calls_per_s, options.duration_s)
        print(attrs.asdict(costs), f"{costs.core_percent(message_us):.2f}% of a core")


if __name__ == "__main__":
    main()
