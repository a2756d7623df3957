"""Limit on the rate at which calls start."""

import random

import pytest

from rattangauge.calls import request_rate

# A named rate may be exceeded by this factor and this many requests in any
# window (rule LIMIT of the platform).
MAX_FACTOR = 1.5
MAX_EXTRA = 5
WINDOW_S = 4.0


def started_at(rate_per_s, seconds, seed, pause_share):
    """Returns when calls start that are offered far too often.

    Args:
        rate_per_s: Rate that the upstream names.
        seconds: Length of the run.
        seed: Seed of the random times.
        pause_share: Share of the calls after which none comes for 3 s.
    """
    source = random.Random(seed)
    limit = request_rate.RequestRate(rate_per_s, 0.0)
    now, starts = 0.0, []
    while now < seconds:
        if limit.take(now):
            starts.append(now)
        pause_s = 3.0 if source.random() < pause_share else 0.0
        now += pause_s + source.expovariate(20.0 * max(1.0, rate_per_s))
    return starts


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("rate_per_s", [0.0, 0.5, 3.3, 52.2, 400.0])
def test_no_window_has_more_calls_than_the_rate_allows(rate_per_s, seed):
    """Guards against bursts after a pause that exceed the named rate."""
    starts = started_at(rate_per_s, 30.0, seed, 0.0005)
    allowed = MAX_FACTOR * rate_per_s * WINDOW_S + MAX_EXTRA
    for index, start in enumerate(starts):
        count = sum(start <= other < start + WINDOW_S for other in starts)
        assert count <= allowed, f"call {index} at {start:.2f} s"


@pytest.mark.parametrize("rate_per_s", [3.3, 52.2])
def test_the_whole_rate_is_used(rate_per_s):
    """Guards against a limit that wastes what the upstream can take."""
    count = len(started_at(rate_per_s, 30.0, 1, 0.0))
    assert count >= 0.8 * rate_per_s * 30.0


def test_a_rate_of_zero_still_lets_a_call_through_now_and_then():
    """Guards against a limit whose end no answer can tell."""
    assert len(started_at(0.0, 20.0, 1, 0.0)) >= 5
