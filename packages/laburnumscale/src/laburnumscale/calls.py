"""Calls.

Makes the attempts of a call and determines its outcome.
"""

import time
from collections.abc import AsyncIterator

from sanic import HTTPResponse

from laburnumscale.answersizes import AnswerSizes
from laburnumscale.attemptclient import AttemptClient, AttemptRequest
from laburnumscale.callerresponses import buffered_response, stream_response
from laburnumscale.callfingerprint import call_fingerprint
from laburnumscale.callstate import (
    MIN_RETRY_TIME_MS,
    AttemptSummary,
    Call,
    is_exempt,
)
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import MS_PER_S
from laburnumscale.drainstate import DrainState
from laburnumscale.failurereplies import DEFAULT_RETRY_AFTER_MS, failure_outcome
from laburnumscale.headernames import HeaderNames
from laburnumscale.inflight import InFlightCounter
from laburnumscale.members import EndpointView
from laburnumscale.memory import MEMORY_RETRY_AFTER_MS, AnswerRoom, MemoryBudget
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import (
    Answered,
    NotRun,
    Outcome,
    Unknown,
    outcome_name,
    promises_not_run,
    reason_name,
)
from laburnumscale.problems import problem_response
from laburnumscale.quarantine import Quarantine
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.routing import Router
from laburnumscale_schema import peer_pb2

__all__ = ["CallRunner"]

SERVER_ERROR = 500
US_PER_MS = 1000


