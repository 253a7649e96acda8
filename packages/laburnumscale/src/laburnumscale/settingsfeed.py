"""Settings feed.

Holds the settings tree of this daemon and updates it from the log and from peers.
"""

import asyncio
import contextlib
import random
from collections import deque
from collections.abc import Callable, Iterator
from itertools import islice

from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import FieldAdjusted, LaburnumscaleError, RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.revisionlag import RevisionLag
from laburnumscale.settingschecks import check_snapshot, parse_record
from laburnumscale.settingsconfirmation import (
    DEFAULT_APPLY_LIMIT_MS,
    SettingsConfirmation,
)
from laburnumscale.settingscontacts import SettingsContact, SettingsContacts
from laburnumscale.settingsproblems import SettingsProblems
from laburnumscale.settingstree import SettingsTree
from laburnumscale_schema import peer_pb2, settings_pb2

__all__ = [
    "BEHIND_RETRY_AFTER_MS",
    "CATCH_UP_WAIT_MS",
    "SETTINGS_STREAM",
    "SettingsFeed",
]

SETTINGS_STREAM = "settings"
MAX_RECENT_RECORDS = 256
MAX_REPORTED_SHARED_KEYS = 20
MAX_RECENT_BYTES = 1024 * 1024
DEFAULT_ISOLATION_MS = 60_000
#: Time for which a daemon tries to get reported settings from its peers before it reads
#: the log. Each daemon multiplies it by a factor of its own, so that a slow spread does
#: not make all of them read at once.
LOG_READ_DELAY_MS = 500
#: A daemon that is behind needs some 50 ms to fetch the settings, or 250 ms if the
#: first peer does not reply.
CATCH_UP_WAIT_MS = 500
BEHIND_RETRY_AFTER_MS = 500
#: Share of the apply limit for which a reader that has replied counts as reachable.
ANSWERED_SHARE = 0.5


