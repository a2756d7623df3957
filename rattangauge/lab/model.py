"""Simulates callers, daemons and upstreams around the decisions of the mesh.

Arrivals, work and faults are drawn from a seed. Time is simulated; what the
daemons decide is decided by the same code that they run.
"""

import collections
from collections.abc import Callable
import heapq
import itertools
import random as random_module
from typing import Any
from typing import NamedTuple

from rattangauge.calls import call_queue
from rattangauge.calls import placement
from rattangauge.generated import messages
from rattangauge.lab import patterns
from rattangauge.membership import peers

# One way between zones, and from a caller to its daemon, in seconds.
ZONE_DELAY_S = 0.0005
LOCAL_DELAY_S = 0.0001
CALLER_DELAY_S = 0.003
NEWS_PERIOD_S = 1.0
# Work of a call: most are near the mean, a few are many times longer.
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0
SPREAD = 0.3
# An upstream is slowed for moments by its neighbours.
NOISE_PERIOD_S = 0.6
NOISE_SHARE = 0.15
NOISE_FACTOR = 2.5
MAX_REFUSALS = 3
LARGEST_SHARE = 1.0 / 3.0

Choose = Callable[
    [
        list[placement.Candidate],
        placement.CallRequirements,
        random_module.Random,
    ],
    placement.Candidate | None,
]
RetryAfter = Callable[[float, float, float, float], float]


class Policy(NamedTuple):
    """The decisions that a run uses.

    Attributes:
        name: Name on the command line.
        choose: Chooses an instance.
        make_queue: Returns the queue of an upstream: slots, bound, time.
        retry_after_s: Decides when a refused caller returns.
    """

    name: str
    choose: Choose
    make_queue: Callable[[int, int, float], Any]
    retry_after_s: RetryAfter


class Count(NamedTuple):
    """What became of the calls of one kind.

    Attributes:
        asked: Calls of callers, without their repeats.
        in_time: Answers within the target latency.
        late: Later answers.
        refused: Calls that ended refused.
        failed: Calls without an answer.
        returned_in_vain: Calls that came back and were not served.
        zone_bytes: Bytes between zones.
        latencies_s: Time to each answer.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    returned_in_vain: int
    zone_bytes: int
    latencies_s: tuple[float, ...]

    @property
    def served(self) -> float:
        """Share that was answered."""
        return (self.in_time + self.late) / max(1, self.asked)


class Result(NamedTuple):
    """What a run gave, by kind of call."""

    pattern: patterns.Pattern
    counts: dict[str, Count]

    @property
    def worth(self) -> float:
        """Worth earned, as a share of the worth asked for."""
        earned = owed = 0.0
        for kind in self.pattern.kinds:
            count = self.counts[kind.name]
            owed += kind.worth * count.asked
            earned += kind.worth * count.in_time + kind.late_worth * count.late
        return earned / owed if owed else 1.0


class _Call:
    """One call on its way."""

    def __init__(
        self, kind: patterns.Kind, origin: int, born: float, deadline: float
    ) -> None:
        self.kind = kind
        self.origin = origin
        self.born = born
        self.deadline = deadline
        self.returns = 0
        self.tried: set[str] = set()
        self.done = False
        # Called when an instance is done with the call, and at its end.
        self.on_end: Callable[[bool], None] | None = None
        self.on_done: Callable[[bool], None] | None = None


class _Site:
    """One instance: an upstream with its queue, and a daemon's view."""

    def __init__(
        self, number: int, service: str, worker: patterns.Worker, policy: Policy
    ) -> None:
        self.number = number
        self.worker = worker
        self.address = f"10.0.0.{number + 1}:1"
        self.queue = policy.make_queue(worker.slots, 4 * worker.slots, 0.0)
        self.calls: dict[int, _Call] = {}
        self.index = 0
        self.is_out = False
        self.member = messages.Member(
            zone=worker.zone,
            mesh=self.address,
            service=service,
            upstream=messages.UpstreamState.SERVING,
            slots=worker.slots,
        )
        self.views: dict[str, peers.Peer] = {}

    def load(self, now: float) -> messages.Load:
        """Returns the load as the daemon reports it."""
        state = messages.UpstreamState.SERVING
        if self.is_out:
            state = messages.UpstreamState.DRAINING
        return messages.Load(
            running=self.queue.running,
            queued=self.queue.queued,
            limit=self.queue.slots,
            service_us=int(self.queue.measured_hold_s(now) * 1e6),
            state=state,
        )


