"""Process ends.

Decides whether the process of a daemon has ended that may be running something.
"""

from typing import Protocol

from laburnumscale.memberentries import LEFT
from laburnumscale.members import Members
from laburnumscale_schema import peer_pb2

__all__ = ["ProcessEnds", "RefusalCheck"]


class RefusalCheck(Protocol):
    """Checks whether the host of a peer refuses connections."""

    async def is_refused(self, address: str) -> bool:
        """Return whether no process listens at an address of a reachable host."""


class ProcessEnds:
    """Decides on certain knowledge alone, because a run must not end by doubt.

    A process has ended if it has said that it leaves, if a newer one of the same daemon
    is known, or if its host refuses connections. A suspicion of other members, or that
    they have declared the daemon dead, says nothing.
    """

    def __init__(self, members: Members, channels: RefusalCheck) -> None:
        self._members = members
        self._channels = channels

    async def has_ended(self, daemon: str, incarnation: int, address: str) -> bool:
        """Return whether a process of a daemon that was a member has ended.

        :param address: the address at which the process was reached.
        """
        known = self._members.get(daemon)
        if known is None or _is_over(known, incarnation):
            return True
        return await self._channels.is_refused(address)


def _is_over(known: peer_pb2.Member, incarnation: int) -> bool:
    return known.incarnation > incarnation or known.state == LEFT
