"""Times of the watch of the store (CONFIG)."""

import pytest

from rattangauge.generated import settings as generated
from rattangauge.sidecar import watchtimes


@pytest.mark.parametrize("stable_s", [2.0, 3.0, 4.0, 10.0])
def test_a_silent_watch_shows_before_the_daemon_counts_as_stable(stable_s):
    """Guards against an old configuration on a daemon that counts as stable."""
    platform = generated.Platform("http://store", 1.0, stable_s=stable_s)
    times = watchtimes.from_settings(platform)
    margin_s = stable_s / 6
    noticed_s = times.watch_s + platform.timeout_s
    assert noticed_s <= stable_s - margin_s + 1e-9
    # A daemon that hears the store is not taken for one that does not.
    assert times.watching_ttl_s > times.watch_s
    assert times.watching_ttl_s < stable_s
    assert 2 * times.poll_period_s < times.confirmation_ttl_s < stable_s


def test_a_longer_stable_time_takes_fewer_watches():
    """Guards against calls of the store that bring nothing."""
    short = generated.Platform("http://store", 1.0, stable_s=3.0)
    long = generated.Platform("http://store", 1.0, stable_s=4.0)
    assert (
        watchtimes.from_settings(long).watch_s
        > 1.5 * watchtimes.from_settings(short).watch_s
    )


@pytest.mark.parametrize("stable_s", [0.0, 0.25])
def test_a_very_short_bound_leaves_times_between_calls_of_the_store(stable_s):
    """Guards against watches without a length that keep the store busy."""
    platform = generated.Platform("http://store", 1.0, stable_s=stable_s)
    assert min(watchtimes.from_settings(platform)) >= 0.05
