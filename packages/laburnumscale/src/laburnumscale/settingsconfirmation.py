"""Settings confirmation.

Tracks how recently the settings of this daemon were known to be the newest, and decides
who has to find out, so that the age has a bound on each daemon.
"""

import math

import attrs

from laburnumscale.deadlines import MS_PER_S, now_s

__all__ = ["DEFAULT_APPLY_LIMIT_MS", "SettingsConfirmation"]

DEFAULT_APPLY_LIMIT_MS = 10_000
#: Shares of the apply limit. A lead reader reads the log at this interval, also while
#: nothing changes.
READ_WAIT_SHARE = 0.35
#: Age at which a daemon asks the readers. It is above that of a lead reader, whose
#: answer is then younger than the confirmation that it replaces.
REQUEST_SHARE = 0.45
#: Age at which a reader in reserve reads the log, because the lead readers do not
#: confirm.
RESERVE_READ_SHARE = 0.6
#: Age at which any other daemon reads the log, because no reader replies.
DIRECT_READ_SHARE = 0.7
MAX_MESSAGE_AGE_MS = (1 << 32) - 1


@attrs.define
class SettingsConfirmation:
    """The last time at which no settings newer than those held here existed.

    The designated readers learn it by reading the log to its end, the other daemons by
    asking them: the reply of a reader contains the age of its own confirmation. It is
    subtracted from the time of the request, so that the time on the network and
    differences between clocks never make a confirmation look younger than it is.

    Settings may be used for final decisions as long as the confirmation is valid, i.e.
    not older than a change may take to be in force.

    :ivar apply_limit_ms: time after which a change must be in force on each daemon.
    :ivar confirmed_at_s: time since boot of the confirmation; None without one.
    """

    apply_limit_ms: int = DEFAULT_APPLY_LIMIT_MS
    confirmed_at_s: float | None = None
    _offered_revision: int = 0
    _offered_at_s: float = 0.0

    def record(self, at_s: float) -> None:
        """Record that the settings held here were the newest at a point in time."""
        if self.confirmed_at_s is None or at_s > self.confirmed_at_s:
            self.confirmed_at_s = at_s

    def offer(self, revision: int, at_s: float, held_revision: int) -> None:
        """Record that a revision was the newest at a point in time.

        If this daemon holds an older one, the offer counts once it has caught up.

        :param held_revision: revision that this daemon holds.
        """
        if revision > held_revision:
            self._offered_revision, self._offered_at_s = revision, at_s
        else:
            self.record(at_s)

    def apply_offer(self, held_revision: int) -> None:
        """Record the offer if the revision that is held now is not older."""
        if 0 < self._offered_revision <= held_revision:
            self.record(self._offered_at_s)
            self._offered_revision = 0

    def age_ms(self) -> float | None:
        """Return the age of the confirmation in milliseconds; None without one."""
        if self.confirmed_at_s is None:
            return None
        return max(0.0, now_s() - self.confirmed_at_s) * MS_PER_S

    def rounded_age_ms(self) -> int | None:
        """Return the age in whole milliseconds, for messages; None without one.

        It is rounded up and limited to what a message can hold.
        """
        age_ms = self.age_ms()
        return None if age_ms is None else min(MAX_MESSAGE_AGE_MS, math.ceil(age_ms))

    def is_valid(self) -> bool:
        """Return whether the settings may be used for final decisions."""
        return self.is_within(1.0)

    def is_within(self, share: float) -> bool:
        """Return whether the age is at most a share of the apply limit."""
        age_ms = self.age_ms()
        return age_ms is not None and age_ms <= share * self.apply_limit_ms

    def request_due_at_s(self) -> float:
        """Return the time since boot at which to ask the readers."""
        if self.confirmed_at_s is None:
            return 0.0
        return self.confirmed_at_s + REQUEST_SHARE * self.apply_limit_ms / MS_PER_S

    def read_wait_ms(self) -> int:
        """Return how long a read of a lead reader waits for a record."""
        return round(READ_WAIT_SHARE * self.apply_limit_ms)

    def must_reserve_read(self) -> bool:
        """Return whether a reader in reserve has to read the log."""
        return not self.is_within(RESERVE_READ_SHARE)

    def must_read_directly(self) -> bool:
        """Return whether a daemon that is no reader has to read the log."""
        return not self.is_within(DIRECT_READ_SHARE)
