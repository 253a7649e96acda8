"""Presence.

Records in the platform's log through which daemons discover each other.
"""

from google.protobuf.message import DecodeError

from laburnumscale.errors import RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import without_endpoints
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import LogClient, LogReader, Record
from laburnumscale_schema import peer_pb2

__all__ = ["PresenceStream"]

STREAM = "presence"
MAX_CONTACTS = 64


class PresenceStream:
    """Reader and writer of the presence stream for one daemon.

    A record only leads to an exchange of tables; it does not show that its daemon
    is alive.
    """

    def __init__(self, log: LogClient, members: Members, metrics: Metrics) -> None:
        self._log = log
        self._members = members
        self._metrics = metrics
        self._reader = LogReader(log, STREAM)
        self._announced_era = 0
        self._contacts: dict[str, peer_pb2.Member] = {}

    async def announce(self) -> None:
        """Append a record of this daemon.

        :raises LogUnavailable: the log did not respond; the record may have been
            appended, but appending it again is harmless.
        """
        payload = without_endpoints(self._members.own).SerializeToString()
        era = self._reader.era
        await self._log.append(STREAM, payload, self._members.own.daemon)
        self._announced_era = era
        self._metrics.count("presence_records")

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
            self._handle_record(record)

    def contacts(self) -> list[peer_pb2.Member]:
        """Return daemons that have a record but are not in the table, newest first."""
        contacts = [
            member
            for member in self._contacts.values()
            if self._members.get(member.daemon) is None
        ]
        return contacts[::-1]

    def _handle_record(self, record: Record) -> None:
        try:
            member = self._decode(record)
        except RecordInvalid as error:
            self._metrics.count("presence_records_invalid")
            get_logger().warning("presence record skipped", reason=str(error))
            return
        if member.daemon == self._members.own.daemon:
            self._members.merge(member)
            return
        self._contacts.pop(member.daemon, None)
        self._contacts[member.daemon] = member
        if len(self._contacts) > MAX_CONTACTS:
            del self._contacts[next(iter(self._contacts))]

    @staticmethod
    def _decode(record: Record) -> peer_pb2.Member:
        try:
            member = peer_pb2.Member.FromString(record.payload)
        except DecodeError as error:
            raise RecordInvalid(STREAM, record.offset, str(error)) from error
        if not (member.daemon and member.peer_address):
            raise RecordInvalid(
                STREAM, record.offset, "daemon name or peer address is missing"
            )
        return member
