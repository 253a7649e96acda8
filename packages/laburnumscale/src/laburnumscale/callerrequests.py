"""Caller requests.

Validates the requests of callers before they are processed.
"""

import re

from sanic import Request

from laburnumscale.errors import BodyTooLarge, RequestInvalid

__all__ = ["call_timeout_ms", "check_request", "is_number", "parse_request_target"]

SUPPORTED_METHODS = frozenset(
    {"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}
)
MAX_NUMBER_DIGITS = 18
#: Request line and header fields according to RFC 9112, without line folding,
#: whitespace before colons and control characters.
REQUEST_HEAD = re.compile(
    rb"[A-Z]+ [!\x22\x24-\x7e]+ HTTP/1\.[01]"
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)*"
)
ABSOLUTE_FORM = re.compile(r"http://([^/?#@]+)(/[^#]*|\?[^#]*)?", re.IGNORECASE)
HOST_AND_PORT = re.compile(
    r"(\[[0-9a-f:.]+\]|[^\[\]:@/?#\s]*)(?::[0-9]*)?", re.IGNORECASE
)


def check_request(request: Request, body_limit_bytes: int) -> None:
    """Validate the head of a request and set the size limit of its body.

    :raises RequestInvalid: the head does not conform to RFC 9112, or HTTP parsers
        may interpret it differently.
    :raises BodyTooLarge: the Content-Length is larger than the limit.
    """
    if not REQUEST_HEAD.fullmatch(request.head):
        raise RequestInvalid("head", "not a valid HTTP/1.1 request")
    if request.method not in SUPPORTED_METHODS:
        raise RequestInvalid("method", f"{request.method} is not supported")
    if not request.head.isascii():
        _check_encoding(request.head)
    headers = request.headers
    if len(headers.getall("host", ())) != 1 and request.version != "1.0":
        raise RequestInvalid("host", "exactly one Host header field is required")
    if "transfer-encoding" in headers and request.version == "1.0":
        raise RequestInvalid("transfer-encoding", "not allowed in HTTP/1.0")
    length = headers.get("content-length")
    if length is not None:
        _check_content_length(length, body_limit_bytes)
    request.stream.request_max_size = body_limit_bytes


def _check_encoding(head: bytes) -> None:
    try:
        head.decode()
    except UnicodeDecodeError:
        raise RequestInvalid("head", "a header value is not valid UTF-8") from None


def _check_content_length(length: str, body_limit_bytes: int) -> None:
    if not is_number(length):
        raise RequestInvalid("content-length", "must be a decimal number")
    if int(length) > body_limit_bytes:
        raise BodyTooLarge("content-length", body_limit_bytes)


def is_number(text: str) -> bool:
    """Return whether a header value has 1 to ``MAX_NUMBER_DIGITS`` decimal digits."""
    return text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS


def parse_request_target(request: Request) -> tuple[str, str]:
    """Return the host of a request, and its path and query.

    :raises RequestInvalid: the request target is neither a path nor an http URL, or
        the host is malformed.
    """
    target = request.raw_url.decode("ascii")
    authority = request.headers.get("host", "")
    if not target.startswith("/"):
        match = ABSOLUTE_FORM.fullmatch(target)
        if not match:
            raise RequestInvalid("request target", "must be a path or an http URL")
        authority = match[1]
        target = match[2] or "/"
        if target.startswith("?"):
            target = "/" + target
    host = HOST_AND_PORT.fullmatch(authority)
    if not host:
        raise RequestInvalid("host", "must be a host with an optional port")
    return host[1].lower(), target


def call_timeout_ms(request: Request, max_timeout_ms: int, header: str) -> int:
    """Return the time limit of a call in milliseconds.

    :param max_timeout_ms: time limit from the settings; the default and the maximum.
    :param header: name of the header field in which the caller requests a limit.
    :raises RequestInvalid: the header value is not a positive number.
    """
    requested_ms = request.headers.get(header)
    if requested_ms is None:
        return max_timeout_ms
    if not is_number(requested_ms) or int(requested_ms) == 0:
        raise RequestInvalid(header, "must be a positive number")
    return min(int(requested_ms), max_timeout_ms)
