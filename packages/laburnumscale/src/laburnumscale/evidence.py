"""Evidence.

Adds up what the calls of one target say about its health.
"""

import math

import attrs

__all__ = ["Evidence"]

#: Shares of bad calls that the test tells apart.
HEALTHY_SHARE = 0.02
FAILING_SHARE = 0.3
BAD_STEP = math.log(FAILING_SHARE / HEALTHY_SHARE)
GOOD_STEP = math.log((1 - FAILING_SHARE) / (1 - HEALTHY_SHARE))
LATEST_WEIGHT = 0.2
PERCENT = 100


@attrs.define
class Evidence:
    """A cumulative sum test (CUSUM) of the share of bad calls.

    The score is the log-likelihood ratio of a failing target against a healthy one,
    reset at 0, so that a long healthy past does not delay the verdict.

    :ivar score: the sum so far.
    :ivar bad_share: share of bad calls among the latest ones, 0 to 1.
    :ivar latency_us: moving average of the latency; 0 before the first call.
    """

    score: float = 0.0
    bad_share: float = 0.0
    latency_us: float = 0.0

    def add(self, bad: bool, weight: int = 1) -> None:
        """Take one call into account.

        :param weight: the calls for which a bad one counts.
        """
        self.score = max(0.0, self.score + (BAD_STEP * weight if bad else GOOD_STEP))
        self.bad_share += LATEST_WEIGHT * (float(bad) - self.bad_share)

    def add_latency(self, latency_us: float) -> None:
        """Take the latency of one call into account."""
        if not self.latency_us:
            self.latency_us = latency_us
        self.latency_us += LATEST_WEIGHT * (latency_us - self.latency_us)

    def is_against(self, eject_after: int) -> bool:
        """Tell whether the score is that of so many bad calls in a row."""
        return self.score >= BAD_STEP * (eject_after - 1) + BAD_STEP / 2

    def severity_percent(self) -> int:
        """Return the share of bad calls among the latest ones."""
        return round(PERCENT * self.bad_share)

    def start_again(self, eject_after: int) -> None:
        """Leave a target that returns one bad call away from ejection."""
        self.score = BAD_STEP * max(0, eject_after - 1)
        self.bad_share = 0.0
        self.latency_us = 0.0
