"""Repeated calls.

Sends calls to several daemons in turn, each with a new id, until it is stopped.
"""

import itertools
import random
import time
import uuid
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

import attrs

from tests.standins.fleet import DaemonProcess, Response
from tests.standins.loops import WorkerThreads

__all__ = ["Repeated", "RepeatedCall", "Repeater"]

PARALLEL_CALLS = 16


@attrs.frozen
class Repeated:
    """What is repeated.

    :ivar headers: returns the header fields for the id of a call.
    """

    method: str
    paths: Sequence[str]
    headers: Callable[[str], dict]
    body: bytes | None = None


@attrs.frozen
class RepeatedCall:
    """One call that has ended."""

    call_id: str
    daemon: str
    path: str
    sent_at_s: float
    elapsed_ms: float
    response: Response


class Repeater(WorkerThreads):
    """Caller that repeats calls, whether the earlier ones have ended or not.

    :ivar calls: the calls that have ended.
    """

    def __init__(
        self,
        daemons: Callable[[], list[DaemonProcess]],
        repeated: Repeated,
        pause_s: float,
        seed: int,
    ) -> None:
        self.calls: list[RepeatedCall] = []
        self._daemons = daemons
        self._repeated = repeated
        self._pause_s = pause_s
        self._random = random.Random(seed)
        super().__init__(["caller"])

    def _run(self, name: str) -> None:
        paths = itertools.cycle(self._repeated.paths)
        with ThreadPoolExecutor(PARALLEL_CALLS) as executor:
            for number in itertools.count():
                pause_s = self._pause_s * self._random.uniform(0.8, 1.2)
                if self._stopping.wait(pause_s):
                    break
                daemons = self._daemons()
                daemon = daemons[number % len(daemons)]
                executor.submit(self.send, daemon, next(paths))

    def send(self, daemon: DaemonProcess, path: str) -> RepeatedCall:
        """Send one call and add it to ``calls`` when it has ended."""
        repeated = self._repeated
        call_id = uuid.uuid4().hex[:16]
        sent_at_s, started_at_s = time.time(), time.monotonic()
        headers = repeated.headers(call_id)
        response = daemon.call(path, repeated.method, repeated.body, headers)
        elapsed_ms = (time.monotonic() - started_at_s) * 1000
        call = RepeatedCall(call_id, daemon.name, path, sent_at_s, elapsed_ms, response)
        self.calls.append(call)
        return call
