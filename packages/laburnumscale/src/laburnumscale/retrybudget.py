"""Retry budget.

Limits the retries of each service to a percentage of its calls.
"""

from collections.abc import Callable

import attrs

__all__ = ["RetryBudget"]

MAX_TOKENS = 100.0
INITIAL_TOKENS = 10.0
PERCENT = 100
#: Share of the slack up to which entries may accumulate tokens from earlier calls.
MAX_SLACK_SHARE = 0.8
#: An entry that restarts within a window receives its initial share of the slack a
#: second time, so this share is smaller than the accumulated maximum.
INITIAL_SLACK_SHARE = 0.5
#: Smallest fleet size that the slack is divided by, because an entry may not have heard
#: of all others yet. Fleets smaller than this do not use all of the slack.
MIN_GROUP_SIZE = 20
#: Share of the configured percentage that entries use for their own retries. When a
#: run is retried, the calls that the target makes during that run are repeated too,
#: without a decision by an entry; the rest of the percentage is left for these.
ENTRY_PERCENTAGE_SHARE = 0.7


@attrs.define
class _Bucket:
    tokens: float


class RetryBudget:
    """A token bucket for each service of an entry.

    Each call adds the configured percentage of a token and each retry removes one
    token. A bucket starts with some tokens, so that services with few calls can be
    retried too. If the fleet has a slack, it is divided among the entries and limits
    both the initial and the maximum number of tokens of a bucket, so that all entries
    together stay within slack and percentage in any window.

    :param fleet_slack: retries that the fleet may make beyond the percentage; 0 if
        only the percentage applies.
    :param group_size: returns the number of daemons in the fleet, with those that may
        live on the other side of a partition.
    """

    def __init__(
        self, fleet_slack: int = 0, group_size: Callable[[], int] = lambda: 1
    ) -> None:
        self._fleet_slack = fleet_slack
        self._group_size = group_size
        self._max_group_size = MIN_GROUP_SIZE
        self._buckets: dict[str, _Bucket] = {}

    def add_call(self, service: str, budget_percent: int) -> None:
        """Add the tokens for one call to the bucket of a service.

        :param budget_percent: retries in percent of calls; 0 allows none.
        """
        bucket = self._bucket(service)
        if budget_percent == 0:
            bucket.tokens = 0.0
            return
        bucket.tokens += budget_percent / PERCENT * self._percentage_share()

    def acquire_retry(self, service: str) -> bool:
        """Remove one token for a retry.

        :returns: whether the retry is allowed.
        """
        bucket = self._bucket(service)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def release_retry(self, service: str) -> None:
        """Return the token of a retry that was not made."""
        self._bucket(service).tokens += 1

    def _bucket(self, service: str) -> _Bucket:
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(self._initial_tokens())
            self._buckets[service] = bucket
        bucket.tokens = min(bucket.tokens, self._max_tokens())
        return bucket

    def _max_tokens(self) -> float:
        if not self._fleet_slack:
            return MAX_TOKENS
        self._max_group_size = max(self._max_group_size, self._group_size())
        return max(1.0, self._entry_slack(MAX_SLACK_SHARE))

    def _initial_tokens(self) -> float:
        return (
            self._entry_slack(INITIAL_SLACK_SHARE)
            if self._fleet_slack
            else INITIAL_TOKENS
        )

    def _entry_slack(self, share: float) -> float:
        return self._fleet_slack * share / self._max_group_size

    def _percentage_share(self) -> float:
        return ENTRY_PERCENTAGE_SHARE if self._fleet_slack else 1.0
