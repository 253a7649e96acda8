"""Update queue.

Queues membership updates, each of which is gossiped a limited number of times.
"""

import math
from collections.abc import Iterator

import attrs

from laburnumscale.memberentries import (
    identity,
    is_present,
    merge_entries,
    without_endpoints,
)
from laburnumscale_schema import peer_pb2

__all__ = ["FIELD_OVERHEAD_BYTES", "UpdateQueue", "send_limit"]

BASE_SENDS = 2
SENDS_PER_DECADE = 2
URGENT_SENDS = 4
MAX_SENDS = 16
FIELD_OVERHEAD_BYTES = 4
MAX_ENTRY_BYTES = 1_000
MAX_SKIPPED_UPDATES = 4

UpdateKey = tuple[str, str, str]


def send_limit(group_size: int) -> int:
    """Return how many times a daemon sends each update.

    :param group_size: number of daemons; the limit grows with its base-10 logarithm.
    """
    decades = math.ceil(math.log10(group_size + 1))
    return min(MAX_SENDS, BASE_SENDS + SENDS_PER_DECADE * decades)


@attrs.define(eq=False)
class _PendingMember:
    """Pending updates of one daemon.

    :ivar entry: the entry without endpoints, sent along with each endpoint.
    :ivar keys: the keys of the updates that are in the queue.
    """

    entry: peer_pb2.Member
    keys: set[UpdateKey] = attrs.field(factory=set)


class UpdateQueue:
    """Queue of changed members and endpoints; those sent least often go first."""

    def __init__(self) -> None:
        self._pending: dict[str, _PendingMember] = {}
        self._sends: dict[UpdateKey, int] = {}
        self._queues_by_sends: list[dict[UpdateKey, peer_pb2.Endpoint | None]] = [
            {} for _ in range(MAX_SENDS)
        ]

    def has_urgent(self) -> bool:
        """Return whether an update was sent too rarely to wait for the next probe."""
        return any(self._queues_by_sends[:URGENT_SENDS])

    def add(self, update: peer_pb2.Member) -> None:
        """Queue an update in place of older ones of the same daemon or endpoint.

        Members and endpoints that are too large for a datagram are not queued; the
        exchange of tables transfers them.
        """
        if without_endpoints(update).ByteSize() > MAX_ENTRY_BYTES:
            return
        self._update_entry(update)
        if not update.endpoints or not is_present(update):
            self._enqueue((update.daemon, "", ""), None, 0)
            return
        entry_bytes = self._pending[update.daemon].entry.ByteSize()
        for endpoint in update.endpoints:
            if entry_bytes + endpoint.ByteSize() > MAX_ENTRY_BYTES:
                continue
            key = (update.daemon, endpoint.service, endpoint.endpoint)
            self._enqueue(key, endpoint, 0)
        self._remove_entry_if_unused(update.daemon)

    def take_batch(self, limit_bytes: int, group_size: int) -> list[peer_pb2.Member]:
        """Return updates for one datagram and count them as sent.

        :param limit_bytes: size limit of all updates together.
        :param group_size: number of daemons; determines how often an update is sent.
        """
        members: dict[str, peer_pb2.Member] = {}
        batch = []
        skipped = 0
        for key, endpoint in self._by_fewest_sends():
            size_bytes = self._size_bytes(key, endpoint, members)
            if size_bytes > limit_bytes:
                skipped += 1
                if skipped > MAX_SKIPPED_UPDATES:
                    break
                continue
            limit_bytes -= size_bytes
            member = members.setdefault(
                key[0], without_endpoints(self._pending[key[0]].entry)
            )
            if endpoint is not None:
                member.endpoints.append(endpoint)
            batch.append((key, endpoint))
        limit = send_limit(group_size)
        for key, endpoint in batch:
            sends = self._dequeue(key) + 1
            if sends < limit:
                self._enqueue(key, endpoint, sends)
            else:
                self._remove_entry_if_unused(key[0])
        return list(members.values())

    def _by_fewest_sends(self) -> Iterator[tuple[UpdateKey, peer_pb2.Endpoint | None]]:
        for queue in self._queues_by_sends:
            yield from queue.items()

    def _size_bytes(
        self,
        key: UpdateKey,
        endpoint: peer_pb2.Endpoint | None,
        members: dict[str, peer_pb2.Member],
    ) -> int:
        size_bytes = 0
        if key[0] not in members:
            entry = self._pending[key[0]].entry
            size_bytes += entry.ByteSize() + FIELD_OVERHEAD_BYTES
        if endpoint is not None:
            size_bytes += endpoint.ByteSize() + FIELD_OVERHEAD_BYTES
        return size_bytes

    def _update_entry(self, update: peer_pb2.Member) -> None:
        entry = without_endpoints(update)
        pending = self._pending.get(update.daemon)
        if pending is None:
            self._pending[update.daemon] = _PendingMember(entry)
            return
        merged = merge_entries(pending.entry, entry)
        if identity(merged) != identity(pending.entry) or not is_present(merged):
            for key in list(pending.keys):
                self._dequeue(key)
        pending.entry = merged

    def _enqueue(
        self, key: UpdateKey, endpoint: peer_pb2.Endpoint | None, sends: int
    ) -> None:
        self._dequeue(key)
        self._sends[key] = sends
        self._queues_by_sends[sends][key] = endpoint
        self._pending[key[0]].keys.add(key)

    def _dequeue(self, key: UpdateKey) -> int:
        """Remove an update from the queue and return how often it was sent."""
        sends = self._sends.pop(key, 0)
        self._queues_by_sends[sends].pop(key, None)
        self._pending[key[0]].keys.discard(key)
        return sends

    def _remove_entry_if_unused(self, daemon: str) -> None:
        if not self._pending[daemon].keys:
            del self._pending[daemon]
