"""Reloading.

Reads the settings file of a daemon again after SIGHUP, or when it has changed.
"""

import asyncio
import os
from collections.abc import Callable

import attrs

from laburnumscale.daemonsettings import DaemonSettings, read_daemon_settings
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logs import get_logger

__all__ = ["Reloading"]

CHECK_INTERVAL_S = 1.0  # a change without a signal is in force in about a second
#: Settings that a running daemon takes over; the others need a restart.
RELOADED = frozenset({"caller_service"})

Listener = Callable[[DaemonSettings], None]


class Reloading:
    """The settings of a running daemon and the file that they come from.

    :param path: the settings file; empty for none.
    :ivar settings: what was read last and could be used.
    """

    def __init__(self, settings: DaemonSettings, path: str) -> None:
        self.settings = settings
        self._path = path
        self._changed_at_ns = self._file_time_ns()
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Call a function with the settings after each change."""
        self._listeners.append(listener)

    async def watch(self) -> None:
        """Reload when the file has changed, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._file_time_ns() != self._changed_at_ns:
                self.reload()

    def reload(self) -> None:
        """Read the file again; settings that cannot be used change nothing."""
        if not self._path:
            return
        self._changed_at_ns = self._file_time_ns()
        try:
            found = read_daemon_settings(self._path)
        except LaburnumscaleError as error:
            get_logger().error("settings file refused", reason=str(error))
            return
        changed = {
            field.name
            for field in attrs.fields(DaemonSettings)
            if getattr(found, field.name) != getattr(self.settings, field.name)
        }
        get_logger().info(
            "settings file read",
            taken=sorted(changed & RELOADED),
            need_restart=sorted(changed - RELOADED),
        )
        taken = {name: getattr(found, name) for name in changed & RELOADED}
        self.settings = attrs.evolve(self.settings, **taken)
        for listener in self._listeners:
            listener(self.settings)

    def _file_time_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0
