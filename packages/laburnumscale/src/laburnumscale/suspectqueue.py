"""Suspect queue.

Queues suspect calls, each of which is gossiped a limited number of times.
"""

from collections import OrderedDict

import attrs

from laburnumscale.suspectcall import SuspectCall
from laburnumscale.updatequeue import FIELD_OVERHEAD_BYTES, send_limit
from laburnumscale_schema import peer_pb2

__all__ = ["SuspectQueue"]


@attrs.define(eq=False)
class _Pending:
    suspect: SuspectCall
    sends: int = 0


class SuspectQueue:
    """Records to be gossiped; those that were sent least often go first."""

    def __init__(self) -> None:
        self._pending: OrderedDict[bytes, _Pending] = OrderedDict()

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, suspect: SuspectCall) -> None:
        """Queue a new or changed record."""
        self._pending[suspect.fingerprint] = _Pending(suspect)
        self._pending.move_to_end(suspect.fingerprint, last=False)

    def take_batch(
        self, limit_bytes: int, group_size: int
    ) -> list[peer_pb2.SuspectCall]:
        """Return records for one datagram and count them as sent.

        :param limit_bytes: size limit of all records together.
        :param group_size: number of daemons; determines how often a record is sent.
        """
        batch = []
        for fingerprint, pending in list(self._pending.items()):
            message = pending.suspect.message()
            limit_bytes -= message.ByteSize() + FIELD_OVERHEAD_BYTES
            if limit_bytes < 0:
                break
            batch.append(message)
            pending.sends += 1
            if pending.sends < send_limit(group_size):
                self._pending.move_to_end(fingerprint)
            else:
                del self._pending[fingerprint]
        return batch
