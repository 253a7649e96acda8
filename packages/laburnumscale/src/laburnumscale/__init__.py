"""laburnumscale.

Components of a proxy fleet for targets with gray failures.
"""

from laburnumscale.deadlines import Deadline
from laburnumscale.errors import LaburnumscaleError
from laburnumscale.outcomes import Answered, NotRun, Outcome, Unknown
from laburnumscale.settingstree import EffectiveSettings, SettingsTree

__all__ = [
    "Answered",
    "Deadline",
    "EffectiveSettings",
    "LaburnumscaleError",
    "NotRun",
    "Outcome",
    "SettingsTree",
    "Unknown",
]
