"""Settings sources.

The base class of the readers that bring settings into a daemon.
"""

from typing import Protocol

from laburnumscale.platformlog import Batch

__all__ = ["ReaderRole", "SettingsSource"]


class ReaderRole(Protocol):
    """The part of this daemon in reading the log for the fleet."""

    def is_designated_reader(self) -> bool:
        """Return whether this daemon reads the log continuously."""

    def is_lead_reader(self) -> bool:
        """Return whether this daemon confirms settings on behalf of its data centre."""

    def reader_count(self) -> int:
        """Return the number of daemons that read the log continuously."""


class SettingsSource:
    """Base class of the readers that update a daemon's settings feed.

    :cvar accepts_changes: whether operators can publish changes through daemons.
    """

    accepts_changes = True

    async def run(self) -> None:
        """Run until cancelled; read while this daemon is responsible for reading."""
        raise NotImplementedError

    async def read(self, wait_ms: int) -> Batch:
        """Read the records after the feed's revision.

        :param wait_ms: maximum time in milliseconds that the log waits for a record.
        :raises LogUnavailable: the log did not respond.
        """
        raise NotImplementedError
