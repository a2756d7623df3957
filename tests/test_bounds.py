"""Bounds of the benchmarks."""

import pytest

from benchmarks import bounds
from benchmarks import run

BOUND = bounds.Bound("n", "s", "a/ours", "a target", at_most=2.0)
RATIO = BOUND._replace(naive="a/naive", at_most=None, at_least=1.0)


@pytest.mark.parametrize(
    ("bound", "report", "verdict"),
    [
        (BOUND, {"a": {"ours": 2}}, bounds.HELD),
        (BOUND, {"a": {"ours": 2.1}}, bounds.EXCEEDED),
        (BOUND, {"a": {}}, bounds.MISSING),
        (RATIO, {"a": {"ours": 3, "naive": 3}}, bounds.HELD),
        (RATIO, {"a": {"ours": 2, "naive": 3}}, bounds.EXCEEDED),
        (RATIO, {"a": {"ours": 2}}, bounds.MISSING),
        (RATIO, {"a": {"ours": 2, "naive": 0}}, bounds.HELD),
        (
            RATIO._replace(at_most=1.0, at_least=None),
            {"a": {"ours": 2, "naive": 0}},
            bounds.EXCEEDED,
        ),
    ],
)
def test_verdict(bound, report, verdict):
    """Guards against a regression that passes its bound."""
    figures = bounds.flatten(report)
    assert bounds.judge(bound, figures).verdict == verdict


def test_bounds_file_is_valid():
    """Guards against a bound without reason or with a wrong key."""
    assert bounds.load(run.BOUNDS)


def test_bound_without_reason_is_refused(tmp_path):
    """Guards against bounds that are taken from measured figures."""
    path = tmp_path / "bounds.toml"
    path.write_text(
        '[[bound]]\nname = "n"\nscenario = "s"\nours = "o"\n'
        'reason = ""\nat_most = 1'
    )
    with pytest.raises(ValueError, match="no reason"):
        bounds.load(path)
