"""Priority shares.

Chooses the priority of the next grant, with a share for the lower priorities.
"""

from collections.abc import Iterable

__all__ = ["LOWER_SHARE", "PriorityShares"]

#: Every so many grants, one goes to a lower priority that waits. An account must not be
#: served less than a quarter as often as all accounts together: if a quarter of the
#: grants is left for lower priorities, that holds for any part of the load that has the
#: lower one of two priorities.
GRANTS_PER_LOWER_ONE = 4
LOWER_SHARE = 1 / GRANTS_PER_LOWER_ONE


class PriorityShares:
    """Turns of the priorities that have waiting calls; 0 is the most urgent.

    A priority that waits behind ``n`` other lower ones gets a grant within
    ``GRANTS_PER_LOWER_ONE * (n + 1)`` grants.
    """

    def __init__(self) -> None:
        self._marks: dict[int, int] = {}
        self._next_mark = 0
        self._since_lower = 0

    def begin(self, priority: int) -> None:
        """Record that a priority has waiting calls from now on."""
        self._renew(priority)

    def end(self, priority: int) -> None:
        """Record that a priority has no waiting calls any more."""
        del self._marks[priority]

    def waiting(self) -> Iterable[int]:
        """Return the priorities that have waiting calls."""
        return self._marks.keys()

    def choose(self) -> int:
        """Return the priority that the next grant goes to; at least one waits."""
        top = min(self._marks)
        if self._since_lower < GRANTS_PER_LOWER_ONE - 1 or len(self._marks) == 1:
            return top
        lower = (each for each in self._marks if each != top)
        return min(lower, key=self._marks.__getitem__)

    def record_grant(self, priority: int) -> None:
        """Record a grant to a priority, which still counts as waiting."""
        if priority == min(self._marks):
            self._since_lower += 1
        else:
            self._since_lower = 0
        self._renew(priority)

    def _renew(self, priority: int) -> None:
        self._marks[priority] = self._next_mark
        self._next_mark += 1
