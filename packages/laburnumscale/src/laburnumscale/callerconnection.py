"""Caller connection.

Limits the time, the memory and the number of the connections of callers.
"""

import asyncio
import time
from collections.abc import Coroutine, Iterable
from typing import Any

from sanic import Request
from sanic.http import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from laburnumscale.deadlines import Deadline
from laburnumscale.logs import get_logger
from laburnumscale.memory import (
    CONNECTION_BYTES,
    ENTRY_CALL_BYTES,
    FREE_BYTES,
    ConnectionMemory,
    Purpose,
    entry_head_bytes,
)
from laburnumscale.requestparser import RequestParser

__all__ = ["UPLOAD_READ_BYTES", "CallerConnection", "relieve_memory"]

#: What is read at once of a body that is streamed.
UPLOAD_READ_BYTES = 64 * 1024
#: What is read at once of anything else.
READ_BYTES = 16 * 1024
#: A connection that waits so long for its next request may be closed if there are too
#: many. Callers use a connection again within 15 s, or not at all.
EVICTABLE_IDLE_S = 16
#: As above, for a connection whose header section is incomplete.
EVICTABLE_HEADER_S = 4
#: Connections that are closed at once to make room for new ones.
MAX_EVICTED_CONNECTIONS = 32
#: A flood of connections or data does not cause more scans of all connections.
SCAN_INTERVAL_S = 0.2
#: Time to read the rest of a body after its request was answered, so that the caller
#: gets the response before the connection is closed.
DISCARD_TIMEOUT_S = 5
#: A caller that takes nothing of its response for so long may be disconnected if
#: memory is missing for the responses of others.
PRESSED_STALL_S = 1
#: Callers that are disconnected at once for this reason.
MAX_DISCONNECTED = 16
#: Time after the opening of a connection in which its caller sends the first request.
FIRST_REQUEST_TIMEOUT_MS = 500


