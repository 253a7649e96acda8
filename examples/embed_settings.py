"""Embedding of the settings.

Reads the settings from a platform log without a daemon and prints the time limit of a
service at each new revision.

    python examples/embed_settings.py http://127.0.0.1:7000 slot-desk
"""

import argparse
import asyncio

import aiohttp
import uvloop

from laburnumscale.metrics import Metrics
from laburnumscale.platformlog import HttpLogClient
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingslog import SettingsLogReader

SNAPSHOT_INTERVAL_MS = 3_600_000


async def print_time_limits(log_url: str, service: str, changes: int) -> None:
    """Print the time limit of a service at each new revision of the settings.

    :param log_url: base URL of the platform log.
    :param changes: number of new revisions to wait for.
    """
    metrics = Metrics()
    feed = SettingsFeed(metrics)
    async with aiohttp.ClientSession() as session:
        log = HttpLogClient(log_url, session)
        reader = SettingsLogReader(feed, log, metrics, SNAPSHOT_INTERVAL_MS)
        reader_task = asyncio.create_task(reader.run())
        for _ in range(changes):
            await feed.wait_for_newer_revision(feed.tree.revision)
            limit_ms = feed.tree.effective_settings(service).time_limit_ms
            print(f"revision {feed.tree.revision}: {service} {limit_ms} ms", flush=True)
        reader_task.cancel()


def main() -> None:
    """Parse the command line and print the time limits."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("log_url")
    parser.add_argument("service")
    parser.add_argument("--changes", type=int, default=1)
    options = parser.parse_args()
    uvloop.run(print_time_limits(options.log_url, options.service, options.changes))


if __name__ == "__main__":
    main()
