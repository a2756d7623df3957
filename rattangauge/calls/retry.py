"""Decides which failed calls are repeated, and bounds the retries.

Two limits keep retries from multiplying the load in an outage. A budget bounds
the retries of one daemon by the number of its calls. An allowance, which is
passed on with each call, bounds the retries of one call over all hops of a
call chain.
"""

from typing import NamedTuple

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

# Retries are at most this share of the calls. In addition, unused retries are
# saved up to a maximum for a burst of failures.
BUDGET_SHARE = 0.2
BUDGET_MAX = 20.0
# Share of the retries of the whole mesh that bursts may use. Calls of upstreams
# that run a request again count as retries, too.
SLACK_SHARE = 0.8

# Mean pause before the first retry at the same upstream. It doubles with each
# retry, up to a maximum.
FIRST_BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.25

# Codes of failures that would be the same at any upstream.
_FINAL_CODES = frozenset(
    (
        errorcodes.CALL_NO_ROUTE,
        errorcodes.CALL_NOT_READY,
        errorcodes.CALL_DEADLINE,
        errorcodes.CALL_CANCELLED,
        errorcodes.CALL_HEADER_LIMIT,
        errorcodes.CALL_BAD_HEADER,
    )
)


def burst_share(slack: float, daemons: int, longest: float) -> float:
    """Returns the burst of one daemon's budget.

    In an outage all daemons use up their bursts at once, so the bursts together
    stay within what the whole mesh may do.

    Args:
        slack: Retries that all daemons may make together; 0 for no limit.
        daemons: Number of daemons.
        longest: Largest burst of a daemon.

    >>> burst_share(60.0, 10, 4.0), burst_share(0.0, 10, 4.0)
    (4.0, 4.0)
    >>> burst_share(200.0, 80, 4.0)
    2.0
    """
    if slack <= 0.0:
        return longest
    return min(longest, SLACK_SHARE * slack / max(1, daemons))


class RetryBudget:
    """Token bucket for retries, which is filled by calls."""

    def __init__(
        self, share: float = BUDGET_SHARE, burst: float = BUDGET_MAX
    ) -> None:
        """Creates a full budget.

        Args:
            share: Retries that each call adds to the budget.
            burst: Largest number of retries in the budget.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that are left."""
        return self._tokens

    def set_burst(self, burst: float) -> None:
        """Sets the largest number of retries in the budget."""
        self._burst = burst
        self._tokens = min(self._tokens, burst)

    def add_call(self) -> None:
        """Adds the share of one call, which is not a retry, to the budget."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Takes a retry from the budget; tells whether one was left."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class FailedAttempt(NamedTuple):
    """State of a call after one of its attempts failed.

    Attributes:
        allowance: Retry allowance with which the attempt was sent.
        idempotent: Whether the call may run twice.
        answered: Whether an answer has been started to the caller.
        consumed: Whether a part of the streamed request body has been sent; it
            cannot be sent again.
        remaining_s: Time to the deadline, in seconds.
    """

    allowance: int
    idempotent: bool
    answered: bool
    consumed: bool
    remaining_s: float


def with_allowance(
    opened: messages.CallOpen, allowance: int
) -> messages.CallOpen:
    """Returns the head of a call with another retry allowance.

    The allowance is also changed in the context header, which the upstream
    passes on with its own calls.
    """
    if opened.allowance == allowance:
        return opened
    headers = tuple(
        header
        if header.name != exchange.CONTEXT_HEADER
        else header._replace(
            value=b"%s;%d" % (header.value.rpartition(b";")[0], allowance)
        )
        for header in opened.headers
    )
    return opened._replace(allowance=allowance, headers=headers)


def remaining(allowance: int, failure: exchange.CallFailed) -> int:
    """Returns the allowance that is left after a failure.

    The failure of a call that did not run reports what is left. If the outcome
    is unknown, the later hops may have used any part of the allowance. Then one
    retry is left, which is sent with an allowance of 0. So the number of
    attempts grows at most linearly with the number of hops.

    Args:
        allowance: Retry allowance with which the attempt was sent.
        failure: Failure of the attempt.
    """
    if failure.outcome == messages.Outcome.NOT_RUN:
        # Without a load, the failure arose in this daemon: the attempt reached
        # no other one, so its allowance is unused.
        if failure.load is None:
            return allowance
        return min(allowance, failure.allowance)
    return min(allowance, 1)


def is_retryable(attempt: FailedAttempt, failure: exchange.CallFailed) -> bool:
    """Tells whether a call may be sent again after a failure.

    A call that may have run is sent again only if it is idempotent.
    """
    if attempt.answered or attempt.consumed:
        return False
    if failure.code in _FINAL_CODES or attempt.remaining_s <= 0:
        return False
    if failure.outcome != messages.Outcome.NOT_RUN and not attempt.idempotent:
        return False
    return remaining(attempt.allowance, failure) > 0


def settle(
    last: exchange.CallFailed, may_have_run: bool
) -> exchange.CallFailed:
    """Returns the failure to report for a call after its last attempt.

    A call counts as not run only if none of its attempts may have run.

    Args:
        last: Failure of the last attempt; it describes that attempt alone.
        may_have_run: Whether an earlier attempt may have run.
    """
    if not may_have_run or last.outcome != messages.Outcome.NOT_RUN:
        return last
    text = f"an attempt may have run, the last one did not: {last.message}"
    failure = exchange.unknown(text)
    failure.retry_after_ms = last.retry_after_ms
    failure.load = last.load
    failure.allowance = last.allowance
    return failure


def backoff_s(number: int, retry_after_ms: int, uniform: float) -> float:
    """Returns the pause before a retry at the same upstream, in seconds.

    Args:
        number: Number of the retry, from 1.
        retry_after_ms: Pause that the upstream asked for, in milliseconds.
        uniform: A random number in [0, 1).
    """
    base = max(FIRST_BACKOFF_S * 2 ** (number - 1), retry_after_ms / 1000)
    return min(MAX_BACKOFF_S, base) * (0.5 + uniform)
