"""Replies.

The replies of a guard for attempts that have no answer.
"""

from laburnumscale.outcomes import NotRun, Unknown
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptRefused", "failure", "not_run", "refused", "unknown"]

RETRY_AFTER_MS = 1000


class AttemptRefused(Exception):
    """The guard does not run an attempt.

    :ivar reply: the reply for the entry.
    """

    def __init__(
        self, cause: int | peer_pb2.CallReply, retry_after_ms: int = RETRY_AFTER_MS
    ) -> None:
        reply = not_run(cause, retry_after_ms) if isinstance(cause, int) else cause
        super().__init__(str(reply).strip())
        self.reply = reply


def refused(reason: int) -> peer_pb2.CallReply:
    """Return the reply for an attempt that may succeed elsewhere or later."""
    return not_run(reason, RETRY_AFTER_MS)


def not_run(reason: int, retry_after_ms: int = 0) -> peer_pb2.CallReply:
    """Return the reply for an attempt that was not run."""
    return peer_pb2.CallReply(
        not_run=peer_pb2.NotRunReply(reason=reason, retry_after_ms=retry_after_ms)
    )


def unknown(reason: int, load: peer_pb2.LoadReport | None = None) -> peer_pb2.CallReply:
    """Return the reply for an attempt that may have run."""
    return peer_pb2.CallReply(unknown=peer_pb2.UnknownReply(reason=reason), load=load)


def failure(reply: peer_pb2.CallReply) -> NotRun | Unknown | None:
    """Return the outcome that a reply states, or None for part of an answer."""
    if reply.HasField("not_run"):
        return NotRun(reply.not_run.reason, reply.not_run.retry_after_ms)
    if reply.HasField("unknown"):
        return Unknown(reply.unknown.reason)
    return None
