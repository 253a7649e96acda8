"""Decisions.

One log line for each call: what was decided, from which inputs, and how it ended.
"""

from collections.abc import Callable

import attrs

from laburnumscale.callstate import Call
from laburnumscale.linerate import LineRate
from laburnumscale.logs import get_logger
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

    revision: Callable[[], int]
    _answered_rate: LineRate = attrs.field(
        factory=lambda: LineRate(ANSWERED_LINES_PER_S, ANSWERED_LINES_PER_S)
    )
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
        if well and not self._answered_rate.take():
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
            attempts=[attrs.asdict(note) for note in call.notes],
            revision=self.revision(),
            stands_for=stands_for,
        )
