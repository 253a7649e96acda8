"""Settings problems.

What a daemon reports as long as the newest settings are not in force as written.
"""

from laburnumscale.errors import FieldAdjusted, LaburnumscaleError

__all__ = ["SettingsProblems"]

MAX_REPORTED = 20


class SettingsProblems:
    """The problems with the newest settings that this daemon has read itself.

    :ivar skipped: why settings newer than those in force could not be applied, or
        None.
    :ivar adjusted: values of the settings in force that differ from those written.
    """

    def __init__(self) -> None:
        self.skipped: LaburnumscaleError | None = None
        self.adjusted: tuple[FieldAdjusted, ...] = ()

    def record_skipped(self, reason: LaburnumscaleError) -> None:
        """Record that newer settings are not in force."""
        self.skipped = reason

    def record_restored(self, adjustments: list[FieldAdjusted]) -> None:
        """Record that newer settings are in force."""
        self.skipped = None
        self.adjusted = tuple(adjustments)

    def describe(self) -> list[str]:
        """Return the problems for operators, in bounded number."""
        problems = [*([self.skipped] if self.skipped else []), *self.adjusted]
        return [str(each) for each in problems[:MAX_REPORTED]]
