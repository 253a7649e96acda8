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
PACKAGES = ("laburnumscale", "laburnumscale_schema", "laburnumscaled")
#: Not every installation has it.
PLATFORM_PACKAGES = ("laburnumscale_platform",)
DIGEST_LENGTH = 12


@attrs.frozen
class CodeVersion:
    """The code that this process runs.

    :ivar version: version of the product.
    :ivar sources: digest of the modules, which also tells unreleased versions apart.
    :ivar platform_sources: the same for the platform's package; empty without it.
    :ivar python: version of the interpreter.
    :ivar machine: kind of processor.
    """

    version: str
    sources: str
    platform_sources: str
    python: str
    machine: str

    def __str__(self) -> str:
        return (
            f"{self.version} (sources {self.sources}, platform"
            f" {self.platform_sources or 'none'}, Python {self.python}, {self.machine})"
        )


def read_code_version() -> CodeVersion:
    """Return the code that this process runs."""
    return CodeVersion(
        version=VERSION,
        sources=digest_packages(PACKAGES),
        platform_sources=digest_packages(PLATFORM_PACKAGES),
        python=platform.python_version(),
        machine=platform.machine(),
    )


def digest_packages(packages: tuple[str, ...]) -> str:
    """Return a digest of the names and contents of all modules of some packages.

    :param packages: names of packages.
    :returns: the digest; empty if one of the packages is not installed.
    """
    digest = hashlib.sha256()
    for package in packages:
        spec = find_spec(package)
        if spec is None:
            return ""
        for folder in map(Path, spec.submodule_search_locations):
            for module in sorted(folder.rglob("*.py")):
                name = f"{package}/{module.relative_to(folder).as_posix()}"
                digest.update(b"%s\0%s\0" % (name.encode(), module.read_bytes()))
    return digest.hexdigest()[:DIGEST_LENGTH]
