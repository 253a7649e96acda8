"""Quota keeper.

Grants calls of the accounts whose quotas this daemon keeps, and as a backup from the
reserve of others.
"""

from collections import OrderedDict
from collections.abc import Callable
from itertools import islice

import attrs

from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.quotas.bucket import EpochalLevel, QuotaBucket, bucket_capacity
from laburnumscale.quotas.keeperview import KeeperView
from laburnumscale.quotas.quota import Quota, QuotaTolerance
from laburnumscale.ratelimit import RateLimiter
from laburnumscale_schema import peer_pb2

__all__ = ["GRANT_VALID_MS", "QuotaKeeper"]

GRANTED = peer_pb2.QUOTA_VERDICT_GRANTED
EXHAUSTED = peer_pb2.QUOTA_VERDICT_EXHAUSTED
NOT_KEEPER = peer_pb2.QUOTA_VERDICT_NOT_KEEPER
NO_QUOTA = peer_pb2.QUOTA_VERDICT_NO_QUOTA
GRANT_VALID_MS = 500
#: A daemon that stood still for longer may have been replaced as a keeper; others take
#: at least 3 s to declare it dead.
MAX_STALL_S = 2.0
#: How long a keeper that has handed over a bucket waits for the new keeper to appear in
#: its own membership.
RELEASE_S = 5.0
#: How long a new keeper waits that could not ask the former one, until that one has
#: heard of the change by gossip.
HOLD_S = 2.0
#: How long a new keeper waits before it asks a keeper again that continues.
DEFERRAL_S = 0.2
MAX_LINES_PER_S = 5
MAX_RELEASED = 4_096
#: Windows in which failed keepers reduce the calls that the next one starts with.
FAILURE_WINDOWS = 2


@attrs.frozen
class _Release:
    keeper: str
    at_s: float


