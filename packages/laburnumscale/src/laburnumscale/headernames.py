"""Header names.

The header fields by which callers, daemons and targets tell each other about calls.
"""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen
class HeaderNames:
    """Names of header fields; an empty one is neither sent nor read.

    :ivar request_id: names a request, from the caller on.
    :ivar caller_time_limit: the milliseconds that the caller waits.
    :ivar target_time_left: the milliseconds that are left when a target is called.
    :ivar expected_endpoint: the endpoint that is called; another one that has its
        address now answers with status 421 and does not run the call.
    :ivar caller_service: the service on whose behalf the call is made.
    :ivar not_run: set by a target that did not run the call.
    :ivar echoes_request_id: targets repeat the request id in their answers.
    :ivar fractional_retry_after: callers read fractions of a second.
    """

    request_id: str = "x-request-id"
    caller_time_limit: str = "x-request-timeout-ms"
    target_time_left: str = "x-request-timeout-ms"
    expected_endpoint: str = ""
    caller_service: str = ""
    not_run: str = ""
    echoes_request_id: bool = False
    fractional_retry_after: bool = False

    def set_by_daemons(self) -> frozenset[str]:
        """Return the fields that daemons set, whatever callers have sent."""
        names = (
            self.caller_time_limit,
            self.target_time_left,
            self.expected_endpoint,
            self.caller_service,
        )
        return frozenset(name.lower() for name in names if name)
