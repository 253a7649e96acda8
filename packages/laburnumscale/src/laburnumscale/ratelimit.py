"""Rate limit.

Limits how many log lines are written per second.
"""

import time

import attrs

__all__ = ["RateLimiter"]


@attrs.define
class RateLimiter:
    """A token bucket in which each log line costs one token.

    :ivar lines_per_s: rate at which tokens are added.
    :ivar max_burst_lines: capacity of the bucket, which is full at first.
    """

    lines_per_s: float
    max_burst_lines: float
    _tokens: float = attrs.field(init=False)
    _refilled_at_s: float = attrs.field(factory=time.monotonic, init=False)

    def __attrs_post_init__(self) -> None:
        self._tokens = self.max_burst_lines

    def has_token(self) -> bool:
        """Refill the bucket and return whether it holds a token for a line."""
        now_s = time.monotonic()
        refilled = self._tokens + (now_s - self._refilled_at_s) * self.lines_per_s
        self._tokens = min(self.max_burst_lines, refilled)
        self._refilled_at_s = now_s
        return self._tokens >= 1

    def try_acquire(self) -> bool:
        """Use up the token of one line, if there is one.

        :returns: whether the line may be written.
        """
        if not self.has_token():
            return False
        self._tokens -= 1
        return True
