"""Suspicions.

Declares suspected members dead unless they refute the suspicion in time.
"""

import math
import time

from laburnumscale.deadlines import Deadline
from laburnumscale.localhealth import LocalHealth
from laburnumscale.memberentries import DEAD, SUSPECT
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["SuspicionTimers", "suspicion_timeout_ms"]

SUSPICION_TIMEOUT_MS_PER_DECADE = 3_000
RECEIVE_TIMEOUT_S = 1.5
EXTENSION_MS = 500
MAX_EXTENSIONS = 12


def suspicion_timeout_ms(group_size: int) -> float:
    """Return the time in milliseconds that a member has to refute a suspicion.

    It grows with the base-10 logarithm of the group size.
    """
    return SUSPICION_TIMEOUT_MS_PER_DECADE * max(1.0, math.log10(max(1, group_size)))


class SuspicionTimers:
    """Tracks until when each suspected member can refute the suspicion."""

    def __init__(self, members: Members, health: LocalHealth, metrics: Metrics) -> None:
        self._members = members
        self._health = health
        self._metrics = metrics
        self._deadlines: dict[str, Deadline] = {}
        self._extensions = 0
        members.on_change(self._on_member_change)

    def extend_deadlines(self, pause_s: float) -> None:
        """Extend all deadlines by the time for which this daemon was paused.

        :param pause_s: length of the pause in seconds.
        """
        for daemon, deadline in self._deadlines.items():
            self._deadlines[daemon] = Deadline(deadline.at_s + pause_s)

    def declare_expired_dead(self) -> None:
        """Declare the members dead whose deadline has passed."""
        expired = [
            daemon
            for daemon, deadline in self._deadlines.items()
            if deadline.has_passed()
        ]
        if not expired or self._extend_without_contact(expired):
            return
        for daemon in expired:
            del self._deadlines[daemon]
            self._metrics.count("members_declared_dead")
            self._members.set_state(daemon, DEAD)

    def _extend_without_contact(self, expired: list[str]) -> bool:
        """Extend expired deadlines if this daemon receives no datagrams at all.

        In that case this daemon may itself be partitioned from the network.

        :returns: whether the deadlines were extended.
        """
        if time.monotonic() - self._health.last_datagram_at_s < RECEIVE_TIMEOUT_S:
            self._extensions = 0
            return False
        is_small_group = self._members.group_size <= 2
        if is_small_group or self._extensions >= MAX_EXTENSIONS:
            return False
        self._extensions += 1
        for daemon in expired:
            self._deadlines[daemon] = Deadline.after_ms(EXTENSION_MS)
        return True

    def _on_member_change(self, delta: peer_pb2.Member) -> None:
        if delta.state != SUSPECT:
            self._deadlines.pop(delta.daemon, None)
        elif delta.daemon not in self._deadlines:
            self._metrics.count("members_suspected")
            timeout_ms = suspicion_timeout_ms(self._members.group_size)
            self._deadlines[delta.daemon] = Deadline.after_ms(timeout_ms)
