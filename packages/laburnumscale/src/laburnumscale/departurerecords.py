"""Departure records.

Writes the departures of targets to the platform's log before they are acknowledged: the
acknowledgement binds the fleet also if all daemons end at that moment.
"""

import asyncio

from laburnumscale.departures import Departure
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logpacing import departure_writes_per_s, draw_retry_delay_s
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.presence import PresenceStream
from laburnumscale.ratelimit import RateLimiter

__all__ = ["DepartureRecords"]

#: A target drains and deregisters; each of both is written at once.
MAX_WRITE_BURST = 2


class DepartureRecords:
    """Adds departures to the presence record of this daemon.

    One write holds all departures that are known until then. A daemon that has written
    much lately writes the next ones together, a little later.

    :param presence: the presence stream, or None for a fleet without a log.
    """

    def __init__(
        self, members: Members, presence: PresenceStream | None, metrics: Metrics
    ) -> None:
        self._members = members
        self._presence = presence
        self._metrics = metrics
        self._rate = RateLimiter(self._writes_per_s(), MAX_WRITE_BURST)
        self._is_due = asyncio.Event()
        self._waiting: list[asyncio.Future[None]] = []

    def has_recorded(self, departure: Departure) -> bool:
        """Return whether the log has a departure; False for a fleet without a log."""
        return self._presence is not None and self._presence.has_recorded(departure)

    async def record(self, departure: Departure) -> None:
        """Wait until the log has a departure, if there is one.

        It is written also if nobody waits any more.
        """
        if self._presence is None:
            return
        self._rate.change_rate(self._writes_per_s(), MAX_WRITE_BURST)
        if not self._rate.has_token():
            self._metrics.count("departure_records", 'result="delayed"')
        while not self.has_recorded(departure):
            self._is_due.set()
            written = asyncio.get_running_loop().create_future()
            self._waiting.append(written)
            await written

    async def write_forever(self) -> None:
        """Write a record whenever departures were acknowledged, until cancelled."""
        attempt = 0
        while True:
            await self._is_due.wait()
            if not self._rate.has_token():
                await asyncio.sleep(self._rate.next_token_s())
            self._rate.try_acquire()
            self._is_due.clear()
            waiting, self._waiting = self._waiting, []
            is_written = await self._write()
            for written in waiting:
                if not written.done():
                    written.set_result(None)
            if is_written or not self._presence.has_departures:
                attempt = 0
                continue
            self._is_due.set()
            await asyncio.sleep(draw_retry_delay_s(attempt, self._members.group_size))
            attempt += 1

    async def _write(self) -> bool:
        try:
            await self._presence.announce()
        except LaburnumscaleError:
            # A retry follows, and peers remember the departures meanwhile.
            self._metrics.count("departure_records", 'result="failed"')
            return False
        self._metrics.count("departure_records", 'result="written"')
        return True

    def _writes_per_s(self) -> float:
        return departure_writes_per_s(self._members.group_size)
