"""Difference between two editions."""

import json
from typing import Any
import zlib

from rattangauge import errors
from rattangauge.config import edition as edition_module
from rattangauge.config import objects as objects_module
from rattangauge.generated import errorcodes


def make(base: edition_module.Edition, target: edition_module.Edition) -> bytes:
    """Encodes what turns one edition into another."""
    return _encode(base, target, base.digest)


def make_by_version(
    base: edition_module.Edition, target: edition_module.Edition
) -> bytes:
    """Encodes the difference of editions that their versions identify."""
    return _encode(base, target, str(base.version))


def _encode(
    base: edition_module.Edition, target: edition_module.Edition, name: str
) -> bytes:
    changed = {
        kind: [
            item._asdict()
            for name, item in sorted(named.items())
            if base.objects[kind].get(name) != item
        ]
        for kind, named in target.objects.items()
    }
    removed = {
        kind: sorted(named.keys() - target.objects[kind].keys())
        for kind, named in base.objects.items()
    }
    table = {"base": name, "changed": changed, "removed": removed}
    text = json.dumps(table, sort_keys=True, separators=(",", ":"))
    return zlib.compress(text.encode(), 6)


def _fault(message: str, place: str, code: str) -> errors.FindingsError:
    return errors.FindingsError([errors.Finding(place, "", message, code)])


def _part(table: dict[str, Any], part: str, place: str) -> dict[str, list]:
    value = table.get(part)
    if isinstance(value, dict) and all(
        isinstance(entries, list) for entries in value.values()
    ):
        return value
    text = f"the delta has no table {part!r} of lists"
    raise _fault(text, place, errorcodes.EDITION_MALFORMED)


def _merge(
    base: objects_module.ObjectSet, table: dict[str, Any], place: str
) -> objects_module.ObjectSet:
    merged = {kind: dict(named) for kind, named in base.items()}
    for kind, names in _part(table, "removed", place).items():
        for name in names:
            if merged.get(kind, {}).pop(str(name), None) is None:
                text = f"the delta removes {kind} {name!r}, which is unknown"
                raise _fault(text, place, errorcodes.EDITION_MALFORMED)
    changed = _part(table, "changed", place)
    loaded = objects_module.read_tables(changed, place)
    if loaded.findings:
        raise errors.FindingsError(loaded.findings)
    for located in loaded.objects:
        merged[located.kind][located.object.name] = located.object
    return merged


def apply(
    base: edition_module.Edition, version: int, digest: str, data: bytes
) -> edition_module.Edition:
    """Applies a delta and checks the whole result.

    Args:
        base: Edition that the delta starts from.
        version: Version of the result.
        digest: Digest that the result must have.
        data: The encoded delta.

    Raises:
        errors.FindingsError: The delta starts from another edition or is
            malformed, or the result has another digest or a bad reference.
    """
    merged = _apply(base, base.digest, version, data)
    return edition_module.decode(version, digest, edition_module.encode(merged))


def apply_by_version(
    base: edition_module.Edition, version: int, data: bytes
) -> edition_module.Edition:
    """Applies a delta between editions that their versions identify.

    Only what has changed is checked. The result is not encoded and has no
    digest.

    Raises:
        errors.FindingsError: The delta starts from another edition or is
            malformed.
    """
    merged = _apply(base, str(base.version), version, data)
    return edition_module.Edition(version, "", merged, b"")


def _apply(
    base: edition_module.Edition, name: str, version: int, data: bytes
) -> objects_module.ObjectSet:
    place = f"delta to version {version}"
    table = edition_module.read_table(data, place)
    if table.get("base") != name:
        text = f"the delta starts from {table.get('base')}, not {name}"
        raise _fault(text, place, errorcodes.EDITION_DELTA_BASE)
    return _merge(base.objects, table, place)
