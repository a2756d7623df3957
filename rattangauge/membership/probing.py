"""Decides whom to probe, when a suspect is dead and what a message carries.

No function here does I/O: time and random numbers are arguments.
"""

from collections.abc import Iterable
import math
import random as random_module

from rattangauge.generated import messages

# Bounds the size of a probe, so that the cost of a member does not grow with
# the size of its zone.
UPDATES_PER_MESSAGE = 8
HELPERS = 2
TRANSMISSION_FACTOR = 3


class UpdateQueue:
    """Records that other members may not know yet."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._updates: dict[str, messages.Member] = {}
        self._sent: dict[str, int] = {}

    def __len__(self) -> int:
        """Number of records that wait."""
        return len(self._updates)

    def add(self, member: messages.Member) -> None:
        """Adds a record; it replaces an older one of its instance."""
        self._updates[member.instance] = member
        self._sent[member.instance] = 0

    def remove(self, instance: str) -> None:
        """Removes the record of an instance."""
        self._updates.pop(instance, None)
        self._sent.pop(instance, None)

    def take(
        self, members: int, first: Iterable[messages.Member] = ()
    ) -> tuple[messages.Member, ...]:
        """Returns the records for one message, the least sent ones first.

        Args:
            members: Size of the zone; it bounds how often a record is sent.
            first: Records that the receiver needs in any case.
        """
        limit = TRANSMISSION_FACTOR * math.ceil(math.log2(members + 1))
        chosen = {member.instance: member for member in first}
        for instance in sorted(self._sent, key=self._sent.__getitem__):
            if len(chosen) >= UPDATES_PER_MESSAGE:
                break
            chosen.setdefault(instance, self._updates[instance])
            self._sent[instance] += 1
            if self._sent[instance] >= limit:
                self.remove(instance)
        return tuple(chosen.values())


class ProbeOrder:
    """Probes all members in a random order before any is probed again."""

    def __init__(self) -> None:
        """Creates an order without members."""
        self._left: list[str] = []

    def next(
        self, instances: Iterable[str], random: random_module.Random
    ) -> str | None:
        """Returns the next instance to probe; None if there is none."""
        known = set(instances)
        while self._left:
            instance = self._left.pop()
            if instance in known:
                return instance
        self._left = sorted(known)
        random.shuffle(self._left)
        return self._left.pop() if self._left else None


class Timers:
    """When each of some instances entered a state."""

    def __init__(self) -> None:
        """Creates an empty set of timers."""
        self._since: dict[str, float] = {}

    def start(self, instance: str, now: float) -> None:
        """Starts the timer of an instance unless it runs."""
        self._since.setdefault(instance, now)

    def clear(self, instance: str) -> None:
        """Stops the timer of an instance."""
        self._since.pop(instance, None)

    def postpone(self, seconds: float) -> None:
        """Adds time during which this process itself did not run."""
        for instance in self._since:
            self._since[instance] += seconds

    def expired(self, now: float, limit_s: float) -> list[str]:
        """Returns the instances whose timer has run for the limit."""
        return [
            instance
            for instance, since in self._since.items()
            if now - since >= limit_s
        ]


def sample(
    members: Iterable[messages.Member],
    count: int,
    random: random_module.Random,
    excluded: Iterable[str] = (),
) -> list[messages.Member]:
    """Returns random members other than the excluded instances."""
    left_out = set(excluded)
    candidates = [m for m in members if m.instance not in left_out]
    return random.sample(candidates, min(count, len(candidates)))
