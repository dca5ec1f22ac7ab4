"""The number below which a part of some numbers lies."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def quantile(numbers: Iterable[float], part: float) -> float:
    """Find the number below which a part of some numbers lies.

    Of two numbers or more the highest is given for the part 1 only, so that one
    that is far too high doesn't count.

    :param numbers: the numbers, at least one.
    :param part: the part, 0 to 1.
    :returns: one of the numbers.
    """
    ordered = sorted(numbers)
    return ordered[int((len(ordered) - 1) * part)]
