"""Quarantine.

Decides which calls are refused because the targets that ran them ended. It answers the
load of callers that repeat a call which ends every target that begins to run it.
"""

from collections import OrderedDict
from collections.abc import Callable

from laburnumscale.callfingerprint import FINGERPRINT_BYTES
from laburnumscale.deadlines import Deadline
from laburnumscale.logs import get_logger
from laburnumscale.metrics import Metrics
from laburnumscale.suspectcall import (
    MAX_TARGET_ENDS,
    REFUSAL_MS,
    SUSPICION_MS,
    SuspectCall,
)
from laburnumscale_schema import peer_pb2

__all__ = ["Quarantine"]

#: Ends of targets after which a call is not sent to another target. A call that merely
#: ran beside a harmful one is hardly ever running when a second target ends.
MAX_ENDS_BEFORE_RETRY = 1
MAX_SUSPECTS = 1024

ChangeListener = Callable[[SuspectCall], None]


class Quarantine:
    """The calls that were running at targets when these ended, in bounded number.

    A call is refused after ``MAX_TARGET_ENDS`` ends of targets. When the refusal ends,
    one more end of a target begins the next one. A good answer clears a call.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._suspects: OrderedDict[bytes, SuspectCall] = OrderedDict()
        self._listeners: list[ChangeListener] = []

    @property
    def is_empty(self) -> bool:
        """Return whether no call is suspect."""
        return not self._suspects

    def on_change(self, listener: ChangeListener) -> None:
        """Register a function that is called with each changed record."""
        self._listeners.append(listener)

    def refused_for_ms(self, fingerprint: bytes) -> int:
        """Return for how long a call is refused, in milliseconds; 0 if it is not."""
        suspect = self._get(fingerprint)
        return suspect.refusal_deadline.left_ms() if suspect is not None else 0

    def allows_retry(self, fingerprint: bytes) -> bool:
        """Return whether a call whose target ended may be sent to another target."""
        suspect = self._get(fingerprint)
        return suspect is None or len(suspect.target_ends) <= MAX_ENDS_BEFORE_RETRY

    def record_target_end(
        self, fingerprint: bytes, target_end: int, head: peer_pb2.CallHead
    ) -> SuspectCall:
        """Record that a target ended while it ran a call.

        :param target_end: identifies the end of the target.
        :param head: head of the call.
        :returns: the changed record.
        """
        known = self._get(fingerprint)
        target_ends = {target_end, *(known.target_ends if known is not None else ())}
        refused_ms = REFUSAL_MS if len(target_ends) >= MAX_TARGET_ENDS else 0
        seen = SuspectCall(
            fingerprint=fingerprint,
            generation=known.generation if known is not None else 0,
            target_ends=tuple(sorted(target_ends)),
            expiry_deadline=Deadline.after_ms(refused_ms + SUSPICION_MS),
            refusal_deadline=Deadline.after_ms(refused_ms),
            service=head.service,
            method=head.method,
            path=head.path_and_query,
        )
        self._metrics.count("suspect_calls", f'service="{head.service}"')
        suspect = seen if known is None else known.merge(seen)
        _log("call suspected", suspect)
        self._store(suspect)
        return suspect

    def record_answer(self, fingerprint: bytes) -> None:
        """Clear a call that a target has answered: it does not end its targets."""
        suspect = self._get(fingerprint)
        if suspect is not None and suspect.target_ends:
            self._clear(suspect, "a target answered it")

    def release(self, fingerprint: bytes) -> bool:
        """Clear a call on the order of an operator.

        :returns: whether the call was suspect.
        """
        suspect = self._get(fingerprint)
        if suspect is None or not suspect.target_ends:
            return False
        self._clear(suspect, "released by an operator")
        return True

    def merge(self, message: peer_pb2.SuspectCall) -> None:
        """Merge a record of another daemon, unless it has expired.

        Daemons that have forgotten it would send it to each other without end.
        """
        if not message.expires_in_ms:
            return
        if len(message.fingerprint) != FINGERPRINT_BYTES:
            self._metrics.count("suspect_calls_invalid")
            return
        received = SuspectCall.from_message(message)
        known = self._get(received.fingerprint)
        merged = received if known is None else known.merge(received)
        if known is None or _state(merged) != _state(known):
            self._store(merged)

    def suspects(self) -> list[SuspectCall]:
        """Return the calls that are suspect or refused, the latest first."""
        self._remove_expired()
        return [each for each in reversed(self._suspects.values()) if each.target_ends]

    def messages(self, limit: int) -> list[peer_pb2.SuspectCall]:
        """Return records for another daemon, refused calls first.

        :param limit: maximum number of records.
        """
        self._remove_expired()
        records = sorted(
            self._suspects.values(), key=lambda each: each.is_refused, reverse=True
        )
        return [each.message() for each in records[:limit]]

    def _get(self, fingerprint: bytes) -> SuspectCall | None:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None and suspect.expiry_deadline.has_passed():
            del self._suspects[fingerprint]
            return None
        return suspect

    def _clear(self, suspect: SuspectCall, reason: str) -> None:
        cleared = SuspectCall(
            fingerprint=suspect.fingerprint,
            generation=suspect.generation + 1,
            target_ends=(),
            expiry_deadline=Deadline.after_ms(SUSPICION_MS),
            refusal_deadline=Deadline.after_ms(0),
            service=suspect.service,
            method=suspect.method,
            path=suspect.path,
        )
        _log("call cleared", cleared, reason=reason)
        self._store(cleared)

    def _store(self, suspect: SuspectCall) -> None:
        known = self._suspects.pop(suspect.fingerprint, None)
        self._suspects[suspect.fingerprint] = suspect
        if len(self._suspects) > MAX_SUSPECTS:
            self._remove_least_harmful()
        was_refused = known is not None and known.is_refused
        if suspect.is_refused != was_refused:
            event = "call quarantined" if suspect.is_refused else "call released"
            _log(event, suspect)
        for listener in self._listeners:
            listener(suspect)

    def _remove_expired(self) -> None:
        for fingerprint in list(self._suspects):
            self._get(fingerprint)

    def _remove_least_harmful(self) -> None:
        """Remove the oldest of the records with the fewest ends of targets."""
        self._remove_expired()
        if len(self._suspects) <= MAX_SUSPECTS:
            return
        fewest = min(self._suspects.values(), key=lambda each: len(each.target_ends))
        del self._suspects[fewest.fingerprint]


def _state(suspect: SuspectCall) -> tuple[int, tuple[int, ...], bool]:
    """Return what distinguishes a record from an earlier one of the same call."""
    return suspect.generation, suspect.target_ends, suspect.is_refused


def _log(event: str, suspect: SuspectCall, **details: str) -> None:
    get_logger().warning(
        event,
        fingerprint=suspect.fingerprint.hex(),
        service=suspect.service,
        method=suspect.method,
        path=suspect.path,
        target_ends=len(suspect.target_ends),
        refused_for_ms=suspect.refusal_deadline.left_ms(),
        **details,
    )
