"""Calls.

Tries targets for the call of a caller and states the outcome.
"""

import time

from sanic import HTTPResponse, Request

from laburnumscale.attempting import Attempter, AttemptRequest
from laburnumscale.callstate import AttemptNote, Call, is_free
from laburnumscale.daemonsettings import DaemonSettings
from laburnumscale.deadlines import MS_PER_S
from laburnumscale.headernames import HeaderNames
from laburnumscale.headers import end_to_end
from laburnumscale.inflight import InFlight
from laburnumscale.members import EndpointView
from laburnumscale.metrics import Metrics
from laburnumscale.outcomes import (
    Answered,
    NotRun,
    Outcome,
    outcome_name,
    reason_name,
)
from laburnumscale.passing import pass_on, whole_response
from laburnumscale.problems import problem
from laburnumscale.replies import RETRY_AFTER_MS, failure
from laburnumscale.retrybudget import RetryBudget
from laburnumscale.routing import Router
from laburnumscale_schema import peer_pb2

__all__ = ["CallRunner"]

SERVER_ERROR = 500


class CallRunner:
    """Makes the attempts of calls.

    :param names: the header fields that callers and targets know.
    :param caller_service: service on whose behalf the callers of this daemon call.
    :ivar in_flight: the calls that are not over.
    :ivar draining: the daemon is about to leave.
    """

    def __init__(
        self,
        attempter: Attempter,
        router: Router,
        metrics: Metrics,
        budget: RetryBudget,
        names: HeaderNames,
        caller_service: str = "",
    ) -> None:
        self.in_flight = InFlight()
        self.draining = False
        self._attempter = attempter
        self._router = router
        self._metrics = metrics
        self._budget = budget
        self._names = names
        self._set_by_daemons = names.set_by_daemons()
        self._caller_service = caller_service

    def apply(self, settings: DaemonSettings) -> None:
        """Take what may change in the settings of a running daemon."""
        self._caller_service = settings.caller_service

    async def run(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        """Try targets until the call has its outcome.

        :returns: the outcome, and the response unless it was already streamed.
        """
        with self.in_flight.one():
            percent = call.settings.retry_budget_percent
            self._budget.add_call(call.service, percent)
            outcome, response = await self._try_targets(call)
            self._give_back(call)
        if isinstance(outcome, Answered) or call.answer_started:
            return outcome, response
        # An attempt that may have run outweighs the refusals of the others.
        outcome = call.lost or outcome
        return outcome, problem(outcome, call.request_id, names=self._names)

    async def _try_targets(self, call: Call) -> tuple[Outcome, HTTPResponse | None]:
        outcome: Outcome = NotRun(peer_pb2.NOT_RUN_REASON_NO_TARGET, RETRY_AFTER_MS)
        answer: tuple[Outcome, HTTPResponse | None] | None = None
        while (view := self._pick_or_wait(call)) is not None:
            call.tried.add(view.endpoint)
            started_at_s = time.monotonic()
            outcome, response = await self._attempt(call, view)
            elapsed_ms = round((time.monotonic() - started_at_s) * MS_PER_S)
            result = f"{outcome_name(outcome)} {reason_name(outcome)}"
            call.notes.append(
                AttemptNote(view.endpoint, view.daemon, result, elapsed_ms)
            )
            if isinstance(outcome, Answered):
                failed = response is not None and outcome.status >= SERVER_ERROR
                if not (failed and call.may_retry_answer()):
                    return outcome, response
                answer = outcome, response
            call.note(outcome, view.endpoint)
            if not call.may_retry(outcome) or not self._pay(call, outcome):
                break
        return answer or (outcome, None)

    def _pay(self, call: Call, outcome: Outcome) -> bool:
        """Tell whether the budget allows a retry after an outcome."""
        if is_free(outcome):
            return True
        allowed = call.retry_reserved or self._budget.take_retry(call.service)
        call.retry_reserved = False
        name = "retries" if allowed else "retries_over_budget"
        self._metrics.count(name, f'service="{call.service}"')
        return allowed

    def _reserve_retry(self, call: Call) -> bool:
        """Tell whether an attempt that takes long may be given up for another one.

        A daemon that drains keeps to the attempts that it has begun.
        """
        if self.draining or self._router.pick(call.service, call.tried, True) is None:
            return False
        return self._reserve(call)

    def _reserve(self, call: Call) -> bool:
        """Tell whether the call may be tried once more, and reserve the retry."""
        last = call.paid_attempts + 1 >= call.settings.attempt_limit
        if last or call.runs_once:
            return False
        if not call.retry_reserved:
            call.retry_reserved = self._budget.take_retry(call.service)
        return call.retry_reserved

    def _give_back(self, call: Call) -> None:
        """Give back a retry that was reserved and not needed."""
        if call.retry_reserved:
            call.retry_reserved = False
            self._budget.give_back(call.service)

    def _pick_or_wait(self, call: Call) -> EndpointView | None:
        view = self._pick(call)
        if view is None and call.wait_from_now_on():
            view = self._pick(call)
        return view

    def _pick(self, call: Call) -> EndpointView | None:
        return self._router.pick(
            call.service,
            call.tried,
            call.idempotent,
            reserve_trial=lambda: self._reserve(call),
        )

    async def _attempt(
        self, call: Call, view: EndpointView
    ) -> tuple[Outcome, HTTPResponse | None]:
        attempt = self._router.started(view)
        try:
            request = self._attempt_request(call, view)
            async with self._attempter.open(view, request) as (first, rest):
                attempt.replied(first)
                outcome = failure(first)
                if outcome is not None:
                    return outcome, None
                if first.end:
                    response = whole_response(first, call.request_id, self._names)
                    return Answered(first.head.status), response
                call.answer_started = True
                passed = pass_on(
                    call.request, call.request_id, first, rest, self._names
                )
                return await passed, None
        finally:
            attempt.ended()

    def _attempt_request(self, call: Call, view: EndpointView) -> AttemptRequest:
        head = peer_pb2.CallHead(
            request_id=call.request_id,
            service=call.service,
            endpoint=view.endpoint,
            method=call.request.method,
            path_and_query=call.path_and_query,
            headers=self._headers(call.request),
            idempotent=call.idempotent,
            priority=call.priority,
            no_wait=not call.waits,
            objective_left_ms=call.objective_left_ms(),
        )
        self._router.mark(head, view)
        return AttemptRequest(
            head=head,
            body=call.body,
            send_deadline=call.send_deadline(),
            reply_deadline=call.reply_deadline(),
            deadline=call.deadline,
            settled=call.runs_once,
            may_give_up=lambda: self._reserve_retry(call),
        )

    def _headers(self, request: Request) -> list[peer_pb2.Header]:
        """Return the fields that go to the target; daemons set some themselves."""
        headers = [
            header
            for header in end_to_end(request.headers.items())
            if header.name not in self._set_by_daemons
        ]
        if self._names.caller_service:
            name = self._names.caller_service
            headers.append(peer_pb2.Header(name=name, value=self._caller_service))
        return headers
