"""Simulation of the upstreams of a service under seeded random arrivals.

One event loop with a simulated clock runs all upstreams. The code under test
and a naive client can be run with the same arrivals.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any
from typing import NamedTuple

from rattangauge.calls import admission
from rattangauge.calls import limits
from rattangauge.calls import upstream_selection
from rattangauge.calls import upstream_stats
from rattangauge.generated import messages
from tests import builders

SLOTS = 9
WORK_S = 0.04
DEADLINE_S = 1.0
RETRIES = 2
SHORT_SHARE = 0.25


class Arrival(NamedTuple):
    """A call that arrives.

    Attributes:
        time: Time of its arrival, in seconds.
        work_s: Mean service time of the call, in seconds.
        is_long: Whether it is a long call.
    """

    time: float
    work_s: float = WORK_S
    is_long: bool = False


class Result(NamedTuple):
    """An answered call.

    Attributes:
        arrival: The call.
        latency_s: Time from its arrival to its answer, in seconds.
        upstream: Index of the upstream that answered.
    """

    arrival: Arrival
    latency_s: float | None
    upstream: int


class Upstream:
    """An upstream with slots and an unbounded queue of its own.

    Attributes:
        slots: Calls that run at a time.
        slow_factor: Factor on the service time of all calls.
        running: Calls that run.
        started_count: Calls that have been started so far.
        backlog: Functions that start the queued calls.
    """

    def __init__(self, slots: int = SLOTS) -> None:
        """Creates an idle upstream."""
        self.slots = slots
        self.slow_factor = 1.0
        self.running = 0
        self.started_count = 0
        self.backlog: list[Callable[[float], None]] = []

    def submit(self, start: Callable[[float], None], now: float) -> None:
        """Starts a call, at once or when a slot is free."""
        if self.running < self.slots:
            self.running += 1
            self.started_count += 1
            start(now)
        else:
            self.backlog.append(start)

    def release(self, now: float) -> None:
        """Frees a slot."""
        self.running -= 1
        if self.backlog:
            self.submit(self.backlog.pop(0), now)


class Loop:
    """Event loop with a simulated clock, and the upstreams that it runs.

    Attributes:
        upstreams: The upstreams of the service.
        random: Source of random numbers.
        results: Calls that have been answered in time.
        attempts: Attempts at all calls so far.
        now: Simulated time, in seconds.
    """

    def __init__(self, upstreams: list[Upstream], seed: int) -> None:
        """Creates a loop at time 0."""
        self.upstreams = upstreams
        self.random = random.Random(seed)
        self.results: list[Result] = []
        self.attempts = 0
        self.now = 0.0
        self._events: list[Any] = []
        self._order = itertools.count()

    def at(self, time: float, action: Callable[[float], None]) -> None:
        """Schedules an action, which is called with the time, in seconds."""
        heapq.heappush(self._events, (time, next(self._order), action))

    def run(
        self,
        arrivals: list[Arrival],
        handle: Callable[[Arrival, float], None],
        until: float,
    ) -> list[Result]:
        """Runs all arrivals; returns the calls that were answered in time."""
        for arrival in arrivals:
            self.at(arrival.time, lambda now, a=arrival: handle(a, now))
        while self._events and self._events[0][0] < until:
            self.now, _, action = heapq.heappop(self._events)
            action(self.now)
        return self.results

    def work(
        self, index: int, arrival: Arrival, done: Callable[[float], None]
    ) -> None:
        """Runs a call on an upstream; calls ``done`` when it has ended."""
        upstream = self.upstreams[index]

        def start(now: float) -> None:
            seconds = arrival.work_s * upstream.slow_factor
            self.at(now + seconds * self.random.uniform(0.8, 1.2), finish)

        def finish(now: float) -> None:
            upstream.release(now)
            done(now)

        upstream.submit(start, self.now)


def arrivals(
    rate: float, until: float, seed: int, work_s: float = WORK_S
) -> list[Arrival]:
    """Returns arrivals of a Poisson process with ``rate`` calls a second."""
    source = random.Random(seed)
    calls = []
    time = 0.0
    while time < until:
        time += source.expovariate(rate)
        calls.append(Arrival(time, work_s))
    return calls


def naive(loop: Loop) -> Callable[[Arrival, float], None]:
    """Returns a client that uses round robin and retries all late calls."""
    counter = itertools.count()

    def handle(arrival: Arrival, _now: float) -> None:
        call_state = {"done": False}

        def attempt(number: int) -> None:
            loop.attempts += 1
            index = next(counter) % len(loop.upstreams)
            started_at = loop.now
            attempt_state = {"done": False}

            def done(now: float) -> None:
                attempt_state["done"] = True
                if call_state["done"] or now - started_at > DEADLINE_S:
                    return
                call_state["done"] = True
                latency = now - arrival.time
                loop.results.append(Result(arrival, latency, index))

            def late(_now: float) -> None:
                if (
                    not attempt_state["done"]
                    and not call_state["done"]
                    and number < RETRIES
                ):
                    attempt(number + 1)

            loop.work(index, arrival, done)
            loop.at(started_at + DEADLINE_S, late)

        attempt(0)

    return handle


class _Call:
    """A call and its attempts that have no answer yet, by number."""

    def __init__(self) -> None:
        self.waiting: dict[int, tuple[upstream_stats.View, float]] = {}
        self.is_answered = False


class Mesh:
    """A daemon that selects upstreams, and the admission queue of each.

    Attributes:
        loop: Loop that runs the upstreams.
        group: Measurements of the upstreams.
        refused: Calls that were refused by all upstreams that were tried.
        queues: Admission queues of the upstreams.
        candidates: The upstreams as candidates for selection.
    """

    def __init__(
        self,
        loop: Loop,
        advertised: int = SLOTS,
        queue: int = 64,
        hedges: bool = False,
    ) -> None:
        """Creates a daemon and queues whose cold start is over.

        Args:
            loop: Loop that runs the upstreams.
            advertised: Slots that each upstream advertises.
            queue: Calls that may wait at each upstream.
            hedges: Whether late calls get a second attempt.
        """
        self._hedges = hedges
        self.loop = loop
        self.group = upstream_stats.Group()
        self.refused = 0
        self._numbers = itertools.count(1)
        self._start_functions: dict[int, Callable[[], None]] = {}
        self._refuse_functions: dict[
            int, Callable[[admission.Refusal], None]
        ] = {}
        self.queues = [
            admission.Admission(
                limits.Limit(advertised, -10.0), queue, SHORT_SHARE
            )
            for _ in loop.upstreams
        ]
        members = [
            builders.member(str(index), slots=advertised)
            for index in range(len(loop.upstreams))
        ]
        self.candidates = [
            upstream_selection.Candidate(
                member, self.group.view(member, -10.0), True, True
            )
            for member in members
        ]

    def another_daemon(self) -> "Mesh":
        """Returns a daemon with the same upstreams but its own measurements."""
        other = Mesh(self.loop, hedges=self._hedges)
        other.queues = self.queues
        other._numbers = self._numbers
        other._start_functions = self._start_functions
        other._refuse_functions = self._refuse_functions
        return other

    def handle(self, arrival: Arrival, now: float) -> None:
        """Runs a call; a refused attempt is retried at other upstreams."""
        call = _Call()
        self._attempt(arrival, now, self.candidates, RETRIES, call)
        if not self._hedges or arrival.is_long:
            return
        self.group.hedge.add_call()
        delay_s = self.group.hedge.delay_s
        if delay_s:
            self.loop.at(now + delay_s, lambda _now: self._hedge(arrival, call))

    def _hedge(self, arrival: Arrival, call: "_Call") -> None:
        if call.is_answered or not call.waiting:
            return
        loop = self.loop
        waiting = [view for view, _ in call.waiting.values()]
        for view in waiting:
            view.doubt(loop.now)
        others = [c for c in self.candidates if c.view not in waiting]
        second = upstream_selection.choose_second(
            others, loop.now, loop.random, self.group.median_s
        )
        if second is not None and self.group.hedge.take():
            self._attempt(arrival, loop.now, [second], 0, call)

    def _observe(
        self, index: int, arrival: Arrival, seconds: float, now: float
    ) -> None:
        queue = self.queues[index]
        if not arrival.is_long:
            queue.limit.observe(seconds, queue.running, now)

    def _answer(self, call: "_Call", number: int, now: float) -> None:
        """Ends all attempts of a call after one of them was answered."""
        call.is_answered = True
        view, started_at = call.waiting.pop(number)
        view.end(number)
        self.group.observe(view, now - started_at, now)
        for other, (view, started_at) in call.waiting.items():
            view.end(other)
            self.group.observe_least(view, now - started_at, now)

    def _attempt(
        self,
        arrival: Arrival,
        now: float,
        candidates: list[upstream_selection.Candidate],
        left: int,
        call: "_Call",
    ) -> None:
        loop = self.loop
        loop.attempts += 1
        chosen = upstream_selection.choose(
            candidates, now, loop.random, self.group.median_s
        )
        index = int(chosen.member.instance)
        number = next(self._numbers)
        deadline = arrival.time + (60.0 if arrival.is_long else DEADLINE_S)
        ticket = admission.Ticket(number, "t", 5, arrival.is_long, deadline)
        chosen.view.begin(number, arrival.is_long, now)
        call.waiting[number] = chosen.view, now

        def start() -> None:
            started_at = loop.now
            loop.work(index, arrival, lambda t: done(t, t - started_at))

        def done(time: float, seconds: float) -> None:
            self._observe(index, arrival, seconds, time)
            chosen.view.report(self._load(index, time), time)
            is_first = not call.is_answered
            if arrival.is_long:
                chosen.view.end(number)
            elif is_first:
                self._answer(call, number, time)
            latency = time - arrival.time
            if is_first and time <= deadline:
                loop.results.append(Result(arrival, latency, index))
            self._apply(self.queues[index].finish(ticket, seconds, time))

        def refuse(refusal: admission.Refusal) -> None:
            chosen.view.refuse(refusal.retry_after_ms, loop.now)
            if call.is_answered:
                return
            chosen.view.end(number)
            call.waiting.pop(number, None)
            others = [c for c in candidates if c is not chosen]
            if left and others:
                self._attempt(arrival, loop.now, others, left - 1, call)
            elif not call.waiting:
                self.refused += 1

        self._start_functions[number] = start
        self._refuse_functions[number] = refuse
        self._apply(self.queues[index].offer(ticket, now))

    def _apply(self, outcome: admission.Outcome) -> None:
        for ticket in outcome.started:
            self._start_functions.pop(ticket.number)()
        for refusal in outcome.refused:
            self._refuse_functions.pop(refusal.ticket.number)(refusal)

    def _load(self, index: int, now: float) -> messages.Load:
        queue = self.queues[index]
        return messages.Load(
            running=queue.running,
            queued=queue.queued,
            limit=queue.limit.value(now),
            state=messages.UpstreamState.SERVING,
        )
