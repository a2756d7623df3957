"""Reads named objects from TOML files and from editions."""

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

# Kind of object, then name, then object.
ObjectSet = dict[str, dict[str, generated.MeshObject]]

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")

_CODES = fields.Codes(
    unknown=errorcodes.OBJECT_UNKNOWN_FIELD,
    missing=errorcodes.OBJECT_MISSING,
    type=errorcodes.OBJECT_TYPE,
    range=errorcodes.OBJECT_RANGE,
)


class Located(NamedTuple):
    """An object and the file that it came from."""

    kind: str
    object: generated.MeshObject
    place: str


class Loaded(NamedTuple):
    """What was read from object files, with all findings."""

    objects: list[Located]
    findings: list[errors.Finding]


def empty() -> ObjectSet:
    """Returns a set without objects."""
    return {kind: {} for kind in generated.KINDS}


def _read_table(
    kind: str, table: Any, place: str, findings: list[errors.Finding]
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
    values = fields.check(generated.SPECS[kind], table, _CODES, report)
    name = values.get("name")
    if isinstance(name, str) and not NAME_PATTERN.fullmatch(name):
        report(
            "name", f"{fields.show(name)} is not a name", errorcodes.OBJECT_NAME
        )
    if len(findings) > before:
        return None
    return generated.KINDS[kind](**values)


def read_tables(tables: dict[str, Any], place: str) -> Loaded:
    """Reads objects from tables: kind of object, then a list of objects."""
    loaded = Loaded([], [])
    for kind, rows in tables.items():
        if kind not in generated.KINDS:
            message = "the kind does not exist"
            code = errorcodes.OBJECT_UNKNOWN_KIND
            loaded.findings.append(
                errors.Finding(place, fields.label(kind), message, code)
            )
            continue
        for row in rows if isinstance(rows, list) else [rows]:
            found = _read_table(kind, row, place, loaded.findings)
            if found is not None:
                loaded.objects.append(Located(kind, found, place))
    return loaded


def read_text(text: str, place: str) -> Loaded:
    """Reads objects from the text of one TOML file."""
    try:
        tables = tomllib.loads(text)
    except (ValueError, RecursionError) as error:
        # tomllib lets the errors of long integers and deep nesting through.
        code = errorcodes.OBJECT_SYNTAX
        return Loaded([], [errors.Finding(place, "", str(error), code)])
    return read_tables(tables, place)


def _files(paths: Iterable[pathlib.Path]) -> list[pathlib.Path]:
    found: list[pathlib.Path] = []
    for path in paths:
        found += sorted(path.rglob("*.toml")) if path.is_dir() else [path]
    return found


def load(paths: Iterable[pathlib.Path]) -> Loaded:
    """Reads objects from TOML files and from folders of them."""
    loaded = Loaded([], [])
    for path in _files(paths):
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


def collect(located: Iterable[Located]) -> tuple[ObjectSet, Loaded]:
    """Puts objects into a set; duplicates become findings."""
    collected = empty()
    places: dict[tuple[str, str], str] = {}
    loaded = Loaded(list(located), [])
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
    """Turns a set into plain tables, ordered by kind and name."""
    return {
        kind: [named[name]._asdict() for name in sorted(named)]
        for kind, named in sorted(objects.items())
    }


def _toml_value(value: Any) -> str:
    # JSON and TOML write these values alike, but for the character DEL.
    text = json.dumps(value, ensure_ascii=False)
    return text.replace("\x7f", "\\u007f")


def format_text(objects: ObjectSet) -> str:
    """Formats a set as TOML that ``read_text`` reads."""
    blocks = []
    for kind, rows in to_tables(objects).items():
        for row in rows:
            lines = [f"{key} = {_toml_value(row[key])}" for key in row]
            blocks.append("\n".join([f"[[{kind}]]", *lines]))
    return "\n\n".join(blocks) + "\n" if blocks else ""
