"""Log connections.

Opens the connections to the platform's log, on which a read may wait for a long time.
"""

import socket

import aiohttp

__all__ = ["open_log_session"]

#: A silent connection is closed after about 3 s. Changes must be in force within
#: seconds, and without a record nothing else shows that the log no longer responds.
KEEP_ALIVE_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 2),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, 3_000),
)


def open_log_session() -> aiohttp.ClientSession:
    """Return a session whose connections are closed once the log is silent.

    Must be called on a running event loop.
    """
    connector = aiohttp.TCPConnector(limit=0, socket_factory=_open_socket)
    return aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None),
        cookie_jar=aiohttp.DummyCookieJar(),
    )


def _open_socket(address_info: tuple) -> socket.socket:
    """Return a socket for an entry of :func:`socket.getaddrinfo`."""
    family, kind, protocol, *_ = address_info
    opened = socket.socket(family=family, type=kind, proto=protocol)
    for level, name, value in KEEP_ALIVE_OPTIONS:
        opened.setsockopt(level, name, value)
    return opened
