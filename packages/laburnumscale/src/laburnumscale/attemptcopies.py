"""Attempt copies.

Reads the replies to the copies of one attempt. A copy is sent when the connection of
the former ones is in doubt; the guard runs the attempt once.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing, suppress

import grpc

from laburnumscale.deadlines import Deadline
from laburnumscale.failurereplies import is_last_reply
from laburnumscale.logs import get_logger
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptCopies", "ReplyReader", "ReplyStream"]

MAX_QUEUED_REPLIES = 2
#: Copies of one attempt that are open at a time: what they keep at the entry and at the
#: guard is bounded.
MAX_OPEN_COPIES = 8
#: Copies of one attempt that are sent without a pause. The pause before each further
#: one is twice the former one: what ends so many connections is likely to last.
PROMPT_COPIES = 8
FIRST_PAUSE_MS = 100
MAX_PAUSE_MS = 1_000
#: Refusals of a copy that its guard did not get, or that names another process of it.
NOT_ADMITTED_REASONS = frozenset(
    {peer_pb2.NOT_RUN_REASON_NOT_CONNECTED, peer_pb2.NOT_RUN_REASON_FENCED}
)

#: The guard runs the attempt, or has run it, for another copy, which may still deliver
#: the replies.
RUN_FOR_ANOTHER_REASONS = frozenset(
    {peer_pb2.UNKNOWN_REASON_FENCED, peer_pb2.UNKNOWN_REASON_ANSWER_NOT_KEPT}
)

ReplyStream = AsyncIterator[peer_pb2.CallReply]


class ReplyReader:
    """Reads the replies to one copy of an attempt in a background task.

    :param replies: sends the copy and yields the replies.
    :param on_reply: called when a reply, or the end of the stream, can be taken.
    :ivar has_ended: whether the last reply has arrived.
    """

    def __init__(
        self, replies: ReplyStream, on_reply: Callable[[], None] = lambda: None
    ) -> None:
        self.has_ended = False
        self._on_reply = on_reply
        self._queue: asyncio.Queue[peer_pb2.CallReply | None]
        self._queue = asyncio.Queue(MAX_QUEUED_REPLIES)
        self._task: asyncio.Task | None
        self._task = asyncio.create_task(self._read_replies(replies))

    def has_reply(self) -> bool:
        """Return whether a reply, or the end of the stream, can be taken."""
        return not self._queue.empty()

    def take_reply(self) -> peer_pb2.CallReply | None:
        """Return the next reply that has arrived; None at the end of the stream."""
        return self._queue.get_nowait()

    async def read_remaining(self) -> ReplyStream:
        """Yield the replies that were not taken yet."""
        while (reply := await self._queue.get()) is not None:
            yield reply

    def cancel(self) -> None:
        """Begin to end the stream of the replies."""
        if self._task is not None:
            self._task.cancel()

    async def close(self) -> None:
        """End the stream of the replies.

        A task that was cancelled refers by its traceback to the last reply, and to this
        object. Without the task they are freed now, not by a garbage collection.
        """
        task, self._task = self._task, None
        if task is not None:
            task.cancel()
            await asyncio.wait({task})

    async def _read_replies(self, replies: ReplyStream) -> None:
        try:
            async with aclosing(replies):
                async for reply in replies:
                    self.has_ended = is_last_reply(reply)
                    await self._put(reply)
        except grpc.RpcError:
            pass
        except Exception as error:
            get_logger().error("reading attempt replies failed", reason=repr(error))
        except asyncio.CancelledError:
            self._cut_short()
            raise
        await self._put(None)

    async def _put(self, reply: peer_pb2.CallReply | None) -> None:
        await self._queue.put(reply)
        self._on_reply()

    def _cut_short(self) -> None:
        """Replace the replies that were not read yet by the end of the stream.

        The timeout of an attempt at this daemon's own guard cancels the task while it
        waits for room in the queue.
        """
        while not self._queue.empty():
            self._queue.get_nowait()
        self._queue.put_nowait(None)
        self._on_reply()


class AttemptCopies:
    """The copies of one attempt, which were sent under the same ID.

    A copy replaces none of the others: the guard runs the first one that arrives, and
    each of them may deliver the replies. Their number is not bounded, because the loss
    of connections does not end an attempt that its guard may be running.

    :param send: sends a copy; gets the function to call when a reply can be taken.
    :param is_repeatable: whether the attempt can be sent more than once.
    :ivar readers: the readers of the copies that were not lost.
    :ivar sent_count: number of copies that the guard may have got.
    :ivar answered: the reader of the copy whose reply states the outcome, or None.
    :ivar is_over: the guard has said that no reply is to come.
    """

    def __init__(
        self,
        send: Callable[[Callable[[], None]], ReplyReader],
        is_repeatable: bool = False,
    ) -> None:
        self.readers: list[ReplyReader] = []
        self.sent_count = 0
        self.answered: ReplyReader | None = None
        self.is_over = False
        self._send = send
        self._is_repeatable = is_repeatable
        self._open: list[ReplyReader] = []
        self._news = asyncio.Event()
        self._is_repeat_due = False
        self._pause_end = Deadline.after_ms(0)
        self._has_run_ended = False
        self.send()

    @property
    def is_lost(self) -> bool:
        """Return whether no copy can deliver a reply any more."""
        return not self._open

    @property
    def has_ended(self) -> bool:
        """Return whether the guard has given its last reply, or none is to come."""
        return self.is_over or (self.answered is not None and self.answered.has_ended)

    @property
    def can_repeat(self) -> bool:
        """Return whether another copy can be sent, now or after a pause."""
        is_unsettled = self.answered is None and not self._has_run_ended
        return self._is_repeatable and not self.is_over and is_unsettled

    def send(self) -> None:
        """Send a copy."""
        reader = self._send(self._news.set)
        self.readers.append(reader)
        self._open.append(reader)
        self.sent_count += 1
        if self.sent_count >= PROMPT_COPIES:
            pause_ms = FIRST_PAUSE_MS * 2 ** (self.sent_count - PROMPT_COPIES)
            self._pause_end = Deadline.after_ms(min(pause_ms, MAX_PAUSE_MS))

    def repeat(self) -> None:
        """Send another copy if the attempt can be repeated."""
        self._is_repeat_due = True
        self._news.set()

    async def read_first(self, deadline: Deadline) -> peer_pb2.CallReply | None:
        """Return the first reply that states the outcome of all copies.

        :returns: None if there is none by the deadline, or if all copies are lost.
        """
        while True:
            self._news.clear()
            reply = self._take_reply()
            self._send_due_copy()
            is_undecided = reply is None and not (self.is_over or self.is_lost)
            if not is_undecided or deadline.has_passed():
                return reply
            with suppress(TimeoutError):
                async with asyncio.timeout(self._wait_s(deadline)):
                    await self._news.wait()

    async def read_remaining(self) -> ReplyStream:
        """Yield the replies after the first one."""
        if self.answered is not None:
            async for reply in self.answered.read_remaining():
                yield reply

    async def close(self) -> None:
        """End the streams of all copies."""
        for reader in self.readers:
            reader.cancel()
        for reader in self.readers:
            await reader.close()

    def _send_due_copy(self) -> None:
        if not (self._is_repeat_due and self._pause_end.has_passed()):
            return
        self._is_repeat_due = False
        if self.can_repeat:
            self._close_one_if_full()
            self.send()

    def _close_one_if_full(self) -> None:
        """Close the oldest copy but the first, with which an older guard ends a run."""
        if len(self._open) >= MAX_OPEN_COPIES:
            self._remove(self._open[1])

    def _remove(self, reader: ReplyReader) -> None:
        reader.cancel()
        self._open.remove(reader)
        self.readers.remove(reader)

    def _wait_s(self, deadline: Deadline) -> float:
        """Return how long to wait for a reply, or for the end of the pause."""
        if not self._is_repeat_due:
            return deadline.left_s()
        return min(deadline.left_s(), self._pause_end.left_s())

    def _take_reply(self) -> peer_pb2.CallReply | None:
        for reader in tuple(self._open):
            if not reader.has_reply():
                continue
            reply = reader.take_reply()
            if reply is not None and self._states_outcome(reply):
                self._choose(reader)
                return reply
            self._remove(reader)
            self._record_loss(reply)
        return None

    def _choose(self, reader: ReplyReader) -> None:
        """Read only one copy from now on, and end the streams of the others."""
        self.answered = reader
        for other in self.readers:
            if other is not reader:
                other.cancel()

    def _states_outcome(self, reply: peer_pb2.CallReply) -> bool:
        """Return whether the reply to a copy is the outcome of all of them.

        It is if there are no others, or if the guard has admitted this one.
        """
        if self.sent_count == 1:
            return True
        if reply.HasField("not_run"):
            return reply.not_run.reason not in NOT_ADMITTED_REASONS
        return reply.unknown.reason not in RUN_FOR_ANOTHER_REASONS

    def _record_loss(self, reply: peer_pb2.CallReply | None) -> None:
        """Record that a copy will not deliver the outcome.

        :param reply: the refusal of the copy; None if its connection was lost.
        """
        if reply is None:
            self._is_repeat_due = True
        elif reply.not_run.reason == peer_pb2.NOT_RUN_REASON_NOT_CONNECTED:
            self.sent_count -= 1
            self._pause_end = Deadline.after_ms(0)
        elif reply.not_run.reason == peer_pb2.NOT_RUN_REASON_FENCED:
            self.is_over = True
        elif reply.unknown.reason == peer_pb2.UNKNOWN_REASON_ANSWER_NOT_KEPT:
            self._has_run_ended = True
        if self._has_run_ended and self.is_lost:
            self.is_over = True
