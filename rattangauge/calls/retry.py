"""Decides which failed calls are tried again."""

from typing import NamedTuple

from rattangauge.calls import exchange
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

# Retries are at most this share of the calls, after a small reserve.
BUDGET_SHARE = 0.2
BUDGET_MAX = 20.0

BACKOFF_S = 0.005
MAX_BACKOFF_S = 0.25

# These failures would be the same at any upstream.
_FINAL = frozenset(
    (
        errorcodes.CALL_NO_ROUTE,
        errorcodes.CALL_NOT_READY,
        errorcodes.CALL_DEADLINE,
        errorcodes.CALL_CANCELLED,
        errorcodes.CALL_HEADER_LIMIT,
        errorcodes.CALL_BAD_HEADER,
    )
)


class Budget:
    """Retries of one daemon, in proportion to its calls."""

    def __init__(
        self, share: float = BUDGET_SHARE, burst: float = BUDGET_MAX
    ) -> None:
        """Creates a full budget.

        Args:
            share: Retries for each call.
            burst: Retries that may come at once.
        """
        self._share = share
        self._burst = burst
        self._tokens = burst

    @property
    def tokens(self) -> float:
        """Retries that are left."""
        return self._tokens

    def add_call(self) -> None:
        """Counts a call of a caller."""
        self._tokens = min(self._burst, self._tokens + self._share)

    def take(self) -> bool:
        """Takes a retry from the budget; returns whether there was one."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class Attempt(NamedTuple):
    """What is known after an attempt failed.

    Attributes:
        allowance: Allowance with which the attempt was sent.
        idempotent: Whether the call may run twice.
        answered: Whether an answer has started.
        consumed: Whether a byte of the rest of the body was taken.
        remaining_s: Time to the deadline.
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

    The context header that the upstream passes on carries it too.
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

    A refusal tells what is left. If the outcome is unknown, the hops below may
    have used any part: one retry is left, and it passes none on. So the number
    of attempts grows with the depth at most linearly.
    """
    if failure.outcome == messages.Outcome.NOT_RUN:
        # A failure without a load never reached another daemon.
        if failure.load is None:
            return allowance
        return min(allowance, failure.allowance)
    return min(allowance, 1)


def may_repeat(attempt: Attempt, failure: exchange.CallFailed) -> bool:
    """Tells whether a call may be sent again after a failure."""
    if attempt.answered or attempt.consumed:
        return False
    if failure.code in _FINAL or attempt.remaining_s <= 0:
        return False
    if failure.outcome != messages.Outcome.NOT_RUN and not attempt.idempotent:
        return False
    return remaining(attempt.allowance, failure) > 0


def settle(
    last: exchange.CallFailed, may_have_run: bool
) -> exchange.CallFailed:
    """Returns the failure of a call after its last attempt.

    Args:
        last: Failure of the last attempt, which speaks of that attempt alone.
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
        retry_after_ms: What the upstream asked for.
        uniform: A random number in [0, 1).
    """
    base = max(BACKOFF_S * 2 ** (number - 1), retry_after_ms / 1000)
    return min(MAX_BACKOFF_S, base) * (0.5 + uniform)
