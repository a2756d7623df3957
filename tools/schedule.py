"""Seeded schedules of faults, two at a time, and how they are shortened."""

from collections.abc import Awaitable
from collections.abc import Callable
import itertools
import random
from typing import NamedTuple

# Kinds of fault that hit a daemon; two in one slot hit different ones.
DAEMON_KINDS = ("kill", "stop")
ZONE_KINDS = ("cut", "black_hole", "freeze_open", "delay")
PLATFORM_KINDS = (
    "platform_down",
    "platform_slow",
    "platform_lose_replies",
    "platform_cut",
)
OPERATOR_KINDS = ("operators_race", "bad_edition")
UPSTREAM_KINDS = ("upstream_slow", "upstream_drop_answers")
# Planned stops, which interrupt no call.
STOP_KINDS = ("stop_gracefully", "upstream_drain")
KINDS = (
    *DAEMON_KINDS,
    "zone_kill",
    *ZONE_KINDS,
    *PLATFORM_KINDS,
    *OPERATOR_KINDS,
    *UPSTREAM_KINDS,
    *STOP_KINDS,
)
# Kinds that interrupt no call, so that beside a planned stop an interrupted
# call is the fault of the stop.
CALM_KINDS = (*PLATFORM_KINDS, *OPERATOR_KINDS)

FAULTS_PER_SLOT = 2
MIN_LENGTH_S = 1.5
MAX_LENGTH_S = 4.0
# Series of faults at a time, and the most faults of one series.
PARALLEL_SERIES = 3
MAX_SERIES = 4
# Least and greatest length of a fault of a series.
SERIES_LENGTHS_S = (0.5, 3.0)


class Fault(NamedTuple):
    """One fault of a schedule.

    Attributes:
        slot: Number of the slot; faults of one slot overlap.
        kind: One of ``KINDS``.
        target: Number of the worker, or of the first zone.
        other: Number of the second zone, if the kind has one.
        length_s: Time until the fault is healed, in seconds.
    """

    slot: int
    kind: str
    target: int
    other: int
    length_s: float

    def __str__(self) -> str:
        """Formats the fault for people."""
        place = f"target {self.target}, other {self.other}"
        return f"slot {self.slot}: {self.kind}, {place}, {self.length_s} s"


def _may_overlap(one: str, other: str) -> bool:
    kinds = {one, other}
    if kinds & set(STOP_KINDS):
        return bool(kinds & set(CALM_KINDS))
    # A daemon of the killed zone cannot be killed or stopped once more.
    return "zone_kill" not in kinds or not kinds & set(DAEMON_KINDS)


def _kinds(source: random.Random) -> list[str]:
    while True:
        kinds = source.sample(KINDS, FAULTS_PER_SLOT)
        if _may_overlap(*kinds):
            return kinds


def generate(
    seed: int, slots: int, workers: int, zones: int
) -> tuple[Fault, ...]:
    """Returns a schedule; the same seed gives the same one.

    Each slot has two kinds, so that they show their effect on each other.

    >>> generate(1, 1, 6, 3) == generate(1, 1, 6, 3)
    True
    """
    source = random.Random(seed)
    zone_pairs = list(itertools.combinations(range(1, zones + 1), 2))
    faults = []
    for slot in range(slots):
        kinds = _kinds(source)
        targets = source.sample(range(workers), FAULTS_PER_SLOT)
        pairs = source.sample(zone_pairs, FAULTS_PER_SLOT)
        for kind, target, pair in zip(kinds, targets, pairs, strict=True):
            one, other = source.sample(pair, 2)
            is_zone = kind in (*ZONE_KINDS, "platform_cut", "zone_kill")
            number = one if is_zone else target
            length_s = source.uniform(MIN_LENGTH_S, MAX_LENGTH_S)
            faults.append(Fault(slot, kind, number, other, round(length_s, 1)))
    return tuple(faults)


def generate_series(
    seed: int, slots: int, targets: int, kinds: tuple[str, ...]
) -> tuple[Fault, ...]:
    """Returns series of faults that overlap; the same seed gives the same.

    A series repeats one kind on one target or on one target after the other.
    Faults begin in their slots and may last into the next ones.

    Args:
        seed: Seed of all choices.
        slots: Number of slots.
        targets: Number of targets; the second target may also be 0, which is
            none of them, or the number of a target plus one.
        kinds: Kinds of faults.

    >>> generate_series(1, 9, 4, KINDS) == generate_series(1, 9, 4, KINDS)
    True
    """
    source = random.Random(seed)
    faults = []
    for _ in range(PARALLEL_SERIES):
        slot = source.randrange(MAX_SERIES)
        while slot < slots:
            kind = source.choice(kinds)
            target, step = source.randrange(targets), source.randrange(2)
            for _ in range(source.randint(1, MAX_SERIES)):
                places = [n for n in range(targets + 1) if n != target + 1]
                length_s = round(source.uniform(*SERIES_LENGTHS_S), 1)
                other = source.choice(places)
                faults.append(Fault(slot, kind, target, other, length_s))
                slot += source.randint(1, 2)
                target = (target + step) % targets
    return tuple(sorted(fault for fault in faults if fault.slot < slots))


# Runs a schedule and tells whether it still fails.
Fails = Callable[[tuple[Fault, ...]], Awaitable[bool]]


async def shorten(
    faults: tuple[Fault, ...], fails: Fails, may_go_on: Callable[[], bool]
) -> tuple[Fault, ...]:
    """Drops faults one at a time while the run still fails.

    Runs without any fault and with half of them come first, because each run
    takes long.

    Args:
        faults: A schedule that fails.
        fails: Runs a schedule and tells whether it fails.
        may_go_on: Tells before each run whether there is time for it.

    Returns:
        The shortest failing schedule that was found.
    """
    middle = len(faults) // 2
    for part in ((), faults[:middle], faults[middle:]):
        if may_go_on() and await fails(part):
            faults = part
            break
    index = len(faults) - 1
    while index >= 0 and may_go_on():
        shorter = (*faults[:index], *faults[index + 1 :])
        if await fails(shorter):
            faults = shorter
        index -= 1
    return faults
