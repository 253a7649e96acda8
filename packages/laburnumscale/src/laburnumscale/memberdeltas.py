"""Member deltas.

Computes the differences between two versions of a member's entry.
"""

from laburnumscale.memberentries import GONE, identity, without_endpoints
from laburnumscale_schema import peer_pb2

__all__ = ["assign_endpoint_versions", "compute_delta", "without_removed_endpoints"]


def assign_endpoint_versions(
    own: peer_pb2.Member, endpoints: list[peer_pb2.Endpoint]
) -> peer_pb2.Member:
    """Assign a new version to each endpoint that was added, changed or removed.

    :param own: entry whose endpoints are about to be replaced; its endpoints version
        is incremented.
    :param endpoints: the new endpoints; their versions are set in place.
    :returns: entry with the changed endpoints and tombstones for the removed ones.
    """
    delta = without_endpoints(own)
    previous_endpoints = {(each.service, each.endpoint): each for each in own.endpoints}
    for endpoint in endpoints:
        previous = previous_endpoints.pop((endpoint.service, endpoint.endpoint), None)
        endpoint.version = previous.version if previous is not None else 0
        if endpoint != previous:
            own.endpoints_version += 1
            endpoint.version = own.endpoints_version
            delta.endpoints.append(endpoint)
    for previous in previous_endpoints.values():
        own.endpoints_version += 1
        removed = peer_pb2.Endpoint(
            service=previous.service, endpoint=previous.endpoint
        )
        removed.version = own.endpoints_version
        removed.state = GONE
        delta.endpoints.append(removed)
    return delta


def without_removed_endpoints(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return an entry without the tombstones of removed endpoints."""
    if all(endpoint.state != GONE for endpoint in member.endpoints):
        return member
    visible = without_endpoints(member)
    visible.endpoints.extend(each for each in member.endpoints if each.state != GONE)
    return visible


def compute_delta(
    known: peer_pb2.Member | None, received: peer_pb2.Member, merged: peer_pb2.Member
) -> peer_pb2.Member:
    """Return the part of a merged entry that was not known before.

    :param known: entry before the merge, or None.
    :param received: entry received from another daemon.
    :param merged: result of merging the two.
    """
    if known is None or identity(known) != identity(merged):
        return merged
    delta = without_endpoints(merged)
    delta.endpoints.extend(
        each for each in received.endpoints if each in merged.endpoints
    )
    return delta
