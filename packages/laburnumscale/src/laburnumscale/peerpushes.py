"""Peer pushes.

Runs the requests that push settings to peers, one at a time for each peer. A peer that
does not reply thus delays no push to another.
"""

import asyncio
from collections.abc import Callable, Coroutine

__all__ = ["PeerPushes"]


class PeerPushes:
    """The pushes in progress, by peer address."""

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task] = {}

    def is_busy(self, address: str) -> bool:
        """Return whether a push to a peer is in progress."""
        return address in self._tasks

    def start(self, address: str, push: Callable[[str], Coroutine]) -> None:
        """Start a push to a peer that is not busy."""
        task = asyncio.create_task(push(address))
        self._tasks[address] = task
        task.add_done_callback(lambda _: self._tasks.pop(address, None))

    def cancel(self) -> None:
        """Cancel all pushes in progress."""
        for task in list(self._tasks.values()):
            task.cancel()
