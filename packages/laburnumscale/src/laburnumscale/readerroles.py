"""Reader roles.

Decides which daemons read the log for the fleet, whom the others ask, and with which
peers each daemon exchanges settings. All of it follows from the membership table.
"""

from collections import defaultdict

import xxhash

from laburnumscale.deadlines import Deadline
from laburnumscale.members import Members
from laburnumscale_schema import peer_pb2

__all__ = ["ReaderRoles"]

#: Readers of the log in the whole fleet, if the data centres allow it.
DESIGNATED_READERS = 12
MAX_READERS_PER_DATA_CENTRE = 3
#: Daemons of a data centre for each of its lead readers, which confirm their settings.
DAEMONS_PER_LEAD_READER = 24
MAX_SOURCES = 4
MAX_PARTNERS = 6
ROLE_CACHE_MS = 3000
GROWTH_CACHE_MS = 200
ALIVE = peer_pb2.MEMBER_STATE_ALIVE


def _hash_names(*names: str) -> int:
    return xxhash.xxh64_intdigest("\0".join(names).encode())


class ReaderRoles:
    """The roles of this daemon and of its peers in reading the log.

    The designated readers of a data centre are its daemons with the lowest hashes. The
    first of them lead: they read the log at short intervals, so that they can confirm
    which revision is the newest. The others are in reserve; they wait for new records,
    and confirm when the lead readers do not.

    The roles are cached because the computation iterates over all members, and only
    briefly while the group grows.
    """

    def __init__(self, members: Members) -> None:
        self._members = members
        self._valid_until = Deadline(0.0)
        self._growth_checked = Deadline(0.0)
        self._group_size = 1
        self._is_reader = True
        self._is_lead_reader = True
        self._reader_count = 1
        self._sources: list[str] = []
        self._partners: list[peer_pb2.Member] = []

    def is_designated_reader(self) -> bool:
        """Return whether this daemon reads the log on behalf of its data centre.

        The designated readers of a data centre read the log continuously; its other
        daemons receive the settings from peers.
        """
        self._refresh()
        return self._is_reader

    def is_lead_reader(self) -> bool:
        """Return whether this daemon confirms settings on behalf of its data centre."""
        self._refresh()
        return self._is_lead_reader

    def reader_count(self) -> int:
        """Return the number of daemons that read the log continuously."""
        self._refresh()
        return self._reader_count

    def sources(self) -> list[str]:
        """Return the addresses of the readers that confirm settings, in order.

        Readers of the own data centre and of others take turns, so that neither the
        loss of a data centre nor one between them leaves a daemon without a source.
        """
        self._refresh()
        return self._sources

    def partners(self) -> list[peer_pb2.Member]:
        """Return the few peers to which this daemon keeps connections open.

        They are the peers with the lowest hashes of both daemons' names. Each daemon
        thus gets different partners, and the connections form a random graph.
        """
        self._refresh()
        return self._partners

    def _refresh(self) -> None:
        has_grown = self._members.group_size > self._group_size
        if self._valid_until.has_passed() or (
            has_grown and self._growth_checked.has_passed()
        ):
            self._compute()
            self._group_size = self._members.group_size
            self._valid_until = Deadline.after_ms(ROLE_CACHE_MS)
            self._growth_checked = Deadline.after_ms(GROWTH_CACHE_MS)

    def _compute(self) -> None:
        own, peers = self._members.own, self._members.peers()
        ranked = self._rank_by_data_centre([own, *peers])
        leads = {name: _lead_count(len(ranked[name])) for name in ranked}
        limit = max(
            1, min(MAX_READERS_PER_DATA_CENTRE, DESIGNATED_READERS // len(ranked))
        )
        readers = {
            name: min(len(members), max(limit, leads[name]))
            for name, members in ranked.items()
        }
        own_rank = ranked[own.data_centre].index(own)
        self._is_reader = own_rank < readers[own.data_centre]
        self._is_lead_reader = own_rank < leads[own.data_centre]
        self._reader_count = sum(readers.values())
        self._sources = self._order_sources(ranked, leads, readers)
        self._partners = self._sort_by_pair(peers)[:MAX_PARTNERS]

    def _rank_by_data_centre(
        self, members: list[peer_pb2.Member]
    ) -> dict[str, list[peer_pb2.Member]]:
        ranked = defaultdict(list)
        for member in sorted(members, key=lambda each: _hash_names(each.daemon)):
            ranked[member.data_centre].append(member)
        return ranked

    def _order_sources(
        self,
        ranked: dict[str, list[peer_pb2.Member]],
        leads: dict[str, int],
        readers: dict[str, int],
    ) -> list[str]:
        own = self._members.own
        lead_count, local = leads[own.data_centre], ranked[own.data_centre]
        near = self._sort_by_pair(local[:lead_count])
        near += self._sort_by_pair(local[lead_count : readers[own.data_centre]])
        remote = [
            member
            for name, members in ranked.items()
            if name != own.data_centre
            for member in members[: leads[name]]
        ]
        ordered = _alternate(near, self._sort_by_pair(remote))
        # Sorting is stable: suspects come last.
        ordered.sort(key=lambda member: member.state != ALIVE)
        return [member.peer_address for member in ordered][:MAX_SOURCES]

    def _sort_by_pair(self, members: list[peer_pb2.Member]) -> list[peer_pb2.Member]:
        own_name = self._members.own.daemon
        others = [member for member in members if member.daemon != own_name]
        return sorted(others, key=lambda each: _hash_names(own_name, each.daemon))


def _lead_count(daemon_count: int) -> int:
    return -(-daemon_count // DAEMONS_PER_LEAD_READER)


def _alternate(
    first: list[peer_pb2.Member], second: list[peer_pb2.Member]
) -> list[peer_pb2.Member]:
    """Return the members of both lists in turns, and the rest of the longer one."""
    paired = [member for pair in zip(first, second, strict=False) for member in pair]
    shorter = min(len(first), len(second))
    return paired + first[shorter:] + second[shorter:]
