import os
import resource
import threading
import time

from behave import given, then, when

from bench.processes import memory_bytes
from tests.features.steps.fleet_steps import step_publish_settings
from tests.standins.crowd import Crowd
from tests.standins.fleet import wait_until

MB = 1_000_000
BODY_LIMIT_BYTES = 8 * 1024 * 1024
TRANSFER_STALL_MS = 3_000
DESCRIPTOR_SHARE = 0.75
#: The crowd holds its connections meanwhile; ordinary callers repeat refused requests.
ANSWER_TIMEOUT_S = 60
SETTLE_TIMEOUT_S = 60
SAMPLE_INTERVAL_S = 0.05
CLIENT_DESCRIPTORS = 4096


class DescriptorPeaks:
    """The highest numbers of open descriptors of processes, sampled in a thread."""

    def __init__(self, pids):
        self.peaks = dict.fromkeys(pids, 0)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def close(self):
        self._stopped.set()
        self._thread.join()

    def _sample(self):
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            for pid, peak in self.peaks.items():
                try:
                    count = len(os.listdir(f"/proc/{pid}/fd"))
                except OSError:
                    continue
                self.peaks[pid] = max(peak, count)


def raise_own_descriptor_limit():
    """Let this process hold the connections of the crowd."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(CLIENT_DESCRIPTORS, hard), hard))


@given(
    "{count:d} daemons of {memory_mb:d} MB and {descriptors:d} descriptors "
    "with one target of {slots:d} slots each"
)
def step_start_limited_fleet(context, count, memory_mb, descriptors, slots):
    raise_own_descriptor_limit()
    fleet = context.fleet
    fleet.start_log()
    for number in range(1, count + 1):
        daemon = fleet.start_daemon(
            f"d{number}",
            "makati",
            memory_limit_mb=memory_mb,
            transfer_stall_ms=TRANSFER_STALL_MS,
            body_limit_bytes=BODY_LIMIT_BYTES,
        )
        # In force before the daemon reads it, since its imports take longer.
        limits = (descriptors, descriptors)
        resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, limits)
        fleet.start_target("proof-vault", f"p{number}", daemon.name, slots=slots)
    step_publish_settings(context, "bantayog")
    context.memory_mb, context.descriptors = memory_mb, descriptors
    context.pids = {each.name: each.process.pid for each in fleet.daemons.values()}
    context.descriptor_peaks = DescriptorPeaks(context.pids.values())
    fleet.cleanups.callback(context.descriptor_peaks.close)


def start_crowd(context, count, kind, with_keys):
    daemons = context.fleet.daemons.values()
    ports, keys = [], []
    for daemon in daemons:
        ports += [daemon.ports["caller"]] * count
        if with_keys:
            path = f"/_laburnumscale/v1/operation-keys?count={count}"
            keys += daemon.call(path, "POST", b"").json()["keys"]
    crowd = Crowd.start(ports, kind, keys)
    context.fleet.cleanups.callback(crowd.close)
    deadline_s = time.monotonic() + SETTLE_TIMEOUT_S
    while not crowd.has_settled() and time.monotonic() < deadline_s:
        time.sleep(SAMPLE_INTERVAL_S)
    print("after the crowd has settled:", peak_memory_mb(context), "MB")


def peak_memory_mb(context):
    return {
        name: round(memory_bytes(pid, "VmHWM") / MB, 1)
        for name, pid in context.pids.items()
    }


@when('{count:d} clients of each daemon hold connections of the kind "{kind}"')
def step_hold_connections(context, count, kind):
    start_crowd(context, count, kind, with_keys=False)


@when(
    "{count:d} clients of each daemon with operation keys hold connections of the "
    'kind "{kind}"'
)
def step_hold_keyed_connections(context, count, kind):
    start_crowd(context, count, kind, with_keys=True)


@then("each daemon answers an ordinary request")
def step_check_ordinary_requests(context):
    for daemon in context.fleet.daemons.values():
        wait_until(
            lambda d=daemon: d.call("/proof-vault/proof").status == 200,
            f"{daemon.name} answers",
            ANSWER_TIMEOUT_S,
        )


@then("each daemon is still the same process")
def step_check_processes(context):
    for daemon in context.fleet.daemons.values():
        assert daemon.process.poll() is None, (daemon.name, daemon.process.returncode)
        assert daemon.process.pid == context.pids[daemon.name], daemon.name


@then("no daemon has used more memory than its limit")
def step_check_memory(context):
    peaks_mb = peak_memory_mb(context)
    print(peaks_mb, "MB")
    assert max(peaks_mb.values()) <= context.memory_mb, peaks_mb


@then("no daemon has used more than three quarters of its descriptors")
def step_check_descriptors(context):
    peaks = context.descriptor_peaks.peaks
    print(sorted(peaks.values()), "descriptors")
    assert max(peaks.values()) <= DESCRIPTOR_SHARE * context.descriptors, peaks
