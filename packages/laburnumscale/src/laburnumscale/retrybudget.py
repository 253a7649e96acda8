"""Retry budget.

Bounds the retries of each service to a share of its calls.
"""

import attrs

__all__ = ["RetryBudget"]

HIGHEST_TOKENS = 100.0
FIRST_TOKENS = 10.0
PERCENT = 100


@attrs.define
class _Bucket:
    tokens: float = FIRST_TOKENS


class RetryBudget:
    """One bucket of tokens for each service of an entry.

    Each call adds the configured percentage of a token, each retry takes one. A
    service starts with a few, so that rare calls can be retried too.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}

    def add_call(self, service: str, budget_percent: int) -> None:
        """Count a call.

        :param budget_percent: retries in percent of calls; 0 allows none.
        """
        bucket = self._buckets.setdefault(service, _Bucket())
        if budget_percent == 0:
            bucket.tokens = 0.0
            return
        bucket.tokens = min(HIGHEST_TOKENS, bucket.tokens + budget_percent / PERCENT)

    def take_retry(self, service: str) -> bool:
        """Take a token for a retry.

        :returns: whether the retry is allowed.
        """
        bucket = self._buckets.setdefault(service, _Bucket())
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True
