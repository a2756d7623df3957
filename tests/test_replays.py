"""Tests that simulate load patterns with and without each decision rule.

Each comparison runs the daemons' policy and a simpler one with the same pattern
and seed. The calls that the rule is meant for must do better with it.
"""

import functools

import pytest

from rattangauge.lab import cmdline
from rattangauge.lab import model
from rattangauge.lab import patterns
from rattangauge.lab import policies

LENGTH_S = 8.0
SEEDS = (1, 2)


@functools.cache
def replay(pattern, policy, seed=1):
    chosen = patterns.PATTERNS[pattern]._replace(duration_s=LENGTH_S)
    return model.Model(chosen, policies.POLICIES[policy], seed).run()


def zone_bytes(result):
    return sum(count.zone_bytes for count in result.counts.values())


@pytest.mark.parametrize(
    "pattern", ["swing", "burst", "storm", "slow", "zone-lost", "release"]
)
def test_the_decisions_serve_more_than_a_naive_mesh(pattern):
    """Guards against rules that serve no more than random placement."""
    present = sum(replay(pattern, "present", seed).value for seed in SEEDS)
    naive = sum(replay(pattern, "naive", seed).value for seed in SEEDS)
    assert present > naive


@pytest.mark.parametrize("pattern", ["calm", "swing", "burst"])
def test_calls_stay_in_their_zone(pattern):
    """Guards against paying for bytes between zones without a gain."""
    present = replay(pattern, "present")
    former = replay(pattern, "shortest")
    assert zone_bytes(present) < zone_bytes(former) / 2
    assert present.value > former.value - 0.02


def test_the_queue_serves_urgent_and_returned_calls_first_at_a_swing():
    """Guards against a peak at which calls wait until they are of no use."""
    present = sum(replay("swing", "present", seed).value for seed in SEEDS)
    plain = sum(replay("swing", "plain-queue", seed).value for seed in SEEDS)
    assert present > plain


def test_inner_calls_are_served_at_a_swing():
    """Guards against work that is wasted by a refused inner call."""
    count = replay("swing", "present").counts["member-check"]
    plain = replay("swing", "plain-queue").counts["member-check"]
    assert count.failed + count.refused < plain.failed + plain.refused


def test_slow_upstreams_get_fewer_calls():
    """Guards against sending as many calls to slow upstreams as to others."""
    present = replay("slow", "present").counts["track-play"]
    naive = replay("slow", "naive").counts["track-play"]
    assert present.late + present.failed < naive.late + naive.failed


def test_a_run_is_the_same_for_the_same_seed():
    """Guards against comparisons of runs that are not reproducible."""
    first = replay("calm", "present")
    replay.cache_clear()
    assert replay("calm", "present") == first


def test_a_calm_load_is_served():
    """Guards against refusals while there is capacity."""
    result = replay("calm", "present")
    for kind in result.pattern.kinds:
        assert result.counts[kind.name].refused == 0


def test_the_tool_prints_a_table_and_draws_a_plot(tmp_path, capsys):
    """Guards against a command line that fails on its results."""
    path = tmp_path / "calm.png"
    code = cmdline.replay("calm", policy="present", png=path)
    assert code == 0
    assert path.read_bytes().startswith(b"\x89PNG")
    printed = capsys.readouterr().out
    assert "track-play" in printed
    assert "worth" in printed


def test_unknown_names_are_refused_with_the_choices(capsys):
    """Guards against a traceback for a misspelled name."""
    assert cmdline.replay("nowhere") == cmdline.EXIT_USAGE
    assert cmdline.replay("calm", policy="best") == cmdline.EXIT_USAGE
    printed = capsys.readouterr().err
    assert "'nowhere' is not one of" in printed
    assert "'best' is not one of" in printed
