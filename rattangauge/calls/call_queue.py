"""Decides which calls of one upstream run, wait or are turned away.

Answers the load of a peak: more calls arrive for seconds than the slots can
take. Calls that another call waits for go first, then the order is that of
their priority, with those first that came back after a refusal. A call waits
only as long as it can still be of use. All others are refused at once, while
their callers have time left to come back.
"""

import bisect
from collections.abc import Iterable
import itertools
import math
from typing import NamedTuple

# Hold time of a slot that is assumed before any is known, in seconds.
DEFAULT_HOLD_S = 0.05
HOLD_WEIGHT = 0.1
# An upstream whose calls do not end counts as this slow at most.
MAX_HOLD_S = 60.0
# Time over which the mean hold time of all calls is taken, in seconds.
MEMORY_S = 0.4
# An upstream without a call for this time counts as unmeasured.
FORGET_S = 3.0

# Calls of one kind differ: one that must end in time needs more than the mean.
CAUTION = 1.2
# Share of the time to spare before the target latency that a new call waits.
PATIENCE = 0.25
# The same for a caller that came back.
RETURNED_PATIENCE = 0.5
# Share of the time to the deadline that a call waits that is late anyway: it
# should not take the slot of one that can be in time.
LATE_PATIENCE = 0.03
# A call whose wait was estimated too short is refused after this multiple of
# the longest wait that makes sense for it.
OVERDUE = 1.5


class Waiter(NamedTuple):
    """A call that wants a slot.

    Attributes:
        number: Identity of the call.
        kind: Calls of one kind hold a slot about equally long.
        priority: 0 to 9; 9 is served first.
        returned: Whether the caller was refused before and came back.
        inner: Whether an upstream makes it while it runs another call, whose
            work would be lost.
        target_at: Time until which an answer is of full use; 0 if unknown.
        deadline: Time by which the call must be answered.
    """

    number: int
    kind: str
    priority: int
    returned: bool
    inner: bool
    target_at: float
    deadline: float


class Outcome(NamedTuple):
    """Calls that got a slot, and calls that were refused."""

    started: tuple[Waiter, ...] = ()
    refused: tuple[Waiter, ...] = ()


class _Pace:
    """Mean time that calls hold a slot, also while none of them ends.

    It is the slot time that was spent for each call that ended, over the last
    moments. An upstream that slows down shows before its calls have ended.
    """

    def __init__(self, now: float) -> None:
        """Starts with one call of the default length."""
        self._spent_s = DEFAULT_HOLD_S
        self._ended = 1.0
        self._at = now
        self._used_at = now - FORGET_S

    @property
    def hold_s(self) -> float:
        """Mean time that a call holds a slot, in seconds."""
        if self._spent_s >= MAX_HOLD_S * self._ended:
            return MAX_HOLD_S
        return self._spent_s / self._ended

    def advance(self, running: int, now: float) -> None:
        """Counts the time in which a number of calls ran."""
        elapsed_s = max(0.0, now - self._at)
        self._at = now
        if not running:
            return
        self._used_at = now
        kept = math.exp(-elapsed_s / MEMORY_S)
        self._spent_s = self._spent_s * kept + running * elapsed_s
        self._ended *= kept

    def is_measured(self, now: float) -> bool:
        """Tells whether calls have run a moment ago."""
        return now - self._used_at < FORGET_S

    def end(self) -> None:
        """Counts a call that ended."""
        self._ended += 1.0


class _Entry(NamedTuple):
    """A waiting call in the order of service."""

    rank: tuple[bool, int, bool]
    number: int
    waiter: Waiter


def patience_s(waiter: Waiter, hold_s: float, now: float) -> float:
    """Returns the longest wait that still makes sense for a call, in seconds.

    It is negative if the call cannot end by its deadline.

    Args:
        waiter: The call.
        hold_s: Time that it will hold a slot.
        now: Time.
    """
    longest_s = waiter.deadline - now - CAUTION * hold_s
    if waiter.inner:
        return longest_s
    slack_s = waiter.target_at - now - hold_s
    if slack_s > 0.0:
        share = RETURNED_PATIENCE if waiter.returned else PATIENCE
        return min(longest_s, share * slack_s)
    left_s = max(0.0, waiter.deadline - now - hold_s)
    return min(longest_s, LATE_PATIENCE * left_s)


def give_up_at(waiter: Waiter, hold_s: float, now: float) -> float:
    """Returns the time at which a call that still waits is refused.

    It is before the deadline, so that the refusal reaches the caller in time.

    Args:
        waiter: The call, which begins to wait.
        hold_s: Time that it will hold a slot.
        now: Time.
    """
    longest_s = OVERDUE * patience_s(waiter, hold_s, now)
    return min(now + max(0.0, longest_s), waiter.deadline - hold_s)


def _rank(waiter: Waiter) -> tuple[bool, int, bool]:
    return not waiter.inner, -waiter.priority, not waiter.returned


