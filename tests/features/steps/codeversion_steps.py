import importlib
import json
import os
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

from behave import given, then, when

from laburnumscale.codeversion import VERSION, digest_packages, read_code_version

ROOT = Path(__file__).parents[3]
PACKAGE = "laburnumscale_example"


def digest_in(folder):
    sys.path.insert(0, str(folder))
    try:
        importlib.invalidate_caches()
        return digest_packages((PACKAGE,))
    finally:
        sys.path.remove(str(folder))


@given('a package with the module "{name}" that contains "{text}"')
def step_create(context, name, text):
    context.folder = context.fleet.directory / "packages"
    context.module = context.folder / PACKAGE / name
    context.module.parent.mkdir(parents=True)
    (context.module.parent / "__init__.py").write_text("")
    context.module.write_text(text)
    context.digest = digest_in(context.folder)


@when('the module contains "{text}"')
def step_change(context, text):
    context.module.write_text(text)


@when('the module is renamed to "{name}"')
def step_rename(context, name):
    context.module.rename(context.module.with_name(name))


@when('the module is copied to "{name}"')
def step_copy(context, name):
    copy = context.module.parent / name
    copy.parent.mkdir()
    shutil.copy(context.module, copy)


@then("the digest is empty if a package is missing")
def step_check_missing(context):
    assert digest_packages((PACKAGE, "laburnumscale_missing")) == ""


@when("the package is moved, and its module gets other times")
def step_move(context):
    os.utime(context.module, (1, 1))
    context.folder = context.folder.rename(context.folder.with_name("moved"))


@then("the digest of the package has changed")
def step_check_changed(context):
    assert digest_in(context.folder) != context.digest


@then("the digest of the package is unchanged")
def step_check_unchanged(context):
    assert digest_in(context.folder) == context.digest


@then('the line "daemon started" of {daemon} names the same code')
def step_check_line(context, daemon):
    log = (context.fleet.directory / f"{daemon}.log").read_text()
    events = [json.loads(text) for text in log.splitlines() if text.startswith("{")]
    (line,) = [event for event in events if event["event"] == "daemon started"]
    named = read_code_version()
    assert str(named) in context.process_output, context.process_output
    assert line["version"] == named.version
    assert line["sources"] == named.sources
    assert line["platform_sources"] == named.platform_sources
    assert line["python"] == named.python
    assert line["machine"] == named.machine


@then("each package of the repository has the version of the daemon")
def step_check_packages(context):
    projects = list(ROOT.glob("packages/*/pyproject.toml"))
    assert projects
    for path in projects:
        project = tomllib.loads(path.read_text())["project"]
        assert project["version"] == VERSION, path


@then("the command names the same sources without the platform's package")
def step_check_without_platform(context):
    paths = os.environ["PYTHONPATH"].split(os.pathsep)
    kept = [path for path in paths if Path(path).name != "platform"]
    assert len(kept) < len(paths)
    output = subprocess.run(
        [sys.executable, "-m", "laburnumscaled", "--version"],
        env=os.environ | {"PYTHONPATH": os.pathsep.join(kept)},
        cwd=context.folder,
        capture_output=True,
        text=True,
        check=True,
    ).stdout
    assert f"sources {read_code_version().sources}, platform none" in output, output
