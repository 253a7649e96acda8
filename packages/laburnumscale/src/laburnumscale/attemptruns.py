"""Attempt runs.

Runs attempts of other daemons apart from the streams that carry their replies. It
answers the load of connections that are lost, replaced or late while targets work.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing

from laburnumscale.deadlines import Deadline
from laburnumscale.logs import get_logger
from laburnumscale.memberentries import is_present
from laburnumscale.members import Members
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptRun", "AttemptRuns"]

#: Replies of a run that are kept, so that a stream that attaches later gets them, too.
MAX_KEPT_BYTES = 256 * 1024
#: How often runs are checked for an entry that has left the membership.
ORPHAN_CHECK_INTERVAL_S = 0.5
#: Time without a stream after which the run of an absent entry is ended. The entry may
#: just be opening another connection.
ORPHAN_GRACE_MS = 1_000

ReplyStream = AsyncIterator[peer_pb2.CallReply]


class AttemptRun:
    """The run of one attempt, to which the streams that deliver its replies attach.

    The run waits until the newest stream has taken each reply. An older stream may
    belong to a connection that delivers nothing any more; it ends if it falls behind.

    :param attempt_id: ID of the attempt, which names its entry.
    :param replies: runs the attempt and yields its replies.
    :ivar kept_bytes: size of the replies that are kept.
    :ivar orphan_deadline: time until which the run goes on although no stream is
        attached and its entry is absent; None while a stream is attached.
    """

    def __init__(self, attempt_id: peer_pb2.AttemptId, replies: ReplyStream) -> None:
        self.attempt_id = attempt_id
        self.orphan_deadline: Deadline | None = None
        self._kept: deque[peer_pb2.CallReply] = deque()
        self.kept_bytes = 0
        self._dropped = 0
        self._has_ended = False
        self._positions: dict[int, int] = {}
        self._stream_count = 0
        self._changed = asyncio.Event()
        self._task = asyncio.create_task(self._collect(replies))

    @property
    def can_attach(self) -> bool:
        """Return whether a stream would get all replies of the run."""
        return self._dropped == 0

    def on_end(self, listener: Callable[["AttemptRun"], None]) -> None:
        """Register a function that is called when the run has ended."""
        self._task.add_done_callback(lambda _: listener(self))

    def cancel(self) -> None:
        """End the run and its streams."""
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
                    yield self._kept[position - self._dropped]
                    self._positions[number] = position + 1
                    self._notify()
                elif self._has_ended:
                    return
                else:
                    await self._changed.wait()
        finally:
            del self._positions[number]
            self._notify()
            if not self._positions:
                self._handle_detached()

    def _handle_detached(self) -> None:
        """Wait for another stream, unless it would miss the first replies."""
        self.orphan_deadline = Deadline.after_ms(ORPHAN_GRACE_MS)
        if not self.can_attach:
            self.cancel()

    async def _collect(self, replies: ReplyStream) -> None:
        try:
            async with aclosing(replies):
                async for reply in replies:
                    self._keep(reply)
                    await self._wait_until_taken(_is_last(reply))
        except Exception as error:
            get_logger().error("running an attempt failed", reason=repr(error))
        finally:
            self._has_ended = True
            self._notify()

    def _keep(self, reply: peer_pb2.CallReply) -> None:
        self._kept.append(reply)
        self.kept_bytes += reply.ByteSize()
        self._notify()

    async def _wait_until_taken(self, is_last: bool) -> None:
        """Wait until the newest stream has taken all replies.

        The last reply need not be taken if no stream is attached.
        """
        while self._newest_position() < self._dropped + len(self._kept):
            if is_last and not self._positions:
                return
            await self._changed.wait()
        self._drop_taken()

    def _newest_position(self) -> int:
        if not self._positions:
            return self._dropped
        return self._positions[max(self._positions)]

    def _drop_taken(self) -> None:
        while self.kept_bytes > MAX_KEPT_BYTES:
            self.kept_bytes -= self._kept.popleft().ByteSize()
            self._dropped += 1

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()


class AttemptRuns:
    """The runs in progress of the attempts of other daemons."""

    def __init__(self) -> None:
        self._runs: set[AttemptRun] = set()

    def start(self, attempt_id: peer_pb2.AttemptId, replies: ReplyStream) -> AttemptRun:
        """Start the run of an attempt."""
        run = AttemptRun(attempt_id, replies)
        self._runs.add(run)
        run.on_end(self._runs.discard)
        return run

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
    entry = members.get(run.attempt_id.entry)
    return (
        entry is None
        or entry.incarnation != run.attempt_id.entry_incarnation
        or not is_present(entry)
    )


def _is_last(reply: peer_pb2.CallReply) -> bool:
    return reply.end or reply.HasField("not_run") or reply.HasField("unknown")
