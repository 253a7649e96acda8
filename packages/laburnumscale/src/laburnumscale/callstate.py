"""Call state.

One call of a caller, its attempts so far, and what may still be tried.
"""

from collections.abc import AsyncIterator

import attrs
from sanic import Request

from laburnumscale.deadlines import Deadline
from laburnumscale.outcomes import NotRun, Outcome, Unknown
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptNote", "Call", "is_free"]

REPLY_SHARE = 0.6
#: Until when an attempt may be sent: one that is sent later would be cut off at its
#: target, to no avail.
SEND_SHARE = 0.5
FREE_ATTEMPTS = 8
#: Endpoints that are asked for a free slot before the call waits for one: with two
#: thirds of the slots busy, fewer than one call in fifty finds none in two.
BUSY_ATTEMPTS = 2
#: Queues that are too long before the call is refused. The entry chooses the shortest
#: that it knows of, so a third one is hardly shorter.
QUEUE_ATTEMPTS = 2
LEAST_RETRY_MS = 50  # two hops and the connections, and some work at the target
#: Refusals that cost the target nothing, so that a retry needs no budget.
FREE_REASONS = frozenset(
    {
        peer_pb2.NOT_RUN_REASON_TARGET_GONE,
        peer_pb2.NOT_RUN_REASON_DRAINING,
        peer_pb2.NOT_RUN_REASON_EJECTED,
        peer_pb2.NOT_RUN_REASON_NOT_CONNECTED,
        peer_pb2.NOT_RUN_REASON_FENCED,
        peer_pb2.NOT_RUN_REASON_STALE_SETTINGS,
        peer_pb2.NOT_RUN_REASON_STARTING,
        peer_pb2.NOT_RUN_REASON_MISDIRECTED,
        peer_pb2.NOT_RUN_REASON_OVERLOADED,
    }
)


@attrs.frozen
class AttemptNote:
    """How one attempt ended, for the log."""

    endpoint: str
    daemon: str
    result: str
    elapsed_ms: int


@attrs.define(eq=False)
class Call:
    """One call of a caller and its attempts so far.

    :ivar priority: rank of the call when slots are short; 0 goes first.
    :ivar objective: until when an answer is worth most to the caller.
    :ivar tried: names of the endpoints that were tried.
    :ivar busy: the ones among them that had no free slot.
    :ivar retry_reserved: the budget has paid for the next attempt already.
    :ivar waits: the next attempt waits for a slot.
    :ivar full_queues: attempts that would have waited for too long.
    :ivar paid_attempts: attempts that count towards the limit.
    :ivar free_attempts: attempts refused for one of ``FREE_REASONS``.
    :ivar lost: the last attempt that may have run.
    :ivar answer_started: the caller has got the first part of an answer.
    :ivar notes: the attempts so far, for the log.
    """

    request: Request
    request_id: str
    service: str
    path_and_query: str
    settings: EffectiveSettings
    idempotent: bool
    deadline: Deadline
    body: bytes | AsyncIterator[bytes]
    priority: int = 0
    objective: Deadline | None = None
    tried: set[str] = attrs.field(factory=set)
    paid_attempts: int = 0
    free_attempts: int = 0
    lost: Unknown | None = None
    answer_started: bool = False
    notes: list[AttemptNote] = attrs.field(factory=list)
    retry_reserved: bool = False
    busy: set[str] = attrs.field(factory=set)
    waits: bool = False
    full_queues: int = 0

    @property
    def replayable(self) -> bool:
        """Tell whether the body can be sent again."""
        return isinstance(self.body, bytes)

    @property
    def runs_once(self) -> bool:
        """Tell whether the call may run no more than once."""
        return not (self.idempotent and self.replayable)

    def objective_left_ms(self) -> int:
        """Return the time left of the objective as guards are told; 0 for none.

        Once it is over, 1 remains: the call takes a free slot, but waits for none.
        """
        if self.objective is None:
            return 0
        return max(1, self.objective.left_ms())

    def send_deadline(self) -> Deadline:
        """Return until when the next attempt may be sent to its target."""
        return Deadline.after_ms(self.deadline.left_ms() * SEND_SHARE)

    def reply_deadline(self) -> Deadline:
        """Return the end of the wait for the first reply to the next attempt.

        It leaves time to settle the attempt, or for the attempts that are left. The
        time in a queue does not count: a call that is given up there has lost its
        place, and one that has just got its slot has wasted it.
        """
        left_ms = self.deadline.left_ms()
        if self.runs_once:
            return Deadline.after_ms(left_ms * REPLY_SHARE)
        queue_ms = left_ms * SEND_SHARE if self.waits else 0
        attempts_left = self.settings.attempt_limit - self.paid_attempts
        reply_ms = (left_ms - queue_ms) / max(1, attempts_left)
        return Deadline.after_ms(queue_ms + reply_ms)

    def wait_from_now_on(self) -> bool:
        """Let the next attempts wait for slots, also at endpoints that had none free.

        :returns: whether that is new.
        """
        if self.waits or not self.busy:
            return False
        self.waits = True
        self.tried -= self.busy
        return True

    def note(self, outcome: Outcome, endpoint: str) -> None:
        """Note how an attempt at an endpoint ended."""
        if _is_overloaded(outcome):
            self._note_overloaded(endpoint)
        if isinstance(outcome, Unknown):
            self.lost = outcome
        if is_free(outcome):
            self.free_attempts += 1
        else:
            self.paid_attempts += 1

    def _note_overloaded(self, endpoint: str) -> None:
        if self.waits:
            self.full_queues += 1
            return
        self.busy.add(endpoint)
        if len(self.busy) >= BUSY_ATTEMPTS:
            self.wait_from_now_on()

    def may_retry_answer(self) -> bool:
        """Tell whether a failure that the target answered may be tried elsewhere.

        The failure is delivered if no other answer comes.
        """
        if not (self.idempotent and self.replayable):
            return False
        attempts_left = self.settings.attempt_limit - self.paid_attempts - 1
        return attempts_left > 0 and self.deadline.left_ms() > LEAST_RETRY_MS

    def may_retry(self, outcome: Outcome) -> bool:
        """Tell whether another attempt is safe and within the limits."""
        if self.answer_started or not self.replayable or self.deadline.is_over():
            return False
        if isinstance(outcome, Unknown) and not self.idempotent:
            return False
        if self.free_attempts >= FREE_ATTEMPTS:
            return False
        if self.full_queues >= QUEUE_ATTEMPTS:
            return False
        return self.paid_attempts < self.settings.attempt_limit


def is_free(outcome: Outcome) -> bool:
    """Tell whether an attempt cost its target nothing."""
    return isinstance(outcome, NotRun) and outcome.reason in FREE_REASONS


def _is_overloaded(outcome: Outcome) -> bool:
    overloaded = peer_pb2.NOT_RUN_REASON_OVERLOADED
    return isinstance(outcome, NotRun) and outcome.reason == overloaded
