"""Reads named configuration objects from TOML files and from editions."""

from collections.abc import Callable
from collections.abc import Iterable
import json
import pathlib
import re
import tomllib
from typing import Any
from typing import NamedTuple

from rattangauge import errors
from rattangauge import fields
from rattangauge.generated import errorcodes
from rattangauge.generated import objects as generated

# Objects by kind and then by name.
ObjectSet = dict[str, dict[str, generated.MeshObject]]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

_CODES = fields.Codes(
    unknown=errorcodes.OBJECT_UNKNOWN_FIELD,
    missing=errorcodes.OBJECT_MISSING,
    type=errorcodes.OBJECT_TYPE,
    range=errorcodes.OBJECT_RANGE,
)


class LocatedObject(NamedTuple):
    """An object and its source, such as a file or a version."""

    kind: str
    object: generated.MeshObject
    place: str


class LoadResult(NamedTuple):
    """The objects that were read, and all findings about the input."""

    objects: list[LocatedObject]
    findings: list[errors.Finding]


def empty_set() -> ObjectSet:
    """Returns an empty set, with an entry for each kind of object."""
    return {kind: {} for kind in generated.KINDS}


# Checks the values of one kind of object; see ``fields.check``.
_CheckFields = Callable[..., dict[str, Any]]


def _check_published(
    specs: dict[str, fields.FieldSpec],
    table: dict[str, Any],
    codes: fields.Codes,
    report: Callable[[str, str, str], None],
) -> dict[str, Any]:
    """Checks an object that an operator publishes, its name included."""
    values = fields.check(specs, table, codes, report)
    name = values.get("name")
    if isinstance(name, str) and not NAME_PATTERN.fullmatch(name):
        text = f"{fields.show(name)} is not a name"
        report("name", text, errorcodes.OBJECT_NAME)
    return values


def _read_object(
    kind: str,
    table: Any,
    place: str,
    findings: list[errors.Finding],
    check_fields: _CheckFields,
) -> generated.MeshObject | None:
    name = table.get("name") if isinstance(table, dict) else None
    label = fields.label(name) if isinstance(name, str) else "without a name"
    object_place = f"{place}: {kind} {label}"
    before = len(findings)

    def report(field: str, message: str, code: str) -> None:
        findings.append(errors.Finding(object_place, field, message, code))

    if not isinstance(table, dict):
        report(
            "", f"{fields.show(table)} is not a table", errorcodes.OBJECT_TYPE
        )
        return None
    values = check_fields(generated.SPECS[kind], table, _CODES, report)
    if len(findings) > before:
        return None
    return generated.KINDS[kind](**values)


def _read_tables(
    tables: dict[str, Any], place: str, check_fields: _CheckFields
) -> LoadResult:
    loaded = LoadResult([], [])
    for kind, rows in tables.items():
        if kind not in generated.KINDS:
            message = "the kind does not exist"
            code = errorcodes.OBJECT_UNKNOWN_KIND
            loaded.findings.append(
                errors.Finding(place, fields.label(kind), message, code)
            )
            continue
        for row in rows if isinstance(rows, list) else [rows]:
            found = _read_object(
                kind, row, place, loaded.findings, check_fields
            )
            if found is not None:
                loaded.objects.append(LocatedObject(kind, found, place))
    return loaded


def read_tables(tables: dict[str, Any], place: str) -> LoadResult:
    """Reads objects that an operator publishes and checks all their values.

    Args:
        tables: A table that maps a kind to a list of objects.
        place: Source of the table, for the findings.
    """
    return _read_tables(tables, place, _check_published)


def read_received(tables: dict[str, Any], place: str) -> LoadResult:
    """Reads objects that another daemon has in force.

    Only their types are checked. Names and values were checked by whoever
    accepted the configuration, possibly by other rules than ``read_tables``; a
    second opinion would leave the daemons with different versions in force.

    Args:
        tables: A table that maps a kind to a list of objects.
        place: Source of the table, for the findings.
    """
    return _read_tables(tables, place, fields.check_types)


def read_text(text: str, place: str) -> LoadResult:
    """Reads objects from the text of one TOML file.

    Args:
        text: The text.
        place: Source of the text, for the findings.
    """
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # For overlong integers and deep nesting, tomllib raises other errors
        # than TOMLDecodeError.
        code = errorcodes.OBJECT_SYNTAX
        return LoadResult([], [errors.Finding(place, "", str(error), code)])
    return read_tables(tables, place)


def _find_files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    found: list[pathlib.Path] = []
    for path in paths:
        found += sorted(path.rglob("*.toml")) if path.is_dir() else [path]
    return found


def load(paths: Iterable[pathlib.Path]) -> LoadResult:
    """Reads objects from TOML files and from directories with such files."""
    loaded = LoadResult([], [])
    for path in _find_files(paths):
        try:
            text = path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            code = errorcodes.OBJECT_UNREADABLE
            finding = errors.Finding(str(path), "", str(error), code)
            loaded.findings.append(finding)
            continue
        more = read_text(text, str(path))
        loaded.objects.extend(more.objects)
        loaded.findings.extend(more.findings)
    return loaded


def build_set(located: Iterable[LocatedObject]) -> tuple[ObjectSet, LoadResult]:
    """Puts objects into a set and reports duplicates as findings."""
    collected = empty_set()
    places: dict[tuple[str, str], str] = {}
    loaded = LoadResult(list(located), [])
    for kind, item, place in loaded.objects:
        other = places.setdefault((kind, item.name), place)
        if item.name in collected[kind]:
            message = f"another {kind} has the name {item.name!r}, in {other}"
            code = errorcodes.OBJECT_DUPLICATE
            finding = errors.Finding(
                f"{place}: {kind} {item.name}", "name", message, code
            )
            loaded.findings.append(finding)
        collected[kind][item.name] = item
    return collected, loaded


def to_tables(objects: ObjectSet) -> dict[str, list[dict[str, Any]]]:
    """Converts a set to plain tables, sorted by kind and name."""
    return {
        kind: [named[name]._asdict() for name in sorted(named)]
        for kind, named in sorted(objects.items())
    }


def _toml_value(value: Any) -> str:
    # JSON and TOML have the same notation for these values, except that TOML
    # requires an escape for the character DEL.
    text = json.dumps(value, ensure_ascii=False)
    return text.replace("\x7f", "\\u007f")


def format_text(objects: ObjectSet) -> str:
    """Formats a set as TOML text, which ``read_text`` can read."""
    blocks = []
    for kind, rows in to_tables(objects).items():
        for row in rows:
            lines = [f"{key} = {_toml_value(row[key])}" for key in row]
            blocks.append("\n".join([f"[[{kind}]]", *lines]))
    return "\n\n".join(blocks) + "\n" if blocks else ""
