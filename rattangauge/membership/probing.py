"""Failure detection and dissemination of member records in a zone.

This module selects the member to probe next, the records that a message
carries and the timers of suspect and dead members. Nothing here does I/O: time
and random numbers are arguments.
"""

from collections.abc import Iterable
import math
import random as random_module

from rattangauge.generated import messages

# Limits the size of a probe, so that the traffic of a member does not grow with
# the size of its zone.
MAX_UPDATES_PER_MESSAGE = 8
# Number of members that probe a member on behalf of one that got no answer.
INDIRECT_PROBES = 2
# A record is sent this many times the logarithm of the zone's size, so that it
# reaches all members with high probability.
RETRANSMIT_FACTOR = 3


class UpdateQueue:
    """Member records that still have to be sent to other members."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._records: dict[str, messages.Member] = {}
        self._transmissions: dict[str, int] = {}

    def __len__(self) -> int:
        """Returns the number of records in the queue."""
        return len(self._records)

    def add(self, member: messages.Member) -> None:
        """Adds a record, which replaces a queued record of the instance."""
        self._records[member.instance] = member
        self._transmissions[member.instance] = 0

    def remove(self, instance: str) -> None:
        """Removes the record of an instance, if there is one."""
        self._records.pop(instance, None)
        self._transmissions.pop(instance, None)

    def take(
        self, members: int, first: Iterable[messages.Member] = ()
    ) -> tuple[messages.Member, ...]:
        """Returns the records for one message, those sent least often first.

        Records that have been sent often enough leave the queue.

        Args:
            members: Number of members of the zone, on which the number of
                transmissions of a record depends.
            first: Records that the message must carry in any case.
        """
        limit = RETRANSMIT_FACTOR * math.ceil(math.log2(members + 1))
        chosen = {member.instance: member for member in first}
        for instance in sorted(
            self._transmissions, key=self._transmissions.__getitem__
        ):
            if len(chosen) >= MAX_UPDATES_PER_MESSAGE:
                break
            chosen.setdefault(instance, self._records[instance])
            self._transmissions[instance] += 1
            if self._transmissions[instance] >= limit:
                self.remove(instance)
        return tuple(chosen.values())


class ProbeOrder:
    """The order of probes: all members in random order, then all again.

    A random choice for each probe could leave out a member for a long time.
    """

    def __init__(self) -> None:
        """Creates an order that starts with the first call of ``next``."""
        self._remaining: list[str] = []

    def next(
        self, instances: Iterable[str], random: random_module.Random
    ) -> str | None:
        """Returns the next instance to probe; None if there are no members.

        Args:
            instances: Instances of the current members.
            random: Random numbers for the order.
        """
        known = set(instances)
        while self._remaining:
            instance = self._remaining.pop()
            if instance in known:
                return instance
        self._remaining = sorted(known)
        random.shuffle(self._remaining)
        return self._remaining.pop() if self._remaining else None


class Timers:
    """The times at which instances entered a state."""

    def __init__(self) -> None:
        """Creates an empty set of timers."""
        self._started_at: dict[str, float] = {}

    def start(self, instance: str, now: float) -> None:
        """Starts the timer of an instance unless it is running already."""
        self._started_at.setdefault(instance, now)

    def clear(self, instance: str) -> None:
        """Stops the timer of an instance."""
        self._started_at.pop(instance, None)

    def postpone(self, seconds: float) -> None:
        """Delays all timers by the time for which this process was stopped.

        The process could not receive answers in that time, so the silence of
        other members says nothing about them.
        """
        for instance in self._started_at:
            self._started_at[instance] += seconds

    def expired(self, now: float, limit_s: float) -> list[str]:
        """Returns the instances whose timer has run for at least the limit."""
        return [
            instance
            for instance, started_at in self._started_at.items()
            if now - started_at >= limit_s
        ]


def sample(
    members: Iterable[messages.Member],
    count: int,
    random: random_module.Random,
    excluded: Iterable[str] = (),
) -> list[messages.Member]:
    """Returns up to ``count`` random members that are not excluded."""
    excluded_instances = set(excluded)
    candidates = [m for m in members if m.instance not in excluded_instances]
    return random.sample(candidates, min(count, len(candidates)))
