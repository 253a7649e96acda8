"""Attempt runs.

Runs attempts of other daemons apart from the streams that carry their replies. It
answers the load of connections that are lost, replaced or late while targets work.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, suppress

from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import is_last_reply
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import is_present
from laburnumscale.members import Members
from laburnumscale.memory import OBJECT_BYTES
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptRun", "AttemptRuns"]

#: Replies of a run that are kept, so that a stream that attaches later gets them, too.
MAX_KEPT_BYTES = 256 * 1024
#: Replies that are kept for a stream that falls behind the others. A connection that
#: delivers nothing any more takes as much as its flow control allows: 256 KiB.
MAX_LAG_BYTES = 512 * 1024
#: How often runs are checked for an entry that has left the membership.
ORPHAN_CHECK_INTERVAL_S = 0.5
#: Time without a stream after which the run of an absent entry is ended. The entry may
#: just be opening another connection.
ORPHAN_GRACE_MS = 1_000

ReplyStream = AsyncIterator[peer_pb2.CallReply]


class AttemptRun:
    """The run of one attempt, to which the streams that deliver its replies attach.

    The run waits until one stream has taken each reply. The others may belong to
    connections that deliver nothing any more; they end if they fall far behind.

    :param attempt_id: ID of the attempt, which names its entry.
    :param replies: runs the attempt and yields its replies.
    :ivar kept_bytes: size of the replies that are kept.
    :ivar is_taken: whether the latest stream has taken the last reply; the former ones
        may belong to connections that deliver nothing any more.
    :ivar orphan_deadline: time until which the run goes on although no stream is
        attached and its entry is absent; None while a stream is attached.
    """

    def __init__(self, attempt_id: peer_pb2.AttemptId, replies: ReplyStream) -> None:
        self.attempt_id = attempt_id
        self.is_taken = False
        self.orphan_deadline: Deadline | None = None
        self._kept: deque[peer_pb2.CallReply] = deque()
        self.kept_bytes = 0
        self._dropped = 0
        self._is_complete = False
        self._has_ended = False
        self._positions: dict[int, int] = {}
        self._stream_count = 0
        self._waiters: list[asyncio.Future] = []
        self._task: asyncio.Task | None
        self._task = asyncio.create_task(self._collect(replies))
        # A task that is cancelled before its first step runs none of its code.
        self._task.add_done_callback(self._handle_end)

    @property
    def can_attach(self) -> bool:
        """Return whether a stream would get all replies of the run."""
        return self._dropped == 0

    def on_end(self, listener: Callable[["AttemptRun"], None]) -> None:
        """Register a function that is called when the run has ended."""
        if self._task is None:
            asyncio.get_running_loop().call_soon(listener, self)
        else:
            self._task.add_done_callback(lambda _: listener(self))

    def cancel(self) -> None:
        """End the run and its streams."""
        if self._task is not None:
            self._task.cancel()

    async def stream(self) -> ReplyStream:
        """Yield the replies of the run from the first one on."""
        self._stream_count += 1
        number = self._stream_count
        self._positions[number] = 0
        self.orphan_deadline = None
        try:
            while (position := self._positions[number]) >= self._dropped:
                if position < self._dropped + len(self._kept):
                    reply = self._kept[position - self._dropped]
                    yield reply
                    self._positions[number] = position + 1
                    if is_last_reply(reply):
                        self.is_taken |= number == self._stream_count
                        return
                    self._notify()
                elif self._has_ended:
                    return
                else:
                    await self._wait_for_change()
        finally:
            del self._positions[number]
            self._notify()
            if not self._positions:
                self._handle_detached()

    def _handle_detached(self) -> None:
        """Wait for another stream, unless it would miss the first replies."""
        self.orphan_deadline = Deadline.after_ms(ORPHAN_GRACE_MS)
        if not (self.can_attach or self._is_complete):
            self.cancel()

    async def _collect(self, replies: ReplyStream) -> None:
        try:
            async with aclosing(replies):
                async for reply in replies:
                    self._keep(reply)
                    await self._wait_until_taken()
        except Exception as error:
            get_logger().error("running an attempt failed", reason=repr(error))

    def _handle_end(self, _: asyncio.Task) -> None:
        # A task that was cancelled refers to this object by its traceback. Without the
        # task, the replies are freed with the last reference to the run.
        self._task = None
        self._has_ended = True
        self._notify()

    def _keep(self, reply: peer_pb2.CallReply) -> None:
        self._kept.append(reply)
        self.kept_bytes += reply.ByteSize() + OBJECT_BYTES
        self._is_complete = is_last_reply(reply)
        self._notify()

    async def _wait_until_taken(self) -> None:
        """Wait until one of the streams has taken all replies.

        The last reply need not be taken if no stream is attached.
        """
        while self._furthest_position() < self._dropped + len(self._kept):
            if self._is_complete and not self._positions:
                return
            await self._wait_for_change()
        self._drop_taken()

    def _furthest_position(self) -> int:
        return max(self._positions.values(), default=self._dropped)

    def _drop_taken(self) -> None:
        last_position = min(self._positions.values(), default=self._dropped)
        while self.kept_bytes > MAX_LAG_BYTES or (
            self.kept_bytes > MAX_KEPT_BYTES and self._dropped < last_position
        ):
            self.kept_bytes -= self._kept.popleft().ByteSize() + OBJECT_BYTES
            self._dropped += 1

    async def _wait_for_change(self) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        await waiter

    def _notify(self) -> None:
        waiters, self._waiters = self._waiters, []
        for waiter in waiters:
            if not waiter.done():
                waiter.set_result(None)


class AttemptRuns:
    """The runs in progress of the attempts of other daemons."""

    def __init__(self) -> None:
        self._runs: set[AttemptRun] = set()
        self._has_ended = asyncio.Event()

    def start(self, attempt_id: peer_pb2.AttemptId, replies: ReplyStream) -> AttemptRun:
        """Start the run of an attempt."""
        run = AttemptRun(attempt_id, replies)
        self._runs.add(run)
        run.on_end(self._remove)
        return run

    def _remove(self, run: AttemptRun) -> None:
        self._runs.discard(run)
        if not self._runs:
            self._has_ended.set()

    async def wait_until_ended(self, deadline: Deadline) -> None:
        """Wait until no run is in progress, or until the deadline."""
        if not self._runs:
            return
        self._has_ended.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(deadline.left_s()):
                await self._has_ended.wait()

    async def watch_orphans(self, members: Members) -> None:
        """End the runs whose entries are gone, until cancelled."""
        while True:
            await asyncio.sleep(ORPHAN_CHECK_INTERVAL_S)
            for run in [each for each in self._runs if _is_orphan(each, members)]:
                get_logger().info(
                    "run ended as its entry is gone",
                    entry=run.attempt_id.entry,
                    sequence=run.attempt_id.sequence,
                )
                run.cancel()


def _is_orphan(run: AttemptRun, members: Members) -> bool:
    deadline = run.orphan_deadline
    if deadline is None or not deadline.has_passed():
        return False
    entry, incarnation = (
        members.get(run.attempt_id.entry),
        run.attempt_id.entry_incarnation,
    )
    if entry is None or entry.incarnation > incarnation:
        return True
    # The members may not know a new process yet.
    return entry.incarnation == incarnation and not is_present(entry)
