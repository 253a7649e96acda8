"""Key table.

Keeps what became of the operations whose keys this daemon holds.
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
    KeyMint,
    OperationKey,
    parse_key,
)
from laburnumscale_schema import peer_pb2

__all__ = ["KeyTable"]

SWEEP_INTERVAL_S = 5.0
RECORD_LIMIT = 50_000
KEPT_LIMIT_BYTES = 8 * 1024 * 1024
FULL_RETRY_AFTER_MS = 1000

Start = Callable[[], Awaitable[peer_pb2.CallReply]]


@attrs.define(eq=False)
class _Record:
    key: OperationKey
    fingerprint: bytes
    running: asyncio.Task | None = None
    reply: peer_pb2.CallReply | None = None

    def size_bytes(self) -> int:
        return self.reply.ByteSize() if self.reply is not None else 0


class _Home:
    """The keys of one incarnation and the operations that used them."""

    def __init__(self, mint: KeyMint) -> None:
        self.mint = mint
        self.records: dict[OperationKey, _Record] = {}


class KeyTable:
    """The operation keys that this daemon minted or took over.

    :param life_ms: how long a key can be used after it was minted.
    """

    def __init__(
        self, daemon: str, incarnation: int, life_ms: int, metrics: Metrics
    ) -> None:
        self._life_ms = life_ms
        self._metrics = metrics
        self._own = _Home(KeyMint(daemon, incarnation, life_ms))
        self._homes = {(daemon, incarnation): self._own}
        self._kept_bytes = 0
        self.moved_to: peer_pb2.KeyHolder | None = None

    def mint(self, count: int) -> list[OperationKey]:
        """Return new keys of this daemon."""
        self._metrics.count("operation_keys_minted", amount=count)
        return [self._own.mint.mint() for _ in range(count)]

    def holds(self, home: tuple[str, int]) -> bool:
        """Tell whether the keys of an incarnation are kept here."""
        return home in self._homes and self.moved_to is None

    async def run(
        self, key: OperationKey, fingerprint: bytes, deadline: Deadline, start: Start
    ) -> peer_pb2.CallReply:
        """Run an operation once for its key, or return what became of it.

        A request that meets its own operation still running waits for the answer.

        :param fingerprint: differs for requests that are not the same.
        :param deadline: end of the caller's patience.
        :param start: makes the call; it goes on if the caller leaves.
        """
        if self.moved_to is not None:
            return peer_pb2.CallReply(key_moved_to=self.moved_to)
        home = self._homes.get(key.home)
        if home is None:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)
        refusal = self._refusal(home, key, fingerprint)
        if refusal is not None:
            return refusal
        record = home.records.get(key)
        if record is None:
            record = _Record(key, fingerprint)
            home.records[key] = record
            record.running = asyncio.create_task(self._operate(home, record, start))
        else:
            self._metrics.count("operation_keys_repeated")
        if record.reply is not None:
            return record.reply
        return await self._join(record, deadline)

    async def settle(self, deadline: Deadline) -> None:
        """Wait until no operation is running, or until the deadline."""
        running = [
            record.running
            for home in self._homes.values()
            for record in home.records.values()
            if record.running is not None
        ]
        if running:
            await asyncio.wait(running, timeout=deadline.left_s())

    def export(self, moved_to: peer_pb2.KeyHolder) -> list[peer_pb2.KeyTable]:
        """Stop to run operations and return the tables for the successor.

        An operation that is still running is handed over as unknown.
        """
        self.moved_to = moved_to
        return [self._table(home) for home in self._homes.values()]

    def resume(self) -> None:
        """Keep the tables after all, because the successor did not take them."""
        self.moved_to = None

    def adopt(self, table: peer_pb2.KeyTable) -> None:
        """Take over the keys of a daemon that leaves."""
        holder = (table.home.daemon, table.home.incarnation)
        mint = KeyMint(*holder, self._life_ms, table.secret, table.clock_ms)
        home = _Home(mint)
        for message in table.records:
            key = parse_key(message.key)
            record = _Record(key, message.fingerprint, reply=message.reply)
            home.records[key] = record
            self._kept_bytes += record.size_bytes()
        self._homes[holder] = home
        self._metrics.count("operation_keys_adopted", amount=len(table.records))

    def adopted_homes(self) -> list[peer_pb2.KeyHolder]:
        """Return the incarnations whose keys were taken over."""
        return [
            home.mint.holder for home in self._homes.values() if home is not self._own
        ]

    async def forget_expired(self) -> None:
        """Forget operations whose keys have expired, until cancelled."""
        while True:
            await asyncio.sleep(SWEEP_INTERVAL_S)
            for home in self._homes.values():
                self._sweep(home)

    def _sweep(self, home: _Home) -> None:
        for record in list(home.records.values()):
            if record.running is None and home.mint.is_expired(record.key):
                del home.records[record.key]
                self._kept_bytes -= record.size_bytes()

    def _refusal(
        self, home: _Home, key: OperationKey, fingerprint: bytes
    ) -> peer_pb2.CallReply | None:
        try:
            home.mint.check(key)
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
        return count >= RECORD_LIMIT or self._kept_bytes >= KEPT_LIMIT_BYTES

    async def _operate(
        self, home: _Home, record: _Record, start: Start
    ) -> peer_pb2.CallReply:
        reply = unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST)
        try:
            reply = await start()
        finally:
            record.running = None
            if reply.HasField("not_run"):
                del home.records[record.key]
            else:
                record.reply = reply
                self._kept_bytes += record.size_bytes()
        return reply

    @staticmethod
    async def _join(record: _Record, deadline: Deadline) -> peer_pb2.CallReply:
        try:
            async with asyncio.timeout(deadline.left_s()):
                return await asyncio.shield(record.running)
        except TimeoutError:
            return unknown_reply(peer_pb2.UNKNOWN_REASON_IN_PROGRESS)

    @staticmethod
    def _table(home: _Home) -> peer_pb2.KeyTable:
        lost = unknown_reply(peer_pb2.UNKNOWN_REASON_HOME_GONE)
        return peer_pb2.KeyTable(
            home=home.mint.holder,
            secret=home.mint.secret,
            clock_ms=home.mint.clock_ms(),
            records=[
                peer_pb2.KeyRecord(
                    key=str(record.key),
                    fingerprint=record.fingerprint,
                    reply=record.reply or lost,
                )
                for record in home.records.values()
            ],
        )
