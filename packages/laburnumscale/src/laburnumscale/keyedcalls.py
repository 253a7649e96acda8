"""Keyed calls.

Routes calls with an operation key to the daemon that holds the key.
"""

import asyncio
import random
from collections.abc import Callable

import attrs
import grpc
import xxhash

from laburnumscale.calls import CallRunner
from laburnumscale.callstate import Call
from laburnumscale.channels import PeerChannels, closed_as_unavailable
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import HandOverRefused
from laburnumscale.failurereplies import not_run_reply, unknown_reply
from laburnumscale.keytable import KeyTable
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import is_present
from laburnumscale.members import Members
from laburnumscale.memory import (
    BODY_COPIES,
    MEMORY_RETRY_AFTER_MS,
    MemoryBudget,
    Purpose,
    guard_head_bytes,
)
from laburnumscale.metrics import Metrics
from laburnumscale.operationkeys import KeyInvalid, OperationKey, parse_key
from laburnumscale.processends import ProcessEnds
from laburnumscale.recordedexchange import RecordedExchange
from laburnumscale.settingsfeed import BEHIND_RETRY_AFTER_MS, SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["KeyedCalls"]

RETRY_INTERVAL_S = 0.05
#: Longest pause between repeats of a call to a holder that is no member any more.
MAX_RETRY_INTERVAL_S = 0.5
#: How long a call that no holder may be running waits for the home of its key to appear
#: in the membership before the home counts as gone.
MISSING_HOME_GRACE_MS = 1_500
#: Part of the remaining time after which the call is also sent through a third daemon.
RELAY_DELAY_RATIO = 0.25
#: What a relay returns if it got no reply from the holder.
NO_REPLY = peer_pb2.CallReply()
HAND_OVER_TIMEOUT_S = 2.0
MAX_SUCCESSORS = 3
#: How long the outcome of an operation is withheld from its caller until the successor
#: has it, too.
LATE_OUTCOME_TIMEOUT_S = 0.2
#: How long a refusal is withheld from its caller until the other copy of the call that
#: is on its way has a reply, too.
COPY_TIMEOUT_S = 0.5
#: Refusals that apply to all copies of a call, whenever they arrive.
KEY_REFUSALS = frozenset(
    {peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED, peer_pb2.NOT_RUN_REASON_KEY_REUSED}
)


