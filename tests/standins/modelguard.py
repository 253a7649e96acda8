"""A guard with a simulated target, and messages for it, without a network."""

import asyncio

from laburnumscale.attemptruns import AttemptRuns
from laburnumscale.attempttable import AttemptTable
from laburnumscale.deadlines import Deadline
from laburnumscale.guard import Guard
from laburnumscale.inflight import InFlightCounter
from laburnumscale.metrics import Metrics
from laburnumscale.untakenanswers import UntakenAnswers
from laburnumscale_schema import peer_pb2

__all__ = [
    "ENTRY_INCARNATION",
    "GUARD_INCARNATION",
    "SEQUENCE",
    "ModelGuard",
    "answer_message",
    "attempt_head",
    "download",
]

GUARD_INCARNATION = 3
ENTRY_INCARNATION = 5
SEQUENCE = 7
STATUS_OK = 200
SEND_LIMIT_MS = 2_000
PART_BYTES = 64 * 1024


def attempt_head(
    sequence: int = SEQUENCE,
    entry_incarnation: int = ENTRY_INCARNATION,
    low_water: int = 0,
) -> peer_pb2.CallHead:
    """Return the head of an attempt whose run outlasts its stream."""
    attempt_id = peer_pb2.AttemptId(
        entry="d1",
        entry_incarnation=entry_incarnation,
        guard_incarnation=GUARD_INCARNATION,
        sequence=sequence,
    )
    return peer_pb2.CallHead(
        attempt=attempt_id, low_water_sequence=low_water, outlives_stream=True
    )


def answer_message(
    status: int = STATUS_OK, end: bool = False, body: bytes = b"part"
) -> peer_pb2.CallReply:
    """Return the first message of an answer."""
    reply = peer_pb2.CallReply(end=end, body=body)
    reply.head.status = status
    return reply


def download(count: int) -> list[peer_pb2.CallReply]:
    """Return the messages of an answer with parts of 64 KiB."""
    messages = [answer_message(body=bytes(PART_BYTES)) for _ in range(count)]
    for message in messages[1:]:
        message.ClearField("head")
    messages[-1].end = True
    return messages


class ModelGuard(Guard):
    """A guard whose target gives the same replies to each attempt.

    :param replies: the replies of the target.
    :param work_s: time in seconds that the target takes before the first one.
    :ivar runs_started: how often the target began to run an attempt.
    :ivar started: set when it has.
    :ivar cut: set when a run has ended before its last reply.
    """

    def __init__(
        self, replies: tuple[peer_pb2.CallReply, ...] = (), work_s: float = 0
    ) -> None:
        self.attempts = AttemptTable(GUARD_INCARNATION)
        self.runs = AttemptRuns()
        self.untaken_answers = UntakenAnswers()
        self.in_flight = InFlightCounter()
        self._metrics = Metrics()
        self.replies = replies
        self.work_s = work_s
        self.runs_started = 0
        self.started = asyncio.Event()
        self.cut = asyncio.Event()

    async def _run_admitted_attempt(self, attempt, head, body):
        replies = self.replies
        if any(reply.HasField("not_run") for reply in replies):
            for reply in replies:
                yield reply
            return
        attempt.mark_sent(Deadline.after_ms(SEND_LIMIT_MS))
        self.runs_started += 1
        self.started.set()
        has_answered = False
        try:
            await asyncio.sleep(self.work_s)
            for reply in replies:
                has_answered = reply.end
                yield reply
        finally:
            if not has_answered:
                self.cut.set()
