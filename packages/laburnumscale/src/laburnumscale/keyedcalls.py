"""Keyed calls.

Leads a call with an operation key to the daemon that keeps the key.
"""

import asyncio
import random

import grpc
import xxhash

from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.channels import PeerChannels
from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import not_run_reply, unknown_reply
from laburnumscale.headers import end_to_end
from laburnumscale.keytable import KeyTable
from laburnumscale.memberentries import is_present
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.operationkeys import KeyInvalid, OperationKey, parse_key
from laburnumscale.recordedexchange import RecordedExchange
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale_schema import peer_pb2

__all__ = ["KeyedCalls"]

RETRY_INTERVAL_S = 0.05
#: How long a key's home may be missing from the membership before it counts as gone.
HOME_GRACE_MS = 1_500
#: Share of the time left after which a third daemon is asked too.
DIRECT_SHARE = 0.25
NOTHING_HEARD = peer_pb2.CallReply()
HAND_OVER_TIMEOUT_S = 2.0
SUCCESSOR_LIMIT = 3


class KeyedCalls:
    """Runs keyed calls here or at the daemon that keeps their key."""

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        runner: CallRunner,
        channels: PeerChannels,
        table: KeyTable,
        metrics: Metrics,
    ) -> None:
        self._members = members
        self._feed = feed
        self._runner = runner
        self._channels = channels
        self._table = table
        self._metrics = metrics

    async def lead(self, call: Call, key_text: str) -> peer_pb2.CallReply:
        """Answer a caller's call by way of the daemon that keeps its key.

        :returns: the whole answer or an outcome; unknown if the home is gone.
        """
        try:
            key = parse_key(key_text)
        except KeyInvalid:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED)
        if not call.replayable:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEYED_BODY_TOO_LARGE)
        missing_deadline = Deadline.after_ms(
            min(HOME_GRACE_MS, call.deadline.left_ms())
        )
        holder = self._home(key)
        while not call.deadline.has_passed():
            if holder is not None:
                reply = await self._ask(holder, key, call)
                if reply is not None and not reply.HasField("key_moved_to"):
                    return reply
            elif missing_deadline.has_passed():
                return unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)
            await asyncio.sleep(RETRY_INTERVAL_S)
            holder = self._members.key_holder(*key.home) or self._home(key)
        return unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE)

    async def run_here(self, message: peer_pb2.KeyedCall) -> peer_pb2.CallReply:
        """Run a keyed call at its home, or pass it on to there."""
        deadline = Deadline.after_ms(message.head.time_left_ms)
        if message.HasField("pass_to"):
            return await self._pass_on(message, deadline)
        try:
            key = parse_key(message.key)
        except KeyInvalid:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED)
        return await self._table.run(
            key, _fingerprint(message), deadline, lambda: self._operate(message)
        )

    async def hand_over(self, deadline: Deadline) -> bool:
        """Give all keys to one successor.

        A second daemon is tried only if the first was certainly not reached: two
        daemons with the same keys could both run an operation.

        :param deadline: until when operations that are running may end.
        :returns: whether a successor took the keys.
        """
        await self._table.settle(deadline)
        for successor in self._successors():
            holder = peer_pb2.KeyHolder(
                daemon=successor.daemon, incarnation=successor.incarnation
            )
            message = peer_pb2.KeyHandOver(tables=self._table.export(holder))
            stub = self._channels.operation_keys(successor.peer_address)
            try:
                await stub.HandOver(message, timeout=HAND_OVER_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                self._metrics.count("key_hand_over_failures")
                if not _was_never_sent(error):
                    return False
                self._table.resume()
                continue
            return True
        return False

    def adopt(self, message: peer_pb2.KeyHandOver) -> None:
        """Take over the keys of a daemon that leaves, and tell the others."""
        for table in message.tables:
            if not self._table.holds((table.home.daemon, table.home.incarnation)):
                self._table.adopt(table)
        self._members.set_key_homes(self._table.adopted_homes())

    def _home(self, key: OperationKey) -> peer_pb2.Member | None:
        if self._table.holds(key.home):
            return self._members.own
        home = self._members.get(key.daemon)
        if home is None or home.incarnation != key.incarnation:
            return None
        return home if is_present(home) else None

    def _successors(self) -> list[peer_pb2.Member]:
        peers = [peer for peer in self._members.peers() if not peer.draining]
        random.shuffle(peers)
        own_data_centre = self._members.own.data_centre
        peers.sort(key=lambda peer: peer.data_centre != own_data_centre)
        return peers[:SUCCESSOR_LIMIT]

    async def _ask(
        self, holder: peer_pb2.Member, key: OperationKey, call: Call
    ) -> peer_pb2.CallReply | None:
        """Ask the holder; None means that nothing was heard."""
        message = peer_pb2.KeyedCall(
            key=str(key), head=self._head(call), body=call.body
        )
        if holder.daemon == self._members.own.daemon:
            return await self.run_here(message)
        direct = asyncio.create_task(self._send(holder.peer_address, message))
        tasks = {direct}
        try:
            patience_s = call.deadline.left_s() * DIRECT_SHARE
            done, _ = await asyncio.wait(tasks, timeout=patience_s)
            if not done or direct.result() is None:
                tasks |= self._indirect(holder, message)
            for finished in asyncio.as_completed(tasks):
                reply = await finished
                if reply is not None:
                    return reply
        finally:
            for task in tasks:
                task.cancel()
        return None

    def _indirect(
        self, holder: peer_pb2.Member, message: peer_pb2.KeyedCall
    ) -> set[asyncio.Task]:
        others = [
            peer for peer in self._members.peers() if peer.daemon != holder.daemon
        ]
        if not others:
            return set()
        passed = peer_pb2.KeyedCall()
        passed.CopyFrom(message)
        passed.pass_to.daemon = holder.daemon
        passed.pass_to.incarnation = holder.incarnation
        address = random.choice(others).peer_address
        self._metrics.count("keyed_calls_passed_on")
        return {asyncio.create_task(self._send(address, passed))}

    async def _pass_on(
        self, message: peer_pb2.KeyedCall, deadline: Deadline
    ) -> peer_pb2.CallReply:
        home = self._members.get(message.pass_to.daemon)
        if home is None or home.incarnation != message.pass_to.incarnation:
            return NOTHING_HEARD
        direct = peer_pb2.KeyedCall(
            key=message.key, head=message.head, body=message.body
        )
        direct.head.time_left_ms = deadline.left_ms()
        reply = await self._send(home.peer_address, direct)
        return reply or NOTHING_HEARD

    async def _send(
        self, address: str, message: peer_pb2.KeyedCall
    ) -> peer_pb2.CallReply | None:
        timeout_s = message.head.time_left_ms / 1000
        stub = self._channels.operation_keys(address)
        try:
            reply = await stub.Run(message, timeout=timeout_s)
        except grpc.aio.AioRpcError:
            return None
        return None if reply == NOTHING_HEARD else reply

    async def _operate(self, message: peer_pb2.KeyedCall) -> peer_pb2.CallReply:
        head = message.head
        if head.service not in self._feed.tree.services():
            return not_run_reply(peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE)
        settings = self._feed.tree.effective_settings(
            head.service, self._members.own.data_centre
        )
        exchange = RecordedExchange(head)
        call = Call(
            request=exchange,
            request_id=head.request_id,
            service=head.service,
            path_and_query=head.path_and_query,
            settings=settings,
            idempotent=head.method in settings.idempotent,
            deadline=Deadline.after_ms(head.time_left_ms),
            body=message.body,
        )
        outcome, response = await self._runner.run(call)
        return exchange.reply(outcome, response)

    @staticmethod
    def _head(call: Call) -> peer_pb2.CallHead:
        return peer_pb2.CallHead(
            request_id=call.request_id,
            service=call.service,
            method=call.request.method,
            path_and_query=call.path_and_query,
            headers=end_to_end(call.request.headers.items()),
            time_left_ms=call.deadline.left_ms(),
        )


def _was_never_sent(error: grpc.aio.AioRpcError) -> bool:
    refused = "failed to connect" in (error.details() or "").lower()
    return error.code() == grpc.StatusCode.UNAVAILABLE and refused


def _fingerprint(message: peer_pb2.KeyedCall) -> bytes:
    head = message.head
    digest = xxhash.xxh3_128()
    for part in (head.service, head.method, head.path_and_query):
        digest.update(part.encode() + b"\n")
    digest.update(message.body)
    return digest.digest()
