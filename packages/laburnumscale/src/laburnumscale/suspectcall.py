"""Suspect call.

What a daemon knows of a call that was running at targets when these ended.
"""

import attrs

from laburnumscale.deadlines import Deadline
from laburnumscale_schema import peer_pb2

__all__ = ["MAX_TARGET_ENDS", "REFUSAL_MS", "SUSPICION_MS", "SuspectCall"]

#: Ends of targets after which a call is refused; further ones need not be kept.
MAX_TARGET_ENDS = 3
REFUSAL_MS = 600_000
#: For how long an end of a target counts, and a release is remembered.
SUSPICION_MS = 120_000
MAX_PATH_LENGTH = 48


@attrs.frozen
class SuspectCall:
    """A call that was running at targets when these ended, in its latest generation.

    The daemons of a fleet merge what each has seen in any order and get the same
    result.

    :ivar fingerprint: identifies the call, see :mod:`laburnumscale.callfingerprint`.
    :ivar generation: increases when the call is found harmless or is released.
    :ivar target_ends: identifies the latest ends of targets that ran it, sorted.
    :ivar expiry_deadline: when the record is dropped.
    :ivar refusal_deadline: until when the call is refused.
    :ivar service: its service, for operators like the method and the path.
    """

    fingerprint: bytes
    generation: int
    target_ends: tuple[int, ...]
    expiry_deadline: Deadline
    refusal_deadline: Deadline
    service: str = ""
    method: str = ""
    path: str = ""

    @classmethod
    def from_message(cls, message: peer_pb2.SuspectCall) -> "SuspectCall":
        """Return the record that another daemon has sent."""
        return cls(
            fingerprint=message.fingerprint,
            generation=message.generation,
            target_ends=tuple(sorted(set(message.target_ends))[-MAX_TARGET_ENDS:]),
            expiry_deadline=Deadline.after_ms(
                min(message.expires_in_ms, REFUSAL_MS + SUSPICION_MS)
            ),
            refusal_deadline=Deadline.after_ms(min(message.refused_for_ms, REFUSAL_MS)),
            service=message.service,
            method=message.method,
            path=message.path,
        )

    def message(self) -> peer_pb2.SuspectCall:
        """Return the record as it is sent to other daemons.

        That of a cleared call has no text, as operators do not see it.
        """
        message = peer_pb2.SuspectCall(
            fingerprint=self.fingerprint,
            generation=self.generation,
            target_ends=self.target_ends,
            expires_in_ms=self.expiry_deadline.left_ms(),
            refused_for_ms=self.refusal_deadline.left_ms(),
        )
        if self.target_ends:
            message.service = self.service
            message.method = self.method
            message.path = self.path[:MAX_PATH_LENGTH]
        return message

    @property
    def is_refused(self) -> bool:
        """Return whether the call is refused now."""
        return not self.refusal_deadline.has_passed()

    def merge(self, other: "SuspectCall") -> "SuspectCall":
        """Return the record that contains what both records say.

        The call is refused from now on if only both together name enough ends.
        """
        if other.generation != self.generation:
            return max(self, other, key=lambda each: each.generation)
        all_ends = sorted({*self.target_ends, *other.target_ends})
        target_ends = tuple(all_ends[-MAX_TARGET_ENDS:])
        refusal_deadline = _later(self.refusal_deadline, other.refusal_deadline)
        expiry_deadline = _later(self.expiry_deadline, other.expiry_deadline)
        is_new = target_ends not in (self.target_ends, other.target_ends)
        if is_new and len(target_ends) == MAX_TARGET_ENDS:
            refusal_deadline = Deadline.after_ms(REFUSAL_MS)
            expiry_deadline = Deadline.after_ms(REFUSAL_MS + SUSPICION_MS)
        described = self if self.service else other
        return attrs.evolve(
            described,
            target_ends=target_ends,
            expiry_deadline=expiry_deadline,
            refusal_deadline=refusal_deadline,
        )


def _later(one: Deadline, other: Deadline) -> Deadline:
    return max(one, other, key=lambda deadline: deadline.at_s)
