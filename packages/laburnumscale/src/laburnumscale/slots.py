"""Slots.

Admits attempts to a target: as many at a time as it has slots, few in a queue.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import AttemptRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.transmission import Transmission
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["hold_slot", "release_slot"]

OVERLOAD_RETRY_AFTER_MS = 1000
LEAST_RETRY_AFTER_MS = 100
CALL_MARGIN = 1.25
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
    """Hold one slot of a target.

    :param transmission: until when the request may be written and must be answered.
    :param head: the attempt with its rank; one of the floor's waits also while the
        target is ejected.
    :raises AttemptRefused: the target leaves, its queue is full, the attempt cannot
        end in time, it does not wait, or the target is ejected while it waits.
    """
    if target.state != READY:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
    if target.running < _slots(target, settings):
        target.running += 1
    else:
        await _wait_for_slot(target, settings, transmission, head)
    started_at_s = time.monotonic()
    try:
        _check_still_useful(target, transmission, head)
        yield
        target.record_slot_time((time.monotonic() - started_at_s) * US_PER_S)
    finally:
        release_slot(target)


def _slots(target: LocalTarget, settings: EffectiveSettings) -> int:
    """Return how many calls a target takes at a time; each needs a connection."""
    return min(target.slots, settings.connection_limit or target.slots)


def release_slot(target: LocalTarget) -> None:
    """Give a slot to the next call that waits, or free it."""
    if target.running > target.slots or not target.queue.grant_next():
        target.running -= 1


async def _wait_for_slot(
    target: LocalTarget,
    settings: EffectiveSettings,
    transmission: Transmission,
    head: peer_pb2.CallHead,
) -> None:
    """Wait until a slot is handed over."""
    wait_ms = _expected_wait_ms(target, head.priority)
    refusal = AttemptRefused(
        peer_pb2.NOT_RUN_REASON_OVERLOADED, max(LEAST_RETRY_AFTER_MS, int(wait_ms))
    )
    limit = _useful_until(transmission, head)
    if head.no_wait or _is_too_late(target, wait_ms, limit):
        raise refusal
    if len(target.queue) >= settings.queue_limit and not target.queue.turn_away_below(
        head.priority, refusal
    ):
        raise refusal
    waiter = target.queue.join(head.priority)
    try:
        async with asyncio.timeout(_longest_wait_s(target, transmission, limit)):
            await waiter.granted
    except BaseException as error:
        target.queue.leave(waiter)
        if _is_granted(waiter.granted):
            release_slot(target)
        if isinstance(error, TimeoutError):
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_DEADLINE, OVERLOAD_RETRY_AFTER_MS
            ) from None
        raise


def _longest_wait_s(
    target: LocalTarget, transmission: Transmission, limit: Deadline
) -> float:
    """Return how long to wait if calls of higher rank keep on going first."""
    call_s = target.latency_us / US_PER_S
    return min(transmission.send_deadline.left_s(), max(0.0, limit.left_s() - call_s))


def _is_granted(granted: asyncio.Future) -> bool:
    """Tell whether a slot was handed to a call that has stopped waiting."""
    return granted.done() and not granted.cancelled() and granted.exception() is None


def _check_still_useful(
    target: LocalTarget, transmission: Transmission, head: peer_pb2.CallHead
) -> None:
    if target.ejected and not head.floor_traffic:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_EJECTED, OVERLOAD_RETRY_AFTER_MS)
    if _is_too_late(target, 0, transmission.deadline):
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS
        )


def _useful_until(transmission: Transmission, head: peer_pb2.CallHead) -> Deadline:
    """Return until when an attempt that has to wait must be answered.

    Slots that are short go to calls that can still be answered in the time that
    their callers hope for: a longer queue would serve as many, and all of them late.
    """
    if not head.objective_left_ms:
        return transmission.deadline
    objective = Deadline.after_ms(head.objective_left_ms)
    return min(objective, transmission.deadline, key=lambda deadline: deadline.at_s)


def _is_too_late(target: LocalTarget, wait_ms: float, limit: Deadline) -> bool:
    call_ms = CALL_MARGIN * target.latency_us / US_PER_MS
    return wait_ms + call_ms > limit.left_ms()


def _expected_wait_ms(target: LocalTarget, priority: int) -> float:
    held_ms = target.slot_time_us / US_PER_MS
    turns = target.queue.expected_turns(priority)
    return turns / max(1, target.slots) * held_ms
