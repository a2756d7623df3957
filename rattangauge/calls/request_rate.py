"""Limits the rate at which calls start on an upstream that names one.

An upstream in need names the requests a second that it takes from all daemons
together. All of them pass its own daemon, which starts no more than that: the
others wait in its queue or go to other instances.
"""

# Calls that may start at once after a pause, as the time in which the rate
# allows that many.
BURST_S = 0.25
# Lowest rate, in calls a second. An upstream tells only in its answers that its
# limit has ended, so a few calls must reach it even if it names a rate of zero.
MIN_RATE_PER_S = 0.5


class RequestRate:
    """Token bucket: each call takes a token, the rate adds them.

    Times are in seconds, on the clock of the caller of the methods.

    >>> limit = RequestRate(4.0, 0.0)
    >>> limit.take(0.0), limit.take(0.0), limit.delay_s(0.0)
    (True, False, 0.25)
    >>> limit.take(0.25)
    True
    """

    def __init__(self, rate_per_s: float, now: float) -> None:
        """Creates a limit under which one call may start at once.

        Args:
            rate_per_s: Calls a second.
            now: Time.
        """
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)
        self._tokens = 1.0
        self._updated_at = now

    @property
    def rate_per_s(self) -> float:
        """Calls that may start in a second."""
        return self._rate_per_s

    def set_rate(self, rate_per_s: float, now: float) -> None:
        """Changes the rate; tokens that have been added stay."""
        self._advance(now)
        self._rate_per_s = max(MIN_RATE_PER_S, rate_per_s)

    def take(self, now: float) -> bool:
        """Takes a token; returns whether there was one."""
        self._advance(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def delay_s(self, now: float, ahead: int = 0) -> float:
        """Returns the time until a call may start, in seconds.

        Args:
            now: Time.
            ahead: Calls that start before it.
        """
        self._advance(now)
        return max(0.0, (ahead + 1 - self._tokens) / self._rate_per_s)

    def _advance(self, now: float) -> None:
        """Adds the tokens of the time since the last update."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = max(now, self._updated_at)
        capacity = max(1.0, BURST_S * self._rate_per_s)
        self._tokens = min(
            capacity, self._tokens + elapsed_s * self._rate_per_s
        )
