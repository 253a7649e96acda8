"""Call history checker.

Compares the outcomes reported to callers with the calls that the targets ran.
"""

from collections import Counter
from collections.abc import Iterable

import attrs

__all__ = ["CallRecord", "Violation", "check_history"]


@attrs.frozen
class CallRecord:
    """Outcome of one call as seen by its caller.

    :ivar content_id: unique id of the call.
    :ivar idempotent: whether the call may run more than once.
    :ivar outcome: ``answered``, ``not_run``, ``unknown``, ``broken`` for a connection
        that failed before the answer was complete, or ``not_sent`` for a connection
        that was refused.
    :ivar answer_id: content id in the answer, empty without an answer.
    """

    content_id: str
    idempotent: bool
    outcome: str
    answer_id: str = ""


@attrs.frozen
class Violation:
    """One violation of a delivery guarantee.

    :ivar guarantee: the violated guarantee.
    :ivar content_id: id of the call.
    """

    guarantee: str
    content_id: str


def check_history(
    calls: Iterable[CallRecord], ledger: Iterable[str]
) -> list[Violation]:
    """Return all violations of the delivery guarantees.

    :param calls: outcomes of all calls.
    :param ledger: content ids of all runs at all targets, one entry per run.
    """
    runs = Counter(ledger)
    violations = []
    for call in calls:
        count = runs.pop(call.content_id, 0)
        checks = [
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
            Violation(guarantee, call.content_id)
            for violated, guarantee in checks
            if violated
        )
    violations.extend(Violation("nobody sent it", content_id) for content_id in runs)
    return violations
