"""Platforms.

What a deployment's platform provides to a daemon; the product's own forms by default.
"""

import importlib
from collections.abc import Callable

import aiohttp
import attrs
from sanic import Sanic

from laburnumscale.announcements import announcement_app
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.errors import PlatformUnknown
from laburnumscale.headernames import HeaderNames
from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import Log, PlatformLog
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingslog import SettingsLogReader
from laburnumscale.settingssource import SettingsSource
from laburnumscale.targetregistry import TargetRegistry

__all__ = ["Platform", "get_platform_by_name"]


@attrs.frozen
class Platform:
    """Base of the platforms: the product's own interfaces.

    A platform is a package with the function ``get_platform``, which takes the
    daemon's settings and returns an object of a subclass.

    :cvar header_names: the header fields between callers, daemons and targets.
    :cvar readiness_path: where the platform asks whether callers may be sent here.
    """

    header_names = HeaderNames()
    readiness_path = "/readyz"

    settings: DaemonSettings

    def log(self, session: aiohttp.ClientSession) -> Log:
        """Return the client of the platform's log."""
        return PlatformLog(self.settings.log_url, session)

    def settings_source(
        self,
        feed: SettingsFeed,
        log: Log,
        metrics: Metrics,
        is_designated_reader: Callable[[], bool],
    ) -> SettingsSource:
        """Return what reads the settings into the feed."""
        return SettingsLogReader(
            feed, log, metrics, self.settings.snapshot_interval_ms, is_designated_reader
        )

    def target_app(self, targets: TargetRegistry, feed: SettingsFeed) -> Sanic:
        """Return the HTTP application for the targets of this host.

        :param feed: tells which services are configured.
        """
        return announcement_app(self.settings.daemon, targets)


def get_platform_by_name(name: str, settings: DaemonSettings) -> Platform:
    """Return the platform of a package, or the product's own one for no name.

    :raises PlatformUnknown: there is no such package.
    """
    if not name:
        return Platform(settings)
    try:
        package = importlib.import_module(name)
    except ImportError as error:
        raise PlatformUnknown(name, str(error)) from error
    return package.get_platform(settings)
