"""Member entries.

Merges membership entries of a daemon; the order of merging does not matter.
"""

import xxhash

from laburnumscale_schema import peer_pb2

__all__ = [
    "digest",
    "identity",
    "includes",
    "is_present",
    "is_unreached",
    "merge_entries",
    "merge_with_canonical",
    "unreached_entry",
    "without_endpoints",
]

ALIVE = peer_pb2.MEMBER_STATE_ALIVE
SUSPECT = peer_pb2.MEMBER_STATE_SUSPECT
DEAD = peer_pb2.MEMBER_STATE_DEAD
LEFT = peer_pb2.MEMBER_STATE_LEFT
GONE = peer_pb2.TARGET_STATE_GONE
STATE_RANKS = {ALIVE: 0, SUSPECT: 1, DEAD: 2, LEFT: 3}

#: Version of entries that were only read from a record. Those of the daemon itself
#: start at 1, so any of them replaces such an entry.
UNREACHED_VERSION = 0

EndpointKey = tuple[str, str]


def identity(member: peer_pb2.Member) -> tuple[int, str]:
    """Return the incarnation and address, which identify a process of a daemon."""
    return member.incarnation, member.peer_address


def is_present(member: peer_pb2.Member) -> bool:
    """Return whether a member is alive or suspected."""
    return member.state in (ALIVE, SUSPECT)


def is_unreached(member: peer_pb2.Member) -> bool:
    """Return whether a daemon is on record, and no entry of its own is known.

    It counts as dead until it is reached: it may live on the other side of a partition.
    """
    return member.state == DEAD and member.version == UNREACHED_VERSION


def unreached_entry(recorded: peer_pb2.Member) -> peer_pb2.Member:
    """Return the entry of a daemon that is known from its record only."""
    return peer_pb2.Member(
        daemon=recorded.daemon,
        incarnation=recorded.incarnation,
        version=UNREACHED_VERSION,
        peer_address=recorded.peer_address,
        data_centre=recorded.data_centre,
        state=DEAD,
    )


def without_endpoints(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return a copy of an entry without its endpoints and their version."""
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


def merge_entries(known: peer_pb2.Member, received: peer_pb2.Member) -> peer_pb2.Member:
    """Return the merge of two entries of the same daemon (their least upper bound).

    The merge is commutative, associative and idempotent for all entries from the
    history of a daemon, so tables converge in whatever order updates arrive.
    """
    if identity(known) != identity(received):
        newer = max(known, received, key=identity)
        return merge_entries(newer, newer)
    merged = without_endpoints(max(known, received, key=_precedence))
    if merged.state == LEFT:
        return merged
    merged.endpoints_version = max(known.endpoints_version, received.endpoints_version)
    merged.endpoints.extend(_merge_endpoints(known, received))
    return merged


def merge_with_canonical(
    known: peer_pb2.Member, received: peer_pb2.Member
) -> peer_pb2.Member:
    """Return the merge of a canonical entry and a received one.

    The result is that of :func:`merge_entries`, but merging the endpoints is skipped
    if the received entry has none, which is frequent.

    :param known: entry in canonical form, which means the result of a merge.
    """
    if (
        received.endpoints
        or received.endpoints_version
        or identity(known) != identity(received)
    ):
        return merge_entries(known, received)
    merged_entry = without_endpoints(max(known, received, key=_precedence))
    if merged_entry.state != LEFT:
        merged_entry.endpoints_version = known.endpoints_version
        merged_entry.endpoints.extend(known.endpoints)
    return merged_entry


def includes(known: peer_pb2.Member, received: peer_pb2.Member) -> bool:
    """Return whether a received entry certainly adds nothing to the known one.

    The check is cheap: if it returns False, the entry may still add nothing.
    """
    if identity(known) != identity(received):
        return identity(known) > identity(received)
    if received.endpoints_version > known.endpoints_version:
        return False
    if _precedence(known) < _precedence(received):
        return False
    return known.state == LEFT or _includes_endpoints(known, received)


def digest(member: peer_pb2.Member) -> int:
    """Return a digest that is equal for equivalent entries; 0 if dead or left.

    It ignores suspicions and members that are dead or have left, because each daemon
    detects and forgets them at a different time.
    """
    if not is_present(member):
        return 0
    endpoints = sorted(
        (endpoint.service, endpoint.endpoint, endpoint.version)
        for endpoint in member.endpoints
        if endpoint.state != GONE
    )
    content = (member.daemon, *identity(member), member.version, endpoints)
    return xxhash.xxh64_intdigest(repr(content).encode())


def _includes_endpoints(known: peer_pb2.Member, received: peer_pb2.Member) -> bool:
    if not received.endpoints:
        return True
    complete_version = known.endpoints_version
    versions = {(each.service, each.endpoint): each.version for each in known.endpoints}
    return all(
        versions.get((each.service, each.endpoint), complete_version) >= each.version
        for each in received.endpoints
    )


def _precedence(member: peer_pb2.Member) -> tuple[int, int, bool, str]:
    rank = STATE_RANKS.get(member.state, 0)
    return member.version, rank, member.draining, member.data_centre


def _merge_endpoints(
    known: peer_pb2.Member, received: peer_pb2.Member
) -> list[peer_pb2.Endpoint]:
    first = _endpoints_by_key(known)
    second = _endpoints_by_key(received)
    merged = []
    for key in sorted(first.keys() | second.keys()):
        endpoint = _merge_endpoint(first.get(key), second.get(key), known, received)
        if endpoint is not None:
            merged.append(endpoint)
    return merged


def _endpoints_by_key(member: peer_pb2.Member) -> dict[EndpointKey, peer_pb2.Endpoint]:
    return {(each.service, each.endpoint): each for each in member.endpoints}


def _merge_endpoint(
    first: peer_pb2.Endpoint | None,
    second: peer_pb2.Endpoint | None,
    known: peer_pb2.Member,
    received: peer_pb2.Member,
) -> peer_pb2.Endpoint | None:
    if first is None:
        return _unless_removed(second, known)
    if second is None:
        return _unless_removed(first, received)
    newer = max(first, second, key=lambda each: each.version)
    complete_version = max(known.endpoints_version, received.endpoints_version)
    if newer.state == GONE and newer.version <= complete_version:
        return None
    return newer


def _unless_removed(
    endpoint: peer_pb2.Endpoint, other: peer_pb2.Member
) -> peer_pb2.Endpoint | None:
    """Return an endpoint that an entry lacks, or None if the entry removed it.

    An entry includes all changes up to its endpoints_version, removals too.
    """
    return endpoint if endpoint.version > other.endpoints_version else None
