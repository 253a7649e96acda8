"""Health.

Judges the targets beside this daemon by the calls that they ran.
"""

from laburnumscale.metrics import Metrics
from laburnumscale.targets import LocalTarget

__all__ = ["TargetHealth"]


class TargetHealth:
    """The verdicts of one guard on its targets."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def observe(self, target: LocalTarget, failed: bool, latency_us: int) -> None:
        """Take the result of one attempt into account.

        :param failed: it timed out, broke off, or answered with a server error.
        """
        labels = f'service="{target.service}",failed="{str(failed).lower()}"'
        self._metrics.count("attempts", labels)
