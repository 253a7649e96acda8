"""Command line of the daemon.

Reads the settings file and runs one daemon.
"""

import argparse
import sys

import uvloop

from laburnumscale.daemon import Daemon
from laburnumscale.daemonsettings import DaemonSettings, read_daemon_settings
from laburnumscale.errors import AddressInUse, LaburnumscaleError, PlatformUnknown
from laburnumscale.logs import configure_logs

__all__ = ["main"]

EXIT_SETTINGS = 2
EXAMPLES = """examples:
  laburnumscaled examples/daemon.jsonc
  laburnumscaled --check examples/daemon.jsonc
"""


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="laburnumscaled",
        description="Runs the daemon of one target host.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    return parser


async def _run(settings: DaemonSettings, path: str) -> None:
    await Daemon(settings, path).run()


def main() -> None:
    """Run the command line; exits with 2 if the settings are invalid."""
    options = _parser().parse_args()
    try:
        settings = read_daemon_settings(options.settings)
    except LaburnumscaleError as error:
        print(f"laburnumscaled: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if options.check:
        return
    configure_logs(settings.log_format, settings.daemon)
    try:
        uvloop.run(_run(settings, options.settings))
    except (AddressInUse, PlatformUnknown) as error:
        print(f"laburnumscaled: {options.settings}: {error}", file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
