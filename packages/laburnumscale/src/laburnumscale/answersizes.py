"""Answer sizes.

Keeps the average size of the answers of each route, as this entry has seen them.
"""

from collections import OrderedDict
from collections.abc import AsyncIterator

from laburnumscale_schema import peer_pb2

__all__ = ["AnswerSizes"]

AVERAGE_WEIGHT = 0.2
#: An entry serves the callers of one host, which use few routes at a time.
MAX_ROUTES = 256


class AnswerSizes:
    """The average sizes of complete answers, by the hash of the route."""

    def __init__(self) -> None:
        self._averages_bytes: OrderedDict[int, float] = OrderedDict()

    def average_bytes(self, route: int) -> float:
        """Return the average size of a route's answers, 0 if unknown."""
        return self._averages_bytes.get(route, 0.0)

    def add(self, route: int, size_bytes: int) -> None:
        """Add the size of one answer."""
        average = self._averages_bytes.setdefault(route, float(size_bytes))
        average += AVERAGE_WEIGHT * (size_bytes - average)
        self._averages_bytes[route] = average
        self._averages_bytes.move_to_end(route)
        if len(self._averages_bytes) > MAX_ROUTES:
            self._averages_bytes.popitem(last=False)

    async def measure(
        self,
        route: int,
        first: peer_pb2.CallReply,
        rest: AsyncIterator[peer_pb2.CallReply],
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Yield the messages of ``rest``, and add the size of a complete answer."""
        size_bytes = len(first.body)
        async for reply in rest:
            size_bytes += len(reply.body)
            if reply.end:
                self.add(route, size_bytes)
            yield reply