class Queue:
    """Slots of one upstream, and the calls that wait for them."""

    def __init__(self, slots: int, bound: int, now: float = 0.0) -> None:
        """Creates an empty queue.

        Args:
            slots: Calls that may run at a time.
            bound: Calls that may wait.
            now: Time in seconds, as for all methods.
        """
        self._slots = slots
        self._bound = bound
        self._running: dict[int, Waiter] = {}
        self._waiting: list[_Entry] = []
        self._hold_s: dict[str, float] = {}
        self._pace = _Pace(now)
        self._arrivals = itertools.count()
        self._is_closed = False

    @property
    def slots(self) -> int:
        """Calls that may run at a time."""
        return self._slots

    @property
    def running(self) -> int:
        """Calls that hold a slot."""
        return len(self._running)

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiting)

    @property
    def mean_hold_s(self) -> float:
        """Mean time that a call holds a slot, in seconds."""
        return self._pace.hold_s

    def measured_hold_s(self, now: float) -> float:
        """Returns the mean hold time; 0 if no calls have run lately."""
        return self._pace.hold_s if self._pace.is_measured(now) else 0.0

    @property
    def is_closed(self) -> bool:
        """Whether all new calls are refused."""
        return self._is_closed

    def hold_s(self, kind: str) -> float:
        """Returns the time that a call of a kind holds a slot, in seconds."""
        return self._hold_s.get(kind) or self._pace.hold_s

    def wait_s(self) -> float:
        """Returns the wait of a call that would be served last, in seconds."""
        return self._wait_behind(self._waiting)

    def offer(self, waiter: Waiter, now: float) -> Outcome:
        """Takes a call: it is started, queued or refused."""
        self._pace.advance(self.running, now)
        if self._is_closed:
            return Outcome(refused=(waiter,))
        if not self._waiting and self.running < self._slots:
            return Outcome(started=(self._start(waiter),))
        entry = _Entry(_rank(waiter), next(self._arrivals), waiter)
        place = bisect.bisect_right(self._waiting, entry)
        self._waiting.insert(place, entry)
        return Outcome(refused=self._refuse_hopeless(place, now))

    def finish(self, waiter: Waiter, seconds: float, now: float) -> Outcome:
        """Frees the slot of a call and starts those that wait.

        Args:
            waiter: A call that was started.
            seconds: Time that it held the slot; 0 if it says nothing.
            now: Time.
        """
        if waiter.number not in self._running:
            return Outcome()
        self._pace.advance(self.running, now)
        self._pace.end()
        del self._running[waiter.number]
        if seconds > 0.0:
            self._observe(waiter.kind, seconds)
        return self.advance(now)

    def withdraw(self, waiter: Waiter) -> None:
        """Removes a call from the queue, if it waits there."""
        self._waiting = [e for e in self._waiting if e.waiter != waiter]

    def advance(self, now: float) -> Outcome:
        """Starts waiting calls while there are slots."""
        started = []
        refused = list(self._refuse_hopeless(0, now))
        while self._waiting and self.running < self._slots:
            started.append(self._start(self._waiting.pop(0).waiter))
        return Outcome(tuple(started), tuple(refused))

    def set_slots(self, slots: int) -> None:
        """Takes a new number of slots."""
        self._slots = slots

    def close(self) -> Outcome:
        """Refuses all calls that wait and all that come from now on."""
        self._is_closed = True
        refused = tuple(entry.waiter for entry in self._waiting)
        self._waiting.clear()
        return Outcome(refused=refused)

    def _start(self, waiter: Waiter) -> Waiter:
        self._running[waiter.number] = waiter
        return waiter

    def _observe(self, kind: str, seconds: float) -> None:
        before_s = self._hold_s.get(kind, seconds)
        self._hold_s[kind] = before_s + HOLD_WEIGHT * (seconds - before_s)

    def _wait_behind(self, ahead: Iterable[_Entry]) -> float:
        """Returns the wait of a call behind others, in seconds."""
        if self.running < self._slots:
            return 0.0
        work_s = sum(self.hold_s(entry.waiter.kind) for entry in ahead)
        return (work_s + self.mean_hold_s) / max(1, self._slots)

    def _is_hopeless(self, waiter: Waiter, wait_s: float, now: float) -> bool:
        """Tells whether a call should not go on waiting.

        A caller that may still come back is refused when the wait takes too
        much of its time; one that came back waits up to its deadline.
        """
        return wait_s > patience_s(waiter, self.hold_s(waiter.kind), now)

    def _refuse_hopeless(self, place: int, now: float) -> tuple[Waiter, ...]:
        """Removes the calls from a place on that wait without hope."""
        refused = []
        kept = self._waiting[:place]
        work_s = sum(self.hold_s(e.waiter.kind) for e in kept)
        slots = max(1, self._slots)
        for entry in self._waiting[place:]:
            free = self.running + len(kept) < self._slots
            wait_s = 0.0 if free else (work_s + self.mean_hold_s) / slots
            too_many = len(kept) >= self._bound
            if too_many or self._is_hopeless(entry.waiter, wait_s, now):
                refused.append(entry.waiter)
                continue
            kept.append(entry)
            work_s += self.hold_s(entry.waiter.kind)
        self._waiting = kept
        return tuple(refused)
