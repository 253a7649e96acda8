"""Settings documents.

Reads whole configurations, which operators write to the platform's log under one key.
"""

import asyncio
import time
from collections.abc import Callable

import attrs

from laburnumscale.errors import LaburnumscaleError, RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import (
    Batch,
    Log,
    LogReader,
    Record,
    sleep_until_retry,
)
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingssource import SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["DocumentKind", "SettingsDocuments"]

#: A connection to the log that has gone silent is noticed after this time and the
#: margin of a read; changes must be in force within seconds.
READ_WAIT_MS = 2_500
IDLE_S = 0.25  # a role changes with the membership, which takes seconds
PEER_SILENCE_S = 4.0  # two of the intervals in which peers are asked for settings
LONGEST_RETRY_S = 0.5  # a change must be in force within seconds after an outage


@attrs.frozen
class DocumentKind:
    """Where the documents lie and how they are read.

    :ivar stream: the stream of the log.
    :ivar key: the key of the records that hold documents.
    :ivar decode: returns the tree that a document stands for, with the document's
        version as its revision; raises a ``LaburnumscaleError`` for one that cannot
        be used.
    """

    stream: str
    key: str
    decode: Callable[[bytes], settings_pb2.Snapshot]


class SettingsDocuments(SettingsSource):
    """The task that reads documents while this daemon is to read them.

    Documents are whole, so a daemon takes the newest and skips what lies between;
    the feed never goes back to an older one.

    :param is_tailer: tells whether this daemon is one of those that read all the
        time; the others read if they hear from no peer.
    """

    accepts_changes = False

    def __init__(
        self,
        feed: SettingsFeed,
        log: Log,
        metrics: Metrics,
        kind: DocumentKind,
        is_tailer: Callable[[], bool],
    ) -> None:
        self._feed = feed
        self._reader = LogReader(log, kind.stream)
        self._metrics = metrics
        self._kind = kind
        self._is_tailer = is_tailer

    async def run(self) -> None:
        """Read documents whenever this daemon is to read them, until cancelled."""
        attempt = 0
        while True:
            if not self._reads_on():
                self._reader.start_again()
                await asyncio.sleep(IDLE_S)
                continue
            try:
                await self.read(READ_WAIT_MS)
            except LaburnumscaleError as error:
                self._lost(error)
                await sleep_until_retry(attempt, LONGEST_RETRY_S)
                attempt += 1
                continue
            attempt = 0

    async def read(self, wait_ms: int) -> Batch:
        """Read the newest document, or wait for the one after it."""
        self._metrics.count("log_reads", f'stream="{self._kind.stream}"')
        batch = await self._reader.read(wait_ms)
        for record in batch.records:
            self._take(record)
        self._regained()
        return batch

    def _reads_on(self) -> bool:
        silence_s = time.monotonic() - self._feed.peer_contact_at_s
        return (
            not self._feed.has_tree or self._is_tailer() or silence_s > PEER_SILENCE_S
        )

    def _take(self, record: Record) -> None:
        if record.key != self._kind.key:
            return
        try:
            snapshot = self._kind.decode(record.payload)
        except LaburnumscaleError as error:
            invalid = RecordInvalid(self._kind.stream, record.offset, str(error))
            self._metrics.count("settings_records_invalid")
            get_logger().warning("settings document skipped", reason=str(invalid))
            return
        self._feed.restore(snapshot)

    def _regained(self) -> None:
        feed = self._feed
        if feed.log_failed:
            feed.log_failed = False
            get_logger().info("settings log regained", revision=feed.tree.revision)
        feed.record_contact()
        if feed.tree.revision:
            feed.mark_tree_complete()
        feed.notify_waiters()

    def _lost(self, error: LaburnumscaleError) -> None:
        self._metrics.count("log_read_failures")
        if not self._feed.log_failed:
            self._feed.log_failed = True
            get_logger().warning(
                "settings log lost",
                reason=str(error),
                revision=self._feed.tree.revision,
            )
