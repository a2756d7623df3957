"""Decides which calls of one upstream run, wait or are refused.

The queue is made for load peaks, in which more calls arrive for some seconds
than the slots can take. Calls that another running call depends on are served
first, then calls of higher priority; at the same priority, calls that were
refused before and are repeated. A call waits only while its answer can still
be of use. All others are refused at once, so that their callers have time left
to repeat them.

A hold time is the time for which a call holds a slot.
"""

import bisect
import itertools
import math
from typing import NamedTuple

from rattangauge.calls import hold_time
from rattangauge.calls import request_rate
from rattangauge.calls import slot_reserve

# Weight of a new hold time in the moving average of its kind of calls.
KIND_HOLD_WEIGHT = 0.1

# The hold times of calls of one kind differ. To end by its deadline, a call
# is assumed to need this multiple of the mean.
HOLD_MARGIN_FACTOR = 1.2
# A new call waits at most for this share of its slack: the time by which it
# would end before its target latency if it got a slot at once. If it is
# refused, its caller has the rest of the slack to repeat it.
NEW_WAIT_SHARE = 0.25
# The same for a call that was refused before and is repeated.
RETURNED_WAIT_SHARE = 0.5
# A call that cannot meet its target latency waits at most for this share of
# the time by which it would end before its deadline if it got a slot at once.
# So it does not take the slot of a call that can still meet its target.
LATE_WAIT_SHARE = 0.03
# The wait of a queued call may take longer than expected. The call is refused
# after this multiple of its longest acceptable wait.
GIVE_UP_FACTOR = 1.5


class QueuedCall(NamedTuple):
    """A call that needs a slot.

    Attributes:
        number: Identifies the call; unique in one queue.
        kind: Kind of the call; calls of one kind have similar hold times.
        priority: A higher one is served first.
        returned: Whether the call was refused before and is repeated.
        inner: Whether an upstream sent the call while it runs another one. If
            the inner call is refused, the work on the outer one is lost.
        target_at: Time at which the target latency ends, in seconds; 0 if
            unknown.
        deadline: Time by which the call must be answered, in seconds.
        tenant: Name of its tenant; empty if it has none.
    """

    number: int
    kind: str
    priority: int
    returned: bool
    inner: bool
    target_at: float
    deadline: float
    tenant: str = ""


class QueueDecision(NamedTuple):
    """Result of one operation on the queue.

    Attributes:
        started: Calls that got a slot.
        refused: Calls that were refused.
    """

    started: tuple[QueuedCall, ...] = ()
    refused: tuple[QueuedCall, ...] = ()


class _Entry(NamedTuple):
    """A waiting call; entries sort in the order of service.

    Attributes:
        rank: Sort key of the call; the lowest is served first.
        arrival: Number of the arrival, which orders calls of the same rank.
        waiter: The call.
    """

    rank: tuple[bool, int, bool, int]
    arrival: int
    waiter: QueuedCall


def max_wait_s(waiter: QueuedCall, hold_s: float, now: float) -> float:
    """Returns the longest acceptable wait of a call, in seconds.

    It is negative if the call cannot end by its deadline. An inner call may
    wait up to its deadline; other calls may wait for a share of the time that
    is left to them.

    Args:
        waiter: The call.
        hold_s: Expected hold time of the call.
        now: Time.
    """
    longest_s = waiter.deadline - now - HOLD_MARGIN_FACTOR * hold_s
    if waiter.inner:
        return longest_s
    slack_s = waiter.target_at - now - hold_s
    if slack_s > 0.0:
        share = RETURNED_WAIT_SHARE if waiter.returned else NEW_WAIT_SHARE
        return min(longest_s, share * slack_s)
    left_s = max(0.0, waiter.deadline - now - hold_s)
    return min(longest_s, LATE_WAIT_SHARE * left_s)


def give_up_at(waiter: QueuedCall, hold_s: float, now: float) -> float:
    """Returns the time at which a call is refused if it still waits then.

    It is before the deadline, so that the refusal reaches the caller in time.

    Args:
        waiter: The call, which starts to wait.
        hold_s: Expected hold time of the call.
        now: Time.
    """
    longest_s = GIVE_UP_FACTOR * max_wait_s(waiter, hold_s, now)
    return min(now + max(0.0, longest_s), waiter.deadline - hold_s)


def _rank(waiter: QueuedCall) -> tuple[bool, int, bool]:
    """Returns the sort key of a call; the lowest is served first.

    Inner calls come first, then calls of higher priority, then repeated ones.
    """
    return not waiter.inner, -waiter.priority, not waiter.returned


