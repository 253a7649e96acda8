"""Response memory.

Holds memory for a large response while it is forwarded. One without room is not read
on: its sender waits, since the flow control of the connection holds it back.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.deadlines import Deadline
from laburnumscale.memory.budget import MemoryBudget, Purpose
from laburnumscale.memory.costs import (
    ENTRY_RESPONSE_BYTES,
    GUARD_RESPONSE_BYTES,
    WAITING_RESPONSE_BYTES,
)

__all__ = ["TargetResponseRoom", "hold_response_memory"]


@asynccontextmanager
async def hold_response_memory(
    budget: MemoryBudget, deadline: Deadline
) -> AsyncIterator[bool]:
    """Hold memory for a response that is forwarded to its caller.

    :param deadline: how long to wait for room.
    :yields: whether there was room.
    """
    if not await _reserve_response(budget, deadline):
        yield False
        return
    try:
        yield True
    finally:
        budget.release(Purpose.RESPONSES, ENTRY_RESPONSE_BYTES)


async def _reserve_response(budget: MemoryBudget, deadline: Deadline) -> bool:
    if budget.reserve(Purpose.RESPONSES, ENTRY_RESPONSE_BYTES):
        return True
    if not budget.reserve(Purpose.STREAMS, WAITING_RESPONSE_BYTES):
        return False
    try:
        return await budget.wait_for_room(
            Purpose.RESPONSES, ENTRY_RESPONSE_BYTES, deadline
        )
    finally:
        budget.release(Purpose.STREAMS, WAITING_RESPONSE_BYTES)


class TargetResponseRoom:
    """The memory for the response of a target, if it turns out to be large.

    :param deadline: how long to wait for room.
    """

    def __init__(self, budget: MemoryBudget, deadline: Deadline) -> None:
        self._budget = budget
        self._deadline = deadline
        self._is_held = False

    async def wait(self) -> None:
        """Wait until there is room, and hold it.

        :raises TimeoutError: there was none before the deadline.
        """
        self._is_held = await self._budget.wait_for_room(
            Purpose.TARGET_RESPONSES, GUARD_RESPONSE_BYTES, self._deadline
        )
        if not self._is_held:
            raise TimeoutError

    def release(self) -> None:
        """Give the memory back, if any is held."""
        if self._is_held:
            self._is_held = False
            self._budget.release(Purpose.TARGET_RESPONSES, GUARD_RESPONSE_BYTES)
