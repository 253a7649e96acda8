"""Random faults.

Kills, freezes, cuts and resets the processes of a fleet, from a seed.
"""

import contextlib
import random
import signal
import time

from tests.standins.fleet import Fleet

__all__ = ["RandomFaults"]

LONGEST_FAULT_S = 1.5
LONGEST_PAUSE_S = 0.5


class RandomFaults:
    """Faults of one run; several may be in force at a time.

    :ivar applied: names of the faults in their order.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.applied: list[str] = []
        self._fleet = fleet
        self._random = random.Random(seed)

    def run(self, duration_s: float) -> None:
        """Apply faults for some time, then end them all."""
        kinds = (
            self._kill_daemon,
            self._freeze_daemon,
            self._freeze_target,
            self._restart_target,
            self._cut,
            self._cut,
            self._reset,
        )
        ends_at_s = time.monotonic() + duration_s
        while time.monotonic() < ends_at_s:
            with contextlib.ExitStack() as stack:
                for _ in range(self._random.randint(1, 3)):
                    kind = self._random.choice(kinds)
                    self.applied.append(kind.__name__.strip("_"))
                    stack.callback(kind())
                time.sleep(self._random.uniform(0.1, LONGEST_FAULT_S))
            time.sleep(self._random.uniform(0.0, LONGEST_PAUSE_S))

    def _daemon(self) -> str:
        return self._random.choice(sorted(self._fleet.daemons))

    def _endpoint(self) -> str:
        return self._random.choice(sorted(self._fleet.targets))

    def _kill_daemon(self):
        daemon = self._fleet.daemons[self._daemon()]
        self._fleet.stop(daemon.process, signal.SIGKILL)

        def restart():
            if self._fleet.daemons[daemon.name].process.poll() is not None:
                self._fleet.start_daemon(daemon.name, daemon.data_centre)

        return restart

    def _freeze_daemon(self):
        return self._freeze(self._fleet.daemons[self._daemon()].process)

    def _freeze_target(self):
        return self._freeze(self._fleet.targets[self._endpoint()].process)

    @staticmethod
    def _freeze(process):
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)

        def thaw():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

        return thaw

    def _restart_target(self):
        target = self._fleet.targets[self._endpoint()]
        self._fleet.stop(target.process, signal.SIGKILL)

        def restart():
            if self._fleet.targets[target.endpoint].process.poll() is not None:
                self._fleet.restart_target(target.endpoint)

        return restart

    def _cut(self):
        link = self._fleet.links[self._random.choice(sorted(self._fleet.links))]
        direction = self._random.choice(("forward", "backward"))
        link.faults(**{direction: {"cut": True}})
        return lambda: link.faults(**{direction: {"cut": False}})

    def _reset(self):
        link = self._fleet.links[self._random.choice(sorted(self._fleet.links))]
        direction = self._random.choice(("forward", "backward"))
        passed = link.faults()[f"{direction}_bytes"]
        limit = passed + self._random.randint(1, 4000)
        link.faults(**{direction: {"reset_after_bytes": limit}})
        return lambda: None
