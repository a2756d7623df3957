"""Counts of times by class; each class is longer than the one before."""

from collections.abc import Sequence
import math

# Classes for each doubling of the time.
PER_DOUBLING = 2
# The last class also has all longer times.
CLASSES = 36


def class_of(time_s: float) -> int:
    """Returns the class of a time.

    >>> class_of(0.0), class_of(0.1), class_of(0.2), class_of(1e9)
    (0, 14, 16, 35)
    """
    if time_s <= 0.001:
        return 0
    doublings = math.log2(time_s * 1000)
    return min(CLASSES - 1, 1 + int(PER_DOUBLING * doublings))


def classes_in(factor: float) -> int:
    """Returns by how many classes a time that many times longer is higher.

    >>> classes_in(4.0)
    4
    """
    return math.ceil(PER_DOUBLING * math.log2(factor))


def median_class(counts: Sequence[float]) -> int:
    """Returns the class in which the median of counted times lies.

    >>> median_class([0, 3, 1, 1])
    1
    """
    half = sum(counts) / 2
    total = 0.0
    for index, count in enumerate(counts):
        total += count
        if total >= half:
            return index
    return len(counts) - 1
