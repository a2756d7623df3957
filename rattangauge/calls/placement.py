"""Chooses the instance that takes a call, from the load that each reports.

Answers the load of a swing over unequal upstreams: a call goes where it is
expected to end first. The own zone is preferred while the wait that another
zone saves is not worth the bytes between them.
"""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple

# Cost of a call to another zone: the way there and back, and its bytes.
ZONE_COST_S = 0.002
ZONE_COST_S_PER_BYTE = 4e-6

# A call stays in its zone if it is expected to end within a share of the time
# that is left to its target latency, which is larger for a large call.
LOCAL_SHARE = 0.75
LOCAL_SHARE_PER_BYTE = 3e-5
MAX_LOCAL_SHARE = 1.0

# Latency to assume of an instance without a measurement, in seconds.
DEFAULT_HOLD_S = 0.05

# A call that waits also delays those that come after it.
WAIT_WEIGHT = 2.0
# A busy upstream is a little slower than an idle one, which also spreads calls.
BUSY_SHARE = 0.15
JITTER_SHARE = 0.05


class Demand(NamedTuple):
    """What matters of a call for its placement.

    Attributes:
        size: Bytes of the request and of the expected answer.
        target_left_s: Time that is left to its target latency, in seconds.
    """

    size: int
    target_left_s: float


class Candidate(NamedTuple):
    """An instance that could take a call.

    Attributes:
        address: Mesh address of the instance.
        is_local: Whether it is in the zone of the caller.
        is_ill: Whether calls to it have just failed.
        busy: Calls that run or wait there.
        slots: Calls that it can run at a time.
        hold_s: Time that the call holds a slot there, in seconds; 0 if unknown.
        turn_s: Time that the calls ahead of it hold a slot there; 0 if it is
            the same.
    """

    address: str
    is_local: bool
    is_ill: bool
    busy: int
    slots: int
    hold_s: float
    turn_s: float = 0.0


def wait_s(candidate: Candidate) -> float:
    """Returns the time until a call would get a slot, in seconds."""
    turn_s = candidate.turn_s or candidate.hold_s
    ahead = candidate.busy + 1 - candidate.slots
    return max(0, ahead) * turn_s / max(1, candidate.slots)


def expected_s(candidate: Candidate) -> float:
    """Returns the time in which a call is expected to end, in seconds."""
    return wait_s(candidate) + candidate.hold_s


def cost_s(candidate: Candidate, size: int) -> float:
    """Returns what a call costs there: its time, its wait and its way.

    Args:
        candidate: The instance.
        size: Bytes of the request and of the expected answer.
    """
    hold_s = candidate.hold_s
    fill = min(1.0, candidate.busy / max(1, candidate.slots))
    cost = WAIT_WEIGHT * wait_s(candidate)
    cost += hold_s * (1.0 + BUSY_SHARE * fill)
    if not candidate.is_local:
        cost += ZONE_COST_S + ZONE_COST_S_PER_BYTE * size
    return cost


def _with_hold(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Gives those without a measurement the best time of the others.

    An instance that is new, or that was left alone, is tried that way.
    """
    known = [c.hold_s for c in candidates if c.hold_s]
    least_s = min(known, default=DEFAULT_HOLD_S)
    return [c if c.hold_s else c._replace(hold_s=least_s) for c in candidates]


def choose(
    candidates: Sequence[Candidate],
    demand: Demand,
    random: random_module.Random,
) -> Candidate | None:
    """Returns the instance that takes a call; None if there is none.

    If all look ill, all are used: the reports may be wrong.

    Args:
        candidates: Instances that may take the call.
        demand: The call.
        random: Source of random numbers.
    """
    if not candidates:
        return None
    measured = _with_hold(candidates)
    usable = [c for c in measured if not c.is_ill] or measured
    share = LOCAL_SHARE + LOCAL_SHARE_PER_BYTE * demand.size
    limit_s = min(MAX_LOCAL_SHARE, share) * demand.target_left_s
    local = [c for c in usable if c.is_local and expected_s(c) <= limit_s]

    def cost(candidate: Candidate) -> float:
        jitter = 1.0 + JITTER_SHARE * random.random()
        return cost_s(candidate, demand.size) * jitter

    return min(local or usable, key=cost)
