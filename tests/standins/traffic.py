"""Caller traffic.

Sends lookups to several daemons in parallel until it is stopped.
"""

import itertools

from tests.standins.fleet import request
from tests.standins.loops import WorkerThreads

__all__ = ["Traffic"]

CALLERS = 12
CALL_PAUSE_S = 0.1


class Traffic(WorkerThreads):
    """Parallel callers that each send one call at a time to one daemon.

    :ivar statuses: HTTP status of each call in the order in which the calls ended.
    """

    def __init__(self, urls: list[str]) -> None:
        self.statuses: list[int] = []
        super().__init__(itertools.islice(itertools.cycle(urls), CALLERS))

    def _run(self, name: str) -> None:
        while not self._stopping.wait(CALL_PAUSE_S):
            self.statuses.append(request("GET", name).status)
