"""Decides when a late call gets a second attempt at another upstream."""

from rattangauge.calls import exchange
from rattangauge.generated import messages

# Second attempts are at most this share of the calls, after a small reserve.
BUDGET_SHARE = 0.05
BUDGET_MAX = 5.0

# The quantile of the latency that is followed, and the step of an estimate as
# a share of it.
QUANTILE = 0.95
STEP = 0.05

# A call is late at this factor of the quantile. At the quantile itself, one
# call in 20 would be late without a fault and use up the budget.
LATE_FACTOR = 2.0
MIN_DELAY_S = 0.005


class Hedge:
    """Budget of second attempts and delay before them, for one service."""

    def __init__(self) -> None:
        """Creates a full budget and no delay yet."""
        self._tokens = BUDGET_MAX
        self._quantile_s = 0.0

    @property
    def delay_s(self) -> float:
        """Time after which a call is late, in seconds; 0 if unknown."""
        if not self._quantile_s:
            return 0.0
        return max(MIN_DELAY_S, LATE_FACTOR * self._quantile_s)

    def add_call(self) -> None:
        """Counts a first attempt."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Takes a second attempt; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def observe(self, seconds: float) -> None:
        """Takes the latency of an attempt, or how long it lasted so far."""
        if not self._quantile_s:
            self._quantile_s = seconds
        elif seconds > self._quantile_s:
            self._quantile_s *= 1.0 + STEP * QUANTILE
        else:
            self._quantile_s *= 1.0 - STEP * (1.0 - QUANTILE)


def is_allowed(opened: messages.CallOpen) -> bool:
    """Tells whether a call may run at two upstreams at a time.

    A second attempt takes the place of all retries, so that hedging at each
    hop of a chain does not multiply.
    """
    return (
        opened.idempotent
        and opened.method in ("GET", "HEAD")
        and opened.last
        and not opened.key
        and opened.allowance > 0
        and opened.call_class == messages.CallClass.SHORT
    )


def worse(
    first: exchange.CallFailed, second: exchange.CallFailed
) -> exchange.CallFailed:
    """Returns the failure to report if both attempts failed.

    The call counts as not run only if neither attempt ran.
    """
    if first.outcome == messages.Outcome.NOT_RUN:
        return second
    return first
