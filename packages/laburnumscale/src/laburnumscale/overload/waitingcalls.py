"""Waiting calls.

Orders the calls that wait for capacity, and chooses the one to evict.
"""

import heapq
from bisect import bisect_left, insort
from collections.abc import Iterator

import attrs

from laburnumscale.overload.accountturns import AccountTurns
from laburnumscale.overload.priorityshares import LOWER_SHARE, PriorityShares

__all__ = ["WaitingCall", "WaitingCalls"]


@attrs.frozen(eq=False)
class WaitingCall:
    """A call that waits, with what decides its place.

    :ivar sequence: arrival order; unique among the waiting calls.
    :ivar priority: 0 is more urgent than 1.
    :ivar account: client account; empty if none.
    :ivar work_ms: expected work.
    :ivar work_class: equal for calls of similar work; less work goes first.
    :ivar useful_start_s: latest start with which it is likely to meet its objective.
    :ivar last_start_s: latest start with which it is likely to meet its deadline.
    """

    sequence: int
    priority: int
    account: str = ""
    work_ms: float = 0.0
    work_class: int = 0
    useful_start_s: float = float("inf")
    last_start_s: float = float("inf")

    @property
    def place(self) -> tuple[int, float, int]:
        """Return the key by which the calls of one account are ordered."""
        return self.work_class, self.useful_start_s, self.sequence


def _place(call: WaitingCall) -> tuple[int, float, int]:
    return call.place


class _PriorityCalls:
    """The waiting calls of one priority, by account."""

    def __init__(self) -> None:
        self.turns = AccountTurns()
        self.accounts: dict[str, list[WaitingCall]] = {}
        self.work_ms: dict[str, float] = {}
        self.count = 0

    def add(self, call: WaitingCall) -> None:
        self.turns.add(call.account)
        insort(self.accounts.setdefault(call.account, []), call, key=_place)
        self.work_ms[call.account] = self.work_ms.get(call.account, 0) + call.work_ms
        self.count += 1

    def remove(self, call: WaitingCall) -> None:
        self.turns.remove(call.account)
        calls = self.accounts[call.account]
        del calls[bisect_left(calls, call.place, key=_place)]
        self.work_ms[call.account] -= call.work_ms
        if not calls:
            del self.accounts[call.account], self.work_ms[call.account]
        self.count -= 1

    def next_call(self) -> WaitingCall:
        account = min(self.accounts, key=self.turns.next_at)
        return self.accounts[account][0]

    def last_call(self) -> WaitingCall:
        """Return the last call of the account whose calls would be served last."""
        account = max(self.accounts, key=self._served_at)
        return self.accounts[account][-1]

    def work_ahead_ms(self, call: WaitingCall) -> float:
        """Return the work that precedes a new call."""
        own = self.accounts.get(call.account, ())
        position = bisect_left(own, call.place, key=_place)
        own_ms = sum(each.work_ms for each in own[:position])
        turn_at = self.turns.next_at(call.account) + own_ms
        others_ms = sum(
            min(work_ms, max(0.0, turn_at - self.turns.next_at(account)))
            for account, work_ms in self.work_ms.items()
            if account != call.account
        )
        return own_ms + others_ms

    def _served_at(self, account: str) -> float:
        return self.turns.next_at(account) + self.work_ms[account]


