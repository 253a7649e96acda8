"""Metrics.

Counters, gauges and latency histograms, exported in the Prometheus text format.
"""

from collections import Counter

from hdrh.histogram import HdrHistogram

__all__ = ["Metrics", "escape_label"]

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
LABEL_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Metrics:
    """The counters and histograms of one process."""

    def __init__(self) -> None:
        self.counters: Counter[tuple[str, str]] = Counter()
        self.gauges: dict[tuple[str, str], int] = {}
        self.histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str, labels: str = "", amount: int = 1) -> None:
        """Increment a counter.

        :param labels: labels in Prometheus syntax, such as ``service="slot-desk"``.
        """
        self.counters[name, labels] += amount

    def set_value(self, name: str, value: int, labels: str = "") -> None:
        """Set the value of a gauge.

        :param labels: labels in Prometheus syntax.
        """
        self.gauges[name, labels] = value

    def record_us(self, name: str, value_us: float, labels: str = "") -> None:
        """Record a latency in a histogram.

        :param value_us: in microseconds, clamped to the range of the histogram.
        :param labels: labels in Prometheus syntax.
        """
        histogram = self.histograms.get((name, labels))
        if histogram is None:
            histogram = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
            self.histograms[name, labels] = histogram
        histogram.record_value(max(MIN_LATENCY_US, min(int(value_us), MAX_LATENCY_US)))

    def render(self) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self.counters.items()):
            lines.append(f"laburnumscale_{name}_total{{{labels}}} {value}")
        for (name, labels), value in sorted(self.gauges.items()):
            lines.append(f"laburnumscale_{name}{{{labels}}} {value}")
        for (name, labels), histogram in sorted(self.histograms.items()):
            lines.extend(self._render_histogram(name, labels, histogram))
        return "\n".join(lines) + "\n"

    @staticmethod
    def _render_histogram(name: str, labels: str, histogram: HdrHistogram) -> list[str]:
        separator = "," if labels else ""
        lines = [
            f'laburnumscale_{name}_us{{{labels}{separator}quantile="{percent / 100}"}}'
            f" {histogram.get_value_at_percentile(percent)}"
            for percent in PERCENTILES
        ]
        count = histogram.get_total_count()
        lines.append(f"laburnumscale_{name}_us_count{{{labels}}} {count}")
        return lines


def escape_label(value: str) -> str:
    """Return the value of a label in Prometheus syntax."""
    return value.translate(LABEL_ESCAPES)
