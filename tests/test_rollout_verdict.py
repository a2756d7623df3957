"""The verdict on a new version, on recorded loads with known faults."""

import random

import pytest

from rattangauge.calls import duration_histogram
from rattangauge.calls import rollout_verdict

SEEDS = range(200)
INSTANCES = ("i1", "i2", "i3", "i4")
WINDOWS = 20


def answers(source, count, failed, median_s, slow=0.0, spread=0.6):
    """Returns answers with log-normal times, of which a share is slow."""
    held = [0] * duration_histogram.CLASSES
    for _ in range(count):
        time_s = median_s * source.lognormvariate(0.0, spread)
        if source.random() < 0.03:
            time_s *= 7
        if source.random() < slow:
            time_s *= 8
        held[duration_histogram.class_of(time_s)] += 1
    failures = sum(source.random() < failed for _ in range(count))
    return rollout_verdict.Answers(count, failures, tuple(held))


def windows_until_bad(seed, fault, old_failed=0.02):
    """Plays windows of half a second; returns the first one with a verdict.

    Args:
        seed: Seed of the load.
        fault: Returns share of failed and slow answers of the new version, by
            route and window.
        old_failed: Share of failed answers of the old version.
    """
    source = random.Random(seed)
    judgement = rollout_verdict.Judgement()
    for window in range(WINDOWS):
        for is_new, count in ((False, 25), (True, 2)):
            for instance in INSTANCES:
                for route, median_s in (("play", 0.14), ("order", 0.18)):
                    failed, slow = old_failed, 0.0
                    if is_new:
                        failed, slow = fault(route, window)
                    # New instances differ in speed, too.
                    speed = 1.0 + 0.3 * INSTANCES.index(instance)
                    sample = answers(
                        source, count, failed, median_s * speed, slow
                    )
                    judgement.add(instance, route, sample, is_new)
        if judgement.bad_route:
            return window, judgement
    return None, judgement


@pytest.mark.parametrize("old_failed", [0.0, 0.02, 0.2])
def test_noise_without_a_fault_is_not_bad(old_failed):
    """Guards against a roll-back of a good version."""
    results = [
        windows_until_bad(seed, lambda *_: (old_failed, 0.0), old_failed)
        for seed in SEEDS
    ]
    assert [window for window, _ in results if window is not None] == []
    good = [judgement.is_good for _, judgement in results]
    assert sum(good) >= 0.95 * len(good)


@pytest.mark.parametrize(
    ("fault", "limit"),
    [
        (lambda _route, _window: (0.5, 0.0), 3),
        (lambda route, _window: (0.5 if route == "order" else 0.02, 0.0), 4),
        (lambda _route, window: (0.02 if window < 8 else 0.5, 0.0), 11),
        (lambda _route, _window: (0.02, 0.5), 5),
        (lambda route, _window: (0.02, 0.5 if route == "order" else 0.0), 7),
    ],
    ids=["errors", "one route", "later", "slow", "slow on one route"],
)
def test_a_bad_version_is_found_in_time(fault, limit):
    """Guards against a bad version that stays in use."""
    found = sorted(
        WINDOWS if window is None else window
        for window, _ in (windows_until_bad(seed, fault) for seed in SEEDS)
    )
    assert found[int(0.98 * len(found))] <= limit
    assert found[-1] < WINDOWS


def test_one_failing_instance_of_several_is_not_the_version():
    """Guards against a roll-back because of one broken machine."""
    judgement = rollout_verdict.Judgement()
    source = random.Random(1)
    for _ in range(WINDOWS):
        judgement.add("old", "r", answers(source, 100, 0.01, 0.1), False)
        for instance in INSTANCES:
            failed = 0.5 if instance == "i1" else 0.0
            judgement.add(instance, "r", answers(source, 9, failed, 0.1), True)
    assert not judgement.bad_route
