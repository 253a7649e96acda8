"""Attempt settler.

Queries guards for the outcome of attempts, directly or relayed by a third daemon.
"""

import asyncio
import random

import grpc

from laburnumscale.attempttable import AttemptTable
from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import Deadline
from laburnumscale.members import EndpointView, Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptSettler"]

MAX_RELAYS = 2
HOP_MARGIN_MS = 10
UNREACHABLE = peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_UNREACHABLE)


class AttemptSettler:
    """Queries the outcome of this daemon's attempts and serves queries of others.

    A guard fences a queried attempt that it has not sent to its target, so that the
    reported outcome is final.
    """

    def __init__(
        self,
        members: Members,
        attempts: AttemptTable,
        channels: PeerChannels,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._attempts = attempts
        self._channels = channels
        self._metrics = metrics

    async def handle_settle_request(
        self, request: peer_pb2.SettleRequest
    ) -> peer_pb2.SettleReply:
        """Answer the query of an entry, or relay it to the guard that it names."""
        if request.guard == self._members.own.daemon:
            return self._attempts.settle(request.attempt)
        guard = self._members.get(request.guard)
        if request.relayed or guard is None:
            return UNREACHABLE
        deadline = Deadline.after_ms(request.time_left_ms - HOP_MARGIN_MS)
        relayed = peer_pb2.SettleRequest()
        relayed.CopyFrom(request)
        relayed.relayed = True
        return await self._send(guard.peer_address, relayed, deadline)

    async def query_verdict(
        self,
        attempt: peer_pb2.AttemptId,
        view: EndpointView,
        deadline: Deadline,
        use_relays: bool,
    ) -> peer_pb2.SettleReply:
        """Query the outcome of an attempt and return the first verdict of its guard.

        :param attempt: the attempt to settle.
        :param view: the endpoint that the attempt was sent to.
        :param deadline: time until which replies are awaited.
        :param use_relays: query the guard through relays at the same time, as its
            replies may not reach this daemon.
        :returns: an unreachable verdict if no path to the guard gave a reply.
        """
        self._metrics.count("settle_questions")
        request = peer_pb2.SettleRequest(attempt=attempt, guard=view.daemon)
        if view.daemon == self._members.own.daemon:
            return self._attempts.settle(attempt)
        relays = self._relay_addresses(view) if use_relays else ()
        queries = [
            asyncio.create_task(self._send(address, request, deadline))
            for address in (view.peer_address, *relays)
        ]
        try:
            for completed in asyncio.as_completed(queries):
                reply = await completed
                if reply.verdict != peer_pb2.SETTLE_VERDICT_UNREACHABLE:
                    return reply
        finally:
            for query in queries:
                query.cancel()
        return UNREACHABLE

    def _relay_addresses(self, view: EndpointView) -> list[str]:
        addresses = [
            member.peer_address
            for member in self._members.peers()
            if member.daemon != view.daemon
        ]
        return random.sample(addresses, min(MAX_RELAYS, len(addresses)))

    async def _send(
        self, address: str, request: peer_pb2.SettleRequest, deadline: Deadline
    ) -> peer_pb2.SettleReply:
        message = peer_pb2.SettleRequest()
        message.CopyFrom(request)
        message.time_left_ms = deadline.left_ms()
        stub = self._channels.guard(address)
        try:
            with closed_as_unavailable():
                return await stub.Settle(message, timeout=deadline.left_s())
        except grpc.RpcError:
            return UNREACHABLE
