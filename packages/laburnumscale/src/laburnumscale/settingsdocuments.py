"""Settings documents.

Reads complete configurations that operators write to the platform's log under one key.
"""

import asyncio
from collections.abc import Callable

import attrs

from laburnumscale.errors import LaburnumscaleError, RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import (
    Batch,
    LogClient,
    LogReader,
    Record,
    sleep_until_retry,
)
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingssource import SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["DocumentSource", "SettingsDocumentReader"]

#: A dead connection to the log is detected after this time plus the margin of a read
#: request. It is short because changes must be in force within seconds.
LONG_POLL_WAIT_MS = 2_500
#: The designated readers change with the membership, which takes seconds.
IDLE_DELAY_S = 0.25
PEER_CONTACT_TIMEOUT_S = 4.0  # twice the interval at which peers are polled
MAX_RETRY_DELAY_S = 0.5  # after an outage, changes must be in force within seconds


@attrs.frozen
class DocumentSource:
    """Where documents are stored and how they are decoded.

    :ivar stream: name of the stream in the log.
    :ivar key: key of the records that contain documents.
    :ivar decode: returns the settings tree that a document describes, with the
        document's version as its revision; raises a ``LaburnumscaleError`` if the
        document is invalid.
    """

    stream: str
    key: str
    decode: Callable[[bytes], settings_pb2.Snapshot]


class SettingsDocumentReader(SettingsSource):
    """Reads settings documents from the log into the feed.

    Each document is a complete configuration, so a daemon that is behind applies the
    newest and skips those in between. The feed never returns to an older one.

    Designated readers read the log continuously. The other daemons receive settings
    from their peers and read the log only if no peer responds.

    :param is_designated_reader: returns whether this daemon is a designated reader.
    """

    accepts_changes = False

    def __init__(
        self,
        feed: SettingsFeed,
        log: LogClient,
        metrics: Metrics,
        source: DocumentSource,
        is_designated_reader: Callable[[], bool],
    ) -> None:
        self._feed = feed
        self._reader = LogReader(log, source.stream)
        self._metrics = metrics
        self._source = source
        self._is_designated_reader = is_designated_reader

    async def run(self) -> None:
        """Read documents whenever this daemon has to read them, until cancelled."""
        attempt = 0
        while True:
            if not self._must_read():
                self._reader.restart_from_newest()
                await asyncio.sleep(IDLE_DELAY_S)
                continue
            try:
                await self.read(LONG_POLL_WAIT_MS)
            except LaburnumscaleError as error:
                self._record_read_failure(error)
                await sleep_until_retry(attempt, MAX_RETRY_DELAY_S)
                attempt += 1
                continue
            attempt = 0

    async def read(self, wait_ms: int) -> Batch:
        """Read the newest document, or wait for the next one.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LaburnumscaleError: the log gave no usable response.
        """
        self._metrics.count("log_reads", f'stream="{self._source.stream}"')
        batch = await self._reader.read(wait_ms)
        for record in batch.records:
            self._apply_record(record)
        self._record_read_success()
        return batch

    def _must_read(self) -> bool:
        fed_by_peers = self._feed.is_fed_by_peers(PEER_CONTACT_TIMEOUT_S)
        return not fed_by_peers or self._is_designated_reader()

    def _apply_record(self, record: Record) -> None:
        if record.key != self._source.key:
            return
        try:
            snapshot = self._source.decode(record.payload)
        except LaburnumscaleError as error:
            invalid = RecordInvalid(self._source.stream, record.offset, str(error))
            self._metrics.count("settings_records_invalid")
            get_logger().warning("settings document skipped", reason=str(invalid))
            return
        self._feed.restore(snapshot)

    def _record_read_success(self) -> None:
        feed = self._feed
        if feed.log_failed:
            feed.log_failed = False
            get_logger().info(
                "settings log available again", revision=feed.tree.revision
            )
        feed.record_contact()
        if feed.tree.revision:
            feed.mark_tree_complete()
        feed.notify_waiters()

    def _record_read_failure(self, error: LaburnumscaleError) -> None:
        self._metrics.count("log_read_failures")
        if not self._feed.log_failed:
            self._feed.log_failed = True
            get_logger().warning(
                "settings log unavailable",
                reason=str(error),
                revision=self._feed.tree.revision,
            )
