"""Decides which share of a service's calls leaves the availability zone.

It is made for demand that differs between zones and for zones that lose a part
of their instances. Calls to another zone take longer, cost bytes between zones
and use room that the callers there may need. They leave only for what the own
instances lack, and only into what the other zones have left.
"""

from collections.abc import Iterable
import math
from typing import NamedTuple

# A zone lacks room for the calls that run or wait beyond this share of its
# slots: until then, a call finds a free slot at one of its instances.
FULL_SHARE = 0.9
# Share of its slots that a zone keeps for the changes of its own demand.
RESERVED_SHARE = 0.2
# A report of another zone is no room after this time, in seconds.
MAX_REPORT_AGE_S = 5.0
# Time constants of the share, in seconds. It rises fast, since calls wait
# meanwhile, and falls slowly, so that it does not swing with short waves.
RISE_S = 0.25
FALL_S = 1.0
# A smaller share is none.
MIN_SHARE = 0.01


class ZoneLoad(NamedTuple):
    """Load of a service in one availability zone.

    Attributes:
        slots: Calls that its instances can run at a time.
        busy: Calls that run or wait there.
        reported_at: Time of the report, in seconds.
    """

    slots: int
    busy: int
    reported_at: float


def lack(own: ZoneLoad) -> float:
    """Returns the calls for which a zone has no room.

    >>> lack(ZoneLoad(100, 120, 0.0)), lack(ZoneLoad(100, 50, 0.0))
    (30.0, 0.0)
    """
    return max(0.0, own.busy - FULL_SHARE * own.slots)


def room(load: ZoneLoad, now: float) -> float:
    """Returns the calls that a zone can take from others.

    >>> room(ZoneLoad(100, 50, 0.0), 1.0), room(ZoneLoad(100, 50, 0.0), 9.0)
    (30.0, 0.0)
    """
    if now - load.reported_at > MAX_REPORT_AGE_S:
        return 0.0
    return max(0.0, (1.0 - RESERVED_SHARE) * load.slots - load.busy)


def wanted_share(
    own: ZoneLoad, others: Iterable[ZoneLoad], now: float
) -> float:
    """Returns the share of the calls of a zone that should leave it.

    Several zones may lack room at the same time. Each takes its part of what
    the others have left, so that together they do not take more.

    Args:
        own: Load of the service in the own zone.
        others: Its load in the other zones.
        now: Time in seconds.
    """
    lacking = lack(own)
    if lacking <= 0.0:
        return 0.0
    known = [z for z in others if now - z.reported_at <= MAX_REPORT_AGE_S]
    available = sum(room(load, now) for load in known)
    all_lacking = lacking + sum(lack(load) for load in known)
    taken = min(lacking, available * lacking / all_lacking)
    return taken / max(1, own.busy)


class SpillShare:
    """Share of a service's calls that leaves the zone, over time.

    Times are in seconds, on the clock of the caller of the methods.
    """

    def __init__(self, now: float) -> None:
        """Starts with no call that leaves."""
        self._share = 0.0
        self._updated_at = now

    @property
    def share(self) -> float:
        """Share of the calls that should leave, from 0 to 1."""
        return self._share if self._share >= MIN_SHARE else 0.0

    @property
    def updated_at(self) -> float:
        """Time of the last update."""
        return self._updated_at

    def update(
        self, own: ZoneLoad, others: Iterable[ZoneLoad], now: float
    ) -> None:
        """Moves the share towards the wanted one."""
        wanted = wanted_share(own, others, now)
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        constant_s = RISE_S if wanted > self._share else FALL_S
        # No call may leave into zones that have nothing left.
        before = self._share if wanted or lack(own) <= 0.0 else 0.0
        change = 1.0 - math.exp(-elapsed_s / constant_s)
        self._share = before + change * (wanted - before)
        if lack(own) <= 0.0 and self._share < MIN_SHARE:
            self._share = 0.0
