import os
import platform
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

from behave import given, then, when

ROOT = Path(__file__).parents[3]
MODULE = Path("packages/laburnumscaled/src/laburnumscaled/example.py")
DEPENDENCIES = Path("target/deps")
PACKAGES = (
    "packages/laburnumscale-schema/src/laburnumscale_schema",
    "packages/laburnumscale/src/laburnumscale",
    "packages/laburnumscaled/src/laburnumscaled",
    "platform/laburnumscale_platform",
)
#: Stands in for pip: notes for which interpreter and machine it installs.
PIP = """
import os, pathlib, platform, sys
if "PIP_FAILS" in os.environ:
    sys.exit(1)
target = pathlib.Path(sys.argv[sys.argv.index("--target") + 1])
target.mkdir(parents=True, exist_ok=True)
library = target / "library.txt"
if not library.exists():
    library.write_text(sys.implementation.cache_tag + " " + platform.machine())
with open(os.environ["PIP_LOG"], "a") as log:
    log.write("installed\\n")
"""
#: Lets the interpreter pretend to be another one, or to run on another machine.
SITE_CUSTOMIZE = """
import os, platform, sys
if "OTHER_MACHINE" in os.environ:
    platform.machine = lambda: "other"
if "OTHER_INTERPRETER" in os.environ:
    sys.implementation.cache_tag = "other-1"
"""


def run(context, command, **environment):
    standins = str(context.fleet.directory / "standins")
    path = f"{Path(sys.executable).parent}{os.pathsep}{os.environ['PATH']}"
    return subprocess.run(
        command,
        cwd=context.checkout,
        env={
            "PATH": path,
            "PYTHONPATH": standins,
            "PIP_LOG": str(context.pip_log),
            **environment,
        },
        capture_output=True,
        text=True,
        check=False,
    )


def build(context, **environment):
    system = tomllib.loads((context.checkout / "deploy/system.toml").read_text())
    return run(context, ["sh", "-c", system["build"]], **environment)


def write_module(context, text):
    (context.checkout / MODULE).write_text(f'print("{text}")\n')


def run_module(context):
    command = ["python3", "-P", "-m", "laburnumscaled.example"]
    dependencies = str(context.checkout / DEPENDENCIES)
    return run(context, command, PYTHONPATH=dependencies)


@given('a checkout with a module that prints "{text}"')
def step_create(context, text):
    context.checkout = context.fleet.directory / "checkout"
    context.pip_log = context.fleet.directory / "pip.log"
    for package in PACKAGES:
        folder = context.checkout / package
        folder.mkdir(parents=True)
        (folder / "__init__.py").write_text("")
    for name in ("deploy", "tools"):
        shutil.copytree(ROOT / name, context.checkout / name)
    shutil.copy(ROOT / "constraints.txt", context.checkout)
    write_module(context, text)
    standins = context.fleet.directory / "standins"
    standins.mkdir()
    (standins / "pip.py").write_text(PIP)
    (standins / "sitecustomize.py").write_text(SITE_CUSTOMIZE)


@given("the deployment of the checkout is built")
@when("the deployment of the checkout is built")
def step_build(context):
    result = build(context)
    assert result.returncode == 0, result.stderr


@given("the deployment of the checkout is built on another {kind}")
def step_build_elsewhere(context, kind):
    shutil.rmtree(context.checkout / "target")
    result = build(context, **{f"OTHER_{kind.upper()}": "1"})
    assert result.returncode == 0, result.stderr


@given("the pinned libraries have changed")
def step_change_pins(context):
    with (context.checkout / "constraints.txt").open("a") as constraints:
        constraints.write("another-library==1.0\n")


@when("the installation of libraries fails in a build")
def step_fail(context):
    assert build(context, PIP_FAILS="1").returncode != 0


@when('the module is changed to print "{text}", with the size and times that it had')
def step_change(context, text):
    path = context.checkout / MODULE
    before = path.stat()
    write_module(context, text)
    os.utime(path, ns=(before.st_atime_ns, before.st_mtime_ns))
    assert path.stat().st_size == before.st_size


@when('the checkout is moved, and the module is changed to print "{text}"')
def step_move(context, text):
    context.checkout = context.checkout.rename(context.fleet.directory / "moved")
    write_module(context, text)


@when("the module is removed and the deployment of the checkout is built")
def step_remove(context):
    (context.checkout / MODULE).unlink()
    step_build(context)


@then('the module of the deployment prints "{text}"')
def step_check_output(context, text):
    result = run_module(context)
    assert result.stdout.strip() == text, result


@then("the deployment does not have the module")
def step_check_removed(context):
    assert "No module named" in run_module(context).stderr


@then("its libraries are those of this interpreter and machine")
def step_check_libraries(context):
    expected = f"{sys.implementation.cache_tag} {platform.machine()}"
    library = context.checkout / DEPENDENCIES / "library.txt"
    assert library.read_text() == expected, library.read_text()


@then("libraries were installed {count:d} times")
def step_check_installed(context, count):
    installed = context.pip_log.read_text().splitlines()
    assert len(installed) == count, installed
