"""Settings feed.

Holds the settings tree of this daemon and takes what the log and peers deliver.
"""

import asyncio
import time
from collections import deque

from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import LaburnumscaleError, RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.settingschecks import check_snapshot, parse_record
from laburnumscale.tree import SettingsTree
from laburnumscale_schema import peer_pb2, settings_pb2

__all__ = ["STREAM", "SettingsFeed"]

STREAM = "settings"
KEPT_RECORDS = 256
KEPT_BYTES = 1024 * 1024
DEFAULT_ISOLATION_MS = 60_000


class SettingsFeed:
    """The settings tree of one daemon; its revision never goes down.

    :ivar has_tree: whether the tree may be served: it was complete once.
    :ivar log_failed: whether the last request to the log gave no usable answer.
    :ivar contact_at_s: monotonic time of the last answer of the log or a peer.
    :ivar peer_contact_at_s: monotonic time of the last answer of a peer.
    :ivar snapshot_revision: revision of the newest snapshot in the log.
    :ivar hint: a peer address that is said to hold a newer revision, or empty.

    :param isolation_ms: age of the last contact after which the daemon is stale.
    """

    def __init__(
        self, metrics: Metrics, isolation_ms: int = DEFAULT_ISOLATION_MS
    ) -> None:
        self.tree = SettingsTree()
        self.has_tree = False
        self.log_failed = False
        self.contact_at_s = 0.0
        self.peer_contact_at_s = 0.0
        self.snapshot_revision = 0
        self.hint = ""
        self.hinted = asyncio.Event()
        self._isolation_s = isolation_ms / MS_PER_S
        self._metrics = metrics
        self._kept: deque[peer_pb2.LogRecord] = deque()
        self._kept_bytes = 0
        self._changed = asyncio.Event()

    def contact_age_s(self) -> float:
        """Return the seconds since the log or a peer was heard."""
        return time.monotonic() - self.contact_at_s

    def is_stale(self) -> bool:
        """Tell whether neither the log nor a peer was heard for too long."""
        return self.contact_age_s() > self._isolation_s

    def note_contact(self, from_peer: bool = False) -> None:
        """Note that the log or a peer has answered."""
        self.contact_at_s = time.monotonic()
        if from_peer:
            self.peer_contact_at_s = self.contact_at_s

    def note_complete(self) -> None:
        """Note that the tree may be served."""
        if not self.has_tree:
            self.has_tree = True
            get_logger().info("settings in force", revision=self.tree.revision)
            self.note_changed()

    def hear(self, revision: int, address: str) -> None:
        """Note the revision that a peer says it holds."""
        if revision > self.tree.revision and address:
            self.hint = address
            self.hinted.set()

    def note_changed(self) -> None:
        """Wake what waits for a newer revision.

        It holds no lock: the handler of a peer's request may be cancelled anywhere.
        """
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def wait_newer(self, revision: int) -> None:
        """Wait until the tree is newer than a revision."""
        while self.tree.revision <= revision:
            await self._changed.wait()

    async def wait_tree(self, deadline: Deadline) -> None:
        """Wait until the tree may be served, or until the deadline."""
        while not self.has_tree and not deadline.has_passed():
            changed = self._changed
            try:
                async with asyncio.timeout(deadline.left_s()):
                    await changed.wait()
            except TimeoutError:
                return

    def held(self) -> peer_pb2.SettingsHeld:
        """Return what this daemon holds."""
        return peer_pb2.SettingsHeld(
            revision=self.tree.revision,
            digest=self.tree.digest,
            has_tree=self.has_tree,
        )

    def reply_after(self, revision: int) -> peer_pb2.SettingsReply:
        """Return what a peer at ``revision`` lacks."""
        reply = peer_pb2.SettingsReply(held=self.held())
        if revision >= self.tree.revision:
            return reply
        if self._kept and self._kept[0].offset <= revision:
            reply.records.extend(r for r in self._kept if r.offset >= revision)
        else:
            reply.snapshot.CopyFrom(self.tree.snapshot())
        return reply

    def whole_reply(self) -> peer_pb2.SettingsReply:
        """Return the whole tree for a peer that has none."""
        return peer_pb2.SettingsReply(snapshot=self.tree.snapshot(), held=self.held())

    def take_reply(self, reply: peer_pb2.SettingsReply) -> None:
        """Take what a peer has sent, as far as it is newer and valid."""
        for record in reply.records:
            self.take(record.offset, record.payload)
        if reply.snapshot.revision > self.tree.revision:
            self.restore(reply.snapshot)
        same_revision = reply.held.revision == self.tree.revision
        if same_revision and reply.held.digest != self.tree.digest:
            self._metrics.count("settings_digest_mismatches")

    def restore(self, snapshot: settings_pb2.Snapshot) -> bool:
        """Take a snapshot if it is valid and newer than the tree.

        :returns: whether the tree changed.
        """
        try:
            check_snapshot(snapshot)
        except LaburnumscaleError as error:
            self._metrics.count("settings_snapshots_invalid")
            get_logger().warning("settings snapshot refused", reason=str(error))
            return False
        if not self.tree.restore(snapshot):
            return False
        self._kept.clear()
        self._kept_bytes = 0
        get_logger().info("settings restored", revision=snapshot.revision)
        return True

    def take(self, offset: int, payload: bytes) -> bool:
        """Fold the record that follows the tree's revision.

        :returns: False if the record is folded already, or if others are missing.
        """
        if offset != self.tree.revision:
            return False
        try:
            record = parse_record(payload)
        except LaburnumscaleError as error:
            self._skip_invalid(RecordInvalid(STREAM, offset, str(error)))
            self._keep(offset, b"")
            return True
        if record.WhichOneof("record") == "snapshot":
            self._pass_snapshot(offset, record.snapshot)
        else:
            self._fold(offset, record.change)
            self._keep(offset, payload)
        return True

    def _fold(self, offset: int, change: settings_pb2.Change) -> None:
        outcome = self.tree.fold(offset + 1, change)
        verdict = settings_pb2.Verdict.Name(outcome.verdict)
        self._metrics.count("settings_changes", f'verdict="{verdict}"')
        get_logger().info(
            "settings change folded",
            change=change.change_id,
            author=change.author,
            verdict=verdict,
            revision=offset + 1,
        )

    def _pass_snapshot(self, offset: int, snapshot: settings_pb2.Snapshot) -> None:
        revision = snapshot.revision
        if revision <= offset:
            self.snapshot_revision = max(self.snapshot_revision, revision)
        self.tree.skip(offset + 1)
        short = settings_pb2.Snapshot(revision=revision)
        record = settings_pb2.SettingsRecord(snapshot=short)
        self._keep(offset, record.SerializeToString())

    def _skip_invalid(self, error: RecordInvalid) -> None:
        self.tree.skip(error.offset + 1)
        self._metrics.count("settings_records_invalid")
        get_logger().warning("settings record skipped", reason=str(error))

    def _keep(self, offset: int, payload: bytes) -> None:
        self._kept.append(peer_pb2.LogRecord(offset=offset, payload=payload))
        self._kept_bytes += len(payload)
        while len(self._kept) > KEPT_RECORDS or self._kept_bytes > KEPT_BYTES:
            self._kept_bytes -= len(self._kept.popleft().payload)
