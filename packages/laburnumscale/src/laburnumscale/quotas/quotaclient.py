"""Quota client.

Asks the keeper of an account's quota whether a call may be accepted.
"""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable

import attrs

from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import NotRun
from laburnumscale.quotas.bucket import MAX_SPREAD_S
from laburnumscale.quotas.grantstock import GrantStock
from laburnumscale.quotas.pauses import Pauses
from laburnumscale.quotas.quota import Quota
from laburnumscale.quotas.quotaservice import (
    ASK_TIMEOUT_S,
    DECISIONS,
    Ask,
    QuotaService,
)
from laburnumscale.ratelimit import RateLimiter
from laburnumscale_schema import peer_pb2

__all__ = ["MAX_WAIT_S", "QuotaClient", "QuotaGrant"]

NO_QUOTA = peer_pb2.QUOTA_VERDICT_NO_QUOTA
#: Longest time for which a call waits for a decision.
MAX_WAIT_S = 1.0
#: Share of the time left that a call waits at most; the rest is for running it.
MAX_WAIT_SHARE = 0.5
PAUSE_S = 0.1
#: Pause before a daemon is asked again that has become the keeper or ceased to be it,
#: in which its membership and that of the entry become equal.
NOT_KEEPER_PAUSE_S = 0.05
#: How long a keeper that did not reply is not asked.
UNREACHABLE_S = 0.3
#: Calls that are given back are collected for this time.
RETURN_DELAY_S = 0.02
UNDECIDED = NotRun(peer_pb2.NOT_RUN_REASON_QUOTA_UNDECIDED, retry_after_ms=300)
MAX_ACCOUNTS = 4_096
MAX_WANTED_CALLS = 10_000
MAX_LINES_PER_S = 5


@attrs.define(eq=False)
class _Account:
    """What an entry knows of one account.

    :ivar waiting: the calls that wait for a decision.
    """

    name: str
    stock: GrantStock = attrs.field(factory=GrantStock)
    waiting: deque[asyncio.Future] = attrs.field(factory=deque)
    task: asyncio.Task | None = None
    return_timer: asyncio.TimerHandle | None = None
    accepted: int = 0
    refused: int = 0
    undecided: int = 0

    @property
    def is_idle(self) -> bool:
        return self.task is None and self.return_timer is None


@attrs.frozen(eq=False)
class QuotaGrant:
    """Permission to run one call.

    :ivar epoch: epoch of the keeper's bucket; 0 if the call cannot be returned.
    """

    epoch: int = 0
    _give_back: Callable[[int], None] = lambda epoch: None

    def give_back(self) -> None:
        """Return the call to its quota; it was not run and will not be."""
        if self.epoch:
            self._give_back(self.epoch)


NO_LIMIT = QuotaGrant()


