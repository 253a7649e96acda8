import os
import signal
import time
from random import Random

from behave import when

from tests.features.steps.misbehaving_clients_steps import settle, start_limited_daemon
from tests.standins.crowd import Client, Crowd
from tests.standins.randomclients import draw_act

#: Overrides the seed of the feature, for long runs.
SEED_VARIABLE = "SEED"
SIGNAL_COUNT = 6
STARTED_LINE = "daemon started"
MAX_SIGNAL_PAUSE_S = 2.0
DRAIN_TIMEOUT_S = 60


def start_random_crowd(context, ports, seed):
    seed = int(os.environ.get(SEED_VARIABLE, seed))
    print("seed", seed)
    acts = [draw_act(Random(f"{seed} {number}")) for number in range(len(ports))]
    context.rng = Random(seed)
    crowd = Crowd([Client(port) for port in ports], acts)
    context.fleet.cleanups.callback(crowd.close)
    return crowd


def ports_of(daemons, count):
    return [daemon.ports["caller"] for daemon in daemons for _ in range(count)]


@when("{count:d} random clients of each daemon come and go with seed {seed:d}")
def step_start_everywhere(context, count, seed):
    ports = ports_of(context.fleet.daemons.values(), count)
    settle(context, start_random_crowd(context, ports, seed))


@when("{count:d} random clients of {daemon} come and go with seed {seed:d}")
def step_start_at_one(context, count, daemon, seed):
    ports = ports_of([context.fleet.daemons[daemon]], count)
    settle(context, start_random_crowd(context, ports, seed))


@when(
    "{count:d} random clients of each daemon come and go with seed {seed:d} while "
    "daemons get SIGHUP and restart"
)
def step_start_under_restarts(context, count, seed):
    ports = ports_of(context.fleet.daemons.values(), count)
    crowd = start_random_crowd(context, ports, seed)
    context.start_counts = dict.fromkeys(context.fleet.daemons, 1)
    for _ in range(SIGNAL_COUNT):
        time.sleep(context.rng.uniform(0, MAX_SIGNAL_PAUSE_S))
        daemon = context.rng.choice(list(context.fleet.daemons.values()))
        daemon.process.send_signal(signal.SIGHUP)
        if context.rng.random() < 0.5:
            restart(context, daemon)
    settle(context, crowd)


def has_started(context, daemon):
    """Return whether the latest process of a daemon has logged its start."""
    log = (context.fleet.directory / f"{daemon.name}.log").read_text(errors="replace")
    return log.count(STARTED_LINE) == context.start_counts[daemon.name]


def restart(context, daemon):
    """Drain a daemon, which must end by itself, and start it again.

    One that is still starting has no calls, and SIGTERM may end it at once.
    """
    exit_codes = {0} if has_started(context, daemon) else {0, -signal.SIGTERM}
    daemon.process.send_signal(signal.SIGTERM)
    time.sleep(context.rng.uniform(0, MAX_SIGNAL_PAUSE_S))
    if daemon.process.poll() is None:
        daemon.process.send_signal(signal.SIGHUP)
    exit_code = daemon.process.wait(DRAIN_TIMEOUT_S)
    assert exit_code in exit_codes, (daemon.name, exit_code)
    context.start_counts[daemon.name] += 1
    started = start_limited_daemon(context, daemon.name)
    context.pids[daemon.name] = started.process.pid
    context.process_peaks.add(started.process.pid)
