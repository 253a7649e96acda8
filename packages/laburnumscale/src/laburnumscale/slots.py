"""Slots.

Admits attempts to a target: as many at a time as it has slots, few in a queue.
"""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.replies import AttemptRefused
from laburnumscale.sending import Sending
from laburnumscale.targets import LocalTarget
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["hold_slot"]

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
    sending: Sending,
    floor_traffic: bool,
) -> AsyncIterator[None]:
    """Hold one slot of a target.

    :param sending: until when the request may be written and must be answered.
    :param floor_traffic: the attempt waits also while the target is ejected.
    :raises AttemptRefused: the target leaves, its queue is full, the attempt cannot
        end before its deadline, or the target is ejected while it waits.
    """
    if target.state != READY:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
    if target.running >= target.slots:
        await _wait_for_slot(target, settings, sending, floor_traffic)
    target.running += 1
    started_at_s = time.monotonic()
    try:
        yield
    finally:
        target.note_held((time.monotonic() - started_at_s) * US_PER_S)
        target.running -= 1
        await _wake_next(target)


async def _wait_for_slot(
    target: LocalTarget,
    settings: EffectiveSettings,
    sending: Sending,
    floor_traffic: bool,
) -> None:
    wait_ms = _expected_wait_ms(target)
    if _is_too_late(target, wait_ms, sending) or (
        target.queued >= settings.queue_limit
    ):
        retry_after_ms = max(LEAST_RETRY_AFTER_MS, int(wait_ms))
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_OVERLOADED, retry_after_ms)

    def is_turned_away() -> bool:
        return target.ejected and not floor_traffic

    def may_go_on() -> bool:
        return target.running < target.slots or is_turned_away()

    target.queued += 1
    try:
        async with asyncio.timeout(sending.send_deadline.left_s()), target.slot_freed:
            await target.slot_freed.wait_for(may_go_on)
    except TimeoutError:
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_DEADLINE, OVERLOAD_RETRY_AFTER_MS
        ) from None
    finally:
        target.queued -= 1
    if is_turned_away():
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_EJECTED, OVERLOAD_RETRY_AFTER_MS)
    if _is_too_late(target, 0, sending):
        await _wake_next(target)
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS
        )


async def _wake_next(target: LocalTarget) -> None:
    async with target.slot_freed:
        target.slot_freed.notify()


def _is_too_late(target: LocalTarget, wait_ms: float, sending: Sending) -> bool:
    call_ms = CALL_MARGIN * target.latency_us / US_PER_MS
    return wait_ms + call_ms > sending.deadline.left_ms()


def _expected_wait_ms(target: LocalTarget) -> float:
    held_ms = target.held_us / US_PER_MS
    return (target.queued + 1) / max(1, target.slots) * held_ms
