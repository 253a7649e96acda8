"""Response memory.

Holds memory for the response to a call, in part before the call is run. A response
without room is not read on: its sender waits, since the flow control of the connection
holds it back.
"""

from laburnumscale.deadlines import Deadline
from laburnumscale.memory.budget import MemoryBudget, Purpose
from laburnumscale.memory.costs import (
    ENTRY_RESPONSE_BYTES,
    GUARD_RESPONSE_BYTES,
    WAITING_RESPONSE_BYTES,
    expected_answer_bytes,
)

__all__ = ["AnswerRoom", "TargetResponseRoom"]

#: Most answers are sent within milliseconds, and callers that take nothing for a second
#: are disconnected. A call that finds no room for so long is refused before it runs.
MAX_ADMISSION_WAIT_MS = 2000


class AnswerRoom:
    """The memory for the answer to one call at its entry.

    :param budget: memory of the daemon.
    :param deadline: deadline of the call.
    """

    def __init__(self, budget: MemoryBudget, deadline: Deadline) -> None:
        self._budget = budget
        self._deadline = deadline
        self._held_bytes: dict[Purpose, int] = {}

    async def admit(self, average_bytes: float) -> bool:
        """Hold memory for the answer before the call is run.

        :param average_bytes: average size of the answers of its route.
        :returns: whether there was room in time; otherwise the call must not run.
        """
        size_bytes = expected_answer_bytes(average_bytes)
        if not size_bytes:
            return True
        wait_ms = min(MAX_ADMISSION_WAIT_MS, self._deadline.left_ms())
        return await self._wait_for(
            Purpose.EXPECTED_ANSWERS, size_bytes, Deadline.after_ms(wait_ms)
        )

    async def extend(self) -> bool:
        """Hold what an answer of several messages takes, once there is room.

        :returns: whether there was room before the deadline, and until then for what
            has arrived of the answer.
        """
        expected_bytes = self._held_bytes.get(Purpose.EXPECTED_ANSWERS, 0)
        if self._reserve(Purpose.RESPONSES, ENTRY_RESPONSE_BYTES - expected_bytes):
            return True
        self._budget.on_shortage()
        waiting_bytes = max(0, WAITING_RESPONSE_BYTES - expected_bytes)
        if not self._reserve(Purpose.STREAMS, waiting_bytes):
            return False
        further_bytes = ENTRY_RESPONSE_BYTES - expected_bytes - waiting_bytes
        return await self._wait_for(Purpose.RESPONSES, further_bytes, self._deadline)

    def release(self) -> None:
        """Give everything back."""
        for purpose, size_bytes in self._held_bytes.items():
            self._budget.release(purpose, size_bytes)
        self._held_bytes.clear()

    def _reserve(self, purpose: Purpose, size_bytes: int) -> bool:
        has_room = self._budget.reserve(purpose, size_bytes)
        if has_room:
            self._held_bytes[purpose] = size_bytes
        return has_room

    async def _wait_for(
        self, purpose: Purpose, size_bytes: int, deadline: Deadline
    ) -> bool:
        has_room = await self._budget.wait_for_room(purpose, size_bytes, deadline)
        if has_room:
            self._held_bytes[purpose] = size_bytes
        return has_room


class TargetResponseRoom:
    """The memory for the response of a target, unless it is small.

    :param deadline: how long to wait for room.
    """

    def __init__(self, budget: MemoryBudget, deadline: Deadline) -> None:
        self._budget = budget
        self._deadline = deadline
        self._held_bytes = 0

    async def wait(self, size_bytes: int = GUARD_RESPONSE_BYTES) -> None:
        """Wait until there is room, and hold it.

        :param size_bytes: what is to be held; by default, for several messages.
        :raises TimeoutError: there was none before the deadline.
        """
        if not await self._budget.wait_for_room(
            Purpose.TARGET_RESPONSES, size_bytes, self._deadline
        ):
            raise TimeoutError
        self._held_bytes += size_bytes

    def release(self) -> None:
        """Give the memory back, if any is held."""
        if self._held_bytes:
            self._budget.release(Purpose.TARGET_RESPONSES, self._held_bytes)
            self._held_bytes = 0
