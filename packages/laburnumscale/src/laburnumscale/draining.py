"""Draining.

Drains a daemon before it exits: notifies its peers, then stops accepting new work and
waits for the calls in flight.
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

__all__ = ["EXIT_MARGIN_MS", "FLUSH_TIMEOUT_MS", "Drain"]

MAX_NOTIFIED_PEERS = 16
#: A load balancer that checks readiness every second and removes a daemon after two
#: failed checks takes nearly 3 s; until then callers still open connections.
MAX_NOTICE_MS = 3_000
MAX_NOTICE_SHARE = 0.5  # of the time that is left for the drain
#: The responses are already written; only the kernel's send buffers remain to be sent.
FLUSH_TIMEOUT_MS = 200
#: The process must exit before the platform kills it. The margin covers the flush
#: timeout twice, and as much again because the processor may be shared.
EXIT_MARGIN_MS = 800


@attrs.frozen(eq=False)
class Drain:
    """The drain procedure of a daemon.

    :ivar exchange_members: exchanges membership tables with the peer at an address.
    :ivar hand_over_keys: transfers the operation keys to another daemon.
    :ivar caller_server: the server that accepts the connections of callers.
    """

    members: Members
    guard: Guard
    runner: CallRunner
    exchange_members: Callable[[str], Awaitable[bool]]
    hand_over_keys: Callable[[Deadline], Awaitable[bool]]
    caller_server: Server

    async def run(self, deadline: Deadline) -> None:
        """Stop accepting work and wait for the calls in flight.

        :param deadline: by when the calls in flight must have ended.
        """
        self.members.set_draining()
        self.runner.draining = True
        self.caller_server.disable_keep_alive()
        # During the notice period the guard still accepts attempts, for peers that
        # have not learned of the drain yet.
        notice_ms = min(MAX_NOTICE_MS, deadline.left_ms() * MAX_NOTICE_SHARE)
        notice_deadline = Deadline.after_ms(notice_ms)
        await self._notify_peers()
        await asyncio.sleep(notice_deadline.left_s())
        await self.caller_server.stop_listening()
        await self.hand_over_keys(deadline)
        self.guard.draining = True
        calls_ended = await self.runner.in_flight.wait_until_idle(deadline)
        attempts_ended = await self.guard.in_flight.wait_until_idle(deadline)
        if not (calls_ended and attempts_ended):
            get_logger().warning(
                "calls cut off",
                calls=self.runner.in_flight.count,
                attempts=self.guard.in_flight.count,
            )
        await self.caller_server.close(Deadline.after_ms(FLUSH_TIMEOUT_MS))

    async def _notify_peers(self) -> None:
        peers = self.members.peers()
        notified = random.sample(peers, min(MAX_NOTIFIED_PEERS, len(peers)))
        await asyncio.gather(
            *(self.exchange_members(peer.peer_address) for peer in notified),
            return_exceptions=True,
        )
