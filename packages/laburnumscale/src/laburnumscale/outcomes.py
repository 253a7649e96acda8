"""Outcomes.

What becomes of a call: it is answered, was not run, or may have been run.
"""

from dataclasses import dataclass
from functools import singledispatch

from laburnumscale_schema import peer_pb2

__all__ = ["Answered", "NotRun", "Outcome", "Unknown", "outcome_name", "reason_name"]


@dataclass(frozen=True)
class Answered:
    """The target's own whole answer reached the caller."""

    status: int


@dataclass(frozen=True)
class NotRun:
    """The call was not run, and never will be.

    :ivar reason: a ``NotRunReason`` of the schema.
    :ivar retry_after_ms: when the caller may come back; 0 if that does not help.
    """

    reason: int
    retry_after_ms: int = 0


@dataclass(frozen=True)
class Unknown:
    """The call may have been run; it is never run again by the fleet.

    :ivar reason: an ``UnknownReason`` of the schema.
    """

    reason: int


Outcome = Answered | NotRun | Unknown


@singledispatch
def outcome_name(outcome: Outcome) -> str:
    """Return the name of an outcome as callers and metrics see it."""
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
    """Return the reason of an outcome as callers and metrics see it."""
    raise TypeError(type(outcome).__name__)


@reason_name.register
def _(outcome: Answered) -> str:
    return "none"


@reason_name.register
def _(outcome: NotRun) -> str:
    name = peer_pb2.NotRunReason.Name(outcome.reason)
    return name.removeprefix("NOT_RUN_REASON_").lower()


@reason_name.register
def _(outcome: Unknown) -> str:
    name = peer_pb2.UnknownReason.Name(outcome.reason)
    return name.removeprefix("UNKNOWN_REASON_").lower()
