"""Untaken answers.

Tracks the runs that ended while no stream was attached to take their answers. It
answers the load of connections that are lost while a guard drains.
"""

import asyncio

from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline

__all__ = ["UntakenAnswers"]

#: Time in which an entry that has lost its connection repeats an attempt.
REPEAT_TIMEOUT_MS = 1_000
POLL_INTERVAL_S = 0.02


class UntakenAnswers:
    """The attempts whose entries may still repeat them to get their answers."""

    def __init__(self) -> None:
        self._deadlines: dict[Attempt, Deadline] = {}

    def add(self, attempt: Attempt) -> None:
        """Record that a run has ended while no stream took its answer."""
        self._remove_settled()
        self._deadlines[attempt] = Deadline.after_ms(REPEAT_TIMEOUT_MS)

    def remove(self, attempt: Attempt) -> None:
        """Record that an attempt was repeated."""
        self._deadlines.pop(attempt, None)

    async def wait_until_taken(self, deadline: Deadline) -> None:
        """Wait until no entry is expected to repeat an attempt."""
        self._remove_settled()
        while self._deadlines and not deadline.has_passed():
            await asyncio.sleep(POLL_INTERVAL_S)
            self._remove_settled()

    def _remove_settled(self) -> None:
        """Remove the attempts that were ended, or not repeated in time."""
        settled = [
            attempt
            for attempt, deadline in self._deadlines.items()
            if attempt.is_cancelled or deadline.has_passed()
        ]
        for attempt in settled:
            del self._deadlines[attempt]
