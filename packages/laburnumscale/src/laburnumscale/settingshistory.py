"""Settings history.

The audit trail: folds the kept records of the log again, and notes what each change
found and left.
"""

import asyncio

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.platformlog import Log, Record
from laburnumscale.settingschecks import parse_record
from laburnumscale.settingsfeed import STREAM
from laburnumscale.tree import SettingsTree
from laburnumscale_schema import settings_pb2

__all__ = ["read_history"]


async def read_history(
    log: Log, tree: SettingsTree, place: str = "", limit: int = 0
) -> settings_pb2.History:
    """Return every change of the log's kept records, winners and losers.

    While the log is away, only the verdicts of recent changes are returned, and the
    history is not complete.

    :param tree: the present tree, for the verdicts of recent changes.
    :param place: only the changes that edit this place, if not empty.
    :param limit: only the last ``limit`` entries; 0 for all.
    """
    scan = _Scan(tree)
    try:
        await scan.read(log)
        complete = True
    except LaburnumscaleError:
        complete = False
    entries = scan.entries
    found = {entry.outcome.change_id for entry in entries}
    older = [
        settings_pb2.AuditEntry(outcome=outcome)
        for change_id, outcome in tree.outcomes.items()
        if change_id not in found
    ]
    entries = sorted([*older, *entries], key=lambda entry: entry.outcome.revision)
    if place:
        entries = [entry for entry in entries if place in entry.outcome.places]
    return settings_pb2.History(entries=entries[-limit:], complete=complete)


class _Scan:
    """Folds the stream from its oldest kept record into a tree of its own."""

    def __init__(self, present: SettingsTree) -> None:
        self.entries: list[settings_pb2.AuditEntry] = []
        self._present = present
        self._tree = SettingsTree()
        self._has_states = False
        self._noted: set[str] = set()

    async def read(self, log: Log) -> None:
        offset = 0
        while True:
            batch = await log.read(STREAM, offset)
            if offset == 0:
                self._has_states = batch.oldest_offset == 0
            for record in batch.records:
                self._take(record)
            if not batch.records:
                return
            offset = batch.records[-1].offset + 1
            if offset >= batch.next_offset:
                return
            await asyncio.sleep(0)

    def _take(self, record: Record) -> None:
        revision = record.offset + 1
        try:
            parsed = parse_record(record.payload)
        except LaburnumscaleError:
            self._tree.skip(revision)
            return
        if parsed.WhichOneof("record") == "change":
            self._note(revision, parsed.change)
            return
        if not self._has_states and parsed.snapshot.revision == record.offset:
            self._tree = SettingsTree()
            self._has_states = self._tree.restore(parsed.snapshot)
        self._tree.skip(revision)

    def _note(self, revision: int, change: settings_pb2.Change) -> None:
        if change.change_id in self._noted:
            self._tree.skip(revision)
            return
        self._noted.add(change.change_id)
        before = {
            edit.place: self._tree.places.get(edit.place) for edit in change.edits
        }
        outcome = self._tree.fold(revision, change)
        known = self._present.outcomes.get(change.change_id)
        entry = settings_pb2.AuditEntry(outcome=known or outcome)
        if known is None and not self._has_states:
            entry.outcome.verdict = settings_pb2.VERDICT_UNSPECIFIED
        for edit in change.edits:
            audited = entry.edits.add(place=edit.place)
            state = before[edit.place] if self._has_states else None
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
