"""Call counts.

Counts the calls of client accounts by outcome, for a bounded number of accounts.
"""

from collections import Counter

from laburnumscale.metrics import Metrics, escape_label

__all__ = ["MAX_COUNTED_ACCOUNTS", "AccountCallCounts"]

#: Accounts with counters of their own. Each has a line in the metrics for each of the
#: three outcomes, so these take about 50 KB if names have 20 characters.
MAX_COUNTED_ACCOUNTS = 200


class AccountCallCounts:
    """The calls of each account at this daemon since its start.

    Accounts get counters in the order of their first calls. Calls of those beyond the
    limit are counted together, under an empty name.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._counts: dict[str, Counter[str]] = {}

    def add(self, account: str, outcome: str) -> None:
        """Count a call.

        :param account: name of the account.
        :param outcome: name of the outcome.
        """
        is_counted = account in self._counts
        if is_counted or len(self._counts) < MAX_COUNTED_ACCOUNTS:
            self._counts.setdefault(account, Counter())[outcome] += 1
        else:
            account = ""
        labels = f'account="{escape_label(account)}",outcome="{outcome}"'
        self._metrics.count("account_calls", labels)

    def get(self, account: str) -> dict[str, int] | None:
        """Return the calls of an account by outcome; None if it has no counters."""
        counts = self._counts.get(account)
        return dict(counts) if counts is not None else None
