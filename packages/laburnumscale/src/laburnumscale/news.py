"""News.

What an entry of a member has that its earlier form had not.
"""

from laburnumscale.memberentries import GONE, identity, without_endpoints
from laburnumscale_schema import peer_pb2

__all__ = ["news_of", "renumber", "shown"]


def renumber(
    own: peer_pb2.Member, endpoints: list[peer_pb2.Endpoint]
) -> peer_pb2.Member:
    """Give a version to each endpoint that differs from the listed one.

    :param own: the entry whose endpoints are about to be replaced.
    :returns: an entry with the endpoints that differ and marks for removed ones.
    """
    news = without_endpoints(own)
    before = {(each.service, each.endpoint): each for each in own.endpoints}
    for endpoint in endpoints:
        old = before.pop((endpoint.service, endpoint.endpoint), None)
        endpoint.version = old.version if old is not None else 0
        if endpoint != old:
            own.endpoints_version += 1
            endpoint.version = own.endpoints_version
            news.endpoints.append(endpoint)
    for old in before.values():
        own.endpoints_version += 1
        removed = peer_pb2.Endpoint(service=old.service, endpoint=old.endpoint)
        removed.version = own.endpoints_version
        removed.state = GONE
        news.endpoints.append(removed)
    return news


def shown(member: peer_pb2.Member) -> peer_pb2.Member:
    """Return an entry without the marks of removed endpoints."""
    if all(endpoint.state != GONE for endpoint in member.endpoints):
        return member
    shown = without_endpoints(member)
    shown.endpoints.extend(each for each in member.endpoints if each.state != GONE)
    return shown


def news_of(
    known: peer_pb2.Member | None, heard: peer_pb2.Member, joined: peer_pb2.Member
) -> peer_pb2.Member:
    """Return the part of a joined entry that was not known before."""
    if known is None or identity(known) != identity(joined):
        return joined
    news = without_endpoints(joined)
    news.endpoints.extend(each for each in heard.endpoints if each in joined.endpoints)
    return news
