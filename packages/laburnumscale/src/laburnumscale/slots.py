"""Slots.

Admits attempts to a target: as many at a time as it has slots, few in a queue.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from laburnumscale.deadlines import Deadline
from laburnumscale.replies import AttemptRefused
from laburnumscale.targets import LocalTarget
from laburnumscale.tree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["hold_slot"]

OVERLOAD_RETRY_AFTER_MS = 1000
READY = peer_pb2.TARGET_STATE_READY


@asynccontextmanager
async def hold_slot(
    target: LocalTarget, settings: EffectiveSettings, deadline: Deadline
) -> AsyncIterator[None]:
    """Hold one slot of a target.

    :raises AttemptRefused: the target leaves, its queue is full, or the deadline
        passes in the queue.
    """
    if target.state != READY:
        raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
    if target.running >= target.slots:
        await _wait_for_slot(target, settings, deadline)
    target.running += 1
    try:
        yield
    finally:
        target.running -= 1
        async with target.slot_freed:
            target.slot_freed.notify()


async def _wait_for_slot(
    target: LocalTarget, settings: EffectiveSettings, deadline: Deadline
) -> None:
    if target.queued >= settings.queue_limit:
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS
        )
    target.queued += 1
    try:
        async with asyncio.timeout(deadline.left_s()), target.slot_freed:
            await target.slot_freed.wait_for(lambda: target.running < target.slots)
    except TimeoutError:
        raise AttemptRefused(
            peer_pb2.NOT_RUN_REASON_DEADLINE, OVERLOAD_RETRY_AFTER_MS
        ) from None
    finally:
        target.queued -= 1
