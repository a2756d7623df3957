"""Tests of idempotency keys and of their records."""

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


def issued_key(nonce, issued_ms=1):
    return keys.IssuedKey("zone-1", "a", 1, issued_ms, nonce)


@hypothesis.given(NAMES, NAMES, NUMBERS, NUMBERS)
def test_key_round_trip(zone, instance, incarnation, issued_ms):
    """Guards against a key that names another daemon after it was parsed."""
    key = keys.IssuedKey(zone, instance, incarnation, issued_ms, "ab12")
    assert keys.parse(keys.format_key(key)) == key


@hypothesis.given(strategies.text(max_size=60))
@hypothesis.example("rg1.z.i.1.2.")
@hypothesis.example("rg1.z.i.01.2.n")
@hypothesis.example("rg1.z.i.1.2.n.n")
@hypothesis.example("rg1.z.%69.1.2.n")
@hypothesis.example("rg1.z.i.-1.2.n")
def test_bad_key_has_a_code(text):
    """Guards against accepting non-canonical keys, and parser crashes."""
    try:
        key = keys.parse(text)
    except errors.CodedError as error:
        assert error.code == errorcodes.KEY_MALFORMED
    else:
        assert keys.format_key(key) == text


@pytest.mark.parametrize("seed", range(20))
def test_no_key_runs_twice_under_eviction(seed):
    """Guards against a second run of a key whose record was evicted."""
    source = random.Random(seed)
    records = key_records.KeyRecords(limit=5, max_answers_bytes=300)
    # The issue times come from clocks that differ: they are in any order, and
    # some are equal.
    pool = [issued_key(f"n{n}", source.randrange(40)) for n in range(60)]
    runs = dict.fromkeys(pool, 0)
    for _ in range(2000):
        key = source.choice(pool)
        if records.begin(key, "f") is key_records.Verdict.RUN:
            runs[key] += 1
            if source.random() < 0.3:
                records.forget(key)
                runs[key] -= 1
            elif source.random() < 0.8:
                records.finish(key, "answer", source.randrange(100))
        assert len(records) <= 5
        assert records.answers_bytes <= 300
    assert max(runs.values()) == 1


def test_verdicts_of_a_repeat():
    """Guards against a repeated call that gets the answer of another one."""
    records = key_records.KeyRecords(limit=2)
    key = issued_key("n")
    assert records.begin(key, "f") is key_records.Verdict.RUN
    assert records.begin(key, "f") is key_records.Verdict.RUNNING
    assert records.begin(key, "g") is key_records.Verdict.REUSED
    records.finish(key, "answer", 6)
    assert records.begin(key, "f") is key_records.Verdict.REPLAY
    assert records.answer(key) == "answer"
    large = issued_key("large")
    records.begin(large, "f")
    records.finish(large, "answer", key_records.MAX_ANSWER_BYTES + 1)
    assert records.begin(large, "f") is key_records.Verdict.DONE


def test_key_that_did_not_run_may_be_repeated():
    """Guards against refusing a repeated call that did not run before."""
    records = key_records.KeyRecords(limit=2)
    records.begin(issued_key("n"), "f")
    records.forget(issued_key("n"))
    assert records.begin(issued_key("n"), "f") is key_records.Verdict.RUN
