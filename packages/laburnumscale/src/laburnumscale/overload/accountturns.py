"""Account turns.

Shares capacity between accounts by start-time fair queueing, weighted by work.
"""

import heapq

import attrs

__all__ = ["AccountTurns"]

#: Accounts without waiting calls that are remembered because they are ahead of the
#: virtual time. Each is ahead by the work of about one call, so forgetting one gives it
#: at most one call too many.
MAX_IDLE_ACCOUNTS = 64


@attrs.define
class _Turn:
    """The turn of one account.

    :ivar next_at: virtual time at which its next call is due.
    :ivar waiting: number of its waiting calls.
    """

    next_at: float
    waiting: int = 0


class AccountTurns:
    """Virtual times at which accounts are due.

    The account that is due first goes first; each of its calls defers its next turn by
    the work of the call. An account that had no waiting call does not catch up: its
    turn is not before the virtual time. The number of accounts is bounded by the number
    of waiting calls and ``MAX_IDLE_ACCOUNTS``.
    """

    def __init__(self, max_idle: int = MAX_IDLE_ACCOUNTS) -> None:
        self._max_idle = max_idle
        self._virtual_time = 0.0
        self._turns: dict[str, _Turn] = {}
        self._idle = 0

    def __len__(self) -> int:
        return len(self._turns)

    def add(self, account: str) -> None:
        """Record that one more call of an account waits."""
        turn = self._turns.get(account)
        if turn is None:
            turn = self._turns[account] = _Turn(self._virtual_time)
        elif not turn.waiting:
            self._idle -= 1
            turn.next_at = max(turn.next_at, self._virtual_time)
        turn.waiting += 1

    def remove(self, account: str) -> None:
        """Record that a call of an account waits no longer."""
        turn = self._turns[account]
        turn.waiting -= 1
        if turn.waiting:
            return
        if turn.next_at <= self._virtual_time:
            del self._turns[account]
            return
        self._idle += 1
        if self._idle > self._max_idle:
            self._forget_idle()

    def charge(self, account: str, work_ms: float) -> None:
        """Defer the next turn of an account by the work of a call that was granted."""
        turn = self._turns[account]
        self._virtual_time = max(self._virtual_time, turn.next_at)
        turn.next_at += work_ms

    def next_at(self, account: str) -> float:
        """Return the virtual time at which an account is due."""
        turn = self._turns.get(account)
        if turn is None:
            return self._virtual_time
        return max(turn.next_at, 0.0 if turn.waiting else self._virtual_time)

    def _forget_idle(self) -> None:
        """Forget the idle half that is due first, so that the cost is amortised."""
        idle = [
            (turn.next_at, account)
            for account, turn in self._turns.items()
            if not turn.waiting
        ]
        for _, account in heapq.nsmallest((len(idle) + 1) // 2, idle):
            del self._turns[account]
        self._idle = len(idle) // 2
