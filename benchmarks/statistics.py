"""Percentiles of measured values."""

from collections.abc import Sequence


def percentile(values: Sequence[float], share: float) -> float:
    """Returns the value below which a share of the values lies.

    >>> percentile([3, 1, 2], 0.5)
    2
    """
    ordered = sorted(values)
    index = min(len(ordered) - 1, int(share * len(ordered)))
    return ordered[index]
