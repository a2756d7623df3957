"""Tests of the check of a whole set of objects."""

import pathlib

import pytest

from rattangauge.commands import checking
from rattangauge.config import check
from rattangauge.generated import objects as generated
from tests import builders

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def findings(kind, item):
    """Returns the findings of a valid set with one more object."""
    objects = builders.object_set()
    objects[kind][item.name] = item
    return [
        str(f) for f in check.check_objects(objects, {(kind, item.name): "f"})
    ]


@pytest.mark.parametrize(
    ("kind", "item", "expected"),
    [
        (
            "service",
            generated.Service("s", ("none",)),
            "f: service s: pools: the pool 'none' does not exist "
            "[object.reference]",
        ),
        (
            "route",
            generated.Route("r", "skladby", "/r", policy="none"),
            "f: route r: policy: the policy 'none' does not exist "
            "[object.reference]",
        ),
        (
            "route",
            generated.Route("r", "skladby", "r"),
            "f: route r: prefix: 'r' does not start with '/' [object.range]",
        ),
        (
            "route",
            generated.Route("z", "skladby", "/skladby"),
            "f: route z: prefix: route 'skladby' matches the same requests "
            "[object.ambiguous]",
        ),
    ],
)
def test_finding_names_object_and_field(kind, item, expected):
    """Guards against a set with a dangling reference or an invalid route."""
    assert findings(kind, item) == [expected]


def test_object_of_two_megabytes_is_refused():
    """Guards against an object that is too large for the platform's store."""
    item = generated.Policy("big", tenants=("x" * 2_000_000,))
    (finding,) = findings("policy", item)
    size = len(repr(item))
    assert finding.startswith(f"f: policy big: the object has {size} bytes")
    assert finding.endswith("[object.too_large]")


@pytest.mark.parametrize(
    ("name", "services"),
    [
        ("choirs", {"skladby", "objednavky", "nahravky"}),
        ("registers", {"auskunft", "buchung", "akten"}),
    ],
)
def test_examples_have_no_findings(name, services):
    """Guards against examples that cannot be published."""
    folder = EXAMPLES / name
    assert checking.check_files([folder]) == []
    objects = checking.read([folder]).objects
    assert objects["service"].keys() == services
    announced = {pool.announces for pool in objects["pool"].values()}
    assert announced == services
    routed = {route.service for route in objects["route"].values()}
    assert routed == services
