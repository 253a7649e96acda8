"""Target registry.

Keeps the targets that have announced themselves to the daemon on their host.
"""

import asyncio
import time
from collections.abc import Callable

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.departures import Departure, Departures
from laburnumscale.errors import EndpointMoved, RequestInvalid
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.members import EndpointView, Members
from laburnumscale.metrics import Metrics
from laburnumscale.rejectionlog import RejectionLog
from laburnumscale_schema import peer_pb2

__all__ = ["TargetRegistry"]

LEASE_CHECK_INTERVAL_S = 0.2
LAPSED_RETENTION_MS = 10_000
#: Announcements may arrive seconds late. If a target announces nothing for longer, one
#: that looks outdated is from a process that lives.
MAX_ANNOUNCEMENT_DELAY_MS = 10_000
#: Bounds what announcements of other programs can add to the fleet's tables.
MAX_TARGETS = 1_000
#: What a field raises that does not fit its field of the schema.
UNPUBLISHABLE_ERRORS = (TypeError, ValueError)
LAPSED = peer_pb2.TARGET_STATE_LAPSED
DRAINING = peer_pb2.TARGET_STATE_DRAINING


class TargetRegistry:
    """All targets on the daemon's own host.

    A target that does not renew its announcement is listed as lapsed for a while,
    then withdrawn. A target is also withdrawn if its endpoint was announced to
    another daemon later.

    :param departures: the processes that leave or have left, also before this daemon
        started.
    """

    def __init__(
        self,
        daemon: str,
        members: Members,
        metrics: Metrics,
        departures: Departures | None = None,
    ) -> None:
        self._daemon = daemon
        self._members = members
        self._metrics = metrics
        self._rejections = RejectionLog("target", "target not published", metrics)
        self._targets: dict[tuple[str, str], LocalTarget] = {}
        self._moved: dict[tuple[str, str], Address] = {}
        self._departures = Departures(metrics) if departures is None else departures
        self._departures.on_change(self._apply_departure)
        self._possibly_moved: set[tuple[str, str]] = set()
        members.on_change(self._track_possible_moves)

    def get(self, service: str, endpoint: str) -> LocalTarget | None:
        """Return a target, or None if it is not announced."""
        return self._targets.get((service, endpoint))

    def announce(
        self, announced: LocalTarget, may_replace: bool = True
    ) -> Departure | None:
        """Add a target or renew its lease.

        :param may_replace: whether other targets at its address are withdrawn.
        :returns: its departure if it announces that it drains.
        :raises EndpointMoved: it was announced to another daemon later.
        :raises RequestInvalid: it cannot be published, or there are too many targets.
        """
        self._check_publishable(announced)
        if self._is_departed(announced) or self._is_superseded(announced):
            self._metrics.count("announcements_late")
            return None
        target = self._targets.get((announced.service, announced.endpoint))
        if target is None or _is_new_process(target, announced):
            if may_replace:
                self._withdraw_from_address(announced)
            if self._departures.is_draining(*_process(announced)):
                announced.state = DRAINING
            self._add(announced)
        elif _is_outdated(target, announced):
            self._metrics.count("announcements_late")
            self._apply_late_draining(target, announced)
        else:
            self._renew(target, announced)
        if announced.state != DRAINING or not _has_start(announced):
            return None
        return self._departures.acknowledge(*_process(announced), is_gone=False)

    def _renew(self, target: LocalTarget, announced: LocalTarget) -> None:
        target.sequence = announced.sequence
        target.lease_deadline = announced.lease_deadline
        target.late_deadline = Deadline.after_ms(MAX_ANNOUNCEMENT_DELAY_MS)
        draining = target.drained_by_operator or _is_leaving(target)
        state = DRAINING if draining else announced.state
        if (target.state, target.slots) != (state, announced.slots):
            if target.state == LAPSED:
                self._metrics.count("targets_returned")
            target.state = state
            target.slots = announced.slots
            self.publish_endpoints()

    def _apply_late_draining(self, target: LocalTarget, announced: LocalTarget) -> None:
        """Drain a target whose announcement that it drains arrives late.

        A process never stops draining, so the order of its announcements is no reason
        to ignore this one.
        """
        same_process = announced.started_at_unix_ms == target.started_at_unix_ms
        if same_process and announced.state == DRAINING and target.state != DRAINING:
            target.state = DRAINING
            self.publish_endpoints()

    def drain(self, service: str, endpoint: str) -> bool:
        """Drain a target: it finishes its calls and takes no new ones.

        :returns: whether the target is announced.
        """
        target = self.get(service, endpoint)
        if target is None:
            return False
        target.drained_by_operator = True
        target.state = DRAINING
        self.publish_endpoints()
        return True

    def record_leaving(self, target: LocalTarget) -> None:
        """Record that a target has said in a response that it leaves.

        It gets no further calls; its own announcements do not undo that.
        """
        if target.says_leaving:
            return
        target.says_leaving = True
        target.state = DRAINING
        get_logger().info(
            "target says that it leaves",
            service=target.service,
            endpoint=target.endpoint,
        )
        self.publish_endpoints()

    def evict_waiting(self, new_error: Callable[[], Exception]) -> None:
        """Evict all calls that wait for a slot of a target.

        :param new_error: returns the exception that one of them gets.
        """
        for target in self._targets.values():
            target.queue.evict_all(new_error)

    def withdraw(self, service: str, endpoint: str) -> bool:
        """Remove a target.

        :returns: whether the target was announced.
        """
        found = self._targets.pop((service, endpoint), None)
        if found is not None:
            found.withdrawn = True
            self.publish_endpoints()
        return found is not None

    def withdraw_endpoint(
        self, endpoint: str, started_at_unix_ms: int = 0
    ) -> Departure:
        """Remove a target that announces its departure without naming its service.

        The target may keep serving for a short time. Announcements that its process
        sends in that time are ignored, also after a restart of this daemon.

        :param started_at_unix_ms: start time of the process that leaves; 0 if it is
            unknown, and then that of the process that is announced.
        :returns: the departure.
        """
        known = [each for each in self._targets.values() if each.endpoint == endpoint]
        if not started_at_unix_ms:
            starts_ms = [each.started_at_unix_ms for each in known]
            started_at_unix_ms = max(starts_ms, default=0)
        get_logger().info(
            "target left",
            endpoint=endpoint,
            started_at_unix_ms=started_at_unix_ms,
            known=bool(known),
        )
        return self._departures.acknowledge(endpoint, started_at_unix_ms, is_gone=True)

    def _apply_departure(self, departure: Departure) -> None:
        """Withdraw or drain the targets that a new departure includes."""
        for target in list(self._targets.values()):
            if (
                target.endpoint != departure.endpoint
                or target.started_at_unix_ms > departure.started_at_unix_ms
            ):
                continue
            if departure.is_gone:
                self.withdraw(target.service, target.endpoint)
            elif departure.started_at_unix_ms and target.state != DRAINING:
                target.state = DRAINING
                self.publish_endpoints()

    def _is_departed(self, announced: LocalTarget) -> bool:
        """Return whether an announcement comes from a process that has left.

        If the start time of the process that left is unknown, a later process is
        recognized by its first announcement.
        """
        if self._departures.is_gone(*_process(announced)):
            return True
        if announced.sequence <= 1 or not self._departures.is_gone(
            announced.endpoint, 0
        ):
            return False
        if self._departures.has_start_time(announced.endpoint):
            return False
        self._departures.acknowledge(*_process(announced), is_gone=True)
        return True

    async def watch_leases(self) -> None:
        """Mark lapsed targets and withdraw moved ones, until cancelled."""
        while True:
            await asyncio.sleep(LEASE_CHECK_INTERVAL_S)
            for target in list(self._targets.values()):
                self._check_lease(target)
            while self._possibly_moved:
                self._check_moved(self._possibly_moved.pop())

    def _check_publishable(self, announced: LocalTarget) -> None:
        where = f'target "{announced.endpoint}"'
        key = (announced.service, announced.endpoint)
        if key not in self._targets and len(self._targets) >= MAX_TARGETS:
            raise RequestInvalid(where, f"there are {MAX_TARGETS} targets already")
        try:
            announced.message()
        except UNPUBLISHABLE_ERRORS as error:
            raise _unpublishable(announced, error) from error

    def _add(self, announced: LocalTarget) -> None:
        key = (announced.service, announced.endpoint)
        other_view = self._find_at_other_daemon(*key)
        if other_view is not None and self._moved.get(key) == announced.address:
            raise EndpointMoved(*key, other_view.daemon)
        self._moved.pop(key, None)
        announced.announced_us = time.time_ns() // 1000
        if other_view is not None:
            self._metrics.count("targets_taken_over")
            later_us = other_view.announced_us + 1
            announced.announced_us = max(announced.announced_us, later_us)
        replaced = self._targets.get(key)
        if replaced is not None:
            replaced.withdrawn = True
        announced.late_deadline = Deadline.after_ms(MAX_ANNOUNCEMENT_DELAY_MS)
        self._targets[key] = announced
        self.publish_endpoints()

    def _others_at_address(self, announced: LocalTarget) -> list[LocalTarget]:
        """Return the other targets with the address of an announced one."""
        key = (announced.service, announced.endpoint)
        return [
            target
            for other_key, target in self._targets.items()
            if other_key != key and target.address == announced.address
        ]

    def _is_superseded(self, announced: LocalTarget) -> bool:
        """Return whether a process that started later uses the same address.

        It must have announced itself recently: an odd announcement may name any start
        time, and clocks may be set back.
        """
        start_time_ms = announced.started_at_unix_ms
        return any(
            target.started_at_unix_ms > start_time_ms
            and not target.late_deadline.has_passed()
            for target in self._others_at_address(announced)
        )

    def _withdraw_from_address(self, announced: LocalTarget) -> None:
        """Withdraw the other targets at the address of the announced one."""
        for target in self._others_at_address(announced):
            get_logger().info(
                "target withdrawn: another target announced its address",
                service=target.service,
                endpoint=target.endpoint,
                by=announced.endpoint,
            )
            self.withdraw(target.service, target.endpoint)

    def _find_at_other_daemon(self, service: str, endpoint: str) -> EndpointView | None:
        """Return an endpoint if its latest announcement went to another daemon."""
        view = self._members.endpoint(service, endpoint)
        return None if view is None or view.daemon == self._daemon else view

    def _check_lease(self, target: LocalTarget) -> None:
        if not target.lease_deadline.has_passed():
            return
        if target.state == LAPSED:
            self._metrics.count("targets_gone")
            self.withdraw(target.service, target.endpoint)
            return
        self._metrics.count("targets_lapsed")
        target.state = LAPSED
        target.lease_deadline = Deadline.after_ms(LAPSED_RETENTION_MS)
        self.publish_endpoints()

    def _track_possible_moves(self, member: peer_pb2.Member) -> None:
        if member.daemon == self._daemon:
            return
        for endpoint in member.endpoints:
            key = (endpoint.service, endpoint.endpoint)
            if key in self._targets:
                self._possibly_moved.add(key)

    def _check_moved(self, key: tuple[str, str]) -> None:
        target = self._targets.get(key)
        other_view = self._find_at_other_daemon(*key)
        if other_view is None or target is None:
            return
        self._metrics.count("targets_moved")
        moved = EndpointMoved(*key, other_view.daemon)
        get_logger().warning("target moved to another daemon", reason=str(moved))
        self._moved[key] = target.address
        self.withdraw(*key)

    def publish_endpoints(self) -> None:
        """Publish the current endpoints to the fleet."""
        messages = []
        for key, target in list(self._targets.items()):
            try:
                messages.append(target.message())
            except UNPUBLISHABLE_ERRORS as error:
                # One target must not keep the others from being published.
                del self._targets[key]
                target.withdrawn = True
                self._rejections.record(target.endpoint, _unpublishable(target, error))
        self._members.set_endpoints(messages)


