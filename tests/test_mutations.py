"""The table of edits of ``tools/mutations.py``."""

import pathlib

import pytest

from tools import mutations

PROPERTIES = [f"P{number}" for number in range(1, 10)]
FAILURES = [f"F{number}" for number in range(1, 10)]
PROOFS = mutations.ROOT / "docs" / "proofs.md"


def _edit(old):
    fields = ("m", ("P1",), "a.py", old, "new", "tests/test_a.py::test_a")
    return mutations.Mutation(*fields)


def _has_test(test):
    file, _, name = test.partition("::")
    return f"def {name}(" in (mutations.ROOT / file).read_text()


def test_every_edit_applies_and_names_a_test():
    """Guards against an edit or a test that was renamed away."""
    table = mutations.read()
    assert len({mutation.name for mutation in table}) == len(table)
    for mutation in table:
        assert mutations.applies(mutation, mutations.ROOT), mutation.name
        assert _has_test(mutation.test), mutation.test


@pytest.mark.parametrize("subject", [*PROPERTIES, *FAILURES])
def test_every_property_and_failure_has_an_edit(subject):
    """Guards against a row of the proofs that nothing supports."""
    assert any(subject in mutation.proves for mutation in mutations.read())


def test_text_that_is_missing_or_repeated_does_not_apply(tmp_path):
    """Guards against an edit that changes nothing, or too much."""
    (tmp_path / "a.py").write_text("one two two")
    assert mutations.applies(_edit("one"), tmp_path)
    assert not mutations.applies(_edit("two"), tmp_path)
    assert not mutations.applies(_edit("three"), tmp_path)
    with mutations.applied(_edit("one"), tmp_path):
        assert (tmp_path / "a.py").read_text() == "new two two"
    assert (tmp_path / "a.py").read_text() == "one two two"


@pytest.mark.parametrize(
    ("asserted", "verdict"),
    [
        ("old", "survived"),
        ("not old", "caught"),
        ("missing(", "pytest exited with 4"),
    ],
)
def test_verdict_of_a_test(tmp_path, asserted, verdict):
    """Guards against an edit that counts as caught though no test ran."""
    tests = tmp_path / "tests"
    tests.mkdir()
    (tmp_path / "a.py").write_text("old = 1")
    text = f"old = 1\n\ndef test_a():\n    assert {asserted}\n"
    (tests / "test_a.py").write_text(text)
    assert mutations.try_one(_edit("old = 1"), tmp_path).verdict == verdict


def test_page_names_existing_tests():
    """Guards against a page that quotes a test that is gone."""
    words = PROOFS.read_text().replace("`", " ").split()
    quoted = [w.rstrip(".,;)") for w in words if w.startswith("tests/test_")]
    assert quoted
    for test in quoted:
        assert pathlib.Path(mutations.ROOT / test.partition("::")[0]).exists()
        assert "::" not in test or _has_test(test.partition("[")[0]), test
