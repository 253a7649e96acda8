"""Startup.

Imports the daemon with as little processor time as possible: after a loss of power, all
daemons of a fleet start at once on hosts with a part of a core.
"""

import gc
import importlib
import os
import signal
from collections.abc import Callable

__all__ = ["load_command", "main"]


def load_command() -> Callable[[], None]:
    """Import the daemon and return its command.

    Garbage collections are suspended meanwhile, because nothing that an import creates
    is garbage, and what was imported is excluded from later ones. The daemon opens no
    TLS connection, so the certificates that aiohttp would read on import are left out.
    """
    os.environ.setdefault("SSL_CERT_FILE", os.devnull)
    os.environ.setdefault("SSL_CERT_DIR", os.devnull)
    gc.disable()
    try:
        command = importlib.import_module("laburnumscaled.cli").main
    finally:
        gc.freeze()
        gc.enable()
    return command


def main() -> None:
    """Run the command line of the daemon.

    SIGHUP would end the process until the daemon handles it. It may be ignored so long:
    the settings file is read later, and watched from then on.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    load_command()()
