"""Tests of the measurements of upstreams and the selection based on them."""

import collections
import random

import pytest

from rattangauge.calls import upstream_selection
from rattangauge.calls import upstream_stats
from rattangauge.generated import messages
from tests import builders

NOW = 100.0
CHOICES = 400


def _new_stats(slots=9, seen=0.0):
    return upstream_stats.UpstreamStats("a", slots, seen)


def _load(**fields):
    values = {"limit": 9, "state": messages.UpstreamState.SERVING}
    return messages.Load(**{**values, **fields})


def _candidate(group, name, is_local=True, is_serving=True):
    member = builders.member(name)
    view = group.view(member, 0.0)
    group.observe(view, 0.01, NOW)
    return upstream_selection.Candidate(member, view, is_local, is_serving)


def _shares(candidates, group, seed=1, now=NOW):
    random_source = random.Random(seed)
    chosen = (
        upstream_selection.choose(
            candidates, now, random_source, group.median_s
        )
        for _ in range(CHOICES)
    )
    return collections.Counter(c.member.instance for c in chosen)


def _start_calls(candidate, count):
    for number in range(count):
        candidate.view.begin(number, False, NOW)


def test_circuit_pauses_grow_and_end():
    """Guards against many connection attempts to an upstream that is down."""
    view = _new_stats()
    pauses = []
    for _ in range(12):
        view.fail(NOW, 0.5)
        pauses.append(view.open_until - NOW)
    assert pauses[:3] == pytest.approx([0.1, 0.2, 0.4])
    assert pauses == sorted(pauses)
    assert pauses[-1] == pytest.approx(upstream_stats.MAX_OPEN_S)
    view.observe(0.01, NOW)
    assert view.open_until <= NOW
    view.fail(NOW, 0.5)
    assert view.open_until - NOW == pytest.approx(upstream_stats.FIRST_OPEN_S)


def test_circuit_pauses_are_spread():
    """Guards against daemons that all reconnect at the same time."""
    pauses = []
    for uniform in (0.0, 0.999):
        view = _new_stats()
        view.fail(NOW, uniform)
        pauses.append(view.open_until - NOW)
    assert pauses == pytest.approx([0.05, 0.15], rel=0.01)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_open_circuit_takes_no_calls_until_its_pause_ends(seed):
    """Guards against calls to an upstream that refused a connection."""
    group = upstream_stats.ServiceStats()
    first, second = _candidate(group, "a"), _candidate(group, "b")
    group.fail(first.view, NOW, 0.5)
    assert _shares([first, second], group, seed)["a"] == 0
    later = first.view.open_until + 0.01
    assert _shares([first, second], group, seed, later)["a"] > 0


def test_new_upstream_gets_its_share_slowly():
    """Guards against full load on an upstream that has just started."""
    view = _new_stats(slots=16, seen=NOW)
    ages = (0.0, 1.0, 2.0, 10.0)
    limits = [view.limit(NOW + age) for age in ages]
    assert limits == pytest.approx([4.0, 7.2, 10.4, 16.0])


