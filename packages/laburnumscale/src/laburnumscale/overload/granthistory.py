"""Grant history.

Estimates from the latest grants how many of the coming ones go to more urgent calls.
"""

from collections import deque

__all__ = ["GrantHistory"]

#: Covers a few seconds of a busy target with a handful of slots.
GRANT_HISTORY_LENGTH = 20
#: A call that did not wait has overtaken nobody.
DIRECT_START = float("inf")


class GrantHistory:
    """The priorities of the latest calls that started, with or without waiting.

    :param max_share: the highest estimate; below 1, since every priority with waiting
        calls receives some of the grants.
    """

    def __init__(self, max_share: float) -> None:
        self._max_share = max_share
        self._priorities: deque[float] = deque(maxlen=GRANT_HISTORY_LENGTH)

    def record_grant(self, priority: int) -> None:
        """Record that a waiting call got a slot."""
        self._priorities.append(priority)

    def record_direct_start(self) -> None:
        """Record that a call got a free slot without waiting."""
        self._priorities.append(DIRECT_START)

    def overtaking_share(self, priority: int) -> float:
        """Return the share of grants that calls of more urgent priorities get."""
        overtaking = sum(each < priority for each in self._priorities)
        return min(self._max_share, overtaking / max(1, len(self._priorities)))
