"""Policies of the model: the present one, and those it is compared with."""

from collections import deque
import random as random_module

from rattangauge.calls import call_queue
from rattangauge.calls import placement
from rattangauge.calls import retry_after
from rattangauge.lab import model

FIXED_PAUSE_S = 0.1


class PlainQueue(call_queue.Queue):
    """First come, first served, refusing only what exceeds a bound."""

    def __init__(self, slots: int, bound: int, now: float) -> None:
        """Creates an empty queue."""
        super().__init__(slots, bound, now)
        self._line: deque[call_queue.QueuedCall] = deque()

    @property
    def queued(self) -> int:
        """Calls that wait for a slot."""
        return len(self._line)

    def offer(
        self, waiter: call_queue.QueuedCall, now: float
    ) -> call_queue.QueueDecision:
        """Takes a call: it is started, queued or refused."""
        if len(self._line) >= self._bound:
            return call_queue.QueueDecision(refused=(waiter,))
        self._line.append(waiter)
        return self.advance(now)

    def advance(self, now: float) -> call_queue.QueueDecision:
        """Starts waiting calls while there are slots."""
        started = []
        self._pace.advance(self.running, now)
        while self._line and self.running < self._slots:
            started.append(self._start(self._line.popleft()))
        return call_queue.QueueDecision(tuple(started))


def choose_any(
    candidates: list[placement.Candidate],
    _demand: placement.CallRequirements,
    random: random_module.Random,
) -> placement.Candidate | None:
    """Returns any instance."""
    return random.choice(candidates) if candidates else None


def choose_shortest(
    candidates: list[placement.Candidate],
    _demand: placement.CallRequirements,
    random: random_module.Random,
) -> placement.Candidate | None:
    """Returns the instance with the fewest calls for its slots."""
    if not candidates:
        return None
    return min(
        candidates,
        key=lambda c: (c.outstanding / max(1, c.slots), random.random()),
    )


def fixed_pause_s(
    _target_left_s: float,
    _deadline_left_s: float,
    _wait_s: float,
    _uniform: float,
) -> float:
    """Returns the same pause for all."""
    return FIXED_PAUSE_S


POLICIES = {
    policy.name: policy
    for policy in (
        model.Policy(
            "present",
            placement.choose,
            call_queue.Queue,
            retry_after.retry_after_s,
        ),
        model.Policy("naive", choose_any, PlainQueue, fixed_pause_s),
        model.Policy(
            "shortest",
            choose_shortest,
            call_queue.Queue,
            retry_after.retry_after_s,
        ),
        model.Policy(
            "plain-queue",
            placement.choose,
            PlainQueue,
            retry_after.retry_after_s,
        ),
        model.Policy(
            "fixed-return", placement.choose, call_queue.Queue, fixed_pause_s
        ),
    )
}
