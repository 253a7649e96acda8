"""Call state.

Tracks the attempts of one call and decides whether and how it may be retried.
"""

from collections.abc import AsyncIterator

import attrs
from sanic import HTTPResponse, Request

from laburnumscale.deadlines import Deadline
from laburnumscale.headers import end_to_end_headers, without_fields
from laburnumscale.memory import AnswerRoom
from laburnumscale.outcomes import NotRun, Outcome, Unknown
from laburnumscale.quotas import QuotaGrant
from laburnumscale.routelatencies import hash_route
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale_schema import peer_pb2

__all__ = ["AttemptSummary", "Call", "is_exempt"]

#: Share of the remaining time to wait for the first reply of an at-most-once call; the
#: rest is for settling the attempt.
REPLY_TIME_SHARE = 0.6
#: Share of the remaining time within which an attempt may be sent. An attempt sent
#: later would be cancelled at its target before it could complete.
SEND_TIME_SHARE = 0.5
MAX_EXEMPT_ATTEMPTS = 8
#: Endpoints that are asked for a free slot before the call waits for one. With two
#: thirds of the slots in use, fewer than 1 in 50 calls find no free slot at two
#: endpoints.
MAX_BUSY_ENDPOINTS = 2
#: Queues that may reject a call before the call is refused. The entry picks the
#: shortest queue that it knows of, so a third queue is unlikely to be shorter.
MAX_QUEUE_REFUSALS = 2
MIN_RETRY_TIME_MS = 50  # two hops, connection setup and some work at the target
#: Refusals that cause no work at the target, so that a retry after them uses no retry
#: budget and does not count towards the attempt limit.
EXEMPT_REASONS = frozenset(
    {
        peer_pb2.NOT_RUN_REASON_TARGET_GONE,
        peer_pb2.NOT_RUN_REASON_DRAINING,
        peer_pb2.NOT_RUN_REASON_EJECTED,
        peer_pb2.NOT_RUN_REASON_NOT_CONNECTED,
        peer_pb2.NOT_RUN_REASON_FENCED,
        peer_pb2.NOT_RUN_REASON_STALE_SETTINGS,
        peer_pb2.NOT_RUN_REASON_STARTING,
        peer_pb2.NOT_RUN_REASON_MISDIRECTED,
        peer_pb2.NOT_RUN_REASON_OVERLOADED,
        peer_pb2.NOT_RUN_REASON_IN_DOUBT,
        peer_pb2.NOT_RUN_REASON_OUT_OF_MEMORY,
    }
)
#: Refusals that are limited by what they lead to: the call waits, ends, or accepts
#: doubt. The limit of exempt attempts is for the others.
SELF_LIMITED_REASONS = frozenset(
    {peer_pb2.NOT_RUN_REASON_OVERLOADED, peer_pb2.NOT_RUN_REASON_IN_DOUBT}
)
#: Endpoints in doubt that may refuse a call that may run only once. Such a call is lost
#: if its target fails, while others can be retried and show which targets work again.
MAX_DOUBT_REFUSALS = 3


@attrs.frozen
class AttemptSummary:
    """Result of one attempt, as it appears in the log."""

    endpoint: str
    daemon: str
    result: str
    elapsed_ms: int


