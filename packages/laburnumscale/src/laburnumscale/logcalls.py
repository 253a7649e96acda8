"""Log calls.

Counts the calls to the platform's log by operation, stream and outcome.
"""

from collections.abc import Awaitable
from typing import TypeVar

from laburnumscale.errors import LaburnumscaleError
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Batch, LogClient

__all__ = ["CountedLog"]

Result = TypeVar("Result")


class CountedLog(LogClient):
    """Log client that counts the calls of another one.

    A call that is cancelled while it waits for a response counts as abandoned.
    """

    def __init__(self, log: LogClient, metrics: Metrics) -> None:
        self._log = log
        self._metrics = metrics

    async def append(
        self, stream: str, payload: bytes, key: str = "", number: int = 0
    ) -> int:
        """Append a record."""
        return await self._count(
            "append", stream, self._log.append(stream, payload, key, number)
        )

    async def read(self, stream: str, offset: int, wait_ms: int = 0) -> Batch:
        """Read records, starting at ``offset``."""
        return await self._count(
            "read", stream, self._log.read(stream, offset, wait_ms)
        )

    async def read_newest(self, stream: str) -> Batch:
        """Read the newest record of each key."""
        return await self._count("newest", stream, self._log.read_newest(stream))

    async def _count(
        self, operation: str, stream: str, call: Awaitable[Result]
    ) -> Result:
        outcome = "abandoned"
        try:
            result = await call
            outcome = "answered"
            return result
        except LaburnumscaleError:
            outcome = "failed"
            raise
        finally:
            labels = f'operation="{operation}",stream="{stream}",outcome="{outcome}"'
            self._metrics.count("log_calls", labels)
