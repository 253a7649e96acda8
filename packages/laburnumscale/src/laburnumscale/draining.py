"""Draining.

Drains a daemon before it exits: notifies its peers, then stops accepting new work and
waits for the calls in flight.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

import attrs

from laburnumscale.calls import CallRunner
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.drainstate import DrainState
from laburnumscale.guard import Guard
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.webserver import Server

__all__ = ["EXIT_MARGIN_MS", "FLUSH_TIMEOUT_MS", "Drain"]

MAX_NOTIFIED_PEERS = 16
#: For what is written at the deadline of the drain; earlier responses have been sent.
FLUSH_TIMEOUT_MS = 200
#: Time before the end of the drain at which the operation keys are handed over, even if
#: operations are still running.
HAND_OVER_MS = 500
#: The process must exit before the platform kills it. The margin covers the flush
#: timeout twice, and as much again because the processor may be shared.
EXIT_MARGIN_MS = 800


@attrs.frozen(eq=False)
class Drain:
    """The drain procedure of a daemon.

    :ivar state: the state of the drain, which has begun already.
    :ivar exchange_members: exchanges membership tables with the peer at an address.
    :ivar hand_over_keys: transfers the operation keys to another daemon.
    :ivar caller_server: the server that accepts the connections of callers.
    """

    state: DrainState
    members: Members
    guard: Guard
    runner: CallRunner
    exchange_members: Callable[[str], Awaitable[bool]]
    hand_over_keys: Callable[[Deadline], Awaitable[bool]]
    caller_server: Server

    async def run(self) -> None:
        """Stop accepting work and wait for the work in progress.

        Work that has not ended by the deadline of the drain is cut off.
        """
        self.members.set_draining()
        self.caller_server.disable_keep_alive()
        # During the notice period work is still accepted, from callers and peers that
        # have not learned of the drain yet.
        await self._give_notice(self.state.notice_deadline)
        self.guard.refuse_waiting_attempts()
        deadline = self.state.work_deadline
        handing_over = asyncio.create_task(
            self.hand_over_keys(deadline.earlier_by_ms(HAND_OVER_MS))
        )
        # Targets make calls through this daemon while they run their last attempts.
        attempts_ended = await self.guard.wait_until_idle(deadline)
        await self.caller_server.stop_listening()
        await self.caller_server.wait_for_first_requests(deadline)
        self.caller_server.close_idle_connections()
        calls_ended = await self.runner.in_flight.wait_until_idle(deadline)
        if not (calls_ended and attempts_ended):
            get_logger().warning(
                "calls cut off",
                calls=self.runner.in_flight.count,
                attempts=self.guard.in_flight.count,
            )
        if not await self.caller_server.wait_until_sent(deadline):
            get_logger().warning("responses cut off")
        self.state.cut_off()
        flush_deadline = Deadline.after_ms(FLUSH_TIMEOUT_MS)
        await self.runner.in_flight.wait_until_idle(flush_deadline)
        await self.caller_server.close(Deadline.after_ms(FLUSH_TIMEOUT_MS))
        await self._finish_hand_over(handing_over, deadline)

    async def _give_notice(self, notice_deadline: Deadline) -> None:
        notifying = asyncio.create_task(self._notify_peers())
        await asyncio.sleep(notice_deadline.left_s())
        notifying.cancel()
        await asyncio.wait({notifying})

    async def _finish_hand_over(
        self, handing_over: asyncio.Task, deadline: Deadline
    ) -> None:
        timeout_s = max(deadline.left_s(), FLUSH_TIMEOUT_MS / MS_PER_S)
        done, _ = await asyncio.wait({handing_over}, timeout=timeout_s)
        if not done:
            handing_over.cancel()
            await asyncio.wait({handing_over})
        if handing_over.cancelled():
            get_logger().warning("operation keys not handed over in time")
        elif handing_over.exception() is not None:
            reason = repr(handing_over.exception())
            get_logger().error("operation keys not handed over", reason=reason)

    async def _notify_peers(self) -> None:
        peers = self.members.peers()
        notified = random.sample(peers, min(MAX_NOTIFIED_PEERS, len(peers)))
        await asyncio.gather(
            *(self.exchange_members(peer.peer_address) for peer in notified),
            return_exceptions=True,
        )
