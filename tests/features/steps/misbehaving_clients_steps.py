import http.client
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
#: Ends long before the clients that hold memory are disconnected.
CALL_TIMEOUT_MS = 8_000
OPEN_CONNECTION_TIMEOUT_S = 60
SAMPLE_INTERVAL_S = 0.05
CLIENT_DESCRIPTORS = 4096


class ProcessPeaks:
    """The highest use of descriptors and memory by processes, sampled in a thread.

    :ivar descriptors: highest number of open descriptors of each process.
    :ivar memory_mb: highest memory of each process in megabytes.
    """

    def __init__(self, pids):
        self.descriptors = dict.fromkeys(pids, 0)
        self.memory_mb = dict.fromkeys(pids, 0.0)
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._sample, daemon=True)
        self._thread.start()

    def add(self, pid):
        """Sample another process, too."""
        self.memory_mb[pid] = 0.0
        self.descriptors[pid] = 0

    def close(self):
        self._stopped.set()
        self._thread.join()

    def _sample(self):
        while not self._stopped.wait(SAMPLE_INTERVAL_S):
            for pid, peak in list(self.descriptors.items()):
                try:
                    count = len(os.listdir(f"/proc/{pid}/fd"))
                    memory_mb = round(memory_bytes(pid, "VmHWM") / MB, 1)
                except (OSError, LookupError, ValueError):
                    continue  # the process has ended
                self.descriptors[pid] = max(peak, count)
                self.memory_mb[pid] = max(self.memory_mb[pid], memory_mb)


def raise_own_descriptor_limit():
    """Let this process hold the connections of the crowd."""
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(CLIENT_DESCRIPTORS, hard), hard))


@given(
    "{count:d} daemons of {memory_mb:d} MB and {descriptors:d} descriptors "
    "with one target of {slots:d} slots each"
)
def step_start_limited_fleet(context, count, memory_mb, descriptors, slots):
    start_limited_fleet(
        context, count, memory_mb, descriptors, slots, TRANSFER_STALL_MS
    )


@given(
    "{count:d} daemons of {memory_mb:d} MB and {descriptors:d} descriptors "
    "with one target of {slots:d} slots each that give up transfers after "
    "{stall_ms:d} ms"
)
def step_start_patient_fleet(context, count, memory_mb, descriptors, slots, stall_ms):
    start_limited_fleet(context, count, memory_mb, descriptors, slots, stall_ms)


def start_limited_fleet(context, count, memory_mb, descriptors, slots, stall_ms):
    raise_own_descriptor_limit()
    context.memory_mb, context.descriptors = memory_mb, descriptors
    context.stall_ms = stall_ms
    fleet = context.fleet
    fleet.start_log()
    for number in range(1, count + 1):
        daemon = start_limited_daemon(context, f"d{number}")
        fleet.start_target("proof-vault", f"p{number}", daemon.name, slots=slots)
    step_publish_settings(context, "bantayog")
    context.pids = {each.name: each.process.pid for each in fleet.daemons.values()}
    context.process_peaks = ProcessPeaks(context.pids.values())
    fleet.cleanups.callback(context.process_peaks.close)


def start_limited_daemon(context, name):
    daemon = context.fleet.start_daemon(
        name,
        "makati",
        memory_limit_mb=context.memory_mb,
        transfer_stall_ms=context.stall_ms,
        body_limit_bytes=BODY_LIMIT_BYTES,
    )
    # In force before the daemon reads it, since its imports take longer.
    limits = (context.descriptors, context.descriptors)
    resource.prlimit(daemon.process.pid, resource.RLIMIT_NOFILE, limits)
    return daemon


@given("a caller with an open connection to each daemon")
def step_open_connections(context):
    context.callers = {}
    for daemon in context.fleet.daemons.values():
        caller = http.client.HTTPConnection(
            "127.0.0.1", daemon.ports["caller"], timeout=OPEN_CONNECTION_TIMEOUT_S
        )
        context.fleet.cleanups.callback(caller.close)
        assert download(caller, "10") == (200, 10)
        context.callers[daemon.name] = caller


def download(caller, size):
    """Return the status and the length of a response; reconnecting is an error."""
    headers = {"X-Request-Timeout-Ms": str(CALL_TIMEOUT_MS)}
    caller.request("GET", f"/proof-vault/download/{size}", headers=headers)
    caller.auto_open = False
    response = caller.getresponse()
    return response.status, len(response.read())


def check_downloads(context, size, query=""):
    answers = {
        name: download(caller, f"{size}{query}")
        for name, caller in context.callers.items()
    }
    assert set(answers.values()) == {(200, size)}, answers


@given("targets that take {latency_ms:d} ms for a call")
def step_set_latency(context, latency_ms):
    for target in context.fleet.targets.values():
        target.faults(latency_ms=latency_ms)


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
    settle(context, crowd)


def settle(context, crowd):
    """Wait until the clients of a crowd send nothing any more."""
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


@then("each caller gets an answer of {size:d} bytes on its connection")
def step_check_answers(context, size):
    check_downloads(context, size)


@then("each caller gets an answer of {size:d} bytes in chunks on its connection")
def step_check_chunked_answers(context, size):
    check_downloads(context, size, "?chunked")


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
    sampled_mb = context.process_peaks.memory_mb
    assert max(sampled_mb.values()) <= context.memory_mb, sampled_mb


@then("no daemon has used more than three quarters of its descriptors")
def step_check_descriptors(context):
    peaks = context.process_peaks.descriptors
    print(sorted(peaks.values()), "descriptors")
    assert max(peaks.values()) <= DESCRIPTOR_SHARE * context.descriptors, peaks
