"""Local target.

One target of the daemon's own host, as its guard knows it.
"""

import itertools
import time

import attrs

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.slotqueue import SlotQueue
from laburnumscale_schema import peer_pb2

__all__ = ["LocalTarget"]

SLOW_START_STEP_S = 0.2  # half a call of the workloads at hand for each slot
COLD_S = 3.0
HELD_WEIGHT = 0.1

#: Numbers the verdicts of this process.
VERDICT_VERSIONS = itertools.count(1)


@attrs.define(eq=False)
class LocalTarget:
    """One target of the daemon's own host.

    :ivar lease_deadline: when the announcement lapses.
    :ivar announced_us: when it announced itself here, later than at any other daemon.
    :ivar started_at_unix_ms: start of its process; 0 if it does not say.
    :ivar sequence: number of its latest announcement; 0 if it does not say.
    :ivar drained: an operator drains it; its own announcements do not undo that.
    :ivar withdrawn: it is gone, or announced again at another address.
    :ivar running: calls that hold a slot.
    :ivar queue: calls that wait for a slot.
    :ivar latency_us: average latency of its calls; 0 before the first one.
    :ivar held_us: average time for which a call holds a slot.
    :ivar verdict_version: grows with each verdict of the guard.
    :ivar on_trial: it returns from an ejection and takes one call at a time.
    :ivar slow_start_at_s: monotonic time at which it started or came back.
    """

    service: str
    endpoint: str
    address: Address
    slots: int
    state: int
    lease_deadline: Deadline
    announced_us: int = 0
    started_at_unix_ms: int = 0
    sequence: int = 0
    drained: bool = False
    withdrawn: bool = False
    running: int = 0
    latency_us: int = 0
    held_us: float = 0.0
    ejected: bool = False
    severity_percent: int = 0
    verdict_version: int = attrs.field(factory=VERDICT_VERSIONS.__next__)
    on_trial: bool = False
    slow_start_at_s: float = attrs.field(factory=time.monotonic)
    queue: SlotQueue = attrs.field(factory=SlotQueue)

    def message(self) -> peer_pb2.Endpoint:
        """Return the endpoint as other daemons see it."""
        return peer_pb2.Endpoint(
            service=self.service,
            endpoint=self.endpoint,
            slots=self.slots,
            state=self.state,
            announced_us=self.announced_us,
            ejected=self.ejected,
            verdict_version=self.verdict_version,
            severity_percent=self.severity_percent,
            on_trial=self.on_trial,
        )

    def load(self) -> peer_pb2.LoadReport:
        """Return the load that goes with every reply."""
        return peer_pb2.LoadReport(
            running=self.running,
            queued=len(self.queue),
            ejected=self.ejected,
            latency_us=self.latency_us,
            verdict_version=self.verdict_version,
            severity_percent=self.severity_percent,
            on_trial=self.on_trial,
            open_slots=self.open_slots(),
        )

    def open_slots(self) -> int:
        """Return the slots that are open in the slow start, all of them after it."""
        elapsed_s = time.monotonic() - self.slow_start_at_s
        return min(self.slots, 1 + int(elapsed_s / SLOW_START_STEP_S))

    def is_cold(self) -> bool:
        """Tell whether the target started a short time ago."""
        return time.monotonic() - self.slow_start_at_s < COLD_S

    def note_held(self, held_us: float) -> None:
        """Note for how long a call held its slot."""
        if not self.held_us:
            self.held_us = held_us
        self.held_us += HELD_WEIGHT * (held_us - self.held_us)

    def set_verdict(
        self,
        ejected: bool = False,
        severity_percent: int = 0,
        on_trial: bool = False,
        slow_start: bool = False,
    ) -> None:
        """Replace the verdict of the guard."""
        self.ejected = ejected
        self.severity_percent = severity_percent
        self.on_trial = on_trial
        self.verdict_version = next(VERDICT_VERSIONS)
        if slow_start or on_trial:
            self.slow_start_at_s = time.monotonic()
