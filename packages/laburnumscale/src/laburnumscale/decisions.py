"""Decisions.

One log line for each call: what was decided, from which inputs, and how it ended.
"""

import time
from collections.abc import Callable

import attrs

from laburnumscale.callstate import AttemptNote, Call
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import Answered, Outcome, outcome_name, reason_name

__all__ = ["DecisionLog"]

#: Answered calls of which lines are written in a second; the others are counted.
ANSWERED_LINES_PER_S = 20
SERVER_ERROR = 500


@attrs.define
class DecisionLog:
    """Writes the lines of calls.

    A call that was refused, failed or is unknown always gets its line; of answered
    ones, each line says how many it stands for.

    :param revision: returns the revision of the settings in force.
    """

    metrics: Metrics
    revision: Callable[[], int]
    _left: float = ANSWERED_LINES_PER_S
    _filled_at_s: float = attrs.field(factory=time.monotonic)
    _skipped: int = 0

    def refused(self, request_id: str, outcome: Outcome, detail: str) -> None:
        """Log a request that did not become a call."""
        get_logger().info(
            "request refused",
            request_id=request_id,
            reason=reason_name(outcome),
            detail=detail,
            revision=self.revision(),
        )

    def ended(self, call: Call, outcome: Outcome, elapsed_ms: float) -> None:
        """Log the end of a call."""
        well = isinstance(outcome, Answered) and outcome.status < SERVER_ERROR
        if well and not self._may_write():
            self._skipped += 1
            return
        stands_for = 1
        if well:
            stands_for += self._skipped
            self._skipped = 0
        get_logger().info(
            "call ended",
            request_id=call.request_id,
            service=call.service,
            idempotent=call.idempotent,
            outcome=outcome_name(outcome),
            reason=reason_name(outcome),
            status=getattr(outcome, "status", None),
            elapsed_ms=round(elapsed_ms),
            left_ms=call.deadline.left_ms(),
            attempts=[_attempt_text(note) for note in call.notes],
            revision=self.revision(),
            stands_for=stands_for,
        )

    def _may_write(self) -> bool:
        now_s = time.monotonic()
        filled = self._left + (now_s - self._filled_at_s) * ANSWERED_LINES_PER_S
        self._left = min(ANSWERED_LINES_PER_S, filled)
        self._filled_at_s = now_s
        if self._left < 1:
            return False
        self._left -= 1
        return True


def _attempt_text(note: AttemptNote) -> str:
    return f"{note.endpoint} at {note.daemon}: {note.result} after {note.elapsed_ms} ms"
