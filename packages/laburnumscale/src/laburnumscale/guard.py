"""Guard.

Forwards attempts to the targets on the daemon's own host.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import (
    AbstractAsyncContextManager,
    AbstractContextManager,
    aclosing,
    contextmanager,
    nullcontext,
)
from functools import partial

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from laburnumscale.attemptmonitor import AttemptMonitor
from laburnumscale.attemptruns import AttemptRun, AttemptRuns
from laburnumscale.attempttable import Attempt, AttemptState, AttemptTable
from laburnumscale.callfingerprint import call_fingerprint
from laburnumscale.daemonsettings import DEFAULT_ANSWER_LIMIT_BYTES
from laburnumscale.deadlines import MS_PER_S, Deadline, now_s
from laburnumscale.drainstate import DrainState
from laburnumscale.errors import (
    AnswerMismatched,
    AnswerStatusInvalid,
    AnswerTooLarge,
    AnswerUnframed,
    AttemptSentTwice,
    BodyIncomplete,
    WorkCutOff,
)
from laburnumscale.failurereplies import (
    AttemptRefused,
    QueueRefused,
    is_last_reply,
    refused_reply,
    unknown_reply,
)
from laburnumscale.guardclocks import boottime_us
from laburnumscale.headernames import HeaderNames
from laburnumscale.health import TargetHealth
from laburnumscale.inflight import InFlightCounter
from laburnumscale.joinedanswers import JoinedAnswer
from laburnumscale.localtarget import LocalTarget
from laburnumscale.logs import get_logger
from laburnumscale.members import Members
from laburnumscale.memory import (
    BODY_COPIES,
    FREE_BYTES,
    GUARD_CALL_BYTES,
    GUARD_UPLOAD_BYTES,
    MEMORY_RETRY_AFTER_MS,
    MemoryBudget,
    Purpose,
    TargetResponseRoom,
    guard_head_bytes,
)
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import is_response_status
from laburnumscale.overload import AccountLabels
from laburnumscale.quarantine import Quarantine
from laburnumscale.settingsfeed import SettingsFeed
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slots import hold_slot
from laburnumscale.targetends import TargetEnds
from laburnumscale.targetlimit import parse_rate
from laburnumscale.targetregistry import TargetRegistry
from laburnumscale.targetresponses import iter_replies
from laburnumscale.transmission import Transmission, send_once
from laburnumscale.untakenanswers import UntakenAnswers
from laburnumscale_schema import peer_pb2

__all__ = ["Guard"]

STALE_RETRY_AFTER_MS = 5000
PRUNE_INTERVAL_S = 10
NOTHING_HELD = nullcontext()
SERVER_ERROR = 500
MISDIRECTED_REQUEST = 421


class Guard:
    """Runs attempts at the targets on the host of this daemon.

    :param own: membership entry of this daemon.
    :ivar attempts: the attempts received from entries, kept for settling.
    :ivar in_flight: counter of the attempts in progress.
    :ivar drain_state: whether and until when attempts are run.
    :ivar quarantine: the calls that are refused because their targets ended.
    :ivar runs: the runs in progress of the attempts of other daemons.
    :ivar untaken_answers: the ended runs whose answers their entries may still fetch.
    :ivar answer_limit_bytes: maximum size of the body of a target's response.
    :ivar memory: memory for bodies and responses.
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
        header_names: HeaderNames,
    ) -> None:
        self._header_names = header_names
        self.daemon = own.daemon
        self.attempts = attempts
        self.in_flight = InFlightCounter()
        self.drain_state = DrainState()
        self.memory = MemoryBudget()
        self.answer_limit_bytes = DEFAULT_ANSWER_LIMIT_BYTES
        self._data_centre = own.data_centre
        self._targets = targets
        self._feed = feed
        self._health = health
        self._session = session
        self._metrics = metrics
        self.quarantine = Quarantine(metrics)
        self.runs = AttemptRuns()
        self.untaken_answers = UntakenAnswers()
        self._target_ends = TargetEnds()
        self._account_labels = AccountLabels()

    async def run_attempt(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Run one attempt and yield its reply messages.

        :param head: head of the request, with the attempt ID and the remaining time.
        :param body: the request body, complete or as a stream.
        """
        try:
            attempt = self.attempts.admit(head)
        except AttemptRefused as refusal:
            self._metrics.count("attempts_fenced")
            yield _with_guard_time(refusal.reply)
            return
        async with aclosing(self._run_recorded(attempt, head, body)) as replies:
            async for reply in replies:
                yield _with_guard_time(reply)

    async def serve_attempt(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Yield the replies of an attempt of another daemon, which is run only once.

        The run goes on after the end of the stream if its entry asks for that.

        :param head: as for :meth:`run_attempt`.
        :param body: as for :meth:`run_attempt`.
        """
        if not head.outlives_stream:
            replies = self.run_attempt(head, body)
        else:
            try:
                replies = self._find_or_start_run(head, body).stream()
            except AttemptRefused as refusal:
                self._metrics.count("attempts_fenced")
                yield _with_guard_time(refusal.reply)
                return
        async with aclosing(replies):
            async for reply in replies:
                yield _with_guard_time(reply)

    def _find_or_start_run(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> AttemptRun:
        """Return the run of an attempt, which is started unless the guard knows it.

        :raises AttemptRefused: the attempt may not run, or no stream can attach to it.
        """
        attempt = self.attempts.find(head.attempt)
        if attempt is None:
            attempt = self.attempts.admit(head)
            replies = self._run_recorded(attempt, head, body)
            attempt.run = self.runs.start(head.attempt, replies)
            attempt.run.on_end(lambda run: self._record_run_end(attempt, run))
            return attempt.run
        if attempt.run is None or not attempt.run.can_attach:
            self.untaken_answers.remove(attempt)
            raise AttemptRefused(attempt.repeat_reply())
        self._metrics.count("attempts_attached")
        return attempt.run

    def _record_run_end(self, attempt: Attempt, run: AttemptRun) -> None:
        self.attempts.end_run(attempt)
        if not (run.is_taken or attempt.is_cancelled):
            self.untaken_answers.add(attempt)

    async def wait_until_idle(self, deadline: Deadline) -> bool:
        """Wait until no attempt is in flight and no answer is left to be taken.

        :returns: whether all attempts ended before the deadline.
        """
        have_ended = await self.in_flight.wait_until_idle(deadline)
        await self.runs.wait_until_ended(deadline)
        await self.untaken_answers.wait_until_taken(deadline)
        return have_ended

    async def _run_recorded(
        self,
        attempt: Attempt,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
    ) -> AsyncIterator[peer_pb2.CallReply]:
        """Run an admitted attempt and record its end."""
        last_reply = None
        answer = JoinedAnswer(_is_answer_needed(head))
        admitted_at_s = now_s()
        with self.in_flight.track():
            try:
                async with aclosing(
                    self._run_admitted_attempt(attempt, head, body)
                ) as replies:
                    async for reply in replies:
                        last_reply = answer.add(reply)
                        self._record_final_reply(attempt, head, last_reply)
                        yield reply
            finally:
                if attempt.state is AttemptState.SENT:
                    _log_cut(attempt, head, admitted_at_s, last_reply is not None)
                self._store_reply(attempt, head, last_reply)

    def refuse_waiting_attempts(self) -> None:
        """Refuse the attempts that wait for a slot; they can run elsewhere."""
        self._targets.evict_waiting(
            lambda: AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        )

    async def prune_attempts(self, members: Members) -> None:
        """Prune the recorded attempts of departed entries, until cancelled."""
        while True:
            await asyncio.sleep(PRUNE_INTERVAL_S)
            present = {member.daemon for member in members.peers()}
            self.attempts.prune_departed_entries(present | {self.daemon})

    async def _run_admitted_attempt(
        self,
        attempt: Attempt,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
    ) -> AsyncIterator[peer_pb2.CallReply]:
        age_ms = _message_age_ms(head)
        deadline = self.drain_state.limit(Deadline.after_ms(head.time_left_ms - age_ms))
        send_deadline = Deadline.after_ms(head.send_left_ms - age_ms)
        settings = self._feed.tree.effective_settings(
            head.service, self._data_centre, head.endpoint
        )
        try:
            self._refuse_if_stale(head, settings)
            if send_deadline.has_passed():
                raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DEADLINE)
            self._refuse_if_quarantined(head, body)
            self._adopt_notice(head)
            target = self._get_available_target(head)
            id_header = self._header_names.response_id
            transmission = Transmission(
                attempt,
                send_deadline,
                deadline,
                path_and_query=head.path_and_query,
                request_id=head.request_id if id_header else "",
                id_header=id_header,
            )
            with (
                self._hold_memory(Purpose.CALLS, GUARD_CALL_BYTES),
                self._hold_head_memory(head),
                self._hold_body_memory(body),
                self._hold_limited_call(target, attempt),
                self._health.admit_attempt(target, settings, head),
            ):
                async with (
                    self.drain_state.cut_off_scope(),
                    hold_slot(target, settings, transmission, head),
                ):
                    self._get_available_target(head)
                    self._refuse_if_quarantined(head, body)
                    self._count_by_account(head, "started")
                    reply_stream = self._send_to_target(
                        target, settings, head, body, transmission
                    )
                    async with aclosing(reply_stream) as replies:
                        async for reply in replies:
                            yield reply
            return
        except AttemptRefused as refusal:
            if isinstance(refusal, QueueRefused):
                self._record_queue_refusal(head, refusal)
            refusal_reply = self._with_load_report(head, refusal.reply)
        except WorkCutOff:
            refusal_reply = _cut_off_reply(attempt)
        # Out of the handler, as the traceback would keep the call if the stream ends.
        yield refusal_reply

    def _hold_head_memory(
        self, head: peer_pb2.CallHead
    ) -> AbstractContextManager[None]:
        """Hold memory for the header section of an attempt, unless it is short."""
        size_bytes = guard_head_bytes(head.ByteSize(), len(head.headers))
        if not size_bytes:
            return NOTHING_HELD
        return self._hold_memory(Purpose.HEADS, size_bytes)

    def _hold_body_memory(
        self, body: bytes | AsyncIterator[bytes]
    ) -> AbstractContextManager[None]:
        """Hold memory for the body of an attempt, unless it is small."""
        if not isinstance(body, bytes):
            return self._hold_memory(Purpose.UPLOADS, GUARD_UPLOAD_BYTES)
        if len(body) <= FREE_BYTES:
            return NOTHING_HELD
        return self._hold_memory(Purpose.BODIES, BODY_COPIES * len(body))

    @contextmanager
    def _hold_memory(self, purpose: Purpose, size_bytes: int) -> Iterator[None]:
        """Hold memory while an attempt runs.

        It is reserved for an attempt on record, so that the refusal also holds for all
        copies of the attempt.

        :raises AttemptRefused: there is no room.
        """
        if not self.memory.reserve(purpose, size_bytes):
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_OUT_OF_MEMORY, MEMORY_RETRY_AFTER_MS
            )
        try:
            yield
        finally:
            self.memory.release(purpose, size_bytes)

    @contextmanager
    def _hold_limited_call(
        self, target: LocalTarget, attempt: Attempt
    ) -> Iterator[None]:
        """Reserve one call within the limit that the target names.

        :raises AttemptRefused: the limit allows no call now.
        """
        if not target.limit.try_acquire():
            self._metrics.count("refused_over_limit", f'service="{target.service}"')
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_OVERLOADED, target.limit.retry_after_ms()
            )
        try:
            yield
        finally:
            if not attempt.is_sent:
                target.limit.release()

    def _record_queue_refusal(
        self, head: peer_pb2.CallHead, refusal: QueueRefused
    ) -> None:
        labels = f'service="{head.service}",cause="{refusal.cause}"'
        self._metrics.count("queue_refusals", labels)
        self._count_by_account(head, "refused")

    def _count_by_account(self, head: peer_pb2.CallHead, result: str) -> None:
        """Count an attempt of an account; the number of labels is bounded."""
        if head.account:
            account = self._account_labels.label(head.account)
            labels = f'account="{account}",result="{result}"'
            self._metrics.count("account_attempts", labels)

    def _with_load_report(
        self, head: peer_pb2.CallHead, reply: peer_pb2.CallReply
    ) -> peer_pb2.CallReply:
        """Add the load report, which includes the guard's verdict on the target."""
        target = self._targets.get(head.service, head.endpoint)
        if target is not None:
            reply.load.CopyFrom(target.load(head.route))
        return reply

    def _refuse_if_stale(
        self, head: peer_pb2.CallHead, settings: EffectiveSettings
    ) -> None:
        """Refuse an attempt if the settings are too old for it.

        :raises AttemptRefused: the settings are stale, the call is not idempotent, and
            its settings do not allow serving when stale.
        """
        may_be_stale = head.idempotent or settings.serve_when_stale
        if not may_be_stale and self._feed.is_stale():
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_STALE_SETTINGS, STALE_RETRY_AFTER_MS
            )

    def _refuse_if_quarantined(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> None:
        """Refuse an attempt of a call under which several targets have ended.

        :raises AttemptRefused: the call is quarantined.
        """
        if self.quarantine.is_empty:
            return
        refused_for_ms = self.quarantine.refused_for_ms(self._fingerprint(head, body))
        if refused_for_ms:
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_QUARANTINED, retry_after_ms=refused_for_ms
            )

    def _fingerprint(
        self, head: peer_pb2.CallHead, body: bytes | AsyncIterator[bytes]
    ) -> bytes:
        return call_fingerprint(head, body, self._header_names.caller_service)

    async def _lost_reply(
        self,
        reason: int,
        target: LocalTarget,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
    ) -> peer_pb2.CallReply:
        """Return the reply to an attempt whose connection broke.

        If the target has ended, the call is recorded as suspect.
        """
        target_end = await self._target_ends.find_end(target)
        reply = unknown_reply(reason, target.load(head.route))
        if target_end:
            get_logger().warning(
                "target ended while it ran a call",
                request_id=head.request_id,
                service=target.service,
                endpoint=target.endpoint,
                target_end=f"{target_end:x}",
            )
            suspect = self.quarantine.record_target_end(
                self._fingerprint(head, body), target_end, head
            )
            reply.unknown.suspect.CopyFrom(suspect.message())
        return reply

    def _record_final_reply(
        self, attempt: Attempt, head: peer_pb2.CallHead, reply: peer_pb2.CallReply
    ) -> None:
        """Record the end of the attempt before the entry reads its last reply."""
        if is_last_reply(reply):
            self._store_reply(attempt, head, reply)

    def _store_reply(
        self,
        attempt: Attempt,
        head: peer_pb2.CallHead,
        reply: peer_pb2.CallReply | None,
    ) -> None:
        self.attempts.end(attempt, _cacheable_reply(head, reply), head.idempotent)

    def _get_available_target(self, head: peer_pb2.CallHead) -> LocalTarget:
        """Return the target of an attempt.

        :raises AttemptRefused: the target is gone, or the target or this daemon is
            draining.
        """
        if not self.drain_state.accepts_work:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        target = self._targets.get(head.service, head.endpoint)
        if target is None:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_TARGET_GONE)
        if target.state == peer_pb2.TARGET_STATE_DRAINING:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_DRAINING)
        return target

    async def _send_to_target(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
        transmission: Transmission,
    ) -> AsyncIterator[peer_pb2.CallReply]:
        response_timeout = asyncio.timeout(transmission.deadline.left_s())
        attempt_monitor = self._health.monitor_attempt(
            target, settings, head, transmission.deadline
        )
        sent_at_s = now_s()
        room = TargetResponseRoom(self.memory, transmission.deadline)
        try:
            async with (
                response_timeout,
                self._send_request(target, head, body, transmission) as response,
            ):
                self._report_skipped(target, head, transmission)
                self._record_notices(target, response, sent_at_s)
                self._check_response(target, settings, head, response, attempt_monitor)
                attempt_monitor.record_response(failed=response.status >= SERVER_ERROR)
                async with aclosing(
                    iter_replies(
                        target,
                        settings,
                        head,
                        response,
                        self.answer_limit_bytes,
                        room.wait,
                    )
                ) as replies:
                    async for reply in replies:
                        yield reply
        except aiohttp.ClientConnectorError:
            attempt_monitor.record_connection_failure()
            if transmission.attempt.state is AttemptState.WAITING:
                raise AttemptRefused(peer_pb2.NOT_RUN_REASON_NOT_CONNECTED) from None
            # aiohttp has tried a second connection after the first one broke.
            yield await self._lost_reply(
                peer_pb2.UNKNOWN_REASON_CONNECTION_LOST, target, head, body
            )
        except TimeoutError:
            yield unknown_reply(
                peer_pb2.UNKNOWN_REASON_DEADLINE, target.load(head.route)
            )
        except aiohttp.ClientPayloadError:
            attempt_monitor.record_connection_failure()
            yield await self._lost_reply(
                peer_pb2.UNKNOWN_REASON_CUT_SHORT, target, head, body
            )
        except BodyIncomplete:
            attempt_monitor.discard()
            yield _incomplete_reply(transmission.attempt)
        except (AnswerMismatched, AnswerStatusInvalid, AnswerTooLarge) as error:
            attempt_monitor.record_connection_failure()
            reason = self._report_rejected_answer(target, error)
            yield unknown_reply(reason, target.load(head.route))
        except AnswerUnframed:
            yield unknown_reply(
                peer_pb2.UNKNOWN_REASON_UNFRAMED, target.load(head.route)
            )
        except (aiohttp.ClientError, AttemptSentTwice):
            attempt_monitor.record_connection_failure(transmission.reused)
            yield await self._lost_reply(
                peer_pb2.UNKNOWN_REASON_CONNECTION_LOST, target, head, body
            )
        finally:
            room.release()
            attempt_monitor.end()

    def _report_skipped(
        self, target: LocalTarget, head: peer_pb2.CallHead, transmission: Transmission
    ) -> None:
        """Count and log extra responses that came before that of an attempt."""
        if not transmission.skipped:
            return
        labels = f'service="{target.service}"'
        self._metrics.count("answers_skipped", labels, amount=transmission.skipped)
        get_logger().warning(
            "extra responses skipped",
            request_id=head.request_id,
            endpoint=target.endpoint,
            skipped=transmission.skipped,
        )

    def _report_rejected_answer(
        self,
        target: LocalTarget,
        error: AnswerMismatched | AnswerStatusInvalid | AnswerTooLarge,
    ) -> int:
        """Count and log a response that is not forwarded.

        :returns: the reason why the outcome of the attempt is unknown.
        """
        labels = f'service="{target.service}"'
        if isinstance(error, AnswerTooLarge):
            self._metrics.count("answers_too_large", labels)
            get_logger().warning("response too large", reason=str(error))
            return peer_pb2.UNKNOWN_REASON_CUT_SHORT
        if isinstance(error, AnswerStatusInvalid):
            self._metrics.count("answers_with_invalid_status", labels)
            get_logger().warning("response with invalid status", reason=str(error))
            return peer_pb2.UNKNOWN_REASON_INVALID_STATUS
        self._metrics.count("answers_mismatched", labels)
        get_logger().warning("response does not match request", reason=str(error))
        return peer_pb2.UNKNOWN_REASON_MISMATCHED

    def _record_notices(
        self, target: LocalTarget, response: aiohttp.ClientResponse, sent_at_s: float
    ) -> None:
        """Record what a target says of itself in a response.

        :param sent_at_s: time since boot at which the request was sent.
        """
        header_names = self._header_names
        if header_names.leaving and header_names.leaving in response.headers:
            self._targets.record_leaving(target)
        if not header_names.rate_limit:
            return
        text = response.headers.get(header_names.rate_limit, "")
        if target.record_rate(parse_rate(text), sent_at_s):
            _log_limit(target)
            self._targets.publish_endpoints()

    def _adopt_notice(self, head: peer_pb2.CallHead) -> None:
        """Take over what the entry was told of this process of the target."""
        if not head.HasField("notice"):
            return
        notice = head.notice
        target = self._targets.get(head.service, head.endpoint)
        if target is None or notice.started_at_unix_ms != target.started_at_unix_ms:
            return
        if notice.leaving:
            self._targets.record_leaving(target)
        if notice.HasField("calls_per_s") and target.limit.adopt(notice.calls_per_s):
            _log_limit(target)

    def _check_response(
        self,
        target: LocalTarget,
        settings: EffectiveSettings,
        head: peer_pb2.CallHead,
        response: aiohttp.ClientResponse,
        attempt_monitor: AttemptMonitor,
    ) -> None:
        """Check that a response belongs to this attempt and that the target ran it.

        :raises AttemptRefused: the response states that the attempt was not run.
        :raises AnswerMismatched: the response belongs to another request.
        :raises AnswerStatusInvalid: no response can have its status.
        """
        if not is_response_status(response.status):
            raise AnswerStatusInvalid(str(response.url), response.status)
        header_names = self._header_names
        if header_names.echoes_request_id:
            echoed = response.headers.get(header_names.request_id, "")
            if echoed != head.request_id:
                raise AnswerMismatched(str(response.url), head.request_id, echoed)
        if header_names.expected_endpoint and response.status == MISDIRECTED_REQUEST:
            attempt_monitor.discard()
            self._targets.withdraw(target.service, target.endpoint)
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_MISDIRECTED)
        not_run = header_names.not_run and header_names.not_run in response.headers
        if not_run or response.status in settings.shed:
            attempt_monitor.discard()
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_SHED)

    def _send_request(
        self,
        target: LocalTarget,
        head: peer_pb2.CallHead,
        body: bytes | AsyncIterator[bytes],
        transmission: Transmission,
    ) -> AbstractAsyncContextManager[aiohttp.ClientResponse]:
        url = URL(f"http://{target.address}{head.path_and_query}", encoded=True)
        headers = CIMultiDict((header.name, header.value) for header in head.headers)
        headers[self._header_names.target_time_left] = str(
            transmission.deadline.left_ms()
        )
        if self._header_names.expected_endpoint:
            headers[self._header_names.expected_endpoint] = head.endpoint
        send = partial(
            send_once, self._session, transmission, head.method, url, headers=headers
        )
        if isinstance(body, bytes):
            return send(data=body or None)
        return _SendUpload(lambda data: send(data=data), body)


