"""Tests of upstream selection, admission and limits on a simulated service.

Some compare their goodput with that of a naive client on the same arrivals.
"""

import random

import pytest

from rattangauge.calls import limits
from tests import model_calls as model

UPSTREAMS = 4
CAPACITY_PER_S = UPSTREAMS * model.SLOTS / model.WORK_S
RUN_S = 3.0


def _upstreams(count=UPSTREAMS, slots=model.SLOTS):
    return [model.Upstream(slots) for _ in range(count)]


def _goodput(results):
    return len(results) / RUN_S


def _run_mesh(rate, seed, upstreams, **options):
    loop = model.Loop(upstreams, seed)
    mesh = model.Mesh(loop, **options)
    arrivals = model.arrivals(rate, RUN_S, seed)
    return mesh, loop.run(arrivals, mesh.handle, RUN_S + 1.0)


def _run_naive(rate, seed, upstreams):
    loop = model.Loop(upstreams, seed)
    arrivals = model.arrivals(rate, RUN_S, seed)
    return loop.run(arrivals, model.naive(loop), RUN_S + 1.0)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_goodput_stays_flat_past_capacity(seed):
    """Guards against queues that grow until all calls miss their deadline."""
    _, at_capacity = _run_mesh(CAPACITY_PER_S, seed, _upstreams())
    _, past = _run_mesh(4 * CAPACITY_PER_S, seed, _upstreams())
    naive = _run_naive(4 * CAPACITY_PER_S, seed, _upstreams())
    assert _goodput(past) > 0.9 * _goodput(at_capacity)
    assert _goodput(past) > 0.85 * CAPACITY_PER_S
    assert _goodput(naive) < 0.5 * _goodput(past)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_refused_calls_never_begin(seed):
    """Guards against a call that is refused as "not run" but runs (P5)."""
    upstreams = _upstreams()
    mesh, results = _run_mesh(4 * CAPACITY_PER_S, seed, upstreams)
    offered = len(model.arrivals(4 * CAPACITY_PER_S, RUN_S, seed))
    started_count = sum(upstream.started_count for upstream in upstreams)
    assert mesh.refused > 0
    assert started_count == offered - mesh.refused
    assert started_count >= len(results)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_upstream_that_advertises_too_many_slots(seed):
    """Guards against more running calls than an upstream can serve in time."""
    mesh, results = _run_mesh(
        2 * CAPACITY_PER_S, seed, _upstreams(), advertised=50 * model.SLOTS
    )
    assert _goodput(results) > 0.8 * CAPACITY_PER_S
    limit = max(queue.limit.value(RUN_S) for queue in mesh.queues)
    assert limit < 6 * model.SLOTS


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("factor", [5.0, 20.0])
def test_slowed_upstream_loses_its_share_within_a_few_answers(seed, factor):
    """Guards against calls to a slow upstream until a report shows it."""
    upstreams = _upstreams()
    loop = model.Loop(upstreams, seed)
    mesh = model.Mesh(loop)
    loop.at(1.0, lambda _now: setattr(upstreams[0], "slow_factor", factor))
    arrivals = model.arrivals(0.3 * CAPACITY_PER_S, 6.0, seed)
    results = loop.run(arrivals, mesh.handle, 8.0)
    late = [r for r in results if r.arrival.time > 1.0]
    slowed = [r for r in late if r.upstream == 0]
    assert len(slowed) < 0.03 * len(late)
    assert len([r for r in slowed if r.arrival.time > 1.5]) > 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_recovered_upstream_gets_its_share_back(seed):
    """Guards against an upstream that stays ejected after it has recovered."""
    upstreams = _upstreams()
    loop = model.Loop(upstreams, seed)
    mesh = model.Mesh(loop)
    loop.at(0.5, lambda _now: setattr(upstreams[0], "slow_factor", 20.0))
    loop.at(1.0, lambda _now: setattr(upstreams[0], "slow_factor", 1.0))
    arrivals = model.arrivals(0.3 * CAPACITY_PER_S, 6.0, seed)
    results = loop.run(arrivals, mesh.handle, 7.0)
    late = [r for r in results if r.arrival.time > 5.0]
    share = sum(r.upstream == 0 for r in late) / len(late)
    assert share > 0.6 / UPSTREAMS


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_short_calls_pass_long_uploads(seed):
    """Guards against long uploads that take all slots of an upstream."""
    upstreams = _upstreams(2)
    loop = model.Loop(upstreams, seed)
    mesh = model.Mesh(loop)
    uploads = [
        model.Arrival(0.1 + i * 0.001, 30.0, is_long=True) for i in range(60)
    ]
    shorts = model.arrivals(100.0, RUN_S, seed)
    results = loop.run(uploads + shorts, mesh.handle, RUN_S + 1.0)
    answered = [r for r in results if not r.arrival.is_long]
    assert len(answered) == len(shorts)
    assert max(r.latency_s for r in answered) < 0.4


