"""Quota service.

Answers requests for calls, after it has taken over the bucket of a former keeper.
"""

import asyncio
from collections.abc import Awaitable, Callable

from laburnumscale.deadlines import now_s
from laburnumscale.quotas.keeper import QuotaKeeper
from laburnumscale.quotas.keeperview import KeeperView
from laburnumscale.quotas.pauses import Pauses
from laburnumscale_schema import peer_pb2

__all__ = ["ASK_TIMEOUT_S", "DECISIONS", "Ask", "HasEnded", "QuotaService"]

#: Longest wait for the reply of another daemon.
ASK_TIMEOUT_S = 0.15
#: The wait for a former keeper must end before the entries that wait for this one.
HAND_OVER_TIMEOUT_S = 0.1
#: The same holds for the wait for the keeper on behalf of an entry.
RELAY_TIMEOUT_S = 0.08
#: How long requests are not relayed to a keeper that did not reply.
RELAY_PAUSE_S = 0.3
DECISIONS = (
    peer_pb2.QUOTA_VERDICT_GRANTED,
    peer_pb2.QUOTA_VERDICT_EXHAUSTED,
    peer_pb2.QUOTA_VERDICT_NO_QUOTA,
)
END_CHECK_INTERVAL_S = 0.2
TICK_INTERVAL_S = 0.25

#: Sends a request to the daemon at an address and returns its reply, or None if there
#: is none within a time in seconds.
Ask = Callable[
    [str, peer_pb2.QuotaRequest, float], Awaitable[peer_pb2.QuotaReply | None]
]
#: Returns whether a process of a daemon, with its incarnation and address, has ended.
HasEnded = Callable[[str, int, str], Awaitable[bool]]


class QuotaService:
    """The keeper of this daemon, and what it asks other daemons.

    :param ask: sends a request to another daemon.
    :param has_ended: checks whether the process of a keeper has ended.
    """

    def __init__(
        self,
        keeper: QuotaKeeper,
        view: KeeperView,
        ask: Ask,
        has_ended: HasEnded,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self.keeper = keeper
        self.view = view
        self._ask = ask
        self._has_ended = has_ended
        self._clock = clock
        self._take_overs: dict[str, asyncio.Task] = {}
        self._end_checks: dict[str, asyncio.Task] = {}
        self._end_check_pauses = Pauses(END_CHECK_INTERVAL_S)
        self._relay_pauses = Pauses(RELAY_PAUSE_S)

    async def watch(self) -> None:
        """Let the keeper notice when this daemon has stood still, until cancelled."""
        while True:
            self.keeper.tick()
            await asyncio.sleep(TICK_INTERVAL_S)

    async def acquire(self, request: peer_pb2.QuotaRequest) -> peer_pb2.QuotaReply:
        """Decide on a request of an entry or of a new keeper."""
        account = request.account
        # Drops the buckets from before a pause, as others may have replaced them.
        self.keeper.tick()
        if not request.hand_over_to:
            predecessor = self.keeper.predecessor_to_ask(account)
            if predecessor:
                await self._take_over(account, predecessor)
            elif request.from_reserve:
                self._check_end(account)
                relayed = await self._relay(request)
                if relayed is not None:
                    return relayed
        return self.keeper.acquire(request)

    async def _relay(
        self, request: peer_pb2.QuotaRequest
    ) -> peer_pb2.QuotaReply | None:
        """Ask the keeper on behalf of an entry that does not reach it.

        A path between two hosts may be broken while both reach all others.

        :returns: None if the keeper does not decide either.
        """
        keeper = next(iter(self.view.rank(request.account)), self.view.own)
        if keeper == self.view.own or self._relay_pauses.has(keeper, self._clock()):
            return None
        relayed = peer_pb2.QuotaRequest()
        relayed.CopyFrom(request)
        relayed.from_reserve = False
        address = self.view.address(keeper)
        reply = await self._ask(address, relayed, RELAY_TIMEOUT_S)
        if reply is None:
            self._relay_pauses.begin(keeper, self._clock())
        return reply if reply is not None and reply.verdict in DECISIONS else None

    async def _take_over(self, account: str, predecessor: str) -> None:
        task = self._take_overs.get(account)
        if task is None:
            task = asyncio.create_task(self._ask_predecessor(account, predecessor))
            self._take_overs[account] = task
            task.add_done_callback(lambda _: self._take_overs.pop(account, None))
        await asyncio.shield(task)

    async def _ask_predecessor(self, account: str, predecessor: str) -> None:
        request = peer_pb2.QuotaRequest(account=account, hand_over_to=self.view.own)
        address = self.view.address(predecessor)
        reply = await self._ask(address, request, HAND_OVER_TIMEOUT_S)
        self.keeper.take_over(account, reply)

    def _check_end(self, account: str) -> None:
        """Check whether the process of a keeper has ended that an entry cannot reach.

        The membership needs seconds to replace a keeper. If its process has certainly
        ended, its backup takes its place at once.
        """
        keeper = next(iter(self.view.rank(account)), self.view.own)
        now = self._clock()
        if (
            keeper == self.view.own
            or keeper in self._end_checks
            or self._end_check_pauses.has(keeper, now)
        ):
            return
        self._end_check_pauses.begin(keeper, now)
        task = asyncio.create_task(self._record_end(keeper))
        self._end_checks[keeper] = task
        task.add_done_callback(lambda _: self._end_checks.pop(keeper, None))

    async def _record_end(self, daemon: str) -> None:
        incarnation = self.view.incarnation(daemon)
        if await self._has_ended(daemon, incarnation, self.view.address(daemon)):
            self.view.record_ended(daemon, incarnation)
