"""Settings feed.

Folds the log's ``settings`` stream into the tree of this daemon.
"""

import asyncio
import time

from google.protobuf.message import DecodeError

from laburnumscale.errors import LaburnumscaleError, RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import PlatformLog, Record, sleep_until_retry
from laburnumscale.tree import SettingsTree
from laburnumscale_schema import settings_pb2

__all__ = ["STREAM", "SettingsFeed"]

STREAM = "settings"
READ_WAIT_MS = 1000


class SettingsFeed:
    """The settings tree of one daemon and the task that keeps it up to date.

    :ivar contact_at_s: monotonic time of the last answer of the log, 0 for none.
    """

    def __init__(self, log: PlatformLog, metrics: Metrics) -> None:
        self.tree = SettingsTree()
        self.contact_at_s = 0.0
        self.has_tree = False
        self._log = log
        self._metrics = metrics
        self._folded = asyncio.Condition()

    async def tail(self) -> None:
        """Read and fold new records until cancelled."""
        attempt = 0
        while True:
            try:
                batch = await self._log.read(STREAM, self.tree.revision, READ_WAIT_MS)
            except LaburnumscaleError:
                self._metrics.count("log_read_failures")
                await sleep_until_retry(attempt)
                attempt += 1
                continue
            attempt = 0
            self.contact_at_s = time.monotonic()
            for record in batch.records:
                self._fold(record)
            self.has_tree = self.has_tree or self.tree.revision >= batch.next_offset
            async with self._folded:
                self._folded.notify_all()

    async def publish(
        self, change: settings_pb2.Change, wait_s: float
    ) -> settings_pb2.ChangeOutcome:
        """Append a change and wait until it is folded.

        :returns: its outcome, undetermined if it was not read back in time.
        """
        try:
            await self._log.append(
                STREAM, settings_pb2.SettingsRecord(change=change).SerializeToString()
            )
        except LaburnumscaleError:
            self._metrics.count("log_append_failures")
        return await self.outcome(change.change_id, wait_s)

    async def outcome(
        self, change_id: str, wait_s: float = 0.0
    ) -> settings_pb2.ChangeOutcome:
        """Return what became of a change, waiting for it to be folded."""
        try:
            async with asyncio.timeout(wait_s), self._folded:
                await self._folded.wait_for(lambda: change_id in self.tree.outcomes)
        except TimeoutError:
            pass
        found = self.tree.outcomes.get(change_id)
        if found is not None:
            return found
        return settings_pb2.ChangeOutcome(
            change_id=change_id, verdict=settings_pb2.VERDICT_UNDETERMINED
        )

    def _fold(self, record: Record) -> None:
        revision = record.offset + 1
        try:
            change = self._decode(record)
        except RecordInvalid as error:
            self.tree.revision = revision
            self._metrics.count("settings_records_invalid")
            get_logger().warning("settings record skipped", reason=str(error))
            return
        outcome = self.tree.fold(revision, change)
        verdict = settings_pb2.Verdict.Name(outcome.verdict)
        self._metrics.count("settings_changes", f'verdict="{verdict}"')
        get_logger().info(
            "settings changed",
            change=change.change_id,
            author=change.author,
            verdict=verdict,
            revision=revision,
        )

    @staticmethod
    def _decode(record: Record) -> settings_pb2.Change:
        message = settings_pb2.SettingsRecord()
        try:
            message.ParseFromString(record.payload)
        except DecodeError as error:
            raise RecordInvalid(STREAM, record.offset, str(error)) from error
        if message.WhichOneof("record") != "change":
            raise RecordInvalid(STREAM, record.offset, "the record holds no change")
        return message.change
