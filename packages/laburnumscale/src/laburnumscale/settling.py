"""Settling.

Finds out from guards what became of attempts, directly or by way of a third daemon.
"""

import asyncio
import random

import grpc

from laburnumscale.attempts import AttemptTable
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.members import EndpointView, Members
from laburnumscale.metrics import Metrics
from laburnumscale_schema import peer_pb2

__all__ = ["Settler"]

RELAYS = 2
HOP_MARGIN_MS = 10
UNREACHABLE = peer_pb2.SettleReply(verdict=peer_pb2.SETTLE_VERDICT_UNREACHABLE)


class Settler:
    """Asks about attempts of this daemon and answers questions of others."""

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

    async def answer(self, request: peer_pb2.SettleRequest) -> peer_pb2.SettleReply:
        """Answer an entry, or relay its question to the guard that it names."""
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

    async def ask(
        self, attempt: peer_pb2.AttemptId, view: EndpointView, deadline: Deadline
    ) -> peer_pb2.SettleReply:
        """Return the first definite verdict on an attempt, from any way to its guard.

        :param view: the endpoint that the attempt was aimed at.
        """
        self._metrics.count("settle_questions")
        request = peer_pb2.SettleRequest(attempt=attempt, guard=view.daemon)
        if view.daemon == self._members.own.daemon:
            return self._attempts.settle(attempt)
        questions = [
            asyncio.create_task(self._send(address, request, deadline))
            for address in (view.peer_address, *self._relays(view))
        ]
        try:
            for answered in asyncio.as_completed(questions):
                reply = await answered
                if reply.verdict != peer_pb2.SETTLE_VERDICT_UNREACHABLE:
                    return reply
        finally:
            for question in questions:
                question.cancel()
        return UNREACHABLE

    def _relays(self, view: EndpointView) -> list[str]:
        addresses = [
            member.peer_address
            for member in self._members.peers()
            if member.daemon != view.daemon
        ]
        return random.sample(addresses, min(RELAYS, len(addresses)))

    async def _send(
        self, address: str, request: peer_pb2.SettleRequest, deadline: Deadline
    ) -> peer_pb2.SettleReply:
        message = peer_pb2.SettleRequest()
        message.CopyFrom(request)
        message.time_left_ms = deadline.left_ms()
        stub = self._channels.guard(address)
        try:
            return await stub.Settle(message, timeout=deadline.left_s())
        except grpc.RpcError:
            return UNREACHABLE
