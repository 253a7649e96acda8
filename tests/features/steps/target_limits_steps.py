import signal
import statistics
import threading
import time
import uuid

from behave import then, when

from tests.features.steps.platform_steps import (
    CLIENT_TIMEOUT_MS,
    HOST,
    find_header,
    start_platform_daemon,
)
from tests.standins.fleet import request, wait_until
from tests.standins.loops import WorkerThreads

WINDOW_S = 4.0
#: From this time after a target first names its limit, the limit binds.
BINDING_AFTER_S = 3.0
STATUS_OK = 200
REFUSALS = (429, 503)
CLIENTS = 6


class Lookups(WorkerThreads):
    """Clients that together send lookups to daemons at a rate.

    :ivar responses: response and duration in milliseconds of each lookup.
    """

    def __init__(self, daemons, rate_per_s) -> None:
        self.responses = []
        self._lock = threading.Lock()
        self._pause_s = CLIENTS / rate_per_s
        names = [daemons[index % len(daemons)] for index in range(CLIENTS)]
        super().__init__(names)

    def _run(self, name) -> None:
        while not self._stopping.wait(self._pause_s):
            headers = {
                "Host": HOST,
                "X-Attempt-Id": uuid.uuid4().hex[:16],
                "X-Deadline-Ms": str(CLIENT_TIMEOUT_MS),
            }
            started_at_s = time.monotonic()
            response = request("GET", f"{name}/lookup/a", None, headers)
            elapsed_ms = (time.monotonic() - started_at_s) * 1000
            with self._lock:
                self.responses.append((response, elapsed_ms))


def arrivals(context, endpoint):
    target = context.fleet.targets[endpoint]
    return request("GET", f"http://127.0.0.1:{target.port}/arrivals").json()


def most_in_window(times_s, from_s):
    """Return the largest number of times within ``WINDOW_S`` that ends after a time."""
    counts = [
        sum(end_s - WINDOW_S < each <= end_s for each in times_s)
        for end_s in times_s
        if end_s >= from_s
    ]
    return max(counts, default=0)


@when("clients of all daemons send lookups, {rate:d} a second")
def step_start_lookups(context, rate):
    start_lookups(context, list(context.fleet.daemons), rate)


@when("clients of {first} and {second} send lookups, {rate:d} a second")
def step_start_lookups_at(context, first, second, rate):
    start_lookups(context, [first, second], rate)


@when("clients beside {daemon} send lookups, {rate:d} a second")
def step_start_lookups_beside(context, daemon, rate):
    start_lookups(context, [daemon], rate)


def start_lookups(context, names, rate):
    urls = [context.fleet.daemons[name].callers for name in names]
    context.lookups = Lookups(urls, rate)
    context.add_cleanup(context.lookups.stop)
    context.limit_named_at_s = 0.0


@when("{endpoint} names a limit of {limit} a second for {duration_s:d} s")
def step_name_limit(context, endpoint, limit, duration_s):
    context.limit_named_at_s = context.limit_named_at_s or time.time()
    context.fleet.targets[endpoint].faults(limit=limit)
    time.sleep(duration_s)


@when("e1, e2 and e3 name a limit of {limit} a second")
def step_name_all_limits(context, limit):
    for target in context.fleet.targets.values():
        target.faults(limit=limit)


@when("{endpoint} names no limit any more")
def step_end_limit(context, endpoint):
    context.fleet.targets[endpoint].faults(limit="")


@when("{endpoint} says in its responses that it leaves")
def step_say_leaving(context, endpoint):
    count = len(arrivals(context, endpoint)["arrivals_s"])
    context.fleet.targets[endpoint].faults(leaving=True)
    wait_until(
        lambda: len(arrivals(context, endpoint)["arrivals_s"]) > count,
        f"{endpoint} has sent a response",
    )


@when("{duration_s:d} s pass")
def step_wait(context, duration_s):
    time.sleep(duration_s)


@when("platform daemon {daemon} is killed and started again")
def step_restart_daemon(context, daemon):
    process = context.fleet.daemons[daemon]
    context.fleet.stop(process.process, signal.SIGKILL)
    start_platform_daemon(context, daemon, process.data_centre)
    wait_until(
        lambda: request("GET", context.fleet.daemons[daemon].callers + "/").status,
        f"{daemon} accepts callers",
    )


@then(
    "{endpoint} has got no more than {count:d} requests in any 4 s, from 3 s after "
    "naming its limit"
)
def step_check_limit(context, endpoint, count):
    times_s = arrivals(context, endpoint)["arrivals_s"]
    most = most_in_window(times_s, context.limit_named_at_s + BINDING_AFTER_S)
    assert most <= count, (most, times_s)
    context.arrivals_s = times_s


@then("it has got at least {count:d} requests meanwhile")
def step_check_trickle(context, count):
    since_s = context.limit_named_at_s
    seen = sum(each > since_s for each in context.arrivals_s)
    assert seen >= count, seen


@then("all lookups were served")
def step_check_served(context):
    context.lookups.stop()
    failed = [
        (response.status, response.body)
        for response, _ in context.lookups.responses
        if response.status != STATUS_OK
    ]
    assert not failed, failed
    assert context.lookups.responses


@then("each endpoint has got no more than {count:d} requests in any 4 s")
def step_check_all_limits(context, count):
    for endpoint in context.fleet.targets:
        times_s = arrivals(context, endpoint)["arrivals_s"]
        most = most_in_window(times_s, times_s[0] + BINDING_AFTER_S)
        assert most <= count, (endpoint, most)


@then("the endpoints have served at least {count:d} lookups together")
def step_check_served_count(context, count):
    context.lookups.stop()
    statuses = [response.status for response, _ in context.lookups.responses]
    assert statuses.count(STATUS_OK) >= count, statuses


@then(
    "half of the refusals came within {limit_ms:d} ms, and all of them name a time to "
    "retry"
)
def step_check_refusals(context, limit_ms):
    refused = [
        (response, elapsed_ms)
        for response, elapsed_ms in context.lookups.responses
        if response.status in REFUSALS
    ]
    assert refused
    assert statistics.median(elapsed_ms for _, elapsed_ms in refused) <= limit_ms
    for response, _ in refused:
        assert float(find_header(response, "Retry-After")) > 0, response


@then("within {limit_s:d} s {endpoint} gets {count:d} requests in 2 s")
def step_wait_recovered(context, limit_s, endpoint, count):
    def is_used():
        value = arrivals(context, endpoint)
        return sum(each > value["now_s"] - 2 for each in value["arrivals_s"]) >= count

    wait_until(is_used, f"{endpoint} gets calls beyond its former limit", limit_s)


@then("{endpoint} gets no request during {duration_s:d} s")
def step_check_no_request(context, endpoint, duration_s):
    before = len(arrivals(context, endpoint)["arrivals_s"])
    time.sleep(duration_s)
    after = len(arrivals(context, endpoint)["arrivals_s"])
    assert after == before, after - before