@attrs.define(eq=False)
class Call:
    """One call of a caller and its attempts so far.

    :ivar route: host and path prefix of its route; empty if it matched none.
    :ivar priority: rank of the call when slots are scarce; 0 is served first.
    :ivar objective: latency objective; the call does not wait for a slot after it.
    :ivar caller_service: service on whose behalf the call is made; if empty, that of
        the callers of this daemon.
    :ivar quota_grant: permission of the account's quota; None if it has none.
    :ivar account: name of the client account on whose behalf the call is made; empty
        if none.
    :ivar tried_endpoints: names of the endpoints that were tried.
    :ivar busy_endpoints: names of the tried endpoints that had no free slot.
    :ivar retry_reserved: the retry budget was already charged for the next attempt.
    :ivar waits: further attempts wait for a slot.
    :ivar has_asked_leaving: an endpoint whose daemon drains was looked for.
    :ivar asks_leaving: the next attempt asks such an endpoint for a free slot.
    :ivar queue_refusals: attempts that were refused because the queue was too long.
    :ivar doubtful_endpoints: names of the tried endpoints that were in doubt.
    :ivar accepts_doubt: attempts may go to endpoints in doubt.
    :ivar may_have_run: it was sent to a guard, or to the daemon that holds its key.
    :ivar counted_attempts: attempts that count towards the attempt limit.
    :ivar exempt_attempts: attempts refused for one of ``EXEMPT_REASONS`` that is not
        limited otherwise.
    :ivar last_unknown: outcome of the last attempt that may have run.
    :ivar has_run: a target ran it and answered with a server error.
    :ivar answer_started: the first part of an answer was sent to the caller.
    :ivar failover_result: outcome and response of a failover that was answered while
        the attempt that it replaces had no reply.
    :ivar fingerprint: identifies the call and its repeats; empty if not computed yet.
    :ivar answer_room: memory for its answer, while it runs.
    :ivar route_hash: hash by which daemons refer to the route.
    :ivar attempt_summaries: results of the attempts so far, for the log.
    :ivar stop_reason: why no further attempt was made after the last one, for the log.
    """

    request: Request
    request_id: str
    service: str
    path_and_query: str
    settings: EffectiveSettings
    idempotent: bool
    deadline: Deadline
    body: bytes | AsyncIterator[bytes]
    route: str = ""
    priority: int = 0
    objective: Deadline | None = None
    caller_service: str = ""
    account: str = ""
    quota_grant: QuotaGrant | None = None
    tried_endpoints: set[str] = attrs.field(factory=set)
    counted_attempts: int = 0
    exempt_attempts: int = 0
    last_unknown: Unknown | None = None
    answer_started: bool = False
    failover_result: tuple[Outcome, HTTPResponse | None] | None = None
    attempt_summaries: list[AttemptSummary] = attrs.field(factory=list)
    retry_reserved: bool = False
    busy_endpoints: set[str] = attrs.field(factory=set)
    waits: bool = False
    has_asked_leaving: bool = False
    asks_leaving: bool = False
    queue_refusals: int = 0
    doubtful_endpoints: set[str] = attrs.field(factory=set)
    accepts_doubt: bool = False
    fingerprint: bytes = b""
    stop_reason: str = ""
    may_have_run: bool = False
    has_run: bool = False
    answer_room: AnswerRoom | None = None
    route_hash: int = attrs.field(init=False)

    @route_hash.default
    def _hash_route(self) -> int:
        return hash_route(self.route)

    @property
    def replayable(self) -> bool:
        """Return whether the body can be sent again."""
        return isinstance(self.body, bytes)

    @property
    def at_most_once(self) -> bool:
        """Return whether the call must not run more than once."""
        return not (self.idempotent and self.replayable)

    def forwarded_headers(
        self, account_fields: frozenset[str]
    ) -> list[peer_pb2.Header]:
        """Return the header fields of the request that other daemons may get.

        If calls need account keys, these include neither the key nor an account that
        the caller names.

        :param account_fields: names of the fields with the key and the account.
        """
        headers = end_to_end_headers(self.request.headers.items())
        if self.settings.require_account_key or self.account:
            return without_fields(headers, account_fields)
        return headers

    def objective_left_ms(self) -> int:
        """Return the time left until the objective in milliseconds, for guards.

        The value is 0 if there is no objective and 1 if it has passed: the call then
        takes a free slot, but does not wait for one.
        """
        if self.objective is None:
            return 0
        return max(1, self.objective.left_ms())

    def send_deadline(self) -> Deadline:
        """Return the deadline for sending the next attempt to its target."""
        return Deadline.after_ms(self.deadline.left_ms() * SEND_TIME_SHARE)

    def reply_deadline(self) -> Deadline:
        """Return the deadline for the first reply to the next attempt.

        It leaves time to settle the attempt, or for the remaining attempts. Time in a
        queue is added to it: abandoning a queued call would lose its position in the
        queue, and abandoning a call that has just received its slot would waste the
        slot.
        """
        left_ms = self.deadline.left_ms()
        if self.at_most_once:
            return Deadline.after_ms(left_ms * REPLY_TIME_SHARE)
        queue_ms = left_ms * SEND_TIME_SHARE if self.may_queue else 0
        attempts_left = self.settings.attempt_limit - self.counted_attempts
        reply_ms = (left_ms - queue_ms) / max(1, attempts_left)
        return Deadline.after_ms(queue_ms + reply_ms)

    @property
    def may_queue(self) -> bool:
        """Return whether the next attempt waits if its target has no free slot.

        A call that cannot be sent again always does, as its refusal would be final.
        """
        return (self.waits or not self.replayable) and not self.asks_leaving

    def start_waiting(self) -> bool:
        """Let further attempts wait for slots, and retry the busy endpoints.

        :returns: False if attempts wait already or no endpoint was busy.
        """
        if self.waits or not self.busy_endpoints:
            return False
        self.waits = True
        self.tried_endpoints -= self.busy_endpoints
        return True

    @property
    def is_refused_in_doubt(self) -> bool:
        """Return whether an endpoint in doubt is to refuse the next attempt.

        No endpoint refuses a call that cannot be sent again, as that would be final.
        """
        return self.replayable and self.avoids_doubt

    @property
    def avoids_doubt(self) -> bool:
        """Return whether the next attempt prefers endpoints that are not in doubt."""
        return (
            self.at_most_once
            and not self.accepts_doubt
            and len(self.doubtful_endpoints) < MAX_DOUBT_REFUSALS
        )

    def accept_doubt(self) -> bool:
        """Let further attempts go to endpoints in doubt, and retry those tried.

        :returns: False if they may already, or if no endpoint was in doubt.
        """
        if self.accepts_doubt or not self.doubtful_endpoints:
            return False
        self.accepts_doubt = True
        self.waits = False
        self.tried_endpoints -= self.doubtful_endpoints
        return True

    def record_outcome(self, outcome: Outcome, endpoint: str) -> None:
        """Record the outcome of an attempt at an endpoint."""
        if _has_reason(outcome, peer_pb2.NOT_RUN_REASON_OVERLOADED):
            self._record_overload(endpoint)
        if _has_reason(outcome, peer_pb2.NOT_RUN_REASON_IN_DOUBT):
            self._record_doubt(endpoint)
        if isinstance(outcome, Unknown):
            self.last_unknown = outcome
        if not is_exempt(outcome):
            self.counted_attempts += 1
        elif outcome.reason not in SELF_LIMITED_REASONS:
            self.exempt_attempts += 1

    def record_queue(self, endpoint: str) -> None:
        """Count an endpoint as asked for a free slot, as calls wait for one there."""
        self.tried_endpoints.add(endpoint)
        self._record_overload(endpoint)

    def _record_doubt(self, endpoint: str) -> None:
        if self.asks_leaving:
            return
        self.doubtful_endpoints.add(endpoint)
        if not self.avoids_doubt:
            self.accept_doubt()

    def _record_overload(self, endpoint: str) -> None:
        if self.asks_leaving:
            return
        if self.waits:
            self.queue_refusals += 1
            if self.queue_refusals >= MAX_QUEUE_REFUSALS and self.accept_doubt():
                self.queue_refusals -= 1
            return
        self.busy_endpoints.add(endpoint)
        if len(self.busy_endpoints) >= MAX_BUSY_ENDPOINTS:
            self.start_waiting()

    def may_retry_server_error(self) -> bool:
        """Return whether to retry after the target answered with a server error.

        The caller gets this answer if no other attempt is answered.
        """
        if not (self.idempotent and self.replayable):
            return False
        attempts_left = self.settings.attempt_limit - self.counted_attempts - 1
        return attempts_left > 0 and self.deadline.left_ms() > MIN_RETRY_TIME_MS

    def may_retry(self, outcome: Outcome) -> bool:
        """Return whether another attempt is safe and within the limits."""
        return not self.retry_obstacle(outcome)

    def retry_obstacle(self, outcome: Outcome) -> str:
        """Return why no other attempt is safe and within the limits; empty if one is.

        :param outcome: outcome of the last attempt.
        """
        is_unsafe = isinstance(outcome, Unknown) and not self.idempotent
        is_quarantined = _has_reason(outcome, peer_pb2.NOT_RUN_REASON_QUARANTINED)
        obstacles = (
            (self.answer_started, "answer started"),
            (not self.replayable, "body cannot be sent again"),
            (self.deadline.has_passed(), "deadline"),
            (is_unsafe, "may have run"),
            (is_quarantined, "quarantined"),
            (self.exempt_attempts >= MAX_EXEMPT_ATTEMPTS, "refusals"),
            (self.queue_refusals >= MAX_QUEUE_REFUSALS, "queues full"),
            (self.counted_attempts >= self.settings.attempt_limit, "attempt limit"),
        )
        return next((reason for applies, reason in obstacles if applies), "")


def is_exempt(outcome: Outcome) -> bool:
    """Return whether an attempt is exempt from retry budget and attempt limit."""
    return isinstance(outcome, NotRun) and outcome.reason in EXEMPT_REASONS


def _has_reason(outcome: Outcome, reason: int) -> bool:
    return isinstance(outcome, NotRun) and outcome.reason == reason
