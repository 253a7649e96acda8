"""Guard.

The last hop before the targets of the daemon's own host.
"""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, aclosing

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from laburnumscale.attemptmonitor import AttemptMonitor
from laburnumscale.attempttable import Attempt, AttemptState, AttemptTable
from laburnumscale.deadlines import Deadline
from laburnumscale.errors import (
    AnswerMismatched,
    AnswerUnframed,
    AttemptSentTwice,
    BodyIncomplete,
)
from laburnumscale.failurereplies import AttemptRefused, unknown_reply
from laburnumscale.guardclocks import boottime_us
from laburnumscale.headernames import HeaderNames
from laburnumscale.health import TargetHealth
from laburnumscale.inflight import InFlightCounter
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.metrics import Metrics
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slots import hold_slot
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.targetresponses import iter_replies
from laburnumscale.transmission import Transmission, send_once
from laburnumscale_schema import peer_pb2

__all__ = ["Guard"]

STALE_RETRY_AFTER_MS = 5000
FORGET_INTERVAL_S = 10
SERVER_ERROR = 500
MISDIRECTED = 421


class Guard:
    """Runs attempts at the targets beside this daemon.

    :ivar attempts: what entries sent here, for settling.
    :ivar in_flight: the attempts that are not over.
    :ivar draining: every new attempt is refused.
    """

    def __init__(
        self,
        own: peer_pb2.Member,
        targets: TargetRegistry,
        feed: SettingsFeed,
        health: TargetHealth,
        session: aiohttp.ClientSession,
        metrics: Metrics,
        attempts: AttemptTable,
        names: HeaderNames,
    ) -> None:
        self._names = names
        self.daemon = own.daemon
        self.attempts = attempts
        self.in_flight = InFlightCounter()
        self.draining = False
        self._data_centre = own.data_centre
        self._targets = targets
        self._feed = feed
        self._health = health
        self._session = session
        self._metrics = metrics

    async def call(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Run one attempt.

        :param head: what to run, and the time that is left for it.
        :param body: the request body, whole or as a stream.
        """
        try:
            attempt = self.attempts.admit(head)
        except AttemptRefused as late:
            self._metrics.count("attempts_fenced")
            yield _stamped(late.reply)
            return
        last = None
        with self.in_flight.track():
            try:
                async with aclosing(self._admitted(attempt, head, body)) as replies:
                    async for reply in replies:
                        last = reply
                        self._keep_early(attempt, head, reply)
                        yield _stamped(reply)
            finally:
                self.attempts.end(attempt, _kept_reply(head, last))

    async def forget_gone_entries(self, members: Members) -> None:
        """Shrink what is kept for entries that are gone, until cancelled."""
        while True:
            await asyncio.sleep(FORGET_INTERVAL_S)
            present = {member.daemon for member in members.peers()}
            self.attempts.prune_departed_entries(present | {self.daemon})

    async def _admitted(
        self,
        attempt: Attempt,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
    ) -> AsyncIterator[peer_pb2.CallReply]:
        age_ms = _age_ms(head)
        deadline = Deadline.after_ms(head.time_left_ms - age_ms)
        send_deadline = Deadline.after_ms(head.send_left_ms - age_ms)
        settings = self._feed.tree.effective_settings(
            head.service, self._data_centre, head.endpoint
        )
        try:
            self._check_settings(head, settings)
            if send_deadline.has_passed():
                raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DEADLINE)
            target = self._available(head)
            transmission = Transmission(attempt, send_deadline, deadline)
            with self._health.admit_attempt(target, settings, head):
                async with hold_slot(target, settings, transmission, head):
                    self._available(head)
                    running = self._run(target, settings, head, body, transmission)
                    async with aclosing(running) as replies:
                        async for reply in replies:
                            yield reply
        except AttemptRefused as refusal:
            yield self._with_load(head, refusal.reply)

    def _with_load(
        self, head: peer_pb2.CallHead, reply: peer_pb2.CallReply
    ) -> peer_pb2.CallReply:
        """Add the load of the target, so that the entry hears its verdict."""
        target = self._targets.get(head.service, head.endpoint)
        if target is not None:
            reply.load.CopyFrom(target.load())
        return reply

    def _check_settings(
        self, head: peer_pb2.CallHead, settings: EffectiveSettings
    ) -> None:
        """Check that the settings may still be in force.

        :raises AttemptRefused: they may not, and the call must not run twice.
        """
        may_run = head.idempotent or settings.serve_when_stale
        if not may_run and self._feed.is_stale():
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_STALE_SETTINGS, STALE_RETRY_AFTER_MS
            )

    def _keep_early(
        self, attempt: Attempt, head: peer_pb2.CallHead, reply: peer_pb2.CallReply
    ) -> None:
        """Let the attempt be settled before the entry has taken its last reply."""
        if reply.end or reply.HasField("not_run") or reply.HasField("unknown"):
            self.attempts.end(attempt, _kept_reply(head, reply))

    def _available(self, head: peer_pb2.CallHead) -> LocalTarget:
        """Return the target of an attempt.

        :raises AttemptRefused: it is gone or takes no new work.
        """
        if self.draining:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        target = self._targets.get(head.service, head.endpoint)
        if target is None:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_TARGET_GONE)
        if target.state == peer_pb2.TARGET_STATE_DRAINING:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        return target

    async def _run(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
        transmission: Transmission,
    ) -> AsyncIterator[peer_pb2.CallReply]:
        limit = asyncio.timeout(transmission.deadline.left_s())
        attempt_monitor = self._health.monitor_attempt(
            target, settings, head, transmission.deadline
        )
        try:
            async with (
                limit,
                self._request(target, head, body, transmission) as response,
            ):
                self._check_answer(target, settings, head, response, attempt_monitor)
                attempt_monitor.record_response(failed=response.status >= SERVER_ERROR)
                async with aclosing(
                    iter_replies(target, settings, head.method, response)
                ) as replies:
                    async for reply in replies:
                        yield reply
        except aiohttp.ClientConnectorError:
            attempt_monitor.record_connection_failure()
            if transmission.attempt.state is AttemptState.WAITING:
                raise AttemptRefused(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED) from None
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST, target.load())
        except TimeoutError:
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_DEADLINE, target.load())
        except aiohttp.ClientPayloadError:
            attempt_monitor.record_connection_failure()
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_CUT_SHORT, target.load())
        except BodyIncomplete:
            attempt_monitor.discard()
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_CUT_SHORT)
        except AnswerMismatched as error:
            attempt_monitor.record_connection_failure()
            self._metrics.count("answers_mismatched", f'service="{target.service}"')
            get_logger().warning("answer mismatched", reason=str(error))
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_MISMATCHED, target.load())
        except AnswerUnframed:
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_UNFRAMED, target.load())
        except (aiohttp.ClientError, AttemptSentTwice):
            attempt_monitor.record_connection_failure(transmission.reused)
            yield unknown_reply(peer_pb2.UNKNOWN_REASON_CONNECTION_LOST, target.load())
        finally:
            attempt_monitor.end()

    def _check_answer(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        response: aiohttp.ClientResponse,
        attempt_monitor: AttemptMonitor,
    ) -> None:
        """Check that the head of an answer is the target's answer to this attempt.

        :raises AttemptRefused: the target says that it did not run the attempt.
        :raises AnswerMismatched: the answer belongs to another request.
        """
        names = self._names
        if names.echoes_request_id:
            echoed = response.headers.get(names.request_id, "")
            if echoed != head.request_id:
                raise AnswerMismatched(str(response.url), head.request_id, echoed)
        if names.expected_endpoint and response.status == MISDIRECTED:
            attempt_monitor.discard()
            self._targets.withdraw(target.service, target.endpoint)
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_MISDIRECTED)
        not_run = names.not_run and names.not_run in response.headers
        if not_run or response.status in settings.shed:
            attempt_monitor.discard()
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_SHED)

    def _request(
        self,
        target: LocalTarget,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
        transmission: Transmission,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        url = URL(f"http://{target.address}{head.path_and_query}", encoded=True)
        headers = CIMultiDict((header.name, header.value) for header in head.headers)
        headers[self._names.target_time_left] = str(transmission.deadline.left_ms())
        if self._names.expected_endpoint:
            headers[self._names.expected_endpoint] = head.endpoint
        return send_once(
            self._session,
            transmission,
            head.method,
            url,
            headers=headers,
            data=body or None,
        )


def _age_ms(head: peer_pb2.CallHead) -> float:
    """Return how long a message was on its way at most; 0 if that is unknown."""
    if not head.guard_time_us:
        return 0
    return max(0, boottime_us() - head.guard_time_us) / 1000


def _stamped(reply: peer_pb2.CallReply) -> peer_pb2.CallReply:
    reply.guard_time_us = boottime_us()
    return reply


def _kept_reply(
    head: peer_pb2.CallHead, reply: peer_pb2.CallReply | None
) -> peer_pb2.CallReply | None:
    """Return what settles an attempt: its refusal, or a whole answer."""
    if reply is None or reply.HasField("not_run"):
        return reply
    whole = reply.end and reply.HasField("head")
    return reply if whole and not head.idempotent else None
