from behave import then, when

from laburnumscale.daemonsettings import read_daemon_settings
from laburnumscale.settingsreloader import SettingsReloader


@when(
    'its "{name}" is changed to "{value}" and read before the daemon has its parts',
)
def step_reload_before_parts(context, name, value):
    path = context.settings_path
    settings = read_daemon_settings(str(path))
    reloader = SettingsReloader(settings, str(path))
    path.write_text(path.read_text().replace(getattr(settings, name), value))
    reloader.reload()
    context.received = [settings]
    reloader.on_change(context.received.append)


@then('the parts of the daemon get "{value}" as "{name}"')
def step_check_received(context, value, name):
    assert getattr(context.received[-1], name) == value, context.received
