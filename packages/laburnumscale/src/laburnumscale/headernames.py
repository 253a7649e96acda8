"""Header names.

Names of the header fields that carry call metadata between callers and targets.
"""

import attrs

__all__ = ["HeaderNames"]


@attrs.frozen
class HeaderNames:
    """Names of header fields; a field with an empty name is neither sent nor read.

    :ivar request_id: field with the request id, which the caller may set.
    :ivar caller_time_limit: field with the caller's time limit in milliseconds.
    :ivar target_time_left: field with the time left when a target is called, in
        milliseconds.
    :ivar expected_endpoint: field with the endpoint that is called. If another
        endpoint has the address by now, it responds with status 421 and does not run
        the call.
    :ivar caller_service: field with the service on whose behalf the call is made.
    :ivar account_key: field with the key of the caller's client account. It is never
        forwarded if the settings require account keys.
    :ivar account: field with the name of the client account, for targets.
    :ivar not_run: field that a target sets in its response if it did not run the call.
    :ivar rate_limit: field in which a target names how many calls a second it takes
        from all daemons together, for as long as it names it.
    :ivar leaving: field that a target sets in its responses while it leaves.
    :ivar echoes_request_id: whether targets repeat the request id in their responses.
    :ivar fractional_retry_after: whether callers accept fractions of a second in
        Retry-After.
    :ivar forwards_foreign_keys: whether an operation key that no daemon has minted is
        forwarded as a header field without meaning. Otherwise such calls are refused.
    """

    request_id: str = "x-request-id"
    caller_time_limit: str = "x-request-timeout-ms"
    target_time_left: str = "x-request-timeout-ms"
    expected_endpoint: str = ""
    caller_service: str = ""
    account_key: str = "x-api-key"
    account: str = "x-client-account"
    not_run: str = ""
    rate_limit: str = ""
    leaving: str = ""
    echoes_request_id: bool = False
    fractional_retry_after: bool = False
    forwards_foreign_keys: bool = False

    @property
    def response_id(self) -> str:
        """Return the field in which targets repeat the request ID; empty for none."""
        return self.request_id if self.echoes_request_id else ""

    def account_fields(self) -> frozenset[str]:
        """Return the names of the fields about the caller's client account.

        Values that callers send in them are not forwarded if calls need account keys.
        """
        names = (self.account_key, self.account)
        return frozenset(name.lower() for name in names if name)

    def set_by_daemons(self) -> frozenset[str]:
        """Return the names of the fields that daemons set.

        Values that callers send in these fields are not forwarded.
        """
        names = (
            self.caller_time_limit,
            self.target_time_left,
            self.expected_endpoint,
            self.caller_service,
        )
        return frozenset(name.lower() for name in names if name)
