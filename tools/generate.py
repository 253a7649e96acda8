"""Code generation.

Generates the Python modules of the schema, or checks that they are up to date.
"""

import argparse
import filecmp
import sys
import tempfile
from pathlib import Path

import grpc_tools
from grpc_tools import protoc

PACKAGE = "laburnumscale_schema"


def generate(proto_dir: Path, output_dir: Path) -> None:
    """Generate the modules of all ``.proto`` files of the schema.

    :param proto_dir: import root of the schema files.
    :param output_dir: directory that contains the generated package.
    """
    well_known_dir = Path(grpc_tools.__file__).parent / "_proto"
    files = sorted(str(path) for path in (proto_dir / PACKAGE).glob("*.proto"))
    arguments = [
        "protoc",
        f"-I{proto_dir}",
        f"-I{well_known_dir}",
        f"--python_out={output_dir}",
        f"--grpc_python_out={output_dir}",
        *files,
    ]
    if protoc.main(arguments) != 0:
        sys.exit("generate: the schema does not compile")
    for path in (output_dir / PACKAGE).glob("*_pb2_grpc.py"):
        if "Stub" not in path.read_text():
            path.unlink()  # the .proto file defines no services


def find_stale_files(proto_dir: Path, output_dir: Path) -> list[str]:
    """Return the names of generated files that differ from the schema.

    :param proto_dir: import root of the schema files.
    :param output_dir: directory that contains the generated package.
    """
    with tempfile.TemporaryDirectory() as scratch:
        scratch_dir = Path(scratch)
        (scratch_dir / PACKAGE).mkdir()
        generate(proto_dir, scratch_dir)
        fresh = {path.name for path in (scratch_dir / PACKAGE).iterdir()}
        committed = {path.name for path in (output_dir / PACKAGE).glob("*_pb2*.py")}
        _, mismatch, errors = filecmp.cmpfiles(
            scratch_dir / PACKAGE, output_dir / PACKAGE, fresh & committed, False
        )
    return sorted({*mismatch, *errors, *(fresh ^ committed)})


def main() -> None:
    """Parse the command line, then generate or check the modules."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="only check the files")
    parser.add_argument("proto_dir", type=Path)
    parser.add_argument("output_dir", type=Path)
    options = parser.parse_args()
    if not options.check:
        generate(options.proto_dir, options.output_dir)
        return
    stale = find_stale_files(options.proto_dir, options.output_dir)
    if stale:
        sys.exit(f"generate: out of date: {', '.join(stale)}; run make generate")


if __name__ == "__main__":
    main()