class _SendUpload(AbstractAsyncContextManager):
    """The sending of a request with a streamed body.

    aiohttp reports an error of the body as one of the connection, for which the target
    would be blamed.

    :param send: sends the request with the body that it gets.
    """

    def __init__(
        self,
        send: Callable[[AsyncIterator[bytes]], AbstractAsyncContextManager],
        body: AsyncIterator[bytes],
    ) -> None:
        self._body = body
        self._error: BodyIncomplete | None = None
        self._exchange = send(self._read())

    async def __aenter__(self) -> aiohttp.ClientResponse:
        try:
            return await self._exchange.__aenter__()
        except aiohttp.ClientError:
            self._raise_body_error()
            raise

    async def __aexit__(self, kind, error, traceback) -> None:
        await self._exchange.__aexit__(kind, error, traceback)
        if isinstance(error, aiohttp.ClientError):
            self._raise_body_error()

    def _raise_body_error(self) -> None:
        if self._error is not None:
            raise self._error

    async def _read(self) -> AsyncIterator[bytes]:
        try:
            async for part in self._body:
                yield part
        except BodyIncomplete as error:
            self._error = error
            raise


def _incomplete_reply(attempt: Attempt) -> peer_pb2.CallReply:
    """Return the reply to an attempt whose body will not be complete.

    A target may act on the part that it has got, so the outcome is unknown from the
    moment at which the first byte of the request may have been sent.
    """
    if attempt.state is AttemptState.WAITING:
        return refused_reply(peer_pb2.NOT_RUN_REASON_BAD_REQUEST)
    return unknown_reply(peer_pb2.UNKNOWN_REASON_CUT_SHORT)


