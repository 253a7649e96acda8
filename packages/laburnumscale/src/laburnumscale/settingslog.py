"""Settings log.

Reads the ``settings`` stream of the platform's log into the settings feed and writes
snapshots of the settings to that stream.
"""

import asyncio
import random
import time
from collections.abc import Callable

from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient, sleep_until_retry
from laburnumscale.settingschecks import parse_record
from laburnumscale.settingscontacts import SettingsContact
from laburnumscale.settingsfeed import SETTINGS_STREAM, SettingsFeed
from laburnumscale.settingssource import SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["SettingsLogReader"]

IDLE_DELAY_S = 0.5
SPOT_CHECK_INTERVAL_S = 60.0
MAX_RECORDS_SINCE_SNAPSHOT = 500
SNAPSHOT_JITTER = 0.2


class SettingsLogReader(SettingsSource):
    """Reads the stream of settings changes and appends snapshots to it.

    Designated readers read the stream continuously. The other daemons receive changes
    from their peers; they read the stream only if no peer responds, and at long
    intervals as a check.

    :param snapshot_interval_ms: longest time between two snapshots in the log, in
        milliseconds.
    :param is_designated_reader: returns whether this daemon is a designated reader.
    """

    def __init__(
        self,
        feed: SettingsFeed,
        log: LogClient,
        metrics: Metrics,
        snapshot_interval_ms: int,
        is_designated_reader: Callable[[], bool] = lambda: True,
    ) -> None:
        self._feed = feed
        self._log = log
        self._metrics = metrics
        self._is_designated_reader = is_designated_reader
        self._snapshot_interval_s = snapshot_interval_ms / MS_PER_S
        self._snapshot_due_at_s = self._compute_next_snapshot_time_s()
        self._last_snapshot_revision = 0
        self._last_read_at_s = 0.0

    async def run(self) -> None:
        """Read the stream whenever this daemon has to read it, until cancelled."""
        attempt = 0
        while True:
            wait_ms = self._feed.confirmation.read_wait_ms() if self._must_read() else 0
            if not wait_ms and not self._is_spot_check_due():
                await asyncio.sleep(IDLE_DELAY_S)
                continue
            try:
                batch = await self.read(wait_ms if self._feed.has_tree else 0)
                await self._write_snapshot_if_due(batch)
            except LaburnumscaleError:
                await sleep_until_retry(attempt)
                attempt += 1
                continue
            attempt = 0

    async def read(self, wait_ms: int) -> Batch:
        """Read the records after the tree's revision and apply them to the tree.

        :param wait_ms: how long the log may wait for a first record, in milliseconds.
        :raises LogUnavailable: the log did not respond.
        """
        feed = self._feed
        self._last_read_at_s = time.monotonic()
        started_at_s = now_s()
        requested_revision = feed.tree.revision
        try:
            batch = await self._log.read(SETTINGS_STREAM, requested_revision, wait_ms)
            self._metrics.count("log_reads", f'stream="{SETTINGS_STREAM}"')
            if batch.oldest_offset > feed.tree.revision:
                await self._restart_from_snapshot(batch)
        except LaburnumscaleError:
            feed.log_failed = True
            self._metrics.count("log_read_failures")
            raise
        for record in batch.records:
            feed.apply_record(record.offset, record.payload)
        if feed.tree.revision >= batch.next_offset:
            feed.contacts.record(SettingsContact.LOG_READ)
            feed.mark_tree_complete()
            feed.log_failed = False
            feed.confirm_at(batch.confirmed_at_s(started_at_s, wait_ms))
        if requested_revision > batch.next_offset:
            self._metrics.count("settings_log_behind")
        feed.notify_waiters()
        return batch

    def _must_read(self) -> bool:
        return not self._feed.is_fed_by_peers() or self._is_designated_reader()

    def _is_spot_check_due(self) -> bool:
        return time.monotonic() - self._last_read_at_s > SPOT_CHECK_INTERVAL_S

    async def _restart_from_snapshot(self, batch: Batch) -> None:
        """Restore the newest snapshot whose following records are still in the log."""
        newest = settings_pb2.Snapshot()
        oldest = batch.oldest_offset
        while batch.records:
            for record in batch.records:
                candidate = _parse_snapshot(record.payload)
                if (
                    max(oldest, newest.revision + 1)
                    <= candidate.revision
                    <= record.offset
                ):
                    newest = candidate
            from_offset = batch.records[-1].offset + 1
            if from_offset >= batch.next_offset:
                break
            batch = await self._log.read(SETTINGS_STREAM, from_offset)
        self._metrics.count("settings_restarts")
        if not self._feed.restore(newest):
            self._feed.log_failed = True
            self._metrics.count("settings_snapshots_missing")
            await asyncio.sleep(IDLE_DELAY_S)

    async def _write_snapshot_if_due(self, batch: Batch) -> None:
        feed = self._feed
        if feed.snapshot_revision > self._last_snapshot_revision:
            self._last_snapshot_revision = feed.snapshot_revision
            self._snapshot_due_at_s = self._compute_next_snapshot_time_s()
        if not (feed.has_tree and feed.tree.revision and self._is_designated_reader()):
            return
        is_due = (
            time.monotonic() > self._snapshot_due_at_s
            or feed.tree.revision - feed.snapshot_revision > MAX_RECORDS_SINCE_SNAPSHOT
            or batch.oldest_offset > feed.snapshot_revision
        )
        if not is_due:
            return
        record = settings_pb2.SettingsRecord(snapshot=feed.tree.snapshot())
        self._snapshot_due_at_s = self._compute_next_snapshot_time_s()
        await self._log.append(SETTINGS_STREAM, record.SerializeToString())
        feed.snapshot_revision = record.snapshot.revision
        self._metrics.count("settings_snapshots_written")
        get_logger().info("settings snapshot written", revision=feed.snapshot_revision)

    def _compute_next_snapshot_time_s(self) -> float:
        jitter = 1 - SNAPSHOT_JITTER * random.random()
        return time.monotonic() + self._snapshot_interval_s * jitter


def _parse_snapshot(payload: bytes) -> settings_pb2.Snapshot:
    """Return the snapshot in a record, or an empty one of revision 0."""
    try:
        return parse_record(payload).snapshot
    except LaburnumscaleError:
        return settings_pb2.Snapshot()
