"""Pages.

The command line of the tools that make a page of docs/ from the sources.
"""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

__all__ = ["ROOT", "write_or_check"]

ROOT = Path(__file__).parent.parent


def write_or_check(
    description: str, page: Path, text: Callable[[], str], target: str
) -> None:
    """Run the command line: write a page, or exit with a reason if it is stale.

    :param text: returns what the page must hold.
    :param target: of the makefile, which writes the page.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--check", action="store_true", help="write nothing")
    options = parser.parse_args()
    if not options.check:
        page.write_text(text())
    elif not page.exists() or page.read_text() != text():
        sys.exit(f"{page.relative_to(ROOT)} is stale; run make {target}")
