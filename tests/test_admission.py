"""Tests of the admission queue of one upstream."""

import collections

from hypothesis import given
from hypothesis import strategies

from rattangauge.calls import admission
from rattangauge.calls import limits
from rattangauge.generated import errorcodes

SLOTS = 8


def _queue(slots=SLOTS, bound=16):
    limit = limits.Limit(slots, -10.0)
    limit._limit = float(slots)
    return admission.AdmissionQueue(limit, bound, 0.25)


def _ticket(number, tenant="t", priority=5, is_long=False, deadline=1e9):
    return admission.SlotRequest(number, tenant, priority, is_long, deadline)


def _occupy_slots(queue, count=SLOTS):
    for number in range(count):
        ticket = _ticket(1000 + number)
        assert queue.offer(ticket, 0.0).started == (ticket,)
    return [_ticket(1000 + number) for number in range(count)]


def test_lowest_priority_is_refused_first():
    """Guards against refusing calls of high priority for those of low one."""
    queue = _queue(bound=2)
    _occupy_slots(queue)
    queue.offer(_ticket(1, priority=3), 0.0)
    queue.offer(_ticket(2, priority=1), 0.0)
    refused = queue.offer(_ticket(3, priority=9), 0.0).refused
    assert [refusal.ticket.number for refusal in refused] == [2]
    refused = queue.offer(_ticket(4, priority=0), 0.0).refused
    assert [refusal.ticket.number for refusal in refused] == [4]
    assert refused[0].retry_after_ms > 0


def test_call_that_cannot_finish_in_time_is_refused_at_once():
    """Guards against queueing calls that must miss their deadline."""
    queue = _queue()
    _occupy_slots(queue)
    queue.limit.observe(1.0, SLOTS, 0.0)
    refused = queue.offer(_ticket(1, deadline=1.0), 0.0).refused
    assert refused[0].code == errorcodes.CALL_OVERLOADED
    assert queue.offer(_ticket(2, deadline=2.0), 0.0).refused == ()


def test_tenants_share_the_slots():
    """Guards against a tenant with many calls that takes all slots."""
    queue = _queue(bound=64)
    running = collections.deque(_occupy_slots(queue))
    for number in range(30):
        queue.offer(_ticket(number, "greedy"), 0.0)
    for number in range(30, 40):
        queue.offer(_ticket(number, "modest"), 0.0)
    started = []
    for _ in range(20):
        outcome = queue.finish(running.popleft(), 0.01, 0.0)
        started += outcome.started
        running += outcome.started
    shares = collections.Counter(ticket.tenant for ticket in started)
    assert shares["modest"] >= 8


def test_full_queue_makes_room_for_a_tenant_with_fewer_calls():
    """Guards against refusing other tenants when one fills the queue."""
    queue = _queue(bound=8)
    _occupy_slots(queue)
    for number in range(8):
        queue.offer(_ticket(number, "greedy"), 0.0)
    refused = queue.offer(_ticket(9, "modest"), 0.0).refused
    assert [refusal.ticket.tenant for refusal in refused] == ["greedy"]


def test_long_calls_leave_slots_and_room_for_short_ones():
    """Guards against long calls that block short ones.

    This must also hold when the limit is lowered while long calls run.
    """
    queue = _queue(bound=8)
    for number in range(20):
        queue.offer(_ticket(number, is_long=True), 0.0)
    assert queue.running == 6
    queue.limit._limit = 2.0
    short = _ticket(100)
    assert queue.offer(short, 0.0).started == (short,)
    assert queue.queued == 6


def test_drain_returns_the_whole_queue():
    """Guards against queued calls without an answer when the upstream stops."""
    queue = _queue()
    running = _occupy_slots(queue)
    for number in range(5):
        queue.offer(_ticket(number, tenant=str(number % 2)), 0.0)
    refused = queue.drain(0.0).refused
    assert {refusal.code for refusal in refused} == {errorcodes.CALL_DRAINING}
    assert len(refused) == 5
    assert queue.queued == 0
    assert queue.offer(_ticket(9), 0.0).refused
    assert queue.finish(running[0], 0.01, 0.0).started == ()


_STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("offer", "finish", "withdraw", "advance")),
        strategies.sampled_from(("a", "b", "c")),
        strategies.integers(0, 9),
        strategies.booleans(),
        strategies.floats(0.0, 0.2),
    ),
    max_size=120,
)


@given(_STEPS)
def test_each_ticket_has_one_outcome(steps):
    """Guards against a call that is both refused and started, or neither."""
    queue = _queue(bound=4)
    waiting, running = {}, {}
    refused = set()

    def record(outcome):
        for refusal in outcome.refused:
            refused.add(waiting.pop(refusal.ticket.number).number)
        for ticket in outcome.started:
            running[ticket.number] = waiting.pop(ticket.number)

    for number, (action, tenant, priority, is_long, seconds) in enumerate(
        steps
    ):
        now = number * 0.01
        ticket = _ticket(number, tenant, priority, is_long, now + seconds)
        if action == "offer":
            waiting[number] = ticket
            record(queue.offer(ticket, now))
        elif action == "finish" and running:
            ticket = running.pop(next(iter(running)))
            record(queue.finish(ticket, seconds, now))
        elif action == "withdraw" and waiting:
            queue.withdraw(waiting.pop(next(iter(waiting))))
        else:
            record(queue.advance(now))
        assert queue.running == len(running) <= SLOTS
        assert queue.queued == len(waiting) <= 4
        assert not refused & (waiting.keys() | running.keys())
