"""Decides when a late call gets a second attempt at another upstream.

Second attempts (hedging) shorten the longest latencies while an upstream is
slow for a moment. A budget bounds the load that they add.
"""

from rattangauge.calls import exchange
from rattangauge.generated import messages

# Second attempts are at most this share of the calls. In addition, unused
# second attempts are saved up to a maximum for a burst of late calls.
BUDGET_SHARE = 0.05
BUDGET_MAX = 5.0

# Estimated quantile of the latency, and the step of the estimate as a share of
# its value.
QUANTILE = 0.95
STEP_SHARE = 0.05

# A call is late after this multiple of the estimated quantile. With a factor of
# 1, one call in 20 would be late without a fault and use up the budget.
LATE_FACTOR = 2.0
# A call is never late before this time.
MIN_DELAY_S = 0.005


class HedgingBudget:
    """Budget for second attempts and the delay before them, for one service."""

    def __init__(self) -> None:
        """Creates a full budget and an unknown delay."""
        self._tokens = BUDGET_MAX
        self._quantile_s = 0.0

    @property
    def delay_s(self) -> float:
        """Time after which a call is late, in seconds; 0 if unknown."""
        if not self._quantile_s:
            return 0.0
        return max(MIN_DELAY_S, LATE_FACTOR * self._quantile_s)

    def add_call(self) -> None:
        """Adds the share of one first attempt to the budget."""
        self._tokens = min(BUDGET_MAX, self._tokens + BUDGET_SHARE)

    def take(self) -> bool:
        """Takes a second attempt; tells whether one was left in the budget."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def observe(self, seconds: float) -> None:
        """Updates the quantile with the latency of an attempt.

        Args:
            seconds: Latency; for a cancelled attempt, its duration until then.
        """
        if not self._quantile_s:
            self._quantile_s = seconds
        elif seconds > self._quantile_s:
            self._quantile_s *= 1.0 + STEP_SHARE * QUANTILE
        else:
            self._quantile_s *= 1.0 - STEP_SHARE * (1.0 - QUANTILE)


def may_hedge(opened: messages.CallOpen) -> bool:
    """Tells whether a call may run at two upstreams at the same time.

    It must be a short idempotent GET or HEAD call without a key, whose whole
    request is known. A call without a retry allowance may not. A second attempt
    is sent without one, so second attempts at several hops of a call chain do
    not multiply.
    """
    return (
        opened.idempotent
        and opened.method in ("GET", "HEAD")
        and opened.last
        and not opened.key
        and opened.allowance > 0
        and opened.call_class == messages.CallClass.SHORT
    )


def failure_to_report(
    first: exchange.CallFailed, second: exchange.CallFailed
) -> exchange.CallFailed:
    """Returns the failure to report if both attempts failed.

    The call counts as not run only if neither attempt ran.
    """
    if first.outcome == messages.Outcome.NOT_RUN:
        return second
    return first
