"""Policies for simulations: the daemons' own, and others to compare."""

from collections import deque
import random as random_module

from rattangauge.calls import call_queue
from rattangauge.calls import placement
from rattangauge.calls import retry_after
from rattangauge.lab import model

# Time after which all refused callers return.
FIXED_RETRY_AFTER_S = 0.1


class FifoQueue(call_queue.Queue):
    """First-in, first-out queue that refuses calls only when it is full."""

    def __init__(self, slots: int, bound: int, now: float) -> None:
        """Creates an empty queue."""
        super().__init__(slots, bound, now)
        self._waiters: deque[call_queue.QueuedCall] = deque()

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._waiters)

    def offer(
        self, waiter: call_queue.QueuedCall, now: float
    ) -> call_queue.QueueDecision:
        """Starts, queues or refuses a call."""
        if len(self._waiters) >= self._bound:
            return call_queue.QueueDecision(refused=(waiter,))
        self._waiters.append(waiter)
        return self.advance(now)

    def advance(self, now: float) -> call_queue.QueueDecision:
        """Starts waiting calls while slots are free."""
        started = []
        self._pace.advance(self.running, now)
        while self._waiters and self.running < self._slots:
            started.append(self._start(self._waiters.popleft()))
        return call_queue.QueueDecision(tuple(started))


def choose_random(
    candidates: list[placement.Candidate],
    _demand: placement.CallRequirements,
    random: random_module.Random,
) -> placement.Candidate | None:
    """Returns a random instance."""
    return random.choice(candidates) if candidates else None


def choose_least_loaded(
    candidates: list[placement.Candidate],
    _demand: placement.CallRequirements,
    random: random_module.Random,
) -> placement.Candidate | None:
    """Returns the instance with the fewest calls per slot."""
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda c: (c.outstanding / max(1, c.slots), random.random()),
    )


def fixed_retry_after_s(
    _target_left_s: float,
    _deadline_left_s: float,
    _wait_s: float,
    _uniform: float,
) -> float:
    """Returns the same time in seconds for all refused calls."""
    return FIXED_RETRY_AFTER_S


POLICIES = {
    policy.name: policy
    for policy in (
        model.Policy(
            "present",
            placement.choose,
            call_queue.Queue,
            retry_after.retry_after_s,
        ),
        model.Policy("naive", choose_random, FifoQueue, fixed_retry_after_s),
        model.Policy(
            "shortest",
            choose_least_loaded,
            call_queue.Queue,
            retry_after.retry_after_s,
        ),
        model.Policy(
            "plain-queue",
            placement.choose,
            FifoQueue,
            retry_after.retry_after_s,
        ),
        model.Policy(
            "fixed-return",
            placement.choose,
            call_queue.Queue,
            fixed_retry_after_s,
        ),
    )
}
