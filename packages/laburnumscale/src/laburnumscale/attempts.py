"""Attempts.

What a guard remembers of the attempts that entries sent to it, so that no late or
doubled message runs and every attempt can be settled.
"""

from collections import OrderedDict
from collections.abc import Container
from enum import Enum, auto

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.errors import AttemptSentTwice
from laburnumscale.replies import AttemptRefused, refused, unknown
from laburnumscale_schema import peer_pb2

__all__ = ["Attempt", "AttemptState", "AttemptTable"]

KEPT_ANSWERS_BYTES = 1024 * 1024
RECORDS_PER_ENTRY = 4096
ENTRIES = 10_000
OBJECT_OVERHEAD_BYTES = 512


class AttemptState(Enum):
    """How far an attempt has come.

    ``WAITING`` may still be fenced; ``SENT`` may have run; ``ENDED`` has a reply or
    ended without one; ``FENCED`` never runs.
    """

    WAITING = auto()
    SENT = auto()
    ENDED = auto()
    FENCED = auto()


@attrs.define(eq=False)
class Attempt:
    """One attempt at a guard.

    :ivar reply: the refusal or the kept answer of an attempt that has ended.
    """

    state: AttemptState = AttemptState.WAITING
    reply: peer_pb2.CallReply | None = None

    def mark_sent(self, deadline: Deadline) -> None:
        """Note that the request goes to the target now.

        Nothing may be awaited between this and the write to the connection.

        :raises AttemptRefused: it was fenced, or its deadline has passed.
        :raises AttemptSentTwice: it was sent before.
        """
        if self.state is AttemptState.FENCED:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        if self.state is not AttemptState.WAITING:
            raise AttemptSentTwice(self.state.name)
        if deadline.is_over():
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DEADLINE)
        self.state = AttemptState.SENT

    def fence(self) -> None:
        """Keep an attempt that was not sent from ever being sent."""
        if self.state is AttemptState.WAITING:
            self.state = AttemptState.FENCED

    def verdict(self) -> peer_pb2.SettleReply:
        """Return what became of the attempt; one that waits is fenced."""
        self.fence()
        if self.state is AttemptState.SENT:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_RUNNING)
        if self.state is AttemptState.FENCED:
            return _not_run(refused(peer_pb2.NOT_RUN_REASON_FENCED))
        if self.reply is None:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_STARTED)
        if self.reply.HasField("not_run"):
            return _not_run(self.reply)
        return peer_pb2.SettleReply(
            verdict=peer_pb2.SETTLE_VERDICT_ANSWERED, reply=self.reply
        )


def _not_run(reply: peer_pb2.CallReply) -> peer_pb2.SettleReply:
    return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_NOT_RUN, reply=reply)


def _kept_size(reply: peer_pb2.CallReply) -> int:
    return reply.ByteSize() + OBJECT_OVERHEAD_BYTES


