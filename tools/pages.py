"""Generated pages.

Provides the command line of the tools that generate pages of docs/.
"""

import argparse
import sys
from collections.abc import Callable
from pathlib import Path

__all__ = ["ROOT", "write_or_check"]

ROOT = Path(__file__).parent.parent


def write_or_check(
    description: str, page_path: Path, build_text: Callable[[], str], make_target: str
) -> None:
    """Parse the command line, then write a page or check that it is up to date.

    Exits with an error message if the page that is checked is out of date.

    :param description: description for the help text.
    :param build_text: returns the expected text of the page.
    :param make_target: target of the makefile that writes the page.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--check", action="store_true", help="only check the page")
    options = parser.parse_args()
    if not options.check:
        page_path.write_text(build_text())
    elif not page_path.exists() or page_path.read_text() != build_text():
        sys.exit(f"{page_path.relative_to(ROOT)} is outdated; run make {make_target}")