class CallerConnection(HttpProtocol):
    """A connection with a limit on the time to receive the complete header section.

    The number of connections is limited as well. If the application has a memory
    budget, it covers the connections and what their buffers hold.

    :ivar memory: what is held for the connection.
    :ivar discards_since_s: since when the rest of a body is read whose request was
        answered; 0 if none is.
    """

    HTTP_CLASS = RequestParser
    __slots__ = (
        "_first_request_due",
        "_part_bytes",
        "_unsent_bytes",
        "_unsent_since_s",
        "discards_since_s",
        "memory",
    )

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self._first_request_due: Deadline | None = None
        self.memory = ConnectionMemory(self.app.ctx.memory)
        self.discards_since_s = 0.0
        self._part_bytes = 0
        self._unsent_bytes = 0
        self._unsent_since_s = 0.0

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Accept a connection unless there are too many."""
        if not self._has_room_for_connection():
            transport.abort()
            return
        super().connection_made(transport)
        transport.set_write_buffer_limits(high=0)
        transport.set_protocol(_BoundedReads(self))
        self._first_request_due = Deadline.after_ms(FIRST_REQUEST_TIMEOUT_MS)

    def _has_room_for_connection(self) -> bool:
        limit = self.app.ctx.max_connections
        if len(self.connections) >= limit:
            self._evict_waiting()
        if len(self.connections) >= limit:
            return False
        return self.memory.hold(Purpose.CONNECTIONS, CONNECTION_BYTES)

    def _evict_waiting(self) -> None:
        """Close the connections that have waited longest for their callers.

        Those with a request in progress are kept.
        """
        if not self._may_scan():
            return
        candidates = [each for each in self.connections if each.is_evictable()]
        candidates.sort(key=lambda each: each.waits_since_s)
        for connection in candidates[:MAX_EVICTED_CONNECTIONS]:
            connection.drop("too many connections")

    def _may_scan(self) -> bool:
        """Return whether all connections may be looked at again, and record it."""
        context = self.app.ctx
        now_s = time.monotonic()
        if now_s - context.scanned_at_s < SCAN_INTERVAL_S:
            return False
        context.scanned_at_s = now_s
        return True

    @property
    def waits_since_s(self) -> float:
        """Return since when the connection waits for its caller."""
        return self._time

    def is_evictable(self) -> bool:
        """Return whether the caller has kept the connection waiting for too long."""
        if self.http is None or self.transport is None:
            return False
        waited_s = time.monotonic() - self._time
        if self.http.stage is Stage.IDLE:
            return waited_s > EVICTABLE_IDLE_S
        return self.http.stage is Stage.REQUEST and waited_s > EVICTABLE_HEADER_S

    def drop(self, reason: str) -> None:
        """Close the connection at once, and release what is held for it."""
        if not self.memory.held_for(Purpose.CONNECTIONS):
            return  # it is closed already
        get_logger().info("connection of a caller closed", reason=reason)
        transport = self.transport
        self.connections.discard(self)
        self.memory.release_all()
        if transport is not None:
            transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Clean up after a connection unless it was rejected."""
        self.memory.release_all()
        if self.conn_info is not None:
            super().connection_lost(exc)
            self.recv_buffer.clear()

    def data_received(self, data: bytes | memoryview) -> None:
        """Process received bytes.

        They restart the timeout while a body is received, but not while the header
        section is received. Behind a request in progress no more is read than one
        small request takes.
        """
        if self.transport is None:
            return
        self._first_request_due = None
        in_header_section = self.http is not None and self.http.stage is Stage.REQUEST
        header_started_at_s = self._time
        super().data_received(data)
        if in_header_section:
            self._time = header_started_at_s
        if len(self.recv_buffer) > FREE_BYTES:
            if self.http and not self.http.request_body:
                self.transport.pause_reading()
            self.account_buffers()

    def receive_more(self) -> Coroutine[Any, Any, None]:
        """Wait for more bytes, after those in the buffer were used."""
        if self.has_accounted_buffers:
            self.account_buffers()
        return super().receive_more()

    def send(self, data: bytes) -> Coroutine[Any, Any, None]:
        """Send a part of a response once there is room in the write buffer."""
        if len(data) > FREE_BYTES:
            return self._send_accounted(data)
        return super().send(data)

    async def _send_accounted(self, data: bytes) -> None:
        await super().send(data)
        self._part_bytes = len(data)
        self.account_buffers()

    def pause_writing(self) -> None:
        """Record that the caller does not take what is sent."""
        self._unsent_bytes = self.transport.get_write_buffer_size()
        self._unsent_since_s = time.monotonic()
        super().pause_writing()

    def resume_writing(self) -> None:
        """Send further parts, as the caller has taken the preceding ones."""
        super().resume_writing()
        if self.has_accounted_buffers:
            self.account_buffers()

    def has_sent_responses(self) -> bool:
        """Return whether the system has taken all that was to be sent."""
        return self._can_write.is_set()

    async def wait_until_sent(self) -> None:
        """Wait until the caller has taken the responses to its earlier requests.

        The time to receive the next header section begins then.
        """
        await self._can_write.wait()
        self._time = time.monotonic()

    def hold_request(self, request: Request) -> bool:
        """Hold memory for a request and its header section, until it was handled.

        :returns: whether there was room.
        """
        size_bytes = entry_head_bytes(len(request.head), len(request.headers))
        return self._hold(Purpose.CALLS, ENTRY_CALL_BYTES) and self.memory.hold(
            Purpose.HEADS, size_bytes
        )

    def hold_body(self, purpose: Purpose, size_bytes: int) -> bool:
        """Hold memory for the body of the request in progress, until its end.

        :param purpose: uploads or bodies.
        :returns: whether there was room.
        """
        has_room = self.memory.hold(purpose, size_bytes)
        if self.has_accounted_buffers:
            self.account_buffers()
        return has_room

    def release_request(self) -> None:
        """Give back what is held for a request that was handled."""
        self.memory.release(
            Purpose.CALLS, Purpose.HEADS, Purpose.UPLOADS, Purpose.BODIES
        )

    def account_buffers(self) -> None:
        """Adjust what is held for received and unsent bytes.

        What a transfer holds is reserved by the call that makes it.
        """
        if self.transport is None or not self.memory.held_for(Purpose.CONNECTIONS):
            return
        if not self._hold_buffer(Purpose.RECEIVED, self._received_bytes()):
            self._refuse_received()
        if self.memory.held_for(Purpose.CONNECTIONS) and not self._hold_buffer(
            Purpose.ANSWERS, self._kept_unsent_bytes()
        ):
            self.drop("no memory")

    def _kept_unsent_bytes(self) -> int:
        """Return what is kept to be sent; a part is kept until all of it is sent."""
        unsent_bytes = self.transport.get_write_buffer_size()
        return max(unsent_bytes, self._part_bytes) if unsent_bytes else 0

    def _received_bytes(self) -> int:
        """Return how much was received beside what is held for a body."""
        if self.memory.held_for(Purpose.UPLOADS):
            return 0
        size_bytes = len(self.recv_buffer)
        if self.memory.held_for(Purpose.BODIES):
            return max(0, size_bytes - self.http.request_bytes_left)
        return size_bytes

    def _hold_buffer(self, purpose: Purpose, size_bytes: int) -> bool:
        return self._hold(purpose, size_bytes if size_bytes > FREE_BYTES else 0)

    def _hold(self, purpose: Purpose, size_bytes: int) -> bool:
        """Hold memory, if need be after other connections have given some back."""
        if self.memory.hold(purpose, size_bytes):
            return True
        if purpose is not Purpose.ANSWERS and not self._may_scan():
            return False
        relieve_memory(self.connections)
        return self.memory.hold(purpose, size_bytes)

    def _refuse_received(self) -> None:
        """Do without received bytes for which there is no memory.

        What they belong to is not run: the connection ends with the response that is in
        progress or still to be sent, or else at once.
        """
        is_handling = bool(self.http) and not self.http.request_body
        if not (is_handling or self.has_unsent_data()):
            self.drop("no memory")
            return
        self.recv_buffer.clear()
        self.memory.release(Purpose.RECEIVED)
        self.transport.pause_reading()
        if is_handling:
            self.http.keep_alive = False
        else:
            self.close()

    def release_emptied(self) -> None:
        """Give back what is held for received and unsent bytes that are gone."""
        if not self.has_accounted_buffers or self.transport is None:
            return
        for purpose, size_bytes in (
            (Purpose.RECEIVED, self._received_bytes()),
            (Purpose.ANSWERS, self._kept_unsent_bytes()),
        ):
            if size_bytes < self.memory.held_for(purpose):
                self._hold_buffer(purpose, size_bytes)

    @property
    def has_accounted_buffers(self) -> bool:
        """Return whether memory is held for the buffers."""
        return bool(
            self.memory.held_for(Purpose.RECEIVED)
            or self.memory.held_for(Purpose.ANSWERS)
        )

    def check_timeouts(self) -> None:
        """Close the connection if it has waited for its caller for too long."""
        if self.transport is not None and self._task is not None:
            if self.has_accounted_buffers:
                self.account_buffers()
            if self.unsent_for_s() > self.app.ctx.stall_s or self._discards_too_long():
                self.drop("stalled")
                return
        super().check_timeouts()

    def unsent_for_s(self) -> float:
        """Return for how long the caller has taken nothing of what is to be sent."""
        if self.transport is None:
            return 0.0
        now_s = time.monotonic()
        unsent_bytes = self.transport.get_write_buffer_size()
        if unsent_bytes != self._unsent_bytes or not unsent_bytes:
            self._unsent_bytes = unsent_bytes
            self._unsent_since_s = now_s
        return now_s - self._unsent_since_s

    def _discards_too_long(self) -> bool:
        """Return whether the caller still sends a body whose request was answered."""
        is_discarding = self.discards_since_s and self.http and self.http.request_body
        return bool(is_discarding) and (
            time.monotonic() - self.discards_since_s > DISCARD_TIMEOUT_S
        )

    def has_unsent_data(self) -> bool:
        """Return whether a part of a response is still to be sent."""
        return self.transport is not None and (
            self.transport.get_write_buffer_size() > 0
        )

    def awaits_first_request(self) -> bool:
        """Return whether the connection is new and has received nothing yet."""
        due = self._first_request_due
        return due is not None and not due.has_passed()

    def close_if_idle(self) -> bool:
        """Close the connection unless it has received a part of a request or is new.

        :returns: whether the connection was closed.
        """
        if self.recv_buffer or self.awaits_first_request():
            return False
        return super().close_if_idle()


