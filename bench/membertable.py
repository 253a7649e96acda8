"""Benchmark of one membership table.

Measures the memory use, operation times and message sizes of a table with 1,900
members and 30,000 endpoints.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path

from laburnumscale.memberentries import ALIVE, SUSPECT, without_endpoints
from laburnumscale.members import Members
from laburnumscale.tableexchange import MAX_BUCKET_COUNT, bucket_digests
from laburnumscale.updatequeue import UpdateQueue, send_limit
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["measure_table"]

MEMBER_COUNT = 1_900
ENDPOINT_COUNT = 30_000
SERVICE_COUNT = 1_200
DEFAULT_REPEATS = 2_000
US_PER_S = 1_000_000
FIRST_INCARNATION = 1_796_000_000_000_000


def resident_memory_mb() -> float:
    """Return the resident memory of this process, in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def create_member(index: int) -> peer_pb2.Member:
    """Return the entry of one member with its share of the endpoints."""
    entry = peer_pb2.Member(
        daemon=f"makati-{index:05d}",
        incarnation=FIRST_INCARNATION + index,
        version=3,
        peer_address=f"10.1.{index // 250}.{index % 250}:7003",
        data_centre="makati",
        state=ALIVE,
    )
    endpoint_numbers = range(index, ENDPOINT_COUNT, MEMBER_COUNT)
    for version, number in enumerate(endpoint_numbers, start=1):
        entry.endpoints.append(
            peer_pb2.Endpoint(
                service=f"service-{number % SERVICE_COUNT:04d}",
                endpoint=f"target-{number:06d}",
                slots=5,
                state=peer_pb2.TARGET_STATE_READY,
                version=version,
                announced_us=FIRST_INCARNATION + number,
            )
        )
    entry.endpoints_version = len(endpoint_numbers)
    return entry


def measure_mean_us(
    action: Callable[[int], object], repeats: int = DEFAULT_REPEATS
) -> float:
    """Return the mean duration of an action, in microseconds.

    :param action: function that is called with the number of the repetition.
    """
    started_at_s = time.perf_counter()
    for number in range(repeats):
        action(number)
    return (time.perf_counter() - started_at_s) / repeats * US_PER_S


def measure_table() -> dict[str, float]:
    """Build a table and return its measured values by name."""
    payloads = [
        create_member(index).SerializeToString() for index in range(MEMBER_COUNT)
    ]
    own_entry = without_endpoints(peer_pb2.Member.FromString(payloads[0]))
    own_entry.daemon = "observer"
    before_mb = resident_memory_mb()
    table = Members(own_entry)
    started_at_s = time.perf_counter()
    for payload in payloads:
        table.merge(peer_pb2.Member.FromString(payload))
    fill_s = time.perf_counter() - started_at_s
    table_mb = resident_memory_mb() - before_mb
    for number in range(SERVICE_COUNT):
        table.endpoints(f"service-{number:04d}")
    views_mb = resident_memory_mb() - before_mb - table_mb
    return {
        "members": MEMBER_COUNT,
        "endpoints": ENDPOINT_COUNT,
        "table_memory_mb": table_mb,
        "endpoint_views_memory_mb": views_mb,
        "fill_s": fill_s,
        **_measure_times(table),
        **_measure_sizes(table, payloads),
    }


def _measure_times(table: Members) -> dict[str, float]:
    def merge_suspicion(number: int) -> None:
        suspicion = without_endpoints(table.get(f"makati-{number % MEMBER_COUNT:05d}"))
        suspicion.version += number
        suspicion.state = SUSPECT
        table.merge(suspicion)

    def merge_endpoint_change(number: int) -> None:
        current = table.get(f"makati-{number % MEMBER_COUNT:05d}")
        update = without_endpoints(current)
        update.endpoints.append(current.endpoints[0])
        update.endpoints[0].version = 100 + number
        update.endpoints[0].ejected = True
        table.merge(update)

    def merge_and_look_up(number: int) -> None:
        merge_endpoint_change(number)
        table.endpoints(
            table.get(f"makati-{number % MEMBER_COUNT:05d}").endpoints[0].service
        )

    def merge_known_entry(number: int) -> None:
        table.merge(table.get(f"makati-{number % MEMBER_COUNT:05d}"))

    return {
        "merge_suspicion_us": measure_mean_us(merge_suspicion),
        "merge_endpoint_change_us": measure_mean_us(merge_endpoint_change),
        "merge_and_look_up_us": measure_mean_us(merge_and_look_up),
        "merge_known_entry_us": measure_mean_us(merge_known_entry),
        "bucket_digests_us": measure_mean_us(
            lambda _: bucket_digests(table.digests(), MAX_BUCKET_COUNT), 20
        ),
    }


def _measure_sizes(table: Members, payloads: list[bytes]) -> dict[str, float]:
    entry = peer_pb2.Member.FromString(payloads[1])
    endpoint_update = without_endpoints(entry)
    endpoint_update.endpoints.append(entry.endpoints[0])
    ping = gossip_pb2.Datagram(
        kind=gossip_pb2.DATAGRAM_KIND_PING,
        sequence=100_000,
        sender=entry.daemon,
        sender_incarnation=entry.incarnation,
        sender_address=entry.peer_address,
        probed=entry.daemon,
        settings_revision=100_000,
        table_digest=table.table_digest,
    )
    first_request = peer_pb2.MemberTable(
        bucket_digests=bucket_digests(table.digests(), MAX_BUCKET_COUNT)
    )
    queue = UpdateQueue()
    for payload in payloads[:100]:
        queue.add(without_endpoints(peer_pb2.Member.FromString(payload)))
    return {
        "ping_bytes": ping.ByteSize(),
        "liveness_update_bytes": without_endpoints(entry).ByteSize(),
        "endpoint_update_bytes": endpoint_update.ByteSize(),
        "whole_entry_bytes": entry.ByteSize(),
        "whole_table_bytes": sum(map(len, payloads)),
        "exchange_first_request_bytes": first_request.ByteSize(),
        "digest_entry_bytes": len(entry.daemon) + 13,
        "liveness_updates_in_a_datagram": len(
            queue.take_batch(1_200 - ping.ByteSize(), MEMBER_COUNT)
        ),
        "sends_of_an_update": send_limit(MEMBER_COUNT),
    }
