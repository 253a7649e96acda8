"""Departure replicator.

Lets other daemons remember a departure before it is acknowledged to the target. The
acknowledgement binds the fleet also if the daemon that gave it ends at that moment.
"""

import asyncio
import random

from laburnumscale.departures import Departure
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import ALIVE
from laburnumscale.members import Members
from laburnumscale.tableexchange import TableExchange

__all__ = ["DepartureReplicator"]

#: Two other daemons seldom end together with this one before gossip reaches the rest.
CONFIRMATIONS = 2
MAX_ASKED = 4
#: An acknowledgement that takes a second is lost, so it is given without replicas then.
WAIT_S = 0.4


class DepartureReplicator:
    """Sends departures to other daemons at once, ahead of the gossip."""

    def __init__(self, members: Members, exchange: TableExchange) -> None:
        self._members = members
        self._exchange = exchange

    async def replicate(self, departure: Departure) -> int:
        """Wait until other daemons remember a departure, but not for long.

        :returns: the number of daemons that have confirmed it.
        """
        peers = [each for each in self._members.peers() if each.state == ALIVE]
        asked = random.sample(peers, min(MAX_ASKED, len(peers)))
        confirmed = 0
        tasks = [
            asyncio.create_task(self._exchange.replicate(each.peer_address, departure))
            for each in asked
        ]
        try:
            for reply in asyncio.as_completed(tasks, timeout=WAIT_S):
                confirmed += await reply
                if confirmed >= CONFIRMATIONS:
                    break
        except TimeoutError:
            pass  # logged below
        finally:
            for task in tasks:
                task.cancel()
        if confirmed < min(CONFIRMATIONS, len(peers)):
            get_logger().warning(
                "departure not replicated",
                endpoint=departure.endpoint,
                asked=len(asked),
                confirmed=confirmed,
            )
        return confirmed