@attrs.define(eq=False)
class _EntryRecord:
    """The attempts of one incarnation of an entry.

    :ivar low_water: every sequence below it is over.
    """

    incarnation: int
    low_water: int = 0
    attempts: dict[int, Attempt] = attrs.field(factory=dict)

    def raise_low_water(self, sequence: int) -> None:
        """Forget the attempts below a sequence; those in flight go on."""
        if sequence <= self.low_water:
            return
        self.low_water = sequence
        for number in [n for n in self.attempts if n < sequence]:
            self.attempts.pop(number).fence()

    def forget_oldest(self) -> None:
        """Raise the low-water mark over the older half of the attempts."""
        numbers = sorted(self.attempts)
        self.raise_low_water(numbers[len(numbers) // 2])

    def forget_ended(self) -> None:
        """Keep no more than the low-water mark, if nothing is in flight."""
        live = (AttemptState.WAITING, AttemptState.SENT)
        if self.attempts and not any(a.state in live for a in self.attempts.values()):
            self.raise_low_water(max(self.attempts) + 1)


class AttemptTable:
    """All attempts that a guard remembers, in bounded memory.

    :param guard_incarnation: the incarnation that attempts must be aimed at.
    :ivar kept_bytes: size of the answers that are kept for settling.
    """

    def __init__(self, guard_incarnation: int) -> None:
        self._guard_incarnation = guard_incarnation
        self._entries: OrderedDict[str, _EntryRecord] = OrderedDict()
        self._kept: OrderedDict[int, Attempt] = OrderedDict()
        self.kept_bytes = 0

    def admit(self, head: peer_pb2.CallHead) -> Attempt:
        """Take in a new attempt.

        :raises AttemptRefused: it is late, doubled, or aimed at another incarnation.
        """
        number = head.attempt
        if number.guard_incarnation != self._guard_incarnation:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        record = self._record(number)
        if number.entry_incarnation < record.incarnation:
            raise AttemptRefused(unknown(peer_pb2.UNKNOWN_REASON_FENCED))
        record.raise_low_water(head.low_water_sequence)
        known = record.attempts.get(number.sequence)
        if known is not None and known.state is AttemptState.FENCED:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_FENCED)
        if known is not None or number.sequence < record.low_water:
            raise AttemptRefused(unknown(peer_pb2.UNKNOWN_REASON_FENCED))
        return self._add(record, number.sequence)

    def settle(self, number: peer_pb2.AttemptId) -> peer_pb2.SettleReply:
        """Return what became of an attempt, and fence it if it was not sent."""
        if number.guard_incarnation != self._guard_incarnation:
            return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_GUARD_GONE)
        record = self._record(number)
        attempt = record.attempts.get(number.sequence)
        if attempt is None:
            over = number.sequence < record.low_water
            if over or number.entry_incarnation < record.incarnation:
                return peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_STARTED)
            attempt = self._add(record, number.sequence)
        return attempt.verdict()

    def end(self, attempt: Attempt, reply: peer_pb2.CallReply | None) -> None:
        """Note that nothing more happens to an attempt.

        :param reply: its refusal or small whole answer; None if it has neither.
        """
        attempt.fence()
        if attempt.state is not AttemptState.SENT:
            return
        attempt.state = AttemptState.ENDED
        if reply is None or reply.HasField("unknown"):
            return
        attempt.reply = reply
        self._kept[id(attempt)] = attempt
        self.kept_bytes += _kept_size(reply)
        while self.kept_bytes > KEPT_ANSWERS_BYTES:
            self._drop_answer(next(iter(self._kept.values())))

    def forget_gone(self, present: Container[str]) -> None:
        """Keep only the low-water marks of entries that are not present."""
        for entry, record in self._entries.items():
            if entry not in present:
                record.forget_ended()

    def remembered(self) -> int:
        """Return how many attempts are remembered one by one."""
        return sum(len(record.attempts) for record in self._entries.values())

    def _record(self, number: peer_pb2.AttemptId) -> _EntryRecord:
        record = self._entries.get(number.entry)
        if record is None or record.incarnation < number.entry_incarnation:
            if record is not None:
                record.raise_low_water(max(record.attempts, default=0) + 1)
            record = _EntryRecord(number.entry_incarnation)
            self._entries[number.entry] = record
        self._entries.move_to_end(number.entry)
        if len(self._entries) > ENTRIES:
            _, oldest = self._entries.popitem(last=False)
            oldest.raise_low_water(max(oldest.attempts, default=0) + 1)
        return record

    def _add(self, record: _EntryRecord, sequence: int) -> Attempt:
        attempt = Attempt()
        record.attempts[sequence] = attempt
        if len(record.attempts) > RECORDS_PER_ENTRY:
            record.forget_oldest()
        return attempt

    def _drop_answer(self, attempt: Attempt) -> None:
        self._kept.pop(id(attempt))
        self.kept_bytes -= _kept_size(attempt.reply)
        attempt.reply = None
