"""Quota bucket.

The token bucket of one account at the daemon that keeps its quota.
"""

import random
from collections import OrderedDict

import attrs

from laburnumscale.quotas.quota import Quota

__all__ = ["MAX_SPREAD_S", "EpochalLevel", "QuotaBucket", "bucket_capacity"]

#: Levels are sums of fractions; without this a call is refused that has fully accrued.
ROUNDING_CALLS = 1e-6
EPOCH_BITS = 63
#: Refused callers are told to return spread over at most this time, however many they
#: are. It is a little less than a third of the shortest deadline for which quotas were
#: designed (15 s), because callers ignore a longer delay.
MAX_SPREAD_S = 4.5
#: Quotas may be far below one call a day. The time until the next call would exceed the
#: range of the field of the reply, which is 49 days.
MAX_RETRY_AFTER_S = 86_400.0


def _new_epoch() -> int:
    return random.getrandbits(EPOCH_BITS) | 1


@attrs.define
class EpochalLevel:
    """Calls that accrue at a rate up to a capacity, with a stored time and no timer.

    :ivar epoch: changes each time that calls are lost because the capacity is reached.
        A call granted in the current epoch can be returned: the level is then what it
        would be if the call had not been granted. After a change this is so already.
    """

    calls_per_s: float
    capacity: float
    level: float
    at_s: float
    epoch: int = attrs.field(factory=_new_epoch)

    def refill(self, now_s: float) -> None:
        """Add the calls that have accrued."""
        elapsed_s = max(0.0, now_s - self.at_s)
        self.at_s = max(self.at_s, now_s)
        self._set_level(self.level + elapsed_s * self.calls_per_s)

    def change(self, calls_per_s: float, capacity: float, now_s: float) -> None:
        """Change the rate and the capacity from now on."""
        self.refill(now_s)
        self.calls_per_s = calls_per_s
        self.capacity = capacity
        self._set_level(self.level)

    def take(self, wanted_calls: int, overdraft: float = 0.0) -> int:
        """Remove as many whole calls as there are, at most those that are wanted."""
        available = int(max(0.0, self.level + overdraft) + ROUNDING_CALLS)
        taken = min(wanted_calls, available)
        self.level -= taken
        return taken

    def is_full(self, now_s: float) -> bool:
        """Return whether a new one would hold as much."""
        self.refill(now_s)
        return self.level >= self.capacity

    def put_back(self, returned_calls: int, epoch: int) -> None:
        """Add calls that were granted in an epoch and not run."""
        if epoch == self.epoch:
            self._set_level(self.level + returned_calls)

    def _set_level(self, level: float) -> None:
        if level >= self.capacity:
            self.epoch = (self.epoch + 1) % (1 << EPOCH_BITS) or 1
        self.level = min(level, self.capacity)


class QuotaBucket:
    """The token bucket of one account at its keeper.

    The capacity is at least 1, since a quota with a burst below 1 would allow no call.

    :param share: share of the quota that this daemon may grant.
    :param level: calls in the bucket at first.
    :param accrues_from_s: since when calls accrue.
    :param prefetch_calls: limit of the prefetched calls that are valid, and of the
        overdraft. Prefetched calls may be unused, so a caller that stays within its
        quota gets its call from the overdraft while some are.
    """

    def __init__(
        self,
        quota: Quota,
        share: float,
        level: float,
        prefetch_calls: float,
        accrues_from_s: float,
    ) -> None:
        self.quota = quota
        self.share = share
        self._prefetch_calls = prefetch_calls
        capacity = bucket_capacity(quota, share)
        self._level = EpochalLevel(
            quota.calls_per_s * share, capacity, min(level, capacity), accrues_from_s
        )
        self._prefetched: OrderedDict[str, tuple[float, int]] = OrderedDict()
        self._promised_at_s = accrues_from_s

    @property
    def epoch(self) -> int:
        """Return the epoch in which calls are granted now."""
        return self._level.epoch

    def level(self, now_s: float) -> float:
        """Return the calls in the bucket."""
        self._level.refill(now_s)
        return self._level.level

    def is_full(self, now_s: float) -> bool:
        """Return whether a new bucket would hold as much after some time."""
        return self._level.is_full(now_s)

    def is_held(self, now_s: float) -> bool:
        """Return whether no calls accrue yet."""
        return self._level.at_s > now_s

    def change(
        self, quota: Quota, share: float, prefetch_calls: float, now_s: float
    ) -> None:
        """Apply a new quota or share."""
        if quota == self.quota and share == self.share:
            return
        self.quota, self.share = quota, share
        self._prefetch_calls = prefetch_calls
        self._level.change(
            quota.calls_per_s * share, bucket_capacity(quota, share), now_s
        )
        self._promised_at_s = now_s

    def acquire(self, wanted_calls: int, now_s: float, entry: str = "") -> int:
        """Grant as many of the wanted calls as the bucket permits.

        An entry that wants calls has used or returned those prefetched before.
        """
        self._level.refill(now_s)
        if wanted_calls:
            self._prefetched.pop(entry, None)
        overdraft = min(self._count_prefetched(now_s), self._prefetch_calls)
        return self._level.take(wanted_calls, overdraft)

    def prefetch(
        self, expected_calls: int, valid_s: float, now_s: float, entry: str = ""
    ) -> int:
        """Grant calls before they are needed, while the bucket is more than half full.

        :param valid_s: time for which the calls may be used.
        """
        prefetched = self._count_prefetched(now_s)
        above_half = self.level(now_s) - self._level.capacity / 2
        granted = int(
            max(0, min(expected_calls, self._prefetch_calls - prefetched, above_half))
        )
        if granted:
            self._level.take(granted)
            # What expires unused is returned after that, at the latest within as much
            # time again.
            self._prefetched[entry] = now_s + 2 * valid_s, granted
        return granted

    def put_back(self, returned_calls: int, epoch: int, now_s: float) -> None:
        """Add calls that an entry has not run."""
        self._level.refill(now_s)
        self._level.put_back(returned_calls, epoch)

    def refuse(self, refused_calls: int, now_s: float) -> float:
        """Return the time after which the first of the refused calls may be repeated.

        Each refused call is told a later time than those refused before it, so that
        callers do not return together.
        """
        self._level.refill(now_s)
        rate = self._level.calls_per_s
        soonest_at_s = now_s + max(0.0, 1 - self._level.level) / rate
        return_at_s = max(soonest_at_s, self._promised_at_s)
        if return_at_s > soonest_at_s + MAX_SPREAD_S:
            return_at_s = soonest_at_s
        self._promised_at_s = return_at_s + refused_calls / rate
        return min(return_at_s - now_s, MAX_RETRY_AFTER_S)

    def _count_prefetched(self, now_s: float) -> int:
        while self._prefetched:
            expires_at_s, _ = next(iter(self._prefetched.values()))
            if expires_at_s > now_s:
                break
            self._prefetched.popitem(last=False)
        return sum(calls for _, calls in self._prefetched.values())


def bucket_capacity(quota: Quota, share: float) -> float:
    """Return the capacity of a bucket that grants a share of a quota."""
    return max(1.0, quota.burst_calls * share)
