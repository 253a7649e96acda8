"""History checker.

Checks what callers were told against what the targets ran.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

__all__ = ["CallRecord", "Violation", "check_history"]


@attrs.frozen
class CallRecord:
    """What one caller was told.

    :ivar outcome: ``answered``, ``not_run``, ``unknown``, ``broken`` for a
        connection that failed before the whole answer was there, or ``not_sent`` for
        one that was refused.
    :ivar answer_id: content id in the answer.
    """

    content_id: str
    idempotent: bool
    outcome: str
    answer_id: str = ""


@attrs.frozen
class Violation:
    """A promise that the history breaks."""

    promise: str
    content_id: str


def check_history(
    calls: Iterable[CallRecord], ledger: Iterable[str]
) -> list[Violation]:
    """Return every violation.

    :param ledger: content ids of all runs at all targets.
    """
    runs = Counter(ledger)
    violations = []
    for call in calls:
        count = runs.pop(call.content_id, 0)
        broken = [
            (not call.idempotent and count > 1, "at most once"),
            (call.outcome == "not_run" and count > 0, "not run means not run"),
            (
                call.outcome == "not_sent" and not call.idempotent and count > 0,
                "a refused connection sends nothing",
            ),
            (call.outcome == "answered" and count == 0, "an answer means a run"),
            (
                call.outcome == "answered" and call.answer_id != call.content_id,
                "the caller's own answer",
            ),
        ]
        violations.extend(
            Violation(promise, call.content_id) for failed, promise in broken if failed
        )
    violations.extend(Violation("nobody sent it", content_id) for content_id in runs)
    return violations
