"""Attempt table.

Records the attempts that entries (the daemons of callers) have sent to a guard, so
that late or duplicate messages are rejected and the outcome of every attempt can be
queried.
"""

from collections import OrderedDict
from collections.abc import Container
from enum import Enum, auto

import attrs

from laburnumscale.attemptruns import AttemptRun
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AttemptSentTwice
from laburnumscale.failurereplies import AttemptRefused, refused_reply, unknown_reply
from laburnumscale_schema import peer_pb2

__all__ = [
    "MAX_CACHED_REPLY_BYTES",
    "MAX_REPEATABLE_REPLY_BYTES",
    "Attempt",
    "AttemptState",
    "AttemptTable",
]

MAX_CACHED_REPLY_BYTES = 1024 * 1024
#: For replies that only a repeat of their attempt needs, some round trips later:
#: refusals, and responses to calls that may run again.
MAX_REPEATABLE_REPLY_BYTES = 256 * 1024
MAX_ATTEMPTS_PER_ENTRY = 4096
MAX_ENTRIES = 10_000
OBJECT_OVERHEAD_BYTES = 512


class AttemptState(Enum):
    """The state of an attempt.

    ``WAITING``: not sent to the target yet, can still be fenced. ``SENT``: sent to the
    target, may have run. ``ENDED``: finished, with or without a reply. ``FENCED``:
    never sent to the target.
    """

    WAITING = auto()
    SENT = auto()
    ENDED = auto()
    FENCED = auto()


@attrs.define(eq=False)
class Attempt:
    """One attempt received by a guard.

    :ivar state: progress of the attempt.
    :ivar reply: the refusal or the cached response of an attempt that has ended.
    :ivar run: the run that repeats of the attempt attach to; None if it has ended, or
        if the attempt ends with its stream.
    :ivar is_cancelled: the entry has ended the attempt.
    """

    state: AttemptState = AttemptState.WAITING
    reply: peer_pb2.CallReply | None = None
    run: AttemptRun | None = None
    is_cancelled: bool = False

    @property
    def is_sent(self) -> bool:
        """Return whether the request may have reached the target."""
        return self.state in (AttemptState.SENT, AttemptState.ENDED)

    def mark_sent(self, deadline: Deadline) -> None:
        """Record that the request is being sent to the target.

        Callers must not await anything between this call and the write to the
        connection.

        :param deadline: time until which the request may be sent.
        :raises AttemptRefused: the attempt was fenced, or the deadline has passed.
        :raises AttemptSentTwice: the attempt was already sent.
        """
        if self.state is AttemptState.FENCED:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        if self.state is not AttemptState.WAITING:
            raise AttemptSentTwice(self.state.name)
        if deadline.has_passed():
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DEADLINE)
        self.state = AttemptState.SENT

    def fence(self) -> None:
        """Prevent the attempt from being sent, unless it was already sent."""
        if self.state is AttemptState.WAITING:
            self.state = AttemptState.FENCED

    def cancel(self) -> None:
        """End the attempt at the request of its entry."""
        self.fence()
        self.is_cancelled = True
        if self.run is not None:
            self.run.cancel()

    def repeat_reply(self) -> peer_pb2.CallReply:
        """Return the reply to a repeat that cannot attach to a run."""
        if self.state is AttemptState.FENCED:
            return self.reply or refused_reply(peer_pb2.NOT_RUN_REASON_FENCED)
        if self.state is not AttemptState.ENDED:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_FENCED)
        return self.reply or unknown_reply(peer_pb2.UNKNOWN_REASON_ANSWER_NOT_KEPT)

    def settle(self) -> peer_pb2.SettleReply:
        """Return the outcome of the attempt; fence it if it is still waiting."""
        self.fence()
        if self.state is AttemptState.SENT:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_RUNNING)
        if self.state is AttemptState.FENCED:
            fenced = refused_reply(peer_pb2.NOT_RUN_REASON_FENCED)
            return _not_run_verdict(self.reply or fenced)
        if self.reply is None:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_STARTED)
        if self.reply.HasField("not_run"):
            return _not_run_verdict(self.reply)
        return peer_pb2.SettleReply(
            verdict=peer_pb2.SETTLE_VERDICT_ANSWERED, reply=self.reply
        )


def _not_run_verdict(reply: peer_pb2.CallReply) -> peer_pb2.SettleReply:
    return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_NOT_RUN, reply=reply)


