"""Loops.

Threads that do the same for several things until they are stopped.
"""

import threading
from collections.abc import Iterable

__all__ = ["Loops"]


class Loops:
    """Base of what runs one thread for each name from its start on."""

    def __init__(self, names: Iterable[str]) -> None:
        self._stopping = threading.Event()
        # A scenario that fails does not stop its threads; they must not keep behave.
        self._threads = [
            threading.Thread(target=self._run, args=(name,), daemon=True)
            for name in names
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """End the threads."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, name: str) -> None:
        """Work for one name until ``_stopping`` is set."""
        raise NotImplementedError