class Model:
    """One run of a pattern under a policy."""

    def __init__(
        self, pattern: patterns.Pattern, policy: Policy, seed: int
    ) -> None:
        """Creates a run; ``run`` plays it."""
        self._pattern = pattern
        self._policy = policy
        self._random = random_module.Random(seed)
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._numbers = itertools.count(1)
        self._tally: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._latencies: dict[str, list[float]] = collections.defaultdict(list)
        self._sites = self._make_sites()
        self._by_address = {site.address: site for site in self._sites}

    def _make_sites(self) -> list[_Site]:
        sites: list[_Site] = []
        for service, workers in self._pattern.services.items():
            for index, worker in enumerate(workers):
                site = _Site(len(sites), service, worker, self._policy)
                site.index = index
                sites.append(site)
        for site in sites:
            site.views = {s.address: peers.Peer(s.member) for s in sites}
        return sites

    def run(self) -> Result:
        """Plays the pattern and returns what came of it."""
        for kind in self._pattern.kinds:
            if kind.rate:
                self._schedule_arrival(kind)
        self._tell_news()
        while self._events:
            self._now, _order, action = heapq.heappop(self._events)
            action()
        counts = {kind.name: self._count(kind) for kind in self._pattern.kinds}
        return Result(self._pattern, counts)

    def _count(self, kind: patterns.Kind) -> Count:
        tally = self._tally[kind.name]
        return Count(
            tally["asked"],
            tally["in_time"],
            tally["late"],
            tally["refused"],
            tally["failed"],
            tally["in_vain"],
            tally["zone_bytes"],
            tuple(self._latencies[kind.name]),
        )

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        event = self._now + delay_s, next(self._order), action
        heapq.heappush(self._events, event)

    def _schedule_arrival(self, kind: patterns.Kind) -> None:
        rate = kind.rate * max(0.01, self._pattern.factor(self._now))
        delay_s = self._random.expovariate(rate)
        if self._now + delay_s >= self._pattern.length_s:
            return

        def arrive() -> None:
            self._schedule_arrival(kind)
            self._tally[kind.name]["asked"] += 1
            origin = self._random.randrange(len(self._sites))
            deadline = self._now + kind.deadline_s
            call = _Call(kind, origin, self._now, deadline)
            self._after(CALLER_DELAY_S, lambda: self._place(call))

        self._after(delay_s, arrive)

    def _tell_news(self) -> None:
        for site in self._sites:
            site.is_out = self._is_out(site)
            for other in self._sites:
                other.views[site.address].update_load(
                    site.load(self._now), self._now
                )
        if self._now < self._pattern.length_s:
            self._after(NEWS_PERIOD_S, self._tell_news)

    def _is_out(self, site: _Site) -> bool:
        return any(self._is_hit(site, out) for out in self._pattern.outages)

    def _place(self, call: _Call) -> None:
        """Sends a call to an instance, or refuses it."""
        origin = self._sites[call.origin]
        candidates = [
            view.candidate(origin.worker.zone, self._now)
            for view in origin.views.values()
            if view.is_serving
            and view.member.service == call.kind.service
            and view.member.mesh not in call.tried
        ]
        left_s = call.born + call.kind.target_s - self._now
        demand = placement.CallRequirements(call.kind.size, left_s)
        chosen = self._policy.choose(candidates, demand, self._random)
        if chosen is None or len(call.tried) >= MAX_REFUSALS:
            self._refuse(call)
            return
        call.tried.add(chosen.address)
        site = self._by_address[chosen.address]
        view = origin.views[chosen.address]
        view.own_calls += 1
        delay_s = LOCAL_DELAY_S
        if not chosen.is_local:
            delay_s = ZONE_DELAY_S
            self._tally[call.kind.name]["zone_bytes"] += call.kind.size
        self._after(delay_s, lambda: self._offer(call, site, view, delay_s))

    def _offer(
        self, call: _Call, site: _Site, view: peers.Peer, delay_s: float
    ) -> None:
        def back(served: bool) -> None:
            view.own_calls -= 1
            view.update_load(site.load(self._now), self._now)
            if served:
                self._end(call, True)
            else:
                view.record_refusal(self._now)
                self._place(call)

        site.is_out = self._is_out(site)
        if site.is_out:
            self._after(delay_s, lambda: back(False))
            return
        waiter = call_queue.QueuedCall(
            next(self._numbers),
            call.kind.name,
            call.kind.priority,
            call.returns > 0,
            not call.kind.rate,
            call.born + call.kind.target_s,
            call.deadline,
        )
        call.on_end = lambda served: self._after(delay_s, lambda: back(served))
        site.calls[waiter.number] = call
        self._settle(site, site.queue.offer(waiter, self._now))

    def _settle(self, site: _Site, outcome: call_queue.QueueDecision) -> None:
        for waiter in outcome.refused:
            call = site.calls.pop(waiter.number)
            assert call.on_end is not None
            call.on_end(False)
        for waiter in outcome.started:
            self._start(site, waiter)

    def _start(self, site: _Site, waiter: call_queue.QueuedCall) -> None:
        """Runs a call: its work, then the calls that it makes in turn."""
        call = site.calls.pop(waiter.number)
        began = self._now
        inner = [
            self._kinds[made.kind]
            for made in call.kind.inner
            if self._random.random() < made.share
            for _ in range(made.times)
        ]

        def finish(served: bool) -> None:
            held_s = self._now - began
            assert call.on_end is not None
            if served and self._now <= call.deadline:
                call.on_end(True)
            else:
                self._end(call, False)
            self._settle(site, site.queue.finish(waiter, held_s, self._now))

        def step(served: bool) -> None:
            if not served or not inner:
                finish(served)
                return
            kind = inner.pop()
            deadline = min(call.deadline, self._now + kind.deadline_s)
            made = _Call(kind, site.number, self._now, deadline)
            made.on_done = step
            self._place(made)

        # A run whose caller has gone ends with its deadline.
        work_s = self._work_s(site, call.kind)
        left_s = max(0.0, call.deadline - self._now)
        if work_s > left_s:
            self._after(left_s, lambda: finish(False))
        else:
            self._after(work_s, lambda: step(True))

    def _work_s(self, site: _Site, kind: patterns.Kind) -> float:
        work_s = kind.work_s * site.worker.pace
        work_s *= max(0.2, self._random.gauss(1.0, SPREAD))
        if self._random.random() < TAIL_SHARE:
            work_s *= TAIL_FACTOR
        window = int(self._now / NOISE_PERIOD_S)
        noise = random_module.Random(site.number * 10_007 + window).random()
        if noise < NOISE_SHARE:
            work_s *= NOISE_FACTOR
        for slow in self._pattern.slowdowns:
            if self._is_hit(site, slow):
                work_s *= slow.factor
        return work_s

    def _is_hit(
        self, site: _Site, trouble: patterns.Slowdown | patterns.Outage
    ) -> bool:
        is_it = trouble.service == site.member.service
        is_now = trouble.begin_s <= self._now < trouble.end_s
        return is_it and is_now and trouble.worker == site.index

    def _refuse(self, call: _Call) -> None:
        """Refuses a call; its caller returns if it has time and patience."""
        left_s = call.deadline - self._now
        may_return = call.returns < self._pattern.repeats
        if not call.kind.rate or not may_return or left_s <= 0.0:
            self._tally[call.kind.name]["refused"] += 1
            self._end(call, False, counted=True)
            return
        pause_s = self._policy.retry_after_s(
            call.born + call.kind.target_s - self._now,
            left_s,
            0.0,
            self._random.random(),
        )
        call.returns += 1
        call.tried = set()
        pause_s = min(pause_s, LARGEST_SHARE * left_s) + 2 * CALLER_DELAY_S
        self._after(pause_s, lambda: self._place(call))

    def _end(self, call: _Call, served: bool, counted: bool = False) -> None:
        if call.done:
            return
        call.done = True
        if call.on_done is not None:
            call.on_done(served)
        tally = self._tally[call.kind.name]
        if not served:
            tally["failed"] += not counted
            tally["in_vain"] += call.returns > 0
            return
        latency_s = self._now - call.born
        self._latencies[call.kind.name].append(latency_s)
        in_time = latency_s <= call.kind.target_s
        tally["in_time" if in_time else "late"] += 1
