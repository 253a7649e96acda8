"""Targets.

The targets that have announced themselves to the daemon beside them.
"""

import asyncio
import itertools
import time
from collections.abc import Callable

import attrs

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2

__all__ = ["LocalTarget", "LocalTargets"]

LAPSE_CHECK_S = 0.2
SLOW_START_STEP_S = 0.5
COLD_S = 3.0
HELD_WEIGHT = 0.1
DRAINING = peer_pb2.TARGET_STATE_DRAINING

#: Numbers the verdicts of this process.
VERDICT_VERSIONS = itertools.count(1)


@attrs.define(eq=False)
class LocalTarget:
    """One target of the daemon's own host.

    :ivar lease_deadline: when the announcement lapses.
    :ivar drained: an operator drains it; its own announcements do not undo that.
    :ivar running: calls that hold a slot.
    :ivar queued: calls that wait for a slot.
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
    drained: bool = False
    running: int = 0
    queued: int = 0
    latency_us: int = 0
    held_us: float = 0.0
    ejected: bool = False
    severity_percent: int = 0
    verdict_version: int = attrs.field(factory=VERDICT_VERSIONS.__next__)
    on_trial: bool = False
    slow_start_at_s: float = attrs.field(factory=time.monotonic)
    slot_freed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    def message(self) -> peer_pb2.Endpoint:
        """Return the endpoint as other daemons see it."""
        return peer_pb2.Endpoint(
            service=self.service,
            endpoint=self.endpoint,
            slots=self.slots,
            state=self.state,
            ejected=self.ejected,
            verdict_version=self.verdict_version,
            severity_percent=self.severity_percent,
            on_trial=self.on_trial,
        )

    def load(self) -> peer_pb2.LoadReport:
        """Return the load that goes with every reply."""
        return peer_pb2.LoadReport(
            running=self.running,
            queued=self.queued,
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


class LocalTargets:
    """All targets of the daemon's own host.

    :param changed: called with the endpoints after each visible change.
    """

    def __init__(self, changed: Callable[[list[peer_pb2.Endpoint]], None]) -> None:
        self._targets: dict[tuple[str, str], LocalTarget] = {}
        self._changed = changed

    def get(self, service: str, endpoint: str) -> LocalTarget | None:
        """Return a target, or None if it is not announced."""
        return self._targets.get((service, endpoint))

    def announce(self, announced: LocalTarget) -> None:
        """Add a target or renew its lease."""
        key = (announced.service, announced.endpoint)
        target = self._targets.get(key)
        if target is None or target.address != announced.address:
            self._targets[key] = announced
            self.tell()
            return
        target.lease_deadline = announced.lease_deadline
        state = DRAINING if target.drained else announced.state
        if (target.state, target.slots) != (state, announced.slots):
            target.state = state
            target.slots = announced.slots
            self.tell()

    def drain(self, service: str, endpoint: str) -> bool:
        """Let a target finish its calls and get no new ones.

        :returns: whether the target is announced.
        """
        target = self.get(service, endpoint)
        if target is None:
            return False
        target.drained = True
        target.state = DRAINING
        self.tell()
        return True

    def withdraw(self, service: str, endpoint: str) -> bool:
        """Remove a target.

        :returns: whether the target was announced.
        """
        found = self._targets.pop((service, endpoint), None)
        if found is not None:
            self.tell()
        return found is not None

    async def watch_leases(self) -> None:
        """Remove targets whose announcements lapse, until cancelled."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            for target in list(self._targets.values()):
                if target.lease_deadline.is_over():
                    self.withdraw(target.service, target.endpoint)

    def tell(self) -> None:
        """Hand on the endpoints after a change."""
        self._changed([target.message() for target in self._targets.values()])
