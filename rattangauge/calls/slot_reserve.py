"""Keeps slots of an upstream free for short urgent calls.

It is made for an upstream that runs long calls of low priority beside short
ones that other upstreams wait for. A long call cannot be interrupted, so once
long calls have all slots, a short one waits for as long as they take. While
short urgent calls arrive, long calls may therefore not take the last slots.
"""

import math
from typing import NamedTuple

# Share of the slots that long calls may not take.
RESERVED_SHARE = 0.35
# A call is long if it is expected to hold a slot for this multiple of the time
# of an urgent one.
LONG_FACTOR = 8.0
# Urgent calls are expected for this time after the last one arrived.
URGENT_MEMORY_S = 1.0
# Kinds of calls that are remembered; older ones are forgotten first.
MAX_KINDS = 256


class _Arrival(NamedTuple):
    """Last arrival of one kind of calls.

    Attributes:
        at: Its time, in seconds.
        urgency: Urgency of the call; a higher one goes first.
    """

    at: float
    urgency: tuple[bool, int]


class RecentArrivals:
    """Kinds of calls that arrived lately, and how urgent they were."""

    def __init__(self) -> None:
        """Starts without arrivals."""
        self._arrivals: dict[str, _Arrival] = {}

    def add(self, kind: str, urgency: tuple[bool, int], now: float) -> None:
        """Records the arrival of a call.

        Args:
            kind: Kind of the call.
            urgency: Whether an upstream waits for it, and its priority.
            now: Time in seconds.
        """
        self._arrivals.pop(kind, None)
        self._arrivals[kind] = _Arrival(now, urgency)
        if len(self._arrivals) > MAX_KINDS:
            del self._arrivals[next(iter(self._arrivals))]

    def more_urgent(
        self, urgency: tuple[bool, int], now: float
    ) -> tuple[str, ...]:
        """Returns the kinds of more urgent calls that arrived lately."""
        since = now - URGENT_MEMORY_S
        return tuple(
            kind
            for kind, arrival in self._arrivals.items()
            if arrival.at >= since and arrival.urgency > urgency
        )


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
