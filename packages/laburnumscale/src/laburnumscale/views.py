"""Views.

Joins what two daemons know of a third one; the order of joining does not matter.
"""

import xxhash

from laburnumscale_schema import peer_pb2

__all__ = ["digest", "identity", "is_known", "is_listed", "join", "liveness", "renew"]

ALIVE = peer_pb2.MEMBER_STATE_ALIVE
SUSPECT = peer_pb2.MEMBER_STATE_SUSPECT
DEAD = peer_pb2.MEMBER_STATE_DEAD
LEFT = peer_pb2.MEMBER_STATE_LEFT
GONE = peer_pb2.TARGET_STATE_GONE
RANKS = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}

Key = tuple[str, str]


def identity(member: peer_pb2.Member) -> tuple[int, str]:
    """Return what differs between two processes of one daemon name."""
    return member.incarnation, member.peer_address


def is_listed(member: peer_pb2.Member) -> bool:
    """Tell whether a member counts as present."""
    return member.state in (ALIVE, SUSPECT)


def liveness(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return an entry without its endpoints."""
    return peer_pb2.Member(
        daemon=member.daemon,
        incarnation=member.incarnation,
        version=member.version,
        peer_address=member.peer_address,
        data_centre=member.data_centre,
        state=member.state,
        draining=member.draining,
        key_homes=member.key_homes,
    )


def join(known: peer_pb2.Member, heard: peer_pb2.Member) -> peer_pb2.Member:
    """Return the least entry that holds what both entries of a daemon say.

    The join is commutative, associative and idempotent for all entries that come
    from the history of their daemon, so views agree whatever way news took.
    """
    if identity(known) != identity(heard):
        newer = max(known, heard, key=identity)
        return join(newer, newer)
    joined = liveness(max(known, heard, key=_precedence))
    if joined.state == LEFT:
        return joined
    joined.endpoints_version = max(known.endpoints_version, heard.endpoints_version)
    joined.endpoints.extend(_join_endpoints(known, heard))
    return joined


def renew(known: peer_pb2.Member, heard: peer_pb2.Member) -> peer_pb2.Member:
    """Return the join of an entry that was joined before with one of its process.

    Spares the work on endpoints for the many entries that carry none.
    """
    if heard.endpoints or heard.endpoints_version or identity(known) != identity(heard):
        return join(known, heard)
    renewed = liveness(max(known, heard, key=_precedence))
    if renewed.state != LEFT:
        renewed.endpoints_version = known.endpoints_version
        renewed.endpoints.extend(known.endpoints)
    return renewed


def is_known(known: peer_pb2.Member, heard: peer_pb2.Member) -> bool:
    """Tell at little cost whether an entry surely adds nothing to a known one."""
    if identity(known) != identity(heard):
        return identity(known) > identity(heard)
    if heard.endpoints_version > known.endpoints_version:
        return False
    if _precedence(known) < _precedence(heard):
        return False
    return known.state == LEFT or _are_known(known, heard)


def digest(member: peer_pb2.Member) -> int:
    """Return a digest that is equal for entries with the same consequences.

    Suspicions and members that are gone do not count: each daemon comes to them,
    and forgets them, at a time of its own.
    """
    if not is_listed(member):
        return 0
    endpoints = sorted(
        (endpoint.service, endpoint.endpoint, endpoint.version)
        for endpoint in member.endpoints
        if endpoint.state != GONE
    )
    content = (member.daemon, *identity(member), member.version, endpoints)
    return xxhash.xxh64_intdigest(repr(content).encode())


def _are_known(known: peer_pb2.Member, heard: peer_pb2.Member) -> bool:
    if not heard.endpoints:
        return True
    complete = known.endpoints_version
    versions = {(each.service, each.endpoint): each.version for each in known.endpoints}
    return all(
        versions.get((each.service, each.endpoint), complete) >= each.version
        for each in heard.endpoints
    )


def _precedence(member: peer_pb2.Member) -> tuple[int, int, bool, str]:
    rank = RANKS.get(member.state, 0)
    return member.version, rank, member.draining, member.data_centre


def _join_endpoints(
    known: peer_pb2.Member, heard: peer_pb2.Member
) -> list[peer_pb2.Endpoint]:
    first = _by_key(known)
    second = _by_key(heard)
    joined = []
    for key in sorted(first.keys() | second.keys()):
        endpoint = _newer(first.get(key), second.get(key), known, heard)
        if endpoint is not None:
            joined.append(endpoint)
    return joined


def _by_key(member: peer_pb2.Member) -> dict[Key, peer_pb2.Endpoint]:
    return {(each.service, each.endpoint): each for each in member.endpoints}


def _newer(
    first: peer_pb2.Endpoint | None,
    second: peer_pb2.Endpoint | None,
    known: peer_pb2.Member,
    heard: peer_pb2.Member,
) -> peer_pb2.Endpoint | None:
    if first is None:
        return _unless_removed(second, known)
    if second is None:
        return _unless_removed(first, heard)
    newer = max(first, second, key=lambda each: each.version)
    complete = max(known.endpoints_version, heard.endpoints_version)
    if newer.state == GONE and newer.version <= complete:
        return None
    return newer


def _unless_removed(
    endpoint: peer_pb2.Endpoint, other: peer_pb2.Member
) -> peer_pb2.Endpoint | None:
    return endpoint if endpoint.version > other.endpoints_version else None
