"""Rate limit.

Limits how many log lines are written per second, and how many calls a target gets.
"""

import attrs

from laburnumscale.deadlines import now_s

__all__ = ["RateLimiter"]


@attrs.define
class RateLimiter:
    """A token bucket in which each log line or call costs one token.

    :ivar tokens_per_s: rate at which tokens are added.
    :ivar max_burst: capacity of the bucket, which is full at first unless ``tokens``
        are given.
    """

    tokens_per_s: float
    max_burst: float
    _tokens: float = attrs.field()
    _refilled_at_s: float = attrs.field(init=False)

    @_tokens.default
    def _full(self) -> float:
        return self.max_burst

    @_refilled_at_s.default
    def _created_at_s(self) -> float:
        return now_s()

    def has_token(self) -> bool:
        """Refill the bucket and return whether it holds a token."""
        elapsed_s = now_s() - self._refilled_at_s
        refilled = self._tokens + elapsed_s * self.tokens_per_s
        self._tokens = min(self.max_burst, refilled)
        self._refilled_at_s += elapsed_s
        return self._tokens >= 1

    def try_acquire(self) -> bool:
        """Use up one token, if there is one.

        :returns: whether there was one.
        """
        if not self.has_token():
            return False
        self._tokens -= 1
        return True

    def release(self) -> None:
        """Give back a token that was not needed."""
        self._tokens += 1

    def next_token_s(self) -> float:
        """Return the time from the last refill until there is a token, in seconds."""
        return (1 - self._tokens) / self.tokens_per_s

    def change_rate(self, tokens_per_s: float, max_burst: float) -> None:
        """Change the rate and the capacity from now on."""
        self.has_token()
        self.tokens_per_s = tokens_per_s
        self.max_burst = max_burst
