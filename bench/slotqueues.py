"""Slot queues.

Measures the processor time of enqueueing a call and granting a slot, by queue policy
and by the number of queued calls.
"""

import argparse
import asyncio
import statistics
import time

import attrs

from laburnumscale.addresses import Address
from laburnumscale.attempttable import Attempt
from laburnumscale.deadlines import Deadline
from laburnumscale.localtarget import LocalTarget
from laburnumscale.queuepolicies import SlotRequest, get_queue_policy_by_name
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slots import hold_slot
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2

__all__ = ["main"]

POLICIES = ("priority", "cost")
LENGTHS = (0, 20, 200)
ACCOUNTS = 20
PRIORITIES = 3
ROUTES = 3
ROUNDS = 15
OPERATIONS = 400
WORK_US = 1_000_000
LEFT_MS = 600_000
US_PER_S = 1e6


def create_target(policy: str) -> LocalTarget:
    """Return a target with known work and a queue of the policy."""
    target = LocalTarget(
        "slot-desk",
        "e1",
        Address("127.0.0.1", 1),
        8,
        peer_pb2.TARGET_STATE_READY,
        Deadline.after_ms(LEFT_MS),
    )
    get_queue_policy_by_name(policy).prepare_queue(target)
    for route in range(ROUTES):
        for factor in range(1, 40):
            target.record_latency(route, WORK_US * factor / 20)
    target.record_slot_time(WORK_US)
    return target


def create_request(target: LocalTarget, policy: str, number: int) -> SlotRequest:
    """Return the request of a call, which differs by its number."""
    settings = attrs.evolve(
        EffectiveSettings(), queue_policy=policy, queue_limit=10_000
    )
    head = peer_pb2.CallHead(
        account=f"a{number % ACCOUNTS}",
        priority=number % PRIORITIES,
        route=number % ROUTES,
        idempotent=True,
        objective_left_ms=LEFT_MS,
    )
    deadline = Deadline.after_ms(LEFT_MS)
    transmission = Transmission(Attempt(), deadline, deadline)
    return SlotRequest(target, settings, transmission, head, WORK_US / 1000, False)


async def measure_us(policy_name: str, length: int) -> tuple[float, float]:
    """Return the median times of enqueueing and of granting at a queue length."""
    policy, target = get_queue_policy_by_name(policy_name), create_target(policy_name)
    requests = [
        create_request(target, policy_name, number)
        for number in range(length + OPERATIONS)
    ]
    for request in requests[:length]:
        policy.enqueue(request)
    enqueue_us, grant_us = [], []
    for _ in range(ROUNDS):
        enqueue_s = grant_s = 0.0
        for request in requests[length:]:
            started_at_s = time.process_time()
            policy.enqueue(request)
            queued_at_s = time.process_time()
            target.queue.grant_next()
            grant_s += time.process_time() - queued_at_s
            enqueue_s += queued_at_s - started_at_s
        enqueue_us.append(enqueue_s / OPERATIONS * US_PER_S)
        grant_us.append(grant_s / OPERATIONS * US_PER_S)
    return statistics.median(enqueue_us), statistics.median(grant_us)


async def measure_direct_us(policy_name: str) -> float:
    """Return the median time of holding a free slot."""
    target = create_target(policy_name)
    request = create_request(target, policy_name, 0)
    times_us = []
    for _ in range(ROUNDS):
        started_at_s = time.process_time()
        for _ in range(OPERATIONS):
            async with hold_slot(
                target, request.settings, request.transmission, request.head
            ):
                pass
        elapsed_s = time.process_time() - started_at_s
        times_us.append(elapsed_s / OPERATIONS * US_PER_S)
    return statistics.median(times_us)


def main() -> None:
    """Print a table of the times."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    print("| policy | free slot, us | queued | enqueue, us | grant, us |")
    print("| --- | --- | --- | --- | --- |")
    for policy in POLICIES:
        direct_us = asyncio.run(measure_direct_us(policy))
        for length in LENGTHS:
            enqueue_us, grant_us = asyncio.run(measure_us(policy, length))
            cells = f"{direct_us:.1f} | {length} | {enqueue_us:.1f} | {grant_us:.1f}"
            print(f"| {policy} | {cells} |")


if __name__ == "__main__":
    main()
