"""Metrics.

Counters and latency histograms, and their Prometheus text form.
"""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics"]

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Metrics:
    """The counters and histograms of one process."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, labels: str = "", amount: int = 1) -> None:
        """Raise a counter.

        :param labels: ready Prometheus labels, such as ``service="slot-desk"``.
        """
        self.counters[name, labels] += amount

    def record_us(self, name: str, value_us: float, labels: str = "") -> None:
        """Record a latency in microseconds."""
        histogram = self.histograms.get((name, labels))
        if histogram is None:
            histogram = HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)
            self.histograms[name, labels] = histogram
        histogram.record_value(max(LOWEST_US, min(int(value_us), HIGHEST_US)))

    def render(self) -> str:
        """Return all values in the Prometheus text form."""
        lines = []
        for (name, labels), value in sorted(self.counters.items()):
            lines.append(f"laburnumscale_{name}_total{{{labels}}} {value}")
        for (name, labels), histogram in sorted(self.histograms.items()):
            lines.extend(self._quantiles(name, labels, histogram))
        return "\n".join(lines) + "\n"

    @staticmethod
    def _quantiles(name: str, labels: str, histogram: HdrHistogram) -> list[str]:
        separator = "," if labels else ""
        lines = [
            f'laburnumscale_{name}_us{{{labels}{separator}quantile="{percent / 100}"}}'
            f" {histogram.get_value_at_percentile(percent)}"
            for percent in PERCENTILES
        ]
        count = histogram.get_total_count()
        lines.append(f"laburnumscale_{name}_us_count{{{labels}}} {count}")
        return lines