def _urgency(waiter: QueuedCall) -> tuple[bool, int]:
    """Returns how urgent a call is; the highest is served first."""
    return waiter.inner, waiter.priority


class Queue:
    """Slots of one upstream, and the calls that wait for them.

    All times are in seconds, on the clock of the caller of the methods.
    """

    def __init__(self, slots: int, bound: int, now: float = 0.0) -> None:
        """Creates an empty queue.

        Args:
            slots: Largest number of calls that may run at a time.
            bound: Largest number of calls that may wait.
            now: Time.
        """
        self._slots = slots
        self._bound = bound
        self._running: dict[int, QueuedCall] = {}
        self._waiting: list[_Entry] = []
        self._kind_hold_s: dict[str, float] = {}
        self._pace = hold_time.HoldTimeEstimate(now)
        self._rate: request_rate.RequestRate | None = None
        self._arrivals = itertools.count()
        self._recent = slot_reserve.RecentArrivals()
        self._is_closed = False

    @property
    def slots(self) -> int:
        """Calls that may run at a time."""
        return self._slots

    @property
    def concurrency(self) -> int:
        """Slots that are of use: fewer than all under a limit on the rate.

        By Little's law a rate keeps as many slots busy as the rate times the
        mean hold time.
        """
        if self._rate is None:
            return self._slots
        busy = math.ceil(self._rate.rate_per_s * self.mean_hold_s)
        return max(1, min(self._slots, busy))

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
        """Mean hold time of all calls, in seconds."""
        return self._pace.hold_s

    def measured_hold_s(self, now: float) -> float:
        """Returns the mean hold time in seconds; 0 if it is out of date."""
        return self._pace.hold_s if self._pace.is_measured(now) else 0.0

    @property
    def is_closed(self) -> bool:
        """Whether all new calls are refused."""
        return self._is_closed

    def hold_s(self, kind: str) -> float:
        """Returns the mean hold time of a kind of calls, in seconds.

        It is the mean of all calls if no call of the kind was measured.
        """
        return self._kind_hold_s.get(kind) or self._pace.hold_s

    def wait_s(self, now: float) -> float:
        """Returns the expected wait behind all queued calls, in seconds."""
        work_s = sum(self.hold_s(e.waiter.kind) for e in self._waiting)
        return self._expected_wait_s(self.queued, work_s, now)

    def next_start_s(self, now: float) -> float | None:
        """Returns the time until a call may start though none ends before.

        Returns:
            The time in seconds; None if all waiting calls wait for a slot that
            is in use.
        """
        if not self._waiting or self.running >= self._slots:
            return None
        if not any(self._has_slot(e.waiter, now) for e in self._waiting):
            return slot_reserve.CHECK_PERIOD_S
        return self._rate.delay_s(now) if self._rate is not None else 0.0

    def offer(self, waiter: QueuedCall, now: float) -> QueueDecision:
        """Starts, queues or refuses a call.

        If the call is queued, calls behind it may be refused since they would
        wait too long.
        """
        self._pace.advance(self.running, now)
        if self._is_closed:
            return QueueDecision(refused=(waiter,))
        self._recent.add(waiter.kind, _urgency(waiter), now)
        is_next = not self._waiting or self._can_pass(waiter, now)
        if is_next and self._has_slot(waiter, now) and self._take_rate(now):
            return QueueDecision(started=(self._start(waiter),))
        rank = (*_rank(waiter), self._calls_of(waiter.tenant))
        entry = _Entry(rank, next(self._arrivals), waiter)
        index = bisect.bisect_right(self._waiting, entry)
        self._waiting.insert(index, entry)
        return QueueDecision(refused=self._refuse_late(index, now))

    def finish(
        self, waiter: QueuedCall, seconds: float, now: float
    ) -> QueueDecision:
        """Frees the slot of a call and starts those that wait.

        Args:
            waiter: A call that was started; others are ignored.
            seconds: Time for which it held the slot; 0 if the time does not
                measure the upstream.
            now: Time.
        """
        if waiter.number not in self._running:
            return QueueDecision()
        self._pace.advance(self.running, now)
        self._pace.end()
        del self._running[waiter.number]
        if seconds > 0.0:
            self._update_kind(waiter.kind, seconds)
        return self.advance(now)

    def withdraw(self, waiter: QueuedCall) -> None:
        """Removes a call from the queue, if it waits there."""
        self._waiting = [e for e in self._waiting if e.waiter != waiter]

    def advance(self, now: float) -> QueueDecision:
        """Starts waiting calls while there are free slots.

        It first refuses those that would wait too long.
        """
        started = []
        refused = list(self._refuse_late(0, now))
        index = 0
        while index < len(self._waiting) and self.running < self._slots:
            waiter = self._waiting[index].waiter
            if not self._has_slot(waiter, now):
                index += 1
                continue
            if not self._take_rate(now):
                break
            del self._waiting[index]
            started.append(self._start(waiter))
        return QueueDecision(tuple(started), tuple(refused))

    def set_slots(self, slots: int) -> None:
        """Sets the number of slots; calls start at the next ``advance``."""
        self._slots = slots

    def set_rate(self, rate_per_s: float | None, now: float) -> None:
        """Sets the calls that may start in a second; None for no limit."""
        if rate_per_s is None:
            self._rate = None
        elif self._rate is None:
            self._rate = request_rate.RequestRate(rate_per_s, now)
        else:
            self._rate.set_rate(rate_per_s, now)

    def close(self) -> QueueDecision:
        """Refuses all waiting calls and all that are offered from now on."""
        self._is_closed = True
        refused = tuple(entry.waiter for entry in self._waiting)
        self._waiting.clear()
        return QueueDecision(refused=refused)

    def _calls_of(self, tenant: str) -> int:
        """Returns the calls of a tenant that run or wait; 0 without a tenant.

        Calls that are otherwise equal are served in the order of this number,
        so that each tenant has its turn, however many calls another one sends.
        """
        if not tenant:
            return 0
        waiting = sum(1 for e in self._waiting if e.waiter.tenant == tenant)
        running = self._running.values()
        return waiting + sum(1 for call in running if call.tenant == tenant)

    def _has_slot(self, waiter: QueuedCall, now: float) -> bool:
        """Tells whether a free slot may be given to a call.

        Long calls may not take the slots that are reserved for urgent ones.
        """
        if self.running >= self._slots:
            return False
        if self.running < slot_reserve.max_long(self._slots):
            return True
        urgent_s = self._recent.urgent_holds_s(
            _urgency(waiter), self._slots, self.hold_s, now
        )
        long_s = slot_reserve.long_hold_s(urgent_s)
        if self.hold_s(waiter.kind) < long_s:
            return True
        running = self._running.values()
        long_count = sum(1 for c in running if self.hold_s(c.kind) >= long_s)
        return long_count < slot_reserve.max_long(self._slots)

    def _can_pass(self, waiter: QueuedCall, now: float) -> bool:
        """Tells whether all waiting calls wait for a slot that it may take."""
        return not any(
            self._has_slot(entry.waiter, now) for entry in self._waiting
        )

    def _take_rate(self, now: float) -> bool:
        """Takes a start from the limit on the rate; tells whether it may be."""
        return self._rate is None or self._rate.take(now)

    def _start(self, waiter: QueuedCall) -> QueuedCall:
        """Gives a slot to a call."""
        self._running[waiter.number] = waiter
        return waiter

    def _update_kind(self, kind: str, seconds: float) -> None:
        """Adds a hold time to the moving average of a kind of calls."""
        mean_s = self._kind_hold_s.get(kind, seconds)
        self._kind_hold_s[kind] = mean_s + KIND_HOLD_WEIGHT * (seconds - mean_s)

    def _expected_wait_s(self, ahead: int, work_s: float, now: float) -> float:
        """Returns the expected wait of a call behind others, in seconds.

        Args:
            ahead: Waiting calls that are served first.
            work_s: Their hold times together, in seconds.
            now: Time.
        """
        wait_s = 0.0
        if self.running + ahead >= self._slots:
            wait_s = (work_s + self.mean_hold_s) / max(1, self._slots)
        if self._rate is not None:
            wait_s = max(wait_s, self._rate.delay_s(now, ahead))
        return wait_s

    def _waits_too_long(
        self, waiter: QueuedCall, wait_s: float, now: float
    ) -> bool:
        """Tells whether the expected wait of a call is not acceptable."""
        return wait_s > max_wait_s(waiter, self.hold_s(waiter.kind), now)

    def _refuse_late(self, start: int, now: float) -> tuple[QueuedCall, ...]:
        """Removes calls that would wait too long or exceed the queue's bound.

        Args:
            start: Index of the first waiting call to check.
            now: Time.

        Returns:
            The removed calls.
        """
        refused = []
        kept = self._waiting[:start]
        work_s = sum(self.hold_s(e.waiter.kind) for e in kept)
        for entry in self._waiting[start:]:
            wait_s = self._expected_wait_s(len(kept), work_s, now)
            is_full = len(kept) >= self._bound
            if is_full or self._waits_too_long(entry.waiter, wait_s, now):
                refused.append(entry.waiter)
                continue
            kept.append(entry)
            work_s += self.hold_s(entry.waiter.kind)
        self._waiting = kept
        return tuple(refused)