def _reply_size_bytes(reply: peer_pb2.CallReply) -> int:
    return reply.ByteSize() + OBJECT_OVERHEAD_BYTES


class _ReplyStore:
    """The replies of attempts that have ended, up to a total size.

    :ivar size_bytes: total size of the replies.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.size_bytes = 0
        self._limit_bytes = limit_bytes
        self._attempts: OrderedDict[int, Attempt] = OrderedDict()

    def add(self, attempt: Attempt, reply: peer_pb2.CallReply) -> None:
        """Store the reply of an attempt, and remove the oldest above the limit."""
        attempt.reply = reply
        self._attempts[id(attempt)] = attempt
        self.size_bytes += _reply_size_bytes(reply)
        while self.size_bytes > self._limit_bytes:
            self.remove(next(iter(self._attempts.values())))

    def remove(self, attempt: Attempt) -> None:
        """Remove the reply of an attempt, if it is stored here."""
        if self._attempts.pop(id(attempt), None) is not None:
            self.size_bytes -= _reply_size_bytes(attempt.reply)
            attempt.reply = None


@attrs.define(eq=False)
class _EntryRecord:
    """The attempts of one incarnation of an entry.

    :ivar incarnation: incarnation number of the entry's process.
    :ivar low_water: low-water mark; lower sequence numbers are treated as ended.
    :ivar entry_mark: the mark that the entry has given; the other one may be higher.
    :ivar attempts: recorded attempts by sequence number.
    """

    incarnation: int
    low_water: int = 0
    entry_mark: int = 0
    attempts: dict[int, Attempt] = attrs.field(factory=dict)

    def advance_low_water(self, sequence: int) -> list[Attempt]:
        """Advance the low-water mark and remove the attempts below it.

        Attempts already sent to a target continue; waiting ones are fenced.

        :param sequence: the new mark; a mark that is not higher has no effect.
        :returns: the removed attempts.
        """
        if sequence <= self.entry_mark:
            return []
        self.entry_mark = sequence
        self.low_water = max(self.low_water, sequence)
        return self._remove_below(sequence)

    def _remove_below(self, sequence: int, keep_runs: bool = False) -> list[Attempt]:
        numbers = [
            number
            for number, attempt in self.attempts.items()
            if number < sequence and not (keep_runs and attempt.run is not None)
        ]
        removed = [self.attempts.pop(number) for number in numbers]
        for attempt in removed:
            attempt.fence()
        return removed

    def evict_older_half(self) -> None:
        """Advance the low-water mark past the older half of the attempts.

        Runs in progress stay on record, so that their entry can end them.
        """
        numbers = sorted(self.attempts)
        self.low_water = max(self.low_water, numbers[len(numbers) // 2])
        self._remove_below(self.low_water, keep_runs=True)

    def prune_if_idle(self) -> None:
        """Remove all attempts but keep the low-water mark, if none is in flight."""
        in_flight = (AttemptState.WAITING, AttemptState.SENT)
        if self.attempts and not any(
            a.state in in_flight for a in self.attempts.values()
        ):
            self.advance_low_water(max(self.attempts) + 1)


class AttemptTable:
    """The attempts that a guard has received, in bounded memory.

    :param guard_incarnation: incarnation of this guard, which attempts must name.
    """

    def __init__(self, guard_incarnation: int) -> None:
        self._guard_incarnation = guard_incarnation
        self._entries: OrderedDict[str, _EntryRecord] = OrderedDict()
        self._replies = _ReplyStore(MAX_CACHED_REPLY_BYTES)
        self._repeatable_replies = _ReplyStore(MAX_REPEATABLE_REPLY_BYTES)

    @property
    def cached_reply_bytes(self) -> int:
        """Return the total size in bytes of the stored replies."""
        return self._replies.size_bytes + self._repeatable_replies.size_bytes

    def admit(self, head: peer_pb2.CallHead) -> Attempt:
        """Register a new attempt.

        :raises AttemptRefused: the attempt is late or a duplicate, or names another
            incarnation of this guard.
        """
        attempt_id = head.attempt
        if attempt_id.guard_incarnation != self._guard_incarnation:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        record = self._entry_record(attempt_id)
        if attempt_id.entry_incarnation < record.incarnation:
            raise AttemptRefused(unknown_reply(peer_pb2.UNKNOWN_REASON_FENCED))
        self._end_attempts(record.advance_low_water(head.low_water_sequence))
        known = record.attempts.get(attempt_id.sequence)
        if known is not None and known.state is AttemptState.FENCED:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        if known is not None or attempt_id.sequence < record.low_water:
            raise AttemptRefused(unknown_reply(peer_pb2.UNKNOWN_REASON_FENCED))
        return self._add_attempt(record, attempt_id.sequence)

    def find(self, attempt_id: peer_pb2.AttemptId) -> Attempt | None:
        """Return the record of an attempt, or None if there is none."""
        record = self._entries.get(attempt_id.entry)
        if (
            record is None
            or attempt_id.guard_incarnation != self._guard_incarnation
            or attempt_id.entry_incarnation != record.incarnation
        ):
            return None
        return record.attempts.get(attempt_id.sequence)

    def cancel(self, attempt_id: peer_pb2.AttemptId) -> None:
        """End an attempt at the request of its entry.

        An attempt that has not arrived yet is registered as fenced.
        """
        self.settle(attempt_id)
        attempt = self.find(attempt_id)
        if attempt is not None:
            self._end_attempts([attempt])

    def settle(self, attempt_id: peer_pb2.AttemptId) -> peer_pb2.SettleReply:
        """Return the outcome of an attempt, and fence it if it was not sent.

        An attempt that has not arrived yet is registered as fenced.
        """
        if attempt_id.guard_incarnation != self._guard_incarnation:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_GUARD_GONE)
        record = self._entry_record(attempt_id)
        if attempt_id.entry_incarnation < record.incarnation:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_STARTED)
        attempt = record.attempts.get(attempt_id.sequence)
        if attempt is None:
            if attempt_id.sequence < record.low_water:
                return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_STARTED)
            attempt = self._add_attempt(record, attempt_id.sequence)
        return attempt.settle()

    def end(
        self,
        attempt: Attempt,
        reply: peer_pb2.CallReply | None,
        may_run_again: bool = False,
    ) -> None:
        """Record the end of an attempt and store its reply.

        :param reply: its refusal or small complete response; None if it has neither.
        :param may_run_again: the entry can do without the reply.
        """
        attempt.fence()
        if attempt.state is AttemptState.SENT:
            attempt.state = AttemptState.ENDED
        is_kept = reply is not None and not reply.HasField("unknown")
        if not is_kept or attempt.reply is not None:
            return
        is_refusal = attempt.state is AttemptState.FENCED
        store = self._repeatable_replies
        if not (is_refusal or may_run_again):
            store = self._replies
        store.add(attempt, reply)

    def end_run(self, attempt: Attempt) -> None:
        """Record that the run of an attempt has ended, with or without a reply."""
        attempt.run = None
        self.end(attempt, None)

    def prune_departed_entries(self, present: Container[str]) -> None:
        """Remove the attempts of departed entries, keeping their low-water marks.

        :param present: names of the daemons that are still members.
        """
        for entry, record in self._entries.items():
            if entry not in present:
                record.prune_if_idle()

    def attempt_count(self) -> int:
        """Return the number of recorded attempts."""
        return sum(len(record.attempts) for record in self._entries.values())

    def _entry_record(self, attempt_id: peer_pb2.AttemptId) -> _EntryRecord:
        record = self._entries.get(attempt_id.entry)
        if record is None or record.incarnation < attempt_id.entry_incarnation:
            if record is not None:
                last_sequence = max(record.attempts, default=0)
                self._end_attempts(record.advance_low_water(last_sequence + 1))
            record = _EntryRecord(attempt_id.entry_incarnation)
            self._entries[attempt_id.entry] = record
        self._entries.move_to_end(attempt_id.entry)
        if len(self._entries) > MAX_ENTRIES:
            _, oldest = self._entries.popitem(last=False)
            oldest.advance_low_water(max(oldest.attempts, default=0) + 1)
        return record

    def _add_attempt(self, record: _EntryRecord, sequence: int) -> Attempt:
        attempt = Attempt()
        record.attempts[sequence] = attempt
        if len(record.attempts) > MAX_ATTEMPTS_PER_ENTRY:
            record.evict_older_half()
        return attempt

    def _end_attempts(self, attempts: list[Attempt]) -> None:
        """End attempts whose outcome their entry no longer needs."""
        for attempt in attempts:
            attempt.cancel()
            self._replies.remove(attempt)
            self._repeatable_replies.remove(attempt)
