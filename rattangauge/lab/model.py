"""Discrete-event simulation of callers, daemons and upstreams.

Arrivals and the work of calls are drawn from a seeded random generator; faults
come from the load pattern. Time is simulated. Placement, queues and retry times
use the same code as the daemons, or a policy that replaces it.
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

# One-way delays between zones, within a zone, and from a caller to its daemon,
# in seconds.
BETWEEN_ZONES_DELAY_S = 0.0005
WITHIN_ZONE_DELAY_S = 0.0001
CALLER_DELAY_S = 0.003
# Time between two load reports of an instance to all others.
LOAD_REPORT_PERIOD_S = 1.0
# Work of a call: most calls are near the mean of their kind, with a relative
# standard deviation, and a small share takes many times longer.
LONG_CALL_SHARE = 0.03
LONG_CALL_FACTOR = 7.0
WORK_STANDARD_DEVIATION = 0.3
# Other tenants of the host slow an upstream for a share of such periods.
INTERFERENCE_PERIOD_S = 0.6
INTERFERENCE_SHARE = 0.15
INTERFERENCE_FACTOR = 2.5
# Instances that may refuse a call before the daemon refuses it to the caller.
MAX_ATTEMPTS = 3
# Largest part of its remaining time that a refused caller waits.
MAX_PAUSE_SHARE = 1.0 / 3.0

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
    """The decision functions that a simulation uses.

    Attributes:
        name: Name on the command line.
        choose: Chooses the instance for a call, or None.
        make_queue: Creates the queue of an upstream from its slots, the bound
            of waiting calls and the time in seconds.
        retry_after_s: Returns the time in seconds after which a refused caller
            should return.
    """

    name: str
    choose: Choose
    make_queue: Callable[[int, int, float], Any]
    retry_after_s: RetryAfter


class CallCounts(NamedTuple):
    """Outcomes of the calls of one kind.

    Attributes:
        asked: Calls of callers; a call that returns after a refusal counts
            once.
        in_time: Answers within the target latency.
        late: Answers after the target latency.
        refused: Calls that ended refused.
        failed: Calls without an answer.
        failed_after_return: Calls that returned after a refusal and were still
            not answered.
        zone_bytes: Bytes sent between zones.
        latencies_s: Time to each answer, in seconds.
    """

    asked: int
    in_time: int
    late: int
    refused: int
    failed: int
    failed_after_return: int
    zone_bytes: int
    latencies_s: tuple[float, ...]

    @property
    def served(self) -> float:
        """Share of the calls that were answered."""
        return (self.in_time + self.late) / max(1, self.asked)


class Result(NamedTuple):
    """Result of a simulation.

    Attributes:
        pattern: The load pattern.
        counts: Outcomes by name of the kind of call.
    """

    pattern: patterns.Pattern
    counts: dict[str, CallCounts]

    @property
    def value(self) -> float:
        """Value of all answers, as a share of the value of all calls."""
        earned = possible = 0.0
        for kind in self.pattern.kinds:
            count = self.counts[kind.name]
            possible += kind.value * count.asked
            earned += kind.value * count.in_time + kind.late_value * count.late
        return earned / possible if possible else 1.0


class _Call:
    """One call of a caller or of an upstream."""

    def __init__(
        self,
        kind: patterns.CallKind,
        origin: int,
        created_s: float,
        deadline_s: float,
    ) -> None:
        self.kind = kind
        self.origin = origin
        self.created_s = created_s
        self.deadline_s = deadline_s
        self.returns = 0
        self.tried: set[str] = set()
        self.done = False
        # Called with whether the call was served: on_reply by the instance
        # that had the call, on_done once at the end of the call.
        self.on_reply: Callable[[bool], None] | None = None
        self.on_done: Callable[[bool], None] | None = None


class _Instance:
    """One instance: an upstream, its queue, and its daemon's view of peers."""

    def __init__(
        self,
        number: int,
        service: str,
        spec: patterns.UpstreamSpec,
        policy: Policy,
    ) -> None:
        self.number = number
        self.spec = spec
        self.address = f"10.0.0.{number + 1}:1"
        self.queue = policy.make_queue(spec.slots, 4 * spec.slots, 0.0)
        self.calls: dict[int, _Call] = {}
        self.index = 0
        self.is_down = False
        self.member = messages.Member(
            zone=spec.zone,
            mesh=self.address,
            service=service,
            upstream=messages.UpstreamState.SERVING,
            slots=spec.slots,
        )
        self.peer_views: dict[str, peers.Peer] = {}

    def load(self, now: float) -> messages.Load:
        """Returns the load that the daemon reports at a time in seconds."""
        state = messages.UpstreamState.SERVING
        if self.is_down:
            state = messages.UpstreamState.DRAINING
        return messages.Load(
            running=self.queue.running,
            queued=self.queue.queued,
            limit=self.queue.slots,
            service_us=int(self.queue.measured_hold_s(now) * 1e6),
            state=state,
        )


