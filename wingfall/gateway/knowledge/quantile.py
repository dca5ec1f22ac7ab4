"""Quantiles of small samples."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable


def quantile(numbers: Iterable[float], fraction: float) -> float:
    """Return the quantile of some numbers, rounded down to one of them.

    The highest of two or more numbers is returned for the fraction 1 only, so
    that a single outlier above the others has no effect.

    :param numbers: the numbers, at least one.
    :param fraction: the fraction of the numbers below the quantile, 0 to 1.
    :returns: one of the numbers.
    """
    ordered = sorted(numbers)
    return ordered[int((len(ordered) - 1) * fraction)]
