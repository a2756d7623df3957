"""Tests of routes with hosts and with splits between services."""

from rattangauge.config import check
from rattangauge.config import edition as edition_module
from rattangauge.config import routes
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated
from tests import builders


def table(*table_routes):
    objects = builders.object_set(("skladby", "nahravky"))
    objects["route"] = {route.name: route for route in table_routes}
    return routes.compile_routes(builders.edition(3, objects))


def route(name, prefix, host="", service="skladby", **fields):
    return generated.Route(name, service, prefix, host=host, **fields)


def matched(compiled, path, host=""):
    target = routes.match(compiled, "GET", path, host)
    return target.route.name if target else None


def test_the_longest_prefix_of_the_host_wins():
    """Guards against a request that goes to a less specific route."""
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
    """Guards against a route for any host that hides one for the host."""
    compiled = table(route("any", "/a/b/"), route("own", "/a/", "one.example"))
    assert matched(compiled, "/a/b/c", "one.example") == "own"
    assert matched(compiled, "/a/b/c", "two.example") == "any"
    assert matched(compiled, "/a/b/c") == "any"


def test_a_split_names_its_shares():
    """Guards against a split whose services or weights are mixed up."""
    split = route("r", "/a/", split=("skladby", "nahravky"), weights=(90, 10))
    target = routes.match(table(split), "GET", "/a/1")
    assert target.shares == (
        routes.Share("skladby", 90),
        routes.Share("nahravky", 10),
    )


def codes(checked_route):
    objects = builders.object_set(("skladby", "nahravky"))
    objects["route"] = {checked_route.name: checked_route}
    return {finding.code for finding in check.check_objects(objects)}


def test_a_split_needs_a_weight_for_each_service():
    """Guards against a split with a service whose share is undefined."""
    assert codes(route("r", "/a/", split=("skladby",), weights=())) == {
        errorcodes.OBJECT_RANGE
    }


def test_a_split_needs_a_weight_above_zero():
    """Guards against a split that gives no service any call."""
    both = ("skladby", "nahravky")
    assert codes(route("r", "/a/", split=both, weights=(0, 0))) == {
        errorcodes.OBJECT_RANGE
    }


def test_a_split_refers_to_services_that_exist():
    """Guards against a split with a service that is not in the set."""
    assert codes(route("r", "/a/", split=("none",), weights=(1,))) == {
        errorcodes.OBJECT_REFERENCE
    }


def test_hosts_and_splits_travel_in_an_edition():
    """Guards against an edition that loses hosts, splits or limits."""
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
