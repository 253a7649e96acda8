"""Members.

What this daemon knows of the other daemons and of the endpoints beside them.
"""

import time
from collections.abc import Callable

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.endpointindex import EndpointIndex, EndpointView
from laburnumscale.errors import DaemonNameTaken
from laburnumscale.logs import get_logger
from laburnumscale.news import news_of, renumber, shown
from laburnumscale.views import (
    DEAD,
    LEFT,
    digest,
    identity,
    is_known,
    is_listed,
    join,
    liveness,
    renew,
)
from laburnumscale_schema import peer_pb2

__all__ = ["EndpointView", "Members", "Merge", "new_incarnation"]

GONE_KEPT_MS = 3_600_000
HIGHEST_GONE_MEMBERS = 4_096
DIGEST_MODULUS = 1 << 64


def new_incarnation() -> int:
    """Return the incarnation of a daemon that starts now."""
    return time.time_ns() // 1000


@attrs.frozen
class Merge:
    """A change of the table: one entry before and after."""

    before: peer_pb2.Member | None
    after: peer_pb2.Member


class Members:
    """The membership table of one daemon.

    Entries are never changed in place, but for the daemon's own one.

    :ivar own: the entry of this daemon.
    :ivar name_taken: set once another process has taken this daemon's name.
    :ivar refutations: how often this daemon had to say that it is alive.
    :ivar serving: this daemon has joined and takes the calls of callers.
    """

    def __init__(self, own: peer_pb2.Member) -> None:
        self.own = own
        self.name_taken: DaemonNameTaken | None = None
        self.refutations = 0
        self._settled = False
        self.serving = False
        self._table: dict[str, peer_pb2.Member] = {own.daemon: own}
        self._digests: dict[str, int] = {own.daemon: digest(own)}
        self._table_digest = self._digests[own.daemon]
        self._peers: dict[str, peer_pb2.Member] = {}
        self._gone_deadlines: dict[str, Deadline] = {}
        self._key_holders: dict[tuple[str, int], str] = {}
        self._index = EndpointIndex(self.get)
        self._listeners: list[Callable[[peer_pb2.Member], None]] = []

    def on_change(self, listener: Callable[[peer_pb2.Member], None]) -> None:
        """Call a function with the news of each change, for passing on."""
        self._listeners.append(listener)

    def get(self, daemon: str) -> peer_pb2.Member | None:
        """Return the entry of a daemon, or None."""
        return self._table.get(daemon)

    def all(self) -> list[peer_pb2.Member]:
        """Return the entries of all daemons, this one included, to show them."""
        return [shown(member) for member in self._table.values()]

    def peers(self) -> list[peer_pb2.Member]:
        """Return the other daemons that are not known to be gone."""
        return list(self._peers.values())

    @property
    def group_size(self) -> int:
        """Return the number of daemons that are not known to be gone, this one too."""
        return len(self._peers) + 1

    def dead(self) -> list[peer_pb2.Member]:
        """Return the daemons that went without a word and may come back."""
        gone = (self._table[daemon] for daemon in self._gone_deadlines)
        return [member for member in gone if member.state == DEAD]

    @property
    def table_digest(self) -> int:
        """Return a digest of the whole table."""
        return self._table_digest

    def digests(self) -> dict[str, int]:
        """Return the digest of each listed daemon's entry."""
        return {daemon: value for daemon, value in self._digests.items() if value}

    def settle_incarnation(self) -> None:
        """Fix the incarnation for the life of this process."""
        self._settled = True

    def merge(self, heard: peer_pb2.Member) -> Merge | None:
        """Join an entry with the known one.

        :returns: the change, or None if there was nothing new in it.
        """
        if heard.daemon == self.own.daemon:
            self._merge_own(heard)
            return None
        known = self._table.get(heard.daemon)
        if known is not None and is_known(known, heard):
            return None
        joined = join(heard, heard) if known is None else renew(known, heard)
        if joined == known:
            return None
        self._put(known, joined)
        if known is not None or is_listed(joined):
            self._notify(news_of(known, heard, joined))
        return Merge(known, joined)

    def judge(self, daemon: str, state: int) -> None:
        """Change the state of another daemon at its known version."""
        known = self._table.get(daemon)
        if known is not None:
            claim = liveness(known)
            claim.state = state
            self.merge(claim)

    def set_endpoints(self, endpoints: list[peer_pb2.Endpoint]) -> None:
        """Replace the endpoints of this daemon; only what differs is passed on."""
        news = renumber(self.own, endpoints)
        if news.endpoints:
            self._replace_own(endpoints)
            self._notify(news)

    def set_draining(self) -> None:
        """Say that this daemon is about to leave."""
        self._change_own(draining=True)

    def set_left(self) -> None:
        """Say that this daemon has left."""
        self._change_own(state=LEFT)

    def set_key_homes(self, homes: list[peer_pb2.KeyHolder]) -> None:
        """Say whose operation keys this daemon has taken over."""
        before = self._copy_own()
        del self.own.key_homes[:]
        self.own.key_homes.extend(homes)
        self._note_key_homes(before, self.own)
        self._change_own()

    def key_holder(self, daemon: str, incarnation: int) -> peer_pb2.Member | None:
        """Return the daemon that took over the operation keys of another, or None."""
        holder = self._key_holders.get((daemon, incarnation))
        return self._table.get(holder) if holder is not None else None

    def endpoints(self, service: str) -> list[EndpointView]:
        """Return the endpoints of a service, each beside one daemon."""
        return self._index.endpoints(service)

    def endpoint(self, service: str, endpoint: str) -> EndpointView | None:
        """Return one endpoint, beside the daemon that has it."""
        views = self.endpoints(service)
        return next((view for view in views if view.endpoint == endpoint), None)

    def forget_gone(self) -> list[str]:
        """Drop members that have been gone for long, or are too many.

        :returns: peer addresses at which nobody is left.
        """
        forgotten = set()
        for daemon, deadline in list(self._gone_deadlines.items()):
            too_many = len(self._gone_deadlines) > HIGHEST_GONE_MEMBERS
            if not (deadline.has_passed() or too_many):
                break
            del self._gone_deadlines[daemon]
            del self._digests[daemon]
            forgotten.add(self._table.pop(daemon).peer_address)
        if not forgotten:
            return []
        return sorted(forgotten - {each.peer_address for each in self._table.values()})

    def _merge_own(self, heard: peer_pb2.Member) -> None:
        if identity(heard) > identity(self.own):
            self._meet_namesake(heard)
        elif identity(heard) == identity(self.own):
            self._refute(heard)

    def _meet_namesake(self, heard: peer_pb2.Member) -> None:
        if not self._settled:
            self._change_own(incarnation=heard.incarnation + 1)
        elif self.name_taken is None and is_listed(heard):
            self.name_taken = DaemonNameTaken(
                self.own.daemon,
                self.own.incarnation,
                heard.incarnation,
                heard.peer_address,
            )
            get_logger().error("daemon name taken", reason=str(self.name_taken))

    def _refute(self, heard: peer_pb2.Member) -> None:
        if heard.version < self.own.version or heard.state == self.own.state:
            return
        self.refutations += 1
        self._change_own(version=heard.version)

    def _change_own(self, **fields: int | bool) -> None:
        before = self._copy_own()
        for name, value in fields.items():
            setattr(self.own, name, value)
        self.own.version += 1
        self._put(before, self.own)
        self._notify(liveness(self.own))

    def _copy_own(self) -> peer_pb2.Member:
        copy = peer_pb2.Member()
        copy.CopyFrom(self.own)
        return copy

    def _replace_own(self, endpoints: list[peer_pb2.Endpoint]) -> None:
        before = self._copy_own()
        del self.own.endpoints[:]
        self.own.endpoints.extend(endpoints)
        self._put(before, self.own)

    def _put(self, before: peer_pb2.Member | None, after: peer_pb2.Member) -> None:
        daemon = after.daemon
        self._table[daemon] = after
        old_digest = self._digests.get(daemon, 0)
        self._digests[daemon] = digest(after)
        change = self._digests[daemon] - old_digest
        self._table_digest = (self._table_digest + change) % DIGEST_MODULUS
        self._note_key_homes(before, after)
        self._index.update(before, after)
        self._gone_deadlines.pop(daemon, None)
        if is_listed(after) and daemon != self.own.daemon:
            self._peers[daemon] = after
        else:
            self._peers.pop(daemon, None)
        if not is_listed(after):
            self._gone_deadlines[daemon] = Deadline.after_ms(GONE_KEPT_MS)

    def _note_key_homes(
        self, before: peer_pb2.Member | None, after: peer_pb2.Member
    ) -> None:
        for home in before.key_homes if before is not None else ():
            self._key_holders.pop((home.daemon, home.incarnation), None)
        for home in after.key_homes if is_listed(after) else ():
            self._key_holders[home.daemon, home.incarnation] = after.daemon

    def _notify(self, news: peer_pb2.Member) -> None:
        for listener in self._listeners:
            listener(news)
