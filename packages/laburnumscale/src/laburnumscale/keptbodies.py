"""Kept bodies.

Keeps the first part of streamed request bodies, so that an attempt whose connection has
fallen silent can be sent again. It answers the load of large uploads.
"""

import asyncio
from collections.abc import AsyncIterator

from laburnumscale.errors import BodyIncomplete
from laburnumscale.memory import OBJECT_BYTES, MemoryBudget, Purpose

__all__ = ["BodyMemory", "KeptBody"]

MAX_BODY_BYTES = 2 * 1024 * 1024
#: For all uploads of a daemon; what does not fit can be sent only once.
MAX_TOTAL_BYTES = 16 * 1024 * 1024


class BodyMemory:
    """The memory that the kept bodies of one entry share.

    :param budget: memory of the daemon, of which it is a part; None for no limit but
        that of all kept bodies.
    :ivar used_bytes: size of all that is kept.
    """

    def __init__(self, budget: MemoryBudget | None = None) -> None:
        self.used_bytes = 0
        self._budget = budget or MemoryBudget()

    def reserve(self, size_bytes: int) -> bool:
        """Return whether there is room for another part, which is then taken."""
        if self.used_bytes + size_bytes > MAX_TOTAL_BYTES:
            return False
        if not self._budget.reserve(Purpose.KEPT_PARTS, size_bytes):
            return False
        self.used_bytes += size_bytes
        return True

    def release(self, size_bytes: int) -> None:
        """Give back the room of parts that are not kept any more."""
        if size_bytes:
            self.used_bytes -= size_bytes
            self._budget.release(Purpose.KEPT_PARTS, size_bytes)


class KeptBody:
    """A streamed request body that several copies of an attempt can send.

    Each copy reads it from the start. Once it is larger than what may be kept, only the
    copy that has read the most can go on.

    :param source: yields the parts once.
    :param memory: memory for what is kept.
    :ivar can_repeat: whether another copy would get the whole body.
    """

    def __init__(
        self, source: AsyncIterator[bytes], memory: BodyMemory, request_id: str
    ) -> None:
        self.can_repeat = True
        self._source = source
        self._memory = memory
        self._request_id = request_id
        self._parts: list[bytes] = []
        self._kept_bytes = 0
        self._count = 0
        self._reading: asyncio.Task[bytes | None] | None = None

    async def read(self) -> AsyncIterator[bytes]:
        """Yield the parts from the first one on.

        :raises BodyIncomplete: the source ended early, or this copy fell behind.
        """
        position = 0
        while True:
            if position < len(self._parts):
                part = self._parts[position]
            elif position < self._count:
                raise BodyIncomplete(self._request_id, "too large to be sent again")
            else:
                part = await self._read_next()
                if part is None:
                    return
            position += 1
            yield part

    def close(self) -> None:
        """Stop reading and release what is kept."""
        if self._reading is not None:
            self._reading.cancel()
        self._forget()

    async def _read_next(self) -> bytes | None:
        """Return the part that was not read yet, for all copies that wait for it.

        A copy that is cancelled does not end the reading, which would look like the end
        of the body to the others.
        """
        has_ended = self._reading is not None and self._reading.done()
        if self._reading is None or (has_ended and self._reading.result() is not None):
            self._reading = asyncio.create_task(self._read_source())
            self._reading.add_done_callback(_retrieve_error)
        return await asyncio.shield(self._reading)

    async def _read_source(self) -> bytes | None:
        part = await anext(self._source, None)
        if part is not None:
            self._count += 1
            self._keep(part)
        return part

    def _keep(self, part: bytes) -> None:
        size_bytes = len(part) + OBJECT_BYTES
        has_room = self._kept_bytes + size_bytes <= MAX_BODY_BYTES
        if not (self.can_repeat and has_room and self._memory.reserve(size_bytes)):
            self._forget()
            return
        self._parts.append(part)
        self._kept_bytes += size_bytes

    def _forget(self) -> None:
        self.can_repeat = False
        self._parts.clear()
        self._memory.release(self._kept_bytes)
        self._kept_bytes = 0


def _retrieve_error(reading: asyncio.Task) -> None:
    """Keep an error silent that no copy waits for any more."""
    if not reading.cancelled():
        reading.exception()
