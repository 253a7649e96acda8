"""Deployment build.

Prepares ``target/deps``, from which the daemons of a deployment are started.

The libraries are installed there, and the packages of the project lead to their sources
by links: a folder that was carried over from an older checkout runs the sources beside
it, or fails on a module that it does not have, but never runs older ones.
"""

import compileall
import hashlib
import os
import platform
import shutil
import subprocess
import sys
import sysconfig
from pathlib import Path
from py_compile import PycInvalidationMode

__all__ = ["SourcesInvalid", "build"]

ROOT = Path(__file__).resolve().parent.parent
SOURCES = (
    Path("packages/laburnumscale-schema/src/laburnumscale_schema"),
    Path("packages/laburnumscale/src/laburnumscale"),
    Path("packages/laburnumscaled/src/laburnumscaled"),
    Path("platform/laburnumscale_platform"),
)
CONSTRAINTS = Path("constraints.txt")
REQUIREMENTS = Path("deploy/requirements.txt")
DEPENDENCIES = Path("target/deps")
STAMP = ".libraries"


class SourcesInvalid(Exception):
    """A module of a package cannot be compiled; the compiler has printed why."""

    def __init__(self, package: Path) -> None:
        super().__init__(f"{package} has a module that cannot be compiled")


def describe_libraries(root: Path) -> str:
    """Return what the installed libraries depend on.

    These are the pinned versions, and the interpreter and the machine for which
    extension modules are compiled.

    :param root: root of the repository.
    """
    pinned = hashlib.sha256()
    for path in (CONSTRAINTS, REQUIREMENTS):
        pinned.update((root / path).read_bytes())
    parts = (
        pinned.hexdigest(),
        sys.implementation.cache_tag,
        sysconfig.get_platform(),
        platform.machine(),
    )
    return " ".join(parts)


def install_libraries(root: Path) -> None:
    """Install the libraries, unless those that are there fit.

    Libraries for another interpreter or machine are removed, with all else that an
    earlier build has left: pip would not replace them.

    :param root: root of the repository.
    :raises subprocess.CalledProcessError: pip failed.
    """
    dependencies = root / DEPENDENCIES
    stamp = dependencies / STAMP
    wanted = describe_libraries(root)
    if stamp.exists() and stamp.read_text() == wanted:
        return
    shutil.rmtree(dependencies, ignore_errors=True)
    command = [sys.executable, "-m", "pip", "install", "-q"]
    command += ["--disable-pip-version-check", "--target", str(dependencies)]
    command += ["-c", str(root / CONSTRAINTS), "-r", str(root / REQUIREMENTS)]
    subprocess.run(command, check=True)
    stamp.write_text(wanted)


def link_sources(root: Path) -> None:
    """Replace the packages of an earlier build by links to the sources.

    The folders are real ones, so that the compiled modules are placed in them. These
    are compared with the contents of their sources, as a checkout may set any times.

    :param root: root of the repository.
    :raises SourcesInvalid: a module cannot be compiled.
    """
    for source in SOURCES:
        package = root / DEPENDENCIES / source.name
        shutil.rmtree(package, ignore_errors=True)
        for module in sorted((root / source).rglob("*.py")):
            link = package / module.relative_to(root / source)
            link.parent.mkdir(parents=True, exist_ok=True)
            link.symlink_to(os.path.relpath(module, link.parent))
        is_compiled = compileall.compile_dir(
            package, quiet=1, invalidation_mode=PycInvalidationMode.CHECKED_HASH
        )
        if not is_compiled:
            raise SourcesInvalid(source)


def build(root: Path) -> None:
    """Build the deployment of a repository.

    :param root: root of the repository.
    """
    install_libraries(root)
    link_sources(root)


if __name__ == "__main__":
    build(ROOT)
