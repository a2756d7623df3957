"""Chooses the instance that takes a call, from the load that each reports.

It is made for varying load on upstreams of unequal speed: a call goes to the
instance where it is expected to end first. An instance in the caller's own
zone is preferred as long as it is expected to answer soon enough, since calls
to another zone cost time and transferred bytes.
"""

from collections.abc import Sequence
import random as random_module
from typing import NamedTuple
from typing import TypeVar

# Cost of a call to another zone: the round trip and the transferred bytes.
ZONE_COST_S = 0.002
ZONE_COST_S_PER_BYTE = 4e-6

# A call stays in its zone if it is expected to end there within a share of the
# time that is left to its target latency. The share grows with the bytes of
# the call, because a large call costs more in another zone.
LOCAL_SHARE = 0.75
LOCAL_SHARE_PER_BYTE = 3e-5
MAX_LOCAL_SHARE = 1.0

# Time for which a call is assumed to hold a slot if no measured one is known.
DEFAULT_HOLD_S = 0.05

# Cost of each second of waiting, in seconds. It is above 1 because a call that
# waits also delays those behind it.
WAIT_WEIGHT = 2.0
# A call takes longer by this share at an upstream whose slots are all in use.
# It also spreads calls over instances that are otherwise equal.
BUSY_SLOWDOWN_SHARE = 0.15
# Random addition to each cost, so that equal instances share the calls.
JITTER_SHARE = 0.05

# Instances of other zones that are compared for one call.
MAX_REMOTE_CANDIDATES = 24

_Item = TypeVar("_Item")


class CallRequirements(NamedTuple):
    """The properties of a call that its placement depends on.

    Attributes:
        size: Bytes of the request and of the expected answer.
        target_left_s: Time left to the target latency of the call, in seconds.
    """

    size: int
    target_left_s: float


class Candidate(NamedTuple):
    """An instance that could take a call.

    Attributes:
        address: Mesh address of the instance.
        is_local: Whether it is in the zone of the caller.
        should_avoid: Whether calls to it have failed or were refused a moment
            ago.
        outstanding: Calls that run or wait there.
        slots: Calls that it can run at a time.
        hold_s: Time for which this call is expected to hold a slot there, in
            seconds; 0 if unknown.
        mean_hold_s: Mean time for which the calls there hold a slot, in
            seconds; 0 if it is the same as ``hold_s``.
        transfer_s: Time that its network link needs until it has sent the
            answer, in seconds.
    """

    address: str
    is_local: bool
    should_avoid: bool
    outstanding: int
    slots: int
    hold_s: float
    mean_hold_s: float = 0.0
    transfer_s: float = 0.0


def wait_s(candidate: Candidate) -> float:
    """Returns the expected time until a call gets a slot, in seconds."""
    mean_hold_s = candidate.mean_hold_s or candidate.hold_s
    ahead = candidate.outstanding + 1 - candidate.slots
    return max(0, ahead) * mean_hold_s / max(1, candidate.slots)


def expected_latency_s(candidate: Candidate) -> float:
    """Returns the expected time of a call's wait, service and transfer.

    Returns:
        The time in seconds.
    """
    return wait_s(candidate) + candidate.hold_s + candidate.transfer_s


def cost_s(candidate: Candidate, size: int) -> float:
    """Returns the cost of a call at an instance, as a time in seconds.

    It is the sum of the weighted wait, the service time and, to another zone,
    the cost of the transfer.

    Args:
        candidate: The instance.
        size: Bytes of the request and of the expected answer.
    """
    hold_s = candidate.hold_s
    utilization = min(1.0, candidate.outstanding / max(1, candidate.slots))
    cost = WAIT_WEIGHT * wait_s(candidate)
    cost += hold_s * (1.0 + BUSY_SLOWDOWN_SHARE * utilization)
    cost += candidate.transfer_s
    if not candidate.is_local:
        cost += ZONE_COST_S + ZONE_COST_S_PER_BYTE * size
    return cost


def _fill_unknown_hold(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Replaces unknown hold times by the shortest one of the others.

    Without this, an instance that is new, or that got no calls for a while,
    would get none and never be measured.
    """
    known = [c.hold_s for c in candidates if c.hold_s]
    shortest_s = min(known, default=DEFAULT_HOLD_S)
    return [
        c if c.hold_s else c._replace(hold_s=shortest_s) for c in candidates
    ]


def _usable(candidates: Sequence[Candidate]) -> list[Candidate]:
    """Returns the candidates to which calls have not failed a moment ago."""
    return [c for c in candidates if not c.should_avoid]


def _cheapest(
    candidates: Sequence[Candidate],
    demand: CallRequirements,
    random: random_module.Random,
) -> Candidate:
    def cost(candidate: Candidate) -> float:
        jitter = 1.0 + JITTER_SHARE * random.random()
        return cost_s(candidate, demand.size) * jitter

    return min(candidates, key=cost)


def choose_local(
    candidates: Sequence[Candidate],
    demand: CallRequirements,
    random: random_module.Random,
) -> Candidate | None:
    """Returns the instance of the own zone that takes a call.

    Args:
        candidates: Instances that may take the call; those of other zones are
            passed over.
        demand: Size of the call and time left to its target latency.
        random: Source of random numbers.

    Returns:
        The instance; None if none is expected to answer soon enough.
    """
    share = LOCAL_SHARE + LOCAL_SHARE_PER_BYTE * demand.size
    limit_s = min(MAX_LOCAL_SHARE, share) * demand.target_left_s
    local = [
        c
        for c in _usable(_fill_unknown_hold(candidates))
        if c.is_local and expected_latency_s(c) <= limit_s
    ]
    return _cheapest(local, demand, random) if local else None


def choose(
    candidates: Sequence[Candidate],
    demand: CallRequirements,
    random: random_module.Random,
) -> Candidate | None:
    """Returns the instance that takes a call; None if there is none.

    If calls to all instances have failed a moment ago, all of them are used:
    what is known of them may be wrong or out of date.

    Args:
        candidates: Instances that may take the call.
        demand: Size of the call and time left to its target latency.
        random: Source of random numbers.
    """
    if not candidates:
        return None
    local = choose_local(candidates, demand, random)
    return local or cheapest(candidates, demand, random)


def cheapest(
    candidates: Sequence[Candidate],
    demand: CallRequirements,
    random: random_module.Random,
) -> Candidate | None:
    """Returns the instance where a call costs least, in whichever zone.

    Args:
        candidates: Instances that may take the call.
        demand: Size of the call and time left to its target latency.
        random: Source of random numbers.

    Returns:
        The instance; None if there is none.
    """
    if not candidates:
        return None
    with_hold_times = _fill_unknown_hold(candidates)
    usable = _usable(with_hold_times) or with_hold_times
    return _cheapest(usable, demand, random)


def sample(
    items: Sequence[_Item], random: random_module.Random
) -> Sequence[_Item]:
    """Returns at most ``MAX_REMOTE_CANDIDATES`` of the items, at random.

    In a large fleet a call costs less if it compares a few instances; and when
    many daemons look for a free slot at once, each of them sees other ones.
    """
    if len(items) <= MAX_REMOTE_CANDIDATES:
        return items
    return random.sample(items, MAX_REMOTE_CANDIDATES)
