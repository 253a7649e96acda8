"""Platform log.

Client of the platform's append-only log: streams of records with offsets.
"""

import asyncio
import base64
import binascii

import aiohttp
import attrs

from laburnumscale.errors import LogReplyInvalid, LogUnavailable, LogUnreachable

__all__ = [
    "Batch",
    "Log",
    "LogReader",
    "PlatformLog",
    "Record",
    "sleep_until_retry",
]

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0
RECENT_RECORDS = 64
BEYOND_THE_END = 1 << 62


@attrs.frozen
class Record:
    """One record of a stream.

    :ivar key: what the record is about; empty in streams without keys.
    """

    offset: int
    payload: bytes
    key: str = ""


@attrs.frozen
class Batch:
    """The answer to a read.

    :ivar oldest_offset: the oldest record that the log still keeps.
    :ivar next_offset: the offset that the next append will get.
    """

    records: tuple[Record, ...]
    oldest_offset: int
    next_offset: int

    @property
    def read_on_offset(self) -> int:
        """Return the offset after a read that may have ended before the last record."""
        return self.records[-1].offset + 1 if self.records else self.next_offset


class Log:
    """Base of the clients of logs."""

    async def append(self, stream: str, payload: bytes, key: str = "") -> int:
        """Append a record.

        :param key: what the record is about.
        :returns: its offset.
        :raises LogUnreachable: nothing was sent; the record was not appended.
        :raises LogUnavailable: no answer came; the record may have been appended.
        """
        raise NotImplementedError

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> Batch:
        """Read records from ``offset`` on.

        The batch is empty, with a later ``oldest_offset``, if the log does not keep
        the record at ``offset`` any more.

        :param wait_ms: how long the log may wait for a first record.
        :raises LogUnavailable: no answer came.
        """
        raise NotImplementedError

    async def newest(self, stream: str) -> Batch:
        """Read the newest record of each key, or as many recent ones.

        Reading goes on at the batch's ``next_offset``.

        :raises LogUnavailable: no answer came.
        """
        raise NotImplementedError


class LogReader:
    """Reads one stream: its newest records first, then what follows them."""

    def __init__(self, log: Log, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._offset: int | None = None

    def start_again(self) -> None:
        """Begin with the newest records at the next reading."""
        self._offset = None

    async def read(self, wait_ms: int = 0) -> Batch:
        """Return the newest records, or those since the last reading.

        If the log does not keep all of these any more, the newest are read again.

        :param wait_ms: how long the log may wait for a first record.
        :raises LaburnumscaleError: the log gave no answer that can be used.
        """
        if self._offset is not None:
            batch = await self._log.read(self._stream, self._offset, wait_ms)
            if batch.oldest_offset <= self._offset:
                self._offset = batch.read_on_offset
                return batch
        batch = await self._log.newest(self._stream)
        self._offset = batch.next_offset
        return batch


class PlatformLog(Log):
    """Appends to and reads from the streams of one log service; it has no keys."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self._session = session

    async def append(self, stream: str, payload: bytes, key: str = "") -> int:
        """Append a record; its key is not kept."""
        timeout = aiohttp.ClientTimeout(total=APPEND_TIMEOUT_S)
        url = f"{self.url}/streams/{stream}"
        try:
            async with self._session.post(
                url, data=payload, timeout=timeout
            ) as response:
                return int((await self._json(response))["offset"])
        except aiohttp.ClientConnectorError as error:
            raise LogUnreachable(url, repr(error)) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailable(url, repr(error)) from error
        except (KeyError, TypeError, ValueError) as error:
            raise LogReplyInvalid(url, repr(error)) from error

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> Batch:
        """Read records from ``offset`` on."""
        timeout = aiohttp.ClientTimeout(total=wait_ms / 1000 + READ_MARGIN_S)
        url = f"{self.url}/streams/{stream}"
        query = {"from": str(offset), "wait_ms": str(wait_ms)}
        try:
            async with self._session.get(
                url, params=query, timeout=timeout
            ) as response:
                return self._batch(await self._json(response))
        except (aiohttp.ClientError, TimeoutError) as error:
            raise LogUnavailable(url, repr(error)) from error
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise LogReplyInvalid(url, repr(error)) from error

    async def newest(self, stream: str) -> Batch:
        """Read the most recent records."""
        end = await self.read(stream, BEYOND_THE_END)
        return await self.read(stream, max(0, end.next_offset - RECENT_RECORDS))

    async def _json(self, response: aiohttp.ClientResponse) -> dict:
        if response.status != 200:
            raise LogUnavailable(str(response.url), f"status {response.status}")
        return await response.json(content_type=None)

    @staticmethod
    def _batch(value: dict) -> Batch:
        records = tuple(
            Record(int(record["offset"]), base64.b64decode(record["payload"]))
            for record in value["records"]
        )
        return Batch(records, int(value["oldest"]), int(value["next"]))


async def sleep_until_retry(attempt: int, longest_s: float = 1.0) -> None:
    """Wait before another request to the log, longer with each attempt."""
    await asyncio.sleep(min(longest_s, 0.05 * 2 ** min(attempt, 10)))