class WaitingCalls:
    """The waiting calls, in the order in which they get capacity.

    Calls that can still meet their objective go first. Among them, the most urgent
    priority goes first, with a share for the others; within a priority accounts take
    turns; within an account the call with the least work goes first. Calls that can no
    longer meet their objective follow, by priority, work and arrival.
    """

    def __init__(self) -> None:
        self._calls: dict[int, WaitingCall] = {}
        self._priorities: dict[int, _PriorityCalls] = {}
        self._shares = PriorityShares()
        self._late: list[WaitingCall] = []
        self._useful_starts: list[tuple[float, int]] = []

    def __len__(self) -> int:
        return len(self._calls)

    def __iter__(self) -> Iterator[WaitingCall]:
        return iter(self._calls.values())

    def add(self, call: WaitingCall, now_s: float) -> None:
        """Add a call."""
        self._calls[call.sequence] = call
        if call.useful_start_s < now_s:
            insort(self._late, call, key=_late_place)
            return
        if call.priority not in self._priorities:
            self._priorities[call.priority] = _PriorityCalls()
            self._shares.begin(call.priority)
        self._priorities[call.priority].add(call)
        if call.useful_start_s < float("inf"):
            heapq.heappush(self._useful_starts, (call.useful_start_s, call.sequence))

    def remove(self, sequence: int) -> WaitingCall | None:
        """Remove a call; returns None if it does not wait."""
        call = self._calls.pop(sequence, None)
        if call is None:
            return None
        position = bisect_left(self._late, _late_place(call), key=_late_place)
        if self._late[position : position + 1] == [call]:
            del self._late[position]
        else:
            self._remove_useful(call)
        if len(self._useful_starts) > 2 * len(self._calls) + 8:
            self._drop_outdated_starts()
        return call

    def take_next(self, now_s: float) -> WaitingCall | None:
        """Remove and return the call that gets capacity next; None if none waits."""
        self._move_late(now_s)
        if self._priorities:
            priority = self._shares.choose()
            calls = self._priorities[priority]
            call = calls.next_call()
            calls.turns.charge(call.account, call.work_ms)
            self._shares.record_grant(priority)
        elif self._late:
            call = self._late[0]
        else:
            return None
        self.remove(call.sequence)
        return call

    def choose_victim(self, now_s: float) -> WaitingCall:
        """Return the call whose loss costs least; at least one waits.

        Late calls go first. Otherwise it is a call of the least urgent priority that
        has more than its share of the places, of the account that would be served last.
        """
        self._move_late(now_s)
        return self._late[-1] if self._late else self._choose_useful_victim()

    def work_ahead_ms(
        self, call: WaitingCall, overtaking: float, now_s: float
    ) -> float:
        """Return the work that is expected to precede a new call.

        :param overtaking: share of the coming grants that more urgent calls get that
            arrive later.
        """
        self._move_late(now_s)
        own = self._priorities.get(call.priority)
        own_ms = own.work_ahead_ms(call) if own else 0.0
        priorities = {*self._priorities, call.priority}
        top, lower_count = min(priorities), len(priorities) - 1
        if call.priority == top:
            return own_ms / (1 - LOWER_SHARE) if lower_count else own_ms
        urgent_ms = sum(
            sum(calls.work_ms.values())
            for priority, calls in self._priorities.items()
            if priority < call.priority
        )
        by_priority_ms = (urgent_ms + own_ms) / (1 - overtaking)
        by_share_ms = (own_ms + call.work_ms) * lower_count / LOWER_SHARE - call.work_ms
        return min(by_priority_ms, by_share_ms)

    def total_work_ms(self) -> float:
        """Return the work of all waiting calls."""
        return sum(call.work_ms for call in self._calls.values())

    def _choose_useful_victim(self) -> WaitingCall:
        top = min(self._priorities)
        places = LOWER_SHARE * len(self._calls) / max(1, len(self._priorities) - 1)
        above_share = (
            priority
            for priority, calls in self._priorities.items()
            if priority != top and calls.count > max(1.0, places)
        )
        return self._priorities[max(above_share, default=top)].last_call()

    def _remove_useful(self, call: WaitingCall) -> None:
        calls = self._priorities[call.priority]
        calls.remove(call)
        if not calls.count:
            del self._priorities[call.priority]
            self._shares.end(call.priority)

    def _move_late(self, now_s: float) -> None:
        """Move the calls that can no longer meet their objective behind the others."""
        while self._useful_starts and self._useful_starts[0][0] < now_s:
            _, sequence = heapq.heappop(self._useful_starts)
            call = self._calls.get(sequence)
            if call is not None:
                self._remove_useful(call)
                insort(self._late, call, key=_late_place)

    def _drop_outdated_starts(self) -> None:
        self._useful_starts = [
            each for each in self._useful_starts if each[1] in self._calls
        ]
        heapq.heapify(self._useful_starts)


def _late_place(call: WaitingCall) -> tuple[int, int, int]:
    return call.priority, call.work_class, call.sequence
