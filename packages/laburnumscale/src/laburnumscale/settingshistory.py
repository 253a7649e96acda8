"""Settings history.

Builds the audit trail: replays the records that the log retains, and lists the state
of the edited places before and after each change.
"""

import asyncio

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.platformlog import LogClient, Record
from laburnumscale.settingschecks import parse_record
from laburnumscale.settingsfeed import SETTINGS_STREAM
from laburnumscale.settingstree import SettingsTree
from laburnumscale_schema import settings_pb2

__all__ = ["read_history"]


async def read_history(
    log: LogClient, tree: SettingsTree, place: str = "", limit: int = 0
) -> settings_pb2.History:
    """Return the changes in the log's retained records, accepted and refused ones.

    Recent changes whose records were not read are listed with their outcome only. If
    the log cannot be read to its end, the history is marked as incomplete; while the
    log is unavailable, it has only the outcomes of recent changes.

    :param tree: the current tree, for the outcomes of recent changes.
    :param place: return only changes that edit this place; empty for all.
    :param limit: maximum number of entries, the latest ones; 0 for all.
    """
    replay = _Replay(tree)
    try:
        await replay.read(log)
        complete = True
    except LaburnumscaleError:
        complete = False
    entries = replay.entries
    read_change_ids = {entry.outcome.change_id for entry in entries}
    outcome_only = [
        settings_pb2.AuditEntry(outcome=outcome)
        for change_id, outcome in tree.outcomes.items()
        if change_id not in read_change_ids
    ]
    entries = sorted(
        [*outcome_only, *entries], key=lambda entry: entry.outcome.revision
    )
    if place:
        entries = [entry for entry in entries if place in entry.outcome.places]
    return settings_pb2.History(entries=entries[-limit:], complete=complete)


class _Replay:
    """Replays the stream from its oldest retained record into a separate tree.

    The state of the places is known if the replay starts at the first record of the
    stream, or else as soon as it reaches a snapshot that covers all records before
    it. Entries before that point lack the state before the change, and also the
    verdict unless the daemon's tree still has the outcome.

    :param current_tree: the daemon's tree, for the outcomes of recent changes.
    """

    def __init__(self, current_tree: SettingsTree) -> None:
        self.entries: list[settings_pb2.AuditEntry] = []
        self._current_tree = current_tree
        self._tree = SettingsTree()
        self._state_is_known = False
        self._seen_change_ids: set[str] = set()

    async def read(self, log: LogClient) -> None:
        offset = 0
        while True:
            batch = await log.read(SETTINGS_STREAM, offset)
            if offset == 0:
                self._state_is_known = batch.oldest_offset == 0
            for record in batch.records:
                self._replay_record(record)
            if not batch.records:
                return
            offset = batch.records[-1].offset + 1
            if offset >= batch.next_offset:
                return
            await asyncio.sleep(0)

    def _replay_record(self, record: Record) -> None:
        revision = record.offset + 1
        try:
            parsed = parse_record(record.payload)
        except LaburnumscaleError:
            self._tree.skip_record(revision)
            return
        if parsed.WhichOneof("record") == "change":
            self._add_entry(revision, parsed.change)
            return
        if not self._state_is_known and parsed.snapshot.revision == record.offset:
            self._tree = SettingsTree()
            self._state_is_known = self._tree.restore(parsed.snapshot)
        self._tree.skip_record(revision)

    def _add_entry(self, revision: int, change: settings_pb2.Change) -> None:
        if change.change_id in self._seen_change_ids:
            self._tree.skip_record(revision)
            return
        self._seen_change_ids.add(change.change_id)
        before = {
            edit.place: self._tree.places.get(edit.place) for edit in change.edits
        }
        outcome = self._tree.apply_change(revision, change)
        recent_outcome = self._current_tree.outcomes.get(change.change_id)
        entry = settings_pb2.AuditEntry(outcome=recent_outcome or outcome)
        if recent_outcome is None and not self._state_is_known:
            entry.outcome.verdict = settings_pb2.VERDICT_UNSPECIFIED
        for edit in change.edits:
            audited = entry.edits.add(place=edit.place)
            state = before[edit.place] if self._state_is_known else None
            if state is not None:
                audited.before.CopyFrom(state)
            _set_after(audited, edit, revision)
        self.entries.append(entry)


def _set_after(
    audited: settings_pb2.AuditedEdit, edit: settings_pb2.Edit, revision: int
) -> None:
    kind = edit.WhichOneof("value")
    if kind == "removal":
        return
    audited.after.place = edit.place
    audited.after.revision = revision
    getattr(audited.after, kind).CopyFrom(getattr(edit, kind))
