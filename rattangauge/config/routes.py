"""Compiles the routes of an edition and matches requests against them."""

from typing import NamedTuple

from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.config import tenants as tenants_module
from rattangauge.generated import objects as generated

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE")
)
DEFAULT_POLICY = generated.Policy(name="default")
# Name of the limits object that applies to the requests of callers.
LIMITS_NAME = "callers"
DEFAULT_LIMITS = generated.Limits(name=LIMITS_NAME)


class Share(NamedTuple):
    """A service that receives a share of a route's calls.

    Attributes:
        service: Name of the service.
        weight: Weight of the service, relative to the sum of all weights.
    """

    service: str
    weight: int


class Target(NamedTuple):
    """A route with the objects that it refers to.

    Attributes:
        route: The route.
        service: The service that runs the calls.
        pools: Pools of the service, the preferred one first.
        policy: Policy of the route, or that of its service.
        shares: Services among which the calls are split by weight; empty if
            ``service`` runs all calls.
    """

    route: generated.Route
    service: generated.Service
    pools: tuple[generated.Pool, ...]
    policy: generated.Policy
    shares: tuple[Share, ...] = ()


class RouteTable(NamedTuple):
    """Compiled routes of an edition.

    Attributes:
        version: Version of the edition.
        by_prefix: Targets by host and path prefix. The host is empty for routes
            that match any host.
        prefix_lengths: Lengths of the prefixes, descending.
        limits: Limits on what callers may send.
        tenants: Tenants and their keys.
    """

    version: int
    by_prefix: dict[tuple[str, str], tuple[Target, ...]]
    prefix_lengths: tuple[int, ...]
    limits: generated.Limits = DEFAULT_LIMITS
    tenants: tenants_module.TenantTable = tenants_module.NO_TENANTS


_PoolsByService = dict[str, tuple[generated.Pool, ...]]


def _pools_by_service(objects: objects_module.ObjectSet) -> _PoolsByService:
    return {
        service.name: tuple(objects["pool"][name] for name in service.pools)
        for service in objects["service"].values()
    }


def _resolve_target(
    objects: objects_module.ObjectSet,
    pools: _PoolsByService,
    route: generated.Route,
) -> Target:
    service = objects["service"][route.service]
    policy_name = route.policy or service.policy
    policy = objects["policy"].get(policy_name, DEFAULT_POLICY)
    shares: tuple[Share, ...] = ()
    if route.split:
        parts = zip(route.split, route.weights, strict=True)
        shares = tuple(Share(name, weight) for name, weight in parts)
    return Target(route, service, pools[service.name], policy, shares)


def compile_routes(edition: edition_module.Edition) -> RouteTable:
    """Compiles the routes of an edition.

    Args:
        edition: An edition whose references have been checked.
    """
    by_prefix: dict[tuple[str, str], tuple[Target, ...]] = {}
    pools = _pools_by_service(edition.objects)
    for route in edition.objects["route"].values():
        key = route.host, route.prefix
        targets = by_prefix.get(key, ())
        target = _resolve_target(edition.objects, pools, route)
        # Routes for certain methods take precedence over those for all
        # methods.
        if route.methods:
            by_prefix[key] = (target, *targets)
        else:
            by_prefix[key] = (*targets, target)
    distinct = {len(prefix) for _host, prefix in by_prefix}
    prefix_lengths = tuple(sorted(distinct, reverse=True))
    limits = edition.objects["limits"].get(LIMITS_NAME, DEFAULT_LIMITS)
    tenants = tenants_module.compile_tenants(edition.objects)
    return RouteTable(
        edition.version, by_prefix, prefix_lengths, limits, tenants
    )


def _ends_at_segment(path: str, length: int) -> bool:
    if path[length - 1] == "/" or len(path) == length:
        return True
    return path[length] in "/?"


def match(
    table: RouteTable, method: str, path: str, host: str = ""
) -> Target | None:
    """Returns the target of the route that matches a request, if any.

    The route with the longest prefix matches. A prefix must end at the end of a
    path segment. Routes for the request's host take precedence over those for
    any host.

    Args:
        table: The routes.
        method: Method of the request.
        path: Path of the request, with or without the query.
        host: Host of the request in lower case, without a port.
    """
    for route_host in (host, "") if host else ("",):
        for length in table.prefix_lengths:
            if len(path) < length or not _ends_at_segment(path, length):
                continue
            for target in table.by_prefix.get((route_host, path[:length]), ()):
                if not target.route.methods or method in target.route.methods:
                    return target
    return None


def is_idempotent(target: Target, method: str) -> bool:
    """Returns whether a call may be sent again without a further effect."""
    if target.route.idempotent == "method":
        return method in IDEMPOTENT_METHODS
    return target.route.idempotent == "yes"
