"""Tests of the estimate of how long a caller has waited before a request."""

import random

from rattangauge.calls import elapsed_time


def test_patient_callers_do_not_make_all_others_late():
    """Guards against a few long timeouts that make usual calls look late."""
    source = random.Random(1)
    estimates = elapsed_time.ElapsedTimeEstimator()
    for _ in range(3000):
        has_long_timeout = source.random() < 0.04
        left_ms = 5000 if has_long_timeout else source.randint(480, 500)
        estimates.elapsed_ms("r", left_ms)
    assert estimates.elapsed_ms("r", 490) < 30
    assert not estimates.has_returned("r", 15)


def test_a_caller_that_came_back_is_known_by_its_time():
    """Guards against repeated calls that are taken for new ones."""
    source = random.Random(1)
    estimates = elapsed_time.ElapsedTimeEstimator()
    for _ in range(3000):
        has_returned = source.random() < 0.15
        left_ms = 400 if has_returned else source.randint(485, 500)
        estimates.elapsed_ms("r", left_ms)
    elapsed_ms = estimates.elapsed_ms("r", 400)
    assert 70 < elapsed_ms < 110
    assert estimates.has_returned("r", elapsed_ms)


def test_a_changed_timeout_is_learnt():
    """Guards against an estimate that keeps the old timeout of a route."""
    estimates = elapsed_time.ElapsedTimeEstimator()
    for _ in range(100):
        estimates.elapsed_ms("r", 500)
    for _ in range(1000):
        estimates.elapsed_ms("r", 200)
    assert estimates.elapsed_ms("r", 200) < 20


def test_the_routes_are_bounded():
    """Guards against memory use that grows as routes come and go."""
    estimates = elapsed_time.ElapsedTimeEstimator()
    for number in range(elapsed_time.MAX_ROUTES + 5):
        estimates.elapsed_ms(f"r{number}", 100)
    assert len(estimates._timeouts_ms) <= elapsed_time.MAX_ROUTES
