"""Tests of the placement of calls on instances."""

import random

from rattangauge.calls import placement
from tests import builders


def chosen_address(candidates, size=1000, target_left_s=0.2, seed=1):
    demand = placement.CallRequirements(size, target_left_s)
    candidate = placement.choose(candidates, demand, random.Random(seed))
    return candidate.address if candidate else None


def test_no_instance_is_chosen_without_candidates():
    """Guards against a crash if there is no instance."""
    assert chosen_address([]) is None


def test_the_free_instance_goes_before_the_busy_one():
    """Guards against waiting while another instance has free slots."""
    busy = builders.candidate("busy", outstanding=12)
    free = builders.candidate("free", outstanding=1)
    assert {chosen_address([busy, free], seed=s) for s in range(20)} == {"free"}


def test_a_slow_instance_gets_no_call_while_a_fast_one_has_room():
    """Guards against an even share for instances of unequal speed."""
    slow = builders.candidate("slow", hold_s=0.25)
    fast = builders.candidate("fast", outstanding=8, hold_s=0.05)
    assert chosen_address([slow, fast]) == "fast"


def test_the_own_zone_keeps_a_call_that_meets_its_target():
    """Guards against transfers between zones that gain nothing."""
    near = builders.candidate("near", outstanding=9, hold_s=0.05)
    far = builders.candidate("far", is_local=False, hold_s=0.03)
    assert chosen_address([near, far]) == "near"


def test_another_zone_takes_a_call_that_would_be_late():
    """Guards against a call that misses its target in an overloaded zone."""
    near = builders.candidate("near", outstanding=30, hold_s=0.06)
    far = builders.candidate("far", is_local=False, hold_s=0.05)
    assert chosen_address([near, far]) == "far"


def test_a_large_body_stays_longer_in_its_zone():
    """Guards against the same cost of a transfer for all body sizes."""
    near = builders.candidate("near", outstanding=14, hold_s=0.06)
    far = builders.candidate("far", is_local=False, hold_s=0.06)
    assert chosen_address([near, far], size=60_000, target_left_s=0.0) == "near"
    assert chosen_address([near, far], size=500, target_left_s=0.0) == "far"


def test_a_failing_instance_is_used_only_if_all_are():
    """Guards against calls to an instance that fails, and against no choice."""
    failing = builders.candidate("ill", should_avoid=True)
    healthy = builders.candidate("well", outstanding=20)
    assert chosen_address([failing, healthy]) == "well"
    assert chosen_address([failing]) == "ill"


def test_an_instance_without_slots_is_the_last_choice():
    """Guards against a division by zero, and calls that only wait."""
    none = builders.candidate("none", slots=0)
    some = builders.candidate("some", outstanding=5)
    assert chosen_address([none, some]) == "some"


def test_an_instance_without_a_measurement_is_tried():
    """Guards against new upstreams that never get a call."""
    slow = builders.candidate("known", outstanding=9, hold_s=0.2)
    new = builders.candidate("new", hold_s=0.0)
    assert chosen_address([slow, new]) == "new"


def test_a_large_fleet_is_compared_in_part():
    """Guards against a cost of a call that grows with the fleet."""
    few = list(range(placement.MAX_REMOTE_CANDIDATES))
    assert list(placement.sample(few, random.Random(1))) == few
    some = placement.sample(list(range(1000)), random.Random(1))
    assert len(set(some)) == placement.MAX_REMOTE_CANDIDATES


def test_daemons_that_look_for_room_at_once_spread_their_calls():
    """Guards against a rush of all daemons to the same free instance.

    All of 100 instances are busy but 12, and one of these looks the best.
    """
    remote = [
        builders.candidate(
            f"i{number}",
            is_local=False,
            outstanding=0 if number < 12 else 30,
            hold_s=0.05 if number else 0.04,
        )
        for number in range(100)
    ]
    demand = placement.CallRequirements(1000, 0.2)
    chosen = []
    for seed in range(100):
        generator = random.Random(seed)
        sample = placement.sample(remote, generator)
        chosen.append(placement.choose(sample, demand, generator))
    free = [candidate for candidate in chosen if not candidate.outstanding]
    assert len(free) > 90
    most = max(free.count(candidate) for candidate in set(free))
    assert most < 50
