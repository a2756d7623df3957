"""Tests of reading objects and editions."""

import pathlib
import tempfile

import hypothesis
from hypothesis import strategies
import pytest

from rattangauge import errors
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import objects as generated
from tests import builders


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("[[pol]]\n", "f: pol: the kind does not exist [object.unknown_k"),
        ('["a\\nb"]\n', "f: 'a\\nb': the kind does not exist [object.unk"),
        (
            '[[pool]]\nname = "a"\nannounces = "a"\nzone = 1\n',
            "f: pool a: zone: the field does not exist [object.unknown_field]",
        ),
        (
            '[[policy]]\nname = "a"\nretries = "2"\n',
            "f: policy a: retries: '2' is not of type int [object.type]",
        ),
        (
            '[[policy]]\nname = "a"\nretries = 11\n',
            "f: policy a: retries: 11 is above the maximum 10 [object.range]",
        ),
        ('[[policy]]\nname = "A_"\n', "f: policy A_: name: 'A_' is not a"),
        ("[[service]]\n", "f: service without a name: name: the field is r"),
        ("policy = [1]\n", "f: policy without a name: 1 is not a table [o"),
        ("name = \n", "f: Invalid value (at line 1, column 8) [object.syn"),
        (f"a = {'[' * 5000}", "f: "),
        (f"a = {'1' * 5000}", "f: "),
        (f"[[policy]]\nname = 0x{'f' * 5000}", "f: policy without a name"),
        (f"[[policy]]\nname = '{'x' * 2_000_000}'", "f: policy 'xxx"),
    ],
)
def test_finding_names_place_and_value(text, expected):
    """Guards against findings from which the faulty field is not found."""
    findings = objects_module.read_text(text, "f").findings
    assert str(findings[0]).startswith(expected)
    assert len(str(findings[0])) < 500
    assert "\n" not in str(findings[0])


KEYS = strategies.sampled_from(
    [*generated.KINDS, "name", "pools", "retries", "prefix", "hedge", "x"]
)
VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=12,
)


@hypothesis.given(strategies.binary() | strategies.text().map(str.encode))
def test_any_bytes_give_findings_only(data):
    """Guards against a file that raises an uncaught error in the reader."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "any.toml"
        path.write_bytes(data)
        loaded = objects_module.load([path])
    assert all(finding.code for finding in loaded.findings)


@hypothesis.given(strategies.dictionaries(KEYS, VALUES))
def test_any_tables_give_findings_only(tables):
    """Guards against a value of an unexpected type in any field."""
    loaded = objects_module.read_tables(tables, "f")
    objects, _ = objects_module.build_set(loaded.objects)
    assert sum(map(len, objects.values())) <= len(loaded.objects)
    rows = (v if isinstance(v, list) else [v] for v in tables.values())
    if any(rows) and not loaded.objects:
        assert loaded.findings


@hypothesis.given(strategies.binary())
def test_any_bytes_are_refused_as_edition(data):
    """Guards against an exception of another kind while decoding."""
    for value in (data, b"[" * 100_000):
        with pytest.raises(errors.FindingsError):
            edition_module.decode(1, edition_module.digest_of(value), value)


@hypothesis.given(strategies.text(), strategies.lists(strategies.text()))
def test_text_of_a_set_reads_back(text, texts):
    """Guards against ``get`` printing objects that ``apply`` cannot read."""
    objects = builders.object_set(tenants=tuple(texts))
    objects["pool"]["skladby"] = generated.Pool("skladby", text)
    printed = objects_module.format_text(objects)
    loaded = objects_module.read_text(printed, "f")
    assert loaded.findings == []
    assert objects_module.build_set(loaded.objects)[0] == objects


def test_duplicate_names_both_files():
    """Guards against a file that silently replaces an object of another."""
    text = '[[policy]]\nname = "a"\n'
    first = objects_module.read_text(text, "one.toml").objects
    second = objects_module.read_text(text, "two.toml").objects
    _, collected = objects_module.build_set([*first, *second])
    assert [str(finding) for finding in collected.findings] == [
        "two.toml: policy a: name: another policy has the name 'a', in "
        "one.toml [object.duplicate]"
    ]


def test_findings_come_in_the_order_of_the_fields():
    """Guards against findings whose order changes from run to run."""
    rows = [
        {
            "name": "n",
            "timeout_ms": 0,
            "retries": "2",
            "target_latency_ms": -1,
            "priority": 10,
            "hedge": 1,
        }
    ]
    loaded = objects_module.read_tables({"policy": rows}, "file")
    fields = [finding.field for finding in loaded.findings]
    assert fields == [
        "timeout_ms",
        "retries",
        "target_latency_ms",
        "priority",
        "hedge",
    ]
