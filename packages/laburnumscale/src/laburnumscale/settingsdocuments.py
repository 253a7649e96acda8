"""Settings documents.

Reads complete configurations that operators write to the platform's log under one key.
"""

import asyncio
import random
from collections.abc import Callable

import attrs

from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.documentfields import AdjustmentListener
from laburnumscale.errors import FieldAdjusted, LaburnumscaleError, RecordInvalid
from laburnumscale.logpacing import draw_read_wait_ms, draw_retry_delay_s
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient, LogReader, Record
from laburnumscale.settingscontacts import SettingsContact
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingssource import ReaderRole, SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["DocumentSource", "SettingsDocumentReader"]

#: The designated readers change with the membership, which takes seconds.
IDLE_DELAY_S = 0.25
#: Time after a start in which the peers are found that decide who reads the log.
SETTLING_MS = 1_000
#: Interval of the reads of a daemon that is no designated reader and has no settings.
EMPTY_READ_INTERVAL_MS = 15_000
LAG_CHECK_INTERVAL_S = 0.1
#: Time in which the log answers a read, beside the wait for a record. It doubles with
#: each read that is given up, because the log may be slow.
FIRST_PATIENCE_MS = 300
MAX_PATIENCE_MS = 2_000
MAX_LOGGED_ADJUSTMENTS = 20


@attrs.frozen
class DocumentSource:
    """Where documents are stored and how they are decoded.

    :ivar stream: name of the stream in the log.
    :ivar key: key of the records that contain documents.
    :ivar decode: returns the settings tree that a document describes, with the
        document's version as its revision; raises a ``LaburnumscaleError`` if the
        document is invalid. Its second argument is called with each value that was
        brought into range.
    """

    stream: str
    key: str
    decode: Callable[[bytes, AdjustmentListener], settings_pb2.Snapshot]


class SettingsDocumentReader(SettingsSource):
    """Reads settings documents from the log into the feed.

    Each document is a complete configuration, so a daemon that is behind applies the
    newest and skips those in between. The feed never returns to an older one.

    Each daemon reads the newest document when it starts. After that, designated
    readers read the log continuously. The other daemons receive settings from their
    peers and read the log only if no peer responds or, as long as they have no
    settings, once a peer reports some.

    :param role: the part of this daemon in reading the log.
    """

    accepts_changes = False

    def __init__(
        self,
        feed: SettingsFeed,
        log: LogClient,
        metrics: Metrics,
        source: DocumentSource,
        role: ReaderRole,
    ) -> None:
        self._feed = feed
        self._reader = LogReader(log, source.stream)
        self._metrics = metrics
        self._source = source
        self._role = role
        self._settled: Deadline | None = None
        self._next_empty_read = Deadline(0.0)
        self._patience_ms = FIRST_PATIENCE_MS

    async def run(self) -> None:
        """Read documents whenever this daemon has to read them, until cancelled."""
        attempt = 0
        while True:
            if self._is_settling():
                await asyncio.sleep(IDLE_DELAY_S)
                continue
            if not self._must_read():
                self._reader.restart_from_newest()
                await asyncio.sleep(IDLE_DELAY_S)
                continue
            reader_count = self._role.reader_count()
            try:
                await self._read_until_overdue(self._draw_wait_ms())
            except LaburnumscaleError as error:
                self._record_read_failure(error)
                await asyncio.sleep(draw_retry_delay_s(attempt, reader_count))
                attempt += 1
                continue
            attempt = 0
            if self._settled is None:
                self._settled = Deadline.after_ms(SETTLING_MS)
            interval_ms = EMPTY_READ_INTERVAL_MS * random.uniform(0.5, 1.5)
            self._next_empty_read = Deadline.after_ms(interval_ms)

    def _draw_wait_ms(self) -> int:
        """Return how long the next read waits for a record.

        A read that has to confirm the settings does not wait. Without settings there is
        nothing to confirm.
        """
        confirmation = self._feed.confirmation
        if not self._feed.has_tree:
            return draw_read_wait_ms(self._role.reader_count())
        if confirmation.must_reserve_read():
            return 0
        if self._role.is_lead_reader():
            return confirmation.read_wait_ms()
        return draw_read_wait_ms(self._role.reader_count())

    async def _read_until_overdue(self, wait_ms: int) -> None:
        """Read, but give the read up if its connection may deliver nothing any more.

        That is so if the log should have answered, if peers report settings that the
        read does not bring, or if the settings have to be confirmed.
        """
        reading = asyncio.create_task(self.read(wait_ms))
        answer_due = Deadline.after_ms(wait_ms + self._patience_ms)
        may_give_up = Deadline.after_ms(self._patience_ms)
        try:
            while not reading.done():
                await asyncio.wait((reading,), timeout=LAG_CHECK_INTERVAL_S)
                is_overdue = answer_due.has_passed() or (
                    may_give_up.has_passed() and self._must_read_again()
                )
                if is_overdue and not reading.done():
                    self._patience_ms = min(MAX_PATIENCE_MS, 2 * self._patience_ms)
                    return
            reading.result()
            self._patience_ms = FIRST_PATIENCE_MS
        finally:
            reading.cancel()
            await asyncio.wait((reading,))

    def _must_read_again(self) -> bool:
        feed = self._feed
        return feed.is_late() or (
            feed.has_tree and feed.confirmation.must_reserve_read()
        )

    async def read(self, wait_ms: int) -> Batch:
        """Read the newest document, or wait for the next one.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LaburnumscaleError: the log gave no usable response.
        """
        self._metrics.count("log_reads", f'stream="{self._source.stream}"')
        started_at_s = now_s()
        batch = await self._reader.read(wait_ms)
        for record in batch.records:
            self._apply_record(record)
        self._record_read_success()
        if self._reader.is_at_end:
            self._feed.confirm_at(batch.confirmed_at_s(started_at_s, wait_ms))
        return batch

    def _is_settling(self) -> bool:
        return self._settled is not None and not self._settled.has_passed()

    def _must_read(self) -> bool:
        if self._role.is_designated_reader():
            return True
        if self._feed.has_tree:
            return not self._feed.is_fed_by_peers()
        return self._feed.lag.is_behind or self._next_empty_read.has_passed()

    def _apply_record(self, record: Record) -> None:
        if record.key != self._source.key:
            return
        adjustments: list[FieldAdjusted] = []
        try:
            snapshot = self._source.decode(record.payload, adjustments.append)
        except LaburnumscaleError as error:
            invalid = RecordInvalid(self._source.stream, record.offset, str(error))
            self._metrics.count("settings_records_invalid")
            get_logger().error("settings document skipped", reason=str(invalid))
            self._feed.problems.record_skipped(invalid)
            return
        if self._feed.restore(snapshot):
            self._feed.problems.record_restored(adjustments)
            self._log_adjustments(snapshot.revision, adjustments)

    def _log_adjustments(self, revision: int, adjustments: list[FieldAdjusted]) -> None:
        """Log the values of a document that were brought into range."""
        if not adjustments:
            return
        self._metrics.count("settings_values_adjusted", amount=len(adjustments))
        shown = adjustments[:MAX_LOGGED_ADJUSTMENTS]
        get_logger().warning(
            "settings values adjusted",
            revision=revision,
            count=len(adjustments),
            values=[str(each) for each in shown],
        )

    def _record_read_success(self) -> None:
        feed = self._feed
        if feed.log_failed:
            feed.log_failed = False
            get_logger().info(
                "settings log available again", revision=feed.tree.revision
            )
        feed.contacts.record(SettingsContact.LOG_READ)
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
