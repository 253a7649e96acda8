"""Behave hooks.

Each scenario gets its own fleet of processes, which are stopped when it ends.
"""

from tests.standins.fleet import Fleet


def before_scenario(context, scenario):
    """Create an empty fleet for the scenario."""
    context.fleet = Fleet()


def after_scenario(context, scenario):
    """Stop all processes of the scenario, and print their logs if it failed."""
    if scenario.status == "failed":
        for path in sorted(context.fleet.directory.glob("*.log")):
            print(f"--- {path.name}")
            print(path.read_text(errors="replace")[-4000:])
    context.fleet.close()
