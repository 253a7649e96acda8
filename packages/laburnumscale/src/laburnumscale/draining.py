"""Draining.

Ends a daemon without cutting a call off: the peers hear of it first, then no new work
is taken, and the calls in flight end.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from laburnumscale.calls import CallRunner
from laburnumscale.deadlines import Deadline
from laburnumscale.guard import Guard
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.webserver import Server

__all__ = ["EXIT_MARGIN_MS", "FLUSH_LIMIT_MS", "Drain"]

PEERS_TOLD = 16
#: A balancer that asks each second and leaves a daemon out after two misses needs
#: nearly three to notice; until then callers still open connections.
HIGHEST_NOTICE_MS = 3_000
NOTICE_SHARE = 0.5
FLUSH_LIMIT_MS = 200  # the answers are written; only the kernel's buffers are left
#: The process must be gone when the platform would end it: two times the flush, and
#: as much again for a processor that is shared.
EXIT_MARGIN_MS = 800


@attrs.frozen(eq=False)
class Drain:
    """What takes part in the end of a daemon.

    :ivar tell: exchanges membership tables with the peer at an address.
    :ivar hand_over: gives the operation keys to another daemon.
    :ivar callers: the server for callers.
    """

    members: Members
    guard: Guard
    runner: CallRunner
    tell: Callable[[str], Awaitable[bool]]
    hand_over: Callable[[Deadline], Awaitable[bool]]
    callers: Server

    async def run(self, deadline: Deadline) -> None:
        """Stop to take work and wait for the calls in flight.

        :param deadline: until when they may end.
        """
        self.members.set_draining()
        self.runner.draining = True
        self.callers.end_kept_alive()
        # Peers that hear of it later still find the guard at work.
        notice_ms = min(HIGHEST_NOTICE_MS, deadline.left_ms() * NOTICE_SHARE)
        notice = Deadline.after_ms(notice_ms)
        await self._tell_peers()
        await asyncio.sleep(notice.left_s())
        await self.callers.stop_listening()
        await self.hand_over(deadline)
        self.guard.draining = True
        calls_over = await self.runner.in_flight.wait_empty(deadline)
        attempts_over = await self.guard.in_flight.wait_empty(deadline)
        if not (calls_over and attempts_over):
            get_logger().warning(
                "calls cut off",
                calls=self.runner.in_flight.count,
                attempts=self.guard.in_flight.count,
            )
        await self.callers.close(Deadline.after_ms(FLUSH_LIMIT_MS))

    async def _tell_peers(self) -> None:
        peers = self.members.peers()
        told = random.sample(peers, min(PEERS_TOLD, len(peers)))
        await asyncio.gather(
            *(self.tell(peer.peer_address) for peer in told), return_exceptions=True
        )
