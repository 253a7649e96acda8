"""Suspicions.

Suspected members, and when each of them is held to be dead unless it objects.
"""

import math
import time

from laburnumscale.deadlines import Deadline
from laburnumscale.localhealth import LocalHealth
from laburnumscale.memberentries import DEAD, SUSPECT
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["Suspicions", "suspicion_ms"]

SUSPICION_MS_PER_DECADE = 3_000
SILENCE_S = 1.5
SILENCE_EXTENSION_MS = 500
HIGHEST_EXTENSIONS = 12


def suspicion_ms(group_size: int) -> float:
    """Return how long a member of a group may object to a suspicion."""
    return SUSPICION_MS_PER_DECADE * max(1.0, math.log10(max(1, group_size)))


class Suspicions:
    """The suspected members of one daemon's table."""

    def __init__(self, members: Members, health: LocalHealth, metrics: Metrics) -> None:
        self._members = members
        self._health = health
        self._metrics = metrics
        self._deadlines: dict[str, Deadline] = {}
        self._extensions = 0
        members.on_change(self._changed)

    def postpone(self, late_s: float) -> None:
        """Give all suspected members the time that this daemon was paused."""
        for daemon, deadline in self._deadlines.items():
            self._deadlines[daemon] = Deadline(deadline.at_s + late_s)

    def expire(self) -> None:
        """Declare members dead whose time to object has passed."""
        over = [daemon for daemon, each in self._deadlines.items() if each.has_passed()]
        if not over or self._extend_in_silence(over):
            return
        for daemon in over:
            del self._deadlines[daemon]
            self._metrics.count("members_declared_dead")
            self._members.set_state(daemon, DEAD)

    def _extend_in_silence(self, over: list[str]) -> bool:
        """Wait longer if this daemon hears nobody, and may itself be cut off."""
        if time.monotonic() - self._health.heard_at_s < SILENCE_S:
            self._extensions = 0
            return False
        alone = self._members.group_size <= 2
        if alone or self._extensions >= HIGHEST_EXTENSIONS:
            return False
        self._extensions += 1
        for daemon in over:
            self._deadlines[daemon] = Deadline.after_ms(SILENCE_EXTENSION_MS)
        return True

    def _changed(self, news: peer_pb2.Member) -> None:
        if news.state != SUSPECT:
            self._deadlines.pop(news.daemon, None)
        elif news.daemon not in self._deadlines:
            self._metrics.count("members_suspected")
            limit_ms = suspicion_ms(self._members.group_size)
            self._deadlines[news.daemon] = Deadline.after_ms(limit_ms)
