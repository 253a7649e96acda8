"""Departures.

Remembers which processes of targets leave or have left. Daemons tell each other, and
write what they have acknowledged to the log, so that a daemon that starts again knows
what its earlier process has acknowledged.
"""

import time
from collections import OrderedDict
from collections.abc import Callable, Iterable

import attrs

from laburnumscale.acceptance import accept_name, accept_start_time_ms
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.metrics import Metrics
from laburnumscale.rejectionlog import RejectionLog
from laburnumscale_schema import peer_pb2

__all__ = ["Departure", "Departures"]

#: Processes that leave serve for seconds, and their announcements are seconds late.
RETENTION_MS = 120_000
MIN_LEFT_MS = 1_000
#: Departures that other daemons have reported. A fleet of 30,000 targets that replaces
#: all of them in an hour has 1,000 in the retention time.
MAX_REPORTED = 2_048
#: Departures that this daemon has acknowledged, all of which its presence record names.
#: A host has few targets at a time.
MAX_ACKNOWLEDGED = 256


@attrs.frozen
class Departure:
    """The departure of one process of an endpoint, and of all earlier ones.

    :ivar started_at_unix_ms: start time of the process, by its own clock; 0 if its
        announcements lack it.
    :ivar is_gone: it has left; otherwise it is draining.
    :ivar expiry: when the departure is forgotten.
    """

    endpoint: str
    started_at_unix_ms: int
    is_gone: bool
    expiry: Deadline

    def message(self) -> peer_pb2.Departure:
        """Return the departure as it is sent to other daemons."""
        return peer_pb2.Departure(
            endpoint=self.endpoint,
            started_at_unix_ms=self.started_at_unix_ms,
            gone=self.is_gone,
            expires_in_ms=self.expiry.left_ms(),
        )

    def includes(self, other: "Departure") -> bool:
        """Return whether another departure of the endpoint adds nothing to this one."""
        if self.started_at_unix_ms != other.started_at_unix_ms:
            return self.started_at_unix_ms > other.started_at_unix_ms
        return self.is_gone or not other.is_gone


