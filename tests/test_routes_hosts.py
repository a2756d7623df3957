"""Tests of routes by host, and of splits in editions."""

from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from tests import builders


def table(*found):
    objects = builders.object_set(("skladby", "nahravky"))
    objects["route"] = {route.name: route for route in found}
    return routes.compile_routes(builders.edition(3, objects))


def route(name, prefix, host="", service="skladby", **fields):
    return generated.Route(name, service, prefix, host=host, **fields)


def matched(compiled, path, host=""):
    target = routes.match(compiled, "GET", path, host)
    return target.route.name if target else None


def test_the_longest_prefix_of_the_host_wins():
    compiled = table(
        route("short", "/a/", "one.example"),
        route("long", "/a/b/", "one.example"),
        route("other", "/a/b/c/", "two.example"),
    )
    assert matched(compiled, "/a/b/c/d", "one.example") == "long"
    assert matched(compiled, "/a/x", "one.example") == "short"
    assert matched(compiled, "/a/b/c/d", "two.example") == "other"
    assert matched(compiled, "/a/x", "two.example") is None


def test_routes_of_any_host_come_after_those_of_the_host():
    compiled = table(route("any", "/a/b/"), route("own", "/a/", "one.example"))
    assert matched(compiled, "/a/b/c", "one.example") == "own"
    assert matched(compiled, "/a/b/c", "two.example") == "any"
    assert matched(compiled, "/a/b/c") == "any"


def test_a_split_names_its_shares():
    split = route("r", "/a/", split=("skladby", "nahravky"), weights=(90, 10))
    target = routes.match(table(split), "GET", "/a/1")
    assert target.shares == (
        routes.Share("skladby", 90),
        routes.Share("nahravky", 10),
    )


def codes(found):
    objects = builders.object_set(("skladby", "nahravky"))
    objects["route"] = {found.name: found}
    return {finding.code for finding in check.check(objects)}


def test_a_split_needs_a_weight_for_each_service():
    assert codes(route("r", "/a/", split=("skladby",), weights=())) == {
        errorcodes.OBJECT_RANGE
    }


def test_a_split_needs_a_weight_above_zero():
    both = ("skladby", "nahravky")
    assert codes(route("r", "/a/", split=both, weights=(0, 0))) == {
        errorcodes.OBJECT_RANGE
    }


def test_a_split_refers_to_services_that_exist():
    assert codes(route("r", "/a/", split=("none",), weights=(1,))) == {
        errorcodes.OBJECT_REFERENCE
    }


def test_hosts_and_splits_travel_in_an_edition():
    objects = builders.object_set(("skladby", "nahravky"))
    objects["route"]["r"] = route(
        "r",
        "/a/",
        "one.example",
        split=("skladby", "nahravky"),
        weights=(1, 2),
    )
    objects["limits"]["callers"] = generated.Limits("callers", 4096)
    data = edition_module.encode(objects)
    digest = edition_module.digest_of(data)
    assert edition_module.decode(1, digest, data).objects == objects
