"""Revision lag.

Tracks the newest settings revision that peers report and for how long this daemon has
not held it.
"""

from collections import OrderedDict

import attrs

from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics

__all__ = ["RevisionLag"]

US_PER_MS = 1000
#: A daemon that can fetch settings holds a reported revision within some 50 ms.
LATE_AFTER_MS = 500
LOG_INTERVAL_MS = 1000
MAX_REPORTERS = 16
#: Peers repeat their revision with each datagram, at least once a second. A revision
#: that nobody repeats is held by no reachable peer, or does not exist.
REPORT_LIFETIME_MS = 10_000


@attrs.define
class RevisionLag:
    """The revisions that peers report while this daemon holds an older one.

    :ivar newest_revision: highest reported revision that is not held yet.
    :ivar behind_since_s: time since boot of the first report of a revision that this
        daemon does not hold yet; None if it holds all reported ones.
    :ivar reporters: addresses of the peers that have reported newer revisions, as
        keys; the latest report is the last.
    """

    _metrics: Metrics
    newest_revision: int = 0
    behind_since_s: float | None = None
    reporters: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _reports_expire: Deadline = Deadline(0.0)
    _next_log: Deadline = Deadline(0.0)

    @property
    def is_behind(self) -> bool:
        """Return whether a peer has reported a revision that is not held yet."""
        return self.behind_since_s is not None and not self._reports_expire.has_passed()

    @property
    def wanted_revision(self) -> int:
        """Return the highest reported revision that is not held yet; 0 if none."""
        return self.newest_revision if self.is_behind else 0

    def behind_ms(self) -> float:
        """Return the time since the first report that is not held yet; 0 if none."""
        if not self.is_behind:
            return 0.0
        return (now_s() - self.behind_since_s) * MS_PER_S

    def record_report(self, revision: int, address: str, held_revision: int) -> None:
        """Record the revision that a peer reports.

        :param held_revision: revision that this daemon holds.
        """
        if revision <= held_revision or not address:
            return
        if not self.is_behind:
            self._forget_reports()
            self.behind_since_s = now_s()
        if revision >= self.newest_revision:
            self.newest_revision = revision
            self._reports_expire = Deadline.after_ms(REPORT_LIFETIME_MS)
        self.reporters[address] = None
        self.reporters.move_to_end(address)
        if len(self.reporters) > MAX_REPORTERS:
            self.reporters.popitem(last=False)
        self._log_if_late(revision, address, held_revision)

    def record_held(self, revision: int) -> None:
        """Record the revision that this daemon holds now."""
        if self.behind_since_s is None or revision < self.newest_revision:
            return
        lag_ms = self.behind_ms()
        self._metrics.record_us("settings_lag", lag_ms * US_PER_MS)
        if lag_ms >= LATE_AFTER_MS:
            get_logger().info(
                "settings caught up", revision=revision, behind_ms=round(lag_ms)
            )
        self._forget_reports()

    def _forget_reports(self) -> None:
        self.newest_revision = 0
        self.behind_since_s = None
        self.reporters.clear()

    def _log_if_late(self, revision: int, address: str, held_revision: int) -> None:
        behind_ms = self.behind_ms()
        if behind_ms < LATE_AFTER_MS or not self._next_log.has_passed():
            return
        self._next_log = Deadline.after_ms(LOG_INTERVAL_MS)
        get_logger().warning(
            "settings behind",
            held_revision=held_revision,
            reported_revision=revision,
            peer_address=address,
            behind_ms=round(behind_ms),
        )
