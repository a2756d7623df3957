"""Compiles the routes of an edition and matches requests against them."""

from typing import NamedTuple

from rattangauge.config import edition as edition_module
from rattangauge.generated import objects as generated

IDEMPOTENT_METHODS = frozenset(
    ("GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE")
)
DEFAULT_POLICY = generated.Policy(name="default")


class Target(NamedTuple):
    """Everything that a call needs to know of its route.

    Attributes:
        route: The route that matched.
        service: The service that answers.
        pools: Its pools, the preferred one first.
        policy: The policy that applies.
    """

    route: generated.Route
    service: generated.Service
    pools: tuple[generated.Pool, ...]
    policy: generated.Policy


class RouteTable(NamedTuple):
    """Routes by prefix, the longest prefix first."""

    version: int
    by_prefix: dict[str, tuple[Target, ...]]
    lengths: tuple[int, ...]


def _target(edition: edition_module.Edition, route: generated.Route) -> Target:
    objects = edition.objects
    service = objects["service"][route.service]
    pools = tuple(objects["pool"][name] for name in service.pools)
    policy_name = route.policy or service.policy
    policy = objects["policy"].get(policy_name, DEFAULT_POLICY)
    return Target(route, service, pools, policy)


def compile_routes(edition: edition_module.Edition) -> RouteTable:
    """Compiles the routes of an edition."""
    by_prefix: dict[str, tuple[Target, ...]] = {}
    for route in edition.objects["route"].values():
        targets = by_prefix.get(route.prefix, ())
        target = _target(edition, route)
        # Routes that name their methods go before those that take all.
        if route.methods:
            by_prefix[route.prefix] = (target, *targets)
        else:
            by_prefix[route.prefix] = (*targets, target)
    lengths = tuple(sorted({len(prefix) for prefix in by_prefix}, reverse=True))
    return RouteTable(edition.version, by_prefix, lengths)


def _is_whole_segment(path: str, length: int) -> bool:
    if path[length - 1] == "/" or len(path) == length:
        return True
    return path[length] in "/?"


def match(table: RouteTable, method: str, path: str) -> Target | None:
    """Returns the target of the longest matching prefix, if any.

    A prefix matches whole segments of the path only.
    """
    for length in table.lengths:
        if len(path) < length or not _is_whole_segment(path, length):
            continue
        for target in table.by_prefix.get(path[:length], ()):
            if not target.route.methods or method in target.route.methods:
                return target
    return None


def is_idempotent(target: Target, method: str) -> bool:
    """Tells whether a call may be repeated."""
    if target.route.idempotent == "method":
        return method in IDEMPOTENT_METHODS
    return target.route.idempotent == "yes"
