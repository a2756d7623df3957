"""Plans a publish: rebases an operator's change or reports a conflict."""

from collections.abc import Iterable
from typing import NamedTuple

from rattangauge import errors
from rattangauge.config import head as head_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes


class BaseConfiguration(NamedTuple):
    """The configuration on which an operator's change is based.

    Attributes:
        version: Version of the configuration; 0 if there was none.
        objects: Objects of the configuration.
    """

    version: int
    objects: objects_module.ObjectSet


class RequestedChange(NamedTuple):
    """The change that an operator requests.

    Attributes:
        objects: Objects to add or replace.
        deleted: Kind and name of each object to delete.
        exact: Whether the set must consist of ``objects`` alone. Every other
            publish since the base then is a conflict.
    """

    objects: objects_module.ObjectSet
    deleted: tuple[tuple[str, str], ...] = ()
    exact: bool = False


class PublishPlan(NamedTuple):
    """The set of objects to publish.

    Attributes:
        objects: The current objects with the operator's changes.
        changed: Objects that the operator changes, as ``kind/name``.
    """

    objects: objects_module.ObjectSet
    changed: tuple[str, ...]


def key(kind: str, name: str) -> str:
    """Returns the name of an object for logs and the command line."""
    return f"{kind}/{name}"


def difference(
    before: objects_module.ObjectSet, after: objects_module.ObjectSet
) -> tuple[tuple[str, str], ...]:
    """Returns kind and name of all objects that differ, sorted."""
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


def _apply_change(
    seen: BaseConfiguration, wanted: RequestedChange
) -> objects_module.ObjectSet:
    """Returns the base configuration with the requested change applied."""
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


def _conflict_error(
    entry: head_module.Entry, shared: Iterable[str]
) -> errors.CodedError:
    names = ", ".join(sorted(shared))
    text = (
        f"operation {entry.operation} of {entry.author} changed {names}"
        f" in version {entry.version}"
    )
    return errors.CodedError(errorcodes.PUBLISH_CONFLICT, text, names)


def _check_logged_changes(
    head: head_module.Head,
    seen: BaseConfiguration,
    changed: set[str],
    exact: bool,
) -> None:
    """Raises a conflict if a logged publish changed one of the objects."""
    for entry in head.log:
        if entry.version <= seen.version:
            continue
        conflicts_with_all = exact or head_module.EVERYTHING in entry.changed
        shared = (
            entry.changed if conflicts_with_all else changed & {*entry.changed}
        )
        if shared:
            raise _conflict_error(entry, shared)


def _check_current_objects(
    head: head_module.Head,
    current: objects_module.ObjectSet,
    seen: BaseConfiguration,
    differing: Iterable[tuple[str, str]],
) -> None:
    """Raises a conflict for changes that the bounded log no longer has."""
    if seen.version and not head_module.find_version(head, seen.version):
        text = f"the publish log does not reach back to version {seen.version}"
        raise errors.CodedError(errorcodes.PUBLISH_CONFLICT, text)
    for kind, name in differing:
        if current[kind].get(name) != seen.objects[kind].get(name):
            text = f"the object has changed since version {seen.version}"
            code = errorcodes.PUBLISH_CONFLICT
            raise errors.CodedError(code, text, key(kind, name))


def plan(
    head: head_module.Head | None,
    current: objects_module.ObjectSet,
    wanted: RequestedChange,
    seen: BaseConfiguration,
) -> PublishPlan:
    """Applies an operator's change to the current objects.

    Args:
        head: The current head, if any.
        current: Objects of the current edition.
        wanted: The change that the operator requests.
        seen: The configuration on which the change is based.

    Returns:
        The set of objects to publish.

    Raises:
        errors.CodedError: ``publish.conflict`` if a publish after the base
            version changed the same object or the publish log does not reach
            back to that version; ``publish.no_object`` if an object to delete
            does not exist.
    """
    target = _apply_change(seen, wanted)
    differing = difference(seen.objects, target)
    changed = tuple(key(kind, name) for kind, name in differing)
    if head is not None and head.version != seen.version and changed:
        _check_logged_changes(head, seen, {*changed}, wanted.exact)
        _check_current_objects(head, current, seen, differing)
    merged = _copy(current)
    for kind, name in differing:
        if name in target[kind]:
            merged[kind][name] = target[kind][name]
        else:
            merged[kind].pop(name, None)
    return PublishPlan(merged, changed)