def _unpublishable(target: LocalTarget, error: Exception) -> RequestInvalid:
    return RequestInvalid(f'target "{target.endpoint}"', repr(error))


def _has_start(target: LocalTarget) -> bool:
    """Return whether a process can be told from a later one of its endpoint."""
    return target.started_at_unix_ms > 0


def _process(target: LocalTarget) -> tuple[str, int]:
    """Return the endpoint and the start time, which identify a process."""
    return target.endpoint, target.started_at_unix_ms


def _is_new_process(known: LocalTarget, announced: LocalTarget) -> bool:
    """Return whether an announcement comes from a later process of the target."""
    if known.started_at_unix_ms != announced.started_at_unix_ms and _is_silent(known):
        return True
    if known.address != announced.address:
        return announced.started_at_unix_ms >= known.started_at_unix_ms
    return announced.started_at_unix_ms > known.started_at_unix_ms


def _is_silent(known: LocalTarget) -> bool:
    """Return whether a target has announced nothing for longer than others are late."""
    return known.state != DRAINING and known.late_deadline.has_passed()


def _is_outdated(known: LocalTarget, announced: LocalTarget) -> bool:
    """Return whether a later announcement has been received already."""
    if _is_silent(known):
        return False
    if announced.started_at_unix_ms != known.started_at_unix_ms:
        return announced.started_at_unix_ms < known.started_at_unix_ms
    return 0 < announced.sequence <= known.sequence


def _is_leaving(known: LocalTarget) -> bool:
    """Return whether a target is draining and must not become ready again.

    A process that drains never becomes ready again; only its successor does. The two
    can be told apart only if the target announces its start time.
    """
    return known.says_leaving or (
        known.state == DRAINING and known.started_at_unix_ms > 0
    )
