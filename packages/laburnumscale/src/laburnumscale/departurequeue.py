"""Departure queue.

Queues departures of targets, each of which is gossiped a limited number of times.
"""

import heapq

import attrs

from laburnumscale.departures import Departure
from laburnumscale.updatequeue import FIELD_OVERHEAD_BYTES, send_limit
from laburnumscale_schema import peer_pb2

__all__ = ["DepartureQueue"]

MAX_DEPARTURES_IN_BATCH = 16
#: The exchange of tables transfers those that are dropped.
MAX_PENDING = 512


@attrs.define(eq=False)
class _Pending:
    departure: Departure
    sends: int = 0


class DepartureQueue:
    """Departures to be gossiped, those sent least often first."""

    def __init__(self) -> None:
        self._pending: dict[str, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, departure: Departure) -> None:
        """Queue a departure in place of an earlier one of the same endpoint."""
        self._pending.pop(departure.endpoint, None)
        self._pending[departure.endpoint] = _Pending(departure)
        if len(self._pending) > MAX_PENDING:
            del self._pending[next(iter(self._pending))]

    def take_batch(self, limit_bytes: int, group_size: int) -> list[peer_pb2.Departure]:
        """Return departures for one datagram and count them as sent.

        :param limit_bytes: size limit of all departures together.
        :param group_size: number of daemons; determines how often each is sent.
        """
        self._remove_expired()
        batch = []
        for pending in heapq.nsmallest(
            MAX_DEPARTURES_IN_BATCH, self._pending.values(), key=_get_sends
        ):
            message = pending.departure.message()
            limit_bytes -= message.ByteSize() + FIELD_OVERHEAD_BYTES
            if limit_bytes < 0:
                break
            batch.append(message)
            pending.sends += 1
            if pending.sends >= send_limit(group_size):
                del self._pending[pending.departure.endpoint]
        return batch

    def _remove_expired(self) -> None:
        for endpoint, pending in list(self._pending.items()):
            if pending.departure.expiry.has_passed():
                del self._pending[endpoint]


def _get_sends(pending: _Pending) -> int:
    return pending.sends
