"""Peer sampling.

Chooses the peers for gossip and probes. Most of them are in the daemon's own data
centre, because traffic between data centres is expensive.
"""

import random

from laburnumscale.members import Members
from laburnumscale_schema import peer_pb2

__all__ = ["sample_peers", "shuffled_probe_order"]

#: Share of the gossip datagrams that go to other data centres. A daemon sends each
#: update several times, so a data centre of ten daemons sends out a dozen copies.
REMOTE_SHARE = 0.15
#: One in this many members of other data centres is probed in each round. Together,
#: the daemons of a data centre probe all of them.
REMOTE_PROBE_SHARE = 0.25


def sample_peers(members: Members, count: int) -> list[peer_pb2.Member]:
    """Return random peers to send gossip to.

    A daemon that is alone in its data centre takes all of them from the others.
    """
    local, remote = _split_by_data_centre(members)
    remote_count = sum(random.random() < REMOTE_SHARE for _ in range(count))
    remote_count = max(remote_count, count - len(local))
    sampled = random.sample(remote, min(remote_count, len(remote)))
    local_count = min(count - len(sampled), len(local))
    return sampled + random.sample(local, local_count)


def shuffled_probe_order(members: Members) -> list[str]:
    """Return the names of the daemons to probe in the next round, in random order.

    All peers in the own data centre are probed, and a share of the others. A daemon
    that is alone in its data centre probes all of them.
    """
    local, remote = _split_by_data_centre(members)
    remote_count = round(len(remote) * REMOTE_PROBE_SHARE + random.random() / 2)
    if not local:
        remote_count = len(remote)
    chosen = local + random.sample(remote, min(remote_count, len(remote)))
    names = [member.daemon for member in chosen]
    random.shuffle(names)
    return names


def _split_by_data_centre(
    members: Members,
) -> tuple[list[peer_pb2.Member], list[peer_pb2.Member]]:
    own = members.own.data_centre
    peers = members.peers()
    local = [member for member in peers if member.data_centre == own]
    remote = [member for member in peers if member.data_centre != own]
    return local, remote
