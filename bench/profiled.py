"""Profiled daemon.

Runs ``laburnumscaled`` under cProfile and writes the profile when the daemon ends.
"""

import cProfile
import sys
from pathlib import Path

from laburnumscaled.cli import main as run_daemon

__all__ = ["main"]


def main() -> None:
    """Run the daemon and write its profile next to the settings file."""
    profile = cProfile.Profile()
    try:
        profile.runcall(run_daemon)
    finally:
        profile.dump_stats(Path(sys.argv[-1]).with_suffix(".prof"))


if __name__ == "__main__":
    main()
