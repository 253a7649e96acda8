"""Command line of the daemon.

Reads the settings file and runs the daemon.
"""

import argparse
import os
import sys

import uvloop

from laburnumscale.codeversion import read_code_version
from laburnumscale.daemon import Daemon
from laburnumscale.daemonsettings import DaemonSettings, read_daemon_settings
from laburnumscale.errors import AddressInUse, LaburnumscaleError, PlatformUnknown
from laburnumscale.logs import configure_logs
from laburnumscale.memory import return_freed_blocks

__all__ = ["main"]

EXIT_INVALID_SETTINGS = 2
EXAMPLES = """examples:
  laburnumscaled examples/daemon.jsonc
  laburnumscaled --check examples/daemon.jsonc
  laburnumscaled --version
"""


class _PrintVersion(argparse.Action):
    """Prints the version only if it is asked for, as its digest reads all modules."""

    def __init__(self, option_strings, dest, **options) -> None:
        super().__init__(option_strings, argparse.SUPPRESS, nargs=0, **options)

    def __call__(self, parser, namespace, values, option_string=None) -> None:
        print(f"laburnumscaled {read_code_version()}")
        parser.exit()


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="laburnumscaled",
        description="Run the daemon of this target host.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", help="settings file, JSON with comments")
    parser.add_argument("--check", action="store_true", help="check the file and exit")
    parser.add_argument(
        "--version",
        action=_PrintVersion,
        help="print the version and a digest of the sources, and exit",
    )
    return parser


async def _run_daemon(settings: DaemonSettings, path: str) -> None:
    """Run the daemon, then end the process without cleaning up the interpreter.

    The cleanup takes a quarter of a second, more on a busy host, and the platform
    kills a process that exits late.
    """
    await Daemon(settings, path).run()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def main() -> None:
    """Parse the arguments and run the daemon.

    Exits with 2 if the settings are invalid, an address is in use or the platform is
    unknown.
    """
    options = _build_parser().parse_args()
    return_freed_blocks()
    try:
        settings = read_daemon_settings(options.settings)
    except LaburnumscaleError as error:
        print(f"laburnumscaled: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
    if options.check:
        return
    configure_logs(settings.log_format, settings.daemon)
    try:
        uvloop.run(_run_daemon(settings, options.settings))
    except (AddressInUse, PlatformUnknown) as error:
        print(f"laburnumscaled: {options.settings}: {error}", file=sys.stderr)
        sys.exit(EXIT_INVALID_SETTINGS)
