"""Updates.

News of the membership that wait to be passed on, each a limited number of times.
"""

import math
from collections.abc import Iterator

import attrs

from laburnumscale.views import identity, is_listed, join, liveness
from laburnumscale_schema import peer_pb2

__all__ = ["UpdateQueue", "send_limit"]

BASE_SENDS = 2
SENDS_PER_DECADE = 2
FRESH_SENDS = 4
HIGHEST_SENDS = 16
FIELD_OVERHEAD_BYTES = 4
HIGHEST_HEAD_BYTES = 1_000
HIGHEST_SKIPPED = 4

Key = tuple[str, str, str]


def send_limit(group_size: int) -> int:
    """Return how often one daemon passes an update on."""
    decades = math.ceil(math.log10(group_size + 1))
    return min(HIGHEST_SENDS, BASE_SENDS + SENDS_PER_DECADE * decades)


@attrs.define(eq=False)
class _Waiting:
    """What waits about one daemon; its head goes with every endpoint of it."""

    head: peer_pb2.Member
    keys: set[Key] = attrs.field(factory=set)


class UpdateQueue:
    """Changed endpoints and members, those that were sent least going first."""

    def __init__(self) -> None:
        self._waiting: dict[str, _Waiting] = {}
        self._sends: dict[Key, int] = {}
        self._levels: list[dict[Key, peer_pb2.Endpoint | None]] = [
            {} for _ in range(HIGHEST_SENDS)
        ]

    def has_fresh(self) -> bool:
        """Tell whether an update was sent too rarely to wait for the next probe."""
        return any(self._levels[:FRESH_SENDS])

    def add(self, news: peer_pb2.Member) -> None:
        """Queue news in place of what is older about the same daemon.

        What fits into no datagram is left to the exchange of tables.
        """
        if liveness(news).ByteSize() > HIGHEST_HEAD_BYTES:
            return
        self._renew_head(news)
        if not news.endpoints or not is_listed(news):
            self._put((news.daemon, "", ""), None, 0)
            return
        for endpoint in news.endpoints:
            key = (news.daemon, endpoint.service, endpoint.endpoint)
            self._put(key, endpoint, 0)

    def take(self, room_bytes: int, group_size: int) -> list[peer_pb2.Member]:
        """Return updates for one datagram and count them as sent.

        :param room_bytes: what the updates may take together.
        :param group_size: number of daemons, which limits the sends of each update.
        """
        members: dict[str, peer_pb2.Member] = {}
        taken = []
        skipped = 0
        for key, endpoint in self._least_sent():
            size_bytes = self._size_bytes(key, endpoint, members)
            if size_bytes > room_bytes:
                skipped += 1
                if skipped > HIGHEST_SKIPPED:
                    break
                continue
            room_bytes -= size_bytes
            member = members.setdefault(key[0], liveness(self._waiting[key[0]].head))
            if endpoint is not None:
                member.endpoints.append(endpoint)
            taken.append((key, endpoint))
        limit = send_limit(group_size)
        for key, endpoint in taken:
            sends = self._drop(key) + 1
            if sends < limit:
                self._put(key, endpoint, sends)
            else:
                self._forget_head(key[0])
        return list(members.values())

    def _least_sent(self) -> Iterator[tuple[Key, peer_pb2.Endpoint | None]]:
        for level in self._levels:
            yield from level.items()

    def _size_bytes(
        self,
        key: Key,
        endpoint: peer_pb2.Endpoint | None,
        members: dict[str, peer_pb2.Member],
    ) -> int:
        size_bytes = 0
        if key[0] not in members:
            head = self._waiting[key[0]].head
            size_bytes += head.ByteSize() + FIELD_OVERHEAD_BYTES
        if endpoint is not None:
            size_bytes += endpoint.ByteSize() + FIELD_OVERHEAD_BYTES
        return size_bytes

    def _renew_head(self, news: peer_pb2.Member) -> None:
        head = liveness(news)
        waiting = self._waiting.get(news.daemon)
        if waiting is None:
            self._waiting[news.daemon] = _Waiting(head)
            return
        joined = join(waiting.head, head)
        if identity(joined) != identity(waiting.head) or not is_listed(joined):
            for key in list(waiting.keys):
                self._drop(key)
        waiting.head = joined

    def _put(self, key: Key, endpoint: peer_pb2.Endpoint | None, sends: int) -> None:
        self._drop(key)
        self._sends[key] = sends
        self._levels[sends][key] = endpoint
        self._waiting[key[0]].keys.add(key)

    def _drop(self, key: Key) -> int:
        """Take a key out of its level and return how often it was sent."""
        sends = self._sends.pop(key, 0)
        self._levels[sends].pop(key, None)
        self._waiting[key[0]].keys.discard(key)
        return sends

    def _forget_head(self, daemon: str) -> None:
        if not self._waiting[daemon].keys:
            del self._waiting[daemon]
