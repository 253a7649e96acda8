"""Presence.

Records in the platform's log through which daemons discover each other, and which keep
the departures of targets that they have acknowledged.
"""

import asyncio

from google.protobuf.message import DecodeError

from laburnumscale.acceptance import accept_member
from laburnumscale.departures import Departure, Departures
from laburnumscale.errors import LaburnumscaleError, RecordInvalid
from laburnumscale.memberentries import is_unreached, without_endpoints
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import LogClient, LogReader, Record
from laburnumscale.rejectionlog import RejectionLog
from laburnumscale_schema import peer_pb2

__all__ = ["PresenceStream"]

STREAM = "presence"
MAX_CONTACTS = 64
MAX_KNOWN_RECORDS = 8_192
#: Records that an earlier process may have written after the latest one that was read.
MAX_UNSEEN_RECORDS = 1_000


class PresenceStream:
    """Reader and writer of the presence stream for one daemon.

    A record only leads to an exchange of tables; it does not show that its daemon
    is alive. Until it is reached, its daemon counts as one that may live on the other
    side of a partition.
    """

    def __init__(
        self,
        log: LogClient,
        members: Members,
        metrics: Metrics,
        departures: Departures | None = None,
    ) -> None:
        self._log = log
        self._members = members
        self._metrics = metrics
        self._departures = Departures(metrics) if departures is None else departures
        self._appending = asyncio.Lock()
        self._has_read = False
        self._rejections = RejectionLog("presence", "presence record skipped", metrics)
        self._reader = LogReader(log, STREAM)
        self._announced_era = 0
        self._record_number = 0
        self._contacts: dict[str, peer_pb2.Member] = {}
        self._incarnations: dict[str, int] = {}

    async def announce(self) -> None:
        """Append a record of this daemon.

        It replaces that of an earlier process, whose departures are read before.

        :raises LogUnavailable: the log did not respond; the record may have been
            appended, but appending it again is harmless.
        """
        if not self._has_read:
            await self.read()
        async with self._appending:
            record = without_endpoints(self._members.own)
            added = self._departures.add_to_record(record)
            era = self._reader.era
            self._record_number = max(self._record_number + 1, record.incarnation)
            record.record_number = self._record_number
            await self._log.append(
                STREAM, record.SerializeToString(), record.daemon, self._record_number
            )
            self._announced_era = era
            self._departures.mark_recorded(added)
        self._metrics.count("presence_records")

    @property
    def has_departures(self) -> bool:
        """Return whether a record of this daemon holds departures now."""
        return self._departures.has_acknowledged

    def has_recorded(self, departure: Departure) -> bool:
        """Return whether the log has a departure, in the record of this daemon."""
        return not self.is_announcement_lost() and self._departures.is_recorded(
            departure
        )

    def is_announcement_lost(self) -> bool:
        """Return whether the log came back from an older copy since the last record."""
        return self._reader.era > self._announced_era

    async def read(self, wait_ms: int = 0) -> None:
        """Read the newest records, or those since the last read.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LaburnumscaleError: the log did not respond, or its response is invalid.
        """
        self._metrics.count("presence_reads")
        batch = await self._reader.read(wait_ms)
        for record in batch.records:
            self.handle_record(record)
        self._has_read = True
        self._members.fleet_known = True

    def contacts(self) -> list[peer_pb2.Member]:
        """Return daemons that have a record but were not reached yet, newest first.

        Another process that uses the name of this daemon is one of them.
        """
        own = self._members.own.daemon
        contacts = [
            member
            for member in self._contacts.values()
            if member.daemon == own or self._is_unreached(member.daemon)
        ]
        return contacts[::-1]

    def handle_record(self, record: Record) -> None:
        """Keep the daemon of a record as a contact, or skip an invalid record."""
        try:
            decoded = self._decode(record)
        except RecordInvalid as error:
            self._metrics.count("presence_records_invalid")
            self._rejections.record(str(record.offset), error)
            return
        self._departures.read_record(
            decoded, is_own=decoded.daemon == self._members.own.daemon
        )
        member = without_endpoints(decoded)
        if member.daemon == self._members.own.daemon:
            self._follow_own_record(decoded)
            if not self._is_namesake(member):
                return
        self._record_unreached(member)
        self._contacts.pop(member.daemon, None)
        self._contacts[member.daemon] = member
        if len(self._contacts) > MAX_CONTACTS:
            del self._contacts[next(iter(self._contacts))]

    def _follow_own_record(self, record: peer_pb2.Member) -> None:
        """Let further records have higher numbers than those of an earlier process."""
        if record.incarnation != self._members.own.incarnation:
            number = record.record_number + MAX_UNSEEN_RECORDS
            self._record_number = max(self._record_number, number)

    def _record_unreached(self, member: peer_pb2.Member) -> None:
        """Let a daemon be expected, unless its record was read before.

        Records outlive their machines and are read again, also from an older copy of
        the log, when the daemons of some have long been forgotten.
        """
        if member.incarnation <= self._incarnations.get(member.daemon, -1):
            return
        self._incarnations.pop(member.daemon, None)
        self._incarnations[member.daemon] = member.incarnation
        if len(self._incarnations) > MAX_KNOWN_RECORDS:
            del self._incarnations[next(iter(self._incarnations))]
        self._members.record_unreached(member)

    def _is_unreached(self, daemon: str) -> bool:
        known = self._members.get(daemon)
        return known is None or is_unreached(known)

    def _is_namesake(self, member: peer_pb2.Member) -> bool:
        """Return whether a record with the own name may be that of another process.

        Before the incarnation is frozen, the record only raises it. After that, only
        the process itself shows that it exists, as others may have written the record.
        """
        if not self._members.incarnation_frozen:
            self._members.merge(member)
            return False
        return member.peer_address != self._members.own.peer_address

    @staticmethod
    def _decode(record: Record) -> peer_pb2.Member:
        try:
            return accept_member(peer_pb2.Member.FromString(record.payload))
        except (DecodeError, LaburnumscaleError) as error:
            raise RecordInvalid(STREAM, record.offset, str(error)) from error
