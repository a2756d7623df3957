"""Slots that long calls leave free for short urgent ones."""

import functools

from rattangauge.calls import call_queue
from rattangauge.calls import slot_reserve
from rattangauge.lab import model
from rattangauge.lab import patterns
from rattangauge.lab import policies
from tests import builders

SLOTS = 9
LONG_S, SHORT_S = 1.2, 0.08
# Time after which short calls count as having ceased.
IDLE_S = 5.0


def _long(number):
    return builders.waiter(
        number, kind="preview", priority=7, target_at=90.0, deadline=99.0
    )


def _short(number):
    return builders.waiter(
        number, kind="checksum", inner=True, target_at=90.0, deadline=99.0
    )


def _measured_queue():
    """Returns an idle queue that knows how long both kinds take."""
    queue = call_queue.Queue(SLOTS, 36, 0.0)
    now = 0.0
    for number, (waiter, held_s) in enumerate(
        [(_long(0), LONG_S), (_short(1), SHORT_S)]
    ):
        queue.offer(waiter._replace(number=number), now)
        now += held_s
        queue.finish(waiter._replace(number=number), held_s, now)
    return queue, now


def _busy_queue():
    """Returns the same queue after a second of short calls; none is left."""
    queue, now = _measured_queue()
    for number in range(100, 120):
        queue.offer(_short(number), now)
        now += 0.05
        queue.finish(_short(number), SHORT_S, now)
    return queue, now


def _started(queue, waiters, now):
    return sum(len(queue.offer(waiter, now).started) for waiter in waiters)


def test_long_calls_leave_slots_while_urgent_ones_arrive():
    """Guards against a short call that waits for long ones to end."""
    queue, now = _busy_queue()
    long_calls = [_long(n) for n in range(10, 30)]
    assert _started(queue, long_calls, now) == slot_reserve.max_long(SLOTS)
    assert len(queue.offer(_short(40), now).started) == 1


def test_long_calls_take_all_slots_once_urgent_ones_cease():
    """Guards against slots that nobody uses."""
    queue, now = _busy_queue()
    now += IDLE_S
    assert _started(queue, [_long(n) for n in range(10, 30)], now) == SLOTS


def test_rare_urgent_calls_reserve_nothing():
    """Guards against a check every second that costs a third of the slots."""
    queue, now = _measured_queue()
    assert _started(queue, [_long(n) for n in range(10, 30)], now) == SLOTS


def test_waiting_long_calls_start_when_the_reserve_is_not_needed_any_more():
    """Guards against a long call that is forgotten in the queue."""
    queue, now = _busy_queue()
    _started(queue, [_long(n) for n in range(10, 20)], now)
    now += IDLE_S
    assert len(queue.advance(now).started) == SLOTS - slot_reserve.max_long(
        SLOTS
    )


def test_reserved_slots_are_looked_at_again():
    """Guards against a long call that waits beside free slots."""
    queue, now = _busy_queue()
    _started(queue, [_long(n) for n in range(10, 20)], now)
    assert queue.next_start_s(now) == slot_reserve.CHECK_PERIOD_S
    now += IDLE_S
    assert queue.next_start_s(now) == 0.0


def test_a_short_call_passes_waiting_long_ones():
    """Guards against reserved slots that stay empty behind long calls."""
    queue, now = _busy_queue()
    _started(queue, [_long(n) for n in range(10, 30)], now)
    assert queue.queued > 0
    ordinary = builders.waiter(
        50, kind="frame", priority=7, target_at=90.0, deadline=99.0
    )
    queue._update_kind("frame", 2 * SHORT_S)
    assert len(queue.offer(ordinary, now).started) == 1


def test_kinds_of_calls_that_have_ceased_are_forgotten():
    """Guards against a look at hundreds of routes for each call."""
    recent = slot_reserve.RecentArrivals()
    for number in range(1000):
        recent.add(f"route-{number}", (False, 5), number * 0.5)
    assert len(recent._arrivals) < 20


class _QueueWithoutReserve(call_queue.Queue):
    def _has_slot(self, _waiter, _now):
        return self.running < self._slots


@functools.cache
def _replay(queue, seed):
    policy = policies.POLICIES["present"]._replace(make_queue=queue)
    pattern = patterns.PATTERNS["previews"]._replace(duration_s=10.0)
    return model.Model(pattern, policy, seed).run()


def test_a_burst_of_previews_delays_fewer_lookups():
    """Guards against lookups that are late behind calls of low priority."""
    late = {
        queue: sum(_replay(queue, s).counts["lookup"].late for s in (1, 2, 3))
        for queue in (call_queue.Queue, _QueueWithoutReserve)
    }
    assert late[call_queue.Queue] < 0.9 * late[_QueueWithoutReserve]
