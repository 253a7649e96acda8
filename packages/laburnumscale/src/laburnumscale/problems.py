"""Problems.

Renders outcomes other than a target's answer as RFC 9457 problem documents.
"""

import math
from functools import singledispatch

from sanic import HTTPResponse
from sanic.response import json

from laburnumscale.outcomes import NotRun, Outcome, Unknown, outcome_name, reason_name
from laburnumscale_schema import peer_pb2

__all__ = ["problem"]

CONTENT_TYPE = "application/problem+json"
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
STATUS_BY_REASON = {
    peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE: 404,
    peer_pb2.NOT_RUN_REASON_BAD_REQUEST: 400,
    peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED: 422,
    peer_pb2.NOT_RUN_REASON_KEY_REUSED: 422,
    peer_pb2.NOT_RUN_REASON_KEYED_BODY_TOO_LARGE: 413,
    peer_pb2.NOT_RUN_REASON_OVERLOADED: 429,
}


@singledispatch
def status_of(outcome: Outcome) -> int:
    """Return the HTTP status for an outcome."""
    raise TypeError(type(outcome).__name__)


@status_of.register
def _(outcome: NotRun) -> int:
    return STATUS_BY_REASON.get(outcome.reason, STATUS_NOT_RUN)


@status_of.register
def _(outcome: Unknown) -> int:
    return STATUS_UNKNOWN


def problem(outcome: NotRun | Unknown, request_id: str) -> HTTPResponse:
    """Return the response for a call that has no answer."""
    document = {
        "type": "about:blank",
        "title": outcome_name(outcome).replace("_", " "),
        "outcome": outcome_name(outcome),
        "reason": reason_name(outcome),
        "request_id": request_id,
    }
    headers = {"X-Request-Id": request_id}
    retry_after_ms = getattr(outcome, "retry_after_ms", 0)
    if retry_after_ms:
        document["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = str(math.ceil(retry_after_ms / 1000))
    return json(
        document,
        status=status_of(outcome),
        headers=headers,
        content_type=CONTENT_TYPE,
    )
