"""Settings publisher.

Appends the changes of operators and tells truthfully what became of them.
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
from laburnumscale.platformlog import Log, sleep_until_retry
from laburnumscale.settingschecks import check_change
from laburnumscale.settingsfeed import SETTINGS_STREAM, SettingsFeed
from laburnumscale.settingsrelay import SettingsRelay
from laburnumscale.settingssource import SettingsSource
from laburnumscale_schema import settings_pb2

__all__ = ["SettingsPublisher"]

PUBLISH_LIMIT_MS = 8000
READ_BACK_WAIT_MS = 500


class SettingsPublisher:
    """Publishes changes through one daemon."""

    def __init__(
        self,
        daemon: str,
        feed: SettingsFeed,
        settings_log: SettingsSource,
        relay: SettingsRelay,
        log: Log,
        metrics: Metrics,
    ) -> None:
        self._daemon = daemon
        self._feed = feed
        self._settings_log = settings_log
        self._relay = relay
        self._log = log
        self._metrics = metrics

    async def publish(self, change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
        """Append a change once and wait until enough daemons hold it.

        :returns: accepted, refused, or undetermined if the log or too many daemons
            do not answer in time.
        :raises SettingsUnavailable: this daemon has no settings yet.
        :raises SettingsReadOnly: operators write to the platform instead.
        :raises LaburnumscaleError: the change is invalid.
        """
        check_change(change)
        if not self._settings_log.accepts_changes:
            raise SettingsReadOnly(self._daemon)
        if not self._feed.has_tree:
            raise SettingsUnavailable(self._daemon)
        deadline = Deadline.after_ms(PUBLISH_LIMIT_MS)
        record = settings_pb2.SettingsRecord(change=change)
        try:
            await self._log.append(SETTINGS_STREAM, record.SerializeToString())
        except LogUnreachable:
            return _log_unreachable(change)
        except LaburnumscaleError:
            self._metrics.count("log_append_failures")
        return await self._conclude(change.change_id, deadline)

    async def settle(
        self, change_id: str, cancel_author: str = ""
    ) -> settings_pb2.ChangeOutcome:
        """Tell what became of a change that was undetermined.

        :param cancel_author: if the change is not in the log, cancel it in this
            name, so that it is not taken should it arrive later.
        :returns: undetermined if the change is not in the log, or if the log or too
            many daemons do not answer.
        :raises LaburnumscaleError: the change id or the author is invalid.
        """
        deadline = Deadline.after_ms(PUBLISH_LIMIT_MS)
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
        return await self._conclude(change_id, deadline if is_known else Deadline(0.0))

    async def _conclude(
        self, change_id: str, deadline: Deadline
    ) -> settings_pb2.ChangeOutcome:
        outcome = settings_pb2.ChangeOutcome(
            change_id=change_id,
            verdict=settings_pb2.VERDICT_UNDETERMINED,
            revision=self._feed.tree.revision,
        )
        folded = await self._read_back(change_id, deadline)
        if folded is None:
            return outcome
        outcome.CopyFrom(folded)
        if outcome.verdict != settings_pb2.VERDICT_ACCEPTED:
            return outcome
        holders, is_enough = await self._relay.confirm(outcome.revision, deadline)
        outcome.held_by_daemons.extend(sorted(m.daemon for m in holders))
        data_centres = sorted({member.data_centre for member in holders})
        outcome.held_in_data_centres.extend(data_centres)
        if not is_enough:
            outcome.verdict = settings_pb2.VERDICT_UNDETERMINED
        return outcome

    async def _read_back(
        self, change_id: str, deadline: Deadline
    ) -> settings_pb2.ChangeOutcome | None:
        attempt = 0
        while change_id not in self._feed.tree.outcomes and not deadline.has_passed():
            try:
                await self._settings_log.read(READ_BACK_WAIT_MS)
                attempt = 0
            except LaburnumscaleError:
                await sleep_until_retry(attempt)
                attempt += 1
        return self._feed.tree.outcomes.get(change_id)

    async def _read_to_end(self, deadline: Deadline) -> None:
        while not deadline.has_passed():
            try:
                batch = await self._settings_log.read(0)
            except LaburnumscaleError:
                return
            if self._feed.tree.revision >= batch.next_offset:
                return


def _log_unreachable(change: settings_pb2.Change) -> settings_pb2.ChangeOutcome:
    return settings_pb2.ChangeOutcome(
        change_id=change.change_id,
        verdict=settings_pb2.VERDICT_REFUSED,
        reason=settings_pb2.REFUSAL_REASON_LOG_UNREACHABLE,
        author=change.author,
        written_at_unix_ms=change.written_at_unix_ms,
    )
