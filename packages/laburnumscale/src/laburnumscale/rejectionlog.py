"""Rejection log.

Logs what other programs sent and this daemon did not accept, in bounded number.
"""

from laburnumscale.deadlines import Deadline
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics

__all__ = ["RejectionLog"]

RENEWAL_MS = 60_000
MAX_SOURCES = 64
MAX_REASON_CHARS = 300


class RejectionLog:
    """Counts rejections, and logs the first one of each source in a minute.

    :param kind: kind of the messages, for the counter.
    :param event: event of the log lines.
    """

    def __init__(self, kind: str, event: str, metrics: Metrics) -> None:
        self._kind = kind
        self._event = event
        self._metrics = metrics
        self._renewal = Deadline.after_ms(RENEWAL_MS)
        self._sources: set[str] = set()

    def record(self, source: str, error: LaburnumscaleError) -> None:
        """Count a rejection, and log it unless its source was logged recently."""
        self._metrics.count("messages_rejected", f'kind="{self._kind}"')
        if self._renewal.has_passed():
            self._renewal = Deadline.after_ms(RENEWAL_MS)
            self._sources.clear()
        if source in self._sources or len(self._sources) >= MAX_SOURCES:
            return
        self._sources.add(source)
        reason = str(error)[:MAX_REASON_CHARS]
        get_logger().warning(self._event, source=source, reason=reason)
