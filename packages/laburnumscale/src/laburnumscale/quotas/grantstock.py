"""Grant stock.

The calls of an account that an entry may accept without another message, and those that
it returns.
"""

from collections import deque

import attrs

__all__ = ["GrantStock"]

EXPECTATION_INTERVAL_S = 0.5
#: An entry with fewer calls in an interval gains nothing from calls granted in advance.
MIN_EXPECTED_CALLS = 3


@attrs.define
class _Grant:
    epoch: int
    calls: int
    expires_at_s: float


@attrs.define
class GrantStock:
    """Prefetched calls of one account at one entry, without a clock of its own.

    A call that is given back is not used for another one here, but returned to the
    keeper: whether it still counts depends on what the bucket has lost since then.
    """

    _grants: deque[_Grant] = attrs.field(factory=deque)
    _returns: dict[int, int] = attrs.field(factory=dict)
    _interval: int = 0
    _calls: int = 0
    _last_calls: int = 0

    def record_call(self, now_s: float) -> None:
        """Count a call, to estimate how many are expected."""
        interval = int(now_s / EXPECTATION_INTERVAL_S)
        if interval != self._interval:
            self._last_calls = self._calls if interval == self._interval + 1 else 0
            self._interval, self._calls = interval, 0
        self._calls += 1

    def expected_calls(self) -> int:
        """Return the calls expected while a grant is valid; 0 if they are rare."""
        expected = max(self._last_calls, self._calls)
        return expected if expected >= MIN_EXPECTED_CALLS else 0

    def add(self, epoch: int, calls: int, expires_at_s: float) -> None:
        """Add granted calls that are not needed yet."""
        self._grants.append(_Grant(epoch, calls, expires_at_s))

    def take(self, now_s: float) -> int | None:
        """Take one call and return the epoch of its grant, or None if there is none."""
        self.expire(now_s)
        if not self._grants:
            return None
        grant = self._grants[0]
        grant.calls -= 1
        if not grant.calls:
            self._grants.popleft()
        return grant.epoch

    def expire(self, now_s: float) -> None:
        """Move calls that may not be used any more to those that are returned."""
        while self._grants and self._grants[0].expires_at_s <= now_s:
            grant = self._grants.popleft()
            self.give_back(grant.epoch, grant.calls)

    def give_back(self, epoch: int, calls: int = 1) -> None:
        """Add calls to return to the keeper; those of epoch 0 cannot be returned."""
        if epoch:
            self._returns[epoch] = self._returns.get(epoch, 0) + calls

    def pop_return(self) -> tuple[int, int]:
        """Return an epoch and the number of its calls to return, or zeros.

        They are not returned again if the message is lost: the keeper might count them
        twice.
        """
        return self._returns.popitem() if self._returns else (0, 0)

    @property
    def has_returns(self) -> bool:
        """Return whether there are calls to return."""
        return bool(self._returns)

    @property
    def next_expiry_s(self) -> float | None:
        """Return when the oldest unused calls expire, or None."""
        return self._grants[0].expires_at_s if self._grants else None
