"""Decides after which time a refused call may be repeated.

Callers that are refused together during a load peak must not repeat their
calls together, which would cause a second peak. A repeated call must still be
able to end in time.
"""

# Bounds of the pause as shares of the time left to the target latency. They are
# low enough that the repeated call can still meet it.
EARLIEST_SHARE = 0.15
LATEST_SHARE = 0.4
# Upper bound of the pause as a share of the time left to the deadline, for a
# call that has missed its target latency.
DEADLINE_SHARE = 0.3
# Bounds of every pause; they apply after the shares above.
MIN_PAUSE_S = 0.01
MAX_PAUSE_S = 5.0


def retry_after_s(
    target_left_s: float, deadline_left_s: float, wait_s: float, uniform: float
) -> float:
    """Returns the pause before a refused call is repeated, in seconds.

    Args:
        target_left_s: Time to the target latency, in seconds; 0 or less if it
            is missed.
        deadline_left_s: Time to the deadline of the call, in seconds.
        wait_s: Time after which a free slot is expected, in seconds.
        uniform: A random number in [0, 1); it spreads the repeated calls.

    >>> retry_after_s(0.2, 0.5, 0.0, 0.5)
    0.055
    >>> retry_after_s(0.0, 0.4, 0.05, 0.0)
    0.05
    """
    if target_left_s > 0.0:
        earliest_s = EARLIEST_SHARE * target_left_s
        latest_s = LATEST_SHARE * target_left_s
    else:
        earliest_s = min(wait_s, DEADLINE_SHARE * deadline_left_s)
        latest_s = DEADLINE_SHARE * deadline_left_s
    pause_s = earliest_s + uniform * max(0.0, latest_s - earliest_s)
    return round(min(MAX_PAUSE_S, max(MIN_PAUSE_S, pause_s)), 4)
