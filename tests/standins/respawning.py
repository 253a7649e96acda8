"""Respawner.

Starts targets of a fleet again some time after their process has ended.
"""

from collections.abc import Iterable

from tests.standins.fleet import Fleet
from tests.standins.loops import WorkerThreads

__all__ = ["Respawner"]

CHECK_INTERVAL_S = 0.02


class Respawner(WorkerThreads):
    """One thread for each target, which starts it again on its port.

    The fleet stops the threads before it kills its processes.

    :param delay_s: time from the end of a process to the start of the next.
    """

    def __init__(self, fleet: Fleet, endpoints: Iterable[str], delay_s: float) -> None:
        self._fleet = fleet
        self._delay_s = delay_s
        super().__init__(endpoints)
        fleet.cleanups.callback(self.stop)

    def _run(self, name: str) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            if self._fleet.targets[name].process.poll() is None:
                continue
            if not self._stopping.wait(self._delay_s):
                self._fleet.restart_target(name)
