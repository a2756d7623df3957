"""Notes about a configuration, and what differs from the one in force."""

import json
import time

import pytest
from rattangauge_platform import check as platform_check

from rattangauge import cmdline
from rattangauge.config import difference
from rattangauge.config import review
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from tests import builders
from tests import meshes


def _objects(**changes):
    objects = builders.object_set()
    for kind, items in changes.items():
        objects[kind].update({item.name: item for item in items})
    return objects


def _route(**fields):
    return generated.Route("r", "skladby", "/r", policy="default", **fields)


@pytest.mark.parametrize(
    ("kind", "item", "field", "code"),
    [
        ("route", _route(host="Shop.example"), "host", "unreachable"),
        ("route", _route(host="shop:80"), "host", "unreachable"),
        ("route", _route()._replace(prefix="/r?x"), "prefix", "unreachable"),
        (
            "route",
            _route(split=("skladby", "nahravky"), weights=(1, 0)),
            "weights",
            "unreachable",
        ),
        ("route", _route(exempt=True), "exempt", "unreachable"),
        ("policy", generated.Policy("p", 10), "", "unreachable"),
        ("tenant", generated.Tenant("t"), "keys", "unreachable"),
        (
            "tenant",
            generated.Tenant("t", ("k",), burst=5.0),
            "burst",
            "contradiction",
        ),
        (
            "tenant",
            generated.Tenant("t", ("k",), rate_per_s=5.0),
            "burst",
            "contradiction",
        ),
        (
            "policy",
            generated.Policy("default", 10, target_latency_ms=20),
            "target_latency_ms",
            "contradiction",
        ),
        (
            "limits",
            generated.Limits("callers", idle_timeout_ms=1),
            "header_timeout_ms",
            "contradiction",
        ),
    ],
)
def test_an_entry_without_effect_is_noted(kind, item, field, code):
    """Guards against entries that an operator believes to be in use."""
    notes = review.review(_objects(**{kind: [item]}))
    expected = f"{kind} {item.name}", field, f"object.{code}"
    assert [(n.place, n.field, n.code) for n in notes] == [expected]


def test_an_ordinary_set_has_no_notes():
    """Guards against notes that operators learn to ignore."""
    assert review.review(builders.object_set()) == []


def test_differences_name_fields_and_hide_keys():
    """Guards against keys in the output of a check."""
    before = _objects(tenant=[generated.Tenant("t", ("secret-1",))])
    after = _objects(tenant=[generated.Tenant("t", ("secret-2",), 3)])
    del after["route"]["nahravky"]
    after["service"]["new"] = generated.Service("new", ("skladby",))
    lines = [str(c) for c in difference.difference(before, after)]
    assert lines == [
        "- route nahravky",
        "+ service new",
        "~ tenant t: keys: (secret) -> (secret)",
        "~ tenant t: priority: -1 -> 3",
    ]


def _write(path, tenants=(), service="skladby", **fields):
    paths = [meshes.path("/track/", service, **fields)]
    spec = meshes.configuration(3, paths, ("skladby",))
    path.write_text(json.dumps(spec | {"tenants": list(tenants)}))
    return path


def test_a_configuration_of_the_platform_is_checked(tmp_path, capsys):
    """Guards against errors that only the store would find."""
    good = _write(tmp_path / "good.json")
    other = _write(tmp_path / "other.json", **{"timeout-s": 2.0})
    assert platform_check.check(other, against=good) == 0
    assert "t2000-l500-r1-p8" in capsys.readouterr().out
    bad = _write(tmp_path / "bad.json", service="nobody")
    assert platform_check.check(bad, as_json=True) == 1
    (finding,) = json.loads(capsys.readouterr().out)["findings"]
    assert finding["place"] == str(bad)
    assert "nobody" in finding["message"]
    missing = tmp_path / "missing.json"
    assert platform_check.check(missing) == 1
    assert errorcodes.OBJECT_UNREADABLE in capsys.readouterr().out


def test_many_routes_and_keys_take_less_than_two_seconds(tmp_path, capsys):
    """Guards against a check that operators leave out for its time."""
    paths = [meshes.path(f"/r{n}/", "skladby") for n in range(2000)]
    tenants = [
        {"name": f"t{n}", "api-keys": [f"k{n}-{m}" for m in range(100)]}
        for n in range(100)
    ]
    spec = meshes.configuration(3, paths, ("skladby",)) | {"tenants": tenants}
    path = tmp_path / "large.json"
    path.write_text(json.dumps(spec))
    started_at = time.monotonic()
    assert platform_check.check(path, against=path) == 0
    assert time.monotonic() - started_at < 2.0
    assert not capsys.readouterr().out


def test_the_command_shows_notes_and_changes(tmp_path, capsys):
    """Guards against a report that the command line drops."""
    text = """
[[pool]]
name = "p"
announces = "p"
[[service]]
name = "s"
pools = ["p"]
[[route]]
name = "r"
service = "s"
prefix = "/"
"""
    before = tmp_path / "before.toml"
    before.write_text(text)
    after = tmp_path / "after.toml"
    after.write_text(text + 'host = "UP.example"\n')
    assert cmdline.check(after, against=(before,)) == 0
    printed = capsys.readouterr().out
    assert "note: route r: host" in printed
    assert "~ route r: host" in printed
