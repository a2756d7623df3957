"""Tests of the pause before a refused call is repeated."""

import random

import hypothesis
from hypothesis import strategies

from rattangauge.calls import retry_after


@hypothesis.given(
    target_left_s=strategies.floats(0.02, 10.0),
    uniform=strategies.floats(0.0, 0.999),
)
def test_a_caller_returns_while_it_can_still_be_served_in_time(
    target_left_s, uniform
):
    """Guards against a pause so long that the repeated call must be late."""
    pause_s = retry_after.retry_after_s(target_left_s, 20.0, 0.0, uniform)
    assert 0.0 < pause_s <= max(retry_after.MIN_PAUSE_S, 0.5 * target_left_s)


def test_returns_are_spread():
    """Guards against calls that are refused and then repeated together."""
    source = random.Random(1)
    pauses = [
        retry_after.retry_after_s(0.2, 0.5, 0.0, source.random())
        for _ in range(200)
    ]
    assert max(pauses) - min(pauses) > 0.04


def test_a_late_caller_returns_within_a_third_of_its_time():
    """Guards against a pause that leaves no time before the deadline."""
    pause_s = retry_after.retry_after_s(-0.1, 0.3, 5.0, 0.9)
    assert pause_s <= 0.1


def test_a_pause_is_never_zero():
    """Guards against callers that repeat a refused call at once."""
    assert (
        retry_after.retry_after_s(0.0, 0.0, 0.0, 0.0) == retry_after.MIN_PAUSE_S
    )
