"""The versions of a service to which calls may be sent, and the steps."""

import pytest

from rattangauge.calls import rollout_share
from rattangauge.calls import rollout_steps
from rattangauge.generated import messages
from rattangauge.generated import settings as generated

BOTH = {"v1": 5, "v2": 5}
PHASES = messages.RolloutPhase


def state(share, sequence=1, phase=PHASES.ACTIVE, created=7):
    """Returns a state of a roll-out of v2 of ``skladby``."""
    millis = round(share * 1000)
    return messages.RolloutState(
        "skladby", "v2", created, sequence, millis, phase
    )


def routing(*states, now=0.0):
    """Returns a routing that has got states at a time."""
    result = rollout_share.VersionRouting(generated.Rollout(0.1, 50, 5.0))
    for item in states:
        result.update(item, now)
    return result


def counts(routed, calls=1000, now=0.0, **fields):
    """Returns how many of the first attempts of calls may go to v2."""
    chosen = [
        routed.choose("skladby", fields.get("serving", BOTH), False, now)
        for _ in range(calls)
    ]
    return sum("v2" in versions for versions in chosen)


def test_the_share_is_kept_exactly_and_repeats_are_not_part_of_it():
    """Guards against more calls to a new version than its share."""
    routed = routing(state(0.04))
    assert counts(routed) in (39, 40)
    assert counts(routed, 24) <= 1
    assert list(routed.choose("skladby", BOTH, True, 0.0)) == ["v1"]


def test_a_version_without_an_order_gets_nothing_while_another_serves():
    """Guards against calls to a version that nobody has ordered."""
    routed = routing()
    assert list(routed.choose("skladby", {"v1": 1}, False, 0.0)) == ["v1"]
    assert not counts(routed, serving={"v1": 1, "v2": 50})
    assert counts(routed, 10, serving={"v2": 50}) == 10


@pytest.mark.parametrize(
    ("age_s", "most"), [(1.9, 500), (2.1, 40), (3.9, 40), (4.1, 0)]
)
def test_a_share_that_is_not_confirmed_shrinks(age_s, most):
    """Guards against exposure while nobody can decide."""
    assert most - 1 <= counts(routing(state(0.5)), now=age_s) <= most


def test_after_a_roll_back_the_version_gets_nothing_even_alone():
    """Guards against calls to a version that was found bad."""
    routed = routing(state(0.5), state(0.0, 2, PHASES.ROLLED_BACK))
    assert not counts(routed)
    assert not counts(routed, now=60.0, serving={"v2": 5})
    # A late message of the daemon that decided before changes nothing.
    assert not routed.update(state(0.5, 1), 1.0)
    assert not counts(routed)


def test_the_last_step_and_the_completion_move_all_calls():
    """Guards against calls to instances that stop without a drain."""
    for phase in (PHASES.ACTIVE, PHASES.COMPLETED):
        routed = routing(state(1.0, phase=phase))
        assert list(routed.choose("skladby", BOTH, True, 0.0)) == ["v2"]


def run_steps(duration_s, is_good, is_idle=True):
    """Returns the time at which a roll-out without a fault is completed."""
    step, began, now = 0, 0.0, 0.0
    while now < duration_s:
        now += 0.4
        progress = rollout_steps.Progress(step, now, now - began, duration_s)
        if rollout_steps.may_complete(progress, is_idle):
            return now
        if rollout_steps.may_advance(progress, is_good, False):
            step, began = step + 1, now
    return None


@pytest.mark.parametrize("duration_s", [10.0, 16.0, 60.0])
def test_a_good_version_is_completed_well_before_the_time_limit(duration_s):
    """Guards against a good version that is not completed in time."""
    assert run_steps(duration_s, True) <= 0.7 * duration_s
    assert run_steps(duration_s, False) <= 0.8 * duration_s


def test_completion_waits_for_calls_to_the_old_version():
    """Guards against calls that are cut by the stop of old instances."""
    assert run_steps(16.0, True, is_idle=False) > 0.9 * 16.0 - 0.5


def test_a_suspect_version_gets_no_larger_share_for_a_while():
    """Guards against a growing share of a version that seems to fail."""
    early = rollout_steps.Progress(0, 8.0, 8.0, 16.0)
    assert rollout_steps.may_advance(early, False, False)
    assert not rollout_steps.may_advance(early, False, True)
    late = early._replace(elapsed_s=10.0)
    assert rollout_steps.may_advance(late, False, True)


def test_a_version_without_an_order_gets_nothing_after_a_roll_back():
    """Guards against a third version that nobody rolls out."""
    routed = routing()
    assert list(routed.choose("skladby", {"v1": 1}, False, 0.0)) == ["v1"]
    routed.update(state(0.0, phase=PHASES.ROLLED_BACK), 1.0)
    serving = {"v1": 1, "v2": 2, "v3": 5}
    assert list(routed.choose("skladby", serving, False, 1.0)) == ["v1"]


def test_the_completed_version_stays_the_one_without_an_order():
    """Guards against calls to what is left of the old version."""
    routed = routing(state(1.0, phase=PHASES.COMPLETED))
    assert list(routed.choose("skladby", BOTH, False, 0.0)) == ["v2"]
    later = state(0.0, sequence=9, created=8)._replace(target="v3")
    routed.update(later, 1.0)
    serving = {"v1": 9, "v2": 1, "v3": 5}
    assert list(routed.choose("skladby", serving, False, 1.0)) == ["v2"]
