"""Loops.

Runs one loop in each of several threads until they are stopped.
"""

import threading
from collections.abc import Iterable

__all__ = ["WorkerThreads"]


class WorkerThreads:
    """Base of classes that run one thread for each name as soon as they are created."""

    def __init__(self, names: Iterable[str]) -> None:
        self._stopping = threading.Event()
        # A failing scenario does not stop its threads. They are daemon threads so
        # that they do not keep behave from exiting.
        self._threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in names
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the threads and wait for them to end."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name: str) -> None:
        """Run the loop of one name until ``_stopping`` is set."""
        raise NotImplementedError
