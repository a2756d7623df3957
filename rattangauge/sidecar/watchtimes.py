"""Times of the watch of the store, from the settings.

A connection that went silent is noticed only when the answer to a watch is
overdue. The newest configuration must be in force before the daemon counts as
stable again, so all these times follow from the setting ``platform.stable_s``.
"""

from typing import NamedTuple

from rattangauge.generated import settings as generated

# A shorter time would keep a daemon busy with calls of the store.
MIN_STABLE_S = 0.5
# Shares of ``platform.stable_s``. The margin is what is left to read the
# configuration after a silent connection was noticed.
MARGIN_SHARE = 1 / 6
MIN_WATCH_SHARE = 0.3
CONFIRMATION_SHARE = 0.4
POLL_SHARE = 1 / 6


class WatchTimes(NamedTuple):
    """Times in seconds.

    Attributes:
        watch_s: Longest watch of the store.
        watching_ttl_s: A daemon counts as watching the store for this time
            after the last answer.
        confirmation_ttl_s: A follower believes for this time that a watcher
            hears the store.
        poll_period_s: Time between two polls of a watcher by a follower.
    """

    watch_s: float
    watching_ttl_s: float
    confirmation_ttl_s: float
    poll_period_s: float


def from_settings(platform: generated.Platform) -> WatchTimes:
    """Returns the times that the settings of the platform allow.

    A shorter time than ``MIN_STABLE_S`` has the effect of that one.

    >>> platform = generated.Platform("http://store", 1.0, stable_s=3.0)
    >>> [round(time_s, 3) for time_s in from_settings(platform)]
    [1.5, 2.0, 1.2, 0.5]
    """
    stable_s = max(MIN_STABLE_S, platform.stable_s)
    margin_s = MARGIN_SHARE * stable_s
    watch_s = max(
        MIN_WATCH_SHARE * stable_s, stable_s - platform.timeout_s - margin_s
    )
    return WatchTimes(
        watch_s,
        watch_s + margin_s,
        CONFIRMATION_SHARE * stable_s,
        POLL_SHARE * stable_s,
    )
