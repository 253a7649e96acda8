"""Call log.

Writes a log line per call with its inputs, its attempts and its outcome.
"""

import attrs

from laburnumscale.callstate import Call
from laburnumscale.logs import get_logger
from laburnumscale.outcomes import Answered, Outcome, outcome_name, reason_name
from laburnumscale.ratelimit import RateLimiter
from laburnumscale.settingsfeed import SettingsFeed

__all__ = ["CallLog"]

#: Log lines per second for successful calls; calls beyond the limit are counted only.
MAX_SUCCESS_LINES_PER_S = 20
SERVER_ERROR = 500


@attrs.define
class CallLog:
    """Writes the log lines of calls.

    Calls that were refused, failed or have an unknown outcome are always logged.
    Lines of successful calls are rate-limited; the field ``stands_for`` of such a line
    is the number of calls that it represents.

    :param feed: the settings in force, and how old they may be.
    """

    feed: SettingsFeed
    _success_line_rate: RateLimiter = attrs.field(
        factory=lambda: RateLimiter(MAX_SUCCESS_LINES_PER_S, MAX_SUCCESS_LINES_PER_S)
    )
    _unlogged_calls: int = 0

    def log_refusal(
        self, request_id: str, outcome: Outcome, detail: str, **fields: str
    ) -> None:
        """Log a request that was refused before any attempt was made.

        :param fields: further fields of the line.
        """
        get_logger().info(
            "request refused",
            request_id=request_id,
            reason=reason_name(outcome),
            detail=detail,
            **fields,
            **self.feed.describe_age(),
        )

    def log_call_end(self, call: Call, outcome: Outcome, elapsed_ms: float) -> None:
        """Log the outcome of a call, subject to the rate limit."""
        succeeded = isinstance(outcome, Answered) and outcome.status < SERVER_ERROR
        if succeeded and not self._success_line_rate.try_acquire():
            self._unlogged_calls += 1
            return
        stands_for = 1
        if succeeded:
            stands_for += self._unlogged_calls
            self._unlogged_calls = 0
        get_logger().info(
            "call ended",
            request_id=call.request_id,
            service=call.service,
            route=call.route,
            **({"account": call.account} if call.account else {}),
            idempotent=call.idempotent,
            outcome=outcome_name(outcome),
            reason=reason_name(outcome),
            status=getattr(outcome, "status", None),
            elapsed_ms=round(elapsed_ms),
            left_ms=call.deadline.left_ms(),
            limit_ms=call.settings.time_limit_ms,
            attempt_limit=call.settings.attempt_limit,
            stop_reason=call.stop_reason,
            attempts=[attrs.asdict(summary) for summary in call.attempt_summaries],
            revision=self.feed.tree.revision,
            behind_ms=round(self.feed.lag.behind_ms()),
            stands_for=stands_for,
        )
