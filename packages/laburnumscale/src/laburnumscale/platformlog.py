"""Platform log.

Client of the platform's append-only log: streams of records with offsets.
"""

import asyncio
import base64
import binascii

import aiohttp
import attrs

from laburnumscale.errors import LogReplyInvalid, LogUnavailable, LogUnreachable

__all__ = ["Batch", "PlatformLog", "Record", "sleep_until_retry"]

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 2.0


@attrs.frozen
class Record:
    """One record of a stream."""

    offset: int
    payload: bytes


@attrs.frozen
class Batch:
    """The answer to a read.

    :ivar oldest_offset: the oldest record that the log still keeps.
    :ivar next_offset: the offset that the next append will get.
    """

    records: tuple[Record, ...]
    oldest_offset: int
    next_offset: int


class PlatformLog:
    """Appends to and reads from the streams of one log service."""

    def __init__(self, url: str, session: aiohttp.ClientSession) -> None:
        self.url = url
        self._session = session

    async def append(self, stream: str, payload: bytes) -> int:
        """Append a record.

        :returns: its offset.
        :raises LogUnreachable: no connection; the record was not appended.
        :raises LogUnavailable: no answer came; the record may have been appended.
        """
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
        """Read records from ``offset`` on.

        :param wait_ms: how long the log may wait for a first record.
        :raises LogUnavailable: no answer came.
        """
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
