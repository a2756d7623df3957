"""Plans a publish: merges, rebases or reports a conflict."""

from collections.abc import Iterable
from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes


class Seen(NamedTuple):
    """The configuration on which the operator's change is based.

    Attributes:
        version: Its version; 0 if there was none.
        objects: Its objects.
    """

    version: int
    objects: objects_module.ObjectSet


class Wanted(NamedTuple):
    """What the operator wants.

    Attributes:
        objects: Objects that must be in the set as they are here.
        deleted: Kind and name of objects that must not be in the set.
        exact: The set must become ``objects`` alone, so that every other
            publish conflicts with it.
    """

    objects: objects_module.ObjectSet
    deleted: tuple[tuple[str, str], ...] = ()
    exact: bool = False


class Plan(NamedTuple):
    """A set to publish.

    Attributes:
        objects: The merged set.
        changed: Objects that the operator changes, as ``kind/name``.
    """

    objects: objects_module.ObjectSet
    changed: tuple[str, ...]


def key(kind: str, name: str) -> str:
    """Returns the name of an object in logs and on the command line."""
    return f"{kind}/{name}"


def difference(
    before: objects_module.ObjectSet, after: objects_module.ObjectSet
) -> tuple[tuple[str, str], ...]:
    """Returns kind and name of all objects that differ, in order."""
    return tuple(
        (kind, name)
        for kind in sorted(before.keys() | after.keys())
        for name in sorted(
            before.get(kind, {}).keys() | after.get(kind, {}).keys()
        )
        if before.get(kind, {}).get(name) != after.get(kind, {}).get(name)
    )


def _copy(objects: objects_module.ObjectSet) -> objects_module.ObjectSet:
    return {kind: dict(named) for kind, named in objects.items()}


def _target(seen: Seen, wanted: Wanted) -> objects_module.ObjectSet:
    """Returns the set that the operator had in mind."""
    if wanted.exact:
        return wanted.objects
    target = _copy(seen.objects)
    for kind, named in wanted.objects.items():
        target[kind].update(named)
    for kind, name in wanted.deleted:
        if target.get(kind, {}).pop(name, None) is None:
            raise errors.CodedError(
                errorcodes.PUBLISH_NO_OBJECT,
                "the object cannot be deleted: it does not exist",
                key(kind, name),
            )
    return target


def _conflict(
    entry: head_module.Entry, shared: Iterable[str]
) -> errors.CodedError:
    names = ", ".join(sorted(shared))
    text = (
        f"operation {entry.operation} of {entry.author} changed {names}"
        f" in version {entry.version}"
    )
    return errors.CodedError(errorcodes.PUBLISH_CONFLICT, text, names)


def _check_log(
    head: head_module.Head, seen: Seen, changed: set[str], exact: bool
) -> None:
    for entry in head.log:
        if entry.version <= seen.version:
            continue
        everything = exact or head_module.EVERYTHING in entry.changed
        shared = entry.changed if everything else changed & {*entry.changed}
        if shared:
            raise _conflict(entry, shared)


def _check_current(
    head: head_module.Head,
    current: objects_module.ObjectSet,
    seen: Seen,
    differing: Iterable[tuple[str, str]],
) -> None:
    """Finds changes whose entries the bounded log no longer has."""
    if seen.version and not head_module.find_version(head, seen.version):
        text = f"the log does not reach back to version {seen.version}"
        raise errors.CodedError(errorcodes.PUBLISH_CONFLICT, text)
    for kind, name in differing:
        if current[kind].get(name) != seen.objects[kind].get(name):
            text = f"the object has changed since version {seen.version}"
            code = errorcodes.PUBLISH_CONFLICT
            raise errors.CodedError(code, text, key(kind, name))


def plan(
    head: head_module.Head | None,
    current: objects_module.ObjectSet,
    wanted: Wanted,
    seen: Seen,
) -> Plan:
    """Plans a publish.

    Args:
        head: The current head, if any.
        current: Objects of the head.
        wanted: What the operator wants.
        seen: The configuration on which the operator's change is based.

    Returns:
        The operator's changes applied to the current objects.

    Raises:
        errors.CodedError: ``publish.conflict`` if a publish that the operator
            has not seen changed the same object, ``publish.no_object`` if an
            object to delete does not exist.
    """
    target = _target(seen, wanted)
    differing = difference(seen.objects, target)
    changed = tuple(key(kind, name) for kind, name in differing)
    if head is not None and head.version != seen.version and changed:
        _check_log(head, seen, {*changed}, wanted.exact)
        _check_current(head, current, seen, differing)
    merged = _copy(current)
    for kind, name in differing:
        if name in target[kind]:
            merged[kind][name] = target[kind][name]
        else:
            merged[kind].pop(name, None)
    return Plan(merged, changed)
