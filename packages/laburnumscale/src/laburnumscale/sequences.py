"""Sequences.

Numbers the attempts of this daemon's entry for the guards that they are sent to.
"""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptSequences"]


class AttemptSequences:
    """The numbers of one incarnation of an entry; no number is used twice."""

    def __init__(self, entry: str, incarnation: int) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._next = itertools.count(1)
        self._open: dict[str, dict[int, None]] = {}

    @contextmanager
    def one(self, view: EndpointView) -> Iterator[peer_pb2.AttemptId]:
        """Number one attempt, which is over when the context ends."""
        sequence = next(self._next)
        opened = self._open.setdefault(view.daemon, {})
        opened[sequence] = None
        try:
            yield peer_pb2.AttemptId(
                entry=self._entry,
                entry_incarnation=self._incarnation,
                guard_incarnation=view.incarnation,
                sequence=sequence,
            )
        finally:
            del opened[sequence]
            if not opened and self._open.get(view.daemon) is opened:
                del self._open[view.daemon]

    def low_water(self, daemon: str) -> int:
        """Return the lowest sequence that is not over; there must be one."""
        return next(iter(self._open[daemon]))
