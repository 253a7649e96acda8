"""Queue policies.

Decide which attempts wait for a slot of a target; looked up by name.
"""

from abc import ABC, abstractmethod

import attrs

from laburnumscale.costqueue import CostQueue
from laburnumscale.deadlines import MS_PER_S, Deadline
from laburnumscale.failurereplies import AttemptRefused, QueueRefused
from laburnumscale.localtarget import LocalTarget
from laburnumscale.overload import LATENCY_MARGIN, CallNeeds
from laburnumscale.settingstree import EffectiveSettings
from laburnumscale.slotqueue import SlotQueue, Waiter
from laburnumscale.transmission import Transmission
from laburnumscale_schema import peer_pb2

__all__ = ["QueuePolicy", "SlotRequest", "get_queue_policy_by_name"]

OVERLOAD_RETRY_AFTER_MS = 1000
MIN_RETRY_AFTER_MS = 100
MOST_URGENT = 0
US_PER_MS = 1000
DEFAULT_POLICY = "priority"


@attrs.define(eq=False)
class SlotRequest:
    """An attempt that needs a slot of a target.

    :ivar call_ms: how long the call is expected to take; 0 if its route is new.
    :ivar is_short: whether the call takes little time compared with the others.
    """

    target: LocalTarget
    settings: EffectiveSettings
    transmission: Transmission
    head: peer_pb2.CallHead
    call_ms: float
    is_short: bool


class QueuePolicy(ABC):
    """Decides which attempts wait for a slot.

    :cvar name: the value of the setting that selects this policy.
    :cvar new_queue: returns a queue of the kind that this policy uses.
    """

    name: str
    new_queue: type[SlotQueue] | type[CostQueue]

    def prepare_queue(self, target: LocalTarget) -> None:
        """Replace the queue of a target by one of this policy, with its calls."""
        previous = target.queue
        if previous.name == self.name:
            return
        target.queue = self.new_queue()
        for waiter in previous.take_waiters():
            target.queue.adopt(waiter)

    @abstractmethod
    def enqueue(self, request: SlotRequest) -> tuple[Waiter, float]:
        """Add an attempt to the queue of its target.

        :returns: its waiter, and the time in seconds for which it may wait.
        :raises AttemptRefused: the attempt may not wait.
        """

    @abstractmethod
    def check_start(
        self,
        target: LocalTarget,
        transmission: Transmission,
        head: peer_pb2.CallHead,
        call_ms: float,
    ) -> None:
        """Check that an attempt that has a slot can still end in time.

        :param call_ms: how long the call is expected to take; 0 if its route is new.
        :raises AttemptRefused: it is too likely to end after its deadline.
        """

    def expiry(self, request: SlotRequest) -> AttemptRefused:
        """Return the refusal of an attempt whose time to wait is over."""
        return AttemptRefused(peer_pb2.NOT_RUN_REASON_DEADLINE, OVERLOAD_RETRY_AFTER_MS)


class PriorityPolicy(QueuePolicy):
    """By priority and then by arrival, within the latency objective.

    When slots are short, they go to calls that can still be answered within the latency
    objective of their route. A longer queue would not raise the throughput and would
    make every response late.
    """

    name = "priority"
    new_queue = SlotQueue

    def enqueue(self, request: SlotRequest) -> tuple[Waiter, float]:
        target, head = request.target, request.head
        priority = MOST_URGENT if request.is_short else head.priority
        wait_ms = _expected_wait_ms(target, priority)
        refusal = AttemptRefused(
            peer_pb2.NOT_RUN_REASON_OVERLOADED, max(MIN_RETRY_AFTER_MS, int(wait_ms))
        )
        transmission = request.transmission
        response_deadline = transmission.deadline
        if not request.is_short:
            response_deadline = _objective(transmission, head)
        call_ms = request.call_ms
        if (
            head.no_wait
            or wait_ms + LATENCY_MARGIN * call_ms > response_deadline.left_ms()
        ):
            raise refusal
        is_full = len(target.queue) >= request.settings.queue_limit
        if is_full and not target.queue.evict_less_urgent(priority, refusal):
            raise refusal
        max_wait_s = min(
            transmission.send_deadline.left_s(),
            max(0.0, response_deadline.left_s() - call_ms / MS_PER_S),
        )
        return target.queue.enqueue(priority), max_wait_s

    def check_start(
        self,
        target: LocalTarget,
        transmission: Transmission,
        head: peer_pb2.CallHead,
        call_ms: float,
    ) -> None:
        if LATENCY_MARGIN * call_ms > transmission.deadline.left_ms():
            raise AttemptRefused(
                peer_pb2.NOT_RUN_REASON_OVERLOADED, OVERLOAD_RETRY_AFTER_MS
            )


