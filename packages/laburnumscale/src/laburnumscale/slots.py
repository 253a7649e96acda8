"""Slots.

Admits attempts to a target: one per free slot, and a limited number into its queue.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.queuepolicies import (
    OVERLOAD_RETRY_AFTER_MS,
    QueuePolicy,
    SlotRequest,
    get_queue_policy_by_name,
)
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2

__all__ = ["concurrency_limit", "hold_slot", "release_slot"]

#: A call is short if it takes at most this share of the average time in a slot.
SHORT_CALL_SHARE = 0.5
US_PER_MS = 1000
US_PER_S = 1_000_000
READY = peer_pb2.TARGET_STATE_READY


@asynccontextmanager
async def hold_slot(
    target: LocalTarget,
    settings: EffectiveSettings,
    transmission: Transmission,
    head: peer_pb2.CallHead,
) -> AsyncIterator[None]:
    """Hold one slot of a target while the context lasts.

    :param transmission: deadlines for writing the request and for the complete
        response.
    :param head: the attempt with its priority; attempts marked ``floor_traffic`` are
        admitted even while the target is ejected.
    :raises AttemptRefused: the target is not ready, its queue is full, the attempt
        would miss its deadline, it would have to wait although ``no_wait`` is set, or
        the target is ejected when the slot is granted.
    """
    if target.state != READY:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
    policy = get_queue_policy_by_name(settings.queue_policy)
    if target.queue.name != policy.name:
        policy.prepare_queue(target)
    if target.running < concurrency_limit(target, settings):
        target.running += 1
        target.queue.record_direct_start()
    else:
        call_ms = _expected_call_ms(target, head)
        is_short = _is_short(target, call_ms)
        await _wait_for_slot(
            policy,
            SlotRequest(target, settings, transmission, head, call_ms, is_short),
        )
        # The policy may have changed while the attempt waited.
        policy = get_queue_policy_by_name(target.queue.name)
    started_at_s = time.monotonic()
    try:
        if target.ejected and not head.floor_traffic:
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_EJECTED, OVERLOAD_RETRY_AFTER_MS
            )
        call_ms = _expected_call_ms(target, head)
        policy.check_start(target, transmission, head, call_ms)
        yield
        target.record_slot_time((time.monotonic() - started_at_s) * US_PER_S)
    finally:
        release_slot(target, concurrency_limit(target, settings))


def concurrency_limit(target: LocalTarget, settings: EffectiveSettings) -> int:
    """Return how many calls a target may run at a time; each needs a connection."""
    return min(target.usable_slots, settings.connection_limit or target.slots)


def release_slot(target: LocalTarget, limit: int) -> None:
    """Free a slot and pass it to the next waiting call.

    Further calls get slots if the limit has risen.

    :param limit: calls that may run at the target at a time.
    """
    target.running -= 1
    while target.running < limit and target.queue.grant_next():
        target.running += 1


async def _wait_for_slot(policy: QueuePolicy, request: SlotRequest) -> None:
    """Wait in the queue until a slot is granted."""
    target = request.target
    waiter, max_wait_s = policy.enqueue(request)
    try:
        async with asyncio.timeout(max_wait_s):
            await waiter.granted
    except BaseException as error:
        target.queue.discard(waiter)
        if _was_granted(waiter.granted):
            release_slot(target, concurrency_limit(target, request.settings))
        if isinstance(error, TimeoutError):
            policy = get_queue_policy_by_name(target.queue.name)
            raise policy.expiry(request) from None
        raise


def _is_short(target: LocalTarget, call_ms: float) -> bool:
    """Return whether a call takes little time compared with the target's other calls.

    Short calls hardly delay the others, so they wait as the most urgent ones and until
    their deadline. Many are made by a target that holds a slot of its own meanwhile,
    and whose work is lost if they are refused.
    """
    held_ms = target.slot_time_us / US_PER_MS
    return 0 < call_ms <= SHORT_CALL_SHARE * held_ms


def _was_granted(granted: asyncio.Future) -> bool:
    """Return whether a slot was granted to a call that has stopped waiting."""
    return granted.done() and not granted.cancelled() and granted.exception() is None


def _expected_call_ms(target: LocalTarget, head: peer_pb2.CallHead) -> float:
    """Return how long a call is expected to take; 0 if its route is new.

    The target's own average counts only if it is below the median of the service. A
    higher one may come from a failure that is over, and if the target refused calls
    because of it, nothing would ever correct it.
    """
    own_us = target.route_latencies.average_us(head.route)
    known_us = [each for each in (own_us, head.reference_latency_us) if each]
    return min(known_us, default=0) / US_PER_MS
