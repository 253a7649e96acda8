"""Joining.

Finds the other daemons by the log and by seed addresses.
"""

import asyncio
import random
import time
from collections.abc import Sequence

from laburnumscale.addresses import Address
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.exchange import TableExchange
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import sleep_until_retry
from laburnumscale.presence import Presence

__all__ = ["Joining"]

JOIN_LIMIT_S = 3.0
JOIN_CONTACTS = 3
ALONE_WAIT_MS = 1_000
POLL_S_PER_MEMBER = 2.0
LOWEST_POLL_S = 5.0
ANNOUNCE_S_PER_MEMBER = 60.0
LOWEST_ANNOUNCE_S = 600.0


class Joining:
    """Makes the first contact with others, and later with parts that split off.

    The whole fleet together reads the log about once in two seconds and appends
    about one record in a minute, however large it is.

    :param presence: None for a fleet without a log.
    :param seeds: addresses of daemons that may be there while the log is away.
    """

    def __init__(
        self,
        members: Members,
        presence: Presence | None,
        exchange: TableExchange,
        metrics: Metrics,
        seeds: Sequence[Address],
    ) -> None:
        self._members = members
        self._presence = presence
        self._exchange = exchange
        self._metrics = metrics
        self._seeds = [
            str(seed) for seed in seeds if str(seed) != members.own.peer_address
        ]

    async def join(self) -> None:
        """Fetch the table of some daemons, then settle the incarnation.

        An earlier process of the same name may have had a higher incarnation, if
        the clock has gone back; its entry is found before this daemon serves.
        """
        try:
            async with asyncio.timeout(JOIN_LIMIT_S):
                await self._read()
                await asyncio.gather(
                    *(
                        self._exchange.exchange(address, announced=False)
                        for address in self._addresses()
                    )
                )
        except TimeoutError:
            self._metrics.count("join_timeouts")
        self._members.settle_incarnation()

    async def follow(self) -> None:
        """Announce this daemon in the log and look for daemons not known yet."""
        announce_at_s = 0.0
        attempt = 0
        while True:
            try:
                if self._presence is not None:
                    announce_at_s = await self._follow_log(announce_at_s)
                attempt = 0
            except LaburnumscaleError:
                self._metrics.count("presence_failures")
                attempt += 1
            await self._meet()
            if attempt:
                await sleep_until_retry(attempt)
            await self._wait()

    async def _follow_log(self, announce_at_s: float) -> float:
        """Announce this daemon when it is time, and read on.

        :returns: the monotonic time of the next announcement.
        """
        if time.monotonic() >= announce_at_s:
            await self._presence.announce()
            announce_at_s = time.monotonic() + self._announce_interval_s()
        await self._presence.read(0 if self._members.peers() else ALONE_WAIT_MS)
        return announce_at_s

    async def _wait(self) -> None:
        if self._presence is None and not self._members.peers():
            await asyncio.sleep(ALONE_WAIT_MS / 1000)
        elif self._members.peers():
            group_size = len(self._members.peers()) + 1
            longest_s = max(LOWEST_POLL_S, group_size * POLL_S_PER_MEMBER)
            await asyncio.sleep(longest_s * random.uniform(0.5, 1.5))

    async def _meet(self) -> None:
        for address in self._addresses():
            await self._exchange.exchange(address)

    async def _read(self) -> None:
        if self._presence is None:
            return
        try:
            await self._presence.read()
        except LaburnumscaleError:
            self._metrics.count("presence_failures")

    def _addresses(self) -> list[str]:
        """Return addresses of some daemons that are not known yet."""
        own = self._members.own.peer_address
        known = {own} | {peer.peer_address for peer in self._members.peers()}
        contacts = [] if self._presence is None else self._presence.contacts()
        newest = [contact.peer_address for contact in contacts]
        seeds = random.sample(self._seeds, len(self._seeds))
        wanted = [*newest[:JOIN_CONTACTS], *seeds[:JOIN_CONTACTS]]
        return [each for each in dict.fromkeys(wanted) if each not in known]

    def _announce_interval_s(self) -> float:
        group_size = len(self._members.peers()) + 1
        interval_s = max(LOWEST_ANNOUNCE_S, group_size * ANNOUNCE_S_PER_MEMBER)
        return interval_s * random.uniform(0.5, 1.5)