class QuotaKeeper:
    """The buckets of the accounts for which this daemon ranks first in its own view.

    Only accounts in use have a bucket.

    :param find_quota: returns the quota of an account, or None if it has none.
    :param revision: returns the revision of the settings in force.
    :param clock: returns the time in seconds.
    """

    def __init__(
        self,
        view: KeeperView,
        find_quota: Callable[[str], Quota | None],
        tolerance: QuotaTolerance,
        metrics: Metrics,
        revision: Callable[[], int] = lambda: 0,
        clock: Callable[[], float] = now_s,
    ) -> None:
        self._view = view
        self._find_quota = find_quota
        self._tolerance = tolerance
        self._metrics = metrics
        self._revision = revision
        self._clock = clock
        self._buckets: OrderedDict[str, QuotaBucket] = OrderedDict()
        self._reserves: OrderedDict[str, EpochalLevel] = OrderedDict()
        self._released: OrderedDict[str, _Release] = OrderedDict()
        self._deferred_until_s: dict[str, float] = {}
        self._last_tick_at_s = clock()
        self._line_rate = RateLimiter(MAX_LINES_PER_S, MAX_LINES_PER_S)
        view.on_gone = self._handle_gone

    @property
    def bucket_count(self) -> int:
        """Return the number of buckets."""
        return len(self._buckets)

    def tick(self) -> None:
        """Check that this daemon has not stood still; called several times a second.

        A daemon that was suspended may have been replaced, and its buckets would hold
        what has accrued in that time.
        """
        now = self._clock()
        stalled_s = now - self._last_tick_at_s
        self._last_tick_at_s = now
        if stalled_s > MAX_STALL_S:
            get_logger().warning(
                "quota buckets dropped after a stall",
                stalled_ms=round(stalled_s * MS_PER_S),
                buckets=len(self._buckets),
            )
            self._view.restart()
            self._buckets.clear()
            self._reserves.clear()

    def acquire(self, request: peer_pb2.QuotaRequest) -> peer_pb2.QuotaReply:
        """Decide on a request of an entry, or hand over a bucket to a new keeper."""
        reply = self._decide(request)
        if not request.hand_over_to:
            verdict = peer_pb2.QuotaVerdict.Name(reply.verdict)
            name = verdict.removeprefix("QUOTA_VERDICT_").lower()
            self._metrics.count("quota_requests", f'verdict="{name}"')
        return reply

    def predecessor_to_ask(self, account: str) -> str:
        """Return the daemon whose bucket of an account this daemon has to take over.

        It is empty if this daemon does not keep the quota, has a bucket, or has been
        the keeper for long enough to fill one.
        """
        if account in self._buckets or not self._is_keeper(account):
            return ""
        quota = self._find_quota(account)
        now = self._clock()
        if quota is None or self._is_blocked(account, now):
            return ""
        accrued, capacity = self._accrued(account, quota, now)
        return "" if accrued >= capacity else self._view.predecessor(account)

    def take_over(self, account: str, reply: peer_pb2.QuotaReply | None) -> None:
        """Create the bucket of an account from the reply of its former keeper.

        :param reply: None if there was none.
        """
        now = self._clock()
        quota = self._find_quota(account)
        if account in self._buckets or quota is None or not self._is_keeper(account):
            return
        if reply is not None and reply.keeps:
            self._deferred_until_s[account] = now + DEFERRAL_S
            return
        if reply is not None and reply.verdict == GRANTED:
            self._metrics.count("quota_hand_overs", 'result="taken"')
            self._create(account, quota, reply.level_calls, now)
            return
        if reply is None:
            self._metrics.count("quota_hand_overs", 'result="no_reply"')
        held_until_s = now + HOLD_S if reply is None else now
        self._create(account, quota, self._new_level(account, quota, now), held_until_s)

    def describe(self, account: str) -> dict[str, float]:
        """Return the level of the bucket of an account, if this daemon has it."""
        bucket = self._buckets.get(account)
        if bucket is None:
            return {}
        level = bucket.level(self._clock())
        return {"level_calls": round(level, 1), "share": round(bucket.share, 3)}

    def _decide(self, request: peer_pb2.QuotaRequest) -> peer_pb2.QuotaReply:
        self.tick()
        now = self._clock()
        account = request.account
        quota = self._find_quota(account)
        if quota is None:
            self._buckets.pop(account, None)
            is_behind = request.settings_revision > self._revision()
            return peer_pb2.QuotaReply(verdict=NOT_KEEPER if is_behind else NO_QUOTA)
        if request.hand_over_to:
            return self._hand_over(request, quota, now)
        ranked = self._view.rank(account)
        if ranked[:1] == [self._view.own]:
            return self._grant(request, quota, now)
        if request.from_reserve and ranked[1:2] == [self._view.own]:
            return self._grant_from_reserve(request, quota, now)
        return peer_pb2.QuotaReply(verdict=NOT_KEEPER)

    def _grant(
        self, request: peer_pb2.QuotaRequest, quota: Quota, now: float
    ) -> peer_pb2.QuotaReply:
        account = request.account
        bucket = self._buckets.get(account)
        if bucket is None:
            if self._is_blocked(account, now):
                return peer_pb2.QuotaReply(verdict=NOT_KEEPER)
            bucket = self._create(
                account, quota, self._new_level(account, quota, now), now
            )
        self._buckets.move_to_end(account)
        bucket.change(
            quota, self._view.share(), self._tolerance.prefetch_calls(quota), now
        )
        if request.returned_calls:
            bucket.put_back(request.returned_calls, request.returned_epoch, now)
        granted = bucket.acquire(request.wanted_calls, now, request.entry)
        refused = request.wanted_calls - granted
        if not refused:
            granted += bucket.prefetch(
                request.expected_calls,
                GRANT_VALID_MS / MS_PER_S,
                now,
                request.entry,
            )
        if refused and (bucket.is_held(now) or self._view.is_reaching_fleet()):
            verdict = GRANTED if granted else NOT_KEEPER
            return self._reply(verdict, granted, bucket.epoch)
        reply = self._reply(
            EXHAUSTED if refused and not granted else GRANTED, granted, bucket.epoch
        )
        if refused:
            retry_after_s = bucket.refuse(refused, now)
            reply.retry_after_ms = max(1, round(retry_after_s * MS_PER_S))
            self._log_refusal(account, quota, refused, reply.retry_after_ms)
        return reply

    def _grant_from_reserve(
        self, request: peer_pb2.QuotaRequest, quota: Quota, now: float
    ) -> peer_pb2.QuotaReply:
        account = request.account
        size = self._tolerance.reserve_calls(quota) * self._view.share()
        size *= 0.5 ** self._count_failed(account)
        rate = size / self._tolerance.window_s
        reserve = self._reserves.get(account)
        if reserve is None:
            self._drop_full(self._reserves, now)
            reserve = EpochalLevel(rate, size, size, now)
            self._reserves[account] = reserve
            get_logger().info(
                "quota reserve in use",
                account=account,
                keeper=self._view.rank(account)[0],
                reserve_calls=round(size, 1),
            )
        self._reserves.move_to_end(account)
        reserve.change(rate, size, now)
        granted = reserve.take(request.wanted_calls)
        return self._reply(GRANTED if granted else NOT_KEEPER, granted, 0)

    def _reply(self, verdict: int, granted: int, epoch: int) -> peer_pb2.QuotaReply:
        return peer_pb2.QuotaReply(
            verdict=verdict,
            granted_calls=granted,
            expires_in_ms=GRANT_VALID_MS,
            grant_epoch=epoch,
        )

    def _hand_over(
        self, request: peer_pb2.QuotaRequest, quota: Quota, now: float
    ) -> peer_pb2.QuotaReply:
        account, successor = request.account, request.hand_over_to
        self._view.record_alive(successor)
        is_ahead = self._view.outranks(successor, account)
        others = [each for each in self._view.rank(account) if each != successor]
        was_keeper = others[:1] == [self._view.own] or account in self._buckets
        if self._view.is_candidate and (
            not is_ahead or (was_keeper and self._view.is_gone(successor))
        ):
            return peer_pb2.QuotaReply(verdict=NOT_KEEPER, keeps=was_keeper)
        if self._view.is_candidate and not was_keeper:
            return peer_pb2.QuotaReply(verdict=NOT_KEEPER)
        if self._is_blocked(account, now):
            return peer_pb2.QuotaReply(verdict=NOT_KEEPER)
        if (
            account not in self._buckets
            and is_ahead
            and not self._view.has_joined(successor)
        ):
            # The successor was the keeper before it paused or restarted, so what it
            # has granted is not known here.
            return peer_pb2.QuotaReply(verdict=NOT_KEEPER)
        bucket = self._buckets.pop(account, None)
        level = (
            self._new_level(account, quota, now)
            if bucket is None
            else bucket.level(now)
        )
        self._released[account] = _Release(successor, now)
        self._released.move_to_end(account)
        if len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)
        self._metrics.count("quota_hand_overs", 'result="given"')
        return peer_pb2.QuotaReply(verdict=GRANTED, level_calls=level)

    def _is_keeper(self, account: str) -> bool:
        return self._view.rank(account)[:1] == [self._view.own]

    def _is_blocked(self, account: str, now: float) -> bool:
        """Return whether another daemon may keep the quota, as far as this one knows.

        One that does not know the fleet yet may be cut off from all others.
        """
        if not self._view.knows_fleet:
            return True
        if self._deferred_until_s:
            until_s = self._deferred_until_s.get(account, now)
            if until_s > now:
                return True
            self._deferred_until_s.pop(account, None)
        release = self._released.get(account)
        return (
            release is not None
            and now - release.at_s < RELEASE_S
            and not self._view.is_gone(release.keeper)
        )

    def _accrued(self, account: str, quota: Quota, now: float) -> tuple[float, float]:
        """Return what a new bucket holds at most, and its capacity."""
        share = self._view.share()
        capacity = bucket_capacity(quota, share)
        if account in self._released:
            return 0.0, capacity
        kept_s = now - self._view.kept_since_s(account)
        return min(capacity, kept_s * quota.calls_per_s * share), capacity

    def _new_level(self, account: str, quota: Quota, now: float) -> float:
        accrued, capacity = self._accrued(account, quota, now)
        if accrued >= capacity:
            return capacity
        initial = self._tolerance.initial_calls(quota, self._count_failed(account))
        return min(capacity, accrued + initial * self._view.share())

    def _count_failed(self, account: str) -> int:
        within_s = FAILURE_WINDOWS * self._tolerance.window_s
        return self._view.count_failed_keepers(account, within_s)

    def _create(
        self, account: str, quota: Quota, level: float, accrues_from_s: float
    ) -> QuotaBucket:
        now = self._clock()
        self._drop_full(self._buckets, now)
        self._released.pop(account, None)
        bucket = QuotaBucket(
            quota,
            self._view.share(),
            level,
            self._tolerance.prefetch_calls(quota),
            accrues_from_s,
        )
        self._buckets[account] = bucket
        return bucket

    @staticmethod
    def _drop_full(
        kept: OrderedDict[str, QuotaBucket] | OrderedDict[str, EpochalLevel], now: float
    ) -> None:
        """Drop up to two that were not used for the longest time, if they are full."""
        for account in list(islice(kept, 2)):
            if kept[account].is_full(now):
                del kept[account]

    def _handle_gone(self, daemon: str) -> None:
        """Drop buckets that another daemon may have kept in the meantime."""
        for account in list(self._buckets):
            if self._view.outranks(daemon, account):
                del self._buckets[account]

    def _log_refusal(
        self, account: str, quota: Quota, refused: int, retry_after_ms: int
    ) -> None:
        if self._line_rate.try_acquire():
            get_logger().info(
                "quota used up",
                account=account,
                calls_per_s=quota.calls_per_s,
                burst_calls=quota.burst_calls,
                share=round(self._view.share(), 3),
                refused=refused,
                retry_after_ms=retry_after_ms,
            )
