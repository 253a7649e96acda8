"""Key table.

Stores the results of the operations whose keys this daemon holds.
"""

import asyncio
from collections.abc import Awaitable, Callable

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import not_run_reply, unknown_reply
from laburnumscale.metrics import Metrics
from laburnumscale.operationkeys import (
    KeyExpired,
    KeyInvalid,
    KeySigner,
    OperationKey,
    parse_key,
)
from laburnumscale_schema import peer_pb2

__all__ = ["MAX_STORED_BYTES", "KeyTable"]

SWEEP_INTERVAL_S = 5.0
MAX_RECORDS = 50_000
MAX_STORED_BYTES = 8 * 1024 * 1024
FULL_RETRY_AFTER_MS = 1000

StartCall = Callable[[], Awaitable[peer_pb2.CallReply]]
#: Outcome of an operation that was running when its key was handed over.
HANDED_OVER = unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)


@attrs.define(eq=False)
class _OperationRecord:
    """The state of an operation.

    :ivar task: the running call, or None after its end.
    :ivar reply: the result, or None while the call is running.
    """

    key: OperationKey
    fingerprint: bytes
    task: asyncio.Task | None = None
    reply: peer_pb2.CallReply | None = None

    def size_bytes(self) -> int:
        return self.reply.ByteSize() if self.reply is not None else 0


class _Home:
    """A daemon incarnation that minted keys, and the operations with its keys."""

    def __init__(self, signer: KeySigner) -> None:
        self.signer = signer
        self.records: dict[OperationKey, _OperationRecord] = {}