class _BoundedReads(asyncio.BufferedProtocol):
    """Passes a connection what it receives in parts of bounded size.

    For other protocols uvloop reads up to 250 KiB at once, however little of it is
    wanted.
    """

    def __init__(self, connection: CallerConnection) -> None:
        self._connection = connection
        self._small_buffer = connection.app.ctx.read_buffer[:READ_BYTES]
        self._large_buffer = connection.app.ctx.read_buffer

    def get_buffer(self, sizehint: int) -> memoryview:
        is_upload = self._connection.memory.held_for(Purpose.UPLOADS)
        return self._large_buffer if is_upload else self._small_buffer

    def buffer_updated(self, nbytes: int) -> None:
        self._connection.data_received(self._large_buffer[:nbytes])

    def eof_received(self) -> bool | None:
        return self._connection.eof_received()

    def pause_writing(self) -> None:
        self._connection.pause_writing()

    def resume_writing(self) -> None:
        self._connection.resume_writing()

    def connection_lost(self, exc: Exception | None) -> None:
        self._connection.connection_lost(exc)


def relieve_memory(connections: Iterable[CallerConnection]) -> None:
    """Let connections of callers give back memory because some is missing.

    First they give back what is held for buffers that were emptied since. Then those
    callers are disconnected that have taken nothing of their responses for longest.
    """
    stalled = []
    for connection in tuple(connections):
        connection.release_emptied()
        if connection.unsent_for_s() > PRESSED_STALL_S:
            stalled.append(connection)
    stalled.sort(key=CallerConnection.unsent_for_s, reverse=True)
    for connection in stalled[:MAX_DISCONNECTED]:
        connection.drop("no memory")