class CallRunner:
    """Runs calls by making attempts at endpoints, with retries.

    :param names: names of the header fields for callers and targets.
    :param caller_service: service that the callers of this daemon belong to.
    :ivar caller_service: the same, which may change.
    :ivar in_flight: the calls in progress.
    :ivar quarantine: the calls that are refused because their targets ended.
    :ivar memory: memory for bodies and responses.
    :ivar drain_state: by when calls must have ended, if the daemon drains.
    """

    def __init__(
        self,
        attempt_client: AttemptClient,
        router: Router,
        metrics: Metrics,
        budget: RetryBudget,
        names: HeaderNames,
        caller_service: str = "",
    ) -> None:
        self.in_flight = InFlightCounter()
        self.drain_state = DrainState()
        self.memory = MemoryBudget()
        self._answer_sizes = AnswerSizes()
        self._attempt_client = attempt_client
        self._router = router
        self._metrics = metrics
        self.quarantine = Quarantine(metrics)
        self._budget = budget
        self._names = names
        self._daemon_header_names = names.set_by_daemons()
        self._account_header_names = names.account_fields()
        self.caller_service = caller_service

    def apply_settings(self, settings: DaemonSettings) -> None:
        """Apply the settings that may change while the daemon runs."""
        self.caller_service = settings.caller_service

    def expected_ms(self, service: str, route_hash: int) -> float:
        """Return the median time in which targets answer the calls of a route.

        It is 0 if this daemon knows the times of too few targets.
        """
        return self._router.median_latency_us(service, route_hash) / US_PER_MS

    async def run(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        """Make attempts until the outcome of the call is determined.

        :returns: the outcome, and the response unless it was already streamed.
        """
        with self.in_flight.track():
            percent = call.settings.retry_budget_percent
            self._budget.add_call(call.service, percent)
            outcome, response = await self._run_with_memory(call)
            self._release_reserved_retry(call)
        if isinstance(outcome, Answered) or call.answer_started:
            return outcome, response
        # If any attempt may have run, a refusal of the others must not be reported.
        outcome = call.last_unknown or outcome
        return outcome, problem_response(outcome, call.request_id, names=self._names)

    async def _run_with_memory(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        """Run a call once there is memory for an answer of average size."""
        call.answer_room = AnswerRoom(self.memory, call.deadline)
        try:
            average_bytes = self._answer_sizes.average_bytes(call.route_hash)
            if await call.answer_room.admit(average_bytes):
                return await self._run_unless_quarantined(call)
        finally:
            call.answer_room.release()
        reason = peer_pb2.NOT_RUN_REASON_OUT_OF_MEMORY
        return NotRun(reason, MEMORY_RETRY_AFTER_MS), None

    async def _run_unless_quarantined(
        self, call: Call
    ) -> tuple[Outcome, HTTPResponse | None]:
        refused_for_ms = 0
        if not self.quarantine.is_empty:
            refused_for_ms = self.quarantine.refused_for_ms(self._fingerprint(call))
        if refused_for_ms:
            self._metrics.count("calls_quarantined", f'service="{call.service}"')
            return NotRun(peer_pb2.NOT_RUN_REASON_QUARANTINED, refused_for_ms), None
        outcome, response = await self._try_targets(call)
        if not self.quarantine.is_empty and _is_good_answer(outcome):
            self.quarantine.record_answer(self._fingerprint(call))
        return outcome, response

    def _fingerprint(self, call: Call) -> bytes:
        """Return the fingerprint of a call, as the guards of its targets compute it."""
        if not call.fingerprint:
            head = peer_pb2.CallHead(
                service=call.service,
                method=call.request.method,
                path_and_query=call.path_and_query,
                headers=self._target_headers(call),
                route=call.route_hash,
            )
            name = self._names.caller_service
            call.fingerprint = call_fingerprint(head, call.body, name)
        return call.fingerprint

    def _may_run_again(self, call: Call, outcome: Outcome) -> bool:
        """Return whether a call may be sent to a target after its latest attempt."""
        if not isinstance(outcome, Unknown) or self.quarantine.is_empty:
            return True
        return self.quarantine.allows_retry(self._fingerprint(call))

    async def _try_targets(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        outcome: Outcome = NotRun(
            peer_pb2.NOT_RUN_REASON_NO_TARGET, DEFAULT_RETRY_AFTER_MS
        )
        answer: tuple[Outcome, HTTPResponse | None] | None = None
        call.deadline = self.drain_state.limit(call.deadline)
        while (view := self._pick_endpoint(call)) is not None:
            call.tried_endpoints.add(view.endpoint)
            started_at_s = time.monotonic()
            call.may_have_run = True
            outcome, response = await self._attempt(call, view)
            elapsed_ms = round((time.monotonic() - started_at_s) * MS_PER_S)
            result = f"{outcome_name(outcome)} {reason_name(outcome)}"
            call.attempt_summaries.append(
                AttemptSummary(view.endpoint, view.daemon, result, elapsed_ms)
            )
            if call.failover_result is not None:
                return call.failover_result
            if isinstance(outcome, Answered):
                failed = response is not None and outcome.status >= SERVER_ERROR
                if not (failed and call.may_retry_server_error()):
                    return outcome, response
                answer = outcome, response
                call.has_run = call.has_run or not promises_not_run(outcome.status)
            call.record_outcome(outcome, view.endpoint)
            call.stop_reason = self._charge_next_attempt(call, outcome)
            if call.stop_reason:
                break
            call.deadline = self.drain_state.limit(call.deadline)
        else:
            call.stop_reason = "no endpoint left"
        if answer is None or _is_refuted(answer[0], call):
            return outcome, None
        return answer

    def _charge_next_attempt(self, call: Call, outcome: Outcome) -> str:
        """Charge another attempt of a call, and return why it is not allowed.

        :param outcome: outcome of the last attempt.
        """
        if obstacle := call.retry_obstacle(outcome):
            return obstacle
        if not self._may_run_again(call, outcome):
            return "quarantined"
        return "" if self._charge_retry(call, outcome) else "retry budget"

    def _charge_retry(self, call: Call, outcome: Outcome) -> bool:
        """Charge a retry to the budget and return whether it is allowed.

        Retries after exempt outcomes are always allowed and are not charged.
        """
        if is_exempt(outcome):
            return True
        allowed = call.retry_reserved or self._budget.acquire_retry(call.service)
        call.retry_reserved = False
        name = "retries" if allowed else "retries_over_budget"
        self._metrics.count(name, f'service="{call.service}"')
        return allowed

    def _reserve_failover(self, call: Call, head: peer_pb2.CallHead) -> bool:
        """Reserve a retry at another endpoint to replace an attempt without a reply.

        A draining daemon does not replace the attempts that it has started, and an
        attempt that could hardly end in time replaces none.

        :param head: head of the attempt without a reply.
        :returns: whether the current attempt may be abandoned.
        """
        median_ms = head.reference_latency_us / US_PER_MS
        if (
            self.drain_state.is_draining
            or call.deadline.left_ms() < max(median_ms, MIN_RETRY_TIME_MS)
            or self._router.pick(
                call.service, call.tried_endpoints, True, route=call.route_hash
            )
            is None
        ):
            return False
        return self._reserve_attempt(call)

    async def _fail_over(self, call: Call, view: EndpointView) -> bool:
        """Make further attempts while the one at ``view`` has no reply yet.

        :returns: whether one of them was answered.
        """
        missing = Unknown(peer_pb2.UNKNOWN_REASON_DEADLINE)
        call.record_outcome(missing, view.endpoint)
        self._charge_retry(call, missing)
        result = await self._try_targets(call)
        if isinstance(result[0], Answered) or call.answer_started:
            call.failover_result = result
        return call.failover_result is not None

    def _reserve_attempt(self, call: Call) -> bool:
        """Reserve one more attempt of a call.

        :returns: whether the retry budget and the limits of the call allow it.
        """
        last = call.counted_attempts + 1 >= call.settings.attempt_limit
        if last or call.at_most_once:
            return False
        if not call.retry_reserved:
            call.retry_reserved = self._budget.acquire_retry(call.service)
        return call.retry_reserved

    def _release_reserved_retry(self, call: Call) -> None:
        """Return a reserved but unused retry to the budget."""
        if call.retry_reserved:
            call.retry_reserved = False
            self._budget.release_retry(call.service)

    def _pick_endpoint(self, call: Call) -> EndpointView | None:
        view = self._pick_in_service(call)
        call.asks_leaving = False
        if call.waits and not call.has_asked_leaving:
            call.has_asked_leaving = True
            leaving = self._router.pick_leaving(
                call.service, call.tried_endpoints, call.avoids_doubt
            )
            call.asks_leaving = leaving is not None
            return leaving or view
        return view

    def _pick_in_service(self, call: Call) -> EndpointView | None:
        view = self._pick_untried(call)
        while view and not call.waits and self._router.load_table.has_queue(view):
            call.record_queue(view.endpoint)
            view = self._pick_untried(call)
        if view is None and call.start_waiting():
            view = self._pick_untried(call)
        if view is None and call.accept_doubt():
            view = self._pick_untried(call)
        return view

    def _pick_untried(self, call: Call) -> EndpointView | None:
        return self._router.pick(
            call.service,
            call.tried_endpoints,
            call.idempotent,
            reserve_trial=lambda: self._reserve_attempt(call),
            route=call.route_hash,
            avoid_doubt=call.avoids_doubt,
            answer_bytes=self._answer_sizes.average_bytes(call.route_hash),
            objective_left_ms=call.objective_left_ms(),
        )

    async def _attempt(
        self, call: Call, view: EndpointView
    ) -> tuple[Outcome, HTTPResponse | None]:
        attempt = self._router.start_attempt(view, call.route_hash, call.at_most_once)
        try:
            request = self._attempt_request(call, view)
            async with self._attempt_client.send(view, request) as (first, rest):
                attempt.record_reply(first)
                outcome = failure_outcome(first)
                if outcome is not None:
                    self._record_suspect(first)
                    return outcome, None
                other_may_have_run = call.has_run or call.last_unknown is not None
                if other_may_have_run and promises_not_run(first.head.status):
                    # Another attempt may have run, whatever this target states.
                    unspecified = Unknown(peer_pb2.UNKNOWN_REASON_UNSPECIFIED)
                    return call.last_unknown or unspecified, None
                if first.end:
                    self._answer_sizes.add(call.route_hash, len(first.body))
                    response = buffered_response(first, call.request_id, self._names)
                    return Answered(first.head.status), response
                call.answer_started = True
                return await self._stream_response(call, first, rest), None
        finally:
            attempt.record_end()

    async def _stream_response(
        self,
        call: Call,
        first: peer_pb2.CallReply,
        rest: AsyncIterator[peer_pb2.CallReply],
    ) -> Outcome:
        """Forward a response of several messages once there is memory for it."""
        if not await call.answer_room.extend():
            call.request.transport.abort()
            return Unknown(peer_pb2.UNKNOWN_REASON_CUT_SHORT)
        measured = self._answer_sizes.measure(call.route_hash, first, rest)
        return await stream_response(
            call.request, call.request_id, first, measured, self._names
        )

    def _record_suspect(self, reply: peer_pb2.CallReply) -> None:
        """Record that a call is suspect if the reply says so."""
        if reply.unknown.HasField("suspect"):
            self.quarantine.merge(reply.unknown.suspect)

    def _attempt_request(self, call: Call, view: EndpointView) -> AttemptRequest:
        head = peer_pb2.CallHead(
            request_id=call.request_id,
            service=call.service,
            endpoint=view.endpoint,
            method=call.request.method,
            path_and_query=call.path_and_query,
            headers=self._target_headers(call),
            idempotent=call.idempotent,
            priority=call.priority,
            no_wait=not call.may_queue,
            objective_left_ms=call.objective_left_ms(),
            route=call.route_hash,
            avoid_doubt=call.is_refused_in_doubt,
            replayable=call.replayable,
            account=call.account,
        )
        self._router.fill_call_head(head, view)
        return AttemptRequest(
            head=head,
            body=call.body,
            send_deadline=call.send_deadline(),
            reply_deadline=call.reply_deadline(),
            deadline=call.deadline,
            settle_if_lost=call.at_most_once,
            reserve_failover=lambda: self._reserve_failover(call, head),
            fail_over=lambda: self._fail_over(call, view),
            answer_started=lambda: call.answer_started,
        )

    def _target_headers(self, call: Call) -> list[peer_pb2.Header]:
        """Return the header fields for the target.

        Fields that daemons set themselves are not copied from the request.
        """
        headers = [
            header
            for header in call.forwarded_headers(self._account_header_names)
            if header.name not in self._daemon_header_names
        ]
        if call.account and self._names.account:
            account = peer_pb2.Header(name=self._names.account, value=call.account)
            headers.append(account)
        if self._names.caller_service:
            name = self._names.caller_service
            value = call.caller_service or self.caller_service
            headers.append(peer_pb2.Header(name=name, value=value))
        return headers


def _is_refuted(answer: Outcome, call: Call) -> bool:
    """Return whether an answer states "not run" of a call that may have run."""
    return (
        isinstance(answer, Answered)
        and call.last_unknown is not None
        and promises_not_run(answer.status)
    )


def _is_good_answer(outcome: Outcome) -> bool:
    return isinstance(outcome, Answered) and outcome.status < SERVER_ERROR
