"""Decides when a refused caller should come back.

Answers the load after a peak: callers that were refused together must not
return together, and one that returns must still be able to be served in time.
"""

# Share of the time that is left to the target latency after which a caller
# comes back: early enough that the second attempt ends in time.
EARLIEST_SHARE = 0.15
LATEST_SHARE = 0.4
# The same for a caller that has missed the target latency.
DEADLINE_SHARE = 0.3
MIN_S = 0.01
MAX_S = 5.0


def retry_after_s(
    target_left_s: float, deadline_left_s: float, wait_s: float, uniform: float
) -> float:
    """Returns the time after which a refused caller should return.

    Args:
        target_left_s: Time to the target latency; 0 or less if it is missed.
        deadline_left_s: Time to the deadline of the call.
        wait_s: Time after which room is expected.
        uniform: A random number in [0, 1), which spreads the returns.

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
    return round(min(MAX_S, max(MIN_S, pause_s)), 4)