class Departures:
    """The departures that this daemon has acknowledged, or was told of by others.

    For each endpoint the latest process counts: a process that starts later under the
    same name is not affected.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._rejections = RejectionLog("departure", "departure rejected", metrics)
        self._acknowledged: OrderedDict[str, Departure] = OrderedDict()
        self._reported: OrderedDict[str, Departure] = OrderedDict()
        self._recorded: dict[str, Departure] = {}
        self._listeners: list[Callable[[Departure], None]] = []

    def on_change(self, listener: Callable[[Departure], None]) -> None:
        """Register a function that is called with each new departure."""
        self._listeners.append(listener)

    def acknowledge(
        self, endpoint: str, started_at_unix_ms: int, is_gone: bool
    ) -> Departure:
        """Record a departure that a target has announced to this daemon.

        :param started_at_unix_ms: start time of the process that leaves.
        :returns: the departure, which may have been known.
        """
        departure = Departure(
            endpoint, started_at_unix_ms, is_gone, Deadline.after_ms(RETENTION_MS)
        )
        self._store(self._acknowledged, departure, MAX_ACKNOWLEDGED)
        return departure

    def merge(self, message: peer_pb2.Departure) -> None:
        """Record a departure that another daemon has reported.

        One that is about to expire is ignored. It would expire before it has spread,
        look new to daemons that have forgotten it, and be sent to and fro without end.
        """
        if message.expires_in_ms >= MIN_LEFT_MS:
            self._accept("peer", message, self._reported, MAX_REPORTED)

    @property
    def has_acknowledged(self) -> bool:
        """Return whether this daemon keeps departures that it has acknowledged."""
        return bool(_unexpired(self._acknowledged.values()))

    def add_to_record(self, record: peer_pb2.Member) -> list[Departure]:
        """Add the departures that this daemon has acknowledged to its record.

        :returns: the departures that were added.
        """
        record.recorded_unix_ms = _unix_ms()
        added = _unexpired(self._acknowledged.values())
        record.departures.extend(each.message() for each in added)
        return added

    def mark_recorded(self, added: list[Departure]) -> None:
        """Remember which departures the record of this daemon in the log has.

        :param added: all departures of its newest record.
        """
        self._recorded = {each.endpoint: each for each in added}

    def is_recorded(self, departure: Departure) -> bool:
        """Return whether the record of this daemon in the log has a departure."""
        recorded = self._recorded.get(departure.endpoint)
        return (
            recorded is not None
            and not recorded.expiry.has_passed()
            and recorded.includes(departure)
        )

    def read_record(self, record: peer_pb2.Member, is_own: bool) -> None:
        """Record the departures in the presence record of a daemon.

        A record remains in the log until its daemon replaces it, so the time since then
        counts. Clocks may differ by seconds, which matters little for the retention.

        :param is_own: it was written by an earlier process of this daemon, which keeps
            the departures in its further records.
        """
        known, limit = self._reported, MAX_REPORTED
        if is_own:
            known, limit = self._acknowledged, MAX_ACKNOWLEDGED
        elapsed_ms = max(0, _unix_ms() - record.recorded_unix_ms)
        for message in record.departures:
            if message.expires_in_ms >= elapsed_ms + MIN_LEFT_MS:
                message.expires_in_ms -= elapsed_ms
                self._accept("record", message, known, limit)

    def is_gone(self, endpoint: str, started_at_unix_ms: int) -> bool:
        """Return whether a process of an endpoint has left."""
        return self._covers(endpoint, started_at_unix_ms, is_gone=True)

    def has_start_time(self, endpoint: str) -> bool:
        """Return whether the start time of a process that has left is known."""
        known = (self._acknowledged.get(endpoint), self._reported.get(endpoint))
        return any(each is not None and each.started_at_unix_ms > 0 for each in known)

    def is_draining(self, endpoint: str, started_at_unix_ms: int) -> bool:
        """Return whether a process of an endpoint has announced that it drains.

        Without its start time, it cannot be told from a later process.
        """
        return started_at_unix_ms > 0 and self._covers(
            endpoint, started_at_unix_ms, is_gone=False
        )

    def messages(self, limit: int) -> list[peer_pb2.Departure]:
        """Return the latest departures for another daemon.

        :param limit: maximum number of departures.
        """
        known = (*self._reported.values(), *self._acknowledged.values())
        current = _unexpired(known)
        return [each.message() for each in current[::-1][:limit]]

    def _covers(self, endpoint: str, started_at_unix_ms: int, is_gone: bool) -> bool:
        for known in (self._acknowledged, self._reported):
            departure = known.get(endpoint)
            if (
                departure is not None
                and not departure.expiry.has_passed()
                and started_at_unix_ms <= departure.started_at_unix_ms
                and (departure.is_gone or not is_gone)
            ):
                return True
        return False

    def _accept(
        self,
        source: str,
        message: peer_pb2.Departure,
        known: OrderedDict[str, Departure],
        limit: int,
    ) -> None:
        try:
            departure = _read_message(message)
        except LaburnumscaleError as error:
            self._rejections.record(source, error)
            return
        self._store(known, departure, limit)

    def _store(
        self, known: OrderedDict[str, Departure], departure: Departure, limit: int
    ) -> None:
        before = known.get(departure.endpoint)
        is_known = before is not None and not before.expiry.has_passed()
        if is_known and before.includes(departure):
            return
        known.pop(departure.endpoint, None)
        known[departure.endpoint] = departure
        if len(known) > limit:
            known.popitem(last=False)
            self._metrics.count("departures_dropped")
        for listener in self._listeners:
            listener(departure)


def _unexpired(departures: Iterable[Departure]) -> list[Departure]:
    return [each for each in departures if not each.expiry.has_passed()]


def _unix_ms() -> int:
    return round(time.time() * MS_PER_S)


def _read_message(message: peer_pb2.Departure) -> Departure:
    where = "departure"
    return Departure(
        endpoint=accept_name(where, "endpoint", message.endpoint),
        started_at_unix_ms=accept_start_time_ms(
            where, "started_at_unix_ms", message.started_at_unix_ms
        ),
        is_gone=message.gone,
        expiry=Deadline.after_ms(min(message.expires_in_ms, RETENTION_MS)),
    )
