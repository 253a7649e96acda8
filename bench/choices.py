"""Choices.

Measures the time to choose an endpoint for an attempt and to fill in its head, by the
number of endpoints of the service.
"""

import argparse
import statistics
import time

from laburnumscale_schema import peer_pb2
from tests.standins.routingentry import SERVICE, RoutingEntry

__all__ = ["main"]

SIZES = (25, 100, 400, 3000)
DATA_CENTRES = 6
CHOICES = 300
ROUTE = 7
LATENCY_US = 20_000
MS_PER_S = 1000


def measure_choices_ms(endpoints: int) -> list[float]:
    """Return the times of some choices in milliseconds, without the first ones.

    :param endpoints: number of endpoints of the service.
    """
    entry = RoutingEntry()
    for index in range(endpoints):
        entry.merge(index, DATA_CENTRES)
    times_ms = []
    for _ in range(CHOICES):
        started_at_s = time.perf_counter()
        view = entry.router.pick(SERVICE, set(), True, route=ROUTE)
        head = peer_pb2.CallHead(service=SERVICE, endpoint=view.endpoint, route=ROUTE)
        entry.router.fill_call_head(head, view)
        times_ms.append((time.perf_counter() - started_at_s) * MS_PER_S)
        report = peer_pb2.LoadReport(latency_us=LATENCY_US, running=1)
        reply = peer_pb2.CallReply(load=report)
        entry.router.record_reply(view, ROUTE, reply)
    return times_ms[5:]


def main() -> None:
    """Print the median and the 99th percentile for each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=SIZES)
    for endpoints in parser.parse_args().sizes:
        percentiles = statistics.quantiles(measure_choices_ms(endpoints), n=100)
        print(f"{endpoints} endpoints: p50 {percentiles[49]:.3f} ms", end=", ")
        print(f"p99 {percentiles[98]:.3f} ms")


if __name__ == "__main__":
    main()
