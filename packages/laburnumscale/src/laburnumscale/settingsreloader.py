"""Settings reloader.

Reloads the settings file of a running daemon on SIGHUP or when the file changes.
"""

import asyncio
import os
from collections.abc import Callable

import attrs

from laburnumscale.daemonsettings import DaemonSettings, read_daemon_settings
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.logs import get_logger

__all__ = ["SettingsReloader"]

#: Interval at which the file is checked: a change without SIGHUP takes effect within
#: about a second.
FILE_CHECK_INTERVAL_S = 1.0
#: Settings that can change at run time; the others need a restart.
RELOADABLE_SETTINGS = frozenset({"caller_service"})

Listener = Callable[[DaemonSettings], None]


class SettingsReloader:
    """Keeps the settings of a running daemon up to date with their file.

    :param path: path of the settings file; empty if there is none.
    :ivar settings: the settings in effect.
    """

    def __init__(self, settings: DaemonSettings, path: str) -> None:
        self.settings = settings
        self._path = path
        self._last_mtime_ns = self._read_mtime_ns()
        self._listeners: list[Listener] = []

    def on_change(self, listener: Listener) -> None:
        """Register a function to be called with the settings now and after each reload.

        The file may have been reloaded since the start of the process.
        """
        self._listeners.append(listener)
        listener(self.settings)

    async def watch(self) -> None:
        """Reload the file whenever it changes, until cancelled."""
        while True:
            await asyncio.sleep(FILE_CHECK_INTERVAL_S)
            if self._read_mtime_ns() != self._last_mtime_ns:
                self.reload()

    def reload(self) -> None:
        """Reload the file; an invalid file leaves the settings unchanged."""
        if not self._path:
            return
        self._last_mtime_ns = self._read_mtime_ns()
        try:
            new_settings = read_daemon_settings(self._path)
        except LaburnumscaleError as error:
            get_logger().error("settings file refused", reason=str(error))
            return
        changed = {
            field.name
            for field in attrs.fields(DaemonSettings)
            if getattr(new_settings, field.name) != getattr(self.settings, field.name)
        }
        get_logger().info(
            "settings file read",
            taken=sorted(changed & RELOADABLE_SETTINGS),
            need_restart=sorted(changed - RELOADABLE_SETTINGS),
        )
        updates = {
            name: getattr(new_settings, name) for name in changed & RELOADABLE_SETTINGS
        }
        self.settings = attrs.evolve(self.settings, **updates)
        for listener in self._listeners:
            listener(self.settings)

    def _read_mtime_ns(self) -> int:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError:
            return 0