class KeyTable:
    """The operation keys that this daemon minted or took over.

    The home of a key is the daemon incarnation that minted it. Only one daemon at a
    time holds the keys of a home, so that an operation runs at most once.

    :param daemon: name of this daemon.
    :param incarnation: incarnation of this daemon.
    :param life_ms: lifetime of a key in milliseconds.
    :ivar successor: the daemon that the keys were handed over to, or None.
    :ivar on_late_outcome: called with the outcome of an operation that has ended after
        its key was handed over, before its caller gets the outcome.
    """

    def __init__(
        self, daemon: str, incarnation: int, life_ms: int, metrics: Metrics
    ) -> None:
        self._life_ms = life_ms
        self._metrics = metrics
        self._own_home = _Home(KeySigner(daemon, incarnation, life_ms))
        self._homes = {(daemon, incarnation): self._own_home}
        self._stored_bytes = 0
        self.successor: peer_pb2.KeyHolder | None = None
        self.on_late_outcome: Callable[[peer_pb2.KeyTable], Awaitable[None]]
        self.on_late_outcome = _ignore_outcome

    def mint(self, count: int) -> list[OperationKey]:
        """Mint new keys with this daemon as their home."""
        self._metrics.count("operation_keys_minted", amount=count)
        return [self._own_home.signer.mint() for _ in range(count)]

    def holds_keys_of(self, home: tuple[str, int]) -> bool:
        """Return whether this daemon holds the keys of a home."""
        return home in self._homes and self.successor is None

    async def run(
        self,
        key: OperationKey,
        fingerprint: bytes,
        deadline: Deadline,
        start_call: StartCall,
    ) -> peer_pb2.CallReply:
        """Run the operation of a key, or return the result of an earlier run.

        A retry that arrives while the operation is running waits for its result.

        :param fingerprint: digest of the request; a key that was used for a request
            with another fingerprint is rejected.
        :param deadline: deadline of the caller.
        :param start_call: runs the call, which continues if the caller disconnects.
        """
        if self.successor is not None:
            return peer_pb2.CallReply(key_moved_to=self.successor)
        home = self._homes.get(key.home)
        if home is None:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)
        rejection = self._rejection(home, key, fingerprint)
        if rejection is not None:
            return rejection
        record = home.records.get(key)
        if record is None:
            record = _OperationRecord(key, fingerprint)
            home.records[key] = record
            record.task = asyncio.create_task(
                self._run_operation(home, record, start_call)
            )
        else:
            self._metrics.count("operation_keys_repeated")
        if record.reply is not None:
            return record.reply
        return await self._wait_for_reply(record, deadline)

    async def wait_for_operations(self, deadline: Deadline) -> None:
        """Wait until no operation is running, or until the deadline.

        Operations that begin meanwhile are waited for, too.
        """
        while (tasks := self._running_tasks()) and not deadline.has_passed():
            await asyncio.wait(tasks, timeout=deadline.left_s())

    def _running_tasks(self) -> list[asyncio.Task]:
        return [
            record.task
            for home in self._homes.values()
            for record in home.records.values()
            if record.task is not None
        ]

    def export_tables(self, successor: peer_pb2.KeyHolder) -> list[peer_pb2.KeyTable]:
        """Stop accepting operations and return the tables for the successor.

        The result of an operation that is still running is exported as unknown.
        """
        self.successor = successor
        return [self._export_home(home) for home in self._homes.values()]

    def cancel_export(self) -> None:
        """Hold the keys again, after a hand-over that did not reach the successor."""
        self.successor = None

    def import_table(self, table: peer_pb2.KeyTable) -> None:
        """Take over the keys of a draining daemon."""
        home_id = (table.home.daemon, table.home.incarnation)
        signer = KeySigner(*home_id, self._life_ms, table.secret, table.clock_ms)
        home = _Home(signer)
        for message in table.records:
            key = parse_key(message.key)
            record = _OperationRecord(key, message.fingerprint, reply=message.reply)
            home.records[key] = record
            self._stored_bytes += record.size_bytes()
        self._homes[home_id] = home
        self._metrics.count("operation_keys_adopted", amount=len(table.records))

    def import_late_outcomes(self, table: peer_pb2.KeyTable) -> None:
        """Store outcomes of operations that were running when their keys came here.

        An operation that was not run may be run here. Nothing is stored if this daemon
        does not hold the keys of the home.
        """
        home_id = (table.home.daemon, table.home.incarnation)
        if not self.holds_keys_of(home_id):
            return
        home = self._homes[home_id]
        for message in table.records:
            record = home.records.get(parse_key(message.key))
            if record is None or record.reply != HANDED_OVER:
                continue
            self._stored_bytes -= record.size_bytes()
            if message.reply.HasField("not_run"):
                del home.records[record.key]
            else:
                record.reply = message.reply
                self._stored_bytes += record.size_bytes()

    def imported_homes(self) -> list[peer_pb2.KeyHolder]:
        """Return the homes whose keys were taken over from other daemons."""
        return [
            home.signer.home_message
            for home in self._homes.values()
            if home is not self._own_home
        ]

    async def delete_expired_records(self) -> None:
        """Delete records of expired keys periodically, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for home in self._homes.values():
                self._delete_expired(home)

    def _delete_expired(self, home: _Home) -> None:
        for record in list(home.records.values()):
            if record.task is None and home.signer.is_expired(record.key):
                del home.records[record.key]
                self._stored_bytes -= record.size_bytes()

    def _rejection(
        self, home: _Home, key: OperationKey, fingerprint: bytes
    ) -> peer_pb2.CallReply | None:
        try:
            home.signer.verify(key)
        except KeyInvalid:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED)
        except KeyExpired:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_KEY_EXPIRED)
        record = home.records.get(key)
        if record is not None and record.fingerprint != fingerprint:
            return not_run_reply(peer_pb2.NOT_RUN_REASON_KEY_REUSED)
        if record is None and self._is_full():
            return not_run_reply(
                peer_pb2.NOT_RUN_REASON_OVERLOADED, FULL_RETRY_AFTER_MS
            )
        return None

    def _is_full(self) -> bool:
        count = sum(len(home.records) for home in self._homes.values())
        return count >= MAX_RECORDS or self._stored_bytes >= MAX_STORED_BYTES

    async def _run_operation(
        self, home: _Home, record: _OperationRecord, start_call: StartCall
    ) -> peer_pb2.CallReply:
        reply = unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
        try:
            reply = await start_call()
        finally:
            record.task = None
            if reply.HasField("not_run"):
                del home.records[record.key]
            else:
                record.reply = reply
                self._stored_bytes += record.size_bytes()
        if self.successor is not None:
            await self.on_late_outcome(_late_outcome(home, record, reply))
        return reply

    @staticmethod
    async def _wait_for_reply(
        record: _OperationRecord, deadline: Deadline
    ) -> peer_pb2.CallReply:
        try:
            async with asyncio.timeout(deadline.left_s()):
                return await asyncio.shield(record.task)
        except TimeoutError:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_IN_PROGRESS)

    @staticmethod
    def _export_home(home: _Home) -> peer_pb2.KeyTable:
        return peer_pb2.KeyTable(
            home=home.signer.home_message,
            secret=home.signer.secret,
            clock_ms=home.signer.clock_ms(),
            records=[
                _export_record(record, record.reply or HANDED_OVER)
                for record in home.records.values()
            ],
        )


def _export_record(
    record: _OperationRecord, reply: peer_pb2.CallReply
) -> peer_pb2.KeyRecord:
    return peer_pb2.KeyRecord(
        key=str(record.key), fingerprint=record.fingerprint, reply=reply
    )


def _late_outcome(
    home: _Home, record: _OperationRecord, reply: peer_pb2.CallReply
) -> peer_pb2.KeyTable:
    return peer_pb2.KeyTable(
        home=home.signer.home_message, records=[_export_record(record, reply)]
    )


async def _ignore_outcome(table: peer_pb2.KeyTable) -> None:
    """Do nothing with a late outcome."""