class SettingsFeed:
    """The settings tree of one daemon; its revision never decreases.

    :ivar tree: the tree, empty until settings have arrived.
    :ivar has_tree: whether the tree may be used, because it has been complete once.
    :ivar log_failed: whether the last request to the log failed or its response was
        unusable.
    :ivar problems: why the newest settings are not in force as written.
    :ivar contacts: when this daemon last heard of settings.
    :ivar snapshot_revision: revision of the newest known snapshot in the log.
    :ivar newer_peer_found: set when a peer reports a newer revision.
    :ivar lag: the newer revisions that peers have reported.
    :ivar confirmation: when the tree was last known to be the newest.

    :param isolation_ms: time without contact after which the settings are stale.
    :param apply_limit_ms: time after which a change must be in force.
    """

    def __init__(
        self,
        metrics: Metrics,
        isolation_ms: int = DEFAULT_ISOLATION_MS,
        apply_limit_ms: int = DEFAULT_APPLY_LIMIT_MS,
    ) -> None:
        self.tree = SettingsTree()
        self.has_tree = False
        self.log_failed = False
        self.problems = SettingsProblems()
        self.contacts = SettingsContacts()
        self.snapshot_revision = 0
        self.newer_peer_found = asyncio.Event()
        self.lag = RevisionLag(metrics)
        self.confirmation = SettingsConfirmation(apply_limit_ms)
        self._log_read_delay_ms = LOG_READ_DELAY_MS * random.uniform(1.0, 2.0)
        self._stale_after_s = isolation_ms / MS_PER_S
        self._metrics = metrics
        self._recent_records: deque[peer_pb2.LogRecord] = deque()
        self._recent_bytes = 0
        self._tree_changed = asyncio.Event()

    def contact_age_s(self) -> float:
        """Return the seconds since the last contact with the log or a peer."""
        return self.contacts.age_s()

    def is_stale(self) -> bool:
        """Return whether the last contact is too old to rely on the settings."""
        return self.contact_age_s() > self._stale_after_s

    def is_fed_by_peers(self) -> bool:
        """Return whether peers keep the tree up to date, so the log need not be read.

        As long as the confirmation is valid, a reader that replies without a younger
        one is left to read the log itself.
        """
        if not self.has_tree or self.is_late() or not self.confirmation.is_valid():
            return False
        return self._is_answered() or not self.confirmation.must_read_directly()

    def _is_answered(self) -> bool:
        """Return whether a reader has replied recently, whatever it confirmed."""
        limit_s = self.confirmation.apply_limit_ms / MS_PER_S
        return self.contacts.confirmation_age_s() <= ANSWERED_SHARE * limit_s

    def is_current(self, wanted_revision: int) -> bool:
        """Return whether the tree is the newest as far as this daemon has to know.

        :param wanted_revision: newest revision that peers have reported; 0 for none.
        """
        return self.tree.revision >= wanted_revision and self.confirmation.is_valid()

    def may_become_current(self) -> bool:
        """Return whether it is worth waiting until the tree is the newest.

        It is not while the log does not respond, to this daemon or to the readers.
        """
        if self.lag.is_behind:
            return True
        return not (self.log_failed or self._is_answered())

    def confirm_at(self, at_s: float) -> None:
        """Record that the tree was the newest at a point in time since boot."""
        self._renew_confirmation(lambda: self.confirmation.record(at_s))

    def offer_confirmation(self, revision: int, at_s: float) -> None:
        """Record that a revision was the newest at a point in time since boot."""
        held = self.tree.revision
        self._renew_confirmation(lambda: self.confirmation.offer(revision, at_s, held))

    def record_held_by_peer(
        self, held: peer_pb2.SettingsHeld, requested_at_s: float
    ) -> None:
        """Record what a reply of a peer says about the newest revision.

        :param requested_at_s: time since boot at which the request was sent.
        """
        if held.HasField("confirmed_age_ms"):
            age_s = held.confirmed_age_ms / MS_PER_S
            self.offer_confirmation(held.revision, requested_at_s - age_s)

    def _renew_confirmation(self, renew: Callable[[], None]) -> None:
        was_valid = self.confirmation.is_valid()
        renew()
        if not was_valid and self.confirmation.is_valid():
            self.notify_waiters()

    def is_late(self) -> bool:
        """Return whether peers should have delivered the settings that they report."""
        return self.lag.behind_ms() > self._log_read_delay_ms

    def mark_tree_complete(self) -> None:
        """Record that the tree is complete and may be used."""
        if not self.has_tree:
            self.has_tree = True
            get_logger().info("settings in force", revision=self.tree.revision)
            self.notify_waiters()

    def record_datagram_revision(self, revision: int, address: str) -> None:
        """Record the revision that a datagram of a peer reports."""
        self.contacts.record(SettingsContact.DATAGRAM)
        self.record_peer_revision(revision, address)

    def describe_age(self) -> dict[str, object]:
        """Return the revisions held and reported and the contacts, for log lines."""
        return {
            "revision": self.tree.revision,
            "wanted_revision": self.lag.wanted_revision,
            "behind_ms": round(self.lag.behind_ms()),
            "confirmed_age_ms": self.confirmation.rounded_age_ms(),
            "contact_ages_ms": self.contacts.ages_ms(),
        }

    def record_peer_revision(self, revision: int, address: str) -> None:
        """Record the revision that a peer reports."""
        self.lag.record_report(revision, address, self.tree.revision)
        if revision > self.tree.revision and address:
            self.newer_peer_found.set()

    def notify_waiters(self) -> None:
        """Wake the tasks that wait for a change of the tree.

        This takes no lock, because the handler of a peer's request may be cancelled
        at any await.
        """
        self.lag.record_held(self.tree.revision)
        self.confirmation.apply_offer(self.tree.revision)
        changed, self._tree_changed = self._tree_changed, asyncio.Event()
        changed.set()

    async def wait_for_newer_revision(self, revision: int) -> None:
        """Wait until the revision of the tree is higher than ``revision``."""
        while self.tree.revision <= revision:
            await self._tree_changed.wait()

    async def wait_until_current(
        self, wanted_revision: int, time_left_ms: float
    ) -> None:
        """Wait until the tree is the newest, at most ``CATCH_UP_WAIT_MS``.

        :param wanted_revision: as in :meth:`is_current`; later reports do not count.
        :param time_left_ms: how long the caller waits at most, in milliseconds.
        """
        deadline = Deadline.after_ms(min(CATCH_UP_WAIT_MS, time_left_ms))
        while not self.is_current(wanted_revision) and not deadline.has_passed():
            await self._wait_for_change(deadline)

    async def wait_for_tree(self, deadline: Deadline) -> None:
        """Wait until the tree may be used, or until the deadline."""
        while not self.has_tree and not deadline.has_passed():
            await self._wait_for_change(deadline)

    async def _wait_for_change(self, deadline: Deadline) -> None:
        """Wait until waiters are notified, or until the deadline."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(deadline.left_s()):
                await self._tree_changed.wait()

    def may_have_service(self, service: str) -> bool:
        """Return whether a service is configured, as far as this daemon can know.

        Without a tree, or while it may not be the newest, any service may be.
        """
        if not self.has_tree or not self.is_current(self.lag.wanted_revision):
            return True
        return self.has_service(service)

    def has_service(self, service: str) -> bool:
        """Return whether a service is configured in the tree of this daemon."""
        return service in self.tree.services()

    def describe_problems(self) -> list[str]:
        """Return why the settings are not in force as written, in bounded number."""
        shared = (str(each) for each in self._shared_account_keys())
        return [*self.problems.describe(), *islice(shared, MAX_REPORTED_SHARED_KEYS)]

    def _shared_account_keys(self) -> Iterator[FieldAdjusted]:
        for names in self.tree.accounts.shared_keys():
            where = f"accounts {', '.join(names[:MAX_REPORTED_SHARED_KEYS])}"
            yield FieldAdjusted(where, "key", "that of several accounts", "no account")

    def _record_shared_account_keys(self, count_before: int) -> None:
        """Report keys that several accounts name if the tree has more of them now."""
        count = self.tree.accounts.shared_key_count
        if count <= count_before:
            return
        self._metrics.count("settings_values_adjusted", amount=count - count_before)
        shared = islice(self._shared_account_keys(), MAX_REPORTED_SHARED_KEYS)
        get_logger().warning(
            "settings values adjusted",
            revision=self.tree.revision,
            count=count,
            values=[str(each) for each in shared],
        )

    def held(self) -> peer_pb2.SettingsHeld:
        """Return the revision and digest of the tree as a message for peers."""
        held = peer_pb2.SettingsHeld(
            revision=self.tree.revision,
            digest=self.tree.digest,
            has_tree=self.has_tree,
        )
        age_ms = self.confirmation.rounded_age_ms()
        if age_ms is not None:
            held.confirmed_age_ms = age_ms
        return held

    def reply_after(self, revision: int) -> peer_pb2.SettingsReply:
        """Return the records after ``revision``, or a snapshot if some were dropped."""
        reply = peer_pb2.SettingsReply(held=self.held())
        if revision >= self.tree.revision:
            return reply
        if self._recent_records and self._recent_records[0].offset <= revision:
            reply.records.extend(
                r for r in self._recent_records if r.offset >= revision
            )
        else:
            reply.snapshot.CopyFrom(self.tree.snapshot())
        return reply

    def whole_tree_reply(self) -> peer_pb2.SettingsReply:
        """Return a snapshot of the tree for a peer that has none."""
        return peer_pb2.SettingsReply(snapshot=self.tree.snapshot(), held=self.held())

    def apply_reply(self, reply: peer_pb2.SettingsReply) -> None:
        """Apply the records and the snapshot of a peer that are newer and valid."""
        for record in reply.records:
            self.apply_record(record.offset, record.payload)
        if reply.snapshot.revision > self.tree.revision:
            self.restore(reply.snapshot)
        same_revision = reply.held.revision == self.tree.revision
        if same_revision and reply.held.digest != self.tree.digest:
            self._metrics.count("settings_digest_mismatches")

    def restore(self, snapshot: settings_pb2.Snapshot) -> bool:
        """Replace the tree by a snapshot if it is valid and newer.

        :returns: whether the tree changed.
        """
        try:
            check_snapshot(snapshot, self.tree.places)
        except LaburnumscaleError as error:
            self._metrics.count("settings_snapshots_invalid")
            get_logger().warning(
                "invalid settings snapshot rejected", reason=str(error)
            )
            return False
        shared_keys_before = self.tree.accounts.shared_key_count
        if not self.tree.restore(snapshot):
            return False
        self._record_shared_account_keys(shared_keys_before)
        self._recent_records.clear()
        self._recent_bytes = 0
        get_logger().info(
            "settings restored",
            revision=snapshot.revision,
            behind_ms=round(self.lag.behind_ms()),
        )
        return True

    def apply_record(self, offset: int, payload: bytes) -> bool:
        """Apply a record if it is the next one after the tree's revision.

        An invalid record is skipped and counted.

        :returns: False if the record was applied before, or if records before it are
            missing.
        """
        if offset != self.tree.revision:
            return False
        try:
            record = parse_record(payload)
        except LaburnumscaleError as error:
            self._skip_invalid_record(
                RecordInvalid(SETTINGS_STREAM, offset, str(error))
            )
            self._append_recent_record(offset, b"")
            return True
        if record.WhichOneof("record") == "snapshot":
            self._skip_snapshot(offset, record.snapshot)
        else:
            self._apply_change(offset, record.change)
            self._append_recent_record(offset, payload)
        return True

    def _apply_change(self, offset: int, change: settings_pb2.Change) -> None:
        shared_keys_before = self.tree.accounts.shared_key_count
        outcome = self.tree.apply_change(offset + 1, change)
        self._record_shared_account_keys(shared_keys_before)
        verdict = settings_pb2.Verdict.Name(outcome.verdict)
        self._metrics.count("settings_changes", f'verdict="{verdict}"')
        get_logger().info(
            "settings change folded",
            change=change.change_id,
            author=change.author,
            verdict=verdict,
            revision=offset + 1,
        )

    def _skip_snapshot(self, offset: int, snapshot: settings_pb2.Snapshot) -> None:
        revision = snapshot.revision
        if revision <= offset:
            self.snapshot_revision = max(self.snapshot_revision, revision)
        self.tree.skip_record(offset + 1)
        marker = settings_pb2.Snapshot(revision=revision)
        record = settings_pb2.SettingsRecord(snapshot=marker)
        self._append_recent_record(offset, record.SerializeToString())

    def _skip_invalid_record(self, error: RecordInvalid) -> None:
        self.tree.skip_record(error.offset + 1)
        self._metrics.count("settings_records_invalid")
        get_logger().warning("invalid settings record skipped", reason=str(error))

    def _append_recent_record(self, offset: int, payload: bytes) -> None:
        self._recent_records.append(peer_pb2.LogRecord(offset=offset, payload=payload))
        self._recent_bytes += len(payload)
        while (
            len(self._recent_records) > MAX_RECENT_RECORDS
            or self._recent_bytes > MAX_RECENT_BYTES
        ):
            self._recent_bytes -= len(self._recent_records.popleft().payload)