class QuotaClient:
    """Decides at the entry whether a call is within the quota of its account.

    While one message of an account is on its way, further calls of the account wait and
    are asked for together.

    :param service: the keeper of this daemon.
    :param ask: sends a request to another daemon.
    :param find_quota: returns the quota of an account, or None if it has none.
    :param revision: returns the revision of the settings in force.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        service: QuotaService,
        ask: Ask,
        find_quota: Callable[[str], Quota | None],
        metrics: Metrics,
        revision: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._service = service
        self._view = service.view
        self._ask = ask
        self._find_quota = find_quota
        self._metrics = metrics
        self._revision = revision
        self._clock = clock
        self._accounts: OrderedDict[str, _Account] = OrderedDict()
        self._unreachable = Pauses(UNREACHABLE_S)
        self._tasks: set[asyncio.Task] = set()
        self._line_rate = RateLimiter(MAX_LINES_PER_S, MAX_LINES_PER_S)

    async def acquire(self, account: str, deadline: Deadline) -> QuotaGrant | NotRun:
        """Return the permission to run one call, or why it is not run.

        The call is refused if no daemon could decide within ``MAX_WAIT_S``.

        :param deadline: deadline of the call.
        """
        if self._find_quota(account) is None:
            return NO_LIMIT
        now = self._clock()
        state = self._account(account)
        state.stock.record_call(now)
        epoch = state.stock.take(now)
        if epoch is not None:
            return self._accept(state, epoch)
        wait_s = min(MAX_WAIT_S, deadline.left_s() * MAX_WAIT_SHARE)
        future = asyncio.get_running_loop().create_future()
        state.waiting.append(future)
        if state.task is None:
            state.task = asyncio.create_task(self._decide_waiting(state))
        try:
            async with asyncio.timeout(wait_s):
                return await future
        except TimeoutError:
            if future.done() and not future.cancelled():
                return future.result()
            return self._leave_undecided(state)
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                _give_back(future.result())
            raise

    def describe(self, account: str) -> dict[str, object]:
        """Return the quota of an account, its keeper, and its use at this daemon."""
        quota = self._find_quota(account)
        if quota is None:
            return {}
        ranked = [*self._view.rank(account), "", ""]
        state = self._accounts.get(account) or _Account(account)
        return {
            "calls_per_s": quota.calls_per_s,
            "burst_calls": quota.burst_calls,
            "keeper": ranked[0],
            "backup": ranked[1],
            "accepted_here": state.accepted,
            "refused_here": state.refused,
            "undecided_here": state.undecided,
            **self._service.keeper.describe(account),
        }

    def _account(self, name: str) -> _Account:
        state = self._accounts.get(name)
        if state is None:
            state = self._accounts[name] = _Account(name)
            oldest = next(iter(self._accounts.values()))
            if len(self._accounts) > MAX_ACCOUNTS and oldest.is_idle:
                del self._accounts[oldest.name]
        self._accounts.move_to_end(name)
        return state

    async def _decide_waiting(self, state: _Account) -> None:
        """Ask for calls until none of an account waits any more."""
        attempts = 0
        try:
            while True:
                _drop_done(state.waiting)
                if not state.waiting:
                    return
                attempts += 1
                pause_s = await self._ask_for_waiting(state, attempts)
                if pause_s:
                    await asyncio.sleep(pause_s)
                else:
                    attempts = 0
        finally:
            state.task = None
            if state.waiting:  # the decision failed; each call ends undecided in time
                self._metrics.count("quota_failures")
            if state.stock.has_returns:  # since the last request of this task
                self._schedule_return(state, RETURN_DELAY_S)

    async def _ask_for_waiting(self, state: _Account, attempts: int) -> float:
        """Ask the keeper once, or others if it does not decide.

        Its backup and one more daemon ask it in turn, as they may reach it.

        :returns: the pause in seconds before the next attempt; 0 after a decision.
        """
        keeper_replied = False
        for position, daemon in enumerate(self._view.with_relay(state.name)):
            is_backup = position > 0
            if is_backup and keeper_replied and attempts == 1:
                break
            sent_at_s = self._clock()
            reply = await self._send(state, daemon, is_backup)
            if reply is None:
                continue
            keeper_replied = keeper_replied or not is_backup
            if reply.verdict not in DECISIONS:
                continue
            if reply.granted_calls and is_backup and not reply.grant_epoch:
                self._metrics.count(
                    "quota_calls_from_reserve", amount=reply.granted_calls
                )
            self._apply(state, reply, sent_at_s)
            return 0.0
        return NOT_KEEPER_PAUSE_S if keeper_replied else PAUSE_S

    async def _send(
        self, state: _Account, daemon: str, from_reserve: bool
    ) -> peer_pb2.QuotaReply | None:
        now = self._clock()
        if self._unreachable.has(daemon, now):
            return None
        state.stock.expire(now)
        epoch, returned = (0, 0) if from_reserve else state.stock.pop_return()
        request = peer_pb2.QuotaRequest(
            account=state.name,
            wanted_calls=min(len(state.waiting), MAX_WANTED_CALLS),
            settings_revision=self._revision(),
            from_reserve=from_reserve,
            returned_calls=returned,
            returned_epoch=epoch,
            entry=self._view.own,
        )
        if daemon == self._view.own:
            return await self._service.acquire(request)
        request.expected_calls = state.stock.expected_calls()
        reply = await self._ask(self._view.address(daemon), request, ASK_TIMEOUT_S)
        if reply is None:
            self._record_unreachable(daemon)
        else:
            self._unreachable.end(daemon)
        return reply

    def _record_unreachable(self, daemon: str) -> None:
        self._metrics.count("quota_requests_unanswered")
        self._unreachable.begin(daemon, self._clock())
        if self._line_rate.try_acquire():
            get_logger().warning("quota keeper did not reply", keeper=daemon)

    def _apply(
        self, state: _Account, reply: peer_pb2.QuotaReply, sent_at_s: float
    ) -> None:
        """Distribute the granted calls, and refuse the others if the quota is used up.

        Calls that arrived after the request are asked for next.
        """
        now = self._clock()
        if reply.verdict == NO_QUOTA:
            while state.waiting:
                _set_result(state.waiting.popleft(), NO_LIMIT)
            return
        expires_at_s = sent_at_s + reply.expires_in_ms / MS_PER_S
        if reply.granted_calls and expires_at_s <= now:
            state.stock.give_back(reply.grant_epoch, reply.granted_calls)
            self._schedule_return(state, RETURN_DELAY_S)
            return
        left = reply.granted_calls
        while left and state.waiting:
            future = state.waiting.popleft()
            if not future.done():
                left -= 1
                future.set_result(self._accept(state, reply.grant_epoch))
        if left and reply.grant_epoch:
            state.stock.add(reply.grant_epoch, left, expires_at_s)
            self._schedule_return(state, expires_at_s - now)
        if reply.retry_after_ms:
            self._refuse_waiting(state, reply.retry_after_ms)

    def _refuse_waiting(self, state: _Account, retry_after_ms: int) -> None:
        quota = self._find_quota(state.name)
        interval_ms = MS_PER_S / quota.calls_per_s if quota is not None else 0.0
        spread_ms = 0.0
        while state.waiting:
            future = state.waiting.popleft()
            if future.done():
                continue
            delay_ms = max(1, round(retry_after_ms + spread_ms))
            state.refused += 1
            self._metrics.count("quota_decisions", 'result="refused"')
            future.set_result(NotRun(peer_pb2.NOT_RUN_REASON_OVER_QUOTA, delay_ms))
            spread_ms = (spread_ms + interval_ms) % (MAX_SPREAD_S * MS_PER_S)

    def _accept(self, state: _Account, epoch: int) -> QuotaGrant:
        state.accepted += 1
        self._metrics.count("quota_decisions", 'result="accepted"')

        def give_back(epoch: int) -> None:
            self._metrics.count("quota_calls_given_back")
            state.stock.give_back(epoch)
            self._schedule_return(state, RETURN_DELAY_S)

        return QuotaGrant(epoch, give_back)

    def _leave_undecided(self, state: _Account) -> NotRun:
        state.undecided += 1
        self._metrics.count("quota_decisions", 'result="undecided"')
        if self._line_rate.try_acquire():
            get_logger().warning(
                "no decision about a quota",
                account=state.name,
                asked=self._view.rank(state.name),
            )
        return UNDECIDED

    def _schedule_return(self, state: _Account, delay_s: float) -> None:
        loop = asyncio.get_running_loop()
        if state.return_timer is not None:
            if state.return_timer.when() <= loop.time() + delay_s:
                return
            state.return_timer.cancel()
        state.return_timer = loop.call_later(delay_s, self._start_return, state)

    def _start_return(self, state: _Account) -> None:
        state.return_timer = None
        now = self._clock()
        state.stock.expire(now)
        next_expiry_s = state.stock.next_expiry_s
        if next_expiry_s is not None:
            self._schedule_return(state, max(RETURN_DELAY_S, next_expiry_s - now))
        if state.stock.has_returns and state.task is None:
            task = asyncio.create_task(self._return_calls(state))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _return_calls(self, state: _Account) -> None:
        """Return calls that were not run, unless a request has taken them along."""
        ranked = self._view.rank(state.name)
        while ranked and state.stock.has_returns:
            epoch, returned = state.stock.pop_return()
            request = peer_pb2.QuotaRequest(
                account=state.name,
                settings_revision=self._revision(),
                returned_calls=returned,
                returned_epoch=epoch,
            )
            self._metrics.count("quota_returns")
            if ranked[0] == self._view.own:
                await self._service.acquire(request)
            else:
                await self._ask(self._view.address(ranked[0]), request, ASK_TIMEOUT_S)


def _drop_done(waiting: deque[asyncio.Future]) -> None:
    """Drop the calls at the front that have given up."""
    while waiting and waiting[0].done():
        waiting.popleft()


def _give_back(result: QuotaGrant | NotRun) -> None:
    if isinstance(result, QuotaGrant):
        result.give_back()


def _set_result(future: asyncio.Future, result: QuotaGrant | NotRun) -> None:
    if not future.done():
        future.set_result(result)
