"""Settings publisher.

Appends the changes of operators to the log and determines their outcomes.
"""

import time

from laburnumscale.deadlines import Deadline
from laburnumscale.errors import (
    LaburnumscaleError,
    LogUnreachable,
    SettingsReadOnly,
    SettingsUnavailable,
)
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import LogClient, sleep_until_retry
from laburnumscale.settingschecks import check_change
from laburnumscale.settingsfeed import SETTINGS_STREAM, SettingsFeed
from laburnumscale.settingsreplication import SettingsReplicator
from laburnumscale.settingssource import SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["SettingsPublisher"]

PUBLISH_TIMEOUT_MS = 8000
LONG_POLL_WAIT_MS = 500


class SettingsPublisher:
    """Publishes settings changes that operators send to this daemon."""

    def __init__(
        self,
        daemon: str,
        feed: SettingsFeed,
        source: SettingsSource,
        replicator: SettingsReplicator,
        log: LogClient,
        metrics: Metrics,
    ) -> None:
        self._daemon = daemon
        self._feed = feed
        self._source = source
        self._replicator = replicator
        self._log = log
        self._metrics = metrics

    async def publish(self, change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
        """Append a change once and wait until enough daemons hold it.

        :returns: an accepted or refused outcome, or an undetermined one if the log or
            too many daemons do not respond in time.
        :raises SettingsUnavailable: this daemon has no settings yet.
        :raises SettingsReadOnly: operators change the settings on the platform instead.
        :raises LaburnumscaleError: the change is invalid.
        """
        check_change(change)
        if not self._source.accepts_changes:
            raise SettingsReadOnly(self._daemon)
        if not self._feed.has_tree:
            raise SettingsUnavailable(self._daemon)
        deadline = Deadline.after_ms(PUBLISH_TIMEOUT_MS)
        record = settings_pb2.SettingsRecord(change=change)
        try:
            await self._log.append(SETTINGS_STREAM, record.SerializeToString())
        except LogUnreachable:
            return _refuse_as_unreachable(change)
        except LaburnumscaleError:
            self._metrics.count("log_append_failures")
        return await self._determine_outcome(change.change_id, deadline)

    async def settle(
        self, change_id: str, cancel_author: str = ""
    ) -> settings_pb2.ChangeOutcome:
        """Determine the outcome of a change that was undetermined before.

        :param change_id: the id of the change.
        :param cancel_author: if not empty and the change is not in the log, cancel the
            change in the name of this author, so that it has no effect if it reaches
            the log later.
        :returns: the outcome; undetermined if the change is not in the log, or if the
            log or too many daemons do not respond in time.
        :raises LaburnumscaleError: the change id or the author is invalid.
        """
        deadline = Deadline.after_ms(PUBLISH_TIMEOUT_MS)
        if change_id not in self._feed.tree.outcomes:
            await self._read_to_end(deadline)
        is_known = change_id in self._feed.tree.outcomes
        if not is_known and cancel_author:
            change = settings_pb2.Change(
                change_id=change_id,
                author=cancel_author,
                written_at_unix_ms=time.time_ns() // 1_000_000,
                read_revision=self._feed.tree.revision,
                cancel=True,
            )
            return await self.publish(change)
        return await self._determine_outcome(
            change_id, deadline if is_known else Deadline(0.0)
        )

    async def _determine_outcome(
        self, change_id: str, deadline: Deadline
    ) -> settings_pb2.ChangeOutcome:
        outcome = settings_pb2.ChangeOutcome(
            change_id=change_id,
            verdict=settings_pb2.VERDICT_UNDETERMINED,
            revision=self._feed.tree.revision,
        )
        found = await self._wait_for_outcome(change_id, deadline)
        if found is None:
            return outcome
        outcome.CopyFrom(found)
        if outcome.verdict != settings_pb2.VERDICT_ACCEPTED:
            return outcome
        holders, is_enough = await self._replicator.confirm_replication(
            outcome.revision, deadline
        )
        outcome.held_by_daemons.extend(sorted(m.daemon for m in holders))
        data_centres = sorted({member.data_centre for member in holders})
        outcome.held_in_data_centres.extend(data_centres)
        if not is_enough:
            outcome.verdict = settings_pb2.VERDICT_UNDETERMINED
        return outcome

    async def _wait_for_outcome(
        self, change_id: str, deadline: Deadline
    ) -> settings_pb2.ChangeOutcome | None:
        attempt = 0
        while change_id not in self._feed.tree.outcomes and not deadline.has_passed():
            try:
                await self._source.read(LONG_POLL_WAIT_MS)
                attempt = 0
            except LaburnumscaleError:
                await sleep_until_retry(attempt)
                attempt += 1
        return self._feed.tree.outcomes.get(change_id)

    async def _read_to_end(self, deadline: Deadline) -> None:
        while not deadline.has_passed():
            try:
                batch = await self._source.read(0)
            except LaburnumscaleError:
                return
            if self._feed.tree.revision >= batch.next_offset:
                return


def _refuse_as_unreachable(change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
    return settings_pb2.ChangeOutcome(
        change_id=change.change_id,
        verdict=settings_pb2.VERDICT_REFUSED,
        reason=settings_pb2.REFUSAL_REASON_LOG_UNREACHABLE,
        author=change.author,
        written_at_unix_ms=change.written_at_unix_ms,
    )
