"""Code version.

Tells which code a process runs, so that a log can be compared with a checkout.
"""

import hashlib
import platform
from importlib.util import find_spec
from pathlib import Path

import attrs

__all__ = ["VERSION", "CodeVersion", "digest_packages", "read_code_version"]

VERSION = "0.1.0"
PACKAGES = (
    "laburnumscale",
    "laburnumscale_platform",
    "laburnumscale_schema",
    "laburnumscaled",
)
DIGEST_LENGTH = 12


@attrs.frozen
class CodeVersion:
    """The code that this process runs.

    :ivar version: version of the product.
    :ivar sources: digest of the modules, which also tells unreleased versions apart.
    :ivar python: version of the interpreter.
    :ivar machine: kind of processor.
    """

    version: str
    sources: str
    python: str
    machine: str

    def __str__(self) -> str:
        return (
            f"{self.version} (sources {self.sources}, Python {self.python},"
            f" {self.machine})"
        )


def read_code_version() -> CodeVersion:
    """Return the code that this process runs."""
    return CodeVersion(
        version=VERSION,
        sources=digest_packages(PACKAGES),
        python=platform.python_version(),
        machine=platform.machine(),
    )


def digest_packages(packages: tuple[str, ...]) -> str:
    """Return a digest of the names and contents of all modules of some packages.

    :param packages: names of packages; those that are not installed are left out.
    """
    digest = hashlib.sha256()
    for package in packages:
        spec = find_spec(package)
        if spec is None:
            continue
        for folder in map(Path, spec.submodule_search_locations):
            for module in sorted(folder.rglob("*.py")):
                name = f"{package}/{module.relative_to(folder).as_posix()}"
                digest.update(b"%s\0%s\0" % (name.encode(), module.read_bytes()))
    return digest.hexdigest()[:DIGEST_LENGTH]
