"""Targets.

The targets that have announced themselves to the daemon beside them.
"""

import asyncio
import time
from collections import OrderedDict

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import EndpointMoved
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.members import EndpointView, Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["LocalTargets"]

LAPSE_CHECK_S = 0.2
LAPSED_KEPT_MS = 10_000
HIGHEST_LEFT = 64  # a host has few targets at a time; late words are seconds late
LAPSED = peer_pb2.TARGET_STATE_LAPSED
DRAINING = peer_pb2.TARGET_STATE_DRAINING


class LocalTargets:
    """All targets of the daemon's own host.

    A target that does not renew its announcement is listed as lapsed for a while,
    then withdrawn. An endpoint that was announced later beside another daemon is
    given up here.
    """

    def __init__(self, daemon: str, members: Members, metrics: Metrics) -> None:
        self._daemon = daemon
        self._members = members
        self._metrics = metrics
        self._targets: dict[tuple[str, str], LocalTarget] = {}
        self._moved: dict[tuple[str, str], Address] = {}
        self._left: OrderedDict[str, int] = OrderedDict()
        self._contested: set[tuple[str, str]] = set()
        members.on_change(self._note_contested)

    def get(self, service: str, endpoint: str) -> LocalTarget | None:
        """Return a target, or None if it is not announced."""
        return self._targets.get((service, endpoint))

    def announce(self, announced: LocalTarget) -> None:
        """Add a target or renew its lease.

        :raises EndpointMoved: it was announced later beside another daemon.
        """
        if self._has_left(announced) or self._is_outlived(announced):
            self._metrics.count("announcements_late")
            return
        key = (announced.service, announced.endpoint)
        target = self._targets.get(key)
        if target is None or _is_another_process(target, announced):
            self._replace_namesakes(announced)
            self._add(announced)
            return
        if _is_late(target, announced):
            self._metrics.count("announcements_late")
            return
        target.sequence = announced.sequence
        target.lease_deadline = announced.lease_deadline
        leaves = target.drained or _leaves_for_good(target)
        state = DRAINING if leaves else announced.state
        if (target.state, target.slots) != (state, announced.slots):
            if target.state == LAPSED:
                self._metrics.count("targets_returned")
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
            found.withdrawn = True
            self.tell()
        return found is not None

    def withdraw_endpoint(self, endpoint: str) -> bool:
        """Remove a target that says that it leaves, without naming its service.

        It may serve and announce itself a little longer; that is passed over.

        :returns: whether the target was announced.
        """
        keys = [key for key in self._targets if key[1] == endpoint]
        started = [self._targets[key].started_at_unix_ms for key in keys]
        self._left[endpoint] = max(started, default=0)
        if len(self._left) > HIGHEST_LEFT:
            self._left.popitem(last=False)
        for key in keys:
            self.withdraw(*key)
        get_logger().info("target left", endpoint=endpoint, known=bool(keys))
        return bool(keys)

    def _has_left(self, announced: LocalTarget) -> bool:
        """Tell whether an announcement comes from a process that has left."""
        left_at = self._left.get(announced.endpoint)
        return left_at is not None and announced.started_at_unix_ms <= left_at

    async def watch_leases(self) -> None:
        """Mark targets that lapse and give up those that moved, until cancelled."""
        while True:
            await asyncio.sleep(LAPSE_CHECK_S)
            for target in list(self._targets.values()):
                self._check_lease(target)
            while self._contested:
                self._check_place(self._contested.pop())

    def _add(self, announced: LocalTarget) -> None:
        key = (announced.service, announced.endpoint)
        elsewhere = self._elsewhere(*key)
        if elsewhere is not None and self._moved.get(key) == announced.address:
            raise EndpointMoved(*key, elsewhere.daemon)
        self._moved.pop(key, None)
        announced.announced_us = time.time_ns() // 1000
        if elsewhere is not None:
            self._metrics.count("targets_taken_over")
            later_us = elsewhere.announced_us + 1
            announced.announced_us = max(announced.announced_us, later_us)
        replaced = self._targets.get(key)
        if replaced is not None:
            replaced.withdrawn = True
        self._targets[key] = announced
        self.tell()

    def _others_at_address(self, announced: LocalTarget) -> list[LocalTarget]:
        """Return the other targets that have announced this address."""
        key = (announced.service, announced.endpoint)
        return [
            target
            for other, target in self._targets.items()
            if other != key and target.address == announced.address
        ]

    def _is_outlived(self, announced: LocalTarget) -> bool:
        """Tell whether a process that started later has the address."""
        started = announced.started_at_unix_ms
        others = self._others_at_address(announced)
        return started > 0 and any(
            target.started_at_unix_ms > started for target in others
        )

    def _replace_namesakes(self, announced: LocalTarget) -> None:
        """Withdraw targets whose address the announced one has now."""
        for target in self._others_at_address(announced):
            get_logger().info(
                "address taken over",
                service=target.service,
                endpoint=target.endpoint,
                by=announced.endpoint,
            )
            self.withdraw(target.service, target.endpoint)

    def _elsewhere(self, service: str, endpoint: str) -> EndpointView | None:
        """Return an endpoint if another daemon has it."""
        view = self._members.endpoint(service, endpoint)
        return None if view is None or view.daemon == self._daemon else view

    def _check_lease(self, target: LocalTarget) -> None:
        if not target.lease_deadline.is_over():
            return
        if target.state == LAPSED:
            self._metrics.count("targets_gone")
            self.withdraw(target.service, target.endpoint)
            return
        self._metrics.count("targets_lapsed")
        target.state = LAPSED
        target.lease_deadline = Deadline.after_ms(LAPSED_KEPT_MS)
        self.tell()

    def _note_contested(self, news: peer_pb2.Member) -> None:
        if news.daemon == self._daemon:
            return
        for endpoint in news.endpoints:
            key = (endpoint.service, endpoint.endpoint)
            if key in self._targets:
                self._contested.add(key)

    def _check_place(self, key: tuple[str, str]) -> None:
        target = self._targets.get(key)
        elsewhere = self._elsewhere(*key)
        if elsewhere is None or target is None:
            return
        self._metrics.count("targets_moved")
        moved = EndpointMoved(*key, elsewhere.daemon)
        get_logger().warning("target moved", reason=str(moved))
        self._moved[key] = target.address
        self.withdraw(*key)

    def tell(self) -> None:
        """Hand on the endpoints after a change."""
        messages = [target.message() for target in self._targets.values()]
        self._members.set_endpoints(messages)


def _is_another_process(known: LocalTarget, announced: LocalTarget) -> bool:
    """Tell whether an announcement comes from a later process of the target."""
    if known.address != announced.address:
        return announced.started_at_unix_ms >= known.started_at_unix_ms
    return announced.started_at_unix_ms > known.started_at_unix_ms


def _is_late(known: LocalTarget, announced: LocalTarget) -> bool:
    """Tell whether a later announcement was heard before this one."""
    if announced.started_at_unix_ms != known.started_at_unix_ms:
        return announced.started_at_unix_ms < known.started_at_unix_ms
    return 0 < announced.sequence <= known.sequence


def _leaves_for_good(known: LocalTarget) -> bool:
    """Tell whether a target leaves, and its next process can be told from it.

    A process that leaves does not come back; only its next one does.
    """
    return known.state == DRAINING and known.started_at_unix_ms > 0
