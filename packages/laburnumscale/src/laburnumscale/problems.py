"""Problems.

Renders outcomes without a target's response as RFC 9457 problem documents.
"""

import math
import uuid
from functools import singledispatch

from sanic import HTTPResponse
from sanic.response import json

from laburnumscale.headernames import HeaderNames
from laburnumscale.outcomes import NotRun, Outcome, Unknown, outcome_name, reason_name
from laburnumscale_schema import peer_pb2

__all__ = ["error_response", "problem_response"]

CONTENT_TYPE = "application/problem+json"
DEFAULT_HEADER_NAMES = HeaderNames()
MS_PER_S = 1000
UNAUTHORIZED = peer_pb2.NOT_RUN_REASON_UNAUTHORIZED
STATUS_NOT_RUN = 503
STATUS_UNKNOWN = 504
STATUS_INTERNAL = 500
STATUS_BY_REASON = {
    peer_pb2.NOT_RUN_REASON_NO_SUCH_SERVICE: 404,
    peer_pb2.NOT_RUN_REASON_NO_ROUTE: 404,
    peer_pb2.NOT_RUN_REASON_BAD_REQUEST: 400,
    peer_pb2.NOT_RUN_REASON_KEY_NOT_MINTED: 422,
    peer_pb2.NOT_RUN_REASON_KEY_REUSED: 422,
    peer_pb2.NOT_RUN_REASON_KEYED_BODY_TOO_LARGE: 413,
    peer_pb2.NOT_RUN_REASON_OVERLOADED: 429,
    peer_pb2.NOT_RUN_REASON_UNAUTHORIZED: 401,
    peer_pb2.NOT_RUN_REASON_OVER_QUOTA: 429,
}


@singledispatch
def http_status(outcome: Outcome) -> int:
    """Return the HTTP status for an outcome."""
    raise TypeError(type(outcome).__name__)


@http_status.register
def _(outcome: NotRun) -> int:
    return STATUS_BY_REASON.get(outcome.reason, STATUS_NOT_RUN)


@http_status.register
def _(outcome: Unknown) -> int:
    return STATUS_UNKNOWN


def error_response(status: int, detail: str) -> HTTPResponse:
    """Return the response to a request that no handler answered.

    :param status: HTTP status. Below 500 the request is invalid and was not run, from
        500 on the outcome is unknown.
    :param detail: description of the error.
    """
    if status >= STATUS_INTERNAL:
        outcome: NotRun | Unknown = Unknown(peer_pb2.UNKNOWN_REASON_UNSPECIFIED)
    else:
        outcome = NotRun(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
    return problem_response(outcome, uuid.uuid4().hex, detail, status)


def problem_response(
    outcome: NotRun | Unknown,
    request_id: str,
    detail: str = "",
    status: int = 0,
    names: HeaderNames = DEFAULT_HEADER_NAMES,
) -> HTTPResponse:
    """Return the problem document for a call without a target's response.

    :param request_id: id of the request, also sent as a header field.
    :param detail: description of the error in the request.
    :param status: HTTP status that overrides the default for the outcome; 0 for none.
    :param names: the names of the header fields used with callers.
    """
    document = {
        "type": "about:blank",
        "title": outcome_name(outcome).replace("_", " "),
        "outcome": outcome_name(outcome),
        "reason": reason_name(outcome),
        "request_id": request_id,
    }
    headers = {names.request_id: request_id}
    if detail:
        document["detail"] = detail
    retry_after_ms = getattr(outcome, "retry_after_ms", 0)
    if retry_after_ms:
        document["retry_after_ms"] = retry_after_ms
        headers["Retry-After"] = _format_retry_after(retry_after_ms, names)
    if isinstance(outcome, NotRun) and outcome.reason == UNAUTHORIZED:
        # RFC 9110 requires the field with status 401; it names where the key belongs.
        headers["WWW-Authenticate"] = f'ApiKey header="{names.account_key}"'
    return json(
        document,
        status=status or http_status(outcome),
        headers=headers,
        content_type=CONTENT_TYPE,
    )


def _format_retry_after(retry_after_ms: int, names: HeaderNames) -> str:
    if names.fractional_retry_after:
        return f"{retry_after_ms / MS_PER_S:.3f}"
    return str(math.ceil(retry_after_ms / MS_PER_S))
