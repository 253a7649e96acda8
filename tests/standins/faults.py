"""Random faults.

Kills or suspends processes of a fleet and cuts or resets its links, from a seed.
"""

import contextlib
import random
import signal
import time

from tests.standins.fleet import Fleet

__all__ = ["RandomFaults"]

MAX_FAULT_S = 1.5
MAX_PAUSE_S = 0.5


class RandomFaults:
    """Injects random faults into a fleet, up to three at the same time.

    :ivar applied: names of the injected faults in order of injection.
    """

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self.applied: list[str] = []
        self._fleet = fleet
        self._random = random.Random(seed)

    def run(self, duration_s: float) -> None:
        """Inject faults for the given time in seconds, then end all of them."""
        injectors = (
            self._kill_daemon,
            self._suspend_daemon,
            self._suspend_target,
            self._restart_target,
            self._cut_link,
            self._cut_link,
            self._reset_connection,
        )
        ends_at_s = time.monotonic() + duration_s
        while time.monotonic() < ends_at_s:
            with contextlib.ExitStack() as stack:
                for _ in range(self._random.randint(1, 3)):
                    inject = self._random.choice(injectors)
                    self.applied.append(inject.__name__.strip("_"))
                    stack.callback(inject())
                time.sleep(self._random.uniform(0.1, MAX_FAULT_S))
            time.sleep(self._random.uniform(0.0, MAX_PAUSE_S))

    def _choose_daemon(self) -> str:
        return self._random.choice(sorted(self._fleet.daemons))

    def _choose_endpoint(self) -> str:
        return self._random.choice(sorted(self._fleet.targets))

    def _kill_daemon(self):
        daemon = self._fleet.daemons[self._choose_daemon()]
        self._fleet.stop(daemon.process, signal.SIGKILL)

        def restart():
            if self._fleet.daemons[daemon.name].process.poll() is not None:
                self._fleet.start_daemon(daemon.name, daemon.data_centre)

        return restart

    def _suspend_daemon(self):
        return self._suspend(self._fleet.daemons[self._choose_daemon()].process)

    def _suspend_target(self):
        return self._suspend(self._fleet.targets[self._choose_endpoint()].process)

    @staticmethod
    def _suspend(process):
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)

        def resume():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)

        return resume

    def _restart_target(self):
        target = self._fleet.targets[self._choose_endpoint()]
        self._fleet.stop(target.process, signal.SIGKILL)

        def restart():
            if self._fleet.targets[target.endpoint].process.poll() is not None:
                self._fleet.restart_target(target.endpoint)

        return restart

    def _cut_link(self):
        link = self._fleet.links[self._random.choice(sorted(self._fleet.links))]
        direction = self._random.choice(("forward", "backward"))
        link.faults(**{direction: {"cut": True}})
        return lambda: link.faults(**{direction: {"cut": False}})

    def _reset_connection(self):
        link = self._fleet.links[self._random.choice(sorted(self._fleet.links))]
        direction = self._random.choice(("forward", "backward"))
        forwarded_bytes = link.faults()[f"{direction}_bytes"]
        limit = forwarded_bytes + self._random.randint(1, 4000)
        link.faults(**{direction: {"reset_after_bytes": limit}})
        return lambda: None
