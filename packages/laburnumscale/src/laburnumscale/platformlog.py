"""Platform log.

Clients for the platform's append-only log, whose streams hold records with offsets.
"""

import asyncio
import base64
import binascii

import aiohttp
import attrs

from laburnumscale.deadlines import MS_PER_S, now_s
from laburnumscale.errors import (
    LogReplyInvalid,
    LogReplyOutdated,
    LogUnavailable,
    LogUnreachable,
)
from laburnumscale.logresponses import read_json
from laburnumscale.logs import get_logger

__all__ = [
    "Batch",
    "HttpLogClient",
    "LogClient",
    "LogReader",
    "Record",
    "sleep_until_retry",
]

APPEND_TIMEOUT_S = 2.0
READ_TIMEOUT_MARGIN_S = 2.0
MAX_NEWEST_RECORDS = 64
#: An offset past the end of any stream: reading it returns only the next offset.
PAST_END_OFFSET = 1 << 62


@attrs.frozen
class Record:
    """One record of a stream.

    :ivar offset: position of the record in its stream.
    :ivar payload: content of the record.
    :ivar key: key of the record; empty in streams without keys.
    """

    offset: int
    payload: bytes
    key: str = ""


@attrs.frozen
class Batch:
    """The result of a read.

    :ivar records: the records in the order of their offsets.
    :ivar oldest_offset: offset of the oldest record that the log retains.
    :ivar next_offset: offset that the next appended record will have.
    :ivar era: counts how often the log came back from an older copy, after which it
        gives out offsets again; 0 for a log that does not say so.
    :ivar is_missing: the log does not have the offset: its record was dropped, or it
        is after the end.
    """

    records: tuple[Record, ...]
    oldest_offset: int
    next_offset: int
    era: int = 0
    is_missing: bool = False

    @property
    def next_read_offset(self) -> int:
        """Return the offset of the next read; a read may end before the last record."""
        return self.records[-1].offset + 1 if self.records else self.next_offset

    def confirmed_at_s(self, started_at_s: float, wait_ms: int) -> float:
        """Return a time at which the records were the last ones of the stream.

        A read that waited in vain was answered after its wait; one that brought records
        may have been answered as soon as it began.

        :param started_at_s: time since boot at which the read began.
        :param wait_ms: how long the log waited for a record at most.
        """
        if self.records:
            return started_at_s
        return min(now_s(), started_at_s + wait_ms / MS_PER_S)


class LogClient:
    """Base class of log clients."""

    async def append(
        self, stream: str, payload: bytes, key: str = "", number: int = 0
    ) -> int:
        """Append a record.

        :param key: key of the record.
        :param number: rises with each append of a key. An append without a response may
            take effect later; in a log with keys, it then does not replace a record
            with a higher number. 0 for records that may take effect in any order.
        :returns: the offset of the record.
        :raises LogUnreachable: the connection failed; the record was not appended.
        :raises LogUnavailable: the log did not respond; the record may have been
            appended.
        """
        raise NotImplementedError

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> Batch:
        """Read records, starting at ``offset``.

        If the log no longer retains the record at ``offset``, the batch is empty, its
        ``oldest_offset`` is higher than ``offset`` and ``is_missing`` is set. The
        latter is also set if ``offset`` is after the end.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LogUnavailable: the log did not respond.
        """
        raise NotImplementedError

    async def read_newest(self, stream: str) -> Batch:
        """Read the newest record of each key.

        A log without keys returns a number of its most recent records instead. The
        next read starts at the batch's ``next_offset``.

        :raises LogUnavailable: the log did not respond.
        """
        raise NotImplementedError


class LogReader:
    """Reads the newest records of a stream first, then the records that follow."""

    def __init__(self, log: LogClient, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._offset: int | None = None
        self._era = 0
        self._is_at_end = False

    @property
    def is_at_end(self) -> bool:
        """Return whether the latest read brought all records that the stream had."""
        return self._is_at_end

    @property
    def era(self) -> int:
        """Return the era of the latest response."""
        return self._era

    def restart_from_newest(self) -> None:
        """Make the next read start with the newest records again."""
        self._offset = None

    async def read(self, wait_ms: int = 0) -> Batch:
        """Return the newest records at first, and then those since the last read.

        If the log no longer retains all of these, or came back from an older copy, the
        newest records are read again.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LaburnumscaleError: the log did not respond, or its response is invalid
            or from before its return.
        """
        if self._offset is not None:
            batch = await self._log.read(self._stream, self._offset, wait_ms)
            is_continued = batch.oldest_offset <= self._offset and not batch.is_missing
            if is_continued and batch.era == self._era:
                self._offset = batch.next_read_offset
                self._is_at_end = self._offset >= batch.next_offset
                return batch
        batch = await self._log.read_newest(self._stream)
        self._record_era(batch.era)
        self._offset = batch.next_offset
        self._is_at_end = True
        return batch

    def _record_era(self, era: int) -> None:
        """Record the era of the newest records.

        :raises LogReplyOutdated: they were read before the log came back.
        """
        if era < self._era:
            raise LogReplyOutdated(self._stream, era, self._era)
        if self._offset is not None and era > self._era:
            get_logger().warning(
                "log came back from an older copy",
                stream=self._stream,
                era=era,
                previous_era=self._era,
                offset=self._offset,
            )
        self._era = era


class HttpLogClient(LogClient):
    """Client for a log service with an HTTP interface, which has no record keys."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self._session = session

    async def append(
        self, stream: str, payload: bytes, key: str = "", number: int = 0
    ) -> int:
        """Append a record; ``key`` and ``number`` are ignored."""
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        url = f"{self.url}/streams/{stream}"
        try:
            async with self._session.post(
                url, data=payload, timeout=timeout
            ) as response:
                return int((await self._read_json(response))["offset"])
        except aiohttp.ClientConnectorError as error:
            raise LogUnreachable(url, repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailable(url, repr(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise LogReplyInvalid(url, repr(error)) from error

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> Batch:
        """Read records, starting at ``offset``."""
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + READ_TIMEOUT_MARGIN_S)
        url = f"{self.url}/streams/{stream}"
        query = {"from": str(offset), "wait_ms": str(wait_ms)}
        try:
            async with self._session.get(
                url, params=query, timeout=timeout
            ) as response:
                batch = self._parse_batch(await self._read_json(response))
                is_missing = batch.oldest_offset > offset
                return attrs.evolve(batch, is_missing=is_missing)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailable(url, repr(error)) from error
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise LogReplyInvalid(url, repr(error)) from error

    async def read_newest(self, stream: str) -> Batch:
        """Read the most recent records."""
        end = await self.read(stream, PAST_END_OFFSET)
        return await self.read(stream, max(0, end.next_offset - MAX_NEWEST_RECORDS))

    async def _read_json(self, response: aiohttp.ClientResponse) -> dict:
        if response.status != 200:
            raise LogUnavailable(str(response.url), f"status {response.status}")
        return await read_json(response)

    @staticmethod
    def _parse_batch(value: dict) -> Batch:
        records = tuple(
            Record(int(record["offset"]), base64.b64decode(record["payload"]))
            for record in value["records"]
        )
        return Batch(records, int(value["oldest"]), int(value["next"]))


async def sleep_until_retry(attempt: int, max_delay_s: float = 1.0) -> None:
    """Sleep before a retry, with exponential backoff.

    :param attempt: number of the failed attempt, counted from 0.
    :param max_delay_s: maximum delay in seconds.
    """
    await asyncio.sleep(min(max_delay_s, 0.05 * 2 ** min(attempt, 10)))