class CostPolicy(QueuePolicy):
    """The calls whose loss costs callers most, with a share for each account.

    See docs/design/overload.md.
    """

    name = "cost"
    new_queue = CostQueue

    def enqueue(self, request: SlotRequest) -> tuple[Waiter, float]:
        target = request.target
        if request.head.no_wait:
            raise AttemptRefused(peer_pb2.NOT_RUN_REASON_OVERLOADED, _drain_ms(target))
        # A call of an account is made by a caller, whatever time it takes.
        is_short = request.is_short and not request.head.account
        waiter, call = target.queue.enqueue(
            _call_needs(request.transmission, request.head, request.call_ms, is_short),
            target.usable_slots,
            target.slot_time_us / US_PER_MS,
            request.settings.queue_limit,
        )
        return waiter, Deadline(call.last_start_s).left_s()

    def check_start(
        self,
        target: LocalTarget,
        transmission: Transmission,
        head: peer_pb2.CallHead,
        call_ms: float,
    ) -> None:
        if not target.queue.can_end(_call_needs(transmission, head, call_ms)):
            raise QueueRefused(
                peer_pb2.NOT_RUN_REASON_OVERLOADED,
                _return_after_ms(target, transmission),
                "deadline",
            )

    def expiry(self, request: SlotRequest) -> AttemptRefused:
        return QueueRefused(
            peer_pb2.NOT_RUN_REASON_DEADLINE,
            _return_after_ms(request.target, request.transmission),
            "deadline",
        )


def _call_needs(
    transmission: Transmission,
    head: peer_pb2.CallHead,
    call_ms: float,
    is_short: bool = False,
) -> CallNeeds:
    return CallNeeds(
        priority=head.priority,
        account=head.account,
        route=head.route,
        reference_ms=head.reference_latency_us / US_PER_MS or call_ms,
        deadline_s=transmission.deadline.at_s,
        objective_s=_objective(transmission, head).at_s,
        start_limit_s=transmission.send_deadline.at_s,
        may_repeat=head.idempotent,
        is_short=is_short,
    )


def _objective(transmission: Transmission, head: peer_pb2.CallHead) -> Deadline:
    """Return the latency objective of an attempt, but at most its deadline."""
    if not head.objective_left_ms:
        return transmission.deadline
    objective = Deadline.after_ms(head.objective_left_ms)
    return min(objective, transmission.deadline, key=lambda deadline: deadline.at_s)


def _drain_ms(target: LocalTarget) -> int:
    """Return after what time the calls that wait now are expected to have started."""
    return target.queue.drain_ms(target.usable_slots, target.slot_time_us / US_PER_MS)


def _return_after_ms(target: LocalTarget, transmission: Transmission) -> int:
    """Return after what time a call may come back that is refused for good."""
    held_ms = target.slot_time_us / US_PER_MS
    return target.queue.return_after_ms(
        transmission.deadline.at_s, target.usable_slots, held_ms
    )


def _expected_wait_ms(target: LocalTarget, priority: int) -> float:
    held_ms = target.slot_time_us / US_PER_MS
    releases = target.queue.expected_releases(priority)
    return releases / max(1, target.usable_slots) * held_ms


_POLICIES = {policy.name: policy() for policy in (PriorityPolicy, CostPolicy)}


def get_queue_policy_by_name(name: str) -> QueuePolicy:
    """Return the policy with this name.

    A newer daemon may have accepted a name that this version does not know; such a
    name gives the default policy.
    """
    return _POLICIES.get(name, _POLICIES[DEFAULT_POLICY])
