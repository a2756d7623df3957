"""Checks a whole set of objects, including the references between them."""

from collections.abc import Iterator
from typing import NamedTuple

from rattangauge import errors
from rattangauge import fields
from rattangauge.config import objects as objects_module
from rattangauge.config import tenants
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated

# Limit on the size of an object. It leaves room for the frame around the object
# in a value of the platform's object API.
MAX_OBJECT_BYTES = 1_000_000


class _Reference(NamedTuple):
    """A field that names objects.

    Attributes:
        field: Name of the field.
        kind: Kind of the objects that it names.
        is_list: Whether it names several.
        may_be_empty: Whether it may name none by an empty text.
    """

    field: str
    kind: str
    is_list: bool
    may_be_empty: bool


def _reference_fields(kind: str) -> Iterator[_Reference]:
    """Yields the fields of a kind of object that name other objects."""
    for field, spec in generated.SPECS[kind].items():
        item_kind = spec.kind.removeprefix("list[").removesuffix("]")
        if item_kind.startswith("ref:"):
            yield _Reference(
                field,
                item_kind.removeprefix("ref:"),
                item_kind != spec.kind,
                spec.default is not fields.REQUIRED,
            )


# Computed once: each change of the configuration is checked.
_REFERENCE_FIELDS = {
    kind: tuple(_reference_fields(kind)) for kind in generated.KINDS
}


def _references(
    kind: str, item: generated.MeshObject
) -> Iterator[tuple[str, str, str]]:
    """Yields the field, kind and name of each reference in an object."""
    for field, target, is_list, may_be_empty in _REFERENCE_FIELDS[kind]:
        value = getattr(item, field)
        if is_list:
            for name in value:
                yield field, target, name
        elif value or not may_be_empty:
            yield field, target, value


def _format_place(
    places: dict[tuple[str, str], str], kind: str, name: str
) -> str:
    file = places.get((kind, name), "")
    return f"{file}: {kind} {name}" if file else f"{kind} {name}"


def _check_references(
    objects: objects_module.ObjectSet, places: dict[tuple[str, str], str]
) -> Iterator[errors.Finding]:
    for kind, named in objects.items():
        for name, item in named.items():
            for field, target, referenced in _references(kind, item):
                if referenced in objects[target]:
                    continue
                yield errors.Finding(
                    _format_place(places, kind, name),
                    field,
                    f"the {target} {referenced!r} does not exist",
                    errorcodes.OBJECT_REFERENCE,
                )


def _check_routes(
    objects: objects_module.ObjectSet, places: dict[tuple[str, str], str]
) -> Iterator[errors.Finding]:
    seen: dict[tuple[str, str, str], str] = {}
    for name, route in sorted(objects["route"].items()):
        place = _format_place(places, "route", name)
        if not route.prefix.startswith("/"):
            message = f"{route.prefix!r} does not start with '/'"
            code = errorcodes.OBJECT_RANGE
            yield errors.Finding(place, "prefix", message, code)
        yield from _check_split(route, place)
        for method in route.methods or ("",):
            key = route.host, route.prefix, method
            other = seen.setdefault(key, name)
            if other != name:
                message = f"route {other!r} matches the same requests"
                code = errorcodes.OBJECT_AMBIGUOUS
                yield errors.Finding(place, "prefix", message, code)
                break


def _check_split(
    route: generated.Route, place: str
) -> Iterator[errors.Finding]:
    """Checks that a route has a weight for each service of its split."""
    code = errorcodes.OBJECT_RANGE
    if len(route.weights) != len(route.split):
        message = (
            f"{len(route.weights)} weights for {len(route.split)} services"
        )
        yield errors.Finding(place, "weights", message, code)
    elif route.split and not sum(route.weights):
        yield errors.Finding(place, "weights", "all weights are 0", code)


def _check_tenants(
    objects: objects_module.ObjectSet, places: dict[tuple[str, str], str]
) -> Iterator[errors.Finding]:
    for name, finding in tenants.check_tenants(objects):
        place = _format_place(places, "tenant", name)
        yield finding._replace(place=place)


def _check_sizes(
    objects: objects_module.ObjectSet, places: dict[tuple[str, str], str]
) -> Iterator[errors.Finding]:
    for kind, named in objects.items():
        for name, item in named.items():
            size = len(repr(item).encode(errors="replace"))
            if size > MAX_OBJECT_BYTES:
                message = f"the object has {size} bytes; the limit is"
                yield errors.Finding(
                    _format_place(places, kind, name),
                    "",
                    f"{message} {MAX_OBJECT_BYTES}",
                    errorcodes.OBJECT_TOO_LARGE,
                )


def check_references(
    objects: objects_module.ObjectSet,
) -> list[errors.Finding]:
    """Checks what the use of a set relies on.

    Args:
        objects: The set.

    Returns:
        A finding for each reference to an object that does not exist, for each
        route whose services and weights do not belong together, and for each
        key of several tenants.
    """
    findings = list(_check_references(objects, {}))
    findings += _check_tenants(objects, {})
    for name, route in objects["route"].items():
        findings += _check_split(route, f"route {name}")
    return findings


def check_objects(
    objects: objects_module.ObjectSet,
    places: dict[tuple[str, str], str] | None = None,
) -> list[errors.Finding]:
    """Checks a whole set of objects.

    Args:
        objects: The set.
        places: Source file of each object by kind and name, for the findings.

    Returns:
        All findings. The set is valid if there are none.
    """
    known = places or {}
    return [
        *_check_references(objects, known),
        *_check_routes(objects, known),
        *_check_tenants(objects, known),
        *_check_sizes(objects, known),
    ]
