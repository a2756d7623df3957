"""Tests of hedging: second attempts for late calls."""

import anyio
import pytest

from rattangauge.calls import exchange
from rattangauge.calls import hedge
from rattangauge.calls import retry
from rattangauge.generated import errorcodes
from rattangauge.generated import messages
from rattangauge.net import hedging

pytestmark = pytest.mark.anyio


class _AttemptRecorder:
    """Creates attempts and records which began, responded or were cancelled."""

    def __init__(self):
        self.begun = []
        self.cancelled = []
        self.answers = []

    def attempt(self, name, go=None, failure=None):
        """Returns an attempt; it waits for ``go``, then fails or responds."""

        async def send(respond):
            self.begun.append(name)
            try:
                if go is not None:
                    await go.wait()
                if failure is not None:
                    raise failure
                head = messages.AnswerOpen(name, 200, last=True)
                await respond(exchange.Response(head, None))
            except anyio.get_cancelled_exc_class():
                self.cancelled.append(name)
                raise

        return send

    async def respond(self, response):
        await anyio.lowlevel.checkpoint()
        self.answers.append(response.open.call_id)


def _set_event():
    event = anyio.Event()
    event.set()
    return event


def _overloaded():
    return exchange.not_run(errorcodes.CALL_OVERLOADED, "full")


async def _run(calls, first, find_second):
    with anyio.fail_after(30):
        await hedging.run(first, find_second, 0.001, calls.respond)


async def test_late_call_is_answered_by_the_second_attempt():
    """Guards against a call that waits for a slow upstream."""
    calls = _AttemptRecorder()
    first = calls.attempt("first", anyio.Event())
    second = calls.attempt("second")
    await _run(calls, first, lambda: second)
    assert calls.answers == ["second"]
    assert calls.cancelled == ["first"]


async def test_first_answer_cancels_the_second_attempt():
    """Guards against two responses and against work that is not needed."""
    calls = _AttemptRecorder()
    go = anyio.Event()
    second = calls.attempt("second", anyio.Event())

    def find_second():
        go.set()
        return second

    await _run(calls, calls.attempt("first", go), find_second)
    assert calls.answers == ["first"]
    assert "second" not in calls.answers
    assert calls.cancelled == calls.begun[1:]


async def test_two_answers_at_a_time():
    """Guards against a caller that gets two responses to a call (P4)."""
    calls = _AttemptRecorder()
    go = anyio.Event()

    def find_second():
        go.set()
        return calls.attempt("second", go)

    await _run(calls, calls.attempt("first", go), find_second)
    assert len(calls.answers) == 1


async def test_no_second_attempt_after_an_early_failure():
    """Guards against hedging a failed call, which only a retry may repeat."""
    calls = _AttemptRecorder()
    first = calls.attempt("first", failure=_overloaded())
    with pytest.raises(exchange.CallFailed) as caught:
        await _run(calls, first, lambda: calls.attempt("second"))
    assert caught.value.outcome == messages.Outcome.NOT_RUN
    assert calls.begun == ["first"]


@pytest.mark.parametrize("is_first_refused", [False, True])
async def test_other_attempt_goes_on_after_a_failure(is_first_refused):
    """Guards against a call that fails while one of its attempts still runs."""
    calls = _AttemptRecorder()
    begun = anyio.Event()
    refused = _overloaded()

    def find_second():
        begun.set()
        if is_first_refused:
            return calls.attempt("second", _set_event())
        return calls.attempt("second", failure=refused)

    if is_first_refused:
        first = calls.attempt("first", begun, refused)
    else:
        first = calls.attempt("first", begun)
    await _run(calls, first, find_second)
    assert len(calls.answers) == 1


@pytest.mark.parametrize("is_first_unknown", [False, True])
async def test_call_is_unknown_if_one_attempt_may_have_run(is_first_unknown):
    """Guards against "not run" as the outcome of a call that ran (P5)."""
    calls = _AttemptRecorder()
    failures = [exchange.unknown("lost"), _overloaded()]
    if not is_first_unknown:
        failures.reverse()
    begun = anyio.Event()

    def find_second():
        begun.set()
        return calls.attempt("second", failure=failures[1])

    first = calls.attempt("first", begun, failures[0])
    with pytest.raises(exchange.CallFailed) as caught:
        await _run(calls, first, find_second)
    assert caught.value.outcome == messages.Outcome.UNKNOWN


def _opened(**fields):
    values = {"method": "GET", "idempotent": True, "last": True, "allowance": 2}
    return messages.CallOpen(**{**values, **fields})


@pytest.mark.parametrize(
    "fields",
    [
        {"idempotent": False},
        {"method": "PUT"},
        {"last": False},
        {"key": "k"},
        {"allowance": 0},
        {"call_class": messages.CallClass.LONG},
    ],
)
def test_only_short_reads_are_hedged(fields):
    """Guards against hedging a call that must not run twice (P6)."""
    assert hedge.may_hedge(_opened())
    assert not hedge.may_hedge(_opened(**fields))


def test_second_attempts_are_not_hedged_at_further_hops():
    """Guards against load that grows exponentially over 22 levels of calls."""
    assert not hedge.may_hedge(retry.with_allowance(_opened(), 0))


def test_budget_bounds_second_attempts():
    """Guards against doubling the load by hedging if all upstreams are slow."""
    hedges = hedge.HedgingBudget()
    taken = 0
    for _ in range(1000):
        hedges.add_call()
        taken += hedges.take()
    assert taken <= hedge.BUDGET_MAX + 1000 * hedge.BUDGET_SHARE
    assert taken >= 1000 * hedge.BUDGET_SHARE - 1


def test_delay_follows_the_upper_end_of_the_latency():
    """Guards against hedging of calls that are not late.

    The delay must not follow rare slow calls.
    """
    hedges = hedge.HedgingBudget()
    assert hedges.delay_s == 0.0
    for number in range(2000):
        hedges.observe(0.01 + 0.01 * (number % 100) / 100)
    assert 0.034 < hedges.delay_s < 0.046
    for number in range(2000):
        hedges.observe(0.3 if number % 50 == 0 else 0.01)
    assert hedges.delay_s < 0.046
