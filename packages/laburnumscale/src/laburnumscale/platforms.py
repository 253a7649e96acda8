"""Platforms.

Defines the interfaces between a daemon and its platform, with default implementations.
"""

import importlib
from collections.abc import Awaitable, Callable

import aiohttp
import attrs
from sanic import Sanic

from laburnumscale.announcements import announcement_app
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.departurereplicator import Replicas
from laburnumscale.departures import Departure
from laburnumscale.errors import PlatformUnknown
from laburnumscale.headernames import HeaderNames
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import HttpLogClient, LogClient
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingslog import SettingsLogReader
from laburnumscale.settingssource import ReaderRole, SettingsSource
from laburnumscale.targetregistry import TargetRegistry

__all__ = ["Platform", "get_platform_by_name"]


@attrs.frozen
class Platform:
    """Base class of platforms, with the default interfaces.

    A platform is a package with a function ``get_platform``, which takes the daemon's
    settings and returns an instance of a subclass.

    :cvar header_names: names of the header fields between callers, daemons and targets.
    :cvar readiness_path: path of the platform's readiness checks.
    :ivar settings: the settings of the daemon.
    """

    header_names = HeaderNames()
    readiness_path = "/readyz"

    settings: DaemonSettings

    def log(self, session: aiohttp.ClientSession) -> LogClient:
        """Return a client for the platform's log."""
        return HttpLogClient(self.settings.log_url, session)

    def settings_source(
        self,
        feed: SettingsFeed,
        log: LogClient,
        metrics: Metrics,
        role: ReaderRole,
    ) -> SettingsSource:
        """Return the reader that updates the feed with new settings.

        :param role: the part of this daemon in reading the log.
        """
        return SettingsLogReader(
            feed,
            log,
            metrics,
            self.settings.snapshot_interval_ms,
            role.is_designated_reader,
        )

    def target_app(
        self,
        targets: TargetRegistry,
        feed: SettingsFeed,
        replicate: Callable[[Departure], Awaitable[Replicas]],
        metrics: Metrics,
    ) -> Sanic:
        """Return the HTTP application with which the targets of this host register.

        :param feed: source of the names of the configured services.
        :param replicate: lets other daemons and the log remember a departure.
        :param metrics: counts the messages that were rejected.
        """
        return announcement_app(self.settings.daemon, targets)


def get_platform_by_name(name: str, settings: DaemonSettings) -> Platform:
    """Return the platform of a package, or the default one if the name is empty.

    :param name: import name of the package.
    :raises PlatformUnknown: the package cannot be imported.
    """
    if not name:
        return Platform(settings)
    try:
        package = importlib.import_module(name)
    except ImportError as error:
        raise PlatformUnknown(name, str(error)) from error
    return package.get_platform(settings)