class KeyedCalls:
    """Runs keyed calls at the daemon that holds their key.

    The holder of a key is its home, which is the daemon incarnation that minted it, or
    the daemon that took over the keys of the home.

    :param account_fields: names of the header fields with the key and the name of an
        account, which are not sent to the holder if calls need account keys.
    :ivar memory: memory for the bodies of the calls that run here.
    """

    def __init__(
        self,
        members: Members,
        feed: SettingsFeed,
        runner: CallRunner,
        channels: PeerChannels,
        table: KeyTable,
        metrics: Metrics,
        account_fields: frozenset[str] = frozenset(),
    ) -> None:
        self._account_fields = account_fields
        self._members = members
        self._feed = feed
        self._runner = runner
        self._channels = channels
        self._table = table
        self._metrics = metrics
        self.memory = MemoryBudget()
        self._process_ends = ProcessEnds(members, channels)
        self._successor_address = ""
        self._has_handed_over = asyncio.Event()
        table.on_late_outcome = self._send_late_outcome

    async def run_at_holder(self, call: Call, key_text: str) -> peer_pb2.CallReply:
        """Run a caller's call at the daemon that holds its key.

        If no reply arrives, the call is sent again until its deadline; the holder runs
        it only once.

        :param call: the call; it is not run if its body is too large to be sent again.
        :param key_text: the operation key in its text form.
        :returns: the complete response or a failure; unknown if the home is gone. A
            holder that may be running the call is not given up for doubt about it.
        """
        try:
            key = parse_key(key_text)
        except KeyInvalid:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED)
        if not call.replayable:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEYED_BODY_TOO_LARGE)
        missing_home_deadline = Deadline.after_ms(
            min(MISSING_HOME_GRACE_MS, call.deadline.left_ms())
        )
        delivery = _Delivery()
        holder = self._find_holder(key)
        while not call.deadline.has_passed():
            if holder is not None:
                reply = await self._call_holder(holder, key, call, delivery.record_loss)
                if reply is not None and not reply.HasField("key_moved_to"):
                    return reply
                delivery.holder = holder
            elif missing_home_deadline.has_passed():
                return unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)
            await asyncio.sleep(delivery.pause_s)
            holder = self._members.key_holder(*key.home) or self._find_holder(key)
            delivery.update_pause(holder is not None)
            holder = holder or await self._find_running_holder(delivery)
        return unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE)

    async def run_or_relay(self, message: peer_pb2.KeyedCall) -> peer_pb2.CallReply:
        """Run a keyed call here, or relay it to the daemon in ``pass_to``.

        :returns: the complete response or a failure; an empty reply if the call was
            relayed and no reply arrived.
        """
        deadline = Deadline.after_ms(message.head.time_left_ms)
        if message.HasField("pass_to"):
            return await self._relay(message, deadline)
        try:
            key = parse_key(message.key)
        except KeyInvalid:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED)
        return await self._table.run(
            key, _fingerprint(message), deadline, lambda: self._run_operation(message)
        )

    async def hand_over(self, deadline: Deadline) -> bool:
        """Hand all keys over to one successor.

        Another successor is tried only if the previous one was not connected or
        refused: two daemons with the same keys could both run an operation.

        :param deadline: how long to wait for running operations.
        :returns: whether a successor confirmed the hand-over.
        """
        await self._table.wait_for_operations(deadline)
        for successor in self._successors():
            holder = peer_pb2.KeyHolder(
                daemon=successor.daemon, incarnation=successor.incarnation
            )
            message = peer_pb2.KeyHandOver(tables=self._table.export_tables(holder))
            stub = self._channels.operation_keys(successor.peer_address)
            try:
                with closed_as_unavailable():
                    await stub.HandOver(message, timeout=HAND_OVER_TIMEOUT_S)
            except grpc.aio.AioRpcError as error:
                self._metrics.count("key_hand_over_failures")
                if not (_is_connect_failure(error) or _is_refusal(error)):
                    return False
                self._table.cancel_export()
                continue
            self._successor_address = successor.peer_address
            self._has_handed_over.set()
            return True
        return False

    def accept_hand_over(self, message: peer_pb2.KeyHandOver) -> None:
        """Take over the keys of a draining daemon and announce them by gossip.

        A later message has only the outcomes of operations that were still running.

        :raises HandOverRefused: this daemon has handed over its own keys and ends.
        """
        if self._table.successor is not None:
            raise HandOverRefused(self._members.own.daemon)
        for table in message.tables:
            if not self._table.holds_keys_of(
                (table.home.daemon, table.home.incarnation)
            ):
                self._table.import_table(table)
        for table in message.late_outcomes:
            self._table.import_late_outcomes(table)
        if not message.tables:
            return
        self._members.set_key_homes(self._table.imported_homes())

    async def _send_late_outcome(self, table: peer_pb2.KeyTable) -> None:
        """Send an outcome to the successor that has the keys since the operation ran.

        A repeat there would otherwise get no outcome although the caller here does.
        """
        message = peer_pb2.KeyHandOver(late_outcomes=[table])
        try:
            async with asyncio.timeout(LATE_OUTCOME_TIMEOUT_S):
                await self._has_handed_over.wait()
                stub = self._channels.operation_keys(self._successor_address)
                with closed_as_unavailable():
                    await stub.HandOver(message)
        except (TimeoutError, grpc.aio.AioRpcError) as error:
            self._metrics.count("key_hand_over_failures")
            get_logger().warning(
                "outcome of a keyed operation not handed over",
                successor_address=self._successor_address,
                reason=repr(error),
            )

    def _find_holder(self, key: OperationKey) -> peer_pb2.Member | None:
        if self._table.holds_keys_of(key.home):
            return self._members.own
        home = self._members.get(key.daemon)
        if home is None or home.incarnation != key.incarnation:
            return None
        return home if is_present(home) else None

    async def _find_running_holder(
        self, delivery: "_Delivery"
    ) -> peer_pb2.Member | None:
        """Return the holder that may be running a call, unless its process has ended.

        It need not be present in the membership.
        """
        holder = delivery.holder
        if holder is None or not delivery.may_run:
            return None
        has_ended = await self._process_ends.has_ended(
            holder.daemon, holder.incarnation, holder.peer_address
        )
        return None if has_ended else holder

    def _successors(self) -> list[peer_pb2.Member]:
        peers = [peer for peer in self._members.peers() if not peer.draining]
        random.shuffle(peers)
        own_data_centre = self._members.own.data_centre
        peers.sort(key=lambda peer: peer.data_centre != own_data_centre)
        return peers[:MAX_SUCCESSORS]

    async def _call_holder(
        self,
        holder: peer_pb2.Member,
        key: OperationKey,
        call: Call,
        on_loss: Callable[[], None] = lambda: None,
    ) -> peer_pb2.CallReply | None:
        """Send a call to the holder of its key.

        If the holder does not reply in time, the call is also sent through a third
        daemon, in case the network path is broken in one direction. The holder runs
        the operation once, although it may receive both messages.

        :param on_loss: called when a message may have reached the holder, and its reply
            is lost.
        :returns: the first reply, or None if there was none.
        """
        message = peer_pb2.KeyedCall(
            key=str(key),
            head=self._call_head(call),
            body=call.body,
            attempt_limit=call.settings.attempt_limit,
            route=call.route,
            caller_service=call.caller_service,
            account=call.account,
        )
        if holder.daemon == self._members.own.daemon:
            return await self.run_or_relay(message)
        direct = asyncio.create_task(self._send(holder.peer_address, message, on_loss))
        tasks = {direct}
        try:
            relay_delay_s = call.deadline.left_s() * RELAY_DELAY_RATIO
            done, _ = await asyncio.wait(tasks, timeout=relay_delay_s)
            if not done or direct.result() is None:
                tasks |= self._start_relay(holder, message, on_loss)
            for finished in asyncio.as_completed(tasks):
                reply = await finished
                if reply is not None:
                    return await _confirm_refusal(reply, tasks)
        finally:
            for task in tasks:
                task.cancel()
        return None

    def _start_relay(
        self,
        holder: peer_pb2.Member,
        message: peer_pb2.KeyedCall,
        on_loss: Callable[[], None],
    ) -> set[asyncio.Task]:
        others = [
            peer for peer in self._members.peers() if peer.daemon != holder.daemon
        ]
        if not others:
            return set()
        relayed = peer_pb2.KeyedCall()
        relayed.CopyFrom(message)
        relayed.pass_to.daemon = holder.daemon
        relayed.pass_to.incarnation = holder.incarnation
        address = random.choice(others).peer_address
        self._metrics.count("keyed_calls_passed_on")
        return {asyncio.create_task(self._send(address, relayed, on_loss))}

    async def _relay(
        self, message: peer_pb2.KeyedCall, deadline: Deadline
    ) -> peer_pb2.CallReply:
        holder = self._members.get(message.pass_to.daemon)
        if holder is None or holder.incarnation != message.pass_to.incarnation:
            return NO_REPLY
        relayed = peer_pb2.KeyedCall()
        relayed.CopyFrom(message)
        relayed.ClearField("pass_to")
        relayed.head.time_left_ms = deadline.left_ms()
        reply = await self._send(holder.peer_address, relayed)
        return reply or NO_REPLY

    async def _send(
        self,
        address: str,
        message: peer_pb2.KeyedCall,
        on_loss: Callable[[], None] = lambda: None,
    ) -> peer_pb2.CallReply | None:
        timeout_s = message.head.time_left_ms / 1000
        stub = self._channels.operation_keys(address)
        try:
            with closed_as_unavailable():
                reply = await stub.Run(message, timeout=timeout_s)
        except grpc.aio.AioRpcError as error:
            if not _is_connect_failure(error):
                on_loss()
            return None
        if reply == NO_REPLY:
            on_loss()  # the relay does not say whether it has sent the message
            return None
        return reply

    async def _run_operation(self, message: peer_pb2.KeyedCall) -> peer_pb2.CallReply:
        head = message.head
        if head.service not in self._feed.tree.services():
            wanted_revision = self._feed.lag.wanted_revision
            await self._feed.wait_until_current(wanted_revision, head.time_left_ms)
            if not self._feed.is_current(wanted_revision):
                return not_run_reply(
                    peer_pb2.NOT_RUN_REASON_STALE_SETTINGS, BEHIND_RETRY_AFTER_MS
                )
            if head.service not in self._feed.tree.services():
                return not_run_reply(peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE)
        size_bytes = BODY_COPIES * len(message.body)
        size_bytes += guard_head_bytes(head.ByteSize(), len(head.headers))
        if not self.memory.reserve(Purpose.BODIES, size_bytes):
            return not_run_reply(
                peer_pb2.NOT_RUN_REASON_OUT_OF_MEMORY, MEMORY_RETRY_AFTER_MS
            )
        try:
            return await self._run_call(message)
        finally:
            self.memory.release(Purpose.BODIES, size_bytes)

    async def _run_call(self, message: peer_pb2.KeyedCall) -> peer_pb2.CallReply:
        head = message.head
        exchange = RecordedExchange(head)
        objective_ms = head.objective_left_ms
        call = Call(
            request=exchange,
            request_id=head.request_id,
            service=head.service,
            path_and_query=head.path_and_query,
            settings=self._settings(message),
            idempotent=head.idempotent,
            deadline=Deadline.after_ms(head.time_left_ms),
            body=message.body,
            route=message.route,
            priority=head.priority,
            objective=Deadline.after_ms(objective_ms) if objective_ms else None,
            caller_service=message.caller_service,
            account=message.account,
        )
        outcome, response = await self._runner.run(call)
        return exchange.to_reply(outcome, response)

    def _settings(self, message: peer_pb2.KeyedCall) -> EffectiveSettings:
        """Return the settings of a call, with the attempt limit from its entry."""
        settings = self._feed.tree.effective_settings(
            message.head.service, self._members.own.data_centre
        )
        if not message.attempt_limit:
            return settings
        return attrs.evolve(settings, attempt_limit=message.attempt_limit)

    def _call_head(self, call: Call) -> peer_pb2.CallHead:
        return peer_pb2.CallHead(
            request_id=call.request_id,
            service=call.service,
            method=call.request.method,
            path_and_query=call.path_and_query,
            headers=call.forwarded_headers(self._account_fields),
            time_left_ms=call.deadline.left_ms(),
            idempotent=call.idempotent,
            priority=call.priority,
            objective_left_ms=call.objective_left_ms(),
        )


