"""Presence.

Records in the platform's log by which daemons find each other for the first time.
"""

from google.protobuf.message import DecodeError

from laburnumscale.errors import RecordInvalid
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import LogClient, LogReader, Record
from laburnumscale.views import liveness
from laburnumscale_schema import peer_pb2

__all__ = ["Presence"]

STREAM = "presence"
RECENT_RECORDS = 64


class Presence:
    """The presence stream as one daemon uses it.

    Records only lead to an exchange of tables; they are no evidence that a daemon
    is alive.
    """

    def __init__(self, log: LogClient, members: Members, metrics: Metrics) -> None:
        self._log = log
        self._members = members
        self._metrics = metrics
        self._reader = LogReader(log, STREAM)
        self._contacts: dict[str, peer_pb2.Member] = {}

    async def announce(self) -> None:
        """Append a record for this daemon.

        :raises LogUnavailable: no answer came; a second record does no harm.
        """
        payload = liveness(self._members.own).SerializeToString()
        await self._log.append(STREAM, payload, self._members.own.daemon)
        self._metrics.count("presence_records")

    async def read(self, wait_ms: int = 0) -> None:
        """Read the newest records, or those since the last reading.

        :raises LaburnumscaleError: the log gave no answer that can be used.
        """
        self._metrics.count("presence_reads")
        batch = await self._reader.read(wait_ms)
        for record in batch.records:
            self._take(record)

    def contacts(self) -> list[peer_pb2.Member]:
        """Return daemons with records that are not in the table, newest first."""
        contacts = [
            member
            for member in self._contacts.values()
            if self._members.get(member.daemon) is None
        ]
        return contacts[::-1]

    def _take(self, record: Record) -> None:
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
        if len(self._contacts) > RECENT_RECORDS:
            del self._contacts[next(iter(self._contacts))]

    @staticmethod
    def _decode(record: Record) -> peer_pb2.Member:
        try:
            member = peer_pb2.Member.FromString(record.payload)
        except DecodeError as error:
            raise RecordInvalid(STREAM, record.offset, str(error)) from error
        if not (member.daemon and member.peer_address):
            raise RecordInvalid(STREAM, record.offset, "no daemon or no address")
        return member
