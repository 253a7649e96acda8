"""Attempt sequences.

Assigns sequence numbers to the attempts of an entry and tracks those in flight.
"""

import itertools
from collections.abc import Iterator
from contextlib import contextmanager

from laburnumscale.members import EndpointView
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptSequences"]


class AttemptSequences:
    """Sequence numbers of one incarnation of an entry, unique across all guards.

    :param entry: name of this daemon.
    :param incarnation: incarnation number of this daemon's process.
    """

    def __init__(self, entry: str, incarnation: int) -> None:
        self._entry = entry
        self._incarnation = incarnation
        self._counter = itertools.count(1)
        self._in_flight: dict[str, dict[int, None]] = {}

    @contextmanager
    def allocate_id(self, view: EndpointView) -> Iterator[peer_pb2.AttemptId]:
        """Return a context manager that provides a new attempt ID.

        The attempt counts as in flight until the context ends.

        :param view: the endpoint that the attempt is sent to.
        """
        sequence = next(self._counter)
        in_flight = self._in_flight.setdefault(view.daemon, {})
        in_flight[sequence] = None
        try:
            yield peer_pb2.AttemptId(
                entry=self._entry,
                entry_incarnation=self._incarnation,
                guard_incarnation=view.incarnation,
                sequence=sequence,
            )
        finally:
            del in_flight[sequence]
            if not in_flight and self._in_flight.get(view.daemon) is in_flight:
                del self._in_flight[view.daemon]

    def low_water(self, daemon: str) -> int:
        """Return the lowest sequence number in flight to a guard.

        :param daemon: name of the guard's daemon; an attempt to it must be in flight.
        """
        return next(iter(self._in_flight[daemon]))
