"""Peer discovery.

Finds other daemons through the platform's log and seed addresses.
"""

import asyncio
import random
import time
from collections.abc import Sequence

from laburnumscale.addresses import Address
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logpacing import draw_retry_delay_s, reads_presence_after_start
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.presence import PresenceStream
from laburnumscale.tableexchange import TableExchange

__all__ = ["PeerDiscovery"]

JOIN_TIMEOUT_S = 3.0
MAX_CONTACTS_PER_SOURCE = 3
ALONE_POLL_INTERVAL_MS = 1_000
ALONE_PAUSE_S = 1.0
POLL_INTERVAL_S_PER_MEMBER = 2.0
MIN_POLL_INTERVAL_S = 5.0
ANNOUNCE_INTERVAL_S_PER_MEMBER = 60.0
MIN_ANNOUNCE_INTERVAL_S = 600.0
#: Time in which the daemons write their records again after a return of the log.
MAX_REANNOUNCE_DELAY_S = 2.0
#: Time in which daemons that start at once append their records, before they read.
ANNOUNCED_PAUSE_S = (0.2, 0.5)
#: Pauses that a daemon makes at most while the group that it knows grows.
MAX_ANNOUNCED_PAUSES = 6


class PeerDiscovery:
    """Makes the first contact with other daemons and reconnects split fleets.

    Intervals grow with the fleet, so that all daemons together read the log about
    once every 2 s and append about one record a minute, however large the fleet is.

    :param presence: the presence stream, or None for a fleet without a log.
    :param seeds: addresses of daemons to contact, also while the log is unavailable.
    """

    def __init__(
        self,
        members: Members,
        presence: PresenceStream | None,
        exchange: TableExchange,
        metrics: Metrics,
        seeds: Sequence[Address],
    ) -> None:
        self._members = members
        self._presence = presence
        self._exchange = exchange
        self._metrics = metrics
        self._announce_at_s = 0.0
        self._seeds = [
            str(seed) for seed in seeds if str(seed) != members.own.peer_address
        ]

    async def join(self) -> None:
        """Fetch the tables of some daemons, then freeze the incarnation.

        If the clock was set back, an earlier process with the same daemon name may
        have a higher incarnation. This step finds its entry before this daemon serves.
        """
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._read_presence()
                await asyncio.gather(
                    *(
                        self._exchange.exchange(address, announce_self=False)
                        for address in self._contact_addresses()
                    )
                )
        except TimeoutError:
            self._metrics.count("join_timeouts")
        self._members.freeze_incarnation()

    async def discover_forever(self) -> None:
        """Announce this daemon in the log and contact unknown daemons, repeatedly."""
        attempt = 0
        while True:
            try:
                if self._presence is not None:
                    await self._announce_and_read()
                attempt = 0
            except LaburnumscaleError:
                self._metrics.count("presence_failures")
                attempt += 1
            await self._contact_unknown_daemons()
            if attempt:
                await asyncio.sleep(draw_retry_delay_s(attempt, 1))
            await self._sleep_until_next_poll()

    async def _announce_and_read(self) -> None:
        """Announce this daemon if an announcement is due, then read new records."""
        if time.monotonic() >= self._announce_at_s:
            await self._presence.announce()
            self._announce_at_s = time.monotonic() + self._announce_interval_s()
            await self._pause_while_group_grows()
            group_size = self._members.group_size
            if group_size > 1 and not reads_presence_after_start(group_size):
                return
        await self._presence.read(
            0 if self._members.peers() else ALONE_POLL_INTERVAL_MS
        )
        if self._presence.is_announcement_lost():
            await asyncio.sleep(random.uniform(0, MAX_REANNOUNCE_DELAY_S))
            await self._presence.announce()

    async def _pause_while_group_grows(self) -> None:
        """Wait until the daemons that start at once know each other.

        Few of them have to read again. Each would, if it took the part of the fleet
        that it knows at first for all of it.
        """
        for _ in range(MAX_ANNOUNCED_PAUSES):
            known = self._members.group_size
            await asyncio.sleep(random.uniform(*ANNOUNCED_PAUSE_S))
            if self._members.group_size <= known:
                return

    async def _sleep_until_next_poll(self) -> None:
        if not self._members.peers():
            has_log = self._presence is not None
            pause_s = random.uniform(*ANNOUNCED_PAUSE_S) if has_log else ALONE_PAUSE_S
            await asyncio.sleep(pause_s)
        if self._members.peers():
            await self._sleep_between_polls(random.uniform(0.5, 1.5))

    async def _sleep_between_polls(self, share: float) -> None:
        """Sleep for a share of the mean interval, which grows with the group."""
        slept_s = 0.0
        while (left_s := share * self._mean_poll_interval_s() - slept_s) > 0:
            await asyncio.sleep(left_s)
            slept_s += left_s

    def _mean_poll_interval_s(self) -> float:
        interval_s = self._members.group_size * POLL_INTERVAL_S_PER_MEMBER
        return max(MIN_POLL_INTERVAL_S, interval_s)

    async def _contact_unknown_daemons(self) -> None:
        addresses = self._contact_addresses()
        await asyncio.gather(*(self._exchange.exchange(each) for each in addresses))

    async def _read_presence(self) -> None:
        if self._presence is None:
            self._members.fleet_known = True
            return
        try:
            await self._presence.read()
        except LaburnumscaleError:
            self._metrics.count("presence_failures")

    def _contact_addresses(self) -> list[str]:
        """Return peer addresses of some daemons that are not in the table."""
        own = self._members.own.peer_address
        known = {own} | {peer.peer_address for peer in self._members.peers()}
        contacts = [] if self._presence is None else self._presence.contacts()
        recent_addresses = [contact.peer_address for contact in contacts]
        seeds = random.sample(self._seeds, len(self._seeds))
        candidates = [
            *recent_addresses[:MAX_CONTACTS_PER_SOURCE],
            *seeds[:MAX_CONTACTS_PER_SOURCE],
        ]
        return [each for each in dict.fromkeys(candidates) if each not in known]

    def _announce_interval_s(self) -> float:
        fleet_interval_s = self._members.group_size * ANNOUNCE_INTERVAL_S_PER_MEMBER
        interval_s = max(MIN_ANNOUNCE_INTERVAL_S, fleet_interval_s)
        return interval_s * random.uniform(0.5, 1.5)
