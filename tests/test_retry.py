"""Tests of which failed calls are repeated, and how often."""

from hypothesis import given
from hypothesis import strategies
import pytest

from rattangauge.calls import exchange
from rattangauge.calls import retry
from rattangauge.calls import route_classifier
from rattangauge.generated import errorcodes
from rattangauge.generated import messages

LEVELS = 22


def _attempt(**fields):
    values = {
        "allowance": 2,
        "idempotent": False,
        "answered": False,
        "consumed": False,
        "remaining_s": 1.0,
    }
    return retry.FailedAttempt(**{**values, **fields})


def _not_run(allowance=2):
    failure = exchange.not_run(errorcodes.CALL_OVERLOADED, "full")
    failure.load = messages.Load()
    failure.allowance = allowance
    return failure


@pytest.mark.parametrize(
    "fields",
    [
        {"answered": True},
        {"consumed": True},
        {"remaining_s": 0.0},
        {"allowance": 0},
    ],
)
def test_call_is_not_repeated_when_it_cannot_be(fields):
    """Guards against a retry that cannot succeed or is not allowed.

    A call is not sent again after its answer has started, after a part of its
    body has been sent, after its deadline, or without an allowance.
    """
    assert retry.is_retryable(_attempt(), _not_run())
    assert not retry.is_retryable(_attempt(**fields), _not_run())


def test_call_that_may_have_run_is_repeated_only_if_idempotent():
    """Guards against running a call twice (P6)."""
    failure = exchange.unknown("the connection ended")
    assert not retry.is_retryable(_attempt(), failure)
    assert retry.is_retryable(_attempt(idempotent=True), failure)


def test_remainder_of_other_hops_counts():
    """Guards against a retry after another hop has used up the allowance."""
    assert not retry.is_retryable(_attempt(), _not_run(allowance=0))


def test_budget_bounds_retries_by_the_number_of_calls():
    """Guards against retries that multiply the load in an outage."""
    budget = retry.RetryBudget()
    taken = 0
    for _ in range(1000):
        budget.add_call()
        taken += budget.take() + budget.take()
    assert taken <= retry.BUDGET_MAX + 1000 * retry.BUDGET_SHARE


def test_allowance_reaches_the_upstream_in_the_context():
    """Guards against an upstream that passes on a used-up allowance."""
    header = messages.Header(exchange.CONTEXT_HEADER, b"c1;3;2")
    other = messages.Header(b"accept", b"*/*")
    opened = messages.CallOpen(headers=(header, other), allowance=2)
    changed = retry.with_allowance(opened, 1)
    assert changed.allowance == 1
    assert changed.headers[0].value == b"c1;3;1"
    assert changed.headers[1] == other


def _call(level, allowance, is_unknown, counts):
    """Runs a call at a level and those below it; returns its failure, if any.

    Args:
        level: Level of the call chain, from 0.
        allowance: Retry allowance of the call.
        is_unknown: For each level, whether the outcome of its failures is
            unknown.
        counts: Attempts at each level, which are counted here.
    """
    while True:
        counts[level] += 1
        failure = None
        if level + 1 < LEVELS:
            failure = _call(level + 1, allowance, is_unknown, counts)
        if failure is None and level + 1 == LEVELS:
            failure = _not_run(allowance)
        if failure is not None and is_unknown[level]:
            failure = exchange.unknown("the connection ended")
        attempt = _attempt(allowance=allowance, idempotent=True)
        if failure is None or not retry.is_retryable(attempt, failure):
            if failure is not None:
                failure.allowance = retry.remaining(allowance, failure)
                failure.load = messages.Load()
            return failure
        allowance = retry.remaining(allowance, failure) - 1


@given(
    strategies.integers(0, 3),
    strategies.lists(strategies.booleans(), min_size=LEVELS, max_size=LEVELS),
)
def test_retries_do_not_multiply_over_the_levels(allowance, is_unknown):
    """Guards against retries at each of 22 levels, up to 3**22 attempts."""
    counts = [0] * LEVELS
    _call(0, allowance, is_unknown, counts)
    if not any(is_unknown):
        assert max(counts) <= 1 + allowance
    assert max(counts) <= 1 + allowance + LEVELS


def test_class_is_learnt_from_durations():
    """Guards against long calls that count as short, and the reverse.

    A few long calls must not change the class of a route yet.
    """
    classifier = route_classifier.RouteClassifier()
    for _ in range(3):
        classifier.observe("intake", 5.0, 0)
    assert not classifier.is_long("intake", 0)
    for _ in range(5):
        classifier.observe("intake", 5.0, 0)
    assert classifier.is_long("intake", 0)
    for _ in range(10):
        classifier.observe("intake", 0.01, 0)
    assert not classifier.is_long("intake", 0)
    assert classifier.is_long("intake", route_classifier.LONG_BYTES)
