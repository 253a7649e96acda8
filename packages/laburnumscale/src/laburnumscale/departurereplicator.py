"""Departure replicator.

Lets other daemons remember a departure, and the log keep it, before it is acknowledged
to the target. The acknowledgement binds the fleet also if the daemon that gave it ends
at that moment, or all daemons do.
"""

import asyncio
import random

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.departurerecords import DepartureRecords
from laburnumscale.departures import Departure
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import ALIVE
from laburnumscale.members import Members
from laburnumscale.tableexchange import TableExchange

__all__ = ["DepartureReplicator", "Replicas"]

#: Two other daemons seldom end together with this one before gossip reaches the rest.
CONFIRMATIONS = 2
MAX_ASKED = 4
PEERS_WAIT_MS = 400
#: An acknowledgement that takes a second is lost.
RECORD_WAIT_MS = 800


@attrs.frozen
class Replicas:
    """What outlasts this daemon of a departure.

    :ivar confirmed: daemons that were asked now and have confirmed it.
    :ivar is_recorded: the log has it, so that it outlasts all daemons, or the fleet has
        no log.
    """

    confirmed: int
    is_recorded: bool


class DepartureReplicator:
    """Sends departures at once to the log, and to other daemons ahead of the gossip."""

    def __init__(
        self, members: Members, exchange: TableExchange, records: DepartureRecords
    ) -> None:
        self._members = members
        self._exchange = exchange
        self._records = records

    async def replicate(self, departure: Departure) -> Replicas:
        """Wait until others remember a departure and the log has it, but not for long.

        It may be acknowledged only if it is recorded. If it is not, it will be written
        nevertheless, and the next message of the target finds it in the log.
        """
        if self._records.has_recorded(departure):
            return Replicas(0, is_recorded=True)
        recorded = asyncio.create_task(self._records.record(departure))
        deadline = Deadline.after_ms(RECORD_WAIT_MS)
        try:
            confirmed, wanted = await self._ask_peers(
                departure, Deadline.after_ms(PEERS_WAIT_MS)
            )
            await asyncio.wait((recorded,), timeout=deadline.left_s())
            is_recorded = recorded.done()
        finally:
            recorded.cancel()
        if confirmed < wanted or not is_recorded:
            get_logger().warning(
                "departure not replicated",
                endpoint=departure.endpoint,
                confirmed=confirmed,
                is_recorded=is_recorded,
            )
        return Replicas(confirmed, is_recorded)

    async def _ask_peers(
        self, departure: Departure, deadline: Deadline
    ) -> tuple[int, int]:
        """Return how many daemons have confirmed a departure, and how many should."""
        peers = [each for each in self._members.peers() if each.state == ALIVE]
        asked = random.sample(peers, min(MAX_ASKED, len(peers)))
        confirmed = 0
        tasks = [
            asyncio.create_task(self._exchange.replicate(each.peer_address, departure))
            for each in asked
        ]
        try:
            for reply in asyncio.as_completed(tasks, timeout=deadline.left_s()):
                confirmed += await reply
                if confirmed >= CONFIRMATIONS:
                    break
        except TimeoutError:
            pass  # logged by the caller
        finally:
            for task in tasks:
                task.cancel()
        return confirmed, min(CONFIRMATIONS, len(peers))
