"""Tests of the distribution of calls among services by weight."""

from rattangauge.calls import traffic_split
from rattangauge.config import routes


def test_each_window_has_the_shares():
    """Guards against shares that hold only over many calls."""
    shares = (routes.Share("a", 90), routes.Share("b", 10))
    split = traffic_split.TrafficSplit()
    chosen = [split.choose("r", shares) for _ in range(200)]
    for start in range(0, 180, 7):
        assert chosen[start : start + 20].count("b") == 2


def test_a_weight_of_zero_gets_nothing():
    """Guards against calls to a service that was given no share."""
    shares = (routes.Share("a", 0), routes.Share("b", 1))
    split = traffic_split.TrafficSplit()
    assert {split.choose("r", shares) for _ in range(10)} == {"b"}


def test_changed_weights_hold_at_once():
    """Guards against old credits that distort the shares of new weights."""
    split = traffic_split.TrafficSplit()
    first = (routes.Share("a", 1), routes.Share("b", 1))
    second = (routes.Share("a", 3), routes.Share("c", 1))
    for _ in range(11):
        split.choose("r", first)
    chosen = [split.choose("r", second) for _ in range(40)]
    assert abs(chosen.count("c") - 10) <= 1


def test_the_state_of_routes_is_bounded():
    """Guards against memory use that grows as routes come and go."""
    split = traffic_split.TrafficSplit()
    shares = (routes.Share("a", 1),)
    for number in range(traffic_split.MAX_ROUTES + 10):
        split.choose(f"r{number}", shares)
    assert len(split._credits) <= traffic_split.MAX_ROUTES
