"""Merger.

Checks entries received from other daemons before they change the membership table.
"""

import time
from collections.abc import Callable

from laburnumscale.acceptance import accept_member
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.memberentries import (
    ALIVE,
    DEAD,
    SUSPECT,
    identity,
    without_endpoints,
)
from laburnumscale.members import EntryChange, Members
from laburnumscale.metrics import Metrics
from laburnumscale.rejectionlog import RejectionLog
from laburnumscale_schema import peer_pb2

__all__ = ["EntryMerger"]

RECENT_CONTACT_S = 2.0
REFUTATION_PROMPT_INTERVAL_S = 1.0


class EntryMerger:
    """Merges entries received from other daemons into the membership table.

    A daemon on the other side of a network partition may have declared live members
    dead. A DEAD state is therefore accepted only for members that this daemon does not
    consider alive; an alive member is first notified so that it can refute the claim.

    :param notify_member: sends a member the entry that declares it dead.
    """

    def __init__(
        self,
        members: Members,
        notify_member: Callable[[peer_pb2.Member], None],
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._notify_member = notify_member
        self._metrics = metrics
        self._rejections = RejectionLog("entry", "membership entry rejected", metrics)
        self._last_contact_at_s: dict[str, float] = {}
        self._prompted_at_s: dict[str, float] = {}

    def record_contact(self, daemon: str) -> None:
        """Record that a datagram arrived from a member itself."""
        self._last_contact_at_s[daemon] = time.monotonic()

    def merge_update(self, entry: peer_pb2.Member) -> EntryChange | None:
        """Merge an update from a datagram.

        If the update declares dead a member that is alive in this table, the member
        becomes a suspect, or stays alive if it sent a datagram recently.
        """
        entry = self._accept(entry)
        if entry is None:
            return None
        if self._contradicts_table(entry):
            self._prompt_refutation(entry)
            if self._had_recent_contact(entry.daemon):
                return None
            suspicion = without_endpoints(entry)
            suspicion.state = SUSPECT
            entry = suspicion
        return self._members.merge(entry)

    def merge_table_entry(self, entry: peer_pb2.Member) -> EntryChange | None:
        """Merge an entry from a table exchange.

        After a partition each side considers the members of the other side dead.
        They are notified first rather than all becoming suspects at once.
        """
        entry = self._accept(entry)
        if entry is None:
            return None
        if self._contradicts_table(entry):
            self._prompt_refutation(entry)
            return None
        return self._members.merge(entry)

    def _accept(self, entry: peer_pb2.Member) -> peer_pb2.Member | None:
        """Return the usable part of an entry, or None if there is none."""
        try:
            return accept_member(entry, self._rejections.record)
        except LaburnumscaleError as error:
            self._rejections.record("entry", error)
            return None

    def _contradicts_table(self, entry: peer_pb2.Member) -> bool:
        known = self._members.get(entry.daemon)
        return (
            known is not None
            and entry.state == DEAD
            and known.state == ALIVE
            and entry.daemon != self._members.own.daemon
            and identity(known) == identity(entry)
            and entry.version >= known.version
        )

    def _had_recent_contact(self, daemon: str) -> bool:
        last_contact_at_s = self._last_contact_at_s.get(daemon, 0.0)
        return time.monotonic() - last_contact_at_s < RECENT_CONTACT_S

    def _prompt_refutation(self, entry: peer_pb2.Member) -> None:
        now_s = time.monotonic()
        if (
            now_s - self._prompted_at_s.get(entry.daemon, 0.0)
            < REFUTATION_PROMPT_INTERVAL_S
        ):
            return
        self._metrics.count("deaths_doubted")
        self._prompted_at_s[entry.daemon] = now_s
        self._notify_member(entry)

    def remove_expired_timestamps(self) -> None:
        """Remove timestamps that no check uses any more."""
        now_s = time.monotonic()
        for timestamps in (self._last_contact_at_s, self._prompted_at_s):
            expired = [
                each
                for each, at_s in timestamps.items()
                if now_s - at_s > RECENT_CONTACT_S
            ]
            for daemon in expired:
                del timestamps[daemon]
