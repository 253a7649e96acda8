"""Call statistics.

Estimates the health of one target from the results of its calls.
"""

import math

import attrs

__all__ = ["CallStatistics"]

#: Ratios of bad calls that the test assumes for healthy and for failing targets.
HEALTHY_BAD_RATIO = 0.02
FAILING_BAD_RATIO = 0.3
BAD_CALL_STEP = math.log(FAILING_BAD_RATIO / HEALTHY_BAD_RATIO)
GOOD_CALL_STEP = math.log((1 - FAILING_BAD_RATIO) / (1 - HEALTHY_BAD_RATIO))
#: A single bad call raises the score above this; several good ones lower it again.
DOUBT_THRESHOLD = BAD_CALL_STEP / 2
AVERAGE_WEIGHT = 0.2
PERCENT = 100


@attrs.define
class CallStatistics:
    """A cumulative sum test (CUSUM) of the ratio of bad calls.

    The score is the log-likelihood ratio of a failing target against a healthy one.
    It never falls below 0, so that a long healthy period does not delay detection.

    :ivar score: current value of the cumulative sum.
    :ivar bad_ratio: moving average of the ratio of bad calls, 0 to 1.
    :ivar latency_us: moving average of the latency; 0 before the first call.
    """

    score: float = 0.0
    bad_ratio: float = 0.0
    latency_us: float = 0.0

    def add_result(self, bad: bool, weight: int = 1) -> None:
        """Add the result of one call.

        :param weight: number of calls that a bad call counts as in the score.
        """
        self.score = max(
            0.0, self.score + (BAD_CALL_STEP * weight if bad else GOOD_CALL_STEP)
        )
        self.bad_ratio += AVERAGE_WEIGHT * (float(bad) - self.bad_ratio)

    def raises_doubt(self) -> bool:
        """Return whether the bad calls are not yet outweighed by good ones.

        This is the case from the first bad call on, long before there is enough
        evidence to eject the target.
        """
        return self.score >= DOUBT_THRESHOLD

    def add_latency(self, latency_us: float) -> None:
        """Add the latency of one call."""
        if not self.latency_us:
            self.latency_us = latency_us
        self.latency_us += AVERAGE_WEIGHT * (latency_us - self.latency_us)

    def reaches_threshold(self, eject_after: int) -> bool:
        """Return whether the score reaches the ejection threshold.

        The threshold is half a step below the score of ``eject_after`` bad calls in
        a row.
        """
        return self.score >= BAD_CALL_STEP * (eject_after - 1) + BAD_CALL_STEP / 2

    def severity_percent(self) -> int:
        """Return the moving average of the ratio of bad calls, in percent."""
        return round(PERCENT * self.bad_ratio)

    def reset_after_trial(self, eject_after: int) -> None:
        """Reset the statistics so that one more bad call leads to ejection."""
        self.score = BAD_CALL_STEP * max(0, eject_after - 1)
        self.bad_ratio = 0.0
        self.latency_us = 0.0
