"""Caller bodies.

Receives the bodies of calls from callers, and decides while the daemon drains whether a
call whose body takes long is still accepted.
"""

import asyncio
from collections.abc import AsyncIterator, Callable

import attrs
from sanic import Request
from sanic.exceptions import SanicException
from sanic.http import Http

from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.drainstate import DrainState
from laburnumscale.errors import BodyIncomplete, BodyStalled, RequestInvalid
from laburnumscale.routelatencies import hash_route
from laburnumscale.targetresponses import MAX_SINGLE_MESSAGE_BODY_BYTES

__all__ = ["Arrival", "BodyReceiver"]

#: Largest part of a streamed body that is forwarded in one message.
MAX_PART_BYTES = 64 * 1024
#: Chunks that are joined to one part, so that small ones cost no message each. The
#: event loop does nothing else meanwhile, for about 5 ms.
MAX_JOINED_CHUNKS = 1000
#: Bytes of a chunk's size line with the preceding line end that are searched for.
MAX_CHUNK_HEAD_BYTES = 64


@attrs.frozen(eq=False)
class Arrival:
    """A call whose body has to be received.

    :ivar received_at_s: time since boot at which its head arrived.
    :ivar deadline: deadline of the call.
    :ivar route: host and path prefix of its route; empty if it matched none.
    """

    request: Request
    request_id: str
    received_at_s: float
    deadline: Deadline
    service: str
    route: str

    @property
    def time_limit_ms(self) -> int:
        """Return the time limit of the call, from the arrival of its head."""
        return round((self.deadline.at_s - self.received_at_s) * MS_PER_S)


class BodyReceiver:
    """Receives bodies: small ones of known length whole, others in parts.

    :param drain_state: which calls are accepted while the daemon drains.
    :param expected_ms: returns the time in which the targets of a service are expected
        to answer a call of a route, by the hash of the route; 0 if it is not known.
    """

    def __init__(
        self, drain_state: DrainState, expected_ms: Callable[[str, int], float]
    ) -> None:
        self._drain_state = drain_state
        self._expected_ms = expected_ms

    async def receive(
        self, arrival: Arrival, stall_ms: int
    ) -> bytes | AsyncIterator[bytes]:
        """Return the body of a call, or its parts as they arrive.

        :param stall_ms: time without progress after which a body is given up.
        :raises RequestInvalid: it is malformed.
        :raises BodyStalled: it is too late, or its caller has stopped sending.
        :raises WorkCutOff: the call cannot be accepted any more.
        """
        headers = arrival.request.headers
        length = headers.get("content-length")
        if length is None and "transfer-encoding" not in headers:
            return b""
        if length is not None and int(length) <= MAX_SINGLE_MESSAGE_BODY_BYTES:
            async with self._drain_state.arrival_scope(arrival.time_limit_ms):
                return await _buffer_body(arrival.request, arrival.deadline, stall_ms)
        return self._stream_body(arrival, stall_ms)

    async def _stream_body(
        self, arrival: Arrival, stall_ms: int
    ) -> AsyncIterator[bytes]:
        """Yield the parts of a body as they arrive.

        The last one is left out while the daemon drains, if its target is not expected
        to answer in time. The target then does not run the call.

        :raises BodyIncomplete: the body is malformed, its end is left out, or nothing
            came for ``stall_ms``. The time during which the parts are not asked for
            does not count.
        """
        request = arrival.request
        has_length = "content-length" in request.headers
        while part := await _receive_part(arrival, stall_ms):
            if has_length and not request.stream.request_bytes_left:
                self._check_completes(arrival)
            for start in range(0, len(part), MAX_PART_BYTES):
                yield part[start : start + MAX_PART_BYTES]
        if not has_length:
            self._check_completes(arrival)

    def _check_completes(self, arrival: Arrival) -> None:
        """Check that the target of a call may get the end of its body.

        :raises BodyIncomplete: the daemon ends before the target is expected to answer.
        """
        if self._drain_state.accepts_work:
            return
        expected_ms = self._expected_ms(arrival.service, hash_route(arrival.route))
        if not self._drain_state.completes(expected_ms or arrival.time_limit_ms):
            reason = "the daemon ends before an answer is expected"
            raise BodyIncomplete(arrival.request_id, reason)


async def _buffer_body(request: Request, deadline: Deadline, stall_ms: int) -> bytes:
    """Return a body of known and small length.

    :raises RequestInvalid: it is malformed.
    :raises BodyStalled: it was not received before the deadline, or the caller has sent
        nothing for ``stall_ms``.
    """
    stream = request.stream
    body = bytearray()
    try:
        while not deadline.has_passed():
            progress_limit = Deadline.after_ms(stall_ms)
            limit = min(deadline, progress_limit, key=lambda each: each.at_s)
            async with asyncio.timeout(limit.left_s()):
                part = await stream.read()
            body += part or b""
            if not stream.request_bytes_left:
                # Reading past the last byte tells the parser that the body has ended.
                stream.request_body = None
                return bytes(body)
    except SanicException as error:
        raise RequestInvalid("body", str(error)) from error
    except TimeoutError:
        if not deadline.has_passed():
            raise BodyStalled("body", f"nothing received for {stall_ms} ms") from None
    raise BodyStalled("body", "not received before the deadline")


async def _receive_part(arrival: Arrival, stall_ms: int) -> bytes:
    """Return the next part of a body, which is empty at its end.

    :raises BodyIncomplete: the body is malformed, or nothing came for ``stall_ms``.
    """
    try:
        async with asyncio.timeout(stall_ms / MS_PER_S):
            return await _read_part(arrival.request.stream)
    except SanicException as error:
        raise BodyIncomplete(arrival.request_id, str(error)) from error
    except TimeoutError:
        reason = f"nothing received for {stall_ms} ms"
        raise BodyIncomplete(arrival.request_id, reason) from None


async def _read_part(stream: Http) -> bytes:
    """Return the next bytes of a body, with all small chunks that have arrived."""
    part = await stream.read()
    if not part or not _has_next_chunk(stream):
        return part or b""
    chunks = [part]
    size_bytes = len(part)
    while (
        size_bytes < MAX_PART_BYTES
        and len(chunks) < MAX_JOINED_CHUNKS
        and _has_next_chunk(stream)
    ):
        chunks.append(await stream.read())
        size_bytes += len(chunks[-1])
    return b"".join(chunks)


def _has_next_chunk(stream: Http) -> bool:
    """Return whether bytes of another chunk can be read without waiting."""
    buffer = stream.recv_buffer
    if stream.request_bytes_left:
        return bool(buffer)
    if stream.request_body != "chunked":
        return False
    end = buffer.find(b"\r\n", 3, MAX_CHUNK_HEAD_BYTES)
    is_last = buffer[2:3] == b"0"
    return end != -1 and not is_last and len(buffer) > end + 2