class Model:
    """One simulation of a load pattern under a policy."""

    def __init__(
        self, pattern: patterns.Pattern, policy: Policy, seed: int
    ) -> None:
        """Creates the instances; ``run`` simulates the pattern."""
        self._pattern = pattern
        self._policy = policy
        self._random = random_module.Random(seed)
        self._kinds = {kind.name: kind for kind in pattern.kinds}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_numbers = itertools.count()
        self._now = 0.0
        self._call_numbers = itertools.count(1)
        self._counters: dict[str, collections.Counter[str]] = (
            collections.defaultdict(collections.Counter)
        )
        self._latencies: dict[str, list[float]] = collections.defaultdict(list)
        self._instances = self._make_instances()
        self._instance_by_address = {
            instance.address: instance for instance in self._instances
        }

    def _make_instances(self) -> list[_Instance]:
        instances: list[_Instance] = []
        for service, workers in self._pattern.services.items():
            for index, spec in enumerate(workers):
                instance = _Instance(
                    len(instances), service, spec, self._policy
                )
                instance.index = index
                instances.append(instance)
        for instance in instances:
            instance.peer_views = {
                s.address: peers.Peer(s.member) for s in instances
            }
        return instances

    def run(self) -> Result:
        """Simulates the pattern and returns the outcomes of its calls."""
        for kind in self._pattern.kinds:
            if kind.rate:
                self._schedule_arrival(kind)
        self._exchange_loads()
        while self._events:
            self._now, _number, action = heapq.heappop(self._events)
            action()
        counts = {
            kind.name: self._count_calls(kind) for kind in self._pattern.kinds
        }
        return Result(self._pattern, counts)

    def _count_calls(self, kind: patterns.CallKind) -> CallCounts:
        counter = self._counters[kind.name]
        return CallCounts(
            counter["asked"],
            counter["in_time"],
            counter["late"],
            counter["refused"],
            counter["failed"],
            counter["in_vain"],
            counter["zone_bytes"],
            tuple(self._latencies[kind.name]),
        )

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        event = self._now + delay_s, next(self._event_numbers), action
        heapq.heappush(self._events, event)

    def _schedule_arrival(self, kind: patterns.CallKind) -> None:
        rate = kind.rate * max(0.01, self._pattern.factor(self._now))
        if kind.factor is not None:
            rate *= kind.factor(self._now)
        delay_s = self._random.expovariate(rate)
        if self._now + delay_s >= self._pattern.duration_s:
            return

        def arrive() -> None:
            self._schedule_arrival(kind)
            self._counters[kind.name]["asked"] += 1
            origin = self._random.randrange(len(self._instances))
            deadline_s = self._now + kind.deadline_s
            call = _Call(kind, origin, self._now, deadline_s)
            self._schedule(CALLER_DELAY_S, lambda: self._place(call))

        self._schedule(delay_s, arrive)

    def _exchange_loads(self) -> None:
        for instance in self._instances:
            instance.is_down = self._is_down(instance)
            for observer in self._instances:
                observer.peer_views[instance.address].update_load(
                    instance.load(self._now), self._now
                )
        if self._now < self._pattern.duration_s:
            self._schedule(LOAD_REPORT_PERIOD_S, self._exchange_loads)

    def _is_down(self, instance: _Instance) -> bool:
        return any(
            self._is_affected(instance, outage)
            for outage in self._pattern.outages
        )

    def _place(self, call: _Call) -> None:
        """Sends a call to an instance, or refuses it."""
        origin = self._instances[call.origin]
        candidates = [
            view.candidate(origin.spec.zone, self._now)
            for view in origin.peer_views.values()
            if view.is_serving
            and view.member.service == call.kind.service
            and view.member.mesh not in call.tried
        ]
        left_s = call.created_s + call.kind.target_s - self._now
        demand = placement.CallRequirements(call.kind.size, left_s)
        chosen = self._policy.choose(candidates, demand, self._random)
        if chosen is None or len(call.tried) >= MAX_ATTEMPTS:
            self._refuse(call)
            return
        call.tried.add(chosen.address)
        instance = self._instance_by_address[chosen.address]
        view = origin.peer_views[chosen.address]
        view.own_calls += 1
        delay_s = WITHIN_ZONE_DELAY_S
        if not chosen.is_local:
            delay_s = BETWEEN_ZONES_DELAY_S
            self._counters[call.kind.name]["zone_bytes"] += call.kind.size
        self._schedule(
            delay_s, lambda: self._offer(call, instance, view, delay_s)
        )

    def _offer(
        self, call: _Call, instance: _Instance, view: peers.Peer, delay_s: float
    ) -> None:
        def receive_reply(served: bool) -> None:
            view.own_calls -= 1
            view.update_load(instance.load(self._now), self._now)
            if served:
                self._end(call, True)
            else:
                view.record_refusal(self._now)
                self._place(call)

        instance.is_down = self._is_down(instance)
        if instance.is_down:
            self._schedule(delay_s, lambda: receive_reply(False))
            return
        waiter = call_queue.QueuedCall(
            next(self._call_numbers),
            call.kind.name,
            call.kind.priority,
            call.returns > 0,
            not call.kind.rate,
            call.created_s + call.kind.target_s,
            call.deadline_s,
        )
        call.on_reply = lambda served: self._schedule(
            delay_s, lambda: receive_reply(served)
        )
        instance.calls[waiter.number] = call
        self._apply_outcome(instance, instance.queue.offer(waiter, self._now))

    def _apply_outcome(
        self, instance: _Instance, outcome: call_queue.QueueDecision
    ) -> None:
        for waiter in outcome.refused:
            call = instance.calls.pop(waiter.number)
            assert call.on_reply is not None
            call.on_reply(False)
        for waiter in outcome.started:
            self._start(instance, waiter)

    def _start(
        self, instance: _Instance, waiter: call_queue.QueuedCall
    ) -> None:
        """Runs a call: its work, then its inner calls one after the other."""
        call = instance.calls.pop(waiter.number)
        start_s = self._now
        inner = [
            self._kinds[made.kind]
            for made in call.kind.inner
            if self._random.random() < made.share
            for _ in range(made.times)
        ]

        def finish(served: bool) -> None:
            held_s = self._now - start_s
            assert call.on_reply is not None
            if served and self._now <= call.deadline_s:
                call.on_reply(True)
            else:
                self._end(call, False)
            self._apply_outcome(
                instance, instance.queue.finish(waiter, held_s, self._now)
            )

        def run_next_inner(served: bool) -> None:
            if not served or not inner:
                finish(served)
                return
            kind = inner.pop()
            deadline_s = min(call.deadline_s, self._now + kind.deadline_s)
            made = _Call(kind, instance.number, self._now, deadline_s)
            made.on_done = run_next_inner
            self._place(made)

        # A call that cannot finish its work in time ends at its deadline.
        work_s = self._work_s(instance, call.kind)
        left_s = max(0.0, call.deadline_s - self._now)
        if work_s > left_s:
            self._schedule(left_s, lambda: finish(False))
        else:
            self._schedule(work_s, lambda: run_next_inner(True))

    def _work_s(self, instance: _Instance, kind: patterns.CallKind) -> float:
        work_s = kind.work_s * instance.spec.time_factor
        work_s *= max(0.2, self._random.gauss(1.0, WORK_STANDARD_DEVIATION))
        if self._random.random() < LONG_CALL_SHARE:
            work_s *= LONG_CALL_FACTOR
        window = int(self._now / INTERFERENCE_PERIOD_S)
        draw = random_module.Random(instance.number * 10_007 + window).random()
        if draw < INTERFERENCE_SHARE:
            work_s *= INTERFERENCE_FACTOR
        for slowdown in self._pattern.slowdowns:
            if self._is_affected(instance, slowdown):
                work_s *= slowdown.factor
        return work_s

    def _is_affected(
        self, instance: _Instance, fault: patterns.Slowdown | patterns.Outage
    ) -> bool:
        is_same_service = fault.service == instance.member.service
        is_now = fault.begin_s <= self._now < fault.end_s
        return is_same_service and is_now and fault.worker == instance.index

    def _refuse(self, call: _Call) -> None:
        """Refuses a call.

        Its caller returns if it has time left and has not yet returned as often
        as the pattern permits. Inner calls never return.
        """
        left_s = call.deadline_s - self._now
        may_return = call.returns < self._pattern.max_returns
        if not call.kind.rate or not may_return or left_s <= 0.0:
            self._counters[call.kind.name]["refused"] += 1
            self._end(call, False, counted=True)
            return
        pause_s = self._policy.retry_after_s(
            call.created_s + call.kind.target_s - self._now,
            left_s,
            0.0,
            self._random.random(),
        )
        call.returns += 1
        call.tried = set()
        pause_s = min(pause_s, MAX_PAUSE_SHARE * left_s) + 2 * CALLER_DELAY_S
        self._schedule(pause_s, lambda: self._place(call))

    def _end(self, call: _Call, served: bool, counted: bool = False) -> None:
        if call.done:
            return
        call.done = True
        if call.on_done is not None:
            call.on_done(served)
        counter = self._counters[call.kind.name]
        if not served:
            counter["failed"] += not counted
            counter["in_vain"] += call.returns > 0
            return
        latency_s = self._now - call.created_s
        self._latencies[call.kind.name].append(latency_s)
        in_time = latency_s <= call.kind.target_s
        counter["in_time" if in_time else "late"] += 1
