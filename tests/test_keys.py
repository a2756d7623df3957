"""Idempotency keys and the record of keys that ran."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from rattangauge import errors
from rattangauge.calls import key_records
from rattangauge.calls import keys
from rattangauge.generated import errorcodes

NAMES = strategies.text(
    strategies.characters(exclude_categories=["Cs"]), min_size=1, max_size=12
)
NUMBERS = strategies.integers(0, 10**18)


def issued(nonce, issued_ms=1):
    return keys.IssuedKey("zone-1", "a", 1, issued_ms, nonce)


@hypothesis.given(NAMES, NAMES, NUMBERS, NUMBERS)
def test_key_round_trip(zone, instance, incarnation, issued_ms):
    """Guards against a key that reaches another daemon than it names."""
    key = keys.IssuedKey(zone, instance, incarnation, issued_ms, "ab12")
    assert keys.parse(keys.format_key(key)) == key


@hypothesis.given(strategies.text(max_size=60))
@hypothesis.example("rg1.z.i.1.2.")
@hypothesis.example("rg1.z.i.01.2.n")
@hypothesis.example("rg1.z.i.1.2.n.n")
@hypothesis.example("rg1.z.%69.1.2.n")
@hypothesis.example("rg1.z.i.-1.2.n")
def test_bad_key_has_a_code(text):
    """Guards against keys that are not canonical or crash the parser."""
    try:
        key = keys.parse(text)
    except errors.CodedError as error:
        assert error.code == errorcodes.KEY_MALFORMED
    else:
        assert keys.format_key(key) == text


@pytest.mark.parametrize("seed", range(20))
def test_no_key_runs_twice_under_eviction(seed):
    """Guards against a second run of a key whose record was evicted."""
    chooser = random.Random(seed)
    record = key_records.Outcomes(limit=5, max_answers_bytes=300)
    # Issue times of unequal clocks: in any order, with ties.
    pool = [issued(f"n{n}", chooser.randrange(40)) for n in range(60)]
    runs = dict.fromkeys(pool, 0)
    for _ in range(2000):
        key = chooser.choice(pool)
        if record.begin(key, "f") is key_records.Verdict.RUN:
            runs[key] += 1
            if chooser.random() < 0.3:
                record.forget(key)
                runs[key] -= 1
            elif chooser.random() < 0.8:
                record.finish(key, "answer", chooser.randrange(100))
        assert len(record) <= 5
        assert record.answers_bytes <= 300
    assert max(runs.values()) == 1


def test_verdicts_of_a_repeat():
    """Guards against a repeat that gets the outcome of another request."""
    record = key_records.Outcomes(limit=2)
    key = issued("n")
    assert record.begin(key, "f") is key_records.Verdict.RUN
    assert record.begin(key, "f") is key_records.Verdict.RUNNING
    assert record.begin(key, "g") is key_records.Verdict.REUSED
    record.finish(key, "answer", 6)
    assert record.begin(key, "f") is key_records.Verdict.REPLAY
    assert record.answer(key) == "answer"
    large = issued("large")
    record.begin(large, "f")
    record.finish(large, "answer", key_records.MAX_ANSWER_BYTES + 1)
    assert record.begin(large, "f") is key_records.Verdict.DONE


def test_key_that_did_not_run_may_be_repeated():
    """Guards against refusing the repeat of a call that was not run."""
    record = key_records.Outcomes(limit=2)
    record.begin(issued("n"), "f")
    record.forget(issued("n"))
    assert record.begin(issued("n"), "f") is key_records.Verdict.RUN
