"""Traffic of callers.

Sends lookups to several daemons until it is stopped.
"""

import itertools

from tests.standins.fleet import request
from tests.standins.loops import Loops

__all__ = ["Traffic"]

CALLERS = 12
PAUSE_S = 0.1


class Traffic(Loops):
    """Callers that each send one call after the other.

    :ivar statuses: the statuses of all answers.
    """

    def __init__(self, urls: list[str]) -> None:
        self.statuses: list[int] = []
        super().__init__(itertools.islice(itertools.cycle(urls), CALLERS))

    def _run(self, name: str) -> None:
        while not self._stopping.wait(PAUSE_S):
            self.statuses.append(request("GET", name).status)
