"""Suspect queue.

Queues suspect calls, each of which is gossiped a limited number of times.
"""

import heapq

import attrs

from laburnumscale.suspectcall import SuspectCall
from laburnumscale.updatequeue import FIELD_OVERHEAD_BYTES, send_limit
from laburnumscale_schema import peer_pb2

__all__ = ["SuspectQueue"]

MAX_RECORDS_IN_BATCH = 16


@attrs.define(eq=False)
class _Pending:
    suspect: SuspectCall
    sends: int = 0


class SuspectQueue:
    """Records to be gossiped, those under which most targets ended first."""

    def __init__(self) -> None:
        self._pending: dict[bytes, _Pending] = {}

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, suspect: SuspectCall) -> None:
        """Queue a new or changed record."""
        self._pending[suspect.fingerprint] = _Pending(suspect)

    def take_batch(
        self, limit_bytes: int, group_size: int
    ) -> list[peer_pb2.SuspectCall]:
        """Return records for one datagram and count them as sent.

        :param limit_bytes: size limit of all records together.
        :param group_size: number of daemons; determines how often a record is sent.
        """
        batch = []
        for pending in heapq.nsmallest(
            MAX_RECORDS_IN_BATCH, self._pending.values(), key=_rank
        ):
            message = pending.suspect.message()
            limit_bytes -= message.ByteSize() + FIELD_OVERHEAD_BYTES
            if limit_bytes < 0:
                break
            batch.append(message)
            pending.sends += 1
            if pending.sends >= send_limit(group_size):
                del self._pending[pending.suspect.fingerprint]
        return batch


def _rank(pending: _Pending) -> tuple[int, int]:
    """Return the sort key of a record: harmful calls first, then those sent least."""
    return -len(pending.suspect.target_ends), pending.sends
