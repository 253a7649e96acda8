"""Bench of one membership table.

Measures memory, time and bytes of a table with 1,900 members and 30,000 endpoints.
"""

import os
import time
from collections.abc import Callable
from pathlib import Path

from laburnumscale.memberentries import ALIVE, SUSPECT, without_endpoints
from laburnumscale.members import Members
from laburnumscale.tableexchange import bucket_digests
from laburnumscale.updatequeue import UpdateQueue, send_limit
from laburnumscale_schema import gossip_pb2, peer_pb2

__all__ = ["measure_table"]

MEMBERS = 1_900
ENDPOINTS = 30_000
SERVICES = 1_200
REPEATS = 2_000
US_PER_S = 1_000_000
FIRST_INCARNATION = 1_796_000_000_000_000


def resident_mb() -> float:
    """Return the resident memory of this process, in MB."""
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def member(index: int) -> peer_pb2.Member:
    """Return a member with its part of the endpoints."""
    entry = peer_pb2.Member(
        daemon=f"makati-{index:05d}",
        incarnation=FIRST_INCARNATION + index,
        version=3,
        peer_address=f"10.1.{index // 250}.{index % 250}:7003",
        data_centre="makati",
        state=ALIVE,
    )
    numbers = range(index, ENDPOINTS, MEMBERS)
    for version, number in enumerate(numbers, start=1):
        entry.endpoints.append(
            peer_pb2.Endpoint(
                service=f"service-{number % SERVICES:04d}",
                endpoint=f"target-{number:06d}",
                slots=5,
                state=peer_pb2.TARGET_STATE_READY,
                version=version,
                announced_us=FIRST_INCARNATION + number,
            )
        )
    entry.endpoints_version = len(numbers)
    return entry


def mean_us(action: Callable[[int], object], repeats: int = REPEATS) -> float:
    """Return the mean time of an action, in microseconds."""
    started_at_s = time.perf_counter()
    for number in range(repeats):
        action(number)
    return (time.perf_counter() - started_at_s) / repeats * US_PER_S


def measure_table() -> dict[str, float]:
    """Return the figures of one table."""
    payloads = [member(index).SerializeToString() for index in range(MEMBERS)]
    own = without_endpoints(peer_pb2.Member.FromString(payloads[0]))
    own.daemon = "observer"
    before_mb = resident_mb()
    table = Members(own)
    started_at_s = time.perf_counter()
    for payload in payloads:
        table.merge(peer_pb2.Member.FromString(payload))
    filled_s = time.perf_counter() - started_at_s
    table_mb = resident_mb() - before_mb
    for number in range(SERVICES):
        table.endpoints(f"service-{number:04d}")
    views_mb = resident_mb() - before_mb - table_mb
    return {
        "members": MEMBERS,
        "endpoints": ENDPOINTS,
        "table_memory_mb": table_mb,
        "endpoint_views_memory_mb": views_mb,
        "fill_s": filled_s,
        **_times(table),
        **_sizes(table, payloads),
    }


def _times(table: Members) -> dict[str, float]:
    def suspect(number: int) -> None:
        claim = without_endpoints(table.get(f"makati-{number % MEMBERS:05d}"))
        claim.version += number
        claim.state = SUSPECT
        table.merge(claim)

    def change(number: int) -> None:
        known = table.get(f"makati-{number % MEMBERS:05d}")
        news = without_endpoints(known)
        news.endpoints.append(known.endpoints[0])
        news.endpoints[0].version = 100 + number
        news.endpoints[0].ejected = True
        table.merge(news)

    def look_up(number: int) -> None:
        change(number)
        table.endpoints(
            table.get(f"makati-{number % MEMBERS:05d}").endpoints[0].service
        )

    def repeat(number: int) -> None:
        table.merge(table.get(f"makati-{number % MEMBERS:05d}"))

    return {
        "merge_suspicion_us": mean_us(suspect),
        "merge_endpoint_change_us": mean_us(change),
        "merge_and_look_up_us": mean_us(look_up),
        "merge_known_entry_us": mean_us(repeat),
        "bucket_digests_us": mean_us(lambda _: bucket_digests(table.digests()), 20),
    }


def _sizes(table: Members, payloads: list[bytes]) -> dict[str, float]:
    entry = peer_pb2.Member.FromString(payloads[1])
    delta = without_endpoints(entry)
    delta.endpoints.append(entry.endpoints[0])
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
    first = peer_pb2.MemberTable(bucket_digests=bucket_digests(table.digests()))
    queue = UpdateQueue()
    for payload in payloads[:100]:
        queue.add(without_endpoints(peer_pb2.Member.FromString(payload)))
    return {
        "ping_bytes": ping.ByteSize(),
        "liveness_update_bytes": without_endpoints(entry).ByteSize(),
        "endpoint_update_bytes": delta.ByteSize(),
        "whole_entry_bytes": entry.ByteSize(),
        "whole_table_bytes": sum(map(len, payloads)),
        "exchange_first_request_bytes": first.ByteSize(),
        "digest_entry_bytes": len(entry.daemon) + 13,
        "liveness_updates_in_a_datagram": len(
            queue.take_batch(1_200 - ping.ByteSize(), MEMBERS)
        ),
        "sends_of_an_update": send_limit(MEMBERS),
    }
