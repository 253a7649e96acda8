"""Retry budget.

Bounds the retries of each service to a share of its calls.
"""

from collections.abc import Callable

import attrs

__all__ = ["RetryBudget"]

HIGHEST_TOKENS = 100.0
FIRST_TOKENS = 10.0
PERCENT = 100
#: Part of the slack that entries may save up from the percentage of earlier calls.
SLACK_SHARE = 0.8
#: An entry that starts anew in a window begins with a part of the slack again, so it
#: gets less than what it may save up.
FIRST_SHARE = 0.5
#: A part cannot be told from the whole fleet by an entry that is cut off; the slack
#: of a smaller fleet is not used up.
LEAST_GROUP = 20
#: Calls that targets make are repeated with the run that makes them, without a
#: decision of an entry; a part of the percentage is left for these.
PERCENTAGE_SHARE = 0.7


@attrs.define
class _Bucket:
    tokens: float


class RetryBudget:
    """One bucket of tokens for each service of an entry.

    Each call adds the configured percentage of a token, each retry takes one. A
    service starts with a few, so that rare calls can be retried too. Where the fleet
    as a whole has a slack, each entry starts with its part of it and never has more,
    so that all entries together stay within slack and percentage in any window.

    :param fleet_slack: retries that the fleet may make beyond the percentage; 0 if
        only the percentage counts.
    :param group_size: returns the number of daemons in the fleet.
    """

    def __init__(
        self, fleet_slack: int = 0, group_size: Callable[[], int] = lambda: 1
    ) -> None:
        self._fleet_slack = fleet_slack
        self._group_size = group_size
        self._highest_group = LEAST_GROUP
        self._buckets: dict[str, _Bucket] = {}

    def add_call(self, service: str, budget_percent: int) -> None:
        """Count a call.

        :param budget_percent: retries in percent of calls; 0 allows none.
        """
        bucket = self._bucket(service)
        if budget_percent == 0:
            bucket.tokens = 0.0
            return
        bucket.tokens += budget_percent / PERCENT * self._percentage_share()

    def take_retry(self, service: str) -> bool:
        """Take a token for a retry.

        :returns: whether the retry is allowed.
        """
        bucket = self._bucket(service)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def give_back(self, service: str) -> None:
        """Return the token of a retry that was not made."""
        self._bucket(service).tokens += 1

    def _bucket(self, service: str) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(self._first_tokens())
            self._buckets[service] = bucket
        bucket.tokens = min(bucket.tokens, self._highest_tokens())
        return bucket

    def _highest_tokens(self) -> float:
        if not self._fleet_slack:
            return HIGHEST_TOKENS
        self._highest_group = max(self._highest_group, self._group_size())
        return max(1.0, self._slack_part(SLACK_SHARE))

    def _first_tokens(self) -> float:
        return self._slack_part(FIRST_SHARE) if self._fleet_slack else FIRST_TOKENS

    def _slack_part(self, share: float) -> float:
        return self._fleet_slack * share / self._highest_group

    def _percentage_share(self) -> float:
        return PERCENTAGE_SHARE if self._fleet_slack else 1.0
