"""Finds entries of a valid set that do nothing or contradict each other.

Such a set can be published: its notes are hints for the operator, not errors.
"""

from collections.abc import Iterator

from rattangauge import errors
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes


def _unreachable(place: str, field: str, message: str) -> errors.Finding:
    return errors.Finding(place, field, message, errorcodes.OBJECT_UNREACHABLE)


def _contradiction(place: str, field: str, message: str) -> errors.Finding:
    code = errorcodes.OBJECT_CONTRADICTION
    return errors.Finding(place, field, message, code)


def _review_routes(
    objects: objects_module.ObjectSet,
) -> Iterator[errors.Finding]:
    for name, route in sorted(objects["route"].items()):
        place = f"route {name}"
        if route.host != route.host.lower() or ":" in route.host:
            message = f"{route.host!r} is compared in lower case without a port"
            yield _unreachable(place, "host", message)
        if set("?#") & set(route.prefix):
            message = f"{route.prefix!r} has a query, which no path has"
            yield _unreachable(place, "prefix", message)
        for service, weight in zip(route.split, route.weights, strict=False):
            if not weight:
                message = f"service {service!r} has the weight 0"
                yield _unreachable(place, "weights", message)
        if route.exempt and not objects["tenant"]:
            message = "no request needs a key, as there is no tenant"
            yield _unreachable(place, "exempt", message)


def _review_unused(
    objects: objects_module.ObjectSet,
) -> Iterator[errors.Finding]:
    """Yields services, pools and policies that no route leads to."""
    used: dict[str, set[str]] = {"service": set(), "pool": set()}
    policies = set()
    for route in objects["route"].values():
        used["service"] |= {route.service, *route.split}
        policies.add(route.policy)
    for name in used["service"] & objects["service"].keys():
        service = objects["service"][name]
        used["pool"] |= set(service.pools)
        policies.add(service.policy)
    used["policy"] = policies
    for kind, names in used.items():
        for name in sorted(objects[kind].keys() - names):
            yield _unreachable(f"{kind} {name}", "", "no route leads to it")


def _review_policies(
    objects: objects_module.ObjectSet,
) -> Iterator[errors.Finding]:
    for name, policy in sorted(objects["policy"].items()):
        if policy.target_latency_ms > policy.timeout_ms:
            message = (
                f"the target of {policy.target_latency_ms} ms is after the "
                f"timeout of {policy.timeout_ms} ms"
            )
            place = f"policy {name}"
            yield _contradiction(place, "target_latency_ms", message)


def _review_tenants(
    objects: objects_module.ObjectSet,
) -> Iterator[errors.Finding]:
    for name, tenant in sorted(objects["tenant"].items()):
        place = f"tenant {name}"
        if not tenant.keys:
            yield _unreachable(place, "keys", "it has no key")
        if tenant.burst and not tenant.rate_per_s:
            message = "a burst without a rate limits nothing"
            yield _contradiction(place, "burst", message)
        if tenant.rate_per_s and tenant.burst < 1.0:
            message = f"a burst of {tenant.burst:g} counts as 1"
            yield _contradiction(place, "burst", message)


def _review_limits(
    objects: objects_module.ObjectSet,
) -> Iterator[errors.Finding]:
    for name, limits in sorted(objects["limits"].items()):
        if limits.header_timeout_ms > limits.idle_timeout_ms:
            message = (
                f"headers may take {limits.header_timeout_ms} ms on "
                f"connections that end after {limits.idle_timeout_ms} ms"
            )
            place = f"limits {name}"
            yield _contradiction(place, "header_timeout_ms", message)


def review(objects: objects_module.ObjectSet) -> list[errors.Finding]:
    """Returns notes about a set that has been checked.

    Args:
        objects: The set.

    Returns:
        A note for each entry that can never match or that nothing leads to,
        and for each pair of limits of which one has no effect.
    """
    return [
        *_review_routes(objects),
        *_review_unused(objects),
        *_review_policies(objects),
        *_review_tenants(objects),
        *_review_limits(objects),
    ]
