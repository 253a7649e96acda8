"""Caller requests.

Checks what callers send before anything is done with it.
"""

import re

from sanic import Request

from laburnumscale.errors import BodyTooLarge, RequestInvalid

__all__ = ["check_request", "is_number", "request_target", "timeout_ms"]

METHODS = frozenset({"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"})
LONGEST_NUMBER = 18
#: Request line and header fields as RFC 9112 has them, without folded lines,
#: spaces before colons and control characters.
HEAD = re.compile(
    rb"[A-Z]+ [!\x22\x24-\x7e]+ HTTP/1\.[01]"
    rb"(?:\r\n[!#$%&'*+.^_`|~0-9A-Za-z-]+:[\t\x20-\x7e\x80-\xff]*)*"
)
ABSOLUTE_FORM = re.compile(r"http://([^/?#@]+)(/[^#]*|\?[^#]*)?", re.IGNORECASE)
HOST = re.compile(r"(\[[0-9a-f:.]+\]|[^\[\]:@/?#\s]*)(?::[0-9]*)?", re.IGNORECASE)


def check_request(request: Request, body_limit_bytes: int) -> None:
    """Check the head of a request and set the limit of its body.

    :raises RequestInvalid: the head has another form than RFC 9112 gives it, or one
        that two readers may understand differently.
    :raises BodyTooLarge: the announced body is larger than the limit.
    """
    if not HEAD.fullmatch(request.head):
        raise RequestInvalid("head", "it is not an HTTP/1.1 request")
    if request.method not in METHODS:
        raise RequestInvalid("method", f"{request.method} is not served")
    if not request.head.isascii():
        _check_text(request.head)
    headers = request.headers
    if len(headers.getall("host", ())) != 1 and request.version != "1.0":
        raise RequestInvalid("host", "there is not exactly one")
    if "transfer-encoding" in headers and request.version == "1.0":
        raise RequestInvalid("transfer-encoding", "HTTP/1.0 has none")
    length = headers.get("content-length")
    if length is not None:
        _check_length(length, body_limit_bytes)
    request.stream.request_max_size = body_limit_bytes


def _check_text(head: bytes) -> None:
    try:
        head.decode()
    except UnicodeDecodeError:
        raise RequestInvalid("head", "a value is not UTF-8") from None


def _check_length(length: str, body_limit_bytes: int) -> None:
    if not is_number(length):
        raise RequestInvalid("content-length", "the value is not a number")
    if int(length) > body_limit_bytes:
        raise BodyTooLarge("content-length", body_limit_bytes)


def is_number(text: str) -> bool:
    """Tell whether a header value is a number that is not too long to be used."""
    return text.isascii() and text.isdecimal() and len(text) <= LONGEST_NUMBER


def request_target(request: Request) -> tuple[str, str]:
    """Return the host, and path and query, that a request is for.

    :raises RequestInvalid: the request target is neither a path nor an http URL.
    """
    target = request.raw_url.decode("ascii")
    authority = request.headers.get("host", "")
    if not target.startswith("/"):
        match = ABSOLUTE_FORM.fullmatch(target)
        if not match:
            raise RequestInvalid("request target", "it is neither path nor http URL")
        authority = match[1]
        target = match[2] or "/"
        if target.startswith("?"):
            target = "/" + target
    host = HOST.fullmatch(authority)
    if not host:
        raise RequestInvalid("host", "the value is not a host")
    return host[1].lower(), target


def timeout_ms(request: Request, longest_ms: int, header: str) -> int:
    """Return the time that the caller gives the call, in milliseconds.

    :param longest_ms: the service's own limit.
    :param header: name of the header field in which the caller says it.
    :raises RequestInvalid: the caller's header is not a positive number.
    """
    wanted_ms = request.headers.get(header)
    if wanted_ms is None:
        return longest_ms
    if not is_number(wanted_ms) or int(wanted_ms) == 0:
        raise RequestInvalid(header, "the value is not a positive number")
    return min(int(wanted_ms), longest_ms)
