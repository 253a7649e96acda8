"""Claims.

Weighs what other daemons say about a member against what this one has seen.
"""

import time
from collections.abc import Callable

from laburnumscale.memberentries import (
    ALIVE,
    DEAD,
    SUSPECT,
    identity,
    without_endpoints,
)
from laburnumscale.members import EntryChange, Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["Claims"]

RECENT_S = 2.0
CHALLENGE_INTERVAL_S = 1.0


class Claims:
    """Takes entries of other daemons into the table.

    A daemon behind a cut may hold members to be dead that are alive. So a death is
    taken over only for a member that is suspected here too; the others get the
    chance to object.

    :param challenge: tells a member directly of a claim that it is dead.
    """

    def __init__(
        self,
        members: Members,
        challenge: Callable[[peer_pb2.Member], None],
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._challenge = challenge
        self._metrics = metrics
        self._heard_at_s: dict[str, float] = {}
        self._challenged_at_s: dict[str, float] = {}

    def heard_from(self, daemon: str) -> None:
        """Note a datagram that came from a member itself."""
        self._heard_at_s[daemon] = time.monotonic()

    def hear(self, claim: peer_pb2.Member) -> EntryChange | None:
        """Take an update of a datagram."""
        if self._is_doubted(claim):
            self._object(claim)
            if self._is_recent(claim.daemon):
                return None
            doubted = without_endpoints(claim)
            doubted.state = SUSPECT
            claim = doubted
        return self._members.merge(claim)

    def hear_from_table(self, claim: peer_pb2.Member) -> EntryChange | None:
        """Take an entry of another daemon's whole table.

        After a partition both sides hold each other's members to be dead; they
        are asked first, and not suspected all at once.
        """
        if self._is_doubted(claim):
            self._object(claim)
            return None
        return self._members.merge(claim)

    def _is_doubted(self, claim: peer_pb2.Member) -> bool:
        known = self._members.get(claim.daemon)
        return (
            known is not None
            and claim.state == DEAD
            and known.state == ALIVE
            and claim.daemon != self._members.own.daemon
            and identity(known) == identity(claim)
            and claim.version >= known.version
        )

    def _is_recent(self, daemon: str) -> bool:
        heard_at_s = self._heard_at_s.get(daemon, 0.0)
        return time.monotonic() - heard_at_s < RECENT_S

    def _object(self, claim: peer_pb2.Member) -> None:
        now_s = time.monotonic()
        if now_s - self._challenged_at_s.get(claim.daemon, 0.0) < CHALLENGE_INTERVAL_S:
            return
        self._metrics.count("deaths_doubted")
        self._challenged_at_s[claim.daemon] = now_s
        self._challenge(claim)

    def forget_old(self) -> None:
        """Drop the times that no longer matter."""
        now_s = time.monotonic()
        for times in (self._heard_at_s, self._challenged_at_s):
            old = [each for each, at_s in times.items() if now_s - at_s > RECENT_S]
            for daemon in old:
                del times[daemon]
