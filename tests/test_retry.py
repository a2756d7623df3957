"""Which failed calls are tried again, and how often."""

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
    return retry.Attempt(**{**values, **fields})


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
    """Guards against a repeat after an answer, a consumed body or too late."""
    assert retry.may_repeat(_attempt(), _not_run())
    assert not retry.may_repeat(_attempt(**fields), _not_run())


def test_call_that_may_have_run_is_repeated_only_if_idempotent():
    """Guards against running a call twice (P6)."""
    failure = exchange.unknown("the connection ended")
    assert not retry.may_repeat(_attempt(), failure)
    assert retry.may_repeat(_attempt(idempotent=True), failure)


def test_remainder_of_other_hops_counts():
    """Guards against retries at this hop after another one used them up."""
    assert not retry.may_repeat(_attempt(), _not_run(allowance=0))


def test_budget_bounds_retries_by_the_number_of_calls():
    """Guards against retries that double the load in an outage."""
    budget = retry.Budget()
    taken = 0
    for _ in range(1000):
        budget.add_call()
        taken += budget.take() + budget.take()
    assert taken <= retry.BUDGET_MAX + 1000 * retry.BUDGET_SHARE


def test_allowance_reaches_the_upstream_in_the_context():
    """Guards against an upstream that passes on retries already used."""
    header = messages.Header(exchange.CONTEXT_HEADER, b"c1;3;2")
    other = messages.Header(b"accept", b"*/*")
    opened = messages.CallOpen(headers=(header, other), allowance=2)
    changed = retry.with_allowance(opened, 1)
    assert changed.allowance == 1
    assert changed.headers[0].value == b"c1;3;1"
    assert changed.headers[1] == other


def _call(level, allowance, outcomes, counts):
    """Runs a call chain; returns what failed at this level, or None."""
    while True:
        counts[level] += 1
        failure = None
        if level + 1 < LEVELS:
            failure = _call(level + 1, allowance, outcomes, counts)
        if failure is None and level + 1 == LEVELS:
            failure = _not_run(allowance)
        if failure is not None and outcomes[level]:
            failure = exchange.unknown("the connection ended")
        attempt = _attempt(allowance=allowance, idempotent=True)
        if failure is None or not retry.may_repeat(attempt, failure):
            if failure is not None:
                failure.allowance = retry.remaining(allowance, failure)
                failure.load = messages.Load()
            return failure
        allowance = retry.remaining(allowance, failure) - 1


@given(
    strategies.integers(0, 3),
    strategies.lists(strategies.booleans(), min_size=LEVELS, max_size=LEVELS),
)
def test_retries_do_not_multiply_over_the_levels(allowance, outcomes):
    """Guards against retries at each of 22 levels: 3 ** 22 attempts."""
    counts = [0] * LEVELS
    _call(0, allowance, outcomes, counts)
    if not any(outcomes):
        assert max(counts) <= 1 + allowance
    assert max(counts) <= 1 + allowance + LEVELS


def test_class_is_learnt_from_durations():
    """Guards against long calls among the short ones, and against flapping."""
    learner = route_classifier.Learner()
    for _ in range(3):
        learner.observe("intake", 5.0, 0)
    assert not learner.is_long("intake", 0)
    for _ in range(5):
        learner.observe("intake", 5.0, 0)
    assert learner.is_long("intake", 0)
    for _ in range(10):
        learner.observe("intake", 0.01, 0)
    assert not learner.is_long("intake", 0)
    assert learner.is_long("intake", route_classifier.LONG_BYTES)
