"""Outcomes.

Defines the possible outcomes of a call: answered, not run, or unknown.
"""

from dataclasses import dataclass
from functools import singledispatch

from google.protobuf.internal.enum_type_wrapper import EnumTypeWrapper

from laburnumscale_schema import peer_pb2

__all__ = [
    "Answered",
    "NotRun",
    "Outcome",
    "Unknown",
    "is_response_status",
    "outcome_name",
    "promises_not_run",
    "reason_name",
]

#: Statuses of a response to a request. Interim responses are not forwarded, and no
#: target is asked to switch protocols.
FIRST_STATUS = 200
LAST_STATUS = 599
#: Statuses that tell callers that the call was not run and never will be.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True)
class Answered:
    """The complete response of a target was delivered to the caller.

    :ivar status: HTTP status of the response.
    """

    status: int


@dataclass(frozen=True)
class NotRun:
    """The call was not run and never will be.

    :ivar reason: a ``NotRunReason`` of the schema.
    :ivar retry_after_ms: delay in milliseconds before the caller may retry; 0 if a
        retry does not help.
    """

    reason: int
    retry_after_ms: int = 0


@dataclass(frozen=True)
class Unknown:
    """The call may have been run; the fleet does not run it again.

    :ivar reason: an ``UnknownReason`` of the schema.
    """

    reason: int


Outcome = Answered | NotRun | Unknown


@singledispatch
def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome in responses, logs and metrics."""
    raise TypeError(type(outcome).__name__)


@outcome_name.register
def _(outcome: Answered) -> str:
    return "answered"


@outcome_name.register
def _(outcome: NotRun) -> str:
    return "not_run"


@outcome_name.register
def _(outcome: Unknown) -> str:
    return "unknown"


@singledispatch
def reason_name(outcome: Outcome) -> str:
    """Return the name of an outcome's reason in responses and logs."""
    raise TypeError(type(outcome).__name__)


@reason_name.register
def _(outcome: Answered) -> str:
    return "none"


@reason_name.register
def _(outcome: NotRun) -> str:
    return _enum_name(peer_pb2.NotRunReason, outcome.reason, "NOT_RUN_REASON_")


@reason_name.register
def _(outcome: Unknown) -> str:
    return _enum_name(peer_pb2.UnknownReason, outcome.reason, "UNKNOWN_REASON_")


def _enum_name(enum: EnumTypeWrapper, number: int, prefix: str) -> str:
    """Return the name of a reason; a newer daemon may have sent an unknown one."""
    if number not in enum.values():
        return f"reason_{number}"
    return enum.Name(number).removeprefix(prefix).lower()


def is_response_status(status: int) -> bool:
    """Return whether a status can be that of a response to a request (RFC 9110)."""
    return FIRST_STATUS <= status <= LAST_STATUS


def promises_not_run(status: int) -> bool:
    """Return whether a status tells callers that the call was not run."""
    return status in NOT_RUN_STATUSES
