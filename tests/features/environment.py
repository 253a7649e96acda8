"""Behave hooks: each scenario gets a fleet of its own, ended after it."""

from tests.standins.fleet import Fleet


def before_scenario(context, scenario):
    """Give the scenario an empty fleet."""
    context.fleet = Fleet()


def after_scenario(context, scenario):
    """End every process of the scenario; show its logs if it failed."""
    if scenario.status == "failed":
        for path in sorted(context.fleet.directory.glob("*.log")):
            print(f"--- {path.name}")
            print(path.read_text(errors="replace")[-4000:])
    context.fleet.close()
