"""Quota.

The limit of a client account, and how far the fleet may exceed it.
"""

import attrs

from laburnumscale.deadlines import MS_PER_S
from laburnumscale_schema import settings_pb2

__all__ = ["Quota", "QuotaTolerance", "quota_of"]

PERCENT = 100
#: The smallest rate that is distinguished from others: one call in 31 years. The time
#: between the calls of a smaller one may be infinite as a floating-point number.
MIN_CALLS_PER_S = 1e-9


@attrs.frozen
class Quota:
    """The calls that all daemons together accept for an account.

    :ivar calls_per_s: rate.
    :ivar burst_calls: calls beyond the rate after a time with fewer calls.
    """

    calls_per_s: float
    burst_calls: float


def quota_of(account: settings_pb2.ClientAccount | None) -> Quota | None:
    """Return the quota of an account, or None if its calls are not limited."""
    if account is None or not account.calls_per_s > 0:
        return None
    calls_per_s = max(MIN_CALLS_PER_S, account.calls_per_s)
    return Quota(calls_per_s, max(0.0, account.burst_calls))


@attrs.frozen
class QuotaTolerance:
    """The calls beyond a quota that the fleet may accept in one window.

    Different faults can occur in one window, so each mechanism that may exceed the
    quota gets a part of the tolerance. A quarter stays for the time in which daemons
    differ in their views of the membership.

    :ivar window_s: length of the window.
    :ivar over_percent: tolerance in percent of the calls of a quota in a window.
    :ivar slack_calls: tolerance for each quota beyond that.
    """

    window_s: float
    over_percent: int
    slack_calls: int

    @classmethod
    def from_ms(
        cls, window_ms: int, over_percent: int, slack_calls: int
    ) -> "QuotaTolerance":
        """Return the tolerance for a window in milliseconds."""
        return cls(window_ms / MS_PER_S, over_percent, slack_calls)

    def total_calls(self, quota: Quota) -> float:
        """Return the calls beyond a quota that are tolerated in one window."""
        in_window = quota.calls_per_s * self.window_s + quota.burst_calls
        return self.slack_calls + self.over_percent / PERCENT * in_window

    def prefetch_calls(self, quota: Quota) -> float:
        """Return the limit of prefetched calls, and that of the overdraft for them.

        In a window, entries can use calls that were prefetched before it, and as many
        from the overdraft. Together this is a quarter of the tolerance.
        """
        return self.total_calls(quota) / 8

    def reserve_calls(self, quota: Quota) -> float:
        """Return the size of the reserve of a backup.

        It is refilled in one window, so at most twice its size is granted in any
        window, which is a quarter of the tolerance.
        """
        return self.total_calls(quota) / 8

    def initial_calls(self, quota: Quota, failed_keepers: int) -> float:
        """Return the calls that a new bucket holds in addition to the accrued ones.

        Each keeper that failed within the last windows halves them, so the sum over all
        keepers that follow each other is at most a quarter of the tolerance.

        :param failed_keepers: keepers that failed before this one.
        """
        return self.total_calls(quota) / 8 * 0.5 ** max(0, failed_keepers - 1)
