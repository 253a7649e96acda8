"""Failure replies.

Builds and parses the replies of a guard to attempts that have no response.
"""

from laburnumscale.outcomes import NotRun, Unknown, is_response_status
from laburnumscale_schema import peer_pb2

__all__ = [
    "AttemptRefused",
    "QueueRefused",
    "failure_outcome",
    "is_last_reply",
    "not_run_reply",
    "refused_reply",
    "unknown_reply",
]

DEFAULT_RETRY_AFTER_MS = 1000


class AttemptRefused(Exception):
    """The guard refuses to run an attempt.

    :param cause: a ``NotRunReason`` of the schema, or the complete reply.
    :param retry_after_ms: delay in milliseconds to suggest to the caller.
    :ivar reply: the reply to the entry.
    """

    def __init__(
        self,
        cause: int | peer_pb2.CallReply,
        retry_after_ms: int = DEFAULT_RETRY_AFTER_MS,
    ) -> None:
        reply = (
            not_run_reply(cause, retry_after_ms) if isinstance(cause, int) else cause
        )
        super().__init__(str(reply).strip())
        self.reply = reply


class QueueRefused(AttemptRefused):
    """The queue of a target refuses an attempt, or evicts it.

    :ivar cause: ``deadline``, ``objective``, ``full`` or ``evicted``.
    """

    def __init__(
        self, reason: int, retry_after_ms: int = DEFAULT_RETRY_AFTER_MS, cause: str = ""
    ) -> None:
        super().__init__(reason, retry_after_ms)
        self.cause = cause


def refused_reply(reason: int) -> peer_pb2.CallReply:
    """Return the reply to an attempt that may succeed at another target or later.

    :param reason: a ``NotRunReason`` of the schema.
    """
    return not_run_reply(reason, DEFAULT_RETRY_AFTER_MS)


def not_run_reply(reason: int, retry_after_ms: int = 0) -> peer_pb2.CallReply:
    """Return the reply to an attempt that was not run.

    :param reason: a ``NotRunReason`` of the schema.
    :param retry_after_ms: suggested delay in milliseconds; 0 to suggest no retry.
    """
    return peer_pb2.CallReply(
        not_run=peer_pb2.NotRunReply(reason=reason, retry_after_ms=retry_after_ms)
    )


def unknown_reply(
    reason: int, load: peer_pb2.LoadReport | None = None
) -> peer_pb2.CallReply:
    """Return the reply to an attempt that may have run.

    :param reason: an ``UnknownReason`` of the schema.
    :param load: the load of the target, if known.
    """
    return peer_pb2.CallReply(unknown=peer_pb2.UnknownReply(reason=reason), load=load)


def failure_outcome(reply: peer_pb2.CallReply) -> NotRun | Unknown | None:
    """Return the failure stated in a reply, or None if it is part of a response."""
    if reply.HasField("not_run"):
        return NotRun(reply.not_run.reason, reply.not_run.retry_after_ms)
    if reply.HasField("unknown"):
        return Unknown(reply.unknown.reason)
    if reply.HasField("head") and not is_response_status(reply.head.status):
        return Unknown(peer_pb2.UNKNOWN_REASON_INVALID_STATUS)
    return None


def is_last_reply(reply: peer_pb2.CallReply) -> bool:
    """Return whether no reply to the same attempt follows this one."""
    return reply.end or reply.HasField("not_run") or reply.HasField("unknown")
