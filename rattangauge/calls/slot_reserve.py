"""Keeps slots of an upstream free for short urgent calls.

It is made for an upstream that runs long calls of low priority beside short
ones that other upstreams wait for. A long call cannot be interrupted, so once
long calls have all slots, a short one waits for as long as they take. While
short urgent calls arrive, long calls may therefore not take the last slots.
"""

from collections.abc import Callable
import math
from typing import NamedTuple

# Share of the slots that long calls may not take.
RESERVED_SHARE = 0.35
# A call is long if it is expected to hold a slot for this multiple of the time
# of an urgent one.
LONG_FACTOR = 8.0
# Slots are reserved for urgent calls that keep at least this share of the slots
# busy.
MIN_URGENT_SHARE = 0.01
# Time between two checks whether slots are still reserved, in seconds.
CHECK_PERIOD_S = 0.05
# Time constant of the rate of arrivals, in seconds.
RATE_MEMORY_S = 1.0
# A kind of calls is forgotten after this time without one, in seconds, and the
# oldest one if there are too many.
FORGET_S = 5.0
MAX_KINDS = 256


class _Arrivals(NamedTuple):
    """Arrivals of one kind of calls.

    Attributes:
        at: Time of the last one, in seconds.
        count: Number of arrivals, which decays with ``RATE_MEMORY_S``.
        urgency: Urgency of the last one; a higher one goes first.
    """

    at: float
    count: float
    urgency: tuple[bool, int]

    def rate_per_s(self, now: float) -> float:
        """Returns the arrivals a second."""
        age_s = max(0.0, now - self.at)
        return self.count * math.exp(-age_s / RATE_MEMORY_S) / RATE_MEMORY_S


class RecentArrivals:
    """Kinds of calls that arrived lately, how often and how urgent."""

    def __init__(self) -> None:
        """Starts without arrivals."""
        self._arrivals: dict[str, _Arrivals] = {}

    def add(self, kind: str, urgency: tuple[bool, int], now: float) -> None:
        """Records the arrival of a call.

        Args:
            kind: Kind of the call.
            urgency: Whether an upstream waits for it, and its priority.
            now: Time in seconds.
        """
        before = self._arrivals.pop(kind, None)
        count = before.rate_per_s(now) * RATE_MEMORY_S if before else 0.0
        self._arrivals[kind] = _Arrivals(now, count + 1.0, urgency)
        # The kinds stand in the order of their last arrivals.
        oldest = next(iter(self._arrivals))
        is_old = now - self._arrivals[oldest].at > FORGET_S
        if is_old or len(self._arrivals) > MAX_KINDS:
            del self._arrivals[oldest]

    def urgent_holds_s(
        self,
        urgency: tuple[bool, int],
        slots: int,
        hold_s: Callable[[str], float],
        now: float,
    ) -> list[float]:
        """Returns the hold times of the kinds for which slots are reserved.

        Args:
            urgency: Urgency of a call; only more urgent kinds count.
            slots: Slots of the upstream.
            hold_s: Returns the hold time of a kind, in seconds.
            now: Time in seconds.
        """
        holds = []
        for kind, arrivals in self._arrivals.items():
            if arrivals.urgency <= urgency:
                continue
            # By Little's law this is the number of slots that they keep busy.
            busy = arrivals.rate_per_s(now) * hold_s(kind)
            if busy >= MIN_URGENT_SHARE * slots:
                holds.append(hold_s(kind))
        return holds


def long_hold_s(urgent_holds_s: list[float]) -> float:
    """Returns the hold time from which a call counts as long, in seconds.

    Args:
        urgent_holds_s: Expected hold times of the urgent kinds of calls.

    Returns:
        The time; infinite if there are no urgent calls.

    >>> long_hold_s([0.2, 0.1]), long_hold_s([])
    (0.8, inf)
    """
    return LONG_FACTOR * min(urgent_holds_s, default=math.inf)


def max_long(slots: int) -> int:
    """Returns how many slots long calls may take while there are urgent ones.

    >>> max_long(9), max_long(1)
    (5, 1)
    """
    return max(1, slots - math.ceil(RESERVED_SHARE * slots))
