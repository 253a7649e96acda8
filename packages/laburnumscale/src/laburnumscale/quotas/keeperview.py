"""Keeper view.

Which daemon keeps the quota of an account, as far as this daemon knows the membership.
"""

import heapq
import random
from collections import OrderedDict, deque
from collections.abc import Callable, Iterator

import attrs
import xxhash

from laburnumscale.deadlines import now_s
from laburnumscale.memberentries import ALIVE, DEAD, is_present, is_unreached
from laburnumscale.members import Members
from laburnumscale_schema import peer_pb2

__all__ = ["GoneKeeper", "KeeperView"]

#: Accounts are ranked in groups: to rank 1,900 daemons takes 0.16 ms, and an entry of a
#: fleet with 190,000 accounts would hardly see one again before its ranking is evicted.
#: The rankings of all groups take 1.8 MB.
ACCOUNT_GROUPS = 4_096
#: Changes of candidates that cached rankings follow; older rankings are computed anew.
MAX_FOLLOWED_CHANGES = 256
RANKED_CANDIDATES = 2  # the keeper and its backup
#: After this time the bucket of a new keeper owes nothing to the one before. Buckets
#: that take longer to fill start with what accrues in this time.
GONE_MEMORY_S = 60.0
#: Probes of other members whose results show whether this daemon is cut off. With one
#: each 500 ms they cover 3 s, the shortest time in which others declare it dead.
PROBE_MEMORY = 6
MIN_PROBES = 3
#: Below this share of successful probes a cut is likely; single failed hosts or lost
#: datagrams do not lower a share of 6 probes so far.
MIN_PROBE_SUCCESS = 0.5
SHARE_MAX_AGE_S = 5.0
#: Tables of daemons that start at once are complete after about a second.
REACH_S = 2.0
#: By then the membership has declared the daemon dead. If it has not, the host refused
#: connections for another reason, such as a daemon that did not listen yet.
END_VALID_S = 10.0


@attrs.frozen
class _Candidate:
    incarnation: int
    is_present: bool
    may_keep: bool
    is_alive: bool


@attrs.frozen
class GoneKeeper:
    """A daemon that ceased to be a candidate.

    :ivar at_s: when this daemon learned of it.
    :ivar has_failed: it did not drain or leave.
    """

    seed: int
    at_s: float
    has_failed: bool


@attrs.frozen
class _End:
    incarnation: int
    expires_at_s: float


@attrs.define
class _Ranking:
    top: list[tuple[int, str]]
    followed: int


def _seed(daemon: str) -> int:
    return xxhash.xxh64_intdigest(daemon.encode())


def _group(account: str) -> bytes:
    group = xxhash.xxh64_intdigest(account.encode()) % ACCOUNT_GROUPS
    return group.to_bytes(2, "big")


def _score(group: bytes, seed: int) -> int:
    return xxhash.xxh64_intdigest(group, seed)


def _top(group: bytes, seeds: dict[str, int]) -> list[tuple[int, str]]:
    scores = ((_score(group, seed), name) for name, seed in seeds.items())
    return heapq.nlargest(RANKED_CANDIDATES, scores)


