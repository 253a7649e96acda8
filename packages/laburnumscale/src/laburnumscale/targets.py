"""Targets.

The targets that have announced themselves to the daemon beside them.
"""

import asyncio
from collections.abc import Callable

import attrs

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2

__all__ = ["LocalTarget", "LocalTargets"]

LAPSE_CHECK_S = 0.2
DRAINING = peer_pb2.TARGET_STATE_DRAINING


@attrs.define(eq=False)
class LocalTarget:
    """One target of the daemon's own host.

    :ivar lease_deadline: when the announcement lapses.
    :ivar drained: an operator drains it; its own announcements do not undo that.
    :ivar running: calls that hold a slot.
    :ivar queued: calls that wait for a slot.
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
    slot_freed: asyncio.Condition = attrs.field(factory=asyncio.Condition)

    def message(self) -> peer_pb2.Endpoint:
        """Return the endpoint as other daemons see it."""
        return peer_pb2.Endpoint(
            service=self.service,
            endpoint=self.endpoint,
            slots=self.slots,
            state=self.state,
        )

    def load(self) -> peer_pb2.LoadReport:
        """Return the load that goes with every reply."""
        return peer_pb2.LoadReport(running=self.running, queued=self.queued)


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
            self._tell()
            return
        target.lease_deadline = announced.lease_deadline
        state = DRAINING if target.drained else announced.state
        if (target.state, target.slots) != (state, announced.slots):
            target.state = state
            target.slots = announced.slots
            self._tell()

    def drain(self, service: str, endpoint: str) -> bool:
        """Let a target finish its calls and get no new ones.

        :returns: whether the target is announced.
        """
        target = self.get(service, endpoint)
        if target is None:
            return False
        target.drained = True
        target.state = DRAINING
        self._tell()
        return True

    def withdraw(self, service: str, endpoint: str) -> bool:
        """Remove a target.

        :returns: whether the target was announced.
        """
        found = self._targets.pop((service, endpoint), None)
        if found is not None:
            self._tell()
        return found is not None

    async def watch_leases(self) -> None:
        """Remove targets whose announcements lapse, until cancelled."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            for target in list(self._targets.values()):
                if target.lease_deadline.is_over():
                    self.withdraw(target.service, target.endpoint)

    def _tell(self) -> None:
        self._changed([target.message() for target in self._targets.values()])
