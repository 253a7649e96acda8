"""Target ends.

Finds out whether a target ended while it ran an attempt, as the guard on its host sees
it.
"""

import asyncio
import random
import time

import attrs

from laburnumscale.addresses import Address
from laburnumscale.deadlines import Deadline
from laburnumscale.localtarget import LocalTarget
from laburnumscale_schema import peer_pb2

__all__ = ["TargetEnds"]

#: A connection on the own host is accepted or refused at once, even under load.
CONNECT_TIMEOUT_S = 0.1
#: Attempts that lose their connections within this time saw the same end.
SAME_END_MS = 1_000
MAX_CONNECTIONS = 2
CLOSE_TIMEOUT_S = 0.03
RANDOM_BITS = 12
NS_PER_US = 1000


@attrs.frozen(eq=False)
class _Check:
    """A check of a target, which the attempts that it ran share.

    :ivar result: the identity of the end of the target, or 0 if it has not ended.
    """

    deadline: Deadline
    result: asyncio.Task

    def is_outdated(self) -> bool:
        """Return whether another connection that breaks needs a check of its own."""
        found_no_end = self.result.done() and not self.result.result()
        return found_no_end or self.deadline.has_passed()


class TargetEnds:
    """Checks targets whose connections broke while they ran attempts.

    A target that refuses connections has ended. One that leaves has ended by itself,
    and one that is frozen or accepts connections has not ended.
    """

    def __init__(self) -> None:
        self._checks: dict[Address, _Check] = {}

    async def find_end(self, target: LocalTarget) -> int:
        """Return the identity of the end of a target, or 0 if it has not ended.

        Called after the connection of an attempt broke that the target may have run.
        """
        if target.withdrawn or target.state == peer_pb2.TARGET_STATE_DRAINING:
            return 0
        check = self._checks.get(target.address)
        if check is None or check.is_outdated():
            self._remove_old_checks()
            result = asyncio.create_task(_check(target.address))
            check = _Check(Deadline.after_ms(SAME_END_MS), result)
            self._checks[target.address] = check
        return await asyncio.shield(check.result)

    def _remove_old_checks(self) -> None:
        for address, check in list(self._checks.items()):
            if check.is_outdated():
                del self._checks[address]


async def _check(address: Address) -> int:
    """Return a new identity for the end of the target at an address, or 0.

    A process that is ending may accept a connection and close it, so a connection that
    is closed at once is followed by a second one.
    """
    for _ in range(MAX_CONNECTIONS):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stays_open = await _stays_open(address)
        except ConnectionRefusedError:
            return _new_identity()
        except (OSError, TimeoutError):
            return 0
        if stays_open:
            return 0
    return 0


async def _stays_open(address: Address) -> bool:
    """Connect to a target and return whether it keeps the connection open."""
    reader, writer = await asyncio.open_connection(address.host, address.port)
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            return bool(await reader.read(1))
    except TimeoutError:
        return True
    except ConnectionResetError:
        return False
    finally:
        writer.close()


def _new_identity() -> int:
    """Return a number that is unique in the fleet and increases with time."""
    time_us = time.time_ns() // NS_PER_US
    return (time_us << RANDOM_BITS) + random.getrandbits(RANDOM_BITS)