class KeeperView:
    """Ranks the daemons for each group of accounts by rendezvous hashing.

    Candidates are the daemons that are present and do not drain.

    :param clock: returns the time in seconds.
    :ivar started_at_s: since when this daemon follows the membership without a gap.
    :ivar on_gone: called with a daemon that ceased to be a candidate.
    """

    def __init__(self, members: Members, clock: Callable[[], float] = now_s) -> None:
        self._members = members
        self._clock = clock
        self.started_at_s = clock()
        self.own = members.own.daemon
        self.own_seed = _seed(self.own)
        self.on_gone: Callable[[str], None] = lambda daemon: None
        self._known: dict[str, _Candidate] = {}
        self._seeds: dict[str, int] = {}
        self._draining_seeds: dict[str, int] = {}
        self._gone: OrderedDict[str, GoneKeeper] = OrderedDict()
        self._joined_at_s: OrderedDict[str, float] = OrderedDict()
        self._changes: list[tuple[str, bool]] = []
        self._first_change = 0
        self._rankings: dict[bytes, _Ranking] = {}
        self._share: float | None = None
        self._share_at_s = 0.0
        self._probes: deque[bool] = deque(maxlen=PROBE_MEMORY)
        self._ended: dict[str, _End] = {}
        for member in members.peers():
            self._update(member)
        self._update(members.own)
        members.on_change(lambda delta: self._follow(delta.daemon))

    @property
    def is_candidate(self) -> bool:
        """Return whether this daemon may keep quotas."""
        return self.own in self._seeds

    @property
    def knows_fleet(self) -> bool:
        """Return whether the share of this part of the fleet can be computed."""
        return self._members.fleet_known

    def is_reaching_fleet(self) -> bool:
        """Return whether this daemon has just started and its share will likely grow.

        After a restart of the whole fleet, all daemons reach each other in this time.
        """
        return self._clock() - self.started_at_s < REACH_S and any(
            map(is_unreached, self._members.dead())
        )

    def rank(self, account: str) -> list[str]:
        """Return the keeper of an account and its backup, as far as there are some.

        While all daemons drain, those that drain keep the quotas.
        """
        if self._ended:
            self._expire_ends()
        group = _group(account)
        if not self._seeds:
            return [daemon for _, daemon in _top(group, self._draining_seeds)]
        ranking = self._rankings.get(group)
        if ranking is None or ranking.followed < self._first_change:
            ranking = self._compute(group)
        elif ranking.followed < self._first_change + len(self._changes):
            ranking = self._catch_up(group, ranking)
        return [daemon for _, daemon in ranking.top]

    def with_relay(self, account: str) -> Iterator[str]:
        """Yield the keeper of an account, its backup and a random other daemon.

        The last one may reach the keeper where this daemon does not.
        """
        ranked = self.rank(account)
        yield from ranked
        others = [each for each in self._seeds if each not in (*ranked, self.own)]
        if others:
            yield random.choice(others)

    def address(self, daemon: str) -> str:
        """Return the peer address of a daemon, or an empty string."""
        member = self._members.get(daemon)
        return member.peer_address if member is not None else ""

    def incarnation(self, daemon: str) -> int:
        """Return the incarnation of a daemon, or 0."""
        member = self._members.get(daemon)
        return member.incarnation if member is not None else 0

    def outranks(self, daemon: str, account: str) -> bool:
        """Return whether a daemon ranks ahead of this one, present or not."""
        group = _group(account)
        return (_score(group, _seed(daemon)), daemon) > (
            _score(group, self.own_seed),
            self.own,
        )

    def is_gone(self, daemon: str) -> bool:
        """Return whether a daemon has ceased to be a candidate."""
        return daemon in self._gone and daemon not in self._seeds

    def has_joined(self, daemon: str) -> bool:
        """Return whether a daemon has recently become a candidate.

        A new process of a daemon that was a candidate until then does not count.
        """
        joined_at_s = self._joined_at_s.get(daemon)
        return joined_at_s is not None and (
            self._clock() - joined_at_s <= GONE_MEMORY_S
        )

    def predecessor(self, account: str) -> str:
        """Return the daemon that kept the quota of an account if this one does now.

        This is one that drains and ranks ahead, or the next in the ranking, if this
        daemon has joined or returned. It may be none, and the name is empty then.
        """
        group = _group(account)
        draining = max(
            (
                (_score(group, seed), name)
                for name, seed in self._draining_seeds.items()
            ),
            default=None,
        )
        if draining is not None and draining > (_score(group, self.own_seed), self.own):
            return draining[1]
        others = [daemon for daemon in self.rank(account) if daemon != self.own]
        return others[0] if others else ""

    def kept_since_s(self, account: str) -> float:
        """Return since when this daemon ranks first for an account."""
        gone = self._gone_ahead(account)
        return max([self.started_at_s, *(each.at_s for each in gone)])

    def count_failed_keepers(self, account: str, within_s: float) -> int:
        """Return the daemons that ranked ahead of this one and failed recently.

        The start of this daemon counts as well, because a daemon that restarts again
        and again begins with a new bucket each time.
        """
        since_s = self._clock() - within_s
        gone = self._gone_ahead(account)
        failed = sum(each.has_failed and each.at_s >= since_s for each in gone)
        return failed + (self.started_at_s >= since_s)

    def share(self) -> float:
        """Return the share of each quota that this part of the fleet may grant.

        Daemons that were declared dead may live on the other side of a partition and
        grant calls there. So may those on record that were not reached since the start
        of this daemon; they count as dead. So may suspected ones: a keeper there starts
        after they are declared dead, so it is taken into account before that. A daemon
        whose probes fail is likely cut off with few others, which would take long to
        suspect all.
        """
        now = self._clock()
        if self._share is None or now - self._share_at_s > SHARE_MAX_AGE_S:
            peers = self._members.peers()
            alive = 1 + sum(
                each.state == ALIVE and not self._has_ended(each) for each in peers
            )
            ended = sum(self._has_ended(each) for each in peers)
            known = 1 + len(peers) - ended + self._count_dead()
            self._share = self._limit_by_probes(alive / known, known)
            self._share_at_s = now
        return self._share

    def record_probe(self, is_acked: bool) -> None:
        """Record the result of a probe of another member."""
        if is_acked and all(self._probes):
            self._probes.append(True)
            return
        self._probes.append(is_acked)
        self._share = None

    def record_ended(self, daemon: str, incarnation: int) -> None:
        """Record that the process of a daemon has certainly ended.

        The membership needs seconds to declare it dead.
        """
        self._ended[daemon] = _End(incarnation, self._clock() + END_VALID_S)
        self._follow(daemon)

    def record_alive(self, daemon: str) -> None:
        """Record that a daemon has sent a message."""
        if self._ended and self._ended.pop(daemon, None) is not None:
            self._follow(daemon)

    def restart(self) -> None:
        """Forget that this daemon has followed the membership until now."""
        self.started_at_s = self._clock()
        self._probes.clear()
        self._share = None

    def _follow(self, daemon: str) -> None:
        member = self._members.get(daemon)
        if member is not None:
            self._update(member)

    def _expire_ends(self) -> None:
        now = self._clock()
        for daemon, end in list(self._ended.items()):
            if end.expires_at_s <= now:
                del self._ended[daemon]
                self._follow(daemon)

    def _has_ended(self, member: peer_pb2.Member) -> bool:
        end = self._ended.get(member.daemon)
        return end is not None and end.incarnation == member.incarnation

    def _count_dead(self) -> int:
        return sum(not self._has_ended(each) for each in self._members.dead())

    def _limit_by_probes(self, share: float, known: int) -> float:
        if len(self._probes) < MIN_PROBES:
            return share
        success = sum(self._probes) / len(self._probes)
        if success > MIN_PROBE_SUCCESS:
            return share
        return min(share, max(success, 1 / known))

    def _update(self, member: peer_pb2.Member) -> None:
        """Follow a change of an entry; most change endpoints only."""
        daemon = member.daemon
        present = is_present(member) and not self._has_ended(member)
        new = _Candidate(
            member.incarnation,
            present,
            present and not member.draining,
            member.state == ALIVE,
        )
        old = self._known.get(daemon)
        if new == old:
            return
        self._known[daemon] = new
        self._share = None
        self._draining_seeds.pop(daemon, None)
        if present and member.draining:
            self._draining_seeds[daemon] = _seed(daemon)
        was_candidate = daemon in self._seeds
        if new.may_keep and not was_candidate:
            self._seeds[daemon] = _seed(daemon)
            self._record_join(daemon)
            self._record_change(daemon, True)
        elif was_candidate and not new.may_keep:
            self._remove(daemon, member.state == DEAD or self._has_ended(member))
        if not is_present(member):
            del self._known[daemon]

    def _remove(self, daemon: str, has_failed: bool) -> None:
        seed = self._seeds.pop(daemon)
        now = self._clock()
        self._gone[daemon] = GoneKeeper(seed, now, has_failed)
        self._gone.move_to_end(daemon)
        while now - next(iter(self._gone.values())).at_s > GONE_MEMORY_S:
            self._gone.popitem(last=False)
        self._record_change(daemon, False)
        self.on_gone(daemon)

    def _record_join(self, daemon: str) -> None:
        now = self._clock()
        self._joined_at_s[daemon] = now
        self._joined_at_s.move_to_end(daemon)
        while now - next(iter(self._joined_at_s.values())) > GONE_MEMORY_S:
            self._joined_at_s.popitem(last=False)

    def _record_change(self, daemon: str, is_candidate: bool) -> None:
        self._changes.append((daemon, is_candidate))
        if len(self._changes) > MAX_FOLLOWED_CHANGES:
            self._first_change += len(self._changes)
            self._changes.clear()

    def _compute(self, group: bytes) -> _Ranking:
        top = _top(group, self._seeds)
        ranking = _Ranking(top, self._first_change + len(self._changes))
        self._rankings[group] = ranking
        return ranking

    def _catch_up(self, group: bytes, ranking: _Ranking) -> _Ranking:
        for daemon, is_candidate in self._changes[
            ranking.followed - self._first_change :
        ]:
            if is_candidate:
                entry = (_score(group, _seed(daemon)), daemon)
                # A shortened ranking does not show whether others come before this one.
                if len(ranking.top) < RANKED_CANDIDATES or entry > ranking.top[-1]:
                    return self._compute(group)
            elif any(name == daemon for _, name in ranking.top):
                return self._compute(group)
        ranking.followed = self._first_change + len(self._changes)
        return ranking

    def _gone_ahead(self, account: str) -> list[GoneKeeper]:
        group = _group(account)
        own = _score(group, self.own_seed)
        since_s = self._clock() - GONE_MEMORY_S
        return [
            each
            for each in self._gone.values()
            if each.at_s >= since_s and _score(group, each.seed) > own
        ]
