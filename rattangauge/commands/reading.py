"""The commands ``get``, ``diff`` and ``history``."""

import datetime
import pathlib
from typing import Any
from typing import NamedTuple

from rattangauge import edition_store
from rattangauge import errors
from rattangauge.commands import applying
from rattangauge.commands import checking
from rattangauge.commands import output
from rattangauge.commands import store as store_module
from rattangauge.config import objects as objects_module
from rattangauge.config import publish
from rattangauge.generated import errorcodes

# Changed objects that the table of ``history`` names; --json lists all.
MAX_NAMES_SHOWN = 3


class Change(NamedTuple):
    """Difference of one object.

    Attributes:
        object: KIND/NAME of the object.
        before: Its fields before the change; None if it did not exist.
        after: Its fields after the change; None if it was deleted.
    """

    object: str
    before: dict[str, Any] | None
    after: dict[str, Any] | None


def select_objects(
    objects: objects_module.ObjectSet, subject: str
) -> objects_module.ObjectSet:
    """Returns the objects of ``KIND`` or ``KIND/NAME``; all if empty.

    Raises:
        errors.CodedError: ``operators.request`` if the subject is not valid,
            ``publish.no_object`` if it names no object.
    """
    if not subject:
        return objects
    kind, name = applying.parse_object_key(
        subject if "/" in subject else f"{subject}/*"
    )
    named = objects[kind]
    if name != "*":
        if name not in named:
            text = "the object does not exist"
            code = errorcodes.PUBLISH_NO_OBJECT
            raise errors.CodedError(code, text, subject)
        named = {name: named[name]}
    return {**objects_module.empty_set(), kind: named}


async def get(
    options: store_module.StoreOptions,
    subject: str,
    version: int | None,
    as_json: bool,
) -> int:
    """Prints objects of the newest version or of a kept one."""
    async with store_module.open_store(options) as store:
        current = await edition_store.read(store)
        wanted = current.version if version is None else version
        objects = await edition_store.objects_of(store, current, wanted)
    selected = select_objects(objects, subject)
    if as_json:
        tables = objects_module.to_tables(selected)
        output.print_json({"version": wanted, "objects": tables})
    else:
        print(f"# version {wanted}")
        print(objects_module.format_text(selected), end="")
    return output.EXIT_OK


def list_changes(
    before: objects_module.ObjectSet, after: objects_module.ObjectSet
) -> list[Change]:
    """Returns the differences between two sets of objects."""
    found = []
    for kind, name in publish.difference(before, after):
        old = before[kind].get(name)
        new = after[kind].get(name)
        change = Change(
            publish.key(kind, name),
            old._asdict() if old else None,
            new._asdict() if new else None,
        )
        found.append(change)
    return found


def format_change(change: Change) -> str:
    """Formats a change as text, with one line for each changed field."""
    if change.before is None:
        return f"+ {change.object}"
    if change.after is None:
        return f"- {change.object}"
    lines = [f"~ {change.object}"]
    for field, old in change.before.items():
        new = change.after[field]
        if old != new:
            lines.append(f"    {field}: {old!r} -> {new!r}")
    return "\n".join(lines)


async def diff(
    options: store_module.StoreOptions,
    paths: list[pathlib.Path],
    version: int | None,
    as_json: bool,
) -> int:
    """Prints what files would change, or what changed since a version."""
    files = checking.read(paths)
    if files.findings:
        raise errors.FindingsError(files.findings)
    if not paths and version is None:
        text = "nothing to compare: name files or --version"
        raise errors.CodedError(errorcodes.OPERATORS_REQUEST, text)
    async with store_module.open_store(options) as store:
        current = await edition_store.read(store)
        base = current.version if version is None else version
        before = await edition_store.objects_of(store, current, base)
    after = current.objects
    if paths:
        after = {
            kind: {**before[kind], **files.objects[kind]} for kind in before
        }
    found = list_changes(before, after)
    if as_json:
        tables = [change._asdict() for change in found]
        output.print_json({"version": base, "changes": tables})
    else:
        for change in found:
            print(format_change(change))
    return output.EXIT_OK


def _format_time(published_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(published_ms / 1000, datetime.UTC)
    return moment.strftime("%Y-%m-%dT%H:%M:%SZ")


def _format_names(names: tuple[str, ...]) -> str:
    shown = ", ".join(names[:MAX_NAMES_SHOWN])
    more = len(names) - MAX_NAMES_SHOWN
    return f"{shown} and {more} more" if more > 0 else shown


async def history(
    options: store_module.StoreOptions, limit: int, as_json: bool
) -> int:
    """Prints the last publishes, the newest one first."""
    async with store_module.open_store(options) as store:
        _, head = await edition_store.read_head(store)
    entries = list(reversed(head.log))[:limit] if head else []
    if as_json:
        output.print_json({"log": [entry._asdict() for entry in entries]})
        return output.EXIT_OK
    rows = [
        [
            entry.version,
            _format_time(entry.published_ms),
            entry.author,
            entry.operation,
            _format_names(entry.changed),
        ]
        for entry in entries
    ]
    output.print_table(
        ["version", "published", "author", "operation", "changed"], rows
    )
    return output.EXIT_OK