def _log_limit(target: LocalTarget) -> None:
    get_logger().info(
        "target limit changed",
        service=target.service,
        endpoint=target.endpoint,
        calls_per_s=target.limit.calls_per_s,
    )


def _log_cut(
    attempt: Attempt,
    head: peer_pb2.CallHead,
    admitted_at_s: float,
    has_replied: bool,
) -> None:
    """Log that an attempt ended before the complete answer of its target."""
    get_logger().info(
        "attempt cut at its target",
        request_id=head.request_id,
        endpoint=head.endpoint,
        entry=head.attempt.entry,
        sequence=head.attempt.sequence,
        admitted_ms=round((now_s() - admitted_at_s) * MS_PER_S),
        time_left_ms=head.time_left_ms,
        has_replied=has_replied,
        ended_by_entry=attempt.is_cancelled,
    )


def _message_age_ms(head: peer_pb2.CallHead) -> float:
    """Return an upper bound on the age of a message; 0 if the age is unknown."""
    if not head.guard_time_us:
        return 0
    return max(0, boottime_us() - head.guard_time_us) / 1000


def _with_guard_time(reply: peer_pb2.CallReply) -> peer_pb2.CallReply:
    reply.guard_time_us = boottime_us()
    return reply


def _cut_off_reply(attempt: Attempt) -> peer_pb2.CallReply:
    if attempt.is_sent:
        return unknown_reply(peer_pb2.UNKNOWN_REASON_DRAINING)
    return refused_reply(peer_pb2.NOT_RUN_REASON_DRAINING)


def _cacheable_reply(
    head: peer_pb2.CallHead, reply: peer_pb2.CallReply | None
) -> peer_pb2.CallReply | None:
    """Return the reply to cache for settling an attempt, or None.

    It is a refusal, or a complete response in one message.
    """
    if reply is None or reply.HasField("not_run"):
        return reply
    complete = reply.end and reply.HasField("head")
    return reply if complete and _is_answer_needed(head) else None


def _is_answer_needed(head: peer_pb2.CallHead) -> bool:
    """Return whether the entry may ask for the response to an attempt again.

    It does if the call may run only once, or if it may repeat the attempt.
    """
    return head.outlives_stream or not head.idempotent
