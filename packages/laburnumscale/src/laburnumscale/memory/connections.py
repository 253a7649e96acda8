"""Connection memory.

Accounts for everything that a daemon holds for one connection of a caller.
"""

from laburnumscale.memory.budget import MemoryBudget, Purpose

__all__ = ["ConnectionMemory"]


class ConnectionMemory:
    """The memory that is held for one connection, by purpose.

    :param budget: memory of the daemon, of which it is a part.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._held_bytes: dict[Purpose, int] = {}

    def held_for(self, purpose: Purpose) -> int:
        """Return how much is held for a purpose."""
        return self._held_bytes.get(purpose, 0)

    def hold(self, purpose: Purpose, size_bytes: int) -> bool:
        """Change how much is held for a purpose, and return whether there was room.

        Without room, it does not change.
        """
        change = size_bytes - self.held_for(purpose)
        if change > 0 and not self._budget.reserve(purpose, change):
            return False
        if change < 0:
            self._budget.release(purpose, -change)
        self._held_bytes[purpose] = size_bytes
        return True

    def release(self, *purposes: Purpose) -> None:
        """Give back what is held for some purposes."""
        for purpose in purposes:
            size_bytes = self._held_bytes.pop(purpose, 0)
            if size_bytes:
                self._budget.release(purpose, size_bytes)

    def release_all(self) -> None:
        """Give back everything that is held."""
        self.release(*self._held_bytes)