def test_restarted_upstream_is_ramped_again():
    """Guards against measurements of an old process used for a new one."""
    group = upstream_stats.ServiceStats()
    old = group.view(builders.member("a", slots=16), 0.0)
    assert old.limit(NOW) == 16.0
    new = group.view(builders.member("a", slots=16, incarnation=2), NOW)
    assert new.limit(NOW) == 4.0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_report_of_no_load_does_not_hide_own_calls(seed):
    """Guards against a load report that is too low."""
    group = upstream_stats.ServiceStats()
    idle_by_report, idle = _candidate(group, "a"), _candidate(group, "b")
    _start_calls(idle_by_report, 18)
    idle_by_report.view.update_load(_load(running=0, queued=0), NOW)
    assert idle_by_report.view.outstanding(NOW) == 18
    assert _shares([idle_by_report, idle], group, seed)["a"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_reported_load_of_other_daemons_counts_until_it_is_old(seed):
    """Guards against an upstream that is avoided because of an old report."""
    group = upstream_stats.ServiceStats()
    busy, idle = _candidate(group, "a"), _candidate(group, "b")
    busy.view.update_load(_load(running=9, queued=9), NOW)
    assert _shares([busy, idle], group, seed)["a"] == 0
    later = NOW + upstream_stats.LOAD_TTL_S + 0.1
    assert _shares([busy, idle], group, seed, later)["a"] > CHOICES / 4


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_report_of_good_health_does_not_hide_slowness(seed):
    """Guards against a report that hides a measured high latency."""
    group = upstream_stats.ServiceStats()
    slow, *others = (_candidate(group, name) for name in "abc")
    for step in range(8):
        group.observe(slow.view, 0.3, NOW + step * 0.01)
    slow.view.update_load(_load(), NOW)
    assert slow.view.is_ejected
    assert _shares([slow, *others], group, seed)["a"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_all_are_used_if_none_is_reported_as_serving(seed):
    """Guards against refusing calls because of wrong reports."""
    group = upstream_stats.ServiceStats()
    candidates = [_candidate(group, name, is_serving=False) for name in "ab"]
    assert set(_shares(candidates, group, seed)) == {"a", "b"}


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_stay_in_their_zone_while_it_has_room(seed):
    """Guards against needless calls to other zones."""
    group = upstream_stats.ServiceStats()
    local = _candidate(group, "a")
    remote = _candidate(group, "b", is_local=False)
    _start_calls(local, 8)
    assert _shares([local, remote], group, seed)["b"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_spill_to_another_zone_if_that_costs_less(seed):
    """Guards against queueing while another zone has free slots."""
    group = upstream_stats.ServiceStats()
    local = _candidate(group, "a")
    remote = _candidate(group, "b", is_local=False)
    _start_calls(local, 18)
    assert _shares([local, remote], group, seed)["a"] == 0
    for step in range(20):
        remote.view.observe(0.1, NOW + step)
    assert _shares([local, remote], group, seed)["b"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_calls_do_not_spill_to_a_zone_that_is_full(seed):
    """Guards against moving a queue from one zone to another."""
    group = upstream_stats.ServiceStats()
    local = _candidate(group, "a")
    remote = _candidate(group, "b", is_local=False)
    _start_calls(local, 18)
    _start_calls(remote, 9)
    assert _shares([local, remote], group, seed)["b"] == 0


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_upstream_of_a_late_call_is_avoided(seed):
    """Guards against more calls to an upstream that has a late call."""
    group = upstream_stats.ServiceStats()
    late, other = _candidate(group, "a"), _candidate(group, "b")
    late.view.doubt(NOW)
    assert _shares([late, other], group, seed)["a"] == 0
    later = NOW + upstream_stats.AVOID_LATE_S + 0.01
    assert _shares([late, other], group, seed, later)["a"] > CHOICES / 4


def test_cancelled_call_counts_only_if_it_was_slow():
    """Guards against a latency that falls because of cancelled calls."""
    group = upstream_stats.ServiceStats()
    view = _candidate(group, "a").view
    group.observe_cancelled(view, 0.001, NOW + 1.0)
    assert view.latency_s == 0.01
    group.observe_cancelled(view, 0.03, NOW + 1.0)
    assert view.latency_s > 0.015


def test_second_attempt_needs_an_upstream_with_room():
    """Guards against second attempts that add to an overload."""
    group = upstream_stats.ServiceStats()
    candidate = _candidate(group, "a")
    random_source = random.Random(1)

    def second():
        return upstream_selection.choose_for_hedge(
            [candidate], NOW, random_source, group.median_s
        )

    assert second() is candidate
    candidate.view.refuse(100, NOW)
    assert second() is None
    candidate.view.full_until = 0.0
    candidate.view.doubt(NOW)
    assert second() is None
    candidate.view.avoided_until = 0.0
    _start_calls(candidate, 9)
    assert second() is None