@attrs.define(eq=False)
class _Delivery:
    """What is known of the holder that a call was sent to.

    :ivar holder: the holder that was asked last, or None.
    :ivar may_run: a holder may be running the call, because a reply was lost.
    :ivar pause_s: time until the call is sent again.
    """

    holder: peer_pb2.Member | None = None
    may_run: bool = False
    pause_s: float = RETRY_INTERVAL_S

    def record_loss(self) -> None:
        """Record that a message may have arrived whose reply is lost."""
        self.may_run = True

    def update_pause(self, is_present: bool) -> None:
        """Lengthen the pause as long as the holder that was asked is no member."""
        self.pause_s = (
            min(2 * self.pause_s, MAX_RETRY_INTERVAL_S)
            if self.may_run and not is_present
            else RETRY_INTERVAL_S
        )


async def _confirm_refusal(
    reply: peer_pb2.CallReply, copies: set[asyncio.Task]
) -> peer_pb2.CallReply:
    """Return a refusal only if no other copy of the call can still be run.

    The holder forgets operations that were not run, so it would run a copy that arrives
    later.

    :param reply: the first reply to one of the copies.
    :param copies: the sending of the copies.
    :returns: the reply, the result of another copy, or unknown.
    """
    if not reply.HasField("not_run") or reply.not_run.reason in KEY_REFUSALS:
        return reply
    others = [each for each in copies if not each.done()]
    if others:
        await asyncio.wait(others, timeout=COPY_TIMEOUT_S)
    for each in others:
        other = each.result() if each.done() else None
        if other is None:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
        if not other.HasField("not_run"):
            return other
    return reply


def _is_connect_failure(error: grpc.aio.AioRpcError) -> bool:
    connect_failed = "failed to connect" in (error.details() or "").lower()
    return error.code() == grpc.StatusCode.UNAVAILABLE and connect_failed


def _is_refusal(error: grpc.aio.AioRpcError) -> bool:
    return error.code() == grpc.StatusCode.FAILED_PRECONDITION


def _fingerprint(message: peer_pb2.KeyedCall) -> bytes:
    head = message.head
    digest = xxhash.xxh3_128()
    parts = [head.service, head.method, head.path_and_query]
    if message.account:
        # Services are named in lower case and methods in upper case, so these parts are
        # never those of a call without an account.
        parts.insert(0, message.account)
    for part in parts:
        digest.update(part.encode() + b"\n")
    digest.update(message.body)
    return digest.digest()
