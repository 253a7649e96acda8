"""Document fields.

Brings the values of a settings document into the ranges of the settings. The platform
has accepted the document, so a value that this fleet cannot fulfil must not keep the
rest of it from coming into force.
"""

import math
import sys
from collections.abc import Callable, Sequence

from laburnumscale.errors import FieldAdjusted
from laburnumscale.publishing import RANGES

__all__ = [
    "AdjustmentListener",
    "adjust_flag",
    "adjust_integer",
    "adjust_limit",
    "adjust_number",
    "adjust_weights",
]

AdjustmentListener = Callable[[FieldAdjusted], None]

#: Weights are scaled to this sum if they are fractions, or too large for their field.
WEIGHT_SUM = 1_000_000
MAX_WEIGHT = (1 << 32) - 1


def adjust_flag(
    where: str, name: str, value: object, on_adjustment: AdjustmentListener
) -> bool:
    """Return a truth value; a value of another type is reported and counts as false."""
    if value is None or isinstance(value, bool):
        return bool(value)
    on_adjustment(FieldAdjusted(where, name, "not a truth value", "false"))
    return False


def adjust_integer(
    where: str,
    name: str,
    value: float,
    setting: str,
    on_adjustment: AdjustmentListener,
) -> int:
    """Return the integer in the range of a setting that is nearest to a value.

    :param where: place in the document, for the report.
    :param name: field of the document, for the report.
    :param setting: the setting that gets the value.
    :param on_adjustment: called if the value is out of range.
    :raises TypeError: the value is not a number.
    """
    minimum, maximum = RANGES[setting]
    if math.isnan(value) or isinstance(value, bool):
        raise TypeError(f"{name} is not a number")
    adjusted = int(min(max(value, minimum), maximum))
    if not minimum <= value <= maximum:
        on_adjustment(FieldAdjusted(where, name, f"{value:g}", str(adjusted)))
    return adjusted


def adjust_number(
    where: str,
    name: str,
    value: object,
    setting: str,
    on_adjustment: AdjustmentListener,
) -> float | None:
    """Return the number in the range of a setting that is nearest to a value.

    Unlike with :func:`adjust_integer`, a value that is not a number is reported and not
    used, so that the rest of the object that has it still applies.

    :returns: the number; None if there is none.
    """
    if value is None:
        return None
    if isinstance(value, bool) or not isinstance(value, int | float):
        on_adjustment(FieldAdjusted(where, name, "not a number", "no value"))
        return None
    minimum, maximum = RANGES[setting]
    adjusted = min(max(value, minimum), maximum)
    if adjusted != value:
        # Formatting an integer beyond the range of floats fails.
        is_formattable = abs(value) < sys.float_info.max
        written = f"{value:.6g}" if is_formattable else "too large"
        on_adjustment(FieldAdjusted(where, name, written, str(adjusted)))
    return adjusted


def adjust_weights(
    where: str, weights: Sequence[float], on_adjustment: AdjustmentListener
) -> list[int]:
    """Return whole weights in the same proportions.

    :raises TypeError: a weight is not a number.
    """
    usable = [max(0.0, float(each)) for each in weights]
    if not all(math.isfinite(each) for each in usable) or not any(usable):
        on_adjustment(FieldAdjusted(where, "weight", str(list(weights)), "equal"))
        return [1] * len(usable)
    if any(each < 0 for each in weights):
        on_adjustment(FieldAdjusted(where, "weight", str(list(weights)), str(usable)))
    if all(each.is_integer() for each in usable) and max(usable) <= MAX_WEIGHT:
        return [int(each) for each in usable]
    largest = max(usable)
    shares = [each / largest for each in usable]
    total = sum(shares)
    return [max(1, round(each / total * WEIGHT_SUM)) if each else 0 for each in shares]


def adjust_limit(
    where: str,
    name: str,
    value: object,
    highest: int,
    on_adjustment: AdjustmentListener,
) -> None:
    """Report a limit for callers that is above what this daemon allows them."""
    if isinstance(value, int | float) and value > highest:
        on_adjustment(FieldAdjusted(where, name, f"{value:g}", str(highest)))
