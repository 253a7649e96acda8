"""Drain state.

Decides which work a daemon still accepts while it drains, and by when that work must
have ended. It answers the load of a rolling restart: callers and peers that go on using
their connections to a daemon that is about to exit.
"""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from laburnumscale.deadlines import Deadline, now_s
from laburnumscale.errors import WorkCutOff

__all__ = ["DrainState"]

#: A load balancer that checks readiness every second and removes a daemon after two
#: failed checks takes nearly 3 s; until then callers still open connections.
MAX_NOTICE_MS = 3_000
MAX_NOTICE_SHARE = 0.5  # of the time that is left for the drain
#: Part of the time left which the answer of a target is expected to take at most.
MAX_EXPECTED_SHARE = 0.5


class DrainState:
    """Whether a daemon drains, accepts work, and how long its work may take.

    :ivar notice_deadline: end of the notice period, in which a draining daemon still
        accepts work; None while the daemon does not drain.
    :ivar work_deadline: by when the accepted work must have ended; None as above.
    """

    def __init__(self) -> None:
        self.notice_deadline: Deadline | None = None
        self.work_deadline: Deadline | None = None
        self._running: set[asyncio.Timeout] = set()
        self._arriving: dict[asyncio.Timeout, int] = {}
        self._is_cut_off = False

    @property
    def is_draining(self) -> bool:
        """Return whether the drain has begun."""
        return self.work_deadline is not None

    @property
    def accepts_work(self) -> bool:
        """Return whether new work is accepted."""
        return self.notice_deadline is None or not self.notice_deadline.has_passed()

    def accepts(self, deadline: Deadline) -> bool:
        """Return whether a call is accepted.

        After the notice period only calls are accepted whose whole time limit ends
        before the drain does, such as those that targets make through this daemon
        while they run their last calls.

        :param deadline: deadline of the call.
        """
        return self.accepts_work or deadline.at_s <= self.work_deadline.at_s

    def completes(self, expected_ms: float) -> bool:
        """Return whether a target may get the end of a call after the notice period.

        It has got the call in part before.

        :param expected_ms: time in which the target is expected to answer.
        """
        return expected_ms <= MAX_EXPECTED_SHARE * self.work_deadline.left_ms()

    def begin(self, work_deadline: Deadline) -> None:
        """Begin the drain, unless it has begun already.

        :param work_deadline: by when the accepted work must have ended.
        """
        if self.is_draining:
            return
        notice_ms = min(MAX_NOTICE_MS, work_deadline.left_ms() * MAX_NOTICE_SHARE)
        self.notice_deadline = Deadline.after_ms(notice_ms)
        self.work_deadline = work_deadline
        for timeout, time_limit_ms in self._arriving.items():
            timeout.reschedule(self._last_acceptance_at_s(time_limit_ms))

    def limit(self, deadline: Deadline) -> Deadline:
        """Return a deadline, or the end of the drain if that is earlier."""
        if self.work_deadline is None:
            return deadline
        return min(deadline, self.work_deadline, key=lambda each: each.at_s)

    @asynccontextmanager
    async def cut_off_scope(self) -> AsyncIterator[None]:
        """Run work that is cancelled if the daemon ends first.

        :raises WorkCutOff: :meth:`cut_off` was called before the work ended.
        """
        timeout = asyncio.timeout(0 if self._is_cut_off else None)
        with _expiry_as_cut_off(timeout):
            async with timeout:
                self._running.add(timeout)
                try:
                    yield
                finally:
                    self._running.discard(timeout)

    @asynccontextmanager
    async def arrival_scope(self, time_limit_ms: int) -> AsyncIterator[None]:
        """Receive the rest of a call that is accepted once it is complete.

        The call counts as one that begins then. Otherwise the time that its caller took
        to send it would be missing for the work on it.

        :param time_limit_ms: time limit of the call.
        :raises WorkCutOff: the call cannot be accepted any more.
        """
        at_s = self._last_acceptance_at_s(time_limit_ms) if self.is_draining else None
        timeout = asyncio.timeout_at(at_s)
        with _expiry_as_cut_off(timeout):
            async with timeout:
                self._arriving[timeout] = time_limit_ms
                try:
                    yield
                finally:
                    del self._arriving[timeout]

    def _last_acceptance_at_s(self, time_limit_ms: int) -> float:
        """Return until when a call is accepted, on the clock of the event loop."""
        last = self.work_deadline.earlier_by_ms(time_limit_ms)
        last_at_s = max(last.at_s, self.notice_deadline.at_s)
        return asyncio.get_running_loop().time() + last_at_s - now_s()

    def cut_off(self) -> None:
        """Cancel the work that still runs."""
        self._is_cut_off = True
        for timeout in self._running:
            timeout.reschedule(asyncio.get_running_loop().time())


@contextmanager
def _expiry_as_cut_off(timeout: asyncio.Timeout) -> Iterator[None]:
    """Report that a timeout has expired as work that was cut off."""
    try:
        yield
    except TimeoutError:
        if timeout.expired():
            raise WorkCutOff() from None
        raise
