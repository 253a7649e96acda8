"""Settings sources.

Where the settings of a daemon come from.
"""

from laburnumscale.platformlog import Batch

__all__ = ["SettingsSource"]


class SettingsSource:
    """Base of what reads settings into the feed of a daemon.

    :cvar takes_changes: operators publish changes through daemons.
    """

    takes_changes = True

    async def run(self) -> None:
        """Read whenever this daemon is to read, until cancelled."""
        raise NotImplementedError

    async def read(self, wait_ms: int) -> Batch:
        """Read what follows the feed's revision.

        :param wait_ms: how long the log may wait for a first record.
        :raises LogUnavailable: no answer came.
        """
        raise NotImplementedError
