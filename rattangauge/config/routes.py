"""Compiles the routes of an edition and matches requests against them."""

from typing import NamedTuple

from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import objects as generated

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE")
)
DEFAULT_POLICY = generated.Policy(name="default")
LIMITS_NAME = "callers"
DEFAULT_LIMITS = generated.Limits(name=LIMITS_NAME)


class Share(NamedTuple):
    """A service's part of the calls of a route."""

    service: str
    weight: int


class Target(NamedTuple):
    """Everything that a call needs to know of its route.

    Attributes:
        route: The route that matched.
        service: The service that answers.
        pools: Its pools, the preferred one first.
        policy: The policy that applies.
        shares: Services that share the calls by weight; empty if one takes all.
    """

    route: generated.Route
    service: generated.Service
    pools: tuple[generated.Pool, ...]
    policy: generated.Policy
    shares: tuple[Share, ...] = ()


class RouteTable(NamedTuple):
    """Routes by host and prefix, the longest prefix first.

    Attributes:
        version: Version of the edition.
        by_prefix: Targets by host and prefix; the host is empty where any fits.
        lengths: Lengths of the prefixes, descending.
        limits: Limits on what callers may send.
    """

    version: int
    by_prefix: dict[tuple[str, str], tuple[Target, ...]]
    lengths: tuple[int, ...]
    limits: generated.Limits = DEFAULT_LIMITS


_Pools = dict[str, tuple[generated.Pool, ...]]


def _pools_by_service(objects: objects_module.ObjectSet) -> _Pools:
    return {
        service.name: tuple(objects["pool"][name] for name in service.pools)
        for service in objects["service"].values()
    }


def _target(
    objects: objects_module.ObjectSet, pools: _Pools, route: generated.Route
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
    """Compiles the routes of an edition."""
    by_prefix: dict[tuple[str, str], tuple[Target, ...]] = {}
    pools = _pools_by_service(edition.objects)
    for route in edition.objects["route"].values():
        key = route.host, route.prefix
        targets = by_prefix.get(key, ())
        target = _target(edition.objects, pools, route)
        # Routes that name their methods go before those that take all.
        if route.methods:
            by_prefix[key] = (target, *targets)
        else:
            by_prefix[key] = (*targets, target)
    found = {len(prefix) for _host, prefix in by_prefix}
    lengths = tuple(sorted(found, reverse=True))
    limits = edition.objects["limits"].get(LIMITS_NAME, DEFAULT_LIMITS)
    return RouteTable(edition.version, by_prefix, lengths, limits)


def _is_whole_segment(path: str, length: int) -> bool:
    if path[length - 1] == "/" or len(path) == length:
        return True
    return path[length] in "/?"


def match(
    table: RouteTable, method: str, path: str, host: str = ""
) -> Target | None:
    """Returns the target of the longest matching prefix, if any.

    A prefix matches whole segments of the path only. The routes of the host go
    before those of any host.

    Args:
        table: The routes.
        method: Method of the request.
        path: Path of the request.
        host: Host of the request in lower case, without a port.
    """
    for wanted in (host, "") if host else ("",):
        for length in table.lengths:
            if len(path) < length or not _is_whole_segment(path, length):
                continue
            for target in table.by_prefix.get((wanted, path[:length]), ()):
                if not target.route.methods or method in target.route.methods:
                    return target
    return None


def is_idempotent(target: Target, method: str) -> bool:
    """Tells whether a call may be repeated."""
    if target.route.idempotent == "method":
        return method in IDEMPOTENT_METHODS
    return target.route.idempotent == "yes"
