"""Traffic of callers.

Sends lookups to several daemons until it is stopped.
"""

import itertools
import threading

from tests.standins.fleet import request

__all__ = ["Traffic"]

CALLERS = 12
PAUSE_S = 0.1


class Traffic:
    """Callers that each send one call after the other.

    :ivar statuses: the statuses of all answers.
    """

    def __init__(self, urls: list[str]) -> None:
        self.statuses: list[int] = []
        self._stopping = threading.Event()
        starts = itertools.islice(itertools.cycle(urls), CALLERS)
        self._threads = [
            threading.Thread(target=self._run, args=(url,), daemon=True)
            for url in starts
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the callers."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, url: str) -> None:
        while not self._stopping.wait(PAUSE_S):
            self.statuses.append(request("GET", url).status)