def _run_with_slow_periods(seed, slowed, hedges):
    """Runs four daemons whose upstreams are slow at times, as in bench_calls.

    Args:
        seed: Seed of the random numbers.
        slowed: Number of upstreams that are slow in each period.
        hedges: Whether late calls get a second attempt.

    Returns:
        The mean latency of the slowest 1% of the calls, in seconds, and the
        attempts per call.
    """
    upstreams = _upstreams(slots=18)
    loop = model.Loop(upstreams, seed)
    mesh = model.Mesh(loop, advertised=18, hedges=hedges)
    meshes = [mesh, *(mesh.another_daemon() for _ in range(3))]
    source = random.Random(seed)
    for period in range(6):
        for upstream in source.sample(upstreams, slowed):
            for time, factor in ((1.0, 30.0), (1.5, 1.0)):
                loop.at(
                    period * 1.5 + time,
                    lambda _now, u=upstream, f=factor: setattr(
                        u, "slow_factor", f
                    ),
                )
    arrivals = model.arrivals(300.0, 9.0, seed, 0.01)

    def handle(arrival, now):
        source.choice(meshes).handle(arrival, now)

    results = loop.run(arrivals, handle, 11.0)
    assert len(results) > 0.99 * len(arrivals)
    latencies = sorted(result.latency_s for result in results)
    slowest = latencies[int(0.99 * len(latencies)) :]
    return sum(slowest) / len(slowest), loop.attempts / len(arrivals)


@pytest.mark.parametrize("seed", [1, 2, 3, 4, 5])
@pytest.mark.parametrize("slowed", [1, 2])
def test_hedging_cuts_the_tail_of_moments_of_slowness(seed, slowed):
    """Guards against calls that wait for an upstream that is slow for a moment.

    Each daemon measures on its own, so in each slow period a few calls of each
    daemon are late.
    """
    unhedged_s, _ = _run_with_slow_periods(seed, slowed, hedges=False)
    hedged_s, attempts_per_call = _run_with_slow_periods(
        seed, slowed, hedges=True
    )
    assert hedged_s < 0.6 * unhedged_s
    assert attempts_per_call < 1.1


def test_limit_falls_quickly_and_rises_steadily():
    """Guards against a limit that does not follow a change of service time."""
    limit = limits.Limit(18, -10.0)
    now = 0.0

    def observe(seconds, count):
        nonlocal now
        for _ in range(count):
            now += 0.01
            limit.observe(seconds, limit.value(now), now)

    observe(0.01, 500)
    assert limit.value(now) == 18
    observe(0.1, 24)
    assert limit.value(now) <= 5
    observe(0.01, 500)
    assert limit.value(now) == 18


def test_limit_ramps_after_a_cold_start():
    """Guards against full load on an upstream that has just started."""
    limit = limits.Limit(18, 0.0)
    values = []
    for step in range(600):
        now = step * 0.01
        limit.observe(0.01, limit.value(now), now)
        values.append(limit.value(now))
    assert values[0] == 4
    assert values[100] <= 8
    assert values == sorted(values)
    assert values[-1] == 18
