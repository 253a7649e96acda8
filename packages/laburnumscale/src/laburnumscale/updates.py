"""Updates.

News of the membership that wait to be passed on, each a limited number of times.
"""

import math

import attrs

from laburnumscale.views import join, liveness
from laburnumscale_schema import peer_pb2

__all__ = ["UpdateQueue"]

SENDS_PER_DECADE = 4
FIELD_OVERHEAD_BYTES = 4


@attrs.define(eq=False)
class _Update:
    member: peer_pb2.Member
    size_bytes: int
    sends: int = 0


class UpdateQueue:
    """At most one update for each daemon, those sent least going first."""

    def __init__(self) -> None:
        self._updates: dict[str, _Update] = {}

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, news: peer_pb2.Member) -> None:
        """Queue news, joined with what waits about the same daemon."""
        waiting = self._updates.get(news.daemon)
        member = news if waiting is None else join(waiting.member, news)
        self._updates[news.daemon] = _Update(member, member.ByteSize())

    def take(self, room_bytes: int, group_size: int) -> list[peer_pb2.Member]:
        """Return updates for one datagram and count them as sent.

        :param room_bytes: what the updates may take together.
        :param group_size: number of daemons, which limits the sends of each update.
        """
        limit = send_limit(group_size)
        taken = []
        for update in sorted(self._updates.values(), key=lambda each: each.sends):
            member = _part(update, room_bytes)
            if member is None:
                continue
            taken.append(member)
            room_bytes -= member.ByteSize() + FIELD_OVERHEAD_BYTES
            update.sends += 1
            if update.sends >= limit:
                del self._updates[update.member.daemon]
        return taken


def send_limit(group_size: int) -> int:
    """Return how often one daemon passes an update on."""
    return SENDS_PER_DECADE * math.ceil(math.log10(group_size + 1))


def _part(update: _Update, room_bytes: int) -> peer_pb2.Member | None:
    """Return an update, or as many of its endpoints as there is room for."""
    room_bytes -= FIELD_OVERHEAD_BYTES
    if update.size_bytes <= room_bytes:
        return update.member
    part = liveness(update.member)
    endpoints = list(update.member.endpoints)
    start = update.sends * len(endpoints) // 2 % max(1, len(endpoints))
    used_bytes = part.ByteSize()
    if used_bytes > room_bytes:
        return None
    for endpoint in endpoints[start:] + endpoints[:start]:
        used_bytes += endpoint.ByteSize() + FIELD_OVERHEAD_BYTES
        if used_bytes > room_bytes:
            break
        part.endpoints.append(endpoint)
    return part
