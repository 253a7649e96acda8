"""Slots.

Admits attempts to a target: one per free slot, and a limited number into its queue.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2

__all__ = ["concurrency_limit", "hold_slot", "release_slot"]

OVERLOAD_RETRY_AFTER_MS = 1000
MIN_RETRY_AFTER_MS = 100
#: Deadline checks assume that a call takes this multiple of the average latency.
LATENCY_MARGIN = 1.25
MS_PER_S = 1000
#: A call is short if it takes at most this share of the average time in a slot.
SHORT_CALL_SHARE = 0.5
MOST_URGENT = 0
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
    if target.running < concurrency_limit(target, settings):
        target.running += 1
        target.queue.record_direct_start()
    else:
        await _wait_for_slot(target, settings, transmission, head)
    started_at_s = time.monotonic()
    try:
        _check_still_admissible(target, transmission, head)
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


async def _wait_for_slot(
    target: LocalTarget,
    settings: EffectiveSettings,
    transmission: Transmission,
    head: peer_pb2.CallHead,
) -> None:
    """Wait in the queue until a slot is granted."""
    call_ms = _expected_call_ms(target, head)
    is_short = _is_short(target, call_ms)
    priority = MOST_URGENT if is_short else head.priority
    wait_ms = _expected_wait_ms(target, priority)
    refusal = AttemptRefused(
        peer_pb2.NOT_RUN_REASON_OVERLOADED, max(MIN_RETRY_AFTER_MS, int(wait_ms))
    )
    response_deadline = transmission.deadline
    if not is_short:
        response_deadline = _queued_response_deadline(transmission, head)
    if head.no_wait or wait_ms + LATENCY_MARGIN * call_ms > response_deadline.left_ms():
        raise refusal
    if len(target.queue) >= settings.queue_limit and not target.queue.evict_less_urgent(
        priority, refusal
    ):
        raise refusal
    waiter = target.queue.enqueue(priority)
    try:
        async with asyncio.timeout(
            _max_wait_s(call_ms, transmission, response_deadline)
        ):
            await waiter.granted
    except BaseException as error:
        target.queue.discard(waiter)
        if _was_granted(waiter.granted):
            release_slot(target, concurrency_limit(target, settings))
        if isinstance(error, TimeoutError):
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_DEADLINE, OVERLOAD_RETRY_AFTER_MS
            ) from None
        raise


def _is_short(target: LocalTarget, call_ms: float) -> bool:
    """Return whether a call takes little time compared with the target's other calls.

    Short calls hardly delay the others, so they wait as the most urgent ones and until
    their deadline. Many are made by a target that holds a slot of its own meanwhile,
    and whose work is lost if they are refused.
    """
    held_ms = target.slot_time_us / US_PER_MS
    return 0 < call_ms <= SHORT_CALL_SHARE * held_ms


def _max_wait_s(
    call_ms: float, transmission: Transmission, response_deadline: Deadline
) -> float:
    """Return the wait timeout, which applies if more urgent calls keep arriving."""
    return min(
        transmission.send_deadline.left_s(),
        max(0.0, response_deadline.left_s() - call_ms / MS_PER_S),
    )


def _was_granted(granted: asyncio.Future) -> bool:
    """Return whether a slot was granted to a call that has stopped waiting."""
    return granted.done() and not granted.cancelled() and granted.exception() is None


def _check_still_admissible(
    target: LocalTarget, transmission: Transmission, head: peer_pb2.CallHead
) -> None:
    if target.ejected and not head.floor_traffic:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_EJECTED, OVERLOAD_RETRY_AFTER_MS)
    call_ms = _expected_call_ms(target, head)
    if LATENCY_MARGIN * call_ms > transmission.deadline.left_ms():
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS
        )


def _queued_response_deadline(
    transmission: Transmission, head: peer_pb2.CallHead
) -> Deadline:
    """Return the time by which an attempt that has to wait must be answered.

    When slots are short, they go to calls that can still be answered within the
    latency objective of their route. A longer queue would not raise the throughput
    and would make every response late.
    """
    if not head.objective_left_ms:
        return transmission.deadline
    objective = Deadline.after_ms(head.objective_left_ms)
    return min(objective, transmission.deadline, key=lambda deadline: deadline.at_s)


def _expected_call_ms(target: LocalTarget, head: peer_pb2.CallHead) -> float:
    """Return how long a call is expected to take; 0 if its route is new.

    The target's own average counts only if it is below the median of the service. A
    higher one may come from a failure that is over, and if the target refused calls
    because of it, nothing would ever correct it.
    """
    own_us = target.route_latencies.average_us(head.route)
    known_us = [each for each in (own_us, head.reference_latency_us) if each]
    return min(known_us, default=0) / US_PER_MS


def _expected_wait_ms(target: LocalTarget, priority: int) -> float:
    held_ms = target.slot_time_us / US_PER_MS
    releases = target.queue.expected_releases(priority)
    return releases / max(1, target.usable_slots) * held_ms
